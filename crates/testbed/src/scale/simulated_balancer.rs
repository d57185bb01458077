//! Simulated balancers: they send the traffic of a balancer to discovery and servers, but don't relay
//! the lines of their clients. Each one watches the endpoint list over HTTP as a real balancer does,
//! sends health checks to random listed servers at a fixed rate, and chooses a random listed server
//! for each of its clients. It can be killed and started again. All run in this process. This module
//! owns each simulated balancer's connection to discovery and its copy of the endpoint list.

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

/// How long discovery is asked to hold a call for the endpoint list. The real balancer uses the same
/// time.
const HOLD: Duration = Duration::from_secs(1);
/// How long after the hold time the response is awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Time until the next call after a failed one.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between the starts of two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// A health check that is not answered within this time has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Source address of the first simulated balancer. The others use the addresses after it.
const FIRST_SOURCE_ADDRESS: u32 = u32::from_be_bytes([127, 32, 0, 1]);

/// An entry in a response of discovery.
#[derive(Deserialize)]
struct EndpointUpdate {
    #[serde(rename = "instanceId")]
    id: String,
    #[serde(rename = "hostPort")]
    address: SocketAddr,
    lifecycle: String,
}

/// A response of discovery.
#[derive(Deserialize)]
struct EndpointListResponse {
    generation: u64,
    reset: bool,
    instances: Vec<EndpointUpdate>,
}

#[derive(Default)]
struct EndpointList {
    by_id: BTreeMap<String, SocketAddr>,
    /// The same addresses, for random choice.
    addresses: Vec<SocketAddr>,
}

/// One simulated balancer.
pub struct SimulatedBalancer {
    source: Ipv4Addr,
    discovery: SocketAddr,
    probe_interval: Duration,
    list: Mutex<EndpointList>,
    rng: Mutex<Rng>,
    alive: watch::Sender<bool>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl SimulatedBalancer {
    /// Starts the simulated balancer with this number.
    pub fn start(
        number: usize,
        discovery: SocketAddr,
        probes_per_second: f64,
        seed: u64,
    ) -> Arc<Self> {
        let balancer = Arc::new(SimulatedBalancer {
            source: Ipv4Addr::from_bits(FIRST_SOURCE_ADDRESS + number as u32),
            discovery,
            probe_interval: Duration::from_secs_f64(1.0 / probes_per_second.max(1e-3)),
            list: Mutex::default(),
            rng: Mutex::new(Rng::new(seed, number as u64)),
            alive: watch::channel(false).0,
            tasks: Mutex::default(),
        });
        balancer.spawn_tasks();
        balancer
    }

    /// Starts the tasks, also after [`SimulatedBalancer::kill`]. The endpoint list is empty then.
    pub fn spawn_tasks(self: &Arc<Self>) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(tokio::spawn(self.clone().watch_list()));
        tasks.push(tokio::spawn(self.clone().send_health_checks()));
        self.alive.send_replace(true);
    }

    /// Terminates the balancer at once, and with it its clients' connections.
    pub fn kill(&self) {
        self.alive.send_replace(false);
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.iter().for_each(JoinHandle::abort);
        *self.list() = EndpointList::default();
    }

    /// Whether the balancer runs. The receiver is notified of changes.
    pub fn alive(&self) -> watch::Receiver<bool> {
        self.alive.subscribe()
    }

    /// Chooses a random listed server; `None` before the endpoint list has been received.
    pub fn pick(&self) -> Option<SocketAddr> {
        let list = self.list();
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        list.addresses
            .get(rng.index_below(list.addresses.len()))
            .copied()
    }

    /// Connects to a server from this balancer's own address.
    ///
    /// # Errors
    /// Binding to that address or connecting failed.
    pub async fn connect(&self, server: SocketAddr) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((self.source, 0)))?;
        let stream = socket.connect(server).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn watch_list(self: Arc<Self>) {
        let mut version = None;
        let mut connection = None;
        loop {
            let began = tokio::time::Instant::now();
            let answered = tokio::time::timeout(
                HOLD + RESPONSE_GRACE,
                fetch_endpoint_list(&mut connection, self.discovery, version),
            )
            .await;
            match answered {
                Ok(Ok(response)) => {
                    version = Some(response.generation);
                    self.apply(response);
                    tokio::time::sleep_until(began + CALL_INTERVAL).await;
                }
                _ => {
                    connection = None;
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn apply(&self, response: EndpointListResponse) {
        if !response.reset && response.instances.is_empty() {
            return;
        }
        let mut list = self.list();
        if response.reset {
            list.by_id.clear();
        }
        for update in response.instances {
            match update.lifecycle.as_str() {
                "Ready" => drop(list.by_id.insert(update.id, update.address)),
                _ => drop(list.by_id.remove(&update.id)),
            }
        }
        list.addresses = list.by_id.values().copied().collect();
    }

    async fn send_health_checks(self: Arc<Self>) {
        let first = self
            .rng
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .uniform();
        // A random delay, so that simulated balancers don't send their health checks in step.
        tokio::time::sleep(self.probe_interval.mul_f64(first)).await;
        let mut ticks = tokio::time::interval(self.probe_interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Some(server) = self.pick() {
                let _ = tokio::time::timeout(PROBE_TIMEOUT, self.check_health(server)).await;
            }
        }
    }

    async fn check_health(&self, server: SocketAddr) -> io::Result<()> {
        let mut stream = self.connect(server).await?;
        stream.write_all(b"STATS\r\n").await?;
        let mut answer = [0; 128];
        stream.read(&mut answer).await.map(drop)
    }
}

type Connection = BufReader<TcpStream>;

/// Makes one call for the endpoint list, over the connection of the previous call if it is still open.
async fn fetch_endpoint_list(
    connection: &mut Option<Connection>,
    discovery: SocketAddr,
    version: Option<u64>,
) -> io::Result<EndpointListResponse> {
    let stream = match connection {
        Some(stream) => stream,
        None => connection.insert(BufReader::new(TcpStream::connect(discovery).await?)),
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
