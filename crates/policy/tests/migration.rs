//! Which connections leave an overloaded or a draining server.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn migrates_largest_first_to_its_fraction() {
    // Utilization, loads of own connections 0, 1, ..., how many moves at least and at most.
    for (utilization, loads, least, most) in [
        (0.8, vec![5.0, 1.0, 1.0], 0, 0),
        (0.81, vec![1.0; 100], 1, 2),
        // A fifth of 100 equal connections, give or take the rounding.
        (1.0, vec![1.0; 100], 19, 21),
        (1.6, vec![1.0; 100], 49, 51),
        // Half of all: the largest alone covers it.
        (1.6, vec![1.0, 90.0, 1.0, 1.0], 0, 1),
    ] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        for server_id in 1..9 {
            report_utilization(&mut policy, T0, server_id, 0.2);
        }
        for (id, load) in loads.iter().enumerate() {
            policy.adopt_connection(&flow(T0, id as FlowId), 0);
            policy.update_connection_load(id as FlowId, *load);
        }
        let moved = report_utilization(&mut policy, T0, 0, utilization);
        assert!(
            (least..=most).contains(&moved.len()),
            "utilization {utilization}: {moved:?}"
        );
        if moved.len() == 1 && loads.contains(&90.0) {
            assert_eq!(moved, [1]);
        }
    }
}

#[test]
fn one_large_connection_moves_as_often_as_meets_the_goal() {
    // Guards against each of several balancers rounding up: a fifth of the load is one move in five
    // reports.
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
    (1..3).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.1)));
    policy.adopt_connection(&flow(T0, 1), 0);
    policy.update_connection_load(1, 10.0);
    let moved = (0..200u64).filter(|i| {
        let now = T0 + i * 3 * SEC;
        (1..3).for_each(|server_id| drop(report_utilization(&mut policy, now, server_id, 0.1)));
        !report_utilization(&mut policy, now, 0, 1.0 + (i % 2) as f64 * 0.01).is_empty()
    });
    let moved = moved.count();
    assert!((20..65).contains(&moved), "{moved} of 200");
}

#[test]
fn one_report_migrates_once_and_overload_of_all_admits_nobody() {
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
    for id in 0..100 {
        policy.adopt_connection(&flow(T0, id), 0);
    }
    (1..3).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.1)));
    assert!(!report_utilization(&mut policy, T0, 0, 1.5).is_empty());
    // Guards against a second shedding on a report that can't show the first.
    assert!(report_utilization(&mut policy, T0 + SEC, 0, 1.5).is_empty());
    assert!(!report_utilization(&mut policy, T0 + 3 * SEC, 0, 1.5).is_empty());
    // All overloaded: what is over still goes, and nobody is admitted (incident i2f9edf).
    (1..3).for_each(|server_id| {
        drop(report_utilization(
            &mut policy,
            T0 + 6 * SEC,
            server_id,
            1.5,
        ))
    });
    assert!(!report_utilization(&mut policy, T0 + 6 * SEC, 0, 1.5).is_empty());
    let late = Flow {
        accepted_at: T0,
        ..flow(T0 + 6 * SEC, 999)
    };
    assert!(matches!(
        policy.place(T0 + 6 * SEC, &late),
        Placement::Reject {
            retry_after: Some(_)
        }
    ));
}

#[test]
fn without_reported_loads_estimates_and_counts_decide() {
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
    (1..3).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.0)));
    let report = |utilization, count| LoadReport {
        utilization: Some(utilization),
        connections: count,
    };
    let checked = |report| PolicyEvent::HealthChecked {
        server_id: 0,
        passed: true,
        report,
    };
    policy.adopt_connection(&flow(T0, 7), 0);
    policy.on_event(T0, checked(report(0.8, Some(2.0)))); // 0.4 each
    policy.adopt_connection(&flow(T0, 3), 0);
    policy.on_event(T0, checked(report(0.3, Some(3.0)))); // 0.1 each
    let actions = policy.on_event(T0, checked(report(1.79, None)));
    assert_eq!(actions.migrate[0], 7);
}

#[test]
fn clients_are_moved_before_their_server_goes() {
    let drains = |server_id| Endpoint {
        state: EndpointState::Draining,
        ..ready(server_id)
    };
    let gone = |server_id| Endpoint {
        state: EndpointState::Removed,
        ..ready(server_id)
    };
    // Guards against clients moved with nowhere to go, and against a list that loses servers which
    // still serve.
    for (news, whole, expected) in [
        (vec![drains(1)], false, vec![1]),
        (vec![drains(1), ready(2)], true, vec![1]),
        (vec![drains(1), drains(2)], false, vec![]),
        (vec![drains(1)], true, vec![]),
        (vec![gone(1)], false, vec![]),
        (vec![], true, vec![]),
        (vec![ready(1)], false, vec![]),
    ] {
        let config = PolicyConfig {
            health_checks: HealthCheckConfig::default(),
            migration: MigrationConfig { off_draining: true },
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(0, &[ready(1), ready(2)], true);
        policy.adopt_connection(&flow(0, 1), 1);
        policy.adopt_connection(&flow(0, 2), 1);
        policy.adopt_connection(&flow(0, 3), 2);
        policy.on_event(SEC, PolicyEvent::TimerExpired);
        policy.update_endpoints(SEC, &news, whole);
        assert_eq!(
            policy
                .on_event(3 * SEC - 1, PolicyEvent::TimerExpired)
                .migrate,
            [],
            "too early"
        );
        // Looked at while any own connection is at a server that drains, for room may come back.
        let drains = news
            .iter()
            .any(|server| server.state == EndpointState::Draining);
        assert_eq!(
            policy.time_to_next_timer(3 * SEC) == Some(0),
            drains,
            "{news:?}"
        );
        // Each once, one after the other, by the time in which a replacement is warm.
        let tick = |tick: u64| {
            policy
                .on_event(3 * SEC + tick * 60 * MS, PolicyEvent::TimerExpired)
                .migrate
        };
        let moved: Vec<FlowId> = (0..350).flat_map(tick).collect();
        assert_eq!(
            moved,
            [expected.clone(), expected.iter().map(|id| id + 1).collect()].concat(),
            "{news:?}"
        );
    }
    // Guards against moving clients twice where servers that drain send them away themselves.
    let config = PolicyConfig {
        migration: MigrationConfig { off_draining: true },
        ..config()
    };
    let mut policy = balancer_with(Idempotency::Idempotent, config);
    policy.update_endpoints(0, &[ready(1), ready(2)], true);
    (1..4).for_each(|id| policy.adopt_connection(&flow(0, id), 1));
    policy.update_endpoints(SEC, &[drains(1)], false);
    policy.on_event(
        SEC,
        PolicyEvent::AttemptEnded {
            flow: 1,
            server_id: 1,
            end: AttemptEnd::Cancelled,
            unanswered: None,
        },
    );
    assert!(
        policy
            .on_event(4 * SEC, PolicyEvent::TimerExpired)
            .migrate
            .is_empty()
    );
}

#[test]
fn a_fleet_told_at_once_of_a_drain_does_not_move_all_at_once() {
    // Guards against 300 balancers that moved 204 clients within the second in which each was first
    // due.
    let at = |n| Endpoint {
        state: EndpointState::Draining,
        ..ready(n)
    };
    // A whole list comes where discovery has moved.
    for whole in [false, true] {
        let (mut seconds, news) = ([0; 9], T0 + 9 * SEC);
        for mut policy in fleet(60, 0.3) {
            policy.update_endpoints(
                news,
                &(0..40).map(at).chain([ready(40)]).collect::<Vec<_>>(),
                whole,
            );
            for now in (0..9 * SEC).step_by((60 * MS) as usize) {
                seconds[(now / SEC) as usize] += policy
                    .on_event(news + now, PolicyEvent::TimerExpired)
                    .migrate
                    .len();
            }
        }
        // Two each, from 2 s after the news until a replacement is warm, at 8 s.
        assert_eq!(
            (seconds[..2].iter().sum::<usize>(), seconds.iter().sum()),
            (0, 120),
            "{seconds:?}"
        );
        assert!(
            seconds.iter().all(|moved| *moved < 40),
            "{whole}: {seconds:?}"
        );
    }
}
