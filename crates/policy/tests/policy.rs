//! The policy as a whole: implausible input, changed settings and changing endpoint lists.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against panics, and against a balancer that stops placing flows, after implausible loads
/// and after events of flows and servers that it doesn't know.
#[test]
fn flows_are_placed_after_implausible_loads_and_events_of_unknown_flows() {
    let mut policy = balancer();
    policy.update_endpoints(
        T0,
        &[
            ready(0),
            Endpoint {
                zone: u64::MAX,
                machine: 77,
                ..ready(ServerId::MAX)
            },
        ],
        true,
    );
    for value in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        report_utilization(&mut policy, T0, 0, value);
        report_utilization(&mut policy, T0, 42, value);
        policy.update_connection_load(42, value);
        let held = Flow {
            class: traffic_class(Idempotency::NonIdempotent),
            ..flow(T0, 7)
        };
        policy.adopt_connection(&held, 0);
        policy.update_connection_load(7, value);
    }
    for end in [
        AttemptEnd::Done,
        AttemptEnd::Error,
        AttemptEnd::Overloaded,
        AttemptEnd::TimedOut,
        AttemptEnd::ConnectionLost,
        AttemptEnd::Cancelled,
        AttemptEnd::NotSent,
    ] {
        policy.on_event(
            T0,
            PolicyEvent::AttemptEnded {
                flow: 999,
                server_id: 42,
                end,
                unanswered: None,
            },
        );
        policy.on_event(
            T0,
            PolicyEvent::AttemptEnded {
                flow: 7,
                server_id: 0,
                end,
                unanswered: None,
            },
        );
    }
    policy.on_event(
        T0,
        PolicyEvent::Connected {
            flow: 999,
            connect_duration: 0,
        },
    );
    assert!(
        policy
            .on_event(T0, PolicyEvent::ClientLeft { flow: 999 })
            .cancel
            .is_empty()
    );
    let unknown = Flow {
        class: TrafficClass {
            number: 99,
            ..TrafficClass::default()
        },
        ..flow(T0, 5)
    };
    assert!(matches!(
        policy.place(T0, &unknown),
        Placement::Forward { .. }
    ));
    assert_eq!(
        policy
            .on_event(T0, PolicyEvent::ClientLeft { flow: 5 })
            .cancel,
        [5]
    );
}

/// Guards against new settings that make the balancer forget connections, drains or failures, and
/// against settings that can't be changed back.
#[test]
fn applying_settings_keeps_connections_drains_and_failures() {
    let with_gossip = |may_gossip| {
        let config = PolicyConfig {
            gossip: GossipConfig {
                enabled: may_gossip,
            },
            ..config()
        };
        balancer_with(config)
    };
    let mut policy = with_gossip(false);
    policy.update_endpoints(
        T0,
        &[
            ready(0),
            ready(1),
            Endpoint {
                state: EndpointState::Draining,
                ..ready(2)
            },
        ],
        true,
    );
    (0..4).for_each(|id| {
        policy.adopt_connection(
            &Flow {
                group: Some("a".into()),
                ..flow(T0, id)
            },
            1,
        )
    });
    policy.on_event(
        T0,
        PolicyEvent::AttemptEnded {
            flow: 9,
            server_id: 2,
            end: AttemptEnd::Error,
            unanswered: None,
        },
    );
    for may_gossip in [true, false, true, false] {
        policy.apply_settings(with_gossip(may_gossip));
        policy.receive_gossip(
            T0,
            GroupPlacement {
                group: 1,
                server_id: 0,
            },
        );
        for id in 10..20 {
            let new_flow = Flow {
                group: (!may_gossip).then(|| "a".into()),
                ..flow(T0, id)
            };
            let placed = policy.place(T0, &new_flow);
            assert!(
                matches!(
                    placed,
                    Placement::Forward {
                        server_id: 0 | 1,
                        ..
                    }
                ) && (may_gossip || matches!(placed, Placement::Forward { server_id: 1, .. })),
                "{placed:?}"
            );
            policy.on_event(
                T0,
                PolicyEvent::AttemptEnded {
                    flow: id,
                    server_id: 1,
                    end: AttemptEnd::Done,
                    unanswered: None,
                },
            );
        }
    }
    let migrated = (0..40).any(|second| {
        let now = T0 + second * 3 * SEC;
        !report_utilization(&mut policy, now, 1, 2.0 + second as f64 / 100.0).is_empty()
    });
    assert!(
        migrated,
        "connections from before the change of settings do not migrate"
    );
}

/// Guards against panics, and against attempts at servers that were added and removed at the same
/// moment. The list has twice the largest size seen, and a part of the reports is implausible.
#[test]
fn flows_go_to_listed_servers_only_while_a_large_list_changes_completely() {
    let config = PolicyConfig {
        balancers: 1000.0,
        health_checks: health_check_config(0.002),
        ..config()
    };
    let mut policy = balancer_with(config);
    let list = |from: ServerId, state| -> Vec<Endpoint> {
        let endpoint = |server_id| Endpoint {
            state,
            started: if server_id % 7 == 0 { T0 } else { 0 },
            zone: server_id % 3,
            ..ready(server_id)
        };
        (from..from + 500).map(endpoint).collect()
    };
    let mut placed = 0;
    for round in 0..20u64 {
        let now = T0 + round * SEC;
        policy.update_endpoints(now, &list(round * 250, EndpointState::Ready), false);
        policy.update_endpoints(
            now,
            &list(round * 250 + 250, EndpointState::Ready),
            round % 5 == 4,
        );
        policy.update_endpoints(now, &list(round * 250, EndpointState::Removed), false);
        for server_id in (0..6000).step_by(3) {
            let utilizations = [f64::NAN, -1.0, f64::INFINITY, 1e300, 0.3];
            report_utilization(
                &mut policy,
                now,
                server_id,
                utilizations[(server_id % 5) as usize],
            );
        }
        policy.on_event(now, PolicyEvent::TimerExpired);
        for id in 0..20 {
            let group = Some(format!("group {}", id % 4));
            let new_flow = Flow {
                group,
                ..flow(now, round * 100 + id)
            };
            if let Placement::Forward {
                server_id, timeout, ..
            } = policy.place(now, &new_flow)
            {
                let listed = round * 250 + 500..round * 250 + 750;
                assert!(
                    listed.contains(&server_id) && timeout < 2 * SEC,
                    "round {round}: {server_id}"
                );
                policy.on_event(
                    now,
                    PolicyEvent::Connected {
                        flow: new_flow.id,
                        connect_duration: MS,
                    },
                );
                placed += 1;
            }
        }
    }
    assert!(placed > 100, "{placed} of 400 flows placed");
}
