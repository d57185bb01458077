//! How long a load report counts.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn stuck_reports_neither_shut_servers_nor_move_clients() {
    // Guards against rejecting everything for good when all reports stand still at a high load.
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    (100..140).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 2));
    let mut now = T0;
    for round in 0..10 {
        now += 2 * SEC;
        let moved: usize = (0..2)
            .map(|server_id| report_utilization(&mut policy, now, server_id, 0.97).len())
            .sum();
        let late = Flow {
            accepted_at: now - SEC,
            ..flow(now, round)
        };
        let placed = matches!(policy.place(now, &late), Placement::Forward { .. });
        assert_eq!(placed, round >= 7, "round {round}");
        assert!(moved == 0 || round < 7, "round {round}");
    }
}

#[test]
fn a_report_expires_though_health_checks_go_on_failing() {
    // Guards against a last report that shuts a server for good when its path of health checks
    // breaks at a high load.
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0)], true);
    report_utilization(&mut policy, T0, 0, 0.9);
    let mut open = Vec::new();
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
        open.push(matches!(
            policy.place(now, &late),
            Placement::Forward { .. }
        ));
    }
    assert!(!open[2] && open[11], "{open:?}");
}
