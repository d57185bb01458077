//! A toy deployment to try nettlemux with: a few servers and a discovery agent, all in one process on loopback.
//!
//! `cargo run --example toy` starts three servers at 127.0.0.1:7101 to 7103 and discovery at 127.0.0.1:7100.
//! Typed lines change it: `busy 7101`, `up 7101`, `silent 7101`, `drain 7101`, `gone 7101`, `load 7101 0.9`.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a server treats whoever connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// Serves, and answers each line with `ok` and the line.
    Up,
    Busy,
    Err,
    /// Takes lines and says nothing, not even on open connections.
    Silent,
    /// Ends without a word.
    Cut,
}

/// One server.
pub struct Toy {
    pub address: SocketAddr,
    mood: Mutex<Mood>,
    load: Mutex<f64>,
    /// First lines, in order.
    seen: Mutex<Vec<String>>,
    /// How often it was asked for its load.
    asked: Mutex<usize>,
    open: Mutex<Vec<TcpStream>>,
    /// Connections that their callers have ended.
    ended: Mutex<usize>,
}

impl Toy {
    pub fn start(address: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let toy = Arc::new(Toy {
            address: listener.local_addr()?,
            mood: Mutex::new(Mood::Up),
            load: Mutex::new(0.01),
            seen: Mutex::default(),
            asked: Mutex::default(),
            open: Mutex::default(),
            ended: Mutex::default(),
        });
        let serving = toy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let toy = serving.clone();
                thread::spawn(move || toy.talk(stream));
            }
        });
        Ok(toy)
    }

    pub fn set(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }

    pub fn set_load(&self, load: f64) {
        *self.load.lock().unwrap() = load;
    }

    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    pub fn asked(&self) -> usize {
        *self.asked.lock().unwrap()
    }

    pub fn ended(&self) -> usize {
        *self.ended.lock().unwrap()
    }

    /// Says so on all open connections, and ends them unless told to stay.
    pub fn say(&self, text: &str, end: bool) {
        for mut stream in self.open.lock().unwrap().iter() {
            let _ = stream.write_all(text.as_bytes());
            if end {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn talk(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        while let Some(Ok(line)) = lines.next() {
            let mood = *self.mood.lock().unwrap();
            if line == "PING" || line == "STATS" {
                *self.asked.lock().unwrap() += 1;
                let load = *self.load.lock().unwrap();
                let report = if line == "STATS" {
                    format!(" x0={load},util={load}")
                } else {
                    String::new()
                };
                if mood != Mood::Silent {
                    write!(out, "PONG{report}\r\n").ok()?;
                }
                continue;
            }
            let first = line.starts_with("OPEN ");
            if first {
                self.seen.lock().unwrap().push(line.clone());
            }
            if first && matches!(mood, Mood::Up | Mood::Silent) {
                self.open.lock().unwrap().push(out.try_clone().ok()?);
            }
            match mood {
                Mood::Silent => {}
                Mood::Up if first => {
                    out.write_all(b"UP 1\r\n").ok()?;
                }
                Mood::Up => write!(out, "ok {line}\r\n").ok()?,
                Mood::Busy => out.write_all(b"BUSY\r\n").ok()?,
                Mood::Err => out.write_all(b"ERR\r\n").ok()?,
                Mood::Cut => return out.shutdown(Shutdown::Both).ok(),
            }
        }
        *self.ended.lock().unwrap() += 1;
        // A silent one holds its side open, as a machine that has vanished does.
        while *self.mood.lock().unwrap() == Mood::Silent {
            thread::sleep(Duration::from_millis(100));
        }
        Some(())
    }
}

/// A server as discovery tells of it.
struct Entry {
    /// The version of the list that it changed in last.
    version: u64,
    address: SocketAddr,
    lifecycle: String,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    started_ms: u64,
}

impl Entry {
    fn to_json(&self, id: &str) -> String {
        let Entry {
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

/// What discovery tells.
#[derive(Default)]
struct List {
    version: u64,
    servers: BTreeMap<String, Entry>,
}

/// How the agent treats whoever calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Answers each call after it has waited in a queue for so long.
    Up(Duration),
    /// Reads calls and answers none.
    Silent,
    /// Turns each call away after so long, unless it is up by then.
    TurnsAway(Duration),
    /// Ends the connection after so long.
    Cuts(Duration),
}

/// A call as the agent had it.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The version that it asked from; none where it asked for the whole list.
    pub from: Option<u64>,
    pub at: Instant,
    /// When it was answered with a list.
    pub answered: Option<Instant>,
}

/// So many calls are kept.
const CALLS_MAX: usize = 10_000;

/// The discovery agent.
pub struct Agent {
    pub address: SocketAddr,
    list: Mutex<List>,
    changed: Condvar,
    service: Mutex<Service>,
    calls: Mutex<Vec<Call>>,
}

impl Agent {
    pub fn start(address: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let agent = Arc::new(Agent {
            address: listener.local_addr()?,
            list: Mutex::default(),
            changed: Condvar::new(),
            service: Mutex::new(Service::Up(Duration::ZERO)),
            calls: Mutex::default(),
        });
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.talk(stream));
            }
        });
        Ok(agent)
    }

    /// Tells of a server; `Gone` takes it off the list.
    pub fn tell(&self, id: &str, address: SocketAddr, lifecycle: &str) {
        self.tell_started(id, address, lifecycle, 0);
    }

    /// Tells of a server that started then, in Unix time.
    pub fn tell_started(&self, id: &str, address: SocketAddr, lifecycle: &str, started_ms: u64) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        let (version, lifecycle) = (list.version, lifecycle.into());
        list.servers.insert(
            id.into(),
            Entry {
                version,
                address,
                lifecycle,
                started_ms,
            },
        );
        self.changed.notify_all();
    }

    /// Begins to count its versions anew, as one that was started again does; whoever waits is answered.
    pub fn count_anew(&self) {
        let mut list = self.list.lock().unwrap();
        list.servers
            .values_mut()
            .zip(1..)
            .for_each(|(server, version)| server.version = version);
        list.version = list.servers.len() as u64;
        self.changed.notify_all();
    }

    /// Answers nothing while it is silent.
    pub fn hush(&self, silent: bool) {
        self.set(if silent {
            Service::Silent
        } else {
            Service::Up(Duration::ZERO)
        });
    }

    pub fn set(&self, service: Service) {
        *self.service.lock().unwrap() = service;
    }

    fn service(&self) -> Service {
        *self.service.lock().unwrap()
    }

    /// The version that the list is at.
    pub fn version(&self) -> u64 {
        self.list.lock().unwrap().version
    }

    /// All calls so far, in order.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }

    /// Keeps a call; its place among the others.
    fn called(&self, from: Option<u64>) -> usize {
        let mut calls = self.calls.lock().unwrap();
        if calls.len() < CALLS_MAX {
            calls.push(Call {
                from,
                at: Instant::now(),
                answered: None,
            });
        }
        calls.len() - 1
    }

    fn talk(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        loop {
            let request = lines.next()?.ok()?;
            while !lines.next()?.ok()?.is_empty() {}
            let query = request
                .split(['?', '&', ' '])
                .filter_map(|pair| pair.split_once('='));
            let query: BTreeMap<&str, u64> = query
                .filter_map(|(k, v)| Some((k, v.parse().ok()?)))
                .collect();
            let from = query.get("from").copied();
            let hold =
                Duration::from_millis(query.get("hold_ms").copied().unwrap_or(0).min(60_000));
            let call = self.called(from);
            match self.service() {
                Service::Up(queue) => thread::sleep(queue),
                Service::Silent => continue,
                Service::TurnsAway(queue) => {
                    thread::sleep(queue);
                    if !matches!(self.service(), Service::Up(_)) {
                        out.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                            .ok()?;
                        continue;
                    }
                }
                Service::Cuts(queue) => {
                    thread::sleep(queue);
                    return out.shutdown(Shutdown::Both).ok();
                }
            }
            let list = self.list.lock().unwrap();
            let list = self
                .changed
                .wait_timeout_while(list, hold, |l| Some(l.version) == from)
                .unwrap()
                .0;
            let told = |entry: &Entry| match from {
                Some(from) => entry.version > from,
                None => entry.lifecycle != "Gone",
            };
            let told = list.servers.iter().filter(|(_, entry)| told(entry));
            let entries: Vec<String> = told.map(|(id, entry)| entry.to_json(id)).collect();
            let (version, reset) = (list.version, from.is_none());
            let body = format!(
                r#"{{"generation":{version},"reset":{reset},"instances":[{}]}}"#,
                entries.join(",")
            );
            drop(list);
            self.calls.lock().unwrap()[call].answered = Some(Instant::now());
            write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .ok()?;
        }
    }
}

fn main() -> io::Result<()> {
    let agent = Agent::start("127.0.0.1:7100")?;
    let mut toys = BTreeMap::new();
    for port in ["7101", "7102", "7103"] {
        let toy = Toy::start(&format!("127.0.0.1:{port}"))?;
        agent.tell(port, toy.address, "Ready");
        toys.insert(port, toy);
    }
    println!(
        "discovery at {}, servers at ports 7101 to 7103",
        agent.address
    );
    for line in io::stdin().lines() {
        let line = line?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let Some(toy) = words.get(1).and_then(|port| toys.get(port)) else {
            println!("a word and a port, for example: busy 7101");
            continue;
        };
        match words[0] {
            "up" => toy.set(Mood::Up),
            "busy" => toy.set(Mood::Busy),
            "err" => toy.set(Mood::Err),
            "silent" => toy.set(Mood::Silent),
            "cut" => toy.set(Mood::Cut),
            "load" => toy.set_load(
                words
                    .get(2)
                    .and_then(|load| load.parse().ok())
                    .unwrap_or(0.01),
            ),
            "drain" => agent.tell(words[1], toy.address, "Terminating"),
            "gone" => agent.tell(words[1], toy.address, "Gone"),
            "ready" => agent.tell(words[1], toy.address, "Ready"),
            other => println!("unknown word '{other}'"),
        }
    }
    Ok(())
}
