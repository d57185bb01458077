//! Whether a further attempt can do harm.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn attempts_are_bounded_by_time_number_and_hedging() {
    for (attempts, left, want_send) in [
        (vec![], 500 * MS, true),
        (vec![], MS, false),
        (vec![attempt(0, true); 1], 500 * MS, true),
        (vec![attempt(0, true); 3], 500 * MS, false),
        (
            vec![Attempt {
                in_flight: true,
                ..attempt(0, false)
            }],
            500 * MS,
            false,
        ),
    ] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        let one = Flow {
            deadline: T0 + left,
            attempts: attempts.clone(),
            ..flow(T0, 1)
        };
        match policy.place(T0, &one) {
            Placement::Forward {
                server_id,
                timeout,
                send_within,
            } => {
                assert!(
                    want_send && timeout < left && send_within == timeout,
                    "{attempts:?}"
                );
                assert!(
                    attempts.iter().all(|c| c.server_id != server_id),
                    "another server than before"
                );
            }
            other => assert!(!want_send, "{attempts:?}: {other:?}"),
        }
    }
}

/// Guards against a repeat that is placed in time and sent too late, since its connection comes up
/// late.
#[test]
fn a_repeat_is_sent_while_it_is_known_or_not_at_all() {
    let deduplicated = Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: SEC,
    };
    // Kind, whether the earlier attempts ran and their ages, the longest until it is sent: the
    // margin is 10 ms, and the balancer may be held up for 150 ms between its look at the clock and
    // the write.
    for (kind, earlier, want) in [
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
            ..three_attempts()
        };
        let config = PolicyConfig {
            retry: five_attempts,
            ..config()
        };
        let mut policy = balancer_with(kind, config);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        let made = |(known_unexecuted, age)| Attempt {
            at: T0 - age * MS,
            ..attempt(0, known_unexecuted)
        };
        let attempts: Vec<Attempt> = earlier.iter().copied().map(made).collect();
        let one = Flow {
            attempts,
            accepted_at: T0 - SEC,
            deadline: T0 + 2 * SEC,
            ..flow(T0, 1)
        };
        let Placement::Forward {
            timeout,
            send_within,
            ..
        } = policy.place(T0, &one)
        else {
            panic!("{kind:?}: {earlier:?}")
        };
        assert_eq!(
            (timeout / MS, send_within / MS),
            (1990, want),
            "{kind:?}: {earlier:?}"
        );
    }
}

#[test]
fn no_effect_twice() {
    let deduplicated = |scope| Idempotency::Deduplicated { scope, window: SEC };
    let far = Endpoint {
        zone: 1,
        cell: 1,
        ..ready(1)
    };
    // Kind, whether the earlier attempt at server 0 ran, its age, servers ready, what may come.
    for (kind, known_unexecuted, age, list, want) in [
        (
            Idempotency::NonIdempotent,
            true,
            0,
            vec![ready(0), far],
            "to",
        ),
        (
            Idempotency::NonIdempotent,
            false,
            0,
            vec![ready(0), far],
            "abort",
        ),
        (Idempotency::Idempotent, false, 0, vec![ready(0), far], "to"),
        (
            deduplicated(DeduplicationScope::All),
            false,
            0,
            vec![ready(0), far],
            "to",
        ),
        (
            deduplicated(DeduplicationScope::All),
            false,
            2 * SEC,
            vec![ready(0), far],
            "abort",
        ),
        (
            deduplicated(DeduplicationScope::Zone),
            false,
            0,
            vec![ready(0), far],
            "to 0",
        ),
        (
            deduplicated(DeduplicationScope::Zone),
            false,
            2 * SEC,
            vec![ready(0), far],
            "abort",
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
            "abort",
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
            "to",
        ),
    ] {
        let mut policy = balancer(kind);
        policy.update_endpoints(T0, &list, true);
        let earlier = Attempt {
            at: T0 - age,
            ..attempt(0, known_unexecuted)
        };
        let one = Flow {
            attempts: vec![earlier],
            accepted_at: T0 - SEC,
            ..flow(T0, 1)
        };
        let got = match policy.place(T0, &one) {
            Placement::Forward { server_id, .. } if want == "to 0" => format!("to {server_id}"),
            Placement::Forward { .. } => "to".into(),
            Placement::Wait => "not yet".into(),
            Placement::Reject { .. } => "reject".into(),
            Placement::Fail => "abort".to_string(),
        };
        assert_eq!(
            got, want,
            "{kind:?}, never ran {known_unexecuted}, age {age}"
        );
    }
}
