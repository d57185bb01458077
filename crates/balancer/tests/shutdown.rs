//! Graceful shutdown, from SIGTERM to the earliest time of SIGKILL. That is the longest deadline of
//! the deployment, counted as 3 s at most, plus 0.7 s. Clients go on using their connections until
//! then.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{Client, TestBalancer, deadline_settings, wait_for, with_settings};
use serde_json::json;

/// Time from the longest deadline after SIGTERM until the earliest SIGKILL.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// The longest deadline after a reload that makes it shorter.
const SHORT_DEADLINE: Duration = Duration::from_millis(500);

/// Time after which new settings alone count, and a little more.
const RELOAD_SETTLING_TIME: Duration = Duration::from_millis(4200);

/// Starts a balancer whose traffic classes all have this longest deadline.
fn start_balancer(deadline_ms: u64) -> TestBalancer {
    let mut balancer = TestBalancer::new(1);
    balancer.restart_with_settings(&deadline_settings(deadline_ms));
    wait_for("an endpoint list", || {
        balancer
            .client(&format!("c=chat,d={deadline_ms}"))
            .next_line_is("UP 1")
    });
    balancer
}

/// SIGKILL comes at a time given by the deadlines that applied at SIGTERM, or by shorter ones
/// reloaded since. The balancer must have migrated its open clients and exited by then.
#[test]
fn balancer_exits_before_sigkill_if_a_reload_changes_the_deadlines_around_sigterm() {
    std::thread::scope(|scope| {
        // The longest deadline in ms before the reload and after it, and whether the reload comes
        // before SIGTERM.
        for (before, after, reload_first) in [
            (400, 3000, false),
            (3000, 400, false),
            (400, 3000, true),
            (700, 700, false),
        ] {
            scope.spawn(move || {
                let mut balancer = start_balancer(before);
                let mut client = balancer.client("c=chat,d=400");
                assert_eq!(client.read_line(), "UP 1");
                std::fs::write(
                    &balancer.config_file,
                    with_settings(&balancer.config_text, &deadline_settings(after)),
                )
                .unwrap();
                let since = Instant::now();
                let signals = if reload_first {
                    ["-HUP", "-TERM"]
                } else {
                    ["-TERM", "-HUP"]
                };
                signals.iter().for_each(|signal| balancer.signal(signal));
                balancer.signal("-TERM");
                assert_eq!(
                    (client.read_line(), client.read_line()),
                    ("MOVE".into(), "end".into()),
                    "deadline of {before} ms, then {after} ms: expected MOVE and the end"
                );
                drop(client);
                let status = balancer.process.wait().unwrap();
                let kill = Duration::from_millis(before.min(after)) + KILL_AFTER_DEADLINE;
                let took = since.elapsed();
                assert!(
                    status.success() && took < kill,
                    "deadline of {before} ms, then {after} ms, reload_first={reload_first}: \
                     expected exit status 0 within {kill:?}, got {status} after {took:?}"
                );
            });
        }
    });
}

/// A reload long before SIGTERM is not part of the shutdown: if it made the deadlines longer, the
/// longer ones apply.
#[test]
fn longer_deadlines_of_a_reload_apply_to_a_later_shutdown() {
    let mut balancer = start_balancer(300);
    std::fs::write(
        &balancer.config_file,
        with_settings(&balancer.config_text, &deadline_settings(1500)),
    )
    .unwrap();
    balancer.signal("-HUP");
    std::thread::sleep(Duration::from_millis(4500));
    balancer.servers[0].set_behavior(common::toy::ServerBehavior::Silent);
    let mut client = balancer.client("c=order,d=1400");
    wait_for("the attempt", || {
        balancer.servers[0]
            .first_lines()
            .last()
            .is_some_and(|line| line.contains("c=order"))
    });
    balancer.terminate();
    std::thread::sleep(Duration::from_millis(900));
    balancer.servers[0].set_behavior(common::toy::ServerBehavior::Serving);
    balancer.servers[0].send_to_all("UP 1\r\n");
    assert_eq!(
        client.read_line(),
        "UP 1",
        "expected service before the deadline"
    );
    assert_eq!(client.read_line(), "MOVE");
    assert!(balancer.process.wait().unwrap().success());
}

#[test]
fn on_sigterm_clients_are_migrated_spread_over_time_and_new_clients_are_answered() {
    let mut balancer = TestBalancer::new(2);
    let mut clients: Vec<Client> = (0..10).map(|_| balancer.client("c=chat,d=900")).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    balancer.servers[1].set_behavior(ServerBehavior::Silent);
    let since = Instant::now();
    balancer.terminate();
    thread::sleep(Duration::from_millis(300));
    let mut late = balancer.client("c=chat,d=2500");
    let answer = late.read_line();
    assert!(
        answer == "UP 1" || answer.starts_with("BUSY"),
        "expected UP 1 or BUSY after SIGTERM, got {answer}"
    );
    let mut moved = Vec::new();
    for client in &mut clients {
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("MOVE".into(), "end".into())
        );
        moved.push(since.elapsed());
    }
    // Guards against migrating all clients at once, which would hit other balancers all at once.
    let spread = moved[9] - moved[0];
    assert!(
        spread > Duration::from_millis(300) && moved[0] > Duration::from_millis(1200),
        "expected the first MOVE after 1.2 s and all of them spread over 0.3 s: {moved:?}"
    );
    if answer == "UP 1" {
        assert_eq!(late.read_line(), "MOVE");
    }
    let status = balancer.process.wait().unwrap();
    assert!(
        status.success() && since.elapsed() < Duration::from_millis(3700),
        "expected exit status 0 within 3.7 s, got {status} after {:?}",
        since.elapsed()
    );
}

/// The front end goes on sending clients for 0.4 s after SIGTERM. With short connect timeouts, all
/// pending answers may have been given earlier. Even so, new clients must not find a closed port,
/// and clients with an incomplete first line must not be disconnected without an answer.
#[test]
fn clients_that_connect_after_sigterm_are_answered_even_with_short_deadlines() {
    thread::scope(|scope| {
        for (longest, behavior) in [
            (100, ServerBehavior::Serving),
            (100, ServerBehavior::Silent),
            (250, ServerBehavior::Silent),
            (700, ServerBehavior::Serving),
        ] {
            scope.spawn(move || {
                let mut balancer = TestBalancer::new(1);
                balancer.restart_with_settings(&deadline_settings(longest));
                // No client is served yet, so that no open connection delays the exit.
                balancer.servers[0].set_behavior(ServerBehavior::Failing);
                wait_for("an endpoint list", || {
                    balancer
                        .client(&format!("c=order,d={longest}"))
                        .next_line_is("ERR")
                });
                balancer.servers[0].set_behavior(behavior);
                let since = Instant::now();
                balancer.terminate();
                let mut incomplete =
                    Client::connect_and_send(balancer.address, b"OPEN half k c=chat,");
                let mut last = Client::connect_and_send(balancer.address, b"OPEN last k c=chat,");
                thread::sleep(Duration::from_millis(390).saturating_sub(since.elapsed()));
                let mut late = balancer.client(&format!("c=order,d={}", longest.min(90)));
                incomplete.send(&format!("d={}\r\n", longest.min(90)));
                for client in [&mut late, &mut incomplete] {
                    let answer = client.read_line();
                    let answered =
                        answer == "UP 1" || answer == "ERR" || answer.starts_with("BUSY");
                    assert!(
                        answered,
                        "{longest} ms {behavior:?}: expected UP 1, ERR or BUSY, got {answer}"
                    );
                    if answer == "UP 1" {
                        assert_eq!(
                            client.read_line(),
                            "MOVE",
                            "{longest} ms {behavior:?}: expected MOVE after UP 1"
                        );
                    }
                }
                // All clients are answered except one whose line is complete only now and whose
                // deadline is after the balancer's exit.
                drop((late, incomplete));
                if longest == 250 {
                    thread::sleep(Duration::from_millis(620).saturating_sub(since.elapsed()));
                    last.send("d=250\r\n");
                    let answer = last.read_line();
                    assert!(
                        answer == "ERR" || answer.starts_with("BUSY"),
                        "expected ERR or BUSY, got {answer}"
                    );
                }
                let status = balancer.process.wait().unwrap();
                // Earliest time of SIGKILL after SIGTERM.
                let kill = Duration::from_millis(longest + 700);
                assert!(
                    status.success() && since.elapsed() < kill,
                    "expected exit status 0 within {kill:?}, got {status} after {:?}",
                    since.elapsed()
                );
            });
        }
    });
}

/// A flow was open before the balancer started, and its server doesn't respond. Its client must be
/// answered before the balancer exits, and so must every client whose answer is still pending then.
#[test]
fn clients_that_wait_for_an_unresponsive_server_are_answered_before_the_balancer_exits() {
    let mut balancer = TestBalancer::new(1);
    balancer.restart_with_settings(&deadline_settings(400));
    wait_for("an endpoint list", || {
        balancer.client("c=chat,d=400").next_line_is("UP 1")
    });
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let mut clients: Vec<Client> = ["c=chat,at=s-0", "c=chat,at=s-none"]
        .into_iter()
        .map(|values| balancer.client(values))
        .collect();
    wait_for("the attempt", || {
        balancer.servers[0]
            .first_lines()
            .last()
            .is_some_and(|line| line.contains("at=s-0"))
    });
    balancer.terminate();
    for client in &mut clients {
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("ERR".into(), "end".into())
        );
    }
    assert!(balancer.process.wait().unwrap().success());
}

/// Guards against migrating clients while the front end still sends new ones to this balancer: the
/// migrated clients would reconnect to it.
#[test]
fn no_client_is_migrated_within_400_ms_after_sigterm() {
    let mut balancer = TestBalancer::new(1);
    balancer.restart_with_settings(&deadline_settings(200));
    wait_for("an endpoint list", || {
        balancer.client("c=chat,d=200").next_line_is("UP 1")
    });
    let mut clients: Vec<Client> = (0..6).map(|_| balancer.client("c=chat,d=200")).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    let since = Instant::now();
    balancer.terminate();
    for client in &mut clients {
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("MOVE".into(), "end".into())
        );
        assert!(
            since.elapsed() >= Duration::from_millis(400),
            "expected MOVE no earlier than 0.4 s after SIGTERM, got it after {:?}",
            since.elapsed()
        );
    }
    assert!(
        balancer.process.wait().unwrap().success() && since.elapsed() < Duration::from_millis(900)
    );
}

/// Guards against connections that are cut off at SIGKILL because a traffic class that the settings
/// no longer name still sets the time of the shutdown.
#[test]
fn clients_are_migrated_in_time_after_a_reload_that_removes_a_class_with_a_longer_deadline() {
    let mut balancer = start_balancer(2500);
    let mut open = vec![balancer.client("c=order,d=2000")];
    let classes = json!([{"name": "other", "setup-target": 300_000, "value": 1.0, "repeat": "free",
        "hard-limit": SHORT_DEADLINE.as_micros() as u64}]);
    balancer.reload(&with_settings(
        &balancer.config_text,
        &[("service-types", classes)],
    ));
    wait_for("the new settings", || {
        balancer.client("c=other,d=400").next_line_is("UP 1")
    });
    // A client that doesn't know the new settings is served until they have settled.
    open.push(balancer.client("c=order,d=2000"));
    std::thread::sleep(RELOAD_SETTLING_TIME);
    assert_eq!(balancer.client("c=order,d=400").read_line(), "ERR");
    open.extend((0..20).map(|_| balancer.client("c=other,d=400")));
    for client in &mut open {
        assert_eq!(client.read_line(), "UP 1");
    }
    let since = Instant::now();
    balancer.terminate();
    for client in &mut open {
        assert_eq!(client.read_line(), "MOVE");
    }
    drop(open);
    let status = balancer.process.wait().unwrap();
    let took = since.elapsed();
    assert!(
        status.success() && took < SHORT_DEADLINE + KILL_AFTER_DEADLINE,
        "expected exit status 0 in time, got {status} after {took:?}"
    );
}

/// A change of settings during a shutdown.
struct Change {
    /// When SIGHUP comes, after SIGTERM.
    at: Duration,
    settings: Vec<(&'static str, serde_json::Value)>,
}

impl Change {
    fn deadline(at_ms: u64, deadline_ms: u64) -> Self {
        Change {
            at: Duration::from_millis(at_ms),
            settings: deadline_settings(deadline_ms).into(),
        }
    }

    /// A change that leaves a single traffic class, which no connection has.
    fn only_another_class(at_ms: u64) -> Self {
        let classes = json!([{"name": "other", "setup-target": 300_000, "value": 1.0,
            "repeat": "free", "hard-limit": SHORT_DEADLINE.as_micros() as u64}]);
        Change {
            at: Duration::from_millis(at_ms),
            settings: vec![("service-types", classes)],
        }
    }
}

/// Guards against a shutdown that ends as soon as new settings with a shorter deadline arrive, so
/// that open connections are cut off without `MOVE` and waiting clients get no answer.
#[test]
fn no_client_is_cut_off_if_settings_change_at_any_moment_of_a_shutdown() {
    const DEADLINE_MS: u64 = 3000;
    // The changes, and whether the servers have sent the beginning of a line to each client.
    let cases = [
        (vec![Change::deadline(2000, 1200)], false),
        (vec![Change::deadline(2800, 100)], false),
        (
            vec![Change::deadline(600, 1600), Change::deadline(1100, 400)],
            false,
        ),
        (vec![Change::only_another_class(1100)], false),
        (vec![Change::deadline(1900, 600)], true),
    ];
    thread::scope(|scope| {
        for (number, (changes, with_partial_lines)) in cases.into_iter().enumerate() {
            scope.spawn(move || {
                let what = format!("case {number}");
                shut_down_with_changes(&what, DEADLINE_MS, &changes, with_partial_lines);
            });
        }
    });
}

fn shut_down_with_changes(
    what: &str,
    deadline_ms: u64,
    changes: &[Change],
    with_partial_lines: bool,
) {
    const OPEN_CLIENTS: usize = 80;
    const WAITING_CLIENTS: usize = 10;
    let mut balancer = start_balancer(deadline_ms);
    let mut open = Vec::new();
    for _ in 0..OPEN_CLIENTS {
        let mut client = balancer.client("c=chat,d=900");
        assert_eq!(client.read_line(), "UP 1", "{what}");
        open.push(client);
    }
    if with_partial_lines {
        balancer.servers[0].send_to_all("half a l");
    }
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let since = Instant::now();
    balancer.terminate();
    thread::sleep(Duration::from_millis(100));
    let waiting: Vec<Client> = (0..WAITING_CLIENTS)
        .map(|_| balancer.client(&format!("c=order,d={deadline_ms}")))
        .collect();
    for change in changes {
        thread::sleep(change.at.saturating_sub(since.elapsed()));
        balancer.reload(&with_settings(&balancer.config_text, &change.settings));
    }
    let moved = open
        .into_iter()
        .filter_map(|mut client| client.next_line_is("MOVE").then_some(()))
        .count();
    let answered = waiting
        .into_iter()
        .map(|mut client| client.read_line())
        .filter(|answer| answer == "ERR" || answer.starts_with("BUSY"))
        .count();
    assert_eq!(
        (moved, answered),
        (OPEN_CLIENTS, WAITING_CLIENTS),
        "{what}: expected MOVE on each connection and an answer to each waiting client"
    );
    let status = balancer.process.wait().unwrap();
    let took = since.elapsed();
    assert!(
        status.success() && took < Duration::from_millis(deadline_ms) + KILL_AFTER_DEADLINE,
        "{what}: expected exit status 0 in time, got {status} after {took:?}"
    );
}
