//! Which flows are queued, rejected or failed, and which get the last of the capacity.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against a client that is told to retry after servers have forgotten an attempt that may
/// have run. A reject tells the client that a repeat is safe, which holds only while the servers
/// remember all such attempts.
#[test]
fn retry_after_ends_within_the_deduplication_window_or_the_flow_fails() {
    let window = 3 * SEC;
    // Age of the attempt that may have run, whether the flow is rejected.
    for (age, rejected) in [
        (0, true),
        (SEC, true),
        (2 * SEC, true),
        (2900 * MS, false),
        (3 * SEC, false),
        (9 * SEC, false),
    ] {
        let mut policy = balancer();
        let deduplicated = Idempotency::Deduplicated {
            scope: DeduplicationScope::All,
            window,
        };
        let earlier = Attempt {
            sent_at: T0 - age,
            ..ended_attempt(0, false)
        };
        // The flow is not queued, as its latency objective has passed.
        let new_flow = Flow {
            class: traffic_class(deduplicated),
            attempts: vec![earlier],
            accepted_at: T0 - 10 * SEC,
            ..flow(T0, 1)
        };
        match policy.place(T0, &new_flow) {
            Placement::Reject {
                retry_after: Some(retry_after),
            } => {
                assert!(
                    rejected && T0 + retry_after < earlier.sent_at + window,
                    "attempt {age} ns old: rejected with Retry-After {retry_after} ns"
                );
            }
            Placement::Fail => assert!(!rejected, "attempt {age} ns old: failed"),
            other => panic!("attempt {age} ns old: {other:?}"),
        }
    }
}

/// Guards against an answer after the deadline of a flow whose deadline comes before its latency
/// objective.
#[test]
fn flow_is_queued_only_if_it_can_be_placed_again_before_its_deadline() {
    // Time until the deadline, whether the flow is queued.
    for (left, waits) in [(90 * MS, true), (70 * MS, true), (60 * MS, false)] {
        let mut policy = balancer();
        let placement = policy.place(
            T0,
            &Flow {
                deadline: T0 + left,
                ..flow(T0, 1)
            },
        );
        assert_eq!(
            placement == Placement::Wait,
            waits,
            "{left} ns to the deadline"
        );
        assert!(
            policy
                .time_to_next_timer(T0)
                .is_none_or(|wait| T0 + wait < T0 + left)
        );
    }
}

/// Guards against flows of low priority, or of a tenant over its quota, that take the last of the
/// capacity.
#[test]
fn nearly_full_servers_take_only_priority_flows_of_tenants_within_their_quota() {
    // Loads are reported for classes 0 and 1, whose priority weights are 1 and 5. Tenant 0 holds
    // three quarters of the connections with a quota of one half.
    // Class and tenant of the flow, whether it is forwarded.
    for (class, tenant, is_forwarded) in [(0, 1, false), (1, 1, true), (1, 0, false)] {
        let classes = [(0, 1.0), (1, 5.0)].map(|(number, priority_weight)| TrafficClass {
            number,
            priority_weight,
            ..traffic_class(Idempotency::Idempotent)
        });
        let config = PolicyConfig {
            retry: retry_config(),
            shedding: SheddingConfig {
                tenant_quotas: [(0, 0.5), (1, 0.5)].into(),
                surplus_weight: 0.1,
                retry_after_max: None,
            },
            health_checks: health_check_config(0.0),
            ..PolicyConfig::default()
        };
        let mut policy = Policy::new(7, 0, config);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        for id in 0..40 {
            let held = Flow {
                class: classes[id as usize % 2],
                tenant: usize::from(id >= 30),
                ..flow(T0, 1000 + id)
            };
            policy.adopt_connection(&held, id % 2);
            policy.update_connection_load(1000 + id, 10.0);
        }
        (0..2).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.57)));
        let new_flow = Flow {
            class: classes[class],
            tenant,
            accepted_at: T0 - SEC,
            ..flow(T0, 1)
        };
        let placed = matches!(policy.place(T0, &new_flow), Placement::Forward { .. });
        assert_eq!(placed, is_forwarded, "class {class}, tenant {tenant}");
    }
}
