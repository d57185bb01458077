//! The limit on attempts in flight.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against a store that is slow and is then jammed by further attempts of the same flows
/// (kandy-patrol, rough-2).
#[test]
fn time_outs_decrease_the_limit_on_attempts_in_flight_and_connects_increase_it() {
    let place_until_limit = |policy: &mut Policy, now, from: FlowId| {
        (from..from + 40)
            .take_while(|id| {
                matches!(
                    policy.place(now, &flow(now, *id)),
                    Placement::Forward { .. }
                )
            })
            .count()
    };
    let mut policy = balancer();
    policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
    let before = place_until_limit(&mut policy, T0, 0);
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
    let congested = place_until_limit(&mut policy, later, 100);
    assert!(
        congested < before / 2,
        "{before} attempts in flight before the time-outs, {congested} after them"
    );
    // Attempts that connect show that the servers have recovered.
    (100..100 + congested as FlowId).for_each(|id| {
        drop(policy.on_event(
            later,
            PolicyEvent::Connected {
                flow: id,
                connect_duration: MS,
            },
        ))
    });
    assert!(place_until_limit(&mut policy, later, 200) > congested);
}

/// Guards against many balancers that jam a slow store sooner than a few do: 300 balancers each
/// started with eight attempts in flight, noticed the congestion one by one and until then sent a
/// Retry-After of at most one second (roll+mass seeds 11 and 15, slow store).
#[test]
fn initial_limit_is_divided_by_balancers_and_congestion_lengthens_retry_after() {
    // Balancers, attempts that one of them may have in flight at the start.
    for (balancers, initial_limit) in [(1.0, 8), (75.0, 8), (300.0, 2), (1000.0, 1)] {
        let config = PolicyConfig {
            balancers,
            ..config()
        };
        let mut policy = balancer_with(config);
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        let longest_retry_after = |policy: &mut Policy| {
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
        assert_eq!(sent, initial_limit, "{balancers} balancers");
        assert!(longest_retry_after(&mut policy).is_some_and(|retry_after| retry_after <= SEC));
        policy.on_event(
            T0,
            PolicyEvent::AttemptEnded {
                flow: 0,
                server_id: 0,
                end: AttemptEnd::TimedOut,
                unanswered: None,
            },
        );
        if initial_limit > 1 {
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
            (0..initial_limit as u64 / 2).for_each(|id| {
                assert!(matches!(
                    policy.place(T0, &flow(T0, 50 + id)),
                    Placement::Forward { .. }
                ))
            });
            assert!(
                longest_retry_after(&mut policy)
                    .is_some_and(|retry_after| (SEC..=2 * SEC).contains(&retry_after)),
                "{balancers} balancers"
            );
        }
    }
}

/// Guards against five attempts per flow at a store that fails all of them (colombo-maps, a slow
/// store only).
#[test]
fn few_flows_get_an_attempt_and_none_a_second_one_if_every_attempt_fails() {
    let mut policy = balancer();
    policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
    let mut sent = 0;
    for id in 0..200 {
        let now = T0 + id * 100 * MS;
        if let Placement::Forward { server_id, .. } = policy.place(now, &flow(now, id)) {
            sent += 1;
            let attempted = Flow {
                attempts: vec![ended_attempt(server_id, false)],
                ..flow(now, id)
            };
            let ended = PolicyEvent::AttemptEnded {
                flow: id,
                server_id,
                end: AttemptEnd::Error,
                unanswered: Some(&attempted),
            };
            assert!(matches!(
                policy.on_event(now, ended).placement,
                Some(Placement::Reject { .. })
            ));
        }
    }
    assert!((4..30).contains(&sent), "{sent} attempts in 20 s");
}

/// Guards against retries that are withheld because new settings name fewer balancers, which raises
/// the initial limit above the present one without any fault.
#[test]
fn flow_is_retried_after_settings_with_fewer_balancers() {
    let of_fleet = |balancers| {
        balancer_with(PolicyConfig {
            balancers,
            ..config()
        })
    };
    let mut policy = of_fleet(600.0);
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    policy.apply_settings(of_fleet(1.0));
    let attempted = Flow {
        attempts: vec![ended_attempt(0, false)],
        ..flow(T0, 1)
    };
    let placed = policy.place(T0, &attempted);
    assert!(
        matches!(placed, Placement::Forward { server_id: 1, .. }),
        "{placed:?}"
    );
}
