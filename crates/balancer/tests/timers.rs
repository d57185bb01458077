//! Timed waits of the real program: each ends in time, even if threads of the program are delayed.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::faults::FaultPlan;
use common::toy::ServerBehavior;
use common::{TestBalancer, with_settings};
use serde_json::json;

/// The allowed lateness: 50 ms that each time limit is extended by on sockets, and 100 ms by which
/// the test's own threads may be late.
const SLACK: Duration = Duration::from_millis(50 + 100);
/// The deadlines of the flows that are opened at once.
const DEADLINES_MS: Range<u64> = 40..50;
/// How often these flows are opened.
const ROUNDS: usize = 100;
/// The number of lines that a client sends at once.
const LINES: usize = 40_000;
/// The length of each line with its line end.
const LINE_BYTES: usize = 100;
/// The longest time until all lines have reached the server.
const TRANSFER_TIME_MAX: Duration = Duration::from_secs(3);

fn balancer(servers: usize) -> TestBalancer {
    let change = |config: String| with_settings(&config, &[("limits/probes", json!(false))]);
    TestBalancer::start(servers, change, Some(FaultPlan::empty()))
}

/// Guards against flows that are never answered. This happens if the thread that starts a timed
/// wait is delayed, and the timer expires before the coroutine can be woken.
#[test]
fn flows_on_silent_servers_are_answered_in_time_when_threads_are_delayed() {
    let balancer = balancer(2);
    balancer.wait_until_serving();
    for server in &balancer.servers {
        server.set_behavior(ServerBehavior::Silent);
    }
    balancer.faults().replace("futex_wake stall 35 0 29");
    let mut errors = Vec::new();
    for _ in 0..ROUNDS {
        errors.extend(open_flows(&balancer));
    }
    assert!(
        errors.is_empty(),
        "expected one answer in time on each flow, {} flows differ: {errors:#?}",
        errors.len()
    );
}

/// Opens two flows of each deadline at once and returns their errors.
fn open_flows(balancer: &TestBalancer) -> Vec<String> {
    thread::scope(|scope| {
        let flows: Vec<_> = DEADLINES_MS
            .chain(DEADLINES_MS)
            .map(|ms| scope.spawn(move || open_flow(balancer, ms)))
            .collect();
        let answers = flows.into_iter().map(|flow| flow.join().unwrap());
        answers.filter_map(Result::err).collect()
    })
}

/// Opens a flow with this deadline and reads its answers to the end.
///
/// # Errors
/// If there wasn't exactly one final answer in time: the answers and the time of the first.
fn open_flow(balancer: &TestBalancer, ms: u64) -> Result<(), String> {
    let since = Instant::now();
    let mut client = balancer.client(&format!("c=order,d={ms}"));
    let answer = client.read_line();
    let took = since.elapsed();
    let is_final = answer == "ERR" || answer.starts_with("BUSY");
    let next = client.read_line();
    if is_final && next == "end" && took < Duration::from_millis(ms) + SLACK {
        return Ok(());
    }
    Err(format!(
        "deadline {ms} ms: {answer:?} after {took:?}, then {next:?}"
    ))
}

/// Guards against lines that stay in the balancer because the wait between two turns of a relay
/// never ends.
#[test]
fn lines_reach_a_server_that_sends_nothing_back_when_threads_are_delayed() {
    let balancer = balancer(0);
    let (address, complete) = start_reading_server();
    balancer.agent.publish("s-0", address, "Ready");
    balancer.wait_until_serving();
    balancer.faults().replace("futex_wake stall 3 0 1");
    let mut client = balancer.client("c=chat,d=1000");
    assert_eq!(client.read_line(), "UP 1");
    let line = format!("{}\r\n", "x".repeat(LINE_BYTES - 2));
    client.send(&line.repeat(LINES));
    let received = complete.recv_timeout(TRANSFER_TIME_MAX);
    assert!(
        received.is_ok(),
        "expected all lines at the server within {TRANSFER_TIME_MAX:?}"
    );
}

/// Starts a server that accepts each client and then only reads. Returns its address and a channel
/// on which it reports that it has read all lines of a client.
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
