//! The time left after reloads and silences, and the backoffs that it limits.

use super::*;

/// An arbitrary limit on the interval between calls, above all other limits.
const INTERVAL_MAX: Time = 10 * SEC;

fn failed(kind: FailureKind, duration: Time) -> FailedCall {
    FailedCall {
        kind,
        duration,
        failures_before: 0,
    }
}

#[test]
fn time_left_counts_to_the_next_deadline_of_the_first_recent_reload() {
    // The times of the reloads, the present time, and the time left, all in ms.
    for (reloads, now, left) in [
        (vec![], 100, None),
        (vec![1000], 1000, Some(3750)),
        (vec![1000], 4600, Some(150)),
        (vec![1000], 4750, Some(2000)),
        (vec![1000], 6750, None),
        // A second reload doesn't extend the deadline of the first.
        (vec![1000, 2000], 3000, Some(1750)),
        (vec![1000, 2000], 4750, Some(1000)),
        (vec![1000, 2000], 6750, Some(1000)),
        (vec![1000, 2000], 7750, None),
        // Of the reloads between the first and the last, none is remembered.
        (vec![1000, 2000, 3000, 6900], 7000, Some(3650)),
        // The last reload becomes the first once the deadlines of the first have passed.
        (vec![1000, 5000, 7500], 7500, Some(1250)),
        (vec![1000, 2000, 3000, 9000], 9000, Some(3750)),
    ] {
        let mut recent = RecentReloads::default();
        for reload in &reloads {
            recent.record(reload * MS);
        }
        let mut deadline = ListDeadline::default();
        deadline.set_reloads(recent);
        assert_eq!(
            deadline.time_left(now * MS),
            left.map(|left: Time| left * MS),
            "reloads at {reloads:?}, {now}"
        );
    }
}

#[test]
fn time_left_counts_from_the_start_of_a_silence_until_there_is_an_answer() {
    let mut deadline = ListDeadline::default();
    deadline.record_silence(SEC);
    // A later call without a response doesn't extend the deadline.
    deadline.record_silence(3 * SEC);
    assert_eq!(deadline.time_left(4 * SEC), Some(2750 * MS));
    let mut reloads = RecentReloads::default();
    reloads.record(2 * SEC);
    deadline.set_reloads(reloads);
    assert_eq!(deadline.time_left(4 * SEC), Some(1750 * MS));
    deadline.end_silence();
    assert_eq!(deadline.time_left(6 * SEC), Some(1750 * MS));
    assert_eq!(deadline.time_left(8 * SEC), None);
}

/// Guards against a balancer that calls more and more often as a deadline approaches.
#[test]
fn a_reload_shortens_as_many_backoffs_as_it_has_deadlines() {
    let mut reloads = RecentReloads::default();
    let mut deadline = ListDeadline::default();
    let rejected = failed(FailureKind::BadResponse, 2 * SEC);
    let unlimited = deadline.backoff_limit(&rejected, 3 * SEC, SEC);
    assert_eq!(unlimited, 3 * SEC);
    for reload in [10 * SEC, 20 * SEC] {
        reloads.record(reload);
        deadline.set_reloads(reloads);
        let now = reload + 2 * SEC;
        let mut limit = |longest| deadline.backoff_limit(&rejected, longest, now);
        assert_eq!(limit(60 * MS), 60 * MS);
        assert!(limit(3 * SEC) < 500 * MS);
        assert!(limit(3 * SEC) < 500 * MS);
        assert_eq!(limit(3 * SEC), 3 * SEC);
    }
}

/// Guards against a drain that is learned too late because a call was rejected after the watch had
/// fallen silent.
#[test]
fn backoff_of_a_call_that_is_rejected_after_a_silence_ends_before_the_deadline() {
    let rejected = failed(FailureKind::BadResponse, 2 * SEC);
    let mut deadline = ListDeadline::default();
    deadline.record_silence(0);
    let now = 5 * SEC;
    let limit = deadline.backoff_limit(&rejected, INTERVAL_MAX, now);
    assert!(now + limit < CHANGE_DEADLINE - SCHEDULING_MARGIN);
    deadline.end_silence();
    let unlimited = deadline.backoff_limit(&rejected, INTERVAL_MAX, now);
    assert!(unlimited > 3 * SEC);
}

/// The longest backoff and the longest wait in the queue fit into [`CHANGE_DEADLINE`], and that wait
/// is longer than the service's own limit of 2 s.
#[test]
fn backoff_and_queue_timeout_fit_into_the_change_deadline() {
    const {
        assert!(SERVICE_TIMEOUT > 2 * SEC);
        assert!(AGENT_TIMEOUT > CALL_TIME_MAX);
    }
    let limit = reachable_limit(&failed(FailureKind::BadResponse, 0));
    assert!(limit + SERVICE_TIMEOUT < CHANGE_DEADLINE);
}

/// Guards against abandoning calls that are queued at the service: the service still processes each
/// of them, so the calls behind it are delayed to no purpose
/// (docs/incidents/a-hundred-call-again-at-once.md).
#[test]
fn queue_timeout_exceeds_the_longest_wait_of_an_answered_call() {
    for wait_max in [SEC, 2 * SEC, 2500 * MS] {
        // The last call that the service answers leaves the queue after `wait_max`; its response
        // then takes up to 100 ms.
        assert!(wait_max + 100 * MS < SERVICE_TIMEOUT, "{wait_max}");
    }
}
