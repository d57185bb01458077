//! Clients of the fleet: each holds one connection by way of a balancer, real or simulated, and comes
//! back when it is lost. It owns their number and what became of them. A simulated balancer carries no
//! lines, so its clients go to the server it names.

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

/// A client gives a try up after so long: its deadline, and the way there.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 500);
/// Before it tries again, between these.
const BACKOFF_MIN_S: f64 = 0.05;
const BACKOFF_MAX_S: f64 = 0.5;
/// The longest Retry-After that it takes from a balancer.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// The longest time until placed again that is told apart, in milliseconds.
const LONGEST_MS: u64 = 120_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The balancer that a client goes by.
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

/// What became of all clients.
pub struct Clients {
    balancers: Vec<Balancer>,
    groups: u64,
    /// Mean life of a connection; none lives until it is lost.
    life: Option<f64>,
    seed: u64,
    ids: AtomicU64,
    up: AtomicI64,
    lost: AtomicU64,
    /// Milliseconds from a loss to the next connection.
    placed_again: Mutex<Histogram<u64>>,
}

impl Clients {
    pub fn new(balancers: Vec<Balancer>, groups: u64, life: Option<f64>, seed: u64) -> Arc<Self> {
        let placed_again =
            Histogram::new_with_max(LONGEST_MS, SIGNIFICANT_DIGITS).expect("bounds that hold");
        Arc::new(Clients {
            balancers,
            groups,
            life,
            seed,
            ids: AtomicU64::new(1),
            up: AtomicI64::new(0),
            lost: AtomicU64::new(0),
            placed_again: Mutex::new(placed_again),
        })
    }

    /// Starts so many clients of each of these balancers, spread over that time.
    pub fn start(self: &Arc<Self>, each: impl Fn(&Balancer) -> u64, over: Duration) {
        for (home, balancer) in self.balancers.iter().enumerate() {
            let number = each(balancer);
            for client in 0..number {
                let delay = over.mul_f64((client as f64 + 0.5) / number as f64);
                let rng = Rng::new(self.seed ^ home as u64, client);
                tokio::spawn(
                    Client {
                        all: self.clone(),
                        home,
                        rng,
                    }
                    .run(delay),
                );
            }
        }
    }

    /// Connections that are up.
    pub fn up(&self) -> i64 {
        self.up.load(Relaxed)
    }

    /// Connections that were lost, by no wish of their clients.
    pub fn lost(&self) -> u64 {
        self.lost.load(Relaxed)
    }

    /// How many came back, and after how many milliseconds: the median and the 99th percentile.
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

    fn note_placed_again(&self, after: Duration) {
        let mut times = self
            .placed_again
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        times.saturating_record(after.as_millis() as u64);
    }
}

/// How a connection came to its end.
#[derive(PartialEq, Eq)]
enum End {
    Lost,
    Over,
}

/// How a try came out.
enum Try {
    Up(BufReader<TcpStream>),
    /// To be tried again, by the balancer's word not before this has passed.
    Failed(Duration),
}

struct Client {
    all: Arc<Clients>,
    /// The balancer that it goes by.
    home: usize,
    rng: Rng,
}

impl Client {
    async fn run(mut self, delay: Duration) {
        tokio::time::sleep(delay).await;
        let mut lost_at: Option<Instant> = None;
        loop {
            self.choose_balancer();
            let balancer = self.all.balancers[self.home].clone();
            let tried =
                tokio::time::timeout(ATTEMPT_TIMEOUT, self.open(&balancer, lost_at.is_some()))
                    .await;
            match tried.ok().flatten().unwrap_or(Try::Failed(Duration::ZERO)) {
                Try::Up(stream) => {
                    if let Some(at) = lost_at.take() {
                        self.all.note_placed_again(at.elapsed());
                    }
                    if self.hold(&balancer, stream).await == End::Lost {
                        self.all.lost.fetch_add(1, Relaxed);
                        lost_at = Some(Instant::now());
                        self.back_off(Duration::ZERO).await;
                    }
                }
                Try::Failed(least) => self.back_off(least).await,
            }
        }
    }

    /// Stays where it is while that balancer is ready; else any that is.
    fn choose_balancer(&mut self) {
        if self.all.balancers[self.home].ready() {
            return;
        }
        let ready = |at: &usize| self.all.balancers[*at].ready();
        let others: Vec<usize> = (0..self.all.balancers.len()).filter(ready).collect();
        if let Some(other) = others.get(self.rng.index_below(others.len())) {
            self.home = *other;
        }
    }

    async fn back_off(&mut self, least: Duration) {
        let drawn = Duration::from_secs_f64(self.rng.uniform_between(BACKOFF_MIN_S, BACKOFF_MAX_S));
        tokio::time::sleep(drawn.max(least)).await;
    }

    async fn open(&mut self, balancer: &Balancer, reconnecting: bool) -> Option<Try> {
        let id = self.all.ids.fetch_add(1, Relaxed);
        let group = self.rng.index_below(self.all.groups as usize);
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
            return Some(Try::Up(stream));
        }
        let wait = answer
            .strip_prefix("BUSY ")
            .and_then(|ms| ms.trim_end().parse().ok())
            .unwrap_or(0);
        Some(Try::Failed(
            Duration::from_millis(wait).min(RETRY_AFTER_MAX),
        ))
    }

    async fn hold(&mut self, balancer: &Balancer, mut stream: BufReader<TcpStream>) -> End {
        let life = self
            .all
            .life
            .map(|mean| Duration::from_secs_f64(self.rng.exponential(mean)));
        self.all.up.fetch_add(1, Relaxed);
        let mut ignored = [0; 64];
        let lost = async {
            // `MOVE` or any other word, or the end: its connection is to be another.
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
        let over = async {
            match life {
                Some(life) => tokio::time::sleep(life).await,
                None => std::future::pending().await,
            }
        };
        let end = tokio::select! {
            () = lost => End::Lost,
            () = killed => End::Lost,
            () = over => End::Over,
        };
        self.all.up.fetch_sub(1, Relaxed);
        end
    }
}
