//! Clients that keep the balancer busy, and what other clients see of it: their answers must stay in
//! time, and memory within its limit.

mod common;

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::recorder::RecordingServer;
use common::{Client, TestBalancer};

/// Guards against clients that wait behind connections that others have opened, while the balancer
/// pauses between the connections that it accepts.
#[test]
fn client_behind_a_burst_of_connections_is_answered_within_300_ms() {
    const BURST: usize = 1300;
    const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
    let balancer = TestBalancer::new(1);
    let mut client = balancer.while_stopped(|| {
        for _ in 0..BURST {
            drop(TcpStream::connect(balancer.address).unwrap());
        }
        balancer.client("c=chat,d=900")
    });
    let since = Instant::now();
    assert_eq!(client.read_line(), "UP 1");
    let took = since.elapsed();
    assert!(took < ANSWER_TIMEOUT, "answered after {took:?}");
}

/// Guards against a request that runs twice when its id comes again after its client has left and
/// others have used many new ids.
#[test]
fn id_of_a_client_that_has_left_does_not_run_again_after_many_other_ids() {
    const OTHER_IDS_PER_CLIENT: usize = 700;
    const OTHER_CLIENTS: usize = 4;
    let server = RecordingServer::start();
    let balancer = TestBalancer::with_only_server(server.address);
    let first_line = b"OPEN first-of-all k c=order,d=900\r\n";
    let mut first = Client::connect_and_send(balancer.address, first_line);
    assert_eq!(first.read_line(), "UP 1");
    drop(first);
    thread::scope(|scope| {
        for _ in 0..OTHER_CLIENTS {
            scope.spawn(|| {
                for _ in 0..OTHER_IDS_PER_CLIENT {
                    balancer.client("c=order,d=900").read_line();
                }
            });
        }
    });
    let mut again = Client::connect_and_send(balancer.address, first_line);
    assert_eq!(again.read_line(), "ERR");
    let attempts = server.attempts.lock().unwrap();
    let lines: Vec<&str> = attempts
        .iter()
        .filter_map(|attempt| Some(attempt.first_line.as_ref()?.1.as_str()))
        .collect();
    let served = lines.iter().filter(|line| line.contains("c=order")).count();
    let runs = lines.iter().filter(|line| line.contains("first-of-all"));
    assert_eq!(runs.count(), 1, "of {served} requests that ran");
    assert!(served > 2000, "only {served} other ids ran");
}
