//! A toy discovery agent: it serves an endpoint list over HTTP/1.1 and behaves as it is told.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Lines, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest that a call to the agent is held.
const HOLD_MAX_MS: u64 = 60_000;
/// How many calls the agent keeps on record.
const RECORDED_CALLS_MAX: usize = 10_000;

/// A server as the agent lists it.
struct ListEntry {
    /// The version of the list in which it changed last.
    version: u64,
    address: SocketAddr,
    /// `Ready`, `Terminating` or `Gone`.
    lifecycle: String,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    started_ms: u64,
}

impl ListEntry {
    fn to_json(&self, id: &str) -> String {
        let ListEntry {
            address,
            lifecycle,
            started_ms,
            ..
        } = self;
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"a","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started_ms}}}"#
        )
    }
}

/// The agent's endpoint list.
#[derive(Default)]
struct EndpointList {
    version: u64,
    entries: BTreeMap<String, ListEntry>,
}

impl EndpointList {
    /// Returns the answer to a call: what has changed since a version, or the whole list.
    fn to_json(&self, from_version: Option<u64>) -> String {
        let is_included = |entry: &ListEntry| match from_version {
            Some(from) => entry.version > from,
            None => entry.lifecycle != "Gone",
        };
        let entries: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_included(entry))
            .map(|(id, entry)| entry.to_json(id))
            .collect();
        format!(
            r#"{{"generation":{},"reset":{},"instances":[{}]}}"#,
            self.version,
            from_version.is_none(),
            entries.join(",")
        )
    }
}

/// How the agent treats its callers. The durations are waits in a queue before a call is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentBehavior {
    /// Answers each call.
    Answering(Duration),
    /// Reads calls and answers none.
    Silent,
    /// Answers each call with status 503, unless it answers again by then.
    Rejecting(Duration),
    /// Closes the connection.
    Closing(Duration),
}

/// A call on the agent's record.
#[derive(Clone, Copy, Debug)]
pub struct RecordedCall {
    /// The version from which it asked; none if it asked for the whole list.
    pub from_version: Option<u64>,
    pub received_at: Instant,
    /// When it was answered with a list.
    pub answered_at: Option<Instant>,
}

/// A discovery agent that serves the endpoint list over HTTP/1.1.
pub struct DiscoveryAgent {
    pub address: SocketAddr,
    list: Mutex<EndpointList>,
    changed: Condvar,
    behavior: Mutex<AgentBehavior>,
    calls: Mutex<Vec<RecordedCall>>,
}

/// What the request line of a call asks for.
struct ListRequest {
    from_version: Option<u64>,
    /// How long the call is held while nothing changes.
    hold: Duration,
}

impl ListRequest {
    /// Reads a request and its headers; `None` at the end of the connection.
    fn read(lines: &mut Lines<BufReader<TcpStream>>) -> Option<Self> {
        let request_line = lines.next()?.ok()?;
        while !lines.next()?.ok()?.is_empty() {}
        let parameters: BTreeMap<&str, u64> = request_line
            .split(['?', '&', ' '])
            .filter_map(|pair| pair.split_once('='))
            .filter_map(|(key, value)| Some((key, value.parse().ok()?)))
            .collect();
        let hold_ms = parameters.get("hold_ms").copied().unwrap_or(0);
        Some(ListRequest {
            from_version: parameters.get("from").copied(),
            hold: Duration::from_millis(hold_ms.min(HOLD_MAX_MS)),
        })
    }
}

impl DiscoveryAgent {
    /// Starts an agent with an empty list that listens at this address, with a thread for each
    /// connection.
    ///
    /// # Errors
    /// If it can't listen there.
    pub fn start(address: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let agent = Arc::new(DiscoveryAgent {
            address: listener.local_addr()?,
            list: Mutex::default(),
            changed: Condvar::new(),
            behavior: Mutex::new(AgentBehavior::Answering(Duration::ZERO)),
            calls: Mutex::default(),
        });
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve_connection(stream));
            }
        });
        Ok(agent)
    }

    /// Lists a server in this state, as one that started long ago; `Gone` removes it.
    pub fn publish(&self, id: &str, address: SocketAddr, lifecycle: &str) {
        self.publish_started(id, address, lifecycle, 0);
    }

    /// Lists a server in this state that started at this Unix time, in milliseconds.
    pub fn publish_started(&self, id: &str, address: SocketAddr, lifecycle: &str, started_ms: u64) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        let entry = ListEntry {
            version: list.version,
            address,
            lifecycle: lifecycle.into(),
            started_ms,
        };
        list.entries.insert(id.into(), entry);
        self.changed.notify_all();
    }

    /// Counts versions from one again, as an agent that was restarted does; held calls are
    /// answered.
    pub fn restart_versions(&self) {
        let mut list = self.list.lock().unwrap();
        list.entries
            .values_mut()
            .zip(1..)
            .for_each(|(entry, version)| entry.version = version);
        list.version = list.entries.len() as u64;
        self.changed.notify_all();
    }

    /// Changes how it treats its callers.
    pub fn set_behavior(&self, behavior: AgentBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Answers no further call until [`resume`](Self::resume).
    pub fn silence(&self) {
        self.set_behavior(AgentBehavior::Silent);
    }

    /// Answers each call at once from now on.
    pub fn resume(&self) {
        self.set_behavior(AgentBehavior::Answering(Duration::ZERO));
    }

    fn behavior(&self) -> AgentBehavior {
        *self.behavior.lock().unwrap()
    }

    /// Returns the version of its list.
    pub fn version(&self) -> u64 {
        self.list.lock().unwrap().version
    }

    /// Returns the calls so far, in order.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.calls.lock().unwrap().clone()
    }

    /// Records a call and returns its index.
    fn record_call(&self, from_version: Option<u64>) -> usize {
        let mut calls = self.calls.lock().unwrap();
        if calls.len() < RECORDED_CALLS_MAX {
            calls.push(RecordedCall {
                from_version,
                received_at: Instant::now(),
                answered_at: None,
            });
        }
        calls.len() - 1
    }

    /// Serves one connection until it ends.
    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        loop {
            let request = ListRequest::read(&mut lines)?;
            let call = self.record_call(request.from_version);
            match self.behavior() {
                AgentBehavior::Answering(queue) => thread::sleep(queue),
                AgentBehavior::Silent => continue,
                AgentBehavior::Rejecting(queue) => {
                    thread::sleep(queue);
                    if !matches!(self.behavior(), AgentBehavior::Answering(_)) {
                        out.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                            .ok()?;
                        continue;
                    }
                }
                AgentBehavior::Closing(queue) => {
                    thread::sleep(queue);
                    return out.shutdown(Shutdown::Both).ok();
                }
            }
            let body = self.held_answer(&request);
            self.calls.lock().unwrap()[call].answered_at = Some(Instant::now());
            write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .ok()?;
        }
    }

    /// Waits until the list differs from the caller's or the hold is over, and returns the answer.
    fn held_answer(&self, request: &ListRequest) -> String {
        let list = self.list.lock().unwrap();
        let (list, _) = self
            .changed
            .wait_timeout_while(list, request.hold, |list| {
                Some(list.version) == request.from_version
            })
            .unwrap();
        list.to_json(request.from_version)
    }
}
