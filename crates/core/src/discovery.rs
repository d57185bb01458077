//! Discovery: one coroutine that watches the list of servers over HTTP/1.1 and hands what it is told to the
//! desk. It owns the connection to the agent, where that is and the version of the list. It must never judge a server, and
//! never stop asking: an agent that is silent, refuses or talks nonsense is asked again soon.

mod backoff;

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nanorand::WyRand;
use nettlemux_policy::{MS, SEC, State, Time};
use serde_json::Value;
use tracing::{debug, info, warn};

use self::backoff::{Failure, QUEUE_TIMEOUT, RETRY_MIN, pause, pause_limit};
use crate::clock;
use crate::mail::{Mailbox, Sender};
use crate::net::Caller;
use crate::orders::{Ask, Entry, Event};
use crate::pool::{Buffers, Descriptors};
use crate::shared::Terms;

/// How long one call is held. Short, since a silent agent shows only once a hold is over: what it should have
/// told counts as told 2 s after.
const HOLD: Time = SEC;
/// How long past its hold a call is waited for.
const PATIENCE: Time = 500 * MS;
/// Between the starts of two calls: guards against an agent that answers at once and without end, each time with nothing
/// new or with all that it has. Well inside the 200 ms, and the shortest time in which a drain has to be kept.
const APART: Duration = Duration::from_millis(20);
/// Between two whole lists that are asked for since the agent may have been started anew: at least so long, and so long for
/// each entry of the last. An entry has some 164 bytes, so they take 1 KB a second at the most, half of what a balancer may
/// spend on control; 12,000 entries are 2 MB and 28 to 47 ms of work. One that is put off is asked for later.
const WHOLE_INTERVAL_MIN: Time = 60 * SEC;
const WHOLE_INTERVAL_PER_ENTRY: Time = 160 * MS;
/// An answer is no longer than this: guards against an endless one.
const MOST: usize = 4 << 20;
/// And nested no deeper; entries lie at the third level. Guards against a parser that follows it down past the end of a
/// coroutine's stack, which ends the coroutine without a word: 128 levels, as far as the parser goes, are too many there.
const DEEPEST: usize = 16;

/// One answer: a version of the list, whole or what has changed since the last.
#[derive(Debug, PartialEq)]
pub struct News {
    pub version: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

/// Reads an answer. An entry that can't be read is left out with a warning; it must not cost us the others.
pub fn news(value: &Value) -> Result<News, String> {
    let version = value.get("generation").and_then(Value::as_u64).ok_or("'generation' is no number")?;
    let whole = value.get("reset").and_then(Value::as_bool).ok_or("'reset' is neither true nor false")?;
    let list = value.get("instances").and_then(Value::as_array).ok_or("'instances' is no list")?;
    let read = |one| entry(one).map_err(|why| warn!(why, "an entry of the list is left out")).ok();
    Ok(News { version, whole, entries: list.iter().filter_map(read).collect() })
}

fn entry(value: &Value) -> Result<Entry, String> {
    let text = |key: &str| match value.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => String::new(),
        Some(other) => other.to_string(),
    };
    let name = text("instanceId");
    let state = match text("lifecycle").as_str() {
        "Ready" => State::Ready,
        "Terminating" => State::Draining,
        "Gone" => State::Gone,
        other => return Err(format!("{name}: 'lifecycle' is '{other}'")),
    };
    // One that is going may have lost its address with it. Guards against a drain that is passed over.
    let address = match text("hostPort").parse() {
        Ok(address) => address,
        Err(_) if state != State::Ready => SocketAddr::from(([0, 0, 0, 0], 0)),
        Err(_) => return Err(format!("{name}: 'hostPort' is no address")),
    };
    if name.is_empty() {
        return Err("'instanceId' is missing".into());
    }
    let started = value.get("startedAtMs").and_then(Value::as_u64).unwrap_or(0);
    Ok(Entry {
        name,
        address,
        zone: text("zone"),
        machine: text("machineType"),
        cell: text("cell"),
        state,
        weight: value.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
        // Guards against a time that sums run over at; one as late as that is no clock's.
        started: started.saturating_mul(MS).min(Time::MAX / 2),
    })
}

/// Where the agent is now. It may move at any time, also several times in a row.
pub struct Agent {
    now: Mutex<Whereabouts>,
}

#[derive(Clone)]
struct Whereabouts {
    address: SocketAddr,
    moves: u64,
    /// Wakes whoever waits for the agent.
    bell: Option<Sender<Event>>,
}

impl Agent {
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Agent { now: Mutex::new(Whereabouts { address, moves: 0, bell: None }) })
    }

    fn now(&self) -> MutexGuard<'_, Whereabouts> {
        self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on the agent is there: a call that is held elsewhere is dropped.
    pub fn moves_to(&self, address: SocketAddr) {
        let mut now = self.now();
        (now.address, now.moves) = (address, now.moves + 1);
        if let Some(bell) = &now.bell {
            bell.send(Event::Stop);
        }
    }
}

/// What a call needs.
pub struct Means {
    pub agent: Arc<Agent>,
    pub terms: Arc<Terms>,
    /// For random draws.
    pub seed: u64,
    pub descriptors: Arc<Descriptors>,
    pub buffers: Arc<Buffers>,
}

/// Watches for as long as the desk listens.
pub fn watch(known: Option<u64>, means: &Means, desk: &Sender<Ask>) {
    let mut version = known;
    let mut caller: Option<Caller> = None;
    // Calls that failed since the last that was answered, and whether the next one begins a watch, or is the first.
    let (mut failed, mut begins) = (0_u32, true);
    let mut rng = WyRand::new_seed(means.seed);
    let mut moves = 0;
    // The agent may have been started anew: its list may be another under the very number that we have, which nothing shows.
    let (mut restarted, mut next_whole) = (false, 0);
    loop {
        let agent = means.agent.now().clone();
        if agent.moves != moves {
            // Another agent, another count of versions: asked for all that it has. Till then the old list holds.
            info!(agent = %agent.address, "discovery has moved");
            (moves, version, caller, begins, failed) = (agent.moves, None, None, true, 0);
        }
        let ask_within = means.terms.now().asked;
        // Where one service is asked by all, a whole list for each after its failure would fill its queue.
        let since = clock::now();
        let check = restarted && ask_within.is_none() && since >= next_whole;
        let from = version.filter(|_| !check);
        // Where the list is asked for a call that begins a watch isn't held, so that its wait in the queue is all that it takes.
        let (hold, patience) = match ask_within {
            Some(_) if begins => (0, QUEUE_TIMEOUT),
            _ if from.is_none() => (0, PATIENCE),
            _ => (HOLD, PATIENCE),
        };
        let path = match from {
            Some(version) => format!("/api/targets?from={version}&hold_ms={}", hold / MS),
            None => "/api/targets".to_string(),
        };
        let result = call(&mut caller, &agent, &path, means, since + hold + patience);
        begins = result.is_err();
        let early = clock::now() < since + APART.as_nanos() as Time;
        match result {
            Ok(news) => {
                if failed > 0 {
                    info!(failed, "discovery answers again");
                }
                failed = 0;
                debug!(news.version, news.whole, entries = news.entries.len(), "list");
                let told = news.whole || !news.entries.is_empty();
                // Guards against an agent that has begun to count anew: what it has told under numbers that we think are
                // past would never come.
                let anew = !news.whole && from.is_some_and(|asked| news.version < asked);
                version = (!anew).then_some(news.version);
                if news.whole {
                    restarted = false;
                    if check {
                        let interval = WHOLE_INTERVAL_PER_ENTRY * news.entries.len() as Time;
                        next_whole = since + interval.max(WHOLE_INTERVAL_MIN);
                    }
                }
                if told {
                    desk.send(Ask::List { entries: news.entries, whole: news.whole });
                }
                if early {
                    may::coroutine::sleep(APART);
                }
            }
            Err(CallError::Moved) => caller = None,
            Err(CallError::Failed(failure, e)) => {
                caller = None;
                if failed == 0 {
                    warn!(error = %e, "discovery fails");
                    desk.send(Ask::ListFailed);
                }
                restarted |= ended(&e);
                let took = clock::now() - since;
                let pause = ask_within.map_or(RETRY_MIN, |ask_within| {
                    pause(took, failed, pause_limit(failure, took, ask_within), &mut rng)
                });
                debug!(error = %e, path, took_ms = took / MS, pause_ms = pause / MS, "no list");
                failed = failed.saturating_add(1);
                may::coroutine::sleep(Duration::from_nanos(pause));
            }
        }
    }
}

/// Why a call brought no list.
enum CallError {
    /// The agent has moved while we waited.
    Moved,
    Failed(Failure, io::Error),
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::Interrupted => CallError::Moved,
            ErrorKind::InvalidData => CallError::Failed(Failure::BadAnswer, error),
            _ => CallError::Failed(Failure::NoAnswer, error),
        }
    }
}

/// Whether the agent, or its machine, has ended the connection or takes none: it may be another process when it answers.
fn ended(error: &io::Error) -> bool {
    use ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionRefused, ConnectionReset, UnexpectedEof};
    matches!(
        error.kind(),
        BrokenPipe | ConnectionAborted | ConnectionRefused | ConnectionReset | UnexpectedEof
    )
}

fn unreadable(why: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, why)
}

fn call(
    caller: &mut Option<Caller>,
    agent: &Whereabouts,
    path: &str,
    means: &Means,
    until: Time,
) -> Result<News, CallError> {
    let mut line = match caller.take().filter(Caller::quiet) {
        Some(line) => line,
        None => {
            let slot = means.descriptors.take(0).ok_or_else(|| io::Error::other("no descriptor left"))?;
            let mailbox = Mailbox::new();
            let mut now = means.agent.now();
            now.bell = Some(mailbox.sender());
            // Moved before the bell hung.
            if now.moves != agent.moves {
                return Err(CallError::Moved);
            }
            drop(now);
            Caller::dial(mailbox, agent.address, slot, until)?
        }
    };
    let agent = agent.address;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {agent}\r\nAccept: application/json\r\n\r\n");
    line.write(request.as_bytes(), until)?;
    let (body, stays) = answer(&mut line, means, until)?;
    if deeper(&body, DEEPEST) {
        return Err(unreadable("the answer is nested too deep").into());
    }
    let value: Value = serde_json::from_slice(&body).map_err(unreadable)?;
    let news = news(&value).map_err(unreadable)?;
    if stays {
        *caller = Some(line);
    }
    Ok(news)
}

/// Whether brackets outside of texts are nested deeper than that.
fn deeper(json: &[u8], most: usize) -> bool {
    let (mut depth, mut text, mut escaped) = (0_usize, false, false);
    json.iter().any(|byte| {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = text,
            b'"' => text = !text,
            b'[' | b'{' if !text => depth += 1,
            b']' | b'}' if !text => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth > most
    })
}

/// How the length of an answer's body is told.
enum Length {
    Bytes(usize),
    Chunks,
    ToTheEnd,
}

/// Reads one answer: its body, and whether the connection stays open.
fn answer(line: &mut Caller, means: &Means, until: Time) -> io::Result<(Vec<u8>, bool)> {
    let bad = |why: &str| io::Error::new(ErrorKind::InvalidData, why.to_string());
    let mut bytes = means.buffers.take();
    let mut held = Vec::new();
    let (start, length, mut stays) = loop {
        if !more(line, &mut bytes[..], &mut held, until)? {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        if let Some(head) = head(&held)? {
            break head;
        }
    };
    let mut rest = held.split_off(start);
    let body = match length {
        Length::Bytes(count) => {
            while rest.len() < count {
                if !more(line, &mut bytes[..], &mut rest, until)? {
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
            // More than it told is the answer to nothing.
            stays &= rest.len() == count;
            rest.truncate(count);
            rest
        }
        Length::ToTheEnd => {
            while more(line, &mut bytes[..], &mut rest, until)? {}
            stays = false;
            rest
        }
        Length::Chunks => {
            let mut body = Vec::new();
            loop {
                match httparse::parse_chunk_size(&rest).map_err(|_| bad("a chunk has no size"))? {
                    httparse::Status::Complete((size, count)) => {
                        // Before it is added to: guards against a size that the sum runs over at.
                        if count > MOST as u64 {
                            return Err(bad("a chunk is too long"));
                        }
                        let end = size + count as usize + 2;
                        while rest.len() < end {
                            if !more(line, &mut bytes[..], &mut rest, until)? {
                                return Err(ErrorKind::UnexpectedEof.into());
                            }
                        }
                        body.extend_from_slice(&rest[size..end - 2]);
                        rest.drain(..end);
                        if count == 0 {
                            stays &= rest.is_empty();
                            break body;
                        }
                    }
                    httparse::Status::Partial => {
                        if !more(line, &mut bytes[..], &mut rest, until)? {
                            return Err(ErrorKind::UnexpectedEof.into());
                        }
                    }
                }
            }
        }
    };
    Ok((body, stays))
}

/// Reads the head, once it is complete: where the body begins, how long it is, whether the connection stays.
fn head(bytes: &[u8]) -> io::Result<Option<(usize, Length, bool)>> {
    let bad = |why: String| io::Error::new(ErrorKind::InvalidData, why);
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let start = match response.parse(bytes).map_err(|e| bad(e.to_string()))? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial => return Ok(None),
    };
    if response.code != Some(200) {
        return Err(bad(format!("answered {}", response.code.unwrap_or(0))));
    }
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
    };
    let length = match (header("transfer-encoding"), header("content-length")) {
        (Some(coding), _) if coding == "chunked" => Length::Chunks,
        (Some(coding), _) => return Err(bad(format!("unknown transfer coding '{coding}'"))),
        (None, Some(count)) => {
            let count = count.parse().ok().filter(|count| *count <= MOST);
            Length::Bytes(count.ok_or_else(|| bad("no sane content length".into()))?)
        }
        (None, None) => Length::ToTheEnd,
    };
    let stays = response.version == Some(1) && header("connection").as_deref() != Some("close");
    Ok(Some((start, length, stays)))
}

fn more(line: &mut Caller, bytes: &mut [u8], held: &mut Vec<u8>, until: Time) -> io::Result<bool> {
    let count = line.read(bytes, until)?;
    held.extend_from_slice(&bytes[..count]);
    if held.len() > MOST {
        return Err(io::Error::new(ErrorKind::InvalidData, "the answer is too long"));
    }
    Ok(count > 0)
}

#[cfg(test)]
mod tests;
