//! A toy discovery agent. It serves an endpoint list over HTTP/1.1 and can simulate faults.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader, Lines, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that a call to the agent is held open.
const HOLD_MAX_MS: u64 = 60_000;
/// Number of calls that the agent records.
const RECORDED_CALLS_MAX: usize = 10_000;

/// A server as the agent lists it.
struct ListEntry {
    /// The version of the list in which this entry was last changed.
    version: u64,
    address: SocketAddr,
    /// Servers of the same cell drop each other's repeats.
    cell: u64,
    /// `Ready`, `Terminating` or `Gone`.
    lifecycle: String,
    /// The server's start time as Unix time in milliseconds; 0 stands for long ago.
    started_ms: u64,
}

impl ListEntry {
    fn to_json(&self, id: &str) -> String {
        let ListEntry {
            address,
            cell,
            lifecycle,
            started_ms,
            ..
        } = self;
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"a","machineType":"m","cell":{cell},"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started_ms}}}"#
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
    /// Returns the answer to a call: the entries changed after `from_version`, or the complete list
    /// for `None`.
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

/// How the agent handles calls. The durations are how long a call is queued before it is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentBehavior {
    /// Answers each call.
    Serving(Duration),
    /// Reads calls and answers none.
    Silent,
    /// Answers each call with status 503, unless the behavior is `Serving` by the time that the call
    /// is processed.
    Rejecting(Duration),
    /// Closes the connection.
    Closing(Duration),
}

/// A call that the agent has recorded.
#[derive(Clone, Copy, Debug)]
pub struct RecordedCall {
    /// The version after which the caller asked for changes; `None` if it asked for the complete
    /// list.
    pub from_version: Option<u64>,
    pub received_at: Instant,
    /// When the call was answered with a list.
    pub answered_at: Option<Instant>,
}

/// A discovery agent that serves the endpoint list over HTTP/1.1.
pub struct DiscoveryAgent {
    pub address: SocketAddr,
    list: Mutex<EndpointList>,
    changed: Condvar,
    behavior: Mutex<AgentBehavior>,
    /// How the next calls are handled; later ones are handled by `behavior`.
    next_behaviors: Mutex<VecDeque<AgentBehavior>>,
    recorded_calls: Mutex<Vec<RecordedCall>>,
}

/// The parameters in the request line of a call.
struct ListRequest {
    from_version: Option<u64>,
    /// How long the call is held open while the list doesn't change.
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
    /// If listening at the address fails.
    pub fn start(address: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let agent = Arc::new(DiscoveryAgent {
            address: listener.local_addr()?,
            list: Mutex::default(),
            changed: Condvar::new(),
            behavior: Mutex::new(AgentBehavior::Serving(Duration::ZERO)),
            next_behaviors: Mutex::default(),
            recorded_calls: Mutex::default(),
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

    /// Lists a server with this lifecycle state, as a server that started long ago. `Gone` removes it.
    pub fn publish(&self, id: &str, address: SocketAddr, lifecycle: &str) {
        self.publish_started(id, address, lifecycle, 0);
    }

    /// Lists a server with this lifecycle state and this start time, as Unix time in milliseconds.
    pub fn publish_started(&self, id: &str, address: SocketAddr, lifecycle: &str, started_ms: u64) {
        self.insert(id, |version| ListEntry {
            version,
            address,
            cell: 0,
            lifecycle: lifecycle.into(),
            started_ms,
        });
    }

    /// Lists a server of this cell with this lifecycle state, as a server that started long ago.
    pub fn publish_in_cell(&self, id: &str, address: SocketAddr, lifecycle: &str, cell: u64) {
        self.insert(id, |version| ListEntry {
            version,
            address,
            cell,
            lifecycle: lifecycle.into(),
            started_ms: 0,
        });
    }

    /// Replaces a server's entry by the one that `entry` returns for the list's new version.
    fn insert(&self, id: &str, entry: impl FnOnce(u64) -> ListEntry) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        let entry = entry(list.version);
        list.entries.insert(id.into(), entry);
        self.changed.notify_all();
    }

    /// Restarts the version numbers at 1, as a restarted agent does. Calls that are held open are
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

    /// Changes how the agent handles calls.
    pub fn set_behavior(&self, behavior: AgentBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Sets how each of the next calls is handled, whatever the agent's behavior is meanwhile.
    pub fn set_next_behaviors(&self, behaviors: &[AgentBehavior]) {
        *self.next_behaviors.lock().unwrap() = behaviors.iter().copied().collect();
    }

    /// Stops answering calls until [`resume`](Self::resume).
    pub fn stop_answering(&self) {
        self.set_behavior(AgentBehavior::Silent);
    }

    /// Answers each call without a delay from now on.
    pub fn resume(&self) {
        self.set_behavior(AgentBehavior::Serving(Duration::ZERO));
    }

    fn behavior(&self) -> AgentBehavior {
        *self.behavior.lock().unwrap()
    }

    /// Returns the version of the endpoint list.
    pub fn version(&self) -> u64 {
        self.list.lock().unwrap().version
    }

    /// Returns the recorded calls, in order.
    pub fn recorded_calls(&self) -> Vec<RecordedCall> {
        self.recorded_calls.lock().unwrap().clone()
    }

    /// Records a call and returns its index.
    fn record_call(&self, from_version: Option<u64>) -> usize {
        let mut calls = self.recorded_calls.lock().unwrap();
        if calls.len() < RECORDED_CALLS_MAX {
            calls.push(RecordedCall {
                from_version,
                received_at: Instant::now(),
                answered_at: None,
            });
        }
        calls.len() - 1
    }

    /// Serves one connection until it is closed or an I/O operation fails.
    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        loop {
            let request = ListRequest::read(&mut lines)?;
            let call = self.record_call(request.from_version);
            let next = self.next_behaviors.lock().unwrap().pop_front();
            match next.unwrap_or_else(|| self.behavior()) {
                AgentBehavior::Serving(delay) => thread::sleep(delay),
                AgentBehavior::Silent => continue,
                AgentBehavior::Rejecting(delay) => {
                    thread::sleep(delay);
                    let recovered = matches!(self.behavior(), AgentBehavior::Serving(_));
                    if next.is_some() || !recovered {
                        out.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                            .ok()?;
                        continue;
                    }
                }
                AgentBehavior::Closing(delay) => {
                    thread::sleep(delay);
                    return out.shutdown(Shutdown::Both).ok();
                }
            }
            let body = self.wait_for_change(&request);
            self.recorded_calls.lock().unwrap()[call].answered_at = Some(Instant::now());
            write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .ok()?;
        }
    }

    /// Waits until the list's version differs from the caller's or the hold time is over, and returns
    /// the answer.
    fn wait_for_change(&self, request: &ListRequest) -> String {
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
