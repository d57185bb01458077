//! Deadlines at their edges: requests with hardly any time left, and descriptors and discovery that
//! are both gone at once.

mod common;

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{Client, TestBalancer, wait_for, with_settings};
use serde_json::json;

/// Each time limit is so much longer on sockets; and what the test's own threads may be late by.
const SLACK: Duration = Duration::from_millis(50 + 100);

/// With hardly any time left, a request gets its one answer by its deadline, whatever its server
/// does with it: serve it, drop it without an answer, refuse it, or end the connection.
#[test]
fn requests_with_hardly_any_time_left_get_their_one_answer() {
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
                assert!(answered, "{behavior:?} {class} {ms}: {answer}");
                assert!(
                    took < Duration::from_millis(ms) + SLACK,
                    "{behavior:?} {class} {ms}: {answer} after {took:?}"
                );
                if answer != "UP 1" {
                    assert_eq!(client.read_line(), "end", "{behavior:?} {class} {ms}");
                }
            }
        }
    }
}

/// Idle clients fill the descriptors while discovery is down, and a server drains meanwhile: known
/// at the return of discovery, the drain is kept from the grace on, and clients that ask are
/// answered all the time.
#[test]
fn a_drain_is_kept_though_idle_clients_filled_the_descriptors_while_discovery_was_down() {
    /// More than the balancer takes of those who say nothing.
    const IDLE: usize = 400;
    /// Longest time until a change is known, from when discovery had it and could be reached.
    const CHANGE_KNOWN_AFTER_MAX: Duration = Duration::from_secs(6);
    let balancer = TestBalancer::with_config(2, |config| {
        let config = with_settings(&config, &[("limits/probes", json!(false))]);
        config.replace("\"sockets\":1024", "\"sockets\":256")
    });
    assert!(balancer.config.contains("\"sockets\":256"));
    balancer.agent.silence();
    let idle: Vec<TcpStream> = (0..IDLE)
        .filter_map(|_| TcpStream::connect(balancer.address).ok())
        .collect();
    balancer
        .agent
        .publish("s-1", balancer.servers[1].address, "Terminating");
    let until = Instant::now() + Duration::from_secs(4);
    let asks = |client: Option<Client>| {
        let answer = client.map(|mut client| client.read_line());
        answer.is_some_and(|answer| answer == "UP 1" || answer.starts_with("BUSY"))
    };
    let ask = || {
        static IDS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let id = IDS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Client::try_new(
            balancer.address,
            format!("OPEN crowd{id:x} k c=chat,d=900\r\n").as_bytes(),
        )
    };
    while Instant::now() < until {
        assert!(asks(ask()), "a client that asks in the crowd is answered");
        thread::sleep(Duration::from_millis(100));
    }
    balancer.agent.resume();
    let returned = Instant::now();
    wait_for("the drain", || {
        let before = balancer.servers[1].first_lines().len();
        (0..6).all(|_| asks(ask())) && balancer.servers[1].first_lines().len() == before
    });
    assert!(
        returned.elapsed() < CHANGE_KNOWN_AFTER_MAX,
        "{:?}",
        returned.elapsed()
    );
    drop(idle);
}
