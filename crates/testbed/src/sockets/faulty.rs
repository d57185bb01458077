//! Minimal balancers on sockets, each in a process of its own: one for each mutant, which breaks one
//! rule on purpose, and a correct one. `self-check` starts them to show that the rule checker detects
//! the broken rules in runs with the stand-ins on sockets. They place flows in rotation and ignore
//! load. They are used only in runs that request them.

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

/// How long before the deadline a flow is answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Time limit of a connect to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between two attempts at one server in slow start.
const SLOW_START_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection lasts at the mutant that closes connections without `MOVE`.
const CUT_CONNECTION_LIFETIME: Duration = Duration::from_millis(700);
/// Number of attempts for one flow.
const ATTEMPTS_MAX: usize = 3;

#[derive(Clone)]
struct Server {
    address: SocketAddr,
    state: String,
    started: u64,
    /// Time of the last attempt.
    last_attempt: Option<Instant>,
}

struct Shared {
    mutant: Option<Mutant>,
    /// The servers by their ids, the number of choices so far, and the number of flows so far.
    servers: Mutex<(BTreeMap<String, Server>, usize, usize)>,
    /// Names of the traffic classes that are non-idempotent.
    non_idempotent: Vec<String>,
}

/// Why a faulty balancer failed to start.
#[derive(Debug, thiserror::Error)]
pub enum FaultyBalancerError {
    /// The environment variable that names the configuration file is not set.
    #[error("LB_CONFIG is not set")]
    NoConfig,
    /// The configuration file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The configuration file is not valid JSON.
    #[error("{file}: {source}")]
    NotJson {
        /// The configuration file.
        file: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A key has no valid address.
    #[error("{file}: key '{key}': expected an IP address with a port")]
    NoAddress {
        /// The configuration file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// The runtime did not start.
    #[error(transparent)]
    Runtime(io::Error),
    /// The balancer cannot listen at its address.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
}

/// Serves with the configuration file that `LB_CONFIG` names, until the process is killed.
///
/// # Errors
/// The configuration can't be read or is invalid, or its address can't be listened at.
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
    let shared = Arc::new(Shared {
        mutant,
        servers: Mutex::default(),
        non_idempotent: non_idempotent_classes(&config),
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
            tokio::spawn(follow_discovery(shared.clone(), discovery));
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(shared.clone(), stream));
                }
            }
        })
}

/// Returns the names of the traffic classes that must not be repeated.
fn non_idempotent_classes(config: &Value) -> Vec<String> {
    let classes = config["settings"]["service-types"].as_array();
    let classes = classes.into_iter().flatten();
    classes
        .filter(|class| class["repeat"] == "single_shot")
        .filter_map(|class| class["name"].as_str().map(String::from))
        .collect()
}

/// Updates the servers from discovery for as long as the process runs.
async fn follow_discovery(shared: Arc<Shared>, discovery: SocketAddr) {
    let mut from = None;
    loop {
        match fetch_endpoints(discovery, from).await {
            Some(value) => {
                from = value["generation"].as_u64();
                let mut guard = shared
                    .servers
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                for entry in value["instances"].as_array().into_iter().flatten() {
                    let text = |key: &str| entry[key].as_str().unwrap_or_default().to_string();
                    let Ok(address) = text("hostPort").parse() else {
                        continue;
                    };
                    let started = entry["startedAtMs"].as_u64().unwrap_or(0);
                    let server = Server {
                        address,
                        state: text("lifecycle"),
                        started,
                        last_attempt: None,
                    };
                    guard.0.insert(text("instanceId"), server);
                }
            }
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Fetches the endpoint list, or the changes since a version. Returns `None` if this fails.
async fn fetch_endpoints(discovery: SocketAddr, from: Option<u64>) -> Option<Value> {
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

    /// Returns the next server in rotation that may get an attempt, or the server that the mutant
    /// picks instead. Returns `None` if there is none. `tried` are the servers that have already had
    /// an attempt of the flow.
    fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let mut guard = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        guard.1 += 1;
        let turn = guard.1;
        let now = Instant::now();
        let floods_newest = self.is(Mutant::FloodsCold);
        if floods_newest
            && let Some(newest) = guard
                .0
                .values()
                .filter(|s| s.state == "Ready")
                .max_by_key(|s| s.started)
            && newest.started > 0
        {
            return Some(newest.address);
        }
        let draining =
            |server: &Server| self.is(Mutant::SendsToDraining) && server.state == "Terminating";
        // The mutant picks a draining server whenever there is one.
        if let Some(server) = guard
            .0
            .values()
            .find(|server| draining(server) && !tried.contains(&server.address))
        {
            return Some(server.address);
        }
        let slow_start_allows = |server: &Server| {
            server.started == 0
                || server
                    .last_attempt
                    .is_none_or(|at| at + SLOW_START_INTERVAL < now)
        };
        let fits = |server: &&mut Server| {
            server.state == "Ready" && slow_start_allows(server) && !tried.contains(&server.address)
        };
        let mut fit: Vec<&mut Server> = guard.0.values_mut().filter(fits).collect();
        if fit.is_empty() {
            return None;
        }
        let count = fit.len();
        let server = &mut fit[turn % count];
        server.last_attempt = Some(now);
        Some(server.address)
    }

    /// Whether the server at this address is ready.
    fn ready(&self, address: SocketAddr) -> bool {
        let guard = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        guard
            .0
            .values()
            .any(|server| server.address == address && server.state == "Ready")
    }

    /// Counts a flow. Returns whether the mutant breaks its rule on this flow, which is every fourth.
    fn selects_flow(&self) -> bool {
        let mut guard = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        guard.2 += 1;
        guard.2.is_multiple_of(4)
    }
}

/// Answers health checks on a client's connection until a first line opens a flow, and serves it.
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
    let accepted_at = Instant::now();
    let value = |name: &str| {
        line.trim_end()
            .split([',', ' '])
            .find_map(|pair| pair.strip_prefix(name))
    };
    let wait = Duration::from_millis(value("d=").and_then(|ms| ms.parse().ok()).unwrap_or(1000));
    let non_idempotent = shared
        .non_idempotent
        .iter()
        .any(|name| value("c=") == Some(name));
    let never_repeats = non_idempotent && !shared.is(Mutant::RepeatsNonIdempotent);
    // Standing connections are opened correctly, so that the run can begin.
    let selected = !line.contains(",at=") && shared.selects_flow();
    if selected && shared.is(Mutant::LosesAnswers) {
        tokio::time::sleep(2 * wait).await;
        return None;
    }
    if selected && shared.is(Mutant::AnswersLate) {
        tokio::time::sleep(wait + Duration::from_millis(150)).await;
        return out.write_all(b"BUSY\r\n").await.ok();
    }
    if selected && shared.is(Mutant::AnswersTwice) {
        out.write_all(b"BUSY\r\n").await.ok()?;
        tokio::time::sleep(Duration::from_millis(10)).await;
        return out.write_all(b"ERR\r\n").await.ok();
    }
    let (mut tried, mut may_have_executed) = (Vec::new(), false);
    while tried.len() < ATTEMPTS_MAX && accepted_at.elapsed() + ANSWER_MARGIN < wait {
        let Some(address) = shared.choose(&tried) else {
            break;
        };
        tried.push(address);
        let left = (wait - ANSWER_MARGIN).saturating_sub(accepted_at.elapsed());
        let second = match selected && shared.is(Mutant::ConnectsTwice) {
            true => shared.choose(&tried),
            false => None,
        };
        match connect(&shared, address, second, &line, left).await {
            AttemptOutcome::Connected(server, first) => {
                out.write_all(&first).await.ok()?;
                let client = lines.into_inner().reunite(out).ok()?;
                return relay(&shared, client, server).await;
            }
            AttemptOutcome::NotExecuted => {}
            AttemptOutcome::MayHaveExecuted => may_have_executed = true,
        }
        if may_have_executed && never_repeats {
            break;
        }
    }
    let failed = may_have_executed && non_idempotent && !shared.is(Mutant::RejectsWhatMayHaveRun);
    out.write_all(if failed { b"ERR\r\n" } else { b"BUSY\r\n" })
        .await
        .ok()
}

enum AttemptOutcome {
    /// Connected. Holds the connection to the server and the bytes that it has sent.
    Connected(TcpStream, Vec<u8>),
    NotExecuted,
    MayHaveExecuted,
}

/// Makes one attempt. With `second`, sends the line to a second server at the same time, which breaks
/// a rule.
async fn connect(
    shared: &Shared,
    address: SocketAddr,
    second: Option<SocketAddr>,
    line: &str,
    left: Duration,
) -> AttemptOutcome {
    let Ok(Ok(mut server)) =
        tokio::time::timeout(CONNECT_TIMEOUT.min(left), TcpStream::connect(address)).await
    else {
        return AttemptOutcome::NotExecuted;
    };
    let checks_state = !shared.is(Mutant::SendsToDraining) && !shared.is(Mutant::FloodsCold);
    if checks_state && !shared.ready(address) {
        return AttemptOutcome::NotExecuted;
    }
    let _ = server.set_nodelay(true);
    if server.write_all(line.as_bytes()).await.is_err() {
        return AttemptOutcome::NotExecuted;
    }
    let mut copy = None;
    if let Some(second) = second
        && let Ok(mut stream) = TcpStream::connect(second).await
    {
        let _ = stream.write_all(line.as_bytes()).await;
        copy = Some(stream);
    }
    let mut first = vec![0; 512];
    let outcome = match tokio::time::timeout(left, server.read(&mut first)).await {
        Ok(Ok(count)) if count > 0 => {
            first.truncate(count);
            match &first {
                answer if answer.starts_with(b"UP ") => AttemptOutcome::Connected(server, first),
                answer if answer.starts_with(b"BUSY") => AttemptOutcome::NotExecuted,
                _ => AttemptOutcome::MayHaveExecuted,
            }
        }
        _ => AttemptOutcome::MayHaveExecuted,
    };
    drop(copy);
    outcome
}

/// Relays bytes in both directions until the connection ends.
async fn relay(shared: &Shared, mut client: TcpStream, mut server: TcpStream) -> Option<()> {
    let both = tokio::io::copy_bidirectional(&mut client, &mut server);
    match shared.is(Mutant::CutsWithoutMove) {
        true => drop(tokio::time::timeout(CUT_CONNECTION_LIFETIME, both).await),
        false => drop(both.await),
    }
    Some(())
}
