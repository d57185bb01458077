//! Simulated balancers: what reaches others of a balancer, without its clients' lines. Each watches
//! the endpoint list by HTTP as the real one does, health checks servers in turn at a fixed rate,
//! names servers to its clients (a random one that is listed), can be killed and started again.
//! They share this process. It owns each one's connection to discovery and its copy of the endpoint
//! list.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nettlemux_fleet_model::rng::Rng;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long a call for the endpoint list is held, as the real balancer has it, and how long past
/// that it is waited for.
const HOLD: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_millis(500);
/// Until the next call after one that failed, and the least time between two.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// A health check that has brought nothing by then has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Simulated balancers connect from the addresses from here on.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 32, 0, 1]);

/// A server as the endpoint list tells it.
#[derive(Deserialize)]
struct EndpointUpdate {
    #[serde(rename = "instanceId")]
    id: String,
    #[serde(rename = "hostPort")]
    address: SocketAddr,
    lifecycle: String,
}

/// An answer of discovery.
#[derive(Deserialize)]
struct Answer {
    generation: u64,
    reset: bool,
    instances: Vec<EndpointUpdate>,
}

#[derive(Default)]
struct List {
    by_id: BTreeMap<String, SocketAddr>,
    /// The same addresses, to draw from.
    addresses: Vec<SocketAddr>,
}

/// One simulated balancer.
pub struct SimulatedBalancer {
    source: Ipv4Addr,
    discovery: SocketAddr,
    probe_interval: Duration,
    list: Mutex<List>,
    rng: Mutex<Rng>,
    alive: watch::Sender<bool>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl SimulatedBalancer {
    /// Starts the one with that number.
    pub fn start(
        number: usize,
        discovery: SocketAddr,
        probes_per_second: f64,
        seed: u64,
    ) -> Arc<Self> {
        let balancer = Arc::new(SimulatedBalancer {
            source: Ipv4Addr::from_bits(FIRST_ADDRESS + number as u32),
            discovery,
            probe_interval: Duration::from_secs_f64(1.0 / probes_per_second.max(1e-3)),
            list: Mutex::default(),
            rng: Mutex::new(Rng::new(seed, number as u64)),
            alive: watch::channel(false).0,
            tasks: Mutex::default(),
        });
        balancer.run();
        balancer
    }

    /// Starts it again after [`SimulatedBalancer::kill`], from nothing.
    pub fn run(self: &Arc<Self>) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(tokio::spawn(self.clone().watch_list()));
        tasks.push(tokio::spawn(self.clone().probe()));
        self.alive.send_replace(true);
    }

    /// Ends it at once, and with it its clients' connections.
    pub fn kill(&self) {
        self.alive.send_replace(false);
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.iter().for_each(JoinHandle::abort);
        *self.list() = List::default();
    }

    /// Whether it runs, and news of that.
    pub fn alive(&self) -> watch::Receiver<bool> {
        self.alive.subscribe()
    }

    /// A server for one of its clients; none before its list has come.
    pub fn pick(&self) -> Option<SocketAddr> {
        let list = self.list();
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        list.addresses
            .get(rng.index_below(list.addresses.len()))
            .copied()
    }

    /// A connection to a server, from this balancer's own address.
    ///
    /// # Errors
    /// As connecting has them.
    pub async fn connect(&self, server: SocketAddr) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((self.source, 0)))?;
        let stream = socket.connect(server).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn watch_list(self: Arc<Self>) {
        let mut version = None;
        let mut line = None;
        loop {
            let began = tokio::time::Instant::now();
            let answered =
                tokio::time::timeout(HOLD + PATIENCE, call(&mut line, self.discovery, version))
                    .await;
            match answered {
                Ok(Ok(answer)) => {
                    version = Some(answer.generation);
                    self.take(answer);
                    tokio::time::sleep_until(began + CALL_INTERVAL).await;
                }
                _ => {
                    line = None;
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn take(&self, answer: Answer) {
        if !answer.reset && answer.instances.is_empty() {
            return;
        }
        let mut list = self.list();
        if answer.reset {
            list.by_id.clear();
        }
        for told in answer.instances {
            match told.lifecycle.as_str() {
                "Ready" => drop(list.by_id.insert(told.id, told.address)),
                _ => drop(list.by_id.remove(&told.id)),
            }
        }
        list.addresses = list.by_id.values().copied().collect();
    }

    async fn probe(self: Arc<Self>) {
        let first = self
            .rng
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .uniform();
        // So that simulated balancers don't health check in step.
        tokio::time::sleep(self.probe_interval.mul_f64(first)).await;
        let mut ticks = tokio::time::interval(self.probe_interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Some(server) = self.pick() {
                let _ = tokio::time::timeout(PROBE_TIMEOUT, self.ask_load(server)).await;
            }
        }
    }

    async fn ask_load(&self, server: SocketAddr) -> io::Result<()> {
        let mut stream = self.connect(server).await?;
        stream.write_all(b"STATS\r\n").await?;
        let mut answer = [0; 128];
        stream.read(&mut answer).await.map(drop)
    }
}

type Line = BufReader<TcpStream>;

/// One call for the endpoint list, over the connection of the last one where it stays open.
async fn call(
    line: &mut Option<Line>,
    discovery: SocketAddr,
    version: Option<u64>,
) -> io::Result<Answer> {
    let stream = match line {
        Some(stream) => stream,
        None => line.insert(BufReader::new(TcpStream::connect(discovery).await?)),
    };
    let path = version.map_or("/api/targets".into(), |version| {
        format!("/api/targets?from={version}&hold_ms={}", HOLD.as_millis())
    });
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        if stream.read_line(&mut header).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("Content-Length: ") {
            length = value.parse().map_err(io::Error::other)?;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(serde_json::from_slice(&body)?)
}
