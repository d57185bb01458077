//! Schedule and cost of health checks.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against servers that are never checked, and against a failed poll that is not repeated.
#[test]
fn health_checks_and_polls_of_the_endpoint_list_are_made_when_due() {
    let polled = EndpointConfig {
        is_polled: true,
        ..EndpointConfig::default()
    };
    let mut policy = balancer_with(PolicyConfig {
        endpoints: polled,
        ..config()
    });
    assert!(
        policy
            .on_event(T0, PolicyEvent::TimerExpired)
            .poll_endpoints
    );
    assert_eq!(policy.time_to_next_timer(T0), None);
    policy.on_endpoint_poll_failed(T0);
    let wait = policy
        .time_to_next_timer(T0)
        .expect("no further poll is scheduled after a failed one");
    assert!(
        policy
            .on_event(T0 + wait, PolicyEvent::TimerExpired)
            .poll_endpoints
    );
    policy.update_endpoints(T0, &(0..50).map(ready).collect::<Vec<_>>(), true);
    let mut checked = std::collections::BTreeSet::new();
    let mut now = T0;
    while now < T0 + 10 * SEC {
        now += policy
            .time_to_next_timer(now)
            .expect("a check is due")
            .max(MS);
        checked.extend(
            policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks,
        );
    }
    assert_eq!(checked.len(), 50);
    // With health checks disabled none are made, and flows are still placed.
    let config = PolicyConfig {
        health_checks: HealthCheckConfig::default(),
        ..config()
    };
    let mut unchecked = balancer_with(config);
    unchecked.update_endpoints(T0, &[ready(0)], true);
    assert_eq!(
        (
            unchecked.time_to_next_timer(T0),
            place_one(&mut unchecked, T0, 1)
        ),
        (None, 0)
    );
    assert_eq!(load_report(0.5).connections, None);
}

/// Guards against health checks that cost more than the flows that they serve: 33 checks per flow
/// on a large fleet (colombo-maps-later, big-1).
#[test]
fn check_interval_is_two_to_ten_seconds_by_own_connections_and_cost_of_a_check() {
    // Cost of a check, own connections at the start, lowest and highest number of checks of one
    // server in 60 s.
    for (cost, own, least, most) in [
        (0.0, 0, 28, 32),
        (0.002, 0, 0, 0),
        (0.002, 5000, 28, 32),
        (0.02, 50, 6, 8),
    ] {
        let config = PolicyConfig {
            health_checks: health_check_config(cost),
            ..config()
        };
        let mut policy = balancer_with(config);
        policy.update_endpoints(T0, &(0..50).map(ready).collect::<Vec<_>>(), true);
        (0..own).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 50));
        let (mut now, mut count) = (T0, 0);
        while now < T0 + 60 * SEC {
            now += policy
                .time_to_next_timer(now)
                .expect("a check is due")
                .max(MS);
            for server_id in policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks
            {
                count += usize::from(server_id == 7);
                report_utilization(&mut policy, now, server_id, 0.6 + (now % 97) as f64 / 1e4);
            }
        }
        assert!(
            (least..=most).contains(&count),
            "cost {cost}, {own} own connections: {count} checks in 60 s"
        );
    }
}

/// Guards against a balancer that derives the check interval from flows before any have come: its
/// first reports then counted for ten seconds while the servers filled.
#[test]
fn servers_are_checked_at_least_three_times_in_eight_seconds_after_a_start_without_flows() {
    let config = PolicyConfig {
        health_checks: health_check_config(0.002),
        ..config()
    };
    let mut policy = balancer_with(config);
    policy.update_endpoints(T0, &(0..5).map(ready).collect::<Vec<_>>(), true);
    let (mut now, mut count) = (T0, 0);
    while now < T0 + 8 * SEC {
        now += policy
            .time_to_next_timer(now)
            .expect("a check is due")
            .max(MS);
        for server_id in policy
            .on_event(now, PolicyEvent::TimerExpired)
            .health_checks
        {
            count += usize::from(server_id == 3);
            report_utilization(&mut policy, now, server_id, 0.5);
        }
    }
    assert!(count >= 3, "{count} checks in 8 s");
}

/// Guards against balancers that start together and each pay health checks for the flows of all:
/// each of 100 balancers checked 12 servers every 2.9 s for an expected eight flows and got one.
#[test]
fn starting_balancers_make_health_checks_for_their_own_part_of_the_expected_flows() {
    // Balancers, lowest and highest number of checks of one of them in its first 10 s.
    for (balancers, least, most) in [(4.0, 36, 72), (12.0, 36, 72), (100.0, 0, 0), (300.0, 0, 0)] {
        let config = PolicyConfig {
            balancers,
            health_checks: health_check_config(0.0019),
            ..config()
        };
        let mut policy = balancer_with(config);
        policy.update_endpoints(T0, &(0..12).map(ready).collect::<Vec<_>>(), true);
        let (mut now, mut count) = (T0, 0);
        while now < T0 + 10 * SEC {
            now += policy
                .time_to_next_timer(now)
                .expect("a check is due")
                .max(MS);
            for server_id in policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks
            {
                count += 1;
                report_utilization(&mut policy, now, server_id, 0.5 + (now % 97) as f64 / 1e4);
            }
        }
        assert!(
            (least..=most).contains(&count),
            "{balancers} balancers: {count} checks"
        );
    }
}

/// Guards against 47 checks per flow for reports that counted for 15 s (four balancers per
/// server). If health checks are that expensive, they are made when a flow needs a report.
#[test]
fn flow_waits_for_a_report_if_health_checks_are_made_on_demand() {
    // Utilization reported by the check, whether the flow then goes to the checked server.
    for (utilization, is_forwarded) in [(Some(0.1), true), (None, true), (Some(0.9), false)] {
        let config = PolicyConfig {
            health_checks: health_check_config(1.0),
            ..config_with_gossip(1.0)
        };
        let mut policy = balancer_with(config);
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        let mut now = T0 + 3 * SEC;
        assert_eq!(
            policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks,
            [],
            "servers without own connections are checked"
        );
        let new_flow = Flow {
            group: Some("a".into()),
            ..flow(now, 1)
        };
        assert_eq!(policy.place(now, &new_flow), Placement::Wait);
        now += MS;
        let checked = policy
            .on_event(now, PolicyEvent::TimerExpired)
            .health_checks;
        assert!((1..=4).contains(&checked.len()), "{checked:?}");
        for server_id in &checked {
            let report = LoadReport {
                utilization,
                connections: None,
            };
            policy.on_event(
                now,
                PolicyEvent::HealthChecked {
                    server_id: *server_id,
                    passed: true,
                    report,
                },
            );
        }
        now += policy
            .time_to_next_timer(now)
            .expect("the flow is not scheduled to be placed again")
            .min(5 * MS);
        policy.on_event(now, PolicyEvent::TimerExpired);
        match policy.place(now, &new_flow) {
            Placement::Forward { server_id, .. } => {
                assert!(
                    is_forwarded && checked.contains(&server_id),
                    "reported utilization {utilization:?}: forwarded to {server_id}"
                )
            }
            other => assert!(
                !is_forwarded,
                "reported utilization {utilization:?}: {other:?}"
            ),
        }
    }
}
