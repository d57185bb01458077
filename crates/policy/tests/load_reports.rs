//! Expiry of load reports.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against a balancer that rejects all flows for good because the reports of all servers are
/// stuck at a high utilization.
#[test]
fn reports_that_stay_identical_neither_exclude_servers_nor_migrate_clients() {
    let mut policy = balancer();
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    (100..140).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 2));
    let mut now = T0;
    for round in 0..10 {
        now += 2 * SEC;
        let migrated: usize = (0..2)
            .map(|server_id| report_utilization(&mut policy, now, server_id, 0.97).len())
            .sum();
        let late = Flow {
            accepted_at: now - SEC,
            ..flow(now, round)
        };
        let placed = matches!(policy.place(now, &late), Placement::Forward { .. });
        assert_eq!(placed, round >= 7, "round {round}");
        assert!(
            migrated == 0 || round < 7,
            "round {round}: {migrated} clients migrated"
        );
    }
}

/// Guards against a server that gets no more flows for good because its health checks begin to fail
/// when its last report shows a high utilization.
#[test]
fn report_expires_while_health_checks_keep_failing() {
    let mut policy = balancer();
    policy.update_endpoints(T0, &[ready(0)], true);
    report_utilization(&mut policy, T0, 0, 0.9);
    let mut is_placed = Vec::new();
    for second in 1..=12 {
        let now = T0 + second * SEC;
        policy.on_event(now, PolicyEvent::TimerExpired);
        policy.on_event(
            now,
            PolicyEvent::HealthChecked {
                server_id: 0,
                passed: false,
                report: LoadReport::default(),
            },
        );
        let late = Flow {
            accepted_at: now - SEC,
            ..flow(now, second)
        };
        is_placed.push(matches!(
            policy.place(now, &late),
            Placement::Forward { .. }
        ));
    }
    assert!(
        !is_placed[2] && is_placed[11],
        "whether a flow was placed, by second: {is_placed:?}"
    );
}
