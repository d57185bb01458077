//! What the tests of the real program share: it is started between toy servers, a toy discovery agent and clients, all on
//! loopback. Each wait is bounded.

#![allow(dead_code)]

mod dials;
pub mod faults;
#[path = "../../../../examples/toy.rs"]
pub mod toy;

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use faults::Faults;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use toy::{Agent, Toy};

pub const EXAMPLE: &str = include_str!("../../../../examples/balancer.json");

/// The example's settings with some of them changed: each path as `a/b/0`, and what stands there then; `null` takes it out.
pub fn changed(config: &str, changes: &[(&str, Value)]) -> String {
    let mut value: Value = serde_json::from_str(config).unwrap();
    for (path, new) in changes {
        let (inside, key) = path
            .rsplit_once('/')
            .map_or((String::new(), *path), |(a, b)| (format!("/{a}"), b));
        match value["settings"].pointer_mut(&inside).unwrap() {
            Value::Array(list) => list[key.parse::<usize>().unwrap()] = new.clone(),
            parent if new.is_null() => drop(parent.as_object_mut().unwrap().remove(key)),
            parent => parent[key] = new.clone(),
        }
    }
    value.to_string()
}

/// A balancer with its servers. It is killed when dropped.
pub struct Stand {
    pub child: Child,
    pub at: SocketAddr,
    pub agent: Arc<Agent>,
    pub toys: Vec<Arc<Toy>>,
    pub file: std::path::PathBuf,
    pub config: String,
    /// What goes wrong in its system, where anything does.
    pub faults: Option<Faults>,
}

fn serve(file: &Path, arguments: &[&str], faults: Option<&Faults>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
    command
        .args(["serve", "--log", "debug", "--config"])
        .arg(file)
        .args(arguments)
        .stderr(Stdio::null());
    if let Some(faults) = faults {
        faults.load_into(&mut command);
    }
    command.spawn().unwrap()
}

impl Stand {
    pub fn new(servers: usize) -> Self {
        Stand::with(servers, |config| config)
    }

    pub fn with(servers: usize, change: impl Fn(String) -> String) -> Self {
        let stand = Stand::start(servers, change, None);
        stand.serves();
        stand
    }

    /// One whose system calls fail as its `faults` say.
    pub fn with_faults(servers: usize, change: impl Fn(String) -> String) -> Self {
        let stand = Stand::start(servers, change, Some(Faults::none()));
        stand.serves();
        stand
    }

    /// Started, and perhaps not ready yet.
    pub fn start(
        servers: usize,
        change: impl Fn(String) -> String,
        faults: Option<Faults>,
    ) -> Self {
        let agent = Agent::start("127.0.0.1:0").unwrap();
        let toys: Vec<Arc<Toy>> = (0..servers)
            .map(|_| Toy::start("127.0.0.1:0").unwrap())
            .collect();
        for (i, toy) in toys.iter().enumerate() {
            agent.tell(&format!("s-{i}"), toy.address, "Ready");
        }
        let at = own_address();
        let config = EXAMPLE.replace("127.0.0.1:7000", &at.to_string());
        let config = change(config.replace("127.0.0.1:7100", &agent.address.to_string()));
        let file =
            std::env::temp_dir().join(format!("nettlemux-{}-{}.json", std::process::id(), at.ip()));
        std::fs::write(&file, &config).unwrap();
        let child = serve(&file, &[], faults.as_ref());
        Stand {
            child,
            at,
            agent,
            toys,
            file,
            config,
            faults,
        }
    }

    /// Waits until it answers and has had its list.
    pub fn serves(&self) {
        soon("PONG", || TcpStream::connect(self.at).is_ok());
        soon("a list", || self.client("c=chat,d=1000").says("UP 1"));
    }

    pub fn faults(&self) -> &Faults {
        self.faults.as_ref().expect("started with faults")
    }

    /// The same balancer once more, with these settings changed.
    pub fn restarted(&mut self, changes: &[(&str, Value)]) {
        self.restarted_as(&changed(&self.config, changes));
    }

    /// The same balancer once more, with another configuration.
    pub fn restarted_as(&mut self, config: &str) {
        let _ = (self.child.kill(), self.child.wait());
        std::fs::write(&self.file, config).unwrap();
        self.child = serve(&self.file, &[], self.faults.as_ref());
        soon("PONG", || TcpStream::connect(self.at).is_ok());
    }

    /// The same balancer once more, started with these arguments besides.
    pub fn restarted_with(&mut self, arguments: &[&str]) {
        let _ = (self.child.kill(), self.child.wait());
        self.child = serve(&self.file, arguments, self.faults.as_ref());
        soon("PONG", || TcpStream::connect(self.at).is_ok());
    }

    pub fn client(&self, values: &str) -> Client {
        Client::open(self.at, values)
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([signal, &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// One that has ended by itself hears nothing any more.
    pub fn signal_if_alive(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([signal, &pid])
            .stderr(Stdio::null())
            .status();
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// What is done while the program stands still comes to it at one go.
    pub fn at_one_go<T>(&self, events: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let done = events();
        self.signal("-CONT");
        done
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// An address that nothing else has. Guards against a port that was free a moment ago and is then given to a client's
/// end of another test's connection.
pub fn own_address() -> SocketAddr {
    static STANDS: AtomicU64 = AtomicU64::new(0);
    let number = STANDS.fetch_add(1, Ordering::Relaxed);
    let run = 2 + std::process::id() % 250;
    format!("127.{run}.{}.{}:7000", 1 + number / 250, 1 + number % 250)
        .parse()
        .unwrap()
}

pub struct Client {
    pub stream: TcpStream,
    pub lines: BufReader<TcpStream>,
}

impl Client {
    pub fn new(at: SocketAddr, text: &[u8]) -> Self {
        Client::try_new(at, text).expect("somebody listens")
    }

    /// None where nobody listens.
    pub fn try_new(at: SocketAddr, text: &[u8]) -> Option<Self> {
        let mut stream = TcpStream::connect(at).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(9)))
            .unwrap();
        stream.write_all(text).ok()?;
        let lines = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, lines })
    }

    pub fn open(at: SocketAddr, values: &str) -> Self {
        // An id is new with every connection.
        static IDS: AtomicU64 = AtomicU64::new(0x9b1f);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        Client::new(at, format!("OPEN {id:x} 7f3a {values}\r\n").as_bytes())
    }

    /// The next line; `end` at the end, `reset` after a reset, `nothing` if none comes.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => "end".into(),
            Ok(_) => line.trim_end().into(),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => "reset".into(),
            Err(_) => "nothing".into(),
        }
    }

    pub fn says(&mut self, expected: &str) -> bool {
        self.line() == expected
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    pub fn echoes(&mut self, line: &str) {
        self.send(&format!("{line}\r\n"));
        assert_eq!(self.line(), format!("ok {line}"));
    }
}

pub fn soon(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(8);
    while !holds() {
        assert!(Instant::now() < until, "no {what} in time");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A server whose connections come up late: its queue is full, so the system leaves a connection begun, until it is let in
/// and the caller's machine tries again, a second after its first try.
pub struct Late {
    listener: TcpListener,
    pub address: SocketAddr,
    _first: TcpStream,
}

impl Late {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        Late {
            listener,
            address,
            _first: TcpStream::connect(address).unwrap(),
        }
    }

    /// Whether anybody's connection to it has begun and is not up.
    pub fn dialled(&self) -> bool {
        let SocketAddr::V4(address) = self.address else {
            unreachable!()
        };
        dials::any_to(address)
    }

    /// Lets them in: what the next one sends, up to its end or its first line.
    pub fn let_in(&self) -> String {
        drop(self.listener.accept().unwrap());
        self.listener.set_nonblocking(true).unwrap();
        let mut seen = String::new();
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream
                        .set_read_timeout(Some(Duration::from_secs(2)))
                        .unwrap();
                    let _ = BufReader::new(stream).read_line(&mut seen);
                    return seen;
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
        seen
    }
}
