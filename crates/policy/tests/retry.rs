//! Limits of further attempts: number, time, idempotency and deduplication.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against attempts that can't be answered in time, exceed the permitted number or overlap
/// without hedging, and against a further attempt at the same server.
#[test]
fn further_attempt_needs_time_left_a_permitted_number_and_no_attempt_in_flight() {
    // Earlier attempts, time until the deadline, whether a further attempt is made.
    for (attempts, left, is_forwarded) in [
        (vec![], 500 * MS, true),
        (vec![], MS, false),
        (vec![ended_attempt(0, true); 1], 500 * MS, true),
        (vec![ended_attempt(0, true); 3], 500 * MS, false),
        (
            vec![Attempt {
                in_flight: true,
                ..ended_attempt(0, false)
            }],
            500 * MS,
            false,
        ),
    ] {
        let mut policy = balancer();
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        let new_flow = Flow {
            deadline: T0 + left,
            attempts: attempts.clone(),
            ..flow(T0, 1)
        };
        match policy.place(T0, &new_flow) {
            Placement::Forward {
                server_id,
                timeout,
                send_within,
            } => {
                assert!(
                    is_forwarded && timeout < left && send_within == timeout,
                    "{attempts:?}"
                );
                assert!(
                    attempts
                        .iter()
                        .all(|earlier| earlier.server_id != server_id),
                    "server {server_id} had an earlier attempt: {attempts:?}"
                );
            }
            other => assert!(!is_forwarded, "{attempts:?}: {other:?}"),
        }
    }
}

/// Guards against a repeat that is placed in time and is sent after the servers have forgotten the
/// first attempt, because its connection is established late.
#[test]
fn repeat_of_a_deduplicated_flow_must_be_sent_before_servers_forget_earlier_attempts() {
    let deduplicated = Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: SEC,
    };
    // Idempotency; for each earlier attempt whether it is known not to have run and its age in ms;
    // the longest time in ms until the repeat is sent. The deadline margin is 10 ms, and up to
    // 150 ms may pass between the decision and the write.
    for (idempotency, earlier, send_within_ms) in [
        (deduplicated, vec![], 1990),
        (deduplicated, vec![(false, 300)], 540),
        (deduplicated, vec![(true, 900), (false, 300)], 540),
        (deduplicated, vec![(false, 300), (false, 830)], 10),
        (Idempotency::Idempotent, vec![(false, 980)], 1990),
        (Idempotency::NonIdempotent, vec![(true, 980)], 1990),
    ] {
        let five_attempts = RetryConfig {
            attempts_max: 5,
            deadline_margin: 10 * MS,
            ..retry_config()
        };
        let config = PolicyConfig {
            retry: five_attempts,
            ..config()
        };
        let mut policy = balancer_with(config);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        let earlier_attempt = |(known_unexecuted, age)| Attempt {
            sent_at: T0 - age * MS,
            ..ended_attempt(0, known_unexecuted)
        };
        let attempts: Vec<Attempt> = earlier.iter().copied().map(earlier_attempt).collect();
        let new_flow = Flow {
            class: traffic_class(idempotency),
            attempts,
            accepted_at: T0 - SEC,
            deadline: T0 + 2 * SEC,
            ..flow(T0, 1)
        };
        let Placement::Forward {
            timeout,
            send_within,
            ..
        } = policy.place(T0, &new_flow)
        else {
            panic!("not forwarded: {idempotency:?}, {earlier:?}")
        };
        assert_eq!(
            (timeout / MS, send_within / MS),
            (1990, send_within_ms),
            "{idempotency:?}: {earlier:?}"
        );
    }
}

/// Guards against a further attempt that takes effect a second time.
#[test]
fn flow_fails_if_a_further_attempt_could_take_effect_twice() {
    let deduplicated = |scope| Idempotency::Deduplicated { scope, window: SEC };
    let far = Endpoint {
        zone: 1,
        cell: 1,
        ..ready(1)
    };
    // Idempotency, whether the earlier attempt at server 0 is known not to have run, its age,
    // the endpoint list, the expected placement.
    for (idempotency, known_unexecuted, age, list, expected) in [
        (
            Idempotency::NonIdempotent,
            true,
            0,
            vec![ready(0), far],
            "forward",
        ),
        (
            Idempotency::NonIdempotent,
            false,
            0,
            vec![ready(0), far],
            "fail",
        ),
        (
            Idempotency::Idempotent,
            false,
            0,
            vec![ready(0), far],
            "forward",
        ),
        (
            deduplicated(DeduplicationScope::All),
            false,
            0,
            vec![ready(0), far],
            "forward",
        ),
        (
            deduplicated(DeduplicationScope::All),
            false,
            2 * SEC,
            vec![ready(0), far],
            "fail",
        ),
        (
            deduplicated(DeduplicationScope::Zone),
            false,
            0,
            vec![ready(0), far],
            "forward to 0",
        ),
        (
            deduplicated(DeduplicationScope::Zone),
            false,
            2 * SEC,
            vec![ready(0), far],
            "fail",
        ),
        (
            deduplicated(DeduplicationScope::Cell),
            false,
            0,
            vec![
                Endpoint {
                    state: EndpointState::Draining,
                    ..ready(0)
                },
                far,
            ],
            "fail",
        ),
        (
            deduplicated(DeduplicationScope::Cell),
            true,
            0,
            vec![
                Endpoint {
                    state: EndpointState::Draining,
                    ..ready(0)
                },
                far,
            ],
            "forward",
        ),
    ] {
        let mut policy = balancer();
        policy.update_endpoints(T0, &list, true);
        let earlier = Attempt {
            sent_at: T0 - age,
            ..ended_attempt(0, known_unexecuted)
        };
        let new_flow = Flow {
            class: traffic_class(idempotency),
            attempts: vec![earlier],
            accepted_at: T0 - SEC,
            ..flow(T0, 1)
        };
        let placed = match policy.place(T0, &new_flow) {
            Placement::Forward { server_id, .. } if expected == "forward to 0" => {
                format!("forward to {server_id}")
            }
            Placement::Forward { .. } => "forward".into(),
            Placement::Wait => "wait".into(),
            Placement::Reject { .. } => "reject".into(),
            Placement::Fail => "fail".to_string(),
        };
        assert_eq!(
            placed, expected,
            "{idempotency:?}, known not to have run {known_unexecuted}, attempt {age} ns old"
        );
    }
}
