//! A soak of the end: seeded runs of the real program from SIGTERM to the earliest SIGKILL. Clients
//! go on using their open connections until then and new ones come for 0.4 s; signals come in
//! series, servers hang, system calls fail or are delayed, and in some runs a crowd of silent
//! clients fills the descriptors. `SOAK_SEEDS=50` runs so many seeds, one line each on standard
//! output with `--nocapture`; without it a few are run.

mod common;

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::draws::Draws;
use common::faults::{ENOBUFS, ENOMEM, Faults};
use common::toy::ServerBehavior;
use common::{Client, TestBalancer, deadline_settings, wait_for, with_settings};

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

/// Runs one seed; returns what was violated.
fn run_seed(seed: u64) -> Vec<String> {
    let plan = &Plan::new(seed);
    let config = |config: String| {
        config.replace(
            "\"sockets\": 1024",
            if plan.crowd {
                "\"sockets\": 256"
            } else {
                "\"sockets\": 1024"
            },
        )
    };
    let mut balancer = TestBalancer::start(3, config, Some(Faults::none()));
    balancer.wait_until_serving();
    let config = balancer.config.clone();
    balancer.restart_with_config(&with_settings(
        &config,
        &deadline_settings(plan.deadlines[0]),
    ));
    let wait = plan.deadlines[0];
    wait_for("a list", || {
        balancer
            .client(&format!("c=chat,d={wait}"))
            .receives("UP 1")
    });
    let mut open = Vec::new();
    while open.len() < OPEN {
        let mut client = balancer.client(&format!("c=chat,d={wait}"));
        if client.receives("UP 1") {
            open.push(client);
        }
    }
    std::fs::write(
        &balancer.config_file,
        with_settings(&config, &deadline_settings(plan.deadlines[1])),
    )
    .unwrap();
    balancer.faults().set(&plan.faults);
    let mut broken = Vec::new();
    let kill = Duration::from_millis(plan.shortest_deadline()) + KILL_AFTER_DEADLINE;
    let terminated = thread::scope(|scope| {
        let users: Vec<_> = open
            .into_iter()
            .map(|client| scope.spawn(|| use_until_moved(client)))
            .collect();
        thread::sleep(2 * LINE_INTERVAL);
        let crowd = if plan.crowd { CROWD } else { 0 };
        let silent: Vec<_> = (0..crowd)
            .filter_map(|_| TcpStream::connect(balancer.address).ok())
            .collect();
        balancer
            .servers
            .iter()
            .take(plan.hanging)
            .for_each(|server| server.set_behavior(ServerBehavior::Silent));
        let mut terminated = None;
        for (signal, pause) in &plan.signals {
            thread::sleep(Duration::from_millis(*pause));
            if *signal != "-HUP" {
                terminated.get_or_insert_with(Instant::now);
            }
            balancer.signal_if_alive(signal);
        }
        let terminated = terminated.expect("each plan has one");
        let deadline = plan.shortest_deadline().min(400);
        let balancer = &balancer;
        let mut asking = Vec::new();
        while terminated.elapsed() < COMING {
            asking.push(scope.spawn(move || ask_once(balancer, plan, deadline)));
            thread::sleep(COMING / NEW as u32);
        }
        broken.extend(asking.into_iter().filter_map(|asked| asked.join().unwrap()));
        broken.extend(users.into_iter().filter_map(|user| user.join().unwrap()));
        drop(silent);
        terminated
    });
    let status = balancer.process.wait().unwrap();
    let took = terminated.elapsed();
    if !status.success() || took >= kill {
        broken.push(format!(
            "{status} after {took:?}, where SIGKILL comes at {kill:?}"
        ));
    }
    println!(
        "seed {seed}: {} {plan:?} {broken:?}",
        if broken.is_empty() { "kept" } else { "BROKEN" }
    );
    broken
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
