//! Clients that keep the balancer busy, and what other clients see of it: their answers must stay in
//! time, and memory within its limit.

mod common;

use std::io::Write;
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

/// Guards against a process that passes its memory limit with hundreds of clients that write slowly,
/// stop inside a long line or send very many short values, because only flows are limited by it.
#[test]
fn hundreds_of_clients_with_unfinished_lines_fit_into_the_memory_limit() {
    const MEMORY_MB: usize = 64;
    const CLIENTS_OF_EACH_KIND: usize = 150;
    let balancer = TestBalancer::with_config(1, |config| {
        config
            .replace("\"sockets\": 1024", "\"sockets\": 20000")
            .replace("\"memory_mb\": 192", "\"memory_mb\": 64")
    });
    let long_key = "k".repeat(3900);
    let many_values = ",q=1".repeat(900);
    let mut unfinished = Vec::new();
    for number in 0..CLIENTS_OF_EACH_KIND {
        for line in [
            format!("OPEN slow{number} "),
            format!("OPEN half{number} {long_key}"),
            format!("OPEN values{number} k c=chat,d=900{many_values}"),
        ] {
            unfinished.push(Client::connect_and_send(balancer.address, line.as_bytes()));
        }
    }
    let open: Vec<Client> = (0..CLIENTS_OF_EACH_KIND)
        .map(|_| {
            let mut client = balancer.client(&format!("c=chat,d=900,g={long_key}"));
            assert_eq!(client.read_line(), "UP 1");
            client
        })
        .collect();
    for _ in 0..20 {
        for client in unfinished.iter_mut().step_by(3) {
            // Some are rejected meanwhile.
            let _ = client.stream.write_all(b"k");
        }
        thread::sleep(Duration::from_millis(50));
    }
    for client in &mut unfinished {
        let answer = client.read_line();
        assert!(
            answer.starts_with("BUSY") || answer == "ERR" || answer == "reset",
            "unexpected answer: {answer}"
        );
    }
    let kb = balancer.peak_memory_kb();
    assert!(
        kb < MEMORY_MB << 10,
        "{kb} KB with {} open connections",
        open.len()
    );
}
