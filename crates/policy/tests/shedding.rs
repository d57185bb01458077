//! Which flows are queued, rejected or failed.

mod common;

use common::*;
use nettlemux_policy::*;

/// A reject says that coming again is safe: while all that may have run is known to the servers,
/// and only if the client comes within that time. Guards against one that is sent back when they
/// have forgotten.
#[test]
fn a_reject_brings_nobody_back_after_the_window() {
    let window = 3 * SEC;
    for (age, rejected) in [
        (0, true),
        (SEC, true),
        (2 * SEC, true),
        (2900 * MS, false),
        (3 * SEC, false),
        (9 * SEC, false),
    ] {
        let mut policy = balancer(Idempotency::Deduplicated {
            scope: DeduplicationScope::All,
            window,
        });
        let earlier = Attempt {
            at: T0 - age,
            ..attempt(0, false)
        };
        // Waits for no server any more: its latency objective has passed.
        let one = Flow {
            attempts: vec![earlier],
            accepted_at: T0 - 10 * SEC,
            ..flow(T0, 1)
        };
        match policy.place(T0, &one) {
            Placement::Reject {
                retry_after: Some(retry_after),
            } => {
                assert!(
                    rejected && T0 + retry_after < earlier.at + window,
                    "{age}: {retry_after}"
                );
            }
            Placement::Fail => assert!(!rejected, "{age}: aborted"),
            other => panic!("{age}: {other:?}"),
        }
    }
}

#[test]
fn a_flow_waits_only_while_it_can_be_asked_about_again_in_time() {
    // Guards against an answer after the deadline where a try is shorter than the latency
    // objective.
    for (left, waits) in [(90 * MS, true), (70 * MS, true), (60 * MS, false)] {
        let mut policy = balancer(Idempotency::Idempotent);
        let place = policy.place(
            T0,
            &Flow {
                deadline: T0 + left,
                ..flow(T0, 1)
            },
        );
        assert_eq!(place == Placement::Wait, waits, "{left}");
        assert!(
            policy
                .time_to_next_timer(T0)
                .is_none_or(|wait| T0 + wait < T0 + left)
        );
    }
}

#[test]
fn room_is_kept_for_value_and_for_tenants_within_their_share() {
    // Loads reported for classes 0 and 1, weights 1 and 5; tenant 0 holds three quarters of a half
    // share.
    for (class, tenant, want) in [(0, 1, false), (1, 1, true), (1, 0, false)] {
        let types = [1.0, 5.0].map(|priority_weight| TrafficClass {
            priority_weight,
            ..traffic_class(Idempotency::Idempotent)
        });
        let config = PolicyConfig {
            retry: three_attempts(),
            shedding: SheddingConfig {
                tenant_quotas: vec![0.5, 0.5],
                surplus_weight: 0.1,
                retry_after_max: None,
            },
            health_checks: health_checks(0.0),
            ..PolicyConfig::default()
        };
        let mut policy = Policy::new(7, 0, types.to_vec(), config);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        for id in 0..40 {
            let held = Flow {
                class: id as usize % 2,
                tenant: usize::from(id >= 30),
                ..flow(T0, 1000 + id)
            };
            policy.adopt_connection(&held, id % 2);
            policy.update_connection_load(1000 + id, 10.0);
        }
        (0..2).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.57)));
        let one = Flow {
            class,
            tenant,
            accepted_at: T0 - SEC,
            ..flow(T0, 1)
        };
        let placed = matches!(policy.place(T0, &one), Placement::Forward { .. });
        assert_eq!(placed, want, "type {class}, tenant {tenant}");
    }
}
