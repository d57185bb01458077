//! Which server is checked when.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn health_checks_and_polls_are_made_when_due() {
    let polled = EndpointConfig {
        is_polled: true,
        ..EndpointConfig::default()
    };
    let mut policy = balancer_with(
        Idempotency::Idempotent,
        PolicyConfig {
            endpoints: polled,
            ..config()
        },
    );
    assert!(
        policy
            .on_event(T0, PolicyEvent::TimerExpired)
            .poll_endpoints
    );
    assert_eq!(policy.time_to_next_timer(T0), None);
    policy.endpoint_poll_failed(T0);
    let wait = policy
        .time_to_next_timer(T0)
        .expect("the list is asked for again");
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
    // Where health checks aren't allowed none are made, and the rotation goes on.
    let config = PolicyConfig {
        health_checks: HealthCheckConfig::default(),
        ..config()
    };
    let mut blind = balancer_with(Idempotency::Idempotent, config);
    blind.update_endpoints(T0, &[ready(0)], true);
    assert_eq!(
        (blind.time_to_next_timer(T0), place_one(&mut blind, T0, 1)),
        (None, 0)
    );
    assert_eq!(load_report(0.5).connections, None);
}

#[test]
fn health_checks_are_paid_for_by_own_flows_within_ten_seconds() {
    // Guards against 33 health checks a flow on a large fleet (colombo-maps-later, big-1). Cost of
    // a check, own connections at the start, checks of one server in 60 s at least and at most.
    for (price, own, least, most) in [
        (0.0, 0, 28, 32),
        (0.002, 0, 0, 0),
        (0.002, 5000, 28, 32),
        (0.02, 50, 6, 8),
    ] {
        let config = PolicyConfig {
            health_checks: health_checks(price),
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
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
            "price {price}, {own} own: {count}"
        );
    }
}

#[test]
fn first_reports_after_a_restart_do_not_stand_for_ten_seconds() {
    // Guards against checks by a traffic that has not come yet: the report stood while the servers
    // filled.
    let config = PolicyConfig {
        health_checks: health_checks(0.002),
        ..config()
    };
    let mut policy = balancer_with(Idempotency::Idempotent, config);
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

#[test]
fn balancers_that_start_together_do_not_each_probe_for_flows_that_all_of_them_share() {
    // Guards against 100 balancers that each checked 12 servers every 2.9 s for eight flows and got
    // one. Balancers, checks of one of them in its first 10 s at least and at most.
    for (balancers, least, most) in [(4.0, 36, 72), (12.0, 36, 72), (100.0, 0, 0), (300.0, 0, 0)] {
        let config = PolicyConfig {
            balancers,
            health_checks: health_checks(0.0019),
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
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

#[test]
fn flows_wait_for_a_report_where_health_checks_are_scarce() {
    // Guards against 47 checks a flow for reports of 15 s (four balancers to a server). What the
    // check brings, whether the flow then goes to that server.
    for (load, goes) in [(Some(0.1), true), (None, true), (Some(0.9), false)] {
        let config = PolicyConfig {
            health_checks: health_checks(1.0),
            ..gossiping(1.0)
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        let mut now = T0 + 3 * SEC;
        assert_eq!(
            policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks,
            [],
            "none holds an own connection"
        );
        let one = Flow {
            group: Some("a".into()),
            ..flow(now, 1)
        };
        assert_eq!(policy.place(now, &one), Placement::Wait);
        now += MS;
        let asked = policy
            .on_event(now, PolicyEvent::TimerExpired)
            .health_checks;
        assert!((1..=4).contains(&asked.len()), "{asked:?}");
        for server_id in &asked {
            let report = LoadReport {
                utilization: load,
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
            .expect("a look at the flow")
            .min(5 * MS);
        policy.on_event(now, PolicyEvent::TimerExpired);
        match policy.place(now, &one) {
            Placement::Forward { server_id, .. } => {
                assert!(goes && asked.contains(&server_id), "{load:?}: {server_id}")
            }
            other => assert!(!goes, "{load:?}: {other:?}"),
        }
    }
}
