//! The stand-in discovery: the endpoint list of servers with its versions, told over HTTP/1.1 with
//! held calls as the platform's agents do, and what its calls come to. Real and simulated balancers
//! call at ports of their own, so that each kind is counted by itself. It owns the endpoint list;
//! it must never touch a server.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Holds no call for longer.
const HOLD_LIMIT: Duration = Duration::from_secs(60);

/// How a server is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    Ready,
    Removed,
}

impl Lifecycle {
    fn name(self) -> &'static str {
        match self {
            Lifecycle::Ready => "Ready",
            Lifecycle::Removed => "Gone",
        }
    }
}

/// A server as it is listed.
#[derive(Clone, Copy, Debug)]
struct Entry {
    address: SocketAddr,
    lifecycle: Lifecycle,
    started_ms: u64,
}

/// A change of one server.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub server: usize,
    pub address: SocketAddr,
    pub lifecycle: Lifecycle,
    /// It has just started.
    pub cold: bool,
}

#[derive(Default)]
struct List {
    version: u64,
    /// Each server with the version that last changed it.
    entries: BTreeMap<usize, (u64, Entry)>,
    /// The servers that each version changed.
    changed: BTreeMap<u64, Vec<usize>>,
    /// The whole list as it was last told, and its version.
    whole: Option<(u64, Arc<str>)>,
}

/// Calls by one kind of balancer.
#[derive(Debug, Default)]
pub struct CallTraffic {
    pub calls: AtomicU64,
    /// Requests and answers with their heads.
    pub bytes: AtomicU64,
}

/// Discovery, for both kinds of balancer.
pub struct Discovery {
    list: Mutex<List>,
    version: watch::Sender<u64>,
    pub for_real: SocketAddr,
    pub for_simulated: SocketAddr,
    pub real_calls: CallTraffic,
    pub simulated_calls: CallTraffic,
}

impl Discovery {
    /// Starts to answer.
    ///
    /// # Errors
    /// There is no address to listen at.
    pub async fn start() -> io::Result<Arc<Self>> {
        let [real, simulated] = [listen().await?, listen().await?];
        let discovery = Arc::new(Discovery {
            list: Mutex::default(),
            version: watch::channel(0).0,
            for_real: real.local_addr()?,
            for_simulated: simulated.local_addr()?,
            real_calls: CallTraffic::default(),
            simulated_calls: CallTraffic::default(),
        });
        tokio::spawn(discovery.clone().accept(real, true));
        tokio::spawn(discovery.clone().accept(simulated, false));
        Ok(discovery)
    }

    /// Makes all of these changes under one new version.
    pub fn change(&self, changes: &[Change]) {
        let mut list = self.list();
        list.version += 1;
        let version = list.version;
        for Change {
            server,
            address,
            lifecycle,
            cold,
        } in changes.iter().copied()
        {
            let started_ms = if cold { unix_ms() } else { 0 };
            list.entries.insert(
                server,
                (
                    version,
                    Entry {
                        address,
                        lifecycle,
                        started_ms,
                    },
                ),
            );
        }
        list.changed.insert(
            version,
            changes.iter().map(|change| change.server).collect(),
        );
        drop(list);
        self.version.send_replace(version);
    }

    /// Bytes of the whole list.
    pub fn whole_bytes(&self) -> usize {
        self.list().body(None).len()
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, real: bool) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::spawn(self.clone().serve(stream, real))),
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, real: bool) -> Option<()> {
        let traffic = if real {
            &self.real_calls
        } else {
            &self.simulated_calls
        };
        let (read, mut out) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut version = self.version.subscribe();
        loop {
            let request = lines.next_line().await.ok()??;
            let mut received = request.len() + 2;
            loop {
                let header = lines.next_line().await.ok()??;
                received += header.len() + 2;
                if header.is_empty() {
                    break;
                }
            }
            let from = query(&request, "from");
            if let Some(from) = from {
                let hold =
                    Duration::from_millis(query(&request, "hold_ms").unwrap_or(0)).min(HOLD_LIMIT);
                // Until something is new, or the hold is over.
                let _ =
                    tokio::time::timeout(hold, version.wait_for(|version| *version > from)).await;
            }
            let body = self.list().body(from);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            out.write_all(head.as_bytes()).await.ok()?;
            out.write_all(body.as_bytes()).await.ok()?;
            traffic.calls.fetch_add(1, Relaxed);
            traffic
                .bytes
                .fetch_add((received + head.len() + body.len()) as u64, Relaxed);
        }
    }
}

impl List {
    /// The answer to a call: what has changed since that version, or all.
    fn body(&mut self, from: Option<u64>) -> Arc<str> {
        let Some(from) = from else {
            return self.whole();
        };
        let servers = self
            .changed
            .range(from + 1..)
            .flat_map(|(_, servers)| servers);
        let servers: std::collections::BTreeSet<usize> = servers.copied().collect();
        let entries = servers
            .into_iter()
            .map(|server| (server, self.entries[&server].1));
        answer(self.version, false, entries).into()
    }

    fn whole(&mut self) -> Arc<str> {
        if let Some((version, text)) = &self.whole
            && *version == self.version
        {
            return text.clone();
        }
        let listed = self
            .entries
            .iter()
            .map(|(server, (_, entry))| (*server, *entry));
        let listed = listed.filter(|(_, entry)| entry.lifecycle != Lifecycle::Removed);
        let text: Arc<str> = answer(self.version, true, listed).into();
        self.whole = Some((self.version, text.clone()));
        text
    }
}

fn answer(version: u64, whole: bool, entries: impl Iterator<Item = (usize, Entry)>) -> String {
    let mut text = format!(r#"{{"generation":{version},"reset":{whole},"instances":["#);
    for (number, (server, entry)) in entries.enumerate() {
        let comma = if number > 0 { "," } else { "" };
        let Entry {
            address,
            lifecycle,
            started_ms,
        } = entry;
        let lifecycle = lifecycle.name();
        write!(
            text,
            r#"{comma}{{"instanceId":"s-{server:08x}","hostPort":"{address}","zone":"a","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started_ms}}}"#
        )
        .expect("a string takes all");
    }
    text.push_str("]}");
    text
}

/// The value of a number in the request's query.
fn query(request: &str, name: &str) -> Option<u64> {
    let mut pairs = request
        .split(['?', '&', ' '])
        .filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

async fn listen() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
