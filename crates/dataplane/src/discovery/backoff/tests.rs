//! The backoff after failed polls, for a single balancer and for a hundred that share one service.

use std::collections::BTreeSet;

use nettlemux_policy::{MS, SEC};

use super::super::list_deadline::{
    CHANGE_DEADLINE, Discovery, FailureKind, ListDeadline, RELOAD_DEADLINE, RecentReloads,
};
use super::*;

/// The longest time that a call is queued at a shared service before it is given up.
fn queue_timeout() -> Time {
    Discovery::SharedService { interval_max: 0 }.response_timeout()
}

#[test]
fn backoff_span_grows_with_poll_duration_and_failures_up_to_the_limit() {
    let mut rng = WyRand::new_seed(7);
    // The poll's duration, the failures before it, and the longest backoff that may be drawn.
    for (duration, failures, longest_allowed) in [
        (0, 0, BACKOFF_MIN),
        (2 * SEC, 0, 8 * SEC),
        (2 * SEC, 1, 10 * SEC),
        (MS, 9, 2048 * MS),
        (Time::MAX, u32::MAX, 10 * SEC),
    ] {
        // Enough draws to hit the first and the last tenth of the span, also by the later of two
        // draws.
        let drawn: Vec<Time> = (0..2000)
            .map(|_| {
                let failed = FailedCall {
                    kind: FailureKind::BadResponse,
                    duration,
                    failures_before: failures,
                };
                draw_backoff(&failed, 10 * SEC, &mut rng)
            })
            .collect();
        let shortest = drawn.iter().min().unwrap();
        let longest = drawn.iter().max().unwrap();
        assert!(
            *shortest >= BACKOFF_MIN && *longest <= longest_allowed,
            "{duration}, {failures}: {shortest} to {longest}"
        );
        // The draws are spread over the whole span.
        assert!(
            longest_allowed == BACKOFF_MIN
                || *shortest < longest_allowed / 10 && *longest > longest_allowed / 10 * 9,
            "{shortest} to {longest}"
        );
    }
}

/// The longest time from a failed poll to the next response is the backoff plus the time in the
/// service's queue.
#[test]
fn response_after_a_failed_poll_arrives_within_the_change_deadline() {
    let mut rng = WyRand::new_seed(11);
    for kind in [FailureKind::NoResponse, FailureKind::BadResponse] {
        for duration in [0, MS, 500 * MS, 1500 * MS, 2 * SEC, queue_timeout()] {
            for (poll_interval_max, failures) in
                [(5 * SEC, 0), (10 * SEC, 3), (Time::MAX, u32::MAX), (SEC, 1)]
            {
                let failed = FailedCall {
                    kind,
                    duration,
                    failures_before: failures,
                };
                let limit = ListDeadline::default().backoff_limit(&failed, poll_interval_max, 0);
                assert!((BACKOFF_MIN..=poll_interval_max).contains(&limit));
                let longest = (0..500)
                    .map(|_| draw_backoff(&failed, limit, &mut rng))
                    .max()
                    .unwrap();
                // Without a response, discovery may have been reachable since the start of the
                // failed poll. With one, it was reachable at the time of the response.
                let reachable_for = if kind == FailureKind::NoResponse {
                    duration
                } else {
                    0
                };
                let known_after = reachable_for + longest + queue_timeout();
                assert!(
                    known_after < CHANGE_DEADLINE - 100 * MS,
                    "{kind:?} {duration} {failures}: {known_after}"
                );
            }
        }
    }
}

/// Guards against a pause after a failed poll that is worked out only from the deadline for changes
/// and not from the shorter one after a reload.
#[test]
fn response_after_one_failed_poll_arrives_within_the_deadline_after_a_reload() {
    let mut rng = WyRand::new_seed(13);
    let reloaded_at = 100 * SEC;
    let mut reloads = RecentReloads::default();
    reloads.record(reloaded_at);
    // How long the failed poll took, and how long the next poll waits in the service's queue.
    for (kind, duration, queue_time) in [
        (FailureKind::NoResponse, 0, 2500 * MS),
        (FailureKind::BadResponse, MS, 2500 * MS),
        (FailureKind::NoResponse, 500 * MS, 2500 * MS),
        (FailureKind::BadResponse, 2 * SEC, 1500 * MS),
        (FailureKind::NoResponse, queue_timeout(), SEC),
    ] {
        for failures in [0, 1, 5, u32::MAX] {
            let failed = FailedCall {
                kind,
                duration,
                failures_before: failures,
            };
            let mut deadline = ListDeadline::default();
            deadline.set_reloads(reloads);
            let limit = deadline.backoff_limit(&failed, 10 * SEC, reloaded_at + duration);
            let longest = (0..500)
                .map(|_| draw_backoff(&failed, limit, &mut rng))
                .max()
                .unwrap();
            let known_after = duration + longest + queue_time;
            assert!(
                known_after < RELOAD_DEADLINE,
                "{kind:?} {duration} {failures}: {known_after}"
            );
        }
    }
}

/// A poll of the shared service. The service handles polls in the derived order: by arrival time,
/// then by balancer.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SharedPoll {
    arrives_at: Time,
    balancer: usize,
    failures: u32,
}

/// The results of the polls of a hundred balancers.
struct SharedPolls {
    /// When each balancer got its response.
    answered_at: Vec<Time>,
    /// The total number of rejected polls.
    rejections: usize,
}

/// Simulates a service with one first-in-first-out queue. It rejects a poll that has been queued
/// for 2 s, and a rejection takes as long as a response. A hundred balancers poll it at the same
/// time, which is that of their reload if `reloads` has one.
fn poll_shared_service(
    answers_per_second: u64,
    reloads: RecentReloads,
    rng: &mut WyRand,
) -> SharedPolls {
    let answer_time = SEC / answers_per_second;
    let wait_max = 2 * SEC;
    let mut queue: BTreeSet<SharedPoll> = (0..100)
        .map(|balancer| SharedPoll {
            arrives_at: 0,
            balancer,
            failures: 0,
        })
        .collect();
    let mut deadline = ListDeadline::default();
    deadline.set_reloads(reloads);
    let mut deadlines = vec![deadline; 100];
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
        let failed = FailedCall {
            kind: FailureKind::BadResponse,
            duration: wait_max,
            failures_before: poll.failures,
        };
        let longest = backoff_span(&failed).min(10 * SEC);
        let deadline = &mut deadlines[poll.balancer];
        let limit = deadline.backoff_limit(&failed, longest, poll.arrives_at + wait_max);
        let backoff = draw_backoff(&failed, limit, rng);
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

/// Guards against a hundred balancers that poll again at the same time and keep the service's queue
/// full, which the upper bound of the backoff could bring back. A service that is fast enough must
/// answer all of them in time, and a slower one must still answer all of them.
#[test]
fn hundred_balancers_with_one_queue_all_get_a_response() {
    let no_reload = RecentReloads::default();
    for seed in 0..50 {
        let mut rng = WyRand::new_seed(seed);
        let fast = poll_shared_service(30, no_reload, &mut rng);
        let is_in_time = |at: &Time| *at < CHANGE_DEADLINE;
        assert!(
            fast.answered_at.len() == 100 && fast.answered_at.iter().all(is_in_time),
            "seed {seed}"
        );
        let slow = poll_shared_service(18, no_reload, &mut rng);
        assert!(
            slow.answered_at.len() == 100 && slow.rejections < 400,
            "seed {seed}: {} rejected",
            slow.rejections
        );
    }
}

/// Guards against a hundred balancers that keep the service's queue full because they have to know
/// its list soon after a reload. A service that is fast enough must answer all of them in time, and
/// a slower one must still answer all of them.
#[test]
fn hundred_balancers_with_one_queue_all_get_a_response_after_a_reload() {
    let mut reload = RecentReloads::default();
    reload.record(0);
    for seed in 0..50 {
        let mut rng = WyRand::new_seed(seed);
        for (answers_per_second, deadline) in [
            (50, RELOAD_DEADLINE),
            (30, CHANGE_DEADLINE),
            (18, Time::MAX),
        ] {
            let polls = poll_shared_service(answers_per_second, reload, &mut rng);
            let latest = polls.answered_at.iter().max().unwrap();
            assert!(
                polls.answered_at.len() == 100 && *latest < deadline,
                "seed {seed}, {answers_per_second}/s: {} answered, the last at {latest}, {} rejected",
                polls.answered_at.len(),
                polls.rejections
            );
        }
    }
}
