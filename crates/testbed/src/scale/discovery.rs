//! Simulated discovery service: serves the versioned endpoint list over HTTP/1.1 with long polling,
//! as the platform's discovery agents do, and counts its calls. Real and simulated balancers call at
//! separate ports, so that each kind is counted separately. This module owns the endpoint list and
//! never contacts a server.

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

/// Longest time for which a call is held.
const HOLD_MAX: Duration = Duration::from_secs(60);

/// State of a server on the endpoint list.
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

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
struct Entry {
    address: SocketAddr,
    lifecycle: Lifecycle,
    started_ms: u64,
}

/// A change of one entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub server: usize,
    pub address: SocketAddr,
    pub lifecycle: Lifecycle,
    /// Whether the server has just started.
    pub just_started: bool,
}

#[derive(Default)]
struct EndpointList {
    version: u64,
    /// Entry of each server, with the version that last changed it.
    entries: BTreeMap<usize, (u64, Entry)>,
    /// The servers that each version changed.
    changed: BTreeMap<u64, Vec<usize>>,
    /// The complete list as last encoded, and its version.
    complete: Option<(u64, Arc<str>)>,
}

/// Counters of the calls by one kind of balancer.
#[derive(Debug, Default)]
pub struct CallTraffic {
    pub calls: AtomicU64,
    /// Bytes of requests and responses, including headers.
    pub bytes: AtomicU64,
}

/// The simulated discovery service.
pub struct Discovery {
    list: Mutex<EndpointList>,
    version: watch::Sender<u64>,
    /// Address at which real balancers call.
    pub for_real: SocketAddr,
    /// Address at which simulated balancers call.
    pub for_simulated: SocketAddr,
    pub real_calls: CallTraffic,
    pub simulated_calls: CallTraffic,
}

impl Discovery {
    /// Starts the service.
    ///
    /// # Errors
    /// Listening on loopback failed.
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

    /// Applies all these changes under one new version.
    pub fn apply(&self, changes: &[Change]) {
        let mut list = self.list();
        list.version += 1;
        let version = list.version;
        for Change {
            server,
            address,
            lifecycle,
            just_started,
        } in changes.iter().copied()
        {
            let started_ms = if just_started { unix_ms() } else { 0 };
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

    /// Bytes of the complete list as a response body.
    pub fn complete_list_bytes(&self) -> usize {
        self.list().response_body(None).len()
    }

    fn list(&self) -> MutexGuard<'_, EndpointList> {
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
            let from = query_number(&request, "from");
            if let Some(from) = from {
                let hold = Duration::from_millis(query_number(&request, "hold_ms").unwrap_or(0))
                    .min(HOLD_MAX);
                // Waits until the list changes or the hold time ends.
                let _ =
                    tokio::time::timeout(hold, version.wait_for(|version| *version > from)).await;
            }
            let body = self.list().response_body(from);
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

impl EndpointList {
    /// Returns the response body of a call: the changes since that version, or the complete list for
    /// `None`.
    fn response_body(&mut self, from: Option<u64>) -> Arc<str> {
        let Some(from) = from else {
            return self.complete_list();
        };
        let servers = self
            .changed
            .range(from + 1..)
            .flat_map(|(_, servers)| servers);
        let servers: std::collections::BTreeSet<usize> = servers.copied().collect();
        let entries = servers
            .into_iter()
            .map(|server| (server, self.entries[&server].1));
        encode_response(self.version, false, entries).into()
    }

    fn complete_list(&mut self) -> Arc<str> {
        if let Some((version, text)) = &self.complete
            && *version == self.version
        {
            return text.clone();
        }
        let listed = self
            .entries
            .iter()
            .map(|(server, (_, entry))| (*server, *entry));
        let listed = listed.filter(|(_, entry)| entry.lifecycle != Lifecycle::Removed);
        let text: Arc<str> = encode_response(self.version, true, listed).into();
        self.complete = Some((self.version, text.clone()));
        text
    }
}

fn encode_response(
    version: u64,
    is_complete: bool,
    entries: impl Iterator<Item = (usize, Entry)>,
) -> String {
    let mut text = format!(r#"{{"generation":{version},"reset":{is_complete},"instances":["#);
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
        .expect("writing to a string can't fail");
    }
    text.push_str("]}");
    text
}

/// Returns the value of a numeric parameter in the request's query.
fn query_number(request: &str, name: &str) -> Option<u64> {
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
