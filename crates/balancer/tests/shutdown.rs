//! From SIGTERM to the end, at the earliest moment of SIGKILL: the longest deadline of the deployment, counted as 3 s at the
//! most, and 0.7 s more. Clients go on using their connections until then.

mod common;

use std::time::{Duration, Instant};

use common::{Stand, changed, soon};
use serde_json::json;

/// From the longest deadline after SIGTERM to the earliest SIGKILL.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// A configuration whose longest deadline is this.
fn with_deadline(config: &str, ms: u64) -> String {
    let limit = json!(ms * 1000);
    changed(
        config,
        &[
            ("service-types/0/hard-limit", limit.clone()),
            ("service-types/1/hard-limit", limit),
        ],
    )
}

/// A balancer with this longest deadline.
fn stand(deadline_ms: u64) -> Stand {
    let mut stand = Stand::new(1);
    let limit = json!(deadline_ms * 1000);
    stand.restarted(&[
        ("service-types/0/hard-limit", limit.clone()),
        ("service-types/1/hard-limit", limit),
    ]);
    soon("a list", || {
        stand
            .client(&format!("c=chat,d={deadline_ms}"))
            .says("UP 1")
    });
    stand
}

/// The kill comes by the deadlines that held when the end was asked for, or by shorter ones told since; a client that is
/// still open has been moved by then.
#[test]
fn a_reload_does_not_put_off_the_end() {
    std::thread::scope(|scope| {
        // The longest deadline before and after, in ms; whether the reload comes before SIGTERM or after it.
        for (before, after, reload_first) in [
            (400, 3000, false),
            (3000, 400, false),
            (400, 3000, true),
            (700, 700, false),
        ] {
            scope.spawn(move || {
                let mut stand = stand(before);
                let mut client = stand.client("c=chat,d=400");
                assert_eq!(client.line(), "UP 1");
                std::fs::write(&stand.file, with_deadline(&stand.config, after)).unwrap();
                let since = Instant::now();
                let signals = if reload_first {
                    ["-HUP", "-TERM"]
                } else {
                    ["-TERM", "-HUP"]
                };
                signals.iter().for_each(|signal| stand.signal(signal));
                stand.signal("-TERM");
                assert_eq!(
                    (client.line(), client.line()),
                    ("MOVE".into(), "end".into()),
                    "{before} {after}"
                );
                drop(client);
                let status = stand.child.wait().unwrap();
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
    let mut stand = stand(300);
    std::fs::write(&stand.file, with_deadline(&stand.config, 1500)).unwrap();
    stand.signal("-HUP");
    std::thread::sleep(Duration::from_millis(4500));
    stand.toys[0].set(common::toy::Mood::Silent);
    let mut client = stand.client("c=order,d=1400");
    soon("the attempt", || {
        stand.toys[0]
            .seen()
            .last()
            .is_some_and(|line| line.contains("c=order"))
    });
    stand.terminate();
    std::thread::sleep(Duration::from_millis(900));
    stand.toys[0].set(common::toy::Mood::Up);
    stand.toys[0].say("UP 1\r\n", false);
    assert_eq!(client.line(), "UP 1", "its deadline had not passed");
    assert_eq!(client.line(), "MOVE");
    assert!(stand.child.wait().unwrap().success());
}
