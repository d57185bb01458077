//! Simulated servers: all in this process, each with an address of its own on loopback and one
//! listening socket for all. They answer health checks, take attempts, hold connections and count;
//! they do no work. It owns the listener and what was counted.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Servers have the addresses from here on; balancers' and agents' are elsewhere.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 64, 0, 1]);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;
/// A first line is no longer than the platform's.
const LINE_LIMIT: usize = 4096 + 2;
/// The loopback interface: what comes by any other is never accepted.
const LOOPBACK: &[u8] = b"lo";
/// Real balancers connect from this address, simulated ones each from one of their own.
pub const REAL_SOURCE: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// A server's load is its connections over this many times the mean.
const CAPACITY_FACTOR: f64 = 4.0;
/// It holds so many at least.
const LEAST_CAPACITY: f64 = 32.0;

/// What brought an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    First,
    /// Its client had a connection that broke or was moved.
    Returning,
    /// The same client's attempt came before.
    Retry,
}

/// Traffic from real balancers, or from simulated ones.
#[derive(Debug, Default)]
pub struct Traffic {
    pub probes: AtomicU64,
    pub probe_bytes: AtomicU64,
    pub attempts: AtomicU64,
}

/// One server.
struct Server {
    connections: AtomicI64,
    /// Set once it is gone: its connections end.
    gone: watch::Sender<bool>,
    /// When a real balancer first sent it anything.
    first_seen: Mutex<Option<Instant>>,
}

/// What attempts have come to.
#[derive(Debug, Default)]
struct AttemptCounts {
    by_cause: HashMap<Cause, u64>,
    /// For each server and second since the start.
    by_second: HashMap<(usize, u64), u64>,
    client_ids: HashSet<String>,
}

/// All servers.
pub struct Servers {
    port: u16,
    all: Vec<Server>,
    capacity: f64,
    began: Instant,
    attempts: Mutex<AttemptCounts>,
    pub from_real: Traffic,
    pub from_simulated: Traffic,
}

impl Servers {
    /// Starts `number` servers, of which those that aren't listed yet wait to be. `connections` are
    /// expected at them all.
    ///
    /// # Errors
    /// There is no listening on the loopback interface.
    pub fn start(number: usize, listed: usize, connections: f64) -> io::Result<Arc<Self>> {
        let listener = listen()?;
        let server = || Server {
            connections: AtomicI64::new(0),
            gone: watch::channel(false).0,
            first_seen: Mutex::new(None),
        };
        let servers = Arc::new(Servers {
            port: listener.local_addr()?.port(),
            all: (0..number).map(|_| server()).collect(),
            capacity: (CAPACITY_FACTOR * connections / listed.max(1) as f64).max(LEAST_CAPACITY),
            began: Instant::now(),
            attempts: Mutex::default(),
            from_real: Traffic::default(),
            from_simulated: Traffic::default(),
        });
        let accepting = servers.clone();
        tokio::spawn(async move {
            loop {
                // Out of descriptors for a moment, or a connection that has ended already.
                let Ok((stream, from)) = listener.accept().await else {
                    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                    continue;
                };
                tokio::spawn(accepting.clone().serve(stream, from));
            }
        });
        Ok(servers)
    }

    /// Where this server listens.
    pub fn address(&self, server: usize) -> SocketAddr {
        let address = Ipv4Addr::from_bits(FIRST_ADDRESS + server as u32);
        SocketAddr::from((address, self.port))
    }

    fn at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(address) = address.ip() else {
            return None;
        };
        let server = address.to_bits().checked_sub(FIRST_ADDRESS)? as usize;
        (server < self.all.len()).then_some(server)
    }

    /// Ends this server's connections; it takes no more.
    pub fn end(&self, server: usize) {
        self.all[server].gone.send_replace(true);
    }

    /// When a real balancer first probed it or connected to it.
    pub fn first_seen(&self, server: usize) -> Option<Instant> {
        *self.all[server]
            .first_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn connections(&self, server: usize) -> i64 {
        self.all[server].connections.load(Relaxed)
    }

    pub fn attempts_by(&self, cause: Cause) -> u64 {
        self.attempts().by_cause.get(&cause).copied().unwrap_or(0)
    }

    /// The most attempts that one of these servers was sent within a second from that moment on.
    pub fn most_attempts_in_a_second(&self, since: Instant, of: impl Fn(usize) -> bool) -> u64 {
        let first_second = since.duration_since(self.began).as_secs();
        let attempts = self.attempts();
        let later = attempts
            .by_second
            .iter()
            .filter(|((server, second), _)| *second >= first_second && of(*server));
        later.map(|(_, count)| *count).max().unwrap_or(0)
    }

    fn attempts(&self) -> MutexGuard<'_, AttemptCounts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, from: SocketAddr) -> Option<()> {
        let server = self.at(stream.local_addr().ok()?)?;
        let real = from.ip() == REAL_SOURCE;
        let traffic = if real {
            &self.from_real
        } else {
            &self.from_simulated
        };
        let mut gone = self.all[server].gone.subscribe();
        let _ = stream.set_nodelay(true);
        let mut held = Vec::new();
        loop {
            let line = tokio::select! {
                line = read_line(&mut stream, &mut held) => line?,
                _ = gone.wait_for(|gone| *gone) => return None,
            };
            if real {
                let mut first = self.all[server]
                    .first_seen
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                first.get_or_insert_with(Instant::now);
            }
            if line.starts_with("OPEN ") {
                traffic.attempts.fetch_add(1, Relaxed);
                return self.hold(server, stream, &line, gone).await;
            }
            let answer = self.report(server);
            stream.write_all(answer.as_bytes()).await.ok()?;
            traffic.probes.fetch_add(1, Relaxed);
            traffic
                .probe_bytes
                .fetch_add((line.len() + 2 + answer.len()) as u64, Relaxed);
        }
    }

    fn report(&self, server: usize) -> String {
        let connections = self.connections(server);
        let load = connections as f64 / self.capacity;
        format!("PONG x0={load:.4},inflight={connections}\r\n")
    }

    async fn hold(
        &self,
        server: usize,
        mut stream: TcpStream,
        line: &str,
        mut gone: watch::Receiver<bool>,
    ) -> Option<()> {
        self.count_connect(server, line);
        let connections = &self.all[server].connections;
        connections.fetch_add(1, Relaxed);
        let held = async {
            stream.write_all(b"UP 1\r\n").await.ok()?;
            let mut ignored = [0; 64];
            while stream.read(&mut ignored).await.ok()? > 0 {}
            Some(())
        };
        tokio::select! {
            _ = held => {}
            _ = gone.wait_for(|gone| *gone) => {}
        }
        connections.fetch_sub(1, Relaxed);
        Some(())
    }

    fn count_connect(&self, server: usize, line: &str) {
        let mut words = line.split(' ').skip(1);
        let (id, values) = (words.next().unwrap_or(""), words.nth(1).unwrap_or(""));
        let second = self.began.elapsed().as_secs();
        let mut attempts = self.attempts();
        let known = !attempts.client_ids.insert(id.to_string());
        let reconnecting = values.split(',').any(|pair| pair == "again=1");
        let cause = match (known, reconnecting) {
            (true, _) => Cause::Retry,
            (false, true) => Cause::Returning,
            (false, false) => Cause::First,
        };
        *attempts.by_cause.entry(cause).or_default() += 1;
        *attempts.by_second.entry((server, second)).or_default() += 1;
    }
}

/// One socket for the addresses of all servers: what arrives by the loopback interface, and nothing
/// else.
fn listen() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind_device(Some(LOOPBACK))?;
    socket.bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
    socket.listen(BACKLOG)
}

/// The next line without its end; none once the connection is over.
async fn read_line(stream: &mut TcpStream, held: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = held.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = held.drain(..=end).collect();
            return Some(String::from_utf8_lossy(&line).trim_end().to_string());
        }
        if held.len() > LINE_LIMIT || stream.read_buf(held).await.ok()? == 0 {
            return None;
        }
    }
}
