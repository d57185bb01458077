//! Migration of connections off overloaded and draining servers.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against migrations that move more clients than the overload requires.
#[test]
fn largest_connections_migrate_until_they_cover_the_excess_fraction() {
    // Utilization, loads of own connections 0, 1, ..., lowest and highest number of migrations.
    for (utilization, loads, least, most) in [
        (0.8, vec![5.0, 1.0, 1.0], 0, 0),
        (0.81, vec![1.0; 100], 1, 2),
        // A fifth of 100 equal connections, within one of rounding.
        (1.0, vec![1.0; 100], 19, 21),
        (1.6, vec![1.0; 100], 49, 51),
        // Half of the load, which the largest connection covers alone.
        (1.6, vec![1.0, 90.0, 1.0, 1.0], 0, 1),
    ] {
        let mut policy = balancer();
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        for server_id in 1..9 {
            report_utilization(&mut policy, T0, server_id, 0.2);
        }
        for (id, load) in loads.iter().enumerate() {
            policy.adopt_connection(&flow(T0, id as FlowId), 0);
            policy.update_connection_load(id as FlowId, *load);
        }
        let migrating = report_utilization(&mut policy, T0, 0, utilization);
        assert!(
            (least..=most).contains(&migrating.len()),
            "utilization {utilization}: {migrating:?}"
        );
        if migrating.len() == 1 && loads.contains(&90.0) {
            assert_eq!(migrating, [1]);
        }
    }
}

/// Guards against several balancers that each round up and together empty the server: for a fifth
/// of the load, a single connection must migrate at one report in five.
#[test]
fn single_connection_migrates_with_the_probability_of_the_excess_fraction() {
    let mut policy = balancer();
    policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
    (1..3).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.1)));
    policy.adopt_connection(&flow(T0, 1), 0);
    policy.update_connection_load(1, 10.0);
    let migrations = (0..200u64).filter(|i| {
        let now = T0 + i * 3 * SEC;
        (1..3).for_each(|server_id| drop(report_utilization(&mut policy, now, server_id, 0.1)));
        !report_utilization(&mut policy, now, 0, 1.0 + (i % 2) as f64 * 0.01).is_empty()
    });
    let migrations = migrations.count();
    assert!(
        (20..65).contains(&migrations),
        "migrated at {migrations} of 200 reports"
    );
}

/// Guards against a second migration because of a report that can't show the effect of the first
/// one, and against a fleet that is overloaded as a whole and still takes clients (incident
/// i2f9edf).
#[test]
fn migrations_settle_for_two_seconds_and_no_flow_is_placed_if_all_servers_are_overloaded() {
    let mut policy = balancer();
    policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
    for id in 0..100 {
        policy.adopt_connection(&flow(T0, id), 0);
    }
    (1..3).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.1)));
    assert!(!report_utilization(&mut policy, T0, 0, 1.5).is_empty());
    // This report comes too soon to show the first migration.
    assert!(report_utilization(&mut policy, T0 + SEC, 0, 1.5).is_empty());
    assert!(!report_utilization(&mut policy, T0 + 3 * SEC, 0, 1.5).is_empty());
    // If all servers are overloaded, the excess still migrates and no flow is placed.
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

/// The load of a connection is then estimated as the utilization of the server divided by its
/// connections, at the first report after the connection was placed.
#[test]
fn connection_with_the_largest_estimate_migrates_first_if_no_loads_are_reported() {
    let mut policy = balancer();
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
    policy.on_event(T0, checked(report(0.8, Some(2.0)))); // Estimate: 0.4 per connection.
    policy.adopt_connection(&flow(T0, 3), 0);
    policy.on_event(T0, checked(report(0.3, Some(3.0)))); // Estimate: 0.1 per connection.
    let actions = policy.on_event(T0, checked(report(1.79, None)));
    assert_eq!(actions.migrate[0], 7);
}

/// Guards against clients that are migrated although no server has room for them, against a list
/// that wrongly drops servers which still serve, and against migrating clients a second time if
/// draining servers send them away themselves.
#[test]
fn clients_migrate_off_a_draining_server_if_another_server_has_room() {
    let drains = |server_id| Endpoint {
        state: EndpointState::Draining,
        ..ready(server_id)
    };
    let removed = |server_id| Endpoint {
        state: EndpointState::Removed,
        ..ready(server_id)
    };
    // Update of the list, whether it is the complete list, the first connection to migrate.
    for (update, is_complete, expected) in [
        (vec![drains(1)], false, vec![1]),
        (vec![drains(1), ready(2)], true, vec![1]),
        (vec![drains(1), drains(2)], false, vec![]),
        (vec![drains(1)], true, vec![]),
        (vec![removed(1)], false, vec![]),
        (vec![], true, vec![]),
        (vec![ready(1)], false, vec![]),
    ] {
        let config = PolicyConfig {
            health_checks: HealthCheckConfig::default(),
            migration: MigrationConfig {
                migrate_off_draining: true,
            },
            ..config()
        };
        let mut policy = balancer_with(config);
        policy.update_endpoints(0, &[ready(1), ready(2)], true);
        policy.adopt_connection(&flow(0, 1), 1);
        policy.adopt_connection(&flow(0, 2), 1);
        policy.adopt_connection(&flow(0, 3), 2);
        policy.on_event(SEC, PolicyEvent::TimerExpired);
        policy.update_endpoints(SEC, &update, is_complete);
        assert_eq!(
            policy
                .on_event(3 * SEC - 1, PolicyEvent::TimerExpired)
                .migrate,
            [],
            "migrated before the drain delay of 2 s had passed"
        );
        // The timer stays set while a draining server holds own connections, as another server may
        // get room.
        let is_draining = update
            .iter()
            .any(|server| server.state == EndpointState::Draining);
        assert_eq!(
            policy.time_to_next_timer(3 * SEC) == Some(0),
            is_draining,
            "{update:?}"
        );
        // Each connection migrates once, one after the other, within the time in which a
        // replacement of the server warms up.
        let tick = |tick: u64| {
            policy
                .on_event(3 * SEC + tick * 60 * MS, PolicyEvent::TimerExpired)
                .migrate
        };
        let migrated: Vec<FlowId> = (0..350).flat_map(tick).collect();
        assert_eq!(
            migrated,
            [expected.clone(), expected.iter().map(|id| id + 1).collect()].concat(),
            "{update:?}"
        );
    }
    // A client that was not notified leaves: the draining server sends its clients away itself.
    let config = PolicyConfig {
        migration: MigrationConfig {
            migrate_off_draining: true,
        },
        ..config()
    };
    let mut policy = balancer_with(config);
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

/// Guards against balancers that learn of a drain at the same moment and migrate their clients at
/// once: 300 balancers migrated 204 clients within the second in which the first migrations were
/// due.
#[test]
fn migrations_of_many_balancers_off_draining_servers_spread_over_the_warm_up() {
    let draining = |server_id| Endpoint {
        state: EndpointState::Draining,
        ..ready(server_id)
    };
    // The balancers get a complete list after a change of their discovery agent.
    for is_complete in [false, true] {
        let (mut seconds, updated_at) = ([0; 9], T0 + 9 * SEC);
        for mut policy in fleet(60, 0.3) {
            policy.update_endpoints(
                updated_at,
                &(0..40).map(draining).chain([ready(40)]).collect::<Vec<_>>(),
                is_complete,
            );
            for now in (0..9 * SEC).step_by((60 * MS) as usize) {
                seconds[(now / SEC) as usize] += policy
                    .on_event(updated_at + now, PolicyEvent::TimerExpired)
                    .migrate
                    .len();
            }
        }
        // Two connections of each balancer, from 2 s after the update until a replacement is warm,
        // at 8 s.
        assert_eq!(
            (seconds[..2].iter().sum::<usize>(), seconds.iter().sum()),
            (0, 120),
            "{seconds:?}"
        );
        assert!(
            seconds.iter().all(|migrated| *migrated < 40),
            "complete list {is_complete}: migrations in each second {seconds:?}"
        );
    }
}
