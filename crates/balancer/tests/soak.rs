//! A soak of the end: seeded runs of the real program from SIGTERM to the earliest SIGKILL. Clients
//! go on using their open connections until then and new ones come for 0.4 s; signals come in
//! series, servers hang or reset connections, system calls fail or are delayed, clients read nothing,
//! discovery is cut or moves to fewer servers, processors are busy, and in some runs a crowd of
//! silent clients fills the descriptors. `SOAK_SEEDS=50` runs so many seeds, one line each on standard
//! output with `--nocapture`; without it a few are run.

mod common;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::draws::Draws;
use common::faults::{ENOBUFS, ENOMEM, Faults};
use common::toy::{DiscoveryAgent, ServerBehavior};
use common::{Client, TestBalancer, deadline_settings, wait_for, with_settings};
use socket2::SockRef;

/// Seeds that are run where none are asked for, and runs at a time.
const SEEDS: u64 = 12;
const AT_ONCE: u64 = 3;
/// From the longest deadline after SIGTERM to the earliest SIGKILL.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// New connections come for so long after SIGTERM.
const COMING: Duration = Duration::from_millis(390);
/// Each time limit is so much longer on sockets; and what the test's own threads may be late by.
const SLACK: Duration = Duration::from_millis(50 + 150);
/// Open connections, new ones and silent ones of a run.
const OPEN: usize = 20;
const NEW: u64 = 12;
const CROWD: usize = 150;
/// Writes of a client that reads nothing: more than the buffers on its way take.
const UNREAD_WRITES_MAX: usize = 400;
/// Each open connection sends a line so often.
const LINE_INTERVAL: Duration = Duration::from_millis(40);
/// One write in so many is delayed, for as long as a balancer may be.
const STALL: &str = "send stall 150 40 97 1";

/// What a seed stands for.
#[derive(Debug)]
struct Plan {
    seed: u64,
    /// The longest deadline before and after the reloads, in ms.
    deadlines: [u64; 2],
    signals: Vec<(&'static str, u64)>,
    hanging: usize,
    crowd: bool,
    faults: String,
}

impl Plan {
    fn new(seed: u64) -> Self {
        let mut draws = Draws::new(seed);
        let deadlines = [
            draws.one_of(&[200, 500, 1000, 3000]),
            draws.one_of(&[300, 800, 3000]),
        ];
        let mut signals = Vec::new();
        for _ in 0..draws.below(3) {
            signals.push(("-HUP", draws.below(40)));
        }
        signals.push(("-TERM", draws.below(60)));
        for _ in 0..draws.below(4) {
            signals.push((draws.one_of(&["-HUP", "-TERM", "-INT"]), draws.below(120)));
        }
        let faults = [
            String::new(),
            format!("epoll_ctl fail {ENOMEM} 0 3 60"),
            format!("send fail {ENOBUFS} 0 5 100"),
            "send short 2 0 2\nrecv short 3 0 2".to_string(),
            STALL.to_string(),
        ];
        let faults = faults[draws.below(faults.len() as u64) as usize].clone();
        Plan {
            seed,
            deadlines,
            signals,
            hanging: draws.below(3) as usize,
            crowd: draws.below(4) == 0,
            faults,
        }
    }

    fn shortest_deadline(&self) -> u64 {
        match self.signals.iter().any(|(signal, _)| *signal == "-HUP") {
            true => self.deadlines[0].min(self.deadlines[1]),
            false => self.deadlines[0],
        }
    }
}

/// An open connection, used until its end: what it saw that it must not see.
fn use_until_moved(mut client: Client) -> Option<String> {
    client.stream.set_read_timeout(Some(LINE_INTERVAL)).unwrap();
    let mut line = String::new();
    loop {
        let _ = std::io::Write::write_all(&mut client.stream, b"hello\r\n");
        match std::io::BufRead::read_line(&mut client.reader, &mut line) {
            Ok(0) => return Some(format!("ended without MOVE, after {line:?}")),
            Ok(_) if line == "MOVE\r\n" => return None,
            Ok(_) if line == "ok hello\r\n" => {
                line.clear();
                thread::sleep(LINE_INTERVAL);
            }
            Ok(_) => return Some(format!("read {line:?}")),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => return Some(format!("{e} after {line:?}")),
        }
    }
}

/// A client that comes after SIGTERM; what it saw that it must not see. In a crowd it may be shut
/// unread.
fn ask_once(balancer: &TestBalancer, plan: &Plan, deadline: u64) -> Option<String> {
    let since = Instant::now();
    let number = since.elapsed().as_nanos();
    let mut client = Client::try_new(balancer.address, b"")?;
    let id = format!(
        "{:x}{:x}",
        client.stream.local_addr().unwrap().port(),
        number + u128::from(plan.seed)
    );
    client.send(&format!("OPEN {id} k c=order,d={deadline}\r\n"));
    let answer = client.read_line();
    let took = since.elapsed();
    let next = client.read_line();
    let fine = match answer.as_str() {
        "UP 1" => next == "MOVE",
        answer if answer == "ERR" || answer.starts_with("BUSY") => next == "end",
        _ => plan.crowd,
    };
    let late = took > Duration::from_millis(deadline) + SLACK;
    (!fine || late).then(|| format!("{answer:?} after {took:?} of {deadline} ms, then {next:?}"))
}

/// Further trouble of a seed, drawn apart from its plan, which stays what it was without.
#[derive(Debug)]
struct Trouble {
    /// With the second SIGHUP discovery moves to an agent that lists so few of the servers.
    servers_left: Option<usize>,
    /// One more server is listed, which accepts connections and resets them.
    resetting_server: bool,
    /// Clients that send and read nothing.
    unread: usize,
    /// Discovery falls silent with the first signal.
    discovery_cut: bool,
    /// Busy threads beside the run.
    busy: usize,
}

impl Trouble {
    fn new(seed: u64) -> Self {
        let mut draws = Draws::new(!seed);
        Trouble {
            servers_left: (draws.below(3) == 0).then(|| 1 + draws.below(2) as usize),
            resetting_server: draws.below(3) == 0,
            unread: draws.one_of(&[0, 0, 3, 8]),
            discovery_cut: draws.below(3) == 0,
            busy: draws.one_of(&[0, 0, 0, 4]),
        }
    }
}

/// Starts a server that resets each connection as it accepts it, and returns its address.
fn start_resetting_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    address
}

/// Opens a connection, sends until nobody takes more, and reads nothing.
fn open_unread(balancer: &TestBalancer, wait: u64) -> Client {
    let client = balancer.client(&format!("c=chat,d={wait}"));
    client.stream.set_nonblocking(true).unwrap();
    let lines = b"nobody reads the answer\r\n".repeat(1000);
    for _ in 0..UNREAD_WRITES_MAX {
        if std::io::Write::write(&mut &client.stream, &lines).is_err() {
            break;
        }
    }
    client
}

/// Keeps so many processors busy until it is dropped.
struct Load {
    ended: Arc<AtomicBool>,
}

impl Load {
    fn start(threads: usize) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        for _ in 0..threads {
            let ended = ended.clone();
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        Load { ended }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Starts a balancer with the first deadlines of a plan, and waits until it has its list.
fn start(plan: &Plan) -> TestBalancer {
    let sockets = if plan.crowd { 256 } else { 1024 };
    let sockets = format!("\"sockets\": {sockets}");
    let config = |config: String| config.replace("\"sockets\": 1024", &sockets);
    let mut balancer = TestBalancer::start(3, config, Some(Faults::none()));
    balancer.wait_until_serving();
    let config = with_settings(&balancer.config, &deadline_settings(plan.deadlines[0]));
    balancer.restart_with_config(&config);
    let wait = plan.deadlines[0];
    wait_for("a list", || {
        balancer
            .client(&format!("c=chat,d={wait}"))
            .receives("UP 1")
    });
    balancer
}

/// Opens the connections that are used until the end.
fn open_connections(balancer: &TestBalancer, wait: u64) -> Vec<Client> {
    let mut open = Vec::new();
    while open.len() < OPEN {
        let mut client = balancer.client(&format!("c=chat,d={wait}"));
        if client.receives("UP 1") {
            open.push(client);
        }
    }
    open
}

/// Sends the signals of a plan with what comes beside them; returns when SIGTERM or SIGINT came
/// first.
fn send_signals(
    balancer: &TestBalancer,
    plan: &Plan,
    trouble: &Trouble,
    smaller: &DiscoveryAgent,
) -> Instant {
    let config = with_settings(&balancer.config, &deadline_settings(plan.deadlines[1]));
    std::fs::write(&balancer.config_file, &config).unwrap();
    if trouble.discovery_cut {
        balancer.agent.silence();
    }
    let mut reloads = 0;
    let mut terminated = None;
    for (signal, pause) in &plan.signals {
        thread::sleep(Duration::from_millis(*pause));
        if *signal == "-HUP" {
            reloads += 1;
        } else {
            terminated.get_or_insert_with(Instant::now);
        }
        if reloads == 2 && trouble.servers_left.is_some() {
            let agent = balancer.agent.address.to_string();
            let moved = config.replace(&agent, &smaller.address.to_string());
            std::fs::write(&balancer.config_file, moved).unwrap();
        }
        balancer.signal_if_alive(signal);
    }
    terminated.expect("each plan has one")
}

/// An agent that lists as few servers as the trouble leaves.
fn smaller_agent(balancer: &TestBalancer, trouble: &Trouble) -> Arc<DiscoveryAgent> {
    let agent = DiscoveryAgent::start("127.0.0.1:0").unwrap();
    let left = trouble.servers_left.unwrap_or(0);
    for (number, server) in balancer.servers.iter().enumerate().take(left) {
        agent.publish(&format!("s-{number}"), server.address, "Ready");
    }
    agent
}

/// Plays the signals between clients that go on and clients that come; returns what clients saw
/// that they must not see, and when SIGTERM came.
fn play(balancer: &TestBalancer, plan: &Plan, trouble: &Trouble) -> (Vec<String>, Instant) {
    let open = open_connections(balancer, plan.deadlines[0]);
    let _unread: Vec<Client> = (0..trouble.unread)
        .map(|_| open_unread(balancer, plan.deadlines[0]))
        .collect();
    if trouble.resetting_server {
        let address = start_resetting_server();
        balancer.agent.publish("s-9", address, "Ready");
    }
    let smaller = smaller_agent(balancer, trouble);
    let _load = Load::start(trouble.busy);
    balancer.faults().set(&plan.faults);
    thread::scope(|scope| {
        let users: Vec<_> = open
            .into_iter()
            .map(|client| scope.spawn(|| use_until_moved(client)))
            .collect();
        thread::sleep(2 * LINE_INTERVAL);
        let crowd = if plan.crowd { CROWD } else { 0 };
        let _silent: Vec<_> = (0..crowd)
            .filter_map(|_| TcpStream::connect(balancer.address).ok())
            .collect();
        balancer
            .servers
            .iter()
            .take(plan.hanging)
            .for_each(|server| server.set_behavior(ServerBehavior::Silent));
        let terminated = send_signals(balancer, plan, trouble, &smaller);
        let deadline = plan.shortest_deadline().min(400);
        let mut asking = Vec::new();
        while terminated.elapsed() < COMING {
            asking.push(scope.spawn(move || ask_once(balancer, plan, deadline)));
            thread::sleep(COMING / NEW as u32);
        }
        let seen = asking.into_iter().chain(users);
        let broken = seen.filter_map(|seen| seen.join().unwrap()).collect();
        (broken, terminated)
    })
}

/// Runs one seed; returns what was violated.
fn run_seed(seed: u64) -> Vec<String> {
    let plan = Plan::new(seed);
    let trouble = Trouble::new(seed);
    let mut balancer = start(&plan);
    let (mut broken, terminated) = play(&balancer, &plan, &trouble);
    let kill = Duration::from_millis(plan.shortest_deadline()) + KILL_AFTER_DEADLINE;
    let status = balancer.process.wait().unwrap();
    let took = terminated.elapsed();
    if !status.success() || took >= kill {
        broken.push(format!(
            "{status} after {took:?}, where SIGKILL comes at {kill:?}"
        ));
    }
    println!(
        "seed {seed}: {} {plan:?} {trouble:?} {broken:?}",
        if broken.is_empty() { "kept" } else { "BROKEN" }
    );
    broken
}

/// Guards against an answer that is late by two delayed calls: one while its client's line waits to
/// be read, one as the answer is written.
#[test]
fn answers_are_in_time_where_two_calls_on_their_way_are_delayed() {
    assert_eq!(run_seed(15), Vec::<String>::new());
}

#[test]
fn nothing_is_lost_on_the_way_to_the_end() {
    let asked = std::env::var("SOAK_SEEDS")
        .ok()
        .map(|count| count.parse().expect("a number of seeds"));
    let seeds: u64 = asked.unwrap_or(SEEDS);
    let broken: Vec<String> = thread::scope(|scope| {
        let lane = |first| {
            move || {
                (first..seeds)
                    .step_by(AT_ONCE as usize)
                    .flat_map(run_seed)
                    .collect::<Vec<_>>()
            }
        };
        let lanes: Vec<_> = (0..AT_ONCE).map(|first| scope.spawn(lane(first))).collect();
        lanes
            .into_iter()
            .flat_map(|lane| lane.join().unwrap())
            .collect()
    });
    assert!(broken.is_empty(), "{broken:#?}");
}
