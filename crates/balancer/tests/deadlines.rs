//! Edge cases of deadlines: requests with very short deadlines, and clients that ask while the
//! descriptors are exhausted and discovery is down at once.

mod common;

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{Client, TestBalancer, wait_for, with_settings};
use serde_json::json;

/// Tolerance over the deadline: 50 ms by which each time limit is longer on sockets, and 100 ms by
/// which the test's own threads may be delayed.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50 + 100);

/// A request with a deadline of 1 to 40 ms gets exactly one answer by its deadline, whatever its
/// server does: serve it, never answer, reject it, fail it or close the connection.
#[test]
fn requests_with_very_short_deadlines_get_exactly_one_answer_in_time() {
    let balancer = TestBalancer::with_config(2, |config| {
        with_settings(&config, &[("limits/probes", json!(false))])
    });
    for behavior in [
        ServerBehavior::Silent,
        ServerBehavior::Serving,
        ServerBehavior::Busy,
        ServerBehavior::Failing,
        ServerBehavior::Closing,
    ] {
        balancer
            .servers
            .iter()
            .for_each(|server| server.set_behavior(behavior));
        for class in ["chat", "order"] {
            for ms in [1, 2, 5, 14, 16, 20, 40] {
                let since = Instant::now();
                let mut client = balancer.client(&format!("c={class},d={ms}"));
                let answer = client.read_line();
                let took = since.elapsed();
                let answered = answer == "UP 1" || answer == "ERR" || answer.starts_with("BUSY");
                assert!(
                    answered,
                    "{behavior:?} {class} {ms} ms: expected UP 1, ERR or BUSY, got {answer}"
                );
                assert!(
                    took < Duration::from_millis(ms) + DEADLINE_TOLERANCE,
                    "{behavior:?} {class} {ms} ms: expected an answer by the deadline, \
                     got {answer} after {took:?}"
                );
                if answer != "UP 1" {
                    assert_eq!(
                        client.read_line(),
                        "end",
                        "{behavior:?} {class} {ms} ms: expected the end after {answer}"
                    );
                }
            }
        }
    }
}

/// Idle clients use up the descriptors while discovery is down, and a server starts to drain
/// meanwhile. Clients that ask must be answered all the time. Once discovery is back, the balancer
/// must learn of the drain and, from the end of the grace on, place nobody on that server.
#[test]
fn drain_is_respected_after_discovery_returns_though_idle_clients_used_up_the_descriptors() {
    /// More silent clients than the balancer keeps open.
    const IDLE_CLIENTS: usize = 400;
    /// The grace: the longest time from when discovery has the change and is reachable until the
    /// balancer knows it.
    const CHANGE_DEADLINE: Duration = Duration::from_secs(6);
    let balancer = TestBalancer::with_config(2, |config| {
        let config = with_settings(&config, &[("limits/probes", json!(false))]);
        config.replace("\"sockets\":1024", "\"sockets\":256")
    });
    assert!(balancer.config_text.contains("\"sockets\":256"));
    balancer.agent.stop_answering();
    let idle: Vec<TcpStream> = (0..IDLE_CLIENTS)
        .filter_map(|_| TcpStream::connect(balancer.address).ok())
        .collect();
    balancer
        .agent
        .publish("s-1", balancer.servers[1].address, "Terminating");
    let until = Instant::now() + Duration::from_secs(4);
    let is_answered = |client: Option<Client>| {
        let answer = client.map(|mut client| client.read_line());
        answer.is_some_and(|answer| answer == "UP 1" || answer.starts_with("BUSY"))
    };
    let connect = || {
        static IDS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let id = IDS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Client::try_connect_and_send(
            balancer.address,
            format!("OPEN crowd{id:x} k c=chat,d=900\r\n").as_bytes(),
        )
    };
    while Instant::now() < until {
        assert!(
            is_answered(connect()),
            "expected UP 1 or BUSY for a client that asks among idle ones"
        );
        thread::sleep(Duration::from_millis(100));
    }
    balancer.agent.resume();
    let back_at = Instant::now();
    wait_for("end of placements on the draining server", || {
        let before = balancer.servers[1].first_lines().len();
        (0..6).all(|_| is_answered(connect())) && balancer.servers[1].first_lines().len() == before
    });
    assert!(
        back_at.elapsed() < CHANGE_DEADLINE,
        "expected the drain to be known within {CHANGE_DEADLINE:?}, took {:?}",
        back_at.elapsed()
    );
    drop(idle);
}
