//! Stand-ins for the clients, the servers and the platform of a small deployment, on loopback
//! addresses and the real clock. They use the standard library only. Every case of this review
//! includes this file and adds the order of events that it tries.
//!
//! [`Server`] and [`Agent`] follow the operators' protocol page: a sound server answers every first
//! line and every later line at once, and the discovery agent answers watches and whole-list calls.
//! [`Balancer`] starts the program by the command `run` of the deploy file.

// Each case uses only some of the stand-ins.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt, parent_id};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub const HUP: i32 = 1;
pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Sends a signal to a process that this program has started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` reads its two arguments only.
    unsafe { kill(pid as i32, signal) };
}

/// Starts a command of the deploy file by the shell, in the repository's root. The process ends with
/// this program at the latest.
pub fn deployed(key: &str) -> Command {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &deploy_command(key)]);
    // SAFETY: between fork and exec only `prctl` is called, which takes two numbers.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, KILL as std::ffi::c_ulong);
            Ok(())
        });
    }
    command
}

/// Plays a case and exits with its result.
pub fn play(case: fn(&Record) -> i32) -> ! {
    let record = Record::open();
    end_with_the_script();
    let result = catch_unwind(AssertUnwindSafe(|| case(&record)));
    std::process::exit(result.unwrap_or(COULD_NOT_RUN));
}

/// Whether the disruption is played. `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// What was sent, answered and run, each line with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens the file that the first argument names.
    pub fn open() -> Self {
        let path = std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("can't write {path}: {error}");
            std::process::exit(COULD_NOT_RUN);
        });
        end_if_too_long();
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn sleep_until(&self, at: u64) {
        let now = self.now();
        if at > now {
            sleep_ms(at - now);
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A case that takes longer than this can't be judged.
const LONGEST_RUN: Duration = Duration::from_secs(115);
/// The process of the running balancer; 0 if there is none.
static BALANCER: AtomicU64 = AtomicU64::new(0);

/// Ends the case and the balancer after [`LONGEST_RUN`].
fn end_if_too_long() {
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        eprintln!("the case took too long");
        give_up();
    });
}

/// Ends the case and the balancer when the script that has started the case is gone.
fn end_with_the_script() {
    let script = parent_id();
    thread::spawn(move || {
        while parent_id() == script {
            sleep_ms(100);
        }
        give_up();
    });
}

fn give_up() -> ! {
    let balancer = BALANCER.load(Ordering::Relaxed) as u32;
    if balancer != 0 {
        send_signal(balancer, KILL);
    }
    // The temporary folder of the run, and the script's folder round it.
    let folder = TemporaryFolder::path();
    let _ = fs::remove_dir_all(&folder);
    if let Some(around) = folder.parent() {
        let _ = fs::remove_dir(around);
    }
    std::process::exit(COULD_NOT_RUN);
}

/// Returns a listener at a free port of 127.0.0.1.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Returns an address of 127.0.0.1 that is free now. For the balancer, which opens it itself.
pub fn free_address() -> SocketAddr {
    listen().local_addr().unwrap()
}

/// A folder for the files of one run. It is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    fn path() -> PathBuf {
        std::env::temp_dir().join(format!("nettlemux-review-{}", std::process::id()))
    }

    pub fn new() -> Self {
        let path = Self::path();
        fs::create_dir_all(&path).expect("a temporary folder");
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A listed server, as the discovery agent has it.
#[derive(Clone)]
pub struct Entry {
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u64,
    pub lifecycle: String,
    pub started_ms: u64,
    /// The version of the list that brought the last change of this entry.
    changed: u64,
}

/// How the agent treats one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallPlan {
    /// Answers by the page.
    Answer,
    /// Answers after so many milliseconds in the queue.
    Queue(u64),
    /// Turns the call away after so many milliseconds in the queue.
    TurnAway(u64),
}

struct AgentState {
    generation: u64,
    entries: BTreeMap<String, Entry>,
    /// What happens to the next calls; later calls are answered by the page.
    plans: Vec<CallPlan>,
    connections: Vec<TcpStream>,
    is_retired: bool,
}

/// The discovery agent: HTTP/1.1, the whole list or a watch on its changes.
pub struct Agent {
    pub name: String,
    pub address: SocketAddr,
    state: Mutex<AgentState>,
    changed: Condvar,
    /// How many milliseconds each call takes before it is answered by the page.
    pub slow_ms: AtomicU64,
    record: Record,
}

impl Agent {
    pub fn start(name: &str, generation: u64, record: &Record) -> Arc<Self> {
        let listener = listen();
        let agent = Arc::new(Agent {
            name: name.into(),
            address: listener.local_addr().unwrap(),
            state: Mutex::new(AgentState {
                generation,
                entries: BTreeMap::new(),
                plans: Vec::new(),
                connections: Vec::new(),
                is_retired: false,
            }),
            changed: Condvar::new(),
            slow_ms: AtomicU64::new(0),
            record: record.clone(),
        });
        let accepting = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = accepting.state.lock().unwrap();
                if state.is_retired {
                    // The listener closes with this thread; a connection that raced it is closed.
                    return;
                }
                state.connections.push(stream.try_clone().unwrap());
                drop(state);
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        agent
    }

    /// Lists a server that has run for a long time.
    pub fn add(&self, id: &str, server: &Server) {
        self.add_address(id, server.address, 0);
    }

    /// Lists a server of this cell that has run for a long time.
    pub fn add_address(&self, id: &str, address: SocketAddr, cell: u64) {
        let entry = Entry {
            address,
            zone: "a".into(),
            cell,
            lifecycle: "Ready".into(),
            started_ms: 0,
            changed: 0,
        };
        let mut state = self.state.lock().unwrap();
        let changed = state.generation;
        state.entries.insert(id.into(), Entry { changed, ..entry });
    }

    /// Lists all servers of another agent, as that agent has them now, under its version.
    pub fn copy_from(&self, other: &Agent) {
        let (generation, entries) = {
            let state = other.state.lock().unwrap();
            (state.generation, state.entries.clone())
        };
        let mut state = self.state.lock().unwrap();
        state.generation = generation;
        state.entries = entries;
    }

    /// Changes a server's state, which is a new version of the list, and tells all open watches.
    pub fn set_lifecycle(&self, id: &str, lifecycle: &str) {
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        let entry = state.entries.get_mut(id).expect("a listed server");
        entry.lifecycle = lifecycle.into();
        entry.changed = generation;
        self.record.line(format!(
            "agent {}: {id} is {lifecycle} from version {generation} on",
            self.name
        ));
        drop(state);
        self.changed.notify_all();
    }

    /// Sets what happens to the next calls.
    pub fn plan(&self, plans: &[CallPlan]) {
        self.state.lock().unwrap().plans = plans.to_vec();
    }

    /// Ends the agent as at a move: it takes no new connection, and closes the open ones after 1.5 s.
    pub fn retire(self: &Arc<Self>) {
        self.state.lock().unwrap().is_retired = true;
        let _ = TcpStream::connect(self.address);
        let agent = self.clone();
        thread::spawn(move || {
            sleep_ms(1500);
            for connection in &agent.state.lock().unwrap().connections {
                let _ = connection.shutdown(Shutdown::Both);
            }
        });
    }

    /// The list in discovery's form: all entries, or those that changed after `from`.
    pub fn list(&self, from: Option<u64>) -> String {
        list_text(&self.state.lock().unwrap(), from)
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut lines = BufReader::new(stream).lines();
        loop {
            let Some(Ok(request)) = lines.next() else {
                return;
            };
            while let Some(Ok(header)) = lines.next() {
                if header.is_empty() {
                    break;
                }
            }
            let plan = {
                let mut state = self.state.lock().unwrap();
                if state.plans.is_empty() {
                    CallPlan::Answer
                } else {
                    state.plans.remove(0)
                }
            };
            let path = request.split(' ').nth(1).unwrap_or("").to_string();
            if plan != CallPlan::Answer {
                self.record
                    .line(format!("agent {}: {path}: {plan:?}", self.name));
            }
            let slow_ms = self.slow_ms.load(Ordering::Relaxed);
            if slow_ms > 0 {
                self.record
                    .line(format!("agent {}: {path}: takes {slow_ms} ms", self.name));
                sleep_ms(slow_ms);
            }
            let (status, body) = match plan {
                CallPlan::TurnAway(ms) => {
                    sleep_ms(ms);
                    ("503 Service Unavailable", String::new())
                }
                CallPlan::Queue(ms) => {
                    sleep_ms(ms);
                    ("200 OK", self.answer(&path))
                }
                CallPlan::Answer => ("200 OK", self.answer(&path)),
            };
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
            if status.starts_with("503") || body.contains("\"instanceId\"") {
                self.record.line(format!(
                    "agent {}: {path}: answered {status}, {}",
                    self.name,
                    brief(&body)
                ));
            }
        }
    }

    /// Answers a call. A watch waits until there is something newer than its version.
    fn answer(&self, path: &str) -> String {
        let value = |name: &str| {
            let query = path.split_once('?')?.1;
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(name))?;
            pair.strip_prefix('=')?.parse::<u64>().ok()
        };
        let Some(from) = value("from") else {
            return self.list(None);
        };
        let until =
            Instant::now() + Duration::from_millis(value("hold_ms").unwrap_or(0).min(60_000));
        let mut state = self.state.lock().unwrap();
        while state.generation <= from {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
        list_text(&state, Some(from))
    }
}

fn brief(body: &str) -> String {
    let version = body.split([':', ',']).nth(1).unwrap_or("?");
    let states: Vec<String> = body
        .split("\"instanceId\":\"")
        .skip(1)
        .map(|entry| {
            let id = entry.split('"').next().unwrap_or("?");
            let state = entry.split("\"lifecycle\":\"").nth(1).unwrap_or("?");
            format!("{id}={}", state.split('"').next().unwrap_or("?"))
        })
        .collect();
    format!("version {version}: {}", states.join(" "))
}

fn list_text(state: &AgentState, from: Option<u64>) -> String {
    let entries: Vec<String> = state
        .entries
        .iter()
        .filter(|(_, entry)| match from {
            Some(from) => entry.changed > from,
            None => entry.lifecycle != "Gone",
        })
        .map(|(id, entry)| {
            format!(
                "{{\"instanceId\":\"{id}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"m\",\
                 \"cell\":{},\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
                entry.address, entry.zone, entry.cell, entry.lifecycle, entry.started_ms
            )
        })
        .collect();
    format!(
        "{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}",
        state.generation,
        from.is_none(),
        entries.join(",")
    )
}

/// A first line that a server has received whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub server: String,
    pub id: String,
}

/// A sound server: it answers a first line with `UP` and each later line at once. While it drains it
/// answers first lines with `BUSY`.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub open: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    is_draining: AtomicBool,
    is_stopped: AtomicBool,
    record: Record,
}

impl Server {
    pub fn start(name: &str, record: &Record) -> Arc<Self> {
        let listener = listen();
        let server = Arc::new(Server {
            name: name.into(),
            address: listener.local_addr().unwrap(),
            arrivals: Mutex::new(Vec::new()),
            open: AtomicU64::new(0),
            connections: Mutex::default(),
            is_draining: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            record: record.clone(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut connections = accepting.connections.lock().unwrap();
                if accepting.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                connections.push(stream.try_clone().unwrap());
                drop(connections);
                let serving = accepting.clone();
                thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        server
    }

    /// Begins to drain: the server keeps what it has, and turns new connections away.
    pub fn drain(&self) {
        self.record
            .line(format!("server {}: begins to drain", self.name));
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Ends the server as at the end of a drain: it takes no new connection, and what is left on it
    /// is cut off.
    pub fn stop(&self) {
        self.record.line(format!(
            "server {}: stops with {} open connections",
            self.name,
            self.open.load(Ordering::Relaxed)
        ));
        self.is_stopped.store(true, Ordering::Relaxed);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        let mut is_up = false;
        let result = loop {
            let Some(line) = lines.next() else {
                break Ok(());
            };
            let line = line?;
            let answer = if is_up {
                format!("ok {line}\r\n")
            } else if line == "PING" {
                "PONG\r\n".into()
            } else if line == "STATS" {
                // A hundred connections fill the server.
                let load = (self.open.load(Ordering::Relaxed) + 1) as f64 / 100.0;
                format!("PONG busy={load:.2},x0={load:.2}\r\n")
            } else if line.starts_with("OPEN ") {
                let id = line.split(' ').nth(1).unwrap_or("?").to_string();
                let turns_away = self.is_draining.load(Ordering::Relaxed);
                let what = if turns_away { "turns away" } else { "runs" };
                self.record
                    .line(format!("server {}: {what} {line}", self.name));
                self.arrivals.lock().unwrap().push(Arrival {
                    at: self.record.now(),
                    server: self.name.clone(),
                    id: id.clone(),
                });
                if turns_away {
                    return writer.write_all(b"BUSY\r\n");
                }
                is_up = true;
                self.open.fetch_add(1, Ordering::Relaxed);
                format!("UP {id}\r\n")
            } else {
                "SYNTAX\r\n".into()
            };
            if let Err(error) = writer.write_all(answer.as_bytes()) {
                break Err(error);
            }
        };
        if is_up {
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
        result
    }
}

/// A client's connection.
pub struct Client {
    pub id: String,
    pub sent_at: u64,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    record: Record,
}

/// How a read of a line ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Line(String),
    End,
    Reset,
    Nothing,
}

impl Client {
    /// Connects and sends a first line with these values.
    pub fn open(address: SocketAddr, values: &str, record: &Record) -> io::Result<Self> {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let mut client = Client {
            reader: BufReader::new(stream.try_clone()?),
            sent_at: record.now(),
            id: id.clone(),
            stream,
            record: record.clone(),
        };
        let line = format!("OPEN {id} key{number:04x} {values}");
        record.line(format!("client {id}: sends {line}"));
        client.send(&line)?;
        client.sent_at = record.now();
        Ok(client)
    }

    pub fn send(&mut self, line: &str) -> io::Result<()> {
        self.stream.write_all(format!("{line}\r\n").as_bytes())
    }

    /// Reads the next line for so many milliseconds at most.
    pub fn hear(&mut self, ms: u64) -> Heard {
        let _ = self
            .stream
            .set_read_timeout(Some(Duration::from_millis(ms.max(1))));
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Heard::End,
            Ok(_) => Heard::Line(line.trim_end().to_string()),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                Heard::Nothing
            }
            Err(_) => Heard::Reset,
        }
    }

    /// Reads the answer to the first line. Returns whether the connection is up.
    pub fn hear_answer(&mut self, ms: u64) -> bool {
        let answer = self.hear(ms);
        self.record
            .line(format!("client {}: hears {answer:?}", self.id));
        matches!(&answer, Heard::Line(line) if line.starts_with("UP "))
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// How a client's connection ended.
pub struct End {
    pub id: String,
    pub at: u64,
    /// Whether the client was told to move before.
    pub was_moved: bool,
    pub how: Heard,
}

/// Uses an open connection like a client: a line every 2 s, until the connection ends. Returns after
/// `until` at the latest, with [`Heard::Nothing`] if the connection is still open then.
pub fn follow(mut client: Client, until: u64, record: &Record) -> End {
    let mut next_line_at = record.now() + 2000;
    let mut was_moved = false;
    loop {
        let now = record.now();
        if now >= next_line_at {
            next_line_at += 2000;
            let _ = client.send(&format!("update {now}"));
        }
        let heard = client.hear(next_line_at.min(until).saturating_sub(now));
        match heard {
            Heard::Line(line) if line == "MOVE" => {
                was_moved = true;
                record.line(format!("client {}: MOVE", client.id));
            }
            Heard::Line(_) => {}
            Heard::Nothing if record.now() < until => {}
            how => {
                return End {
                    id: client.id.clone(),
                    at: record.now(),
                    was_moved,
                    how,
                };
            }
        }
    }
}

/// The settings of a small deployment: one zone, one kind of machine, the traffic classes given.
pub fn settings(discovery: &str, grace_ms: u64, classes: &str) -> String {
    format!(
        "{{\"me\":0,\"replicas-of-me\":1,\"zone\":0,\"areas\":[\"a\"],\"models\":[\"m\"],\"tick\":2000,\
         \"tier\":0,\"tiers\":[\"servers\"],\"family\":\"conn\",\"discovery\":\"{discovery}\",\
         \"weights\":\"nominal\",\"value-per\":\"request\",\"accounts\":[],\
         \"client-habits\":{{\"marks-retry\":true}},\
         \"contract\":{{\"answer-slack\":8000,\"ask-within\":10000000,\"fall\":3000000,\
         \"fall-multiple\":3.0,\"start-capacity\":0.35,\"stop-sending-within\":{},\"warm-up\":8199999}},\
         \"costs\":{{\"probe\":0.0019}},\
         \"limits\":{{\"dial-timeout\":250000,\"max-connects\":5,\"max-open\":1000000,\
         \"max-retry-after\":2000000,\"may-cancel\":true,\"may-tell\":false,\"probes\":true,\
         \"retry-after\":true,\"second-copies\":false,\"streams-per-conn\":1048576}},\
         \"report\":{{\"fields\":[\"busy\",\"x0\"],\"how\":\"pull\"}},\
         \"specifics\":{{\"groups\":false,\"mode\":\"proxy\",\"report-x0\":\"load asked of the server over what it can do\"}},\
         \"service-types\":[{classes}]}}",
        grace_ms * 1000
    )
}

/// A traffic class of the settings.
pub fn class(name: &str, hard_limit_ms: u64, repeat: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"group\":\"all\",\"hard-limit\":{},\"late-value\":0.0,\"repeat\":\"{repeat}\",\
         \"setup-target\":{},\"streamed\":true,\"value\":1.0,\"window\":5000000}}",
        hard_limit_ms * 1000,
        (hard_limit_ms * 1000).min(300_000)
    )
}

/// A running balancer, started by the command `run` of the deploy file. It is killed when dropped.
pub struct Balancer {
    pub address: SocketAddr,
    pub config: PathBuf,
    pub process: Child,
    seed: u64,
    folder: PathBuf,
    record: Record,
}

impl Balancer {
    /// The configuration file's text.
    fn config_text(
        listen: SocketAddr,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        seed: u64,
    ) -> String {
        format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{known},\
             \"settings\":{settings}}}"
        )
    }

    /// Starts a balancer and waits until it answers `PING`.
    pub fn start(
        folder: &TemporaryFolder,
        discovery: &Agent,
        settings: &str,
        record: &Record,
    ) -> Self {
        let address = free_address();
        let config = folder.0.join("config.json");
        let seed = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(1, |time| time.as_nanos() as u64);
        let known = discovery.list(None);
        let text = Self::config_text(address, discovery.address, &known, settings, seed);
        fs::write(&config, text).expect("a configuration file");
        let log = File::create(folder.0.join("balancer.log")).expect("a log file");
        let process = deployed("run")
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.address.to_string())
            .env("LB_CONFIG", &config)
            .env("TMPDIR", &folder.0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the balancer's process");
        BALANCER.store(process.id().into(), Ordering::Relaxed);
        let mut balancer = Balancer {
            address,
            config,
            process,
            seed,
            folder: folder.0.clone(),
            record: record.clone(),
        };
        balancer.wait_until_ready();
        balancer
    }

    fn wait_until_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut answer = [0; 6];
                if stream.write_all(b"PING\r\n").is_ok()
                    && stream.read_exact(&mut answer).is_ok()
                    && &answer == b"PONG\r\n"
                {
                    self.record.line("the balancer answers PING");
                    return;
                }
            }
            sleep_ms(20);
        }
        let _ = self.process.kill();
        eprintln!("the balancer did not become ready within 30 s");
        std::process::exit(COULD_NOT_RUN);
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(format!("signal {signal} to the balancer"));
        send_signal(self.process.id(), signal);
    }

    /// Replaces the configuration file, as a whole.
    pub fn replace_config(&self, discovery: SocketAddr, known: &str, settings: &str) {
        let new = self.config.with_extension("new");
        let text = Self::config_text(self.address, discovery, known, settings, self.seed);
        fs::write(&new, text).unwrap();
        fs::rename(&new, &self.config).unwrap();
    }

    /// Returns the balancer's exit status, if it has ended.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.process.try_wait().ok().flatten()?;
        Some(status.to_string())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        BALANCER.store(0, Ordering::Relaxed);
        // The balancer's log stands at the end of the record.
        if let Ok(log) = fs::read_to_string(self.folder.join("balancer.log")) {
            self.record.line("the balancer's log:");
            let mut file = self.record.file.lock().unwrap();
            let _ = file.write_all(log.as_bytes());
        }
    }
}

/// Returns a command of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text
        .lines()
        .find(|line| line.starts_with(&format!("{key} = ")));
    let value = line
        .expect("the command in the deploy file")
        .split_once('=')
        .unwrap()
        .1;
    value.trim().trim_matches('"').to_string()
}

/// A flag that ends the threads of a case.
pub type Flag = Arc<AtomicBool>;

pub fn flag() -> Flag {
    Arc::new(AtomicBool::new(false))
}

pub fn is_set(flag: &Flag) -> bool {
    flag.load(Ordering::Relaxed)
}

pub fn set(flag: &Flag) {
    flag.store(true, Ordering::Relaxed);
}
