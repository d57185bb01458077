//! The backoff after polls that failed, and a hundred balancers that share a service.

use std::collections::BTreeSet;

use super::*;

#[test]
fn the_backoff_grows_while_a_shared_service_rejects_polls() {
    let mut rng = WyRand::new_seed(7);
    // The poll's duration, the failures before it, and the longest backoff that may be drawn.
    for (duration, failures, longest_allowed) in [
        (0, 0, BACKOFF_MIN),
        (2 * SEC, 0, 8 * SEC),
        (2 * SEC, 1, 10 * SEC),
        (MS, 9, 2048 * MS),
        (Time::MAX, u32::MAX, 10 * SEC),
    ] {
        // More draws than it takes to meet each tenth of the span by the later of two.
        let drawn: Vec<Time> = (0..2000)
            .map(|_| draw_backoff(duration, failures, 10 * SEC, &mut rng))
            .collect();
        let shortest = drawn.iter().min().unwrap();
        let longest = drawn.iter().max().unwrap();
        assert!(
            *shortest >= BACKOFF_MIN && *longest <= longest_allowed,
            "{duration}, {failures}: {shortest} to {longest}"
        );
        // Spread over the whole span, not all at its end.
        assert!(
            longest_allowed == BACKOFF_MIN
                || *shortest < longest_allowed / 10 && *longest > longest_allowed / 10 * 9,
            "{shortest} to {longest}"
        );
    }
}

/// The longest time from a failed poll to the next answer is the backoff and the wait in the queue.
#[test]
fn the_next_poll_is_answered_before_a_change_has_to_be_known() {
    let mut rng = WyRand::new_seed(11);
    for kind in [FailureKind::NoResponse, FailureKind::BadResponse] {
        for duration in [0, MS, 500 * MS, 1500 * MS, 2 * SEC, QUEUE_TIMEOUT] {
            for (poll_interval_max, failures) in
                [(5 * SEC, 0), (10 * SEC, 3), (Time::MAX, u32::MAX), (SEC, 1)]
            {
                let limit = backoff_limit(kind, duration, poll_interval_max);
                assert!((BACKOFF_MIN..=poll_interval_max).contains(&limit));
                let longest = (0..500)
                    .map(|_| draw_backoff(duration, failures, limit, &mut rng))
                    .max()
                    .unwrap();
                // Discovery may have been reachable again as soon as the failed poll had begun;
                // where it answered, it was reachable at the answer.
                let reachable_for = if kind == FailureKind::NoResponse {
                    duration
                } else {
                    0
                };
                let known_after = reachable_for + longest + QUEUE_TIMEOUT;
                assert!(
                    known_after < CHANGE_KNOWN_AFTER_MAX - 100 * MS,
                    "{kind:?} {duration} {failures}: {known_after}"
                );
            }
        }
    }
}

/// A poll of the shared service; polls are served in the order of their fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SharedPoll {
    arrives_at: Time,
    balancer: usize,
    failures: u32,
}

/// What became of the polls of a hundred balancers.
struct SharedPolls {
    /// When each balancer was answered.
    answered_at: Vec<Time>,
    /// The rejections of all polls.
    rejections: usize,
}

/// Simulates a service with one queue, first come, first served, that rejects a poll which has
/// waited for 2 s, at the cost of an answer. A hundred balancers poll it at once.
fn poll_shared_service(answers_per_second: u64, rng: &mut WyRand) -> SharedPolls {
    let answer_time = SEC / answers_per_second;
    let wait_max = 2 * SEC;
    let mut queue: BTreeSet<SharedPoll> = (0..100)
        .map(|balancer| SharedPoll {
            arrives_at: 0,
            balancer,
            failures: 0,
        })
        .collect();
    let mut service_free_at = 0;
    let mut answered_at = Vec::new();
    let mut rejections = 0;
    while let Some(poll) = queue.pop_first().filter(|_| rejections < 2000) {
        service_free_at = poll.arrives_at.max(service_free_at) + answer_time;
        if service_free_at <= poll.arrives_at + wait_max {
            answered_at.push(service_free_at);
            continue;
        }
        rejections += 1;
        let limit = backoff_limit(FailureKind::BadResponse, wait_max, 10 * SEC);
        let backoff = draw_backoff(wait_max, poll.failures, limit, rng);
        queue.insert(SharedPoll {
            arrives_at: poll.arrives_at + wait_max + backoff,
            failures: poll.failures + 1,
            ..poll
        });
    }
    SharedPolls {
        answered_at,
        rejections,
    }
}

/// Guards against the incident of a hundred balancers that poll again at once, now that the backoff
/// is bounded: a service that can answer all of them in time does, and a slower one still answers
/// all of them.
#[test]
fn a_hundred_in_one_queue_are_all_answered() {
    for seed in 0..50 {
        let mut rng = WyRand::new_seed(seed);
        let fast = poll_shared_service(30, &mut rng);
        let is_in_time = |at: &Time| *at < CHANGE_KNOWN_AFTER_MAX;
        assert!(
            fast.answered_at.len() == 100 && fast.answered_at.iter().all(is_in_time),
            "seed {seed}"
        );
        let slow = poll_shared_service(18, &mut rng);
        assert!(
            slow.answered_at.len() == 100 && slow.rejections < 400,
            "seed {seed}: {} rejected",
            slow.rejections
        );
    }
}

/// The bounds add up, with a wait in the queue that is longer than the service's own limit.
#[test]
fn the_queue_and_the_backoff_fit_into_the_time() {
    const {
        assert!(
            NEXT_POLL_AFTER_MAX + QUEUE_TIMEOUT < CHANGE_KNOWN_AFTER_MAX && QUEUE_TIMEOUT > 2 * SEC
        )
    };
}

/// Guards against polls that are given up while they are queued at the service: each is worked on
/// all the same, so those behind it wait for nothing
/// (docs/incidents/a-hundred-call-again-at-once.md).
#[test]
fn no_call_is_given_up_that_a_service_would_answer() {
    for wait_max in [SEC, 2 * SEC, 2500 * MS] {
        // The last poll that is answered leaves the queue as late as this, and its answer takes a
        // moment.
        assert!(wait_max + 100 * MS < QUEUE_TIMEOUT, "{wait_max}");
    }
}
