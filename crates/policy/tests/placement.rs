//! Which servers a flow may go to.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn overloaded_and_unresponsive_servers_are_passed_over() {
    for (what, utilization) in [
        ("overloaded", 0.95),
        ("full for a group it doesn't hold", 0.7),
    ] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        (100..120).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 2));
        report_utilization(&mut policy, T0, 0, utilization);
        report_utilization(&mut policy, T0, 1, 0.1);
        for id in 0..4 {
            assert_eq!(place_one(&mut policy, T0, id), 1, "{what}");
        }
    }
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    for _ in 0..2 {
        policy.on_event(
            T0,
            PolicyEvent::HealthChecked {
                server_id: 0,
                passed: false,
                report: LoadReport::default(),
            },
        );
    }
    (0..4).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 1));
}

#[test]
fn holders_of_a_group_come_first_and_take_more() {
    // Guards against a group's common work on every server (incident i51578f).
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &(0..6).map(ready).collect::<Vec<_>>(), true);
    (0..6).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.66)));
    (100..160).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 6));
    policy.adopt_connection(
        &Flow {
            group: Some("piste".into()),
            ..flow(T0, 160)
        },
        4,
    );
    for id in 0..2 {
        let one = Flow {
            group: Some("piste".into()),
            ..flow(T0, id)
        };
        assert!(matches!(
            policy.place(T0, &one),
            Placement::Forward { server_id: 4, .. }
        ));
    }
    // One that nobody holds finds no room, and is answered at once when its target has passed.
    let other = Flow {
        group: Some("lift".into()),
        accepted_at: T0 - SEC,
        ..flow(T0, 9)
    };
    assert!(matches!(
        policy.place(T0, &other),
        Placement::Reject {
            retry_after: Some(_)
        }
    ));
}

#[test]
fn nothing_new_to_draining_gone_or_unlisted_servers() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        policy.update_endpoints(T0, &[Endpoint { state, ..ready(0) }], false);
        (0..4).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 1));
        // What isn't in a whole list is gone.
        policy.update_endpoints(T0, &[ready(2)], true);
        (4..8).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 2));
        policy.update_endpoints(T0, &[], true);
        let late = Flow {
            accepted_at: T0 - SEC,
            ..flow(T0, 9)
        };
        assert!(matches!(
            policy.place(T0, &late),
            Placement::Reject {
                retry_after: Some(_)
            }
        ));
    }
}

#[test]
fn balancers_agree_on_a_groups_home_and_own_holders_come_first() {
    // Guards against 163 balancers that spread each group over the fleet.
    let of = |group: &str, id| Flow {
        group: Some(group.into()),
        ..flow(T0, id)
    };
    let placed = |seed, group: &str, holder: Option<ServerId>| {
        let config = PolicyConfig {
            balancers: 100.0,
            retry: RetryConfig {
                deadline_margin: MS,
                ..three_attempts()
            },
            health_checks: health_checks(0.0),
            ..PolicyConfig::default()
        };
        let mut policy = Policy::new(
            seed,
            0,
            vec![traffic_class(Idempotency::Idempotent)],
            config,
        );
        policy.update_endpoints(T0, &(0..20).map(ready).collect::<Vec<_>>(), true);
        if let Some(server_id) = holder {
            policy.adopt_connection(&of(group, 1), server_id);
        }
        match policy.place(T0, &of(group, 2)) {
            Placement::Forward { server_id, .. } => server_id,
            other => panic!("{other:?}"),
        }
    };
    let homes: Vec<ServerId> = ["a", "b", "c", "d", "e"]
        .map(|group| placed(1, group, None))
        .to_vec();
    for (seed, group, home) in [(2, "a", homes[0]), (3, "b", homes[1]), (4, "c", homes[2])] {
        assert_eq!(
            placed(seed, group, None),
            home,
            "seed {seed}, group {group}"
        );
    }
    assert!(
        homes.iter().any(|home| *home != homes[0]),
        "groups have homes of their own: {homes:?}"
    );
    let elsewhere = (homes[0] + 1) % 20;
    assert_eq!(placed(5, "a", Some(elsewhere)), elsewhere);
}

#[test]
fn a_balancer_that_has_just_restarted_lets_returning_clients_in_evenly() {
    // Guards against turning away the clients of the next balancer that restarts, or putting all of
    // them on the first server that shows room. Inherited connections, whether the clients return,
    // whether all get in.
    for (own, reconnecting, all) in [(0, true, true), (0, false, false), (20, true, false)] {
        let config = PolicyConfig {
            balancers: 2.0,
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(T0, &(0..5).map(ready).collect::<Vec<_>>(), true);
        (100..100 + own).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 5));
        (0..5).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.45)));
        let mut on = [0; 5];
        for id in 0..30 {
            let now = T0 + SEC / 2 + id * 25 * MS;
            if let Placement::Forward { server_id, .. } = policy.place(
                now,
                &Flow {
                    reconnecting,
                    ..flow(now, id)
                },
            ) {
                on[server_id as usize] += 1;
                policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
            }
        }
        assert_eq!(
            on.iter().sum::<u64>() == 30,
            all,
            "{own} own, returning {reconnecting}: {on:?}"
        );
        assert!(!all || on.iter().all(|on| (5..=7).contains(on)), "{on:?}");
    }
}

#[test]
fn a_server_that_answers_nothing_gets_no_more() {
    // Guards against a silent server on which all attempts that may be in flight wait for their
    // end.
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    let silent = place_one(&mut policy, T0, 0);
    for id in 1..20 {
        let now = T0 + id * 500 * MS;
        assert_ne!(place_one(&mut policy, now, id), silent);
        policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
    }
}
