use super::*;
use crate::types::SEC;

const T0: Time = 1000 * SEC;

fn flow(accepted_at: Time) -> Flow {
    Flow {
        accepted_at,
        ..Flow::default()
    }
}

#[test]
fn four_flows_are_queued_for_each_attempt_that_may_be_in_flight() {
    let concurrency = ConcurrencyLimit::new(300.0);
    let mut queue = FlowQueue::default();
    for _ in 0..8 {
        assert!(!queue.is_full(&concurrency));
        queue.add();
    }
    assert!(queue.is_full(&concurrency));
    queue.timer_expired(T0);
    assert!(!queue.is_full(&concurrency));
}

#[test]
fn the_recheck_interval_grows_with_the_number_of_evaluations() {
    let mut queue = FlowQueue::default();
    assert_eq!(queue.next_recheck_at(T0, 10), None);
    queue.add();
    for (servers, wait_ms) in [(10, 60), (600, 60), (1000, 100), (12_000, 120)] {
        let at = queue.next_recheck_at(T0, servers);
        assert_eq!(at, Some(T0 + wait_ms * MS), "{servers} servers");
    }
}

#[test]
fn placement_is_futile_after_a_scan_at_the_same_moment_found_no_room() {
    let mut queue = FlowQueue::default();
    queue.record_least_utilization(T0, 0.7);
    for (now, reconnecting, utilization_max, is_futile) in [
        (T0, false, 0.7, true),
        (T0, false, 0.71, false),
        (T0, true, 0.7, false),
        (T0 + 1, false, 0.7, false),
    ] {
        let one = Flow {
            reconnecting,
            ..flow(T0)
        };
        assert_eq!(
            queue.is_placement_futile(now, &one, utilization_max),
            is_futile,
            "{now} {reconnecting} {utilization_max}"
        );
    }
}

#[test]
fn placement_is_futile_for_queued_flows_until_their_reports_arrive() {
    let mut queue = FlowQueue::default();
    queue.add();
    queue.await_reports(T0);
    assert!(queue.is_placement_futile(T0 + MS, &flow(T0), 0.72));
    assert!(!queue.is_placement_futile(T0 + MS, &flow(T0 + MS), 0.72));
    assert!(!queue.is_placement_futile(T0 + QUEUE_RECHECK_INTERVAL, &flow(T0), 0.72));
    queue.report_received();
    queue.recheck_soon(T0 + MS, 10);
    assert!(!queue.is_placement_futile(T0 + MS, &flow(T0), 0.72));
    assert_eq!(queue.recheck_after_report_at(), Some(T0 + 2 * MS));
    queue.timer_expired(T0 + 2 * MS);
    assert_eq!(queue.recheck_after_report_at(), None);
}
