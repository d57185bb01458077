//! From SIGTERM to the end, at the earliest moment of SIGKILL: the longest deadline of the
//! deployment, counted as 3 s at the most, and 0.7 s more. Clients go on using their connections
//! until then.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{Client, TestBalancer, deadline_settings, wait_for, with_settings};

/// From the longest deadline after SIGTERM to the earliest SIGKILL.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// A balancer with this longest deadline.
fn balancer(deadline_ms: u64) -> TestBalancer {
    let mut balancer = TestBalancer::new(1);
    balancer.restart_with_settings(&deadline_settings(deadline_ms));
    wait_for("a list", || {
        balancer
            .client(&format!("c=chat,d={deadline_ms}"))
            .receives("UP 1")
    });
    balancer
}

/// The kill comes by the deadlines that held when the end was asked for, or by shorter ones
/// reloaded since; a client that is still open has been moved by then.
#[test]
fn a_reload_does_not_put_off_the_end() {
    std::thread::scope(|scope| {
        // The longest deadline before and after, in ms; whether the reload comes before SIGTERM or
        // after it.
        for (before, after, reload_first) in [
            (400, 3000, false),
            (3000, 400, false),
            (400, 3000, true),
            (700, 700, false),
        ] {
            scope.spawn(move || {
                let mut balancer = balancer(before);
                let mut client = balancer.client("c=chat,d=400");
                assert_eq!(client.read_line(), "UP 1");
                std::fs::write(
                    &balancer.config_file,
                    with_settings(&balancer.config, &deadline_settings(after)),
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
                    "{before} {after}"
                );
                drop(client);
                let status = balancer.process.wait().unwrap();
                let kill = Duration::from_millis(before.min(after)) + KILL_AFTER_DEADLINE;
                let took = since.elapsed();
                assert!(
                    status.success() && took < kill,
                    "{before} {after} {reload_first}: {status} {took:?}"
                );
            });
        }
    });
}

/// A reload long before the end is no part of it.
#[test]
fn deadlines_that_a_reload_made_longer_hold_at_a_later_end() {
    let mut balancer = balancer(300);
    std::fs::write(
        &balancer.config_file,
        with_settings(&balancer.config, &deadline_settings(1500)),
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
    assert_eq!(client.read_line(), "UP 1", "its deadline had not passed");
    assert_eq!(client.read_line(), "MOVE");
    assert!(balancer.process.wait().unwrap().success());
}

#[test]
fn on_sigterm_it_moves_its_clients_and_answers_what_comes() {
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
    assert!(answer == "UP 1" || answer.starts_with("BUSY"), "{answer}");
    let mut moved = Vec::new();
    for client in &mut clients {
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("MOVE".into(), "end".into())
        );
        moved.push(since.elapsed());
    }
    // Guards against moves all at once, which other balancers get all at once.
    let spread = moved[9] - moved[0];
    assert!(
        spread > Duration::from_millis(300) && moved[0] > Duration::from_millis(1200),
        "{moved:?}"
    );
    if answer == "UP 1" {
        assert_eq!(late.read_line(), "MOVE");
    }
    let status = balancer.process.wait().unwrap();
    assert!(
        status.success() && since.elapsed() < Duration::from_millis(3700),
        "{status} {:?}",
        since.elapsed()
    );
}

/// The front goes on sending clients for 0.4 s after SIGTERM. Where all answers have been given
/// before, since connect timeouts are short, they must not find a closed port, nor a line that is
/// half there an end without an answer.
#[test]
fn clients_that_come_after_sigterm_are_answered_however_short_timeouts_are() {
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
                // Nobody is served yet, so that nothing keeps the balancer from its end.
                balancer.servers[0].set_behavior(ServerBehavior::Failing);
                wait_for("a list", || {
                    balancer
                        .client(&format!("c=order,d={longest}"))
                        .receives("ERR")
                });
                balancer.servers[0].set_behavior(behavior);
                let since = Instant::now();
                balancer.terminate();
                let mut half = Client::new(balancer.address, b"OPEN half k c=chat,");
                let mut last = Client::new(balancer.address, b"OPEN last k c=chat,");
                thread::sleep(Duration::from_millis(390).saturating_sub(since.elapsed()));
                let mut late = balancer.client(&format!("c=order,d={}", longest.min(90)));
                half.send(&format!("d={}\r\n", longest.min(90)));
                for client in [&mut late, &mut half] {
                    let answer = client.read_line();
                    let answered =
                        answer == "UP 1" || answer == "ERR" || answer.starts_with("BUSY");
                    assert!(answered, "{longest} {behavior:?}: {answer}");
                    if answer == "UP 1" {
                        assert_eq!(client.read_line(), "MOVE", "{longest} {behavior:?}");
                    }
                }
                // All are answered but one whose line is complete only now, and whose deadline is
                // after the balancer's end.
                drop((late, half));
                if longest == 250 {
                    thread::sleep(Duration::from_millis(620).saturating_sub(since.elapsed()));
                    last.send("d=250\r\n");
                    let answer = last.read_line();
                    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
                }
                let status = balancer.process.wait().unwrap();
                // SIGKILL comes so long after SIGTERM.
                let kill = Duration::from_millis(longest + 700);
                assert!(
                    status.success() && since.elapsed() < kill,
                    "{status} {:?}",
                    since.elapsed()
                );
            });
        }
    });
}

/// One that was open before the run, and whose server says nothing, has its answer when the
/// balancer ends, as have those that are still owed one at the last moment.
#[test]
fn who_waits_for_a_hung_server_is_answered_before_the_end() {
    let mut balancer = TestBalancer::new(1);
    balancer.restart_with_settings(&deadline_settings(400));
    wait_for("a list", || {
        balancer.client("c=chat,d=400").receives("UP 1")
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

/// Clients that are moved while the front still sends new ones would come straight back.
#[test]
fn nobody_is_moved_while_moved_clients_come_straight_back() {
    let mut balancer = TestBalancer::new(1);
    balancer.restart_with_settings(&deadline_settings(200));
    wait_for("a list", || {
        balancer.client("c=chat,d=200").receives("UP 1")
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
            "{:?}",
            since.elapsed()
        );
    }
    assert!(
        balancer.process.wait().unwrap().success() && since.elapsed() < Duration::from_millis(900)
    );
}
