//! Selection of the servers that a flow may go to.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against flows that are sent to a server which can't serve them while another one can.
#[test]
fn overloaded_full_and_unresponsive_servers_get_no_flows() {
    for (case, utilization) in [
        ("overloaded", 0.95),
        ("full for a group it doesn't hold", 0.7),
    ] {
        let mut policy = balancer();
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        (100..120).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 2));
        report_utilization(&mut policy, T0, 0, utilization);
        report_utilization(&mut policy, T0, 1, 0.1);
        for id in 0..4 {
            assert_eq!(place_one(&mut policy, T0, id), 1, "{case}");
        }
    }
    let mut policy = balancer();
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    for _ in 0..2 {
        policy.on_event(
            T0,
            PolicyEvent::HealthChecked {
                server_id: 0,
                passed: false,
                report: LoadReport::default(),
            },
        );
    }
    (0..4).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 1));
}

/// Guards against a group whose flows spread over all servers, each of which then does the common
/// work of the group (incident i51578f).
#[test]
fn flows_go_to_a_holder_of_their_group_even_if_it_is_full_for_new_groups() {
    let mut policy = balancer();
    policy.update_endpoints(T0, &(0..6).map(ready).collect::<Vec<_>>(), true);
    (0..6).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.66)));
    (100..160).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 6));
    policy.adopt_connection(
        &Flow {
            group: Some("held".into()),
            ..flow(T0, 160)
        },
        4,
    );
    for id in 0..2 {
        let new_flow = Flow {
            group: Some("held".into()),
            ..flow(T0, id)
        };
        assert!(matches!(
            policy.place(T0, &new_flow),
            Placement::Forward { server_id: 4, .. }
        ));
    }
    // A flow of a group without holders finds no room. It is rejected at once, as its latency
    // objective has passed.
    let other = Flow {
        group: Some("other".into()),
        accepted_at: T0 - SEC,
        ..flow(T0, 9)
    };
    assert!(matches!(
        policy.place(T0, &other),
        Placement::Reject {
            retry_after: Some(_)
        }
    ));
}

/// Guards against attempts at servers that stop or have stopped.
#[test]
fn draining_removed_and_unlisted_servers_get_no_flows() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut policy = balancer();
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        policy.update_endpoints(T0, &[Endpoint { state, ..ready(0) }], false);
        (0..4).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 1));
        // A server that is missing from a complete list counts as removed.
        policy.update_endpoints(T0, &[ready(2)], true);
        (4..8).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 2));
        policy.update_endpoints(T0, &[], true);
        let late = Flow {
            accepted_at: T0 - SEC,
            ..flow(T0, 9)
        };
        assert!(matches!(
            policy.place(T0, &late),
            Placement::Reject {
                retry_after: Some(_)
            }
        ));
    }
}

/// Guards against 163 balancers that each choose another server for a group and thus spread every
/// group over the fleet.
#[test]
fn balancers_agree_on_the_home_of_a_group_and_prefer_its_own_holder() {
    let of_group = |group: &str, id| Flow {
        group: Some(group.into()),
        ..flow(T0, id)
    };
    let placed = |seed, group: &str, holder: Option<ServerId>| {
        let config = PolicyConfig {
            balancers: 100.0,
            retry: RetryConfig {
                deadline_margin: MS,
                ..retry_config()
            },
            health_checks: health_check_config(0.0),
            ..PolicyConfig::default()
        };
        let mut policy = Policy::new(seed, 0, config);
        policy.update_endpoints(T0, &(0..20).map(ready).collect::<Vec<_>>(), true);
        if let Some(server_id) = holder {
            policy.adopt_connection(&of_group(group, 1), server_id);
        }
        match policy.place(T0, &of_group(group, 2)) {
            Placement::Forward { server_id, .. } => server_id,
            other => panic!("{other:?}"),
        }
    };
    let homes: Vec<ServerId> = ["a", "b", "c", "d", "e"]
        .map(|group| placed(1, group, None))
        .to_vec();
    for (seed, group, home) in [(2, "a", homes[0]), (3, "b", homes[1]), (4, "c", homes[2])] {
        assert_eq!(
            placed(seed, group, None),
            home,
            "seed {seed}, group {group}"
        );
    }
    assert!(
        homes.iter().any(|home| *home != homes[0]),
        "all groups have the same home: {homes:?}"
    );
    let elsewhere = (homes[0] + 1) % 20;
    assert_eq!(placed(5, "a", Some(elsewhere)), elsewhere);
}

/// Guards against a balancer that has just restarted and rejects the clients of the next balancer
/// that restarts, or places all of them on the first server with room.
#[test]
fn reconnecting_clients_are_placed_evenly_by_a_balancer_that_started_without_connections() {
    // Adopted connections, whether the clients reconnect, whether all of them are placed.
    for (own, reconnecting, all) in [(0, true, true), (0, false, false), (20, true, false)] {
        let config = PolicyConfig {
            balancers: 2.0,
            ..config()
        };
        let mut policy = balancer_with(config);
        policy.update_endpoints(T0, &(0..5).map(ready).collect::<Vec<_>>(), true);
        (100..100 + own).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 5));
        (0..5).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.45)));
        let mut placed = [0; 5];
        for id in 0..30 {
            let now = T0 + SEC / 2 + id * 25 * MS;
            if let Placement::Forward { server_id, .. } = policy.place(
                now,
                &Flow {
                    reconnecting,
                    ..flow(now, id)
                },
            ) {
                placed[server_id as usize] += 1;
                policy.on_event(
                    now,
                    PolicyEvent::Connected {
                        flow: id,
                        connect_duration: MS,
                    },
                );
            }
        }
        assert_eq!(
            placed.iter().sum::<u64>() == 30,
            all,
            "{own} own connections, reconnecting {reconnecting}: placed {placed:?}"
        );
        assert!(
            !all || placed.iter().all(|placed| (5..=7).contains(placed)),
            "{placed:?}"
        );
    }
}

/// Guards against a server that accepts attempts and never answers: soon all attempts that may be
/// in flight would wait for it.
#[test]
fn server_with_an_overdue_attempt_gets_no_further_flows() {
    let mut policy = balancer();
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    let silent = place_one(&mut policy, T0, 0);
    for id in 1..20 {
        let now = T0 + id * 500 * MS;
        assert_ne!(place_one(&mut policy, now, id), silent);
        policy.on_event(
            now,
            PolicyEvent::Connected {
                flow: id,
                connect_duration: MS,
            },
        );
    }
}
