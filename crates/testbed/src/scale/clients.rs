//! Clients of the fleet. Each one holds one connection through a real or simulated balancer and
//! reconnects when it is lost. A simulated balancer does not relay lines, so its clients connect
//! directly to the server that it chooses. This module owns the clients' counters.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use nettlemux_fleet_model::rng::Rng;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::processes::RealBalancer;
use super::settings::DEADLINE_MS;
use super::simulated_balancer::SimulatedBalancer;

/// Time after which a client gives up an attempt: its deadline plus time for the connection to the
/// balancer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 500);
/// Bounds of the random delay before a client tries again, in seconds.
const BACKOFF_MIN_S: f64 = 0.05;
const BACKOFF_MAX_S: f64 = 0.5;
/// Longest Retry-After of a balancer that a client obeys.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Longest time until a client is placed again that the histogram resolves, in milliseconds.
const PLACED_AGAIN_MAX_MS: u64 = 120_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The balancer that a client connects through.
#[derive(Clone)]
pub enum Balancer {
    Real(Arc<RealBalancer>),
    Simulated(Arc<SimulatedBalancer>),
}

impl Balancer {
    fn ready(&self) -> bool {
        match self {
            Balancer::Real(balancer) => balancer.ready(),
            Balancer::Simulated(balancer) => *balancer.alive().borrow(),
        }
    }
}

/// All clients of a fleet, with their counters.
pub struct Clients {
    balancers: Vec<Balancer>,
    groups: u64,
    /// Mean life of a connection in seconds. With `None`, clients hold it until it is lost.
    mean_life: Option<f64>,
    seed: u64,
    next_id: AtomicU64,
    /// Connections that are established.
    established: AtomicI64,
    /// Connections that were lost, not closed by their clients.
    lost: AtomicU64,
    /// Milliseconds from the loss of a connection to the next one.
    placed_again: Mutex<Histogram<u64>>,
}

impl Clients {
    pub fn new(
        balancers: Vec<Balancer>,
        groups: u64,
        mean_life: Option<f64>,
        seed: u64,
    ) -> Arc<Self> {
        let placed_again = Histogram::new_with_max(PLACED_AGAIN_MAX_MS, SIGNIFICANT_DIGITS)
            .expect("histogram bounds are valid");
        Arc::new(Clients {
            balancers,
            groups,
            mean_life,
            seed,
            next_id: AtomicU64::new(1),
            established: AtomicI64::new(0),
            lost: AtomicU64::new(0),
            placed_again: Mutex::new(placed_again),
        })
    }

    /// Starts the clients of each balancer, with arrivals spread evenly over `ramp`. `clients_of`
    /// returns their number for a balancer.
    pub fn start(self: &Arc<Self>, clients_of: impl Fn(&Balancer) -> u64, ramp: Duration) {
        for (index, balancer) in self.balancers.iter().enumerate() {
            let number = clients_of(balancer);
            for client in 0..number {
                let delay = ramp.mul_f64((client as f64 + 0.5) / number as f64);
                let rng = Rng::new(self.seed ^ index as u64, client);
                tokio::spawn(
                    Client {
                        clients: self.clone(),
                        balancer: index,
                        rng,
                    }
                    .run(delay),
                );
            }
        }
    }

    /// Number of established connections.
    pub fn established(&self) -> i64 {
        self.established.load(Relaxed)
    }

    /// Number of connections that were lost, not closed by their clients.
    pub fn lost(&self) -> u64 {
        self.lost.load(Relaxed)
    }

    /// Number of clients that were placed again after a loss, and the median and the 99th percentile of
    /// the time that it took, in milliseconds.
    pub fn placed_again(&self) -> (u64, f64, f64) {
        let times = self
            .placed_again
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        (
            times.len(),
            times.value_at_quantile(0.5) as f64,
            times.value_at_quantile(0.99) as f64,
        )
    }

    fn record_placed_again(&self, after: Duration) {
        let mut times = self
            .placed_again
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        times.saturating_record(after.as_millis() as u64);
    }
}

/// How a connection ended.
#[derive(PartialEq, Eq)]
enum ConnectionEnd {
    Lost,
    /// Closed by its client at the end of its life.
    Closed,
}

/// Result of a client's attempt to connect.
enum ConnectResult {
    Established(BufReader<TcpStream>),
    /// Failed. The client tries again after this Retry-After at the earliest.
    Failed(Duration),
}

struct Client {
    clients: Arc<Clients>,
    /// Index of the balancer that this client connects through.
    balancer: usize,
    rng: Rng,
}

impl Client {
    async fn run(mut self, delay: Duration) {
        tokio::time::sleep(delay).await;
        let mut lost_at: Option<Instant> = None;
        loop {
            self.choose_balancer();
            let balancer = self.clients.balancers[self.balancer].clone();
            let tried =
                tokio::time::timeout(ATTEMPT_TIMEOUT, self.connect(&balancer, lost_at.is_some()))
                    .await;
            match tried
                .ok()
                .flatten()
                .unwrap_or(ConnectResult::Failed(Duration::ZERO))
            {
                ConnectResult::Established(stream) => {
                    if let Some(at) = lost_at.take() {
                        self.clients.record_placed_again(at.elapsed());
                    }
                    if self.hold_connection(&balancer, stream).await == ConnectionEnd::Lost {
                        self.clients.lost.fetch_add(1, Relaxed);
                        lost_at = Some(Instant::now());
                        self.back_off(Duration::ZERO).await;
                    }
                }
                ConnectResult::Failed(retry_after) => self.back_off(retry_after).await,
            }
        }
    }

    /// Keeps the current balancer while it is ready; otherwise chooses a random one that is.
    fn choose_balancer(&mut self) {
        if self.clients.balancers[self.balancer].ready() {
            return;
        }
        let ready = |index: &usize| self.clients.balancers[*index].ready();
        let others: Vec<usize> = (0..self.clients.balancers.len()).filter(ready).collect();
        if let Some(other) = others.get(self.rng.index_below(others.len())) {
            self.balancer = *other;
        }
    }

    async fn back_off(&mut self, delay_min: Duration) {
        let drawn = Duration::from_secs_f64(self.rng.uniform_between(BACKOFF_MIN_S, BACKOFF_MAX_S));
        tokio::time::sleep(drawn.max(delay_min)).await;
    }

    async fn connect(&mut self, balancer: &Balancer, reconnecting: bool) -> Option<ConnectResult> {
        let id = self.clients.next_id.fetch_add(1, Relaxed);
        let group = self.rng.index_below(self.clients.groups as usize);
        let again = if reconnecting { ",again=1" } else { "" };
        let line = format!("OPEN c{id:x} k{id:x} c=chat,d={DEADLINE_MS},g=g{group}{again}\r\n");
        let stream = match balancer {
            Balancer::Real(real) => TcpStream::connect(real.address).await.ok()?,
            Balancer::Simulated(simulated) => simulated.connect(simulated.pick()?).await.ok()?,
        };
        let mut stream = BufReader::with_capacity(256, stream);
        stream.write_all(line.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_line(&mut answer).await.ok()?;
        if answer.starts_with("UP ") {
            return Some(ConnectResult::Established(stream));
        }
        let wait = answer
            .strip_prefix("BUSY ")
            .and_then(|ms| ms.trim_end().parse().ok())
            .unwrap_or(0);
        Some(ConnectResult::Failed(
            Duration::from_millis(wait).min(RETRY_AFTER_MAX),
        ))
    }

    async fn hold_connection(
        &mut self,
        balancer: &Balancer,
        mut stream: BufReader<TcpStream>,
    ) -> ConnectionEnd {
        let life = self
            .clients
            .mean_life
            .map(|mean| Duration::from_secs_f64(self.rng.exponential(mean)));
        self.clients.established.fetch_add(1, Relaxed);
        let mut ignored = [0; 64];
        let lost = async {
            // `MOVE`, any other line or the end of the stream: the client needs another connection.
            let _ = stream.read(&mut ignored).await;
        };
        let killed = async {
            match balancer {
                Balancer::Real(_) => std::future::pending().await,
                Balancer::Simulated(simulated) => {
                    drop(simulated.alive().wait_for(|alive| !alive).await)
                }
            }
        };
        let closed = async {
            match life {
                Some(life) => tokio::time::sleep(life).await,
                None => std::future::pending().await,
            }
        };
        let end = tokio::select! {
            () = lost => ConnectionEnd::Lost,
            () = killed => ConnectionEnd::Lost,
            () = closed => ConnectionEnd::Closed,
        };
        self.clients.established.fetch_sub(1, Relaxed);
        end
    }
}
