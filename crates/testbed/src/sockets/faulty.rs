//! Small balancers on sockets that break one rule each on purpose, and a sound one beside them: a
//! process of its own each, started by `self-check` to show that the rule checker catches them
//! where they cross real stand-ins. They place in turn, know no load, and are never part of a run
//! that isn't asked for them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::file_error::FileError;
use crate::mutants::Mutant;

/// Answers so long before the client's time is up.
const MARGIN: Duration = Duration::from_millis(40);
const DIAL: Duration = Duration::from_millis(250);
/// Connects to one server in slow start come this far apart.
const COLD: Duration = Duration::from_secs(1);
/// How long a connection lasts at one that cuts them off.
const CUT: Duration = Duration::from_millis(700);
/// Connects for one flow.
const TRIES: usize = 3;

#[derive(Clone)]
struct Server {
    address: SocketAddr,
    state: String,
    started: u64,
    sent: Option<Instant>,
}

struct Shared {
    mutant: Option<Mutant>,
    servers: Mutex<(BTreeMap<String, Server>, usize, usize)>,
    once_only: Vec<String>,
}

/// Why a faulty balancer cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum FaultyBalancerError {
    /// The configuration's file is not named.
    #[error("LB_CONFIG is not set")]
    NoConfig,
    /// The configuration's file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The configuration is no JSON.
    #[error("{file}: {source}")]
    NotJson {
        /// The configuration's file.
        file: String,
        /// What the JSON reader found.
        source: serde_json::Error,
    },
    /// A key without an address.
    #[error("{file}: key '{key}': no address")]
    NoAddress {
        /// The configuration's file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// The runtime did not start.
    #[error(transparent)]
    Runtime(io::Error),
    /// There is no listening at the address.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// Serves by the configuration that `LB_CONFIG` names, until it is killed.
///
/// # Errors
/// The configuration or an address can't be had.
pub fn run(mutant: Option<Mutant>) -> Result<(), FaultyBalancerError> {
    let file = std::env::var("LB_CONFIG").map_err(|_| FaultyBalancerError::NoConfig)?;
    let text = std::fs::read_to_string(&file).map_err(FileError::at(Path::new(&file)))?;
    let config: Value = match serde_json::from_str(&text) {
        Ok(config) => config,
        Err(source) => return Err(FaultyBalancerError::NotJson { file, source }),
    };
    let address = |key: &'static str| -> Result<SocketAddr, FaultyBalancerError> {
        config[key]
            .as_str()
            .and_then(|at| at.parse().ok())
            .ok_or_else(|| FaultyBalancerError::NoAddress {
                file: file.clone(),
                key,
            })
    };
    let (listen, discovery) = (address("listen")?, address("discovery")?);
    let types = config["settings"]["service-types"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let once_only = types.iter().filter(|one| one["repeat"] == "single_shot");
    let once_only = once_only
        .filter_map(|one| one["name"].as_str().map(String::from))
        .collect();
    let shared = Arc::new(Shared {
        mutant,
        servers: Mutex::default(),
        once_only,
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(FaultyBalancerError::Runtime)?
        .block_on(async {
            let listener =
                TcpListener::bind(listen)
                    .await
                    .map_err(|source| FaultyBalancerError::Listen {
                        address: listen,
                        source,
                    })?;
            tokio::spawn(watch(shared.clone(), discovery));
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(shared.clone(), stream));
                }
            }
        })
}

async fn watch(shared: Arc<Shared>, discovery: SocketAddr) {
    let mut from = None;
    loop {
        match news(discovery, from).await {
            Some(value) => {
                from = value["generation"].as_u64();
                let mut held = shared
                    .servers
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                for one in value["instances"].as_array().into_iter().flatten() {
                    let text = |key: &str| one[key].as_str().unwrap_or_default().to_string();
                    let Ok(address) = text("hostPort").parse() else {
                        continue;
                    };
                    let started = one["startedAtMs"].as_u64().unwrap_or(0);
                    let server = Server {
                        address,
                        state: text("lifecycle"),
                        started,
                        sent: None,
                    };
                    held.0.insert(text("instanceId"), server);
                }
            }
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn news(discovery: SocketAddr, from: Option<u64>) -> Option<Value> {
    let mut stream = TcpStream::connect(discovery).await.ok()?;
    let path = from.map_or("/api/targets".into(), |from| {
        format!("/api/targets?from={from}&hold_ms=500")
    });
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: lab\r\n\r\n").as_bytes())
        .await
        .ok()?;
    let mut lines = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        lines
            .read_line(&mut line)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        if line == "\r\n" {
            break;
        }
        if let Some(count) = line.strip_prefix("Content-Length: ") {
            length = count.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    lines.read_exact(&mut body).await.ok()?;
    serde_json::from_slice(&body).ok()
}

impl Shared {
    fn is(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// A server in turn that may be sent to, or what mutant makes of that; and the number of this
    /// question.
    fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let mut held = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        held.1 += 1;
        let turn = held.1;
        let now = Instant::now();
        let floods = self.is(Mutant::FloodsCold);
        if floods
            && let Some(cold) = held
                .0
                .values()
                .filter(|s| s.state == "Ready")
                .max_by_key(|s| s.started)
            && cold.started > 0
        {
            return Some(cold.address);
        }
        let draining =
            |server: &Server| self.is(Mutant::SendsToDraining) && server.state == "Terminating";
        // A mutant goes where it must not whenever it can.
        if let Some(server) = held
            .0
            .values()
            .find(|server| draining(server) && !tried.contains(&server.address))
        {
            return Some(server.address);
        }
        let spared =
            |server: &Server| server.started == 0 || server.sent.is_none_or(|at| at + COLD < now);
        let fits = |server: &&mut Server| {
            server.state == "Ready" && spared(server) && !tried.contains(&server.address)
        };
        let mut fit: Vec<&mut Server> = held.0.values_mut().filter(fits).collect();
        if fit.is_empty() {
            return None;
        }
        let count = fit.len();
        let server = &mut fit[turn % count];
        server.sent = Some(now);
        Some(server.address)
    }

    fn ready(&self, address: SocketAddr) -> bool {
        let held = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        held.0
            .values()
            .any(|server| server.address == address && server.state == "Ready")
    }

    /// Whether this flow is one of those on which mutant is done.
    fn picked(&self) -> bool {
        let mut held = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        held.2 += 1;
        held.2.is_multiple_of(4)
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let (read, mut out) = stream.into_split();
    let mut lines = BufReader::new(read);
    let mut line = String::new();
    loop {
        line.clear();
        lines
            .read_line(&mut line)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        if line.starts_with("OPEN ") {
            break;
        }
        out.write_all(b"PONG\r\n").await.ok()?;
    }
    let taken = Instant::now();
    let value = |name: &str| {
        line.trim_end()
            .split([',', ' '])
            .find_map(|pair| pair.strip_prefix(name))
    };
    let wait = Duration::from_millis(value("d=").and_then(|ms| ms.parse().ok()).unwrap_or(1000));
    let once_only = shared
        .once_only
        .iter()
        .any(|name| value("c=") == Some(name));
    let careful = once_only && !shared.is(Mutant::RepeatsNonIdempotent);
    // What stood before the run is set up soundly, so that the run can begin.
    let picked = !line.contains(",at=") && shared.picked();
    if picked && shared.is(Mutant::LosesAnswers) {
        tokio::time::sleep(2 * wait).await;
        return None;
    }
    if picked && shared.is(Mutant::AnswersLate) {
        tokio::time::sleep(wait + Duration::from_millis(150)).await;
        return out.write_all(b"BUSY\r\n").await.ok();
    }
    if picked && shared.is(Mutant::AnswersTwice) {
        out.write_all(b"BUSY\r\n").await.ok()?;
        tokio::time::sleep(Duration::from_millis(10)).await;
        return out.write_all(b"ERR\r\n").await.ok();
    }
    let (mut tried, mut ran) = (Vec::new(), false);
    while tried.len() < TRIES && taken.elapsed() + MARGIN < wait {
        let Some(address) = shared.choose(&tried) else {
            break;
        };
        tried.push(address);
        let left = (wait - MARGIN).saturating_sub(taken.elapsed());
        let second = match picked && shared.is(Mutant::ConnectsTwice) {
            true => shared.choose(&tried),
            false => None,
        };
        match connect(&shared, address, second, &line, left).await {
            TryOutcome::Up(server, first) => {
                out.write_all(&first).await.ok()?;
                let client = lines.into_inner().reunite(out).ok()?;
                return relay(&shared, client, server).await;
            }
            TryOutcome::NeverRan => {}
            TryOutcome::MayHaveRun => ran = true,
        }
        if ran && careful {
            break;
        }
    }
    let failed = ran && once_only && !shared.is(Mutant::RejectsWhatMayHaveRun);
    out.write_all(if failed { b"ERR\r\n" } else { b"BUSY\r\n" })
        .await
        .ok()
}

enum TryOutcome {
    Up(TcpStream, Vec<u8>),
    NeverRan,
    MayHaveRun,
}

async fn connect(
    shared: &Shared,
    address: SocketAddr,
    second: Option<SocketAddr>,
    line: &str,
    left: Duration,
) -> TryOutcome {
    let Ok(Ok(mut server)) =
        tokio::time::timeout(DIAL.min(left), TcpStream::connect(address)).await
    else {
        return TryOutcome::NeverRan;
    };
    let sound = !shared.is(Mutant::SendsToDraining) && !shared.is(Mutant::FloodsCold);
    if sound && !shared.ready(address) {
        return TryOutcome::NeverRan;
    }
    let _ = server.set_nodelay(true);
    if server.write_all(line.as_bytes()).await.is_err() {
        return TryOutcome::NeverRan;
    }
    let mut copy = None;
    if let Some(second) = second
        && let Ok(mut stream) = TcpStream::connect(second).await
    {
        let _ = stream.write_all(line.as_bytes()).await;
        copy = Some(stream);
    }
    let mut first = vec![0; 512];
    let came = match tokio::time::timeout(left, server.read(&mut first)).await {
        Ok(Ok(count)) if count > 0 => {
            first.truncate(count);
            match &first {
                answer if answer.starts_with(b"UP ") => TryOutcome::Up(server, first),
                answer if answer.starts_with(b"BUSY") => TryOutcome::NeverRan,
                _ => TryOutcome::MayHaveRun,
            }
        }
        _ => TryOutcome::MayHaveRun,
    };
    drop(copy);
    came
}

async fn relay(shared: &Shared, mut client: TcpStream, mut server: TcpStream) -> Option<()> {
    let both = tokio::io::copy_bidirectional(&mut client, &mut server);
    match shared.is(Mutant::CutsWithoutMove) {
        true => drop(tokio::time::timeout(CUT, both).await),
        false => drop(both.await),
    }
    Some(())
}
