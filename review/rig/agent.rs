//! A stand-in of the discovery agent: `GET /api/targets`, whole lists and watches.
//!
//! Three kinds of trouble can be asked for. The watches that are open can fall silent: their
//! connections stay open and get no answer any more, while new connections are served. A number of
//! calls can be turned away, each with status 503 after a wait in the queue. And each answer can
//! take a while.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

#[derive(Clone)]
struct Instance {
    name: String,
    address: SocketAddr,
    zone: String,
    lifecycle: &'static str,
    /// The version of the list in which the entry last changed.
    changed_in: u64,
}

struct State {
    generation: u64,
    instances: Vec<Instance>,
    /// Number of the connections that were accepted so far.
    accepted: u64,
    /// Connections with a number up to this one are silent.
    silent_up_to: u64,
    /// Calls that are still to be turned away.
    refusals: u32,
    /// How long a call waits in the queue before it is turned away.
    queue_time: Duration,
    /// How long each answer takes.
    delay: Duration,
}

pub struct Agent {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Agent {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let agent = Arc::new(Agent {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State {
                generation: 1,
                instances: Vec::new(),
                accepted: 0,
                silent_up_to: 0,
                refusals: 0,
                queue_time: Duration::ZERO,
                delay: Duration::ZERO,
            }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let accepting = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = {
                    let mut state = accepting.state.lock().unwrap();
                    state.accepted += 1;
                    state.accepted
                };
                let agent = accepting.clone();
                thread::spawn(move || {
                    let _ = agent.serve(number, stream);
                });
            }
        });
        agent
    }

    /// Adds a server to the list, or changes its lifecycle.
    pub fn set(&self, name: &str, address: SocketAddr, zone: &str, lifecycle: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        let entry = Instance {
            name: name.to_string(),
            address,
            zone: zone.to_string(),
            lifecycle,
            changed_in: state.generation,
        };
        state.instances.retain(|known| known.name != name);
        state.instances.push(entry);
        self.record.add(&format!("agent: {name} is {lifecycle}"));
        self.changed.notify_all();
    }

    /// All connections that are open now fall silent.
    pub fn silence_open_watches(&self) {
        let mut state = self.state.lock().unwrap();
        state.silent_up_to = state.accepted;
        self.record.add("agent: the open watches fall silent");
        self.changed.notify_all();
    }

    /// Discovery goes down: calls that are open or come from now on get no answer, ever.
    pub fn go_down(&self) {
        let mut state = self.state.lock().unwrap();
        state.silent_up_to = u64::MAX;
        self.record.add("agent: discovery is down");
        self.changed.notify_all();
    }

    /// Discovery is back: connections that are opened from now on are served.
    pub fn come_back(&self) {
        let mut state = self.state.lock().unwrap();
        state.silent_up_to = state.accepted;
        self.record.add("agent: discovery is back");
    }

    /// Turns the next `count` calls away, each after `queue_time`.
    pub fn turn_away(&self, count: u32, queue_time: Duration) {
        let mut state = self.state.lock().unwrap();
        state.refusals = count;
        state.queue_time = queue_time;
    }

    /// Lets each answer take this long.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    fn serve(&self, number: u64, stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        stream.set_nodelay(true)?;
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request)? == 0 {
                return Ok(());
            }
            let mut header = String::new();
            while reader.read_line(&mut header)? > 2 {
                header.clear();
            }
            let path = request.split(' ').nth(1).unwrap_or("").to_string();
            self.record
                .add(&format!("agent: call {path} on connection {number}"));
            let Some((status, body)) = self.answer(number, &path) else {
                // Silent: the connection stays open until the other side ends it.
                let mut rest = String::new();
                while reader.read_line(&mut rest)? > 0 {
                    rest.clear();
                }
                return Ok(());
            };
            let delay = self.state.lock().unwrap().delay;
            thread::sleep(delay);
            write!(
                stream,
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            self.record.add(&format!(
                "agent: answered {status} on connection {number}: {body}"
            ));
        }
    }

    /// Returns the answer to a call when it is due; `None` if the connection has fallen silent.
    fn answer(&self, number: u64, path: &str) -> Option<(&'static str, String)> {
        let value = |name: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(name));
            pair.and_then(|value| value.parse::<u64>().ok())
        };
        let from = value("from=");
        let until = Instant::now() + Duration::from_millis(value("hold_ms=").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        if number > state.silent_up_to && state.refusals > 0 {
            state.refusals -= 1;
            let queue_time = state.queue_time;
            drop(state);
            thread::sleep(queue_time);
            return Some(("503 Service Unavailable", String::new()));
        }
        loop {
            if number <= state.silent_up_to {
                return None;
            }
            let now = Instant::now();
            if from.is_none_or(|from| from < state.generation) || now >= until {
                return Some(("200 OK", list(&state, from)));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

/// Returns the whole list, or the entries that changed after the version `from`.
fn list(state: &State, from: Option<u64>) -> String {
    let entries = state
        .instances
        .iter()
        .filter(|instance| match from {
            Some(from) => instance.changed_in > from,
            None => instance.lifecycle != "Gone",
        })
        .map(|instance| {
            format!(
                "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"m\",\"cell\":1,\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
                instance.name, instance.address, instance.zone, instance.lifecycle
            )
        })
        .collect::<Vec<_>>();
    format!(
        "{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}",
        state.generation,
        from.is_none(),
        entries.join(",")
    )
}
