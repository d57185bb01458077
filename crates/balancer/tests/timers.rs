//! Timed waits of the real program: each ends in time, whatever its threads are held up by.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::faults::Faults;
use common::toy::ServerBehavior;
use common::{TestBalancer, with_settings};
use serde_json::json;

/// Each time limit is so much longer on sockets; and what the test's own threads may be late by.
const SLACK: Duration = Duration::from_millis(50 + 100);
/// The deadlines of flows that come at once.
const DEADLINES_MS: Range<u64> = 40..50;
/// How often so many flows come.
const ROUNDS: usize = 100;
/// Lines that a client sends at once, and the bytes of each.
const LINES: usize = 40_000;
const LINE_BYTES: usize = 100;
/// Longest time until all of them have reached the server.
const TRANSFER_TIME_MAX: Duration = Duration::from_secs(3);

fn balancer(servers: usize) -> TestBalancer {
    let change = |config: String| with_settings(&config, &[("limits/probes", json!(false))]);
    TestBalancer::start(servers, change, Some(Faults::none()))
}

/// Guards against flows that are never answered: the timer of a wait expires while the thread that
/// has started it is held up before the coroutine can be woken.
#[test]
fn flows_on_silent_servers_are_answered_in_time_though_threads_are_held_up() {
    let balancer = balancer(2);
    balancer.wait_until_serving();
    for server in &balancer.servers {
        server.set_behavior(ServerBehavior::Silent);
    }
    balancer.faults().set("futex_wake stall 35 0 29");
    let mut wrong = Vec::new();
    for _ in 0..ROUNDS {
        wrong.extend(ask_at_once(&balancer));
    }
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
}

/// Opens two flows of each deadline at once; returns what was wrong.
fn ask_at_once(balancer: &TestBalancer) -> Vec<String> {
    thread::scope(|scope| {
        let asked: Vec<_> = DEADLINES_MS
            .chain(DEADLINES_MS)
            .map(|ms| scope.spawn(move || ask(balancer, ms)))
            .collect();
        let answers = asked.into_iter().map(|asked| asked.join().unwrap());
        answers.filter_map(Result::err).collect()
    })
}

/// Opens a flow and reads its answers to the end.
///
/// # Errors
/// What came, and when, where it wasn't one answer in time.
fn ask(balancer: &TestBalancer, ms: u64) -> Result<(), String> {
    let since = Instant::now();
    let mut client = balancer.client(&format!("c=order,d={ms}"));
    let answer = client.read_line();
    let took = since.elapsed();
    let is_final = answer == "ERR" || answer.starts_with("BUSY");
    let next = client.read_line();
    if is_final && next == "end" && took < Duration::from_millis(ms) + SLACK {
        return Ok(());
    }
    Err(format!("{ms} ms: {answer:?} after {took:?}, then {next:?}"))
}

/// Guards against lines that stay in the balancer: the wait between two turns of a relay never
/// ends.
#[test]
fn lines_reach_a_server_that_answers_nothing_though_threads_are_held_up() {
    let balancer = balancer(0);
    let (address, complete) = start_reading_server();
    balancer.agent.publish("s-0", address, "Ready");
    balancer.wait_until_serving();
    balancer.faults().set("futex_wake stall 3 0 1");
    let mut client = balancer.client("c=chat,d=1000");
    assert_eq!(client.read_line(), "UP 1");
    let line = format!("{}\r\n", "x".repeat(LINE_BYTES - 2));
    client.send(&line.repeat(LINES));
    let came = complete.recv_timeout(TRANSFER_TIME_MAX);
    assert!(came.is_ok(), "the lines did not come in time");
}

/// Starts a server that accepts each client and then only reads; it says when it has read all lines
/// of one.
fn start_reading_server() -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || read_lines(stream, &sender));
        }
    });
    (address, receiver)
}

fn read_lines(stream: TcpStream, complete: &Sender<()>) {
    let mut writer = stream.try_clone().unwrap();
    let mut lines = BufReader::new(stream).lines();
    if lines.next().is_some_and(|line| line.is_ok()) {
        let _ = writer.write_all(b"UP 1\r\n");
    }
    if lines.take(LINES).flatten().count() == LINES {
        let _ = complete.send(());
    }
}
