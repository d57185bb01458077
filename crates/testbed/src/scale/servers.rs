//! Simulated servers. All run in this process; each has its own loopback address, and one listening
//! socket serves all of them. They answer health checks, accept attempts, hold connections and count
//! them, but do no work. This module owns the listener and the counters.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Address of the first server. The others use the addresses after it, which don't overlap those of
/// balancers and discovery agents.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 64, 0, 1]);
/// Connections that the system queues until they are accepted.
const BACKLOG: u32 = 4096;
/// Longest line that is read, as on the platform: 4096 bytes and the line end.
const LINE_BYTES_MAX: usize = 4096 + 2;
/// The loopback interface. Connections that arrive on any other are never accepted.
const LOOPBACK: &[u8] = b"lo";
/// Source address of real balancers. Each simulated balancer has a source address of its own.
pub const REAL_SOURCE: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// A server's capacity is this many times the mean number of connections. Its utilization is its
/// connections divided by its capacity.
const CAPACITY_FACTOR: f64 = 4.0;
/// Lowest capacity of a server, in connections.
const CAPACITY_MIN: f64 = 32.0;

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The client connects for the first time.
    First,
    /// The client's previous connection was lost or migrated.
    Returning,
    /// The attempt retries an earlier one with the same client id.
    Retry,
}

/// Counters of the traffic from real balancers, or from simulated ones.
#[derive(Debug, Default)]
pub struct Traffic {
    pub probes: AtomicU64,
    pub probe_bytes: AtomicU64,
    pub attempts: AtomicU64,
}

/// One server.
struct Server {
    connections: AtomicI64,
    /// Set once the server is removed, which ends its connections.
    removed: watch::Sender<bool>,
    /// When a real balancer first sent this server a line.
    first_seen: Mutex<Option<Instant>>,
}

/// Counters of attempts.
#[derive(Debug, Default)]
struct AttemptCounts {
    by_cause: HashMap<Cause, u64>,
    /// Attempts for each server and second since the start.
    by_second: HashMap<(usize, u64), u64>,
    client_ids: HashSet<String>,
}

/// All simulated servers.
pub struct Servers {
    port: u16,
    all: Vec<Server>,
    capacity: f64,
    started_at: Instant,
    attempts: Mutex<AttemptCounts>,
    pub from_real: Traffic,
    pub from_simulated: Traffic,
}

impl Servers {
    /// Starts `number` servers, of which `listed` are on the endpoint list at first; the others may be
    /// listed later. `connections` is the number of connections expected at all servers together.
    ///
    /// # Errors
    /// Listening on the loopback interface failed.
    pub fn start(number: usize, listed: usize, connections: f64) -> io::Result<Arc<Self>> {
        let listener = listen()?;
        let server = || Server {
            connections: AtomicI64::new(0),
            removed: watch::channel(false).0,
            first_seen: Mutex::new(None),
        };
        let servers = Arc::new(Servers {
            port: listener.local_addr()?.port(),
            all: (0..number).map(|_| server()).collect(),
            capacity: (CAPACITY_FACTOR * connections / listed.max(1) as f64).max(CAPACITY_MIN),
            started_at: Instant::now(),
            attempts: Mutex::default(),
            from_real: Traffic::default(),
            from_simulated: Traffic::default(),
        });
        let accepting = servers.clone();
        tokio::spawn(async move {
            loop {
                // Fails if descriptors have temporarily run out or the connection has already ended.
                let Ok((stream, from)) = listener.accept().await else {
                    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                    continue;
                };
                tokio::spawn(accepting.clone().serve(stream, from));
            }
        });
        Ok(servers)
    }

    /// The address that this server listens on.
    pub fn address(&self, server: usize) -> SocketAddr {
        let address = Ipv4Addr::from_bits(FIRST_ADDRESS + server as u32);
        SocketAddr::from((address, self.port))
    }

    fn server_at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(address) = address.ip() else {
            return None;
        };
        let server = address.to_bits().checked_sub(FIRST_ADDRESS)? as usize;
        (server < self.all.len()).then_some(server)
    }

    /// Removes this server: ends its connections and accepts no more.
    pub fn remove(&self, server: usize) {
        self.all[server].removed.send_replace(true);
    }

    /// When a real balancer first sent this server a health check or an attempt.
    pub fn first_seen(&self, server: usize) -> Option<Instant> {
        *self.all[server]
            .first_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn connections(&self, server: usize) -> i64 {
        self.all[server].connections.load(Relaxed)
    }

    pub fn attempts_by_cause(&self, cause: Cause) -> u64 {
        self.attempts().by_cause.get(&cause).copied().unwrap_or(0)
    }

    /// Highest number of attempts that any server selected by `includes` received within a second,
    /// from the second of `since` on.
    pub fn attempts_in_a_second_max(
        &self,
        since: Instant,
        includes: impl Fn(usize) -> bool,
    ) -> u64 {
        let first_second = since.duration_since(self.started_at).as_secs();
        let attempts = self.attempts();
        let later = attempts
            .by_second
            .iter()
            .filter(|((server, second), _)| *second >= first_second && includes(*server));
        later.map(|(_, count)| *count).max().unwrap_or(0)
    }

    fn attempts(&self) -> MutexGuard<'_, AttemptCounts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, from: SocketAddr) -> Option<()> {
        let server = self.server_at(stream.local_addr().ok()?)?;
        let real = from.ip() == REAL_SOURCE;
        let traffic = if real {
            &self.from_real
        } else {
            &self.from_simulated
        };
        let mut removed = self.all[server].removed.subscribe();
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let line = tokio::select! {
                line = read_line(&mut stream, &mut buffer) => line?,
                _ = removed.wait_for(|removed| *removed) => return None,
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
                return self.hold_connection(server, stream, &line, removed).await;
            }
            let answer = self.load_report(server);
            stream.write_all(answer.as_bytes()).await.ok()?;
            traffic.probes.fetch_add(1, Relaxed);
            traffic
                .probe_bytes
                .fetch_add((line.len() + 2 + answer.len()) as u64, Relaxed);
        }
    }

    fn load_report(&self, server: usize) -> String {
        let connections = self.connections(server);
        let load = connections as f64 / self.capacity;
        format!("PONG x0={load:.4},inflight={connections}\r\n")
    }

    async fn hold_connection(
        &self,
        server: usize,
        mut stream: TcpStream,
        line: &str,
        mut removed: watch::Receiver<bool>,
    ) -> Option<()> {
        self.count_attempt(server, line);
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
            _ = removed.wait_for(|removed| *removed) => {}
        }
        connections.fetch_sub(1, Relaxed);
        Some(())
    }

    fn count_attempt(&self, server: usize, line: &str) {
        let mut words = line.split(' ').skip(1);
        let (id, values) = (words.next().unwrap_or(""), words.nth(1).unwrap_or(""));
        let second = self.started_at.elapsed().as_secs();
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

/// Opens one listening socket for the addresses of all servers. It accepts only connections that
/// arrive on the loopback interface.
fn listen() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind_device(Some(LOOPBACK))?;
    socket.bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
    socket.listen(BACKLOG)
}

/// Returns the next line without its line end, or `None` once the connection has ended or the line is
/// too long. `buffer` keeps the bytes after the line.
async fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            return Some(String::from_utf8_lossy(&line).trim_end().to_string());
        }
        if buffer.len() > LINE_BYTES_MAX || stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
