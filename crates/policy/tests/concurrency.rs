//! The limit of attempts in flight.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn congestion_decreases_the_limit_of_attempts_in_flight() {
    // Guards against a store jammed by further attempts of flows (kandy-patrol, rough-2).
    let in_flight = |policy: &mut Policy, now, from: FlowId| {
        (from..from + 40)
            .take_while(|id| {
                matches!(
                    policy.place(now, &flow(now, *id)),
                    Placement::Forward { .. }
                )
            })
            .count()
    };
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
    let before = in_flight(&mut policy, T0, 0);
    for id in 0..before as FlowId {
        let now = T0 + id * 300 * MS;
        policy.on_event(
            now,
            PolicyEvent::AttemptEnded {
                flow: id,
                server_id: 99,
                end: AttemptEnd::TimedOut,
                unanswered: None,
            },
        );
        policy.on_event(
            now,
            PolicyEvent::AttemptEnded {
                flow: id,
                server_id: id % 9,
                end: AttemptEnd::TimedOut,
                unanswered: None,
            },
        );
    }
    let later = T0 + 20 * SEC;
    let jammed = in_flight(&mut policy, later, 100);
    assert!(jammed < before / 2, "{before} then {jammed}");
    // Recovery is noticed.
    (100..100 + jammed as FlowId)
        .for_each(|id| drop(policy.on_event(later, PolicyEvent::Connected { flow: id, took: MS })));
    assert!(in_flight(&mut policy, later, 200) > jammed);
}

#[test]
fn hundreds_of_balancers_jam_the_store_no_sooner_than_a_few() {
    // Guards against 300 balancers that each start with eight attempts in flight and, under the
    // congestion that they find out one by one, send their clients away for a second at most
    // (roll+mass seeds 11 and 15, slow store).
    for (balancers, first) in [(1.0, 8), (75.0, 8), (300.0, 2), (1000.0, 1)] {
        let config = PolicyConfig {
            balancers,
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        let latest = |policy: &mut Policy| {
            let late = |id| Flow {
                accepted_at: T0 - SEC,
                ..flow(T0, id)
            };
            let retry_after = (100..200).filter_map(|id| match policy.place(T0, &late(id)) {
                Placement::Reject { retry_after } => retry_after,
                _ => None,
            });
            retry_after.max()
        };
        let sent = (0..20)
            .filter(|id| matches!(policy.place(T0, &flow(T0, *id)), Placement::Forward { .. }))
            .count();
        assert_eq!(sent, first, "{balancers}");
        assert!(latest(&mut policy).is_some_and(|retry_after| retry_after <= SEC));
        policy.on_event(
            T0,
            PolicyEvent::AttemptEnded {
                flow: 0,
                server_id: 0,
                end: AttemptEnd::TimedOut,
                unanswered: None,
            },
        );
        if first > 1 {
            (1..20).for_each(|id| {
                drop(policy.on_event(
                    T0,
                    PolicyEvent::AttemptEnded {
                        flow: id,
                        server_id: 0,
                        end: AttemptEnd::Done,
                        unanswered: None,
                    },
                ))
            });
            (0..first as u64 / 2).for_each(|id| {
                assert!(matches!(
                    policy.place(T0, &flow(T0, 50 + id)),
                    Placement::Forward { .. }
                ))
            });
            assert!(
                latest(&mut policy)
                    .is_some_and(|retry_after| (SEC..=2 * SEC).contains(&retry_after)),
                "{balancers}"
            );
        }
    }
}

#[test]
fn under_congestion_no_flow_gets_a_further_attempt_and_few_get_one() {
    // Guards against five attempts a flow to a store that fails them all (colombo-maps, a slow
    // store only).
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
    let mut sent = 0;
    for id in 0..200 {
        let now = T0 + id * 100 * MS;
        if let Placement::Forward { server_id, .. } = policy.place(now, &flow(now, id)) {
            sent += 1;
            let tried = Flow {
                attempts: vec![attempt(server_id, false)],
                ..flow(now, id)
            };
            let ended = PolicyEvent::AttemptEnded {
                flow: id,
                server_id,
                end: AttemptEnd::Error,
                unanswered: Some(&tried),
            };
            assert!(matches!(
                policy.on_event(now, ended).placement,
                Some(Placement::Reject { .. })
            ));
        }
    }
    assert!((4..30).contains(&sent), "{sent} attempts in 20 s");
}
