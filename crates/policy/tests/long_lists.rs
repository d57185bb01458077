//! Placement and health checks on lists that are too long to be scanned in full.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use nettlemux_candidates::ZoneReach;
use nettlemux_policy::*;

/// Length of the longest list that is scanned in full.
const FULL_SCAN_SERVERS_MAX: u64 = 200;
/// Candidates of a flow without own connections of its group.
const CANDIDATES_MIN: usize = 16;
/// The highest number of servers that the flows of a group may go to: candidates and own holders.
const CONSIDERED_MAX: usize = 96;

/// Returns the settings of one of this many balancers whose health checks have a cost.
fn config(balancers: f64) -> PolicyConfig {
    PolicyConfig {
        balancers,
        health_checks: health_check_config(0.01),
        ..common::config()
    }
}

fn balancer(seed: u64, zone: u64) -> Policy {
    balancer_with(seed, zone, config(1_400.0))
}

fn balancer_with(seed: u64, zone: u64, config: PolicyConfig) -> Policy {
    Policy::new(seed, zone, config)
}

/// Returns a list of ready servers in 31 zones.
fn servers(count: u64) -> Vec<Endpoint> {
    (0..count)
        .map(|server_id| Endpoint {
            zone: server_id % 31,
            ..ready(server_id)
        })
        .collect()
}

fn of_group(now: Time, id: FlowId, group: &str) -> Flow {
    Flow {
        group: Some(group.to_owned()),
        ..flow(now, id)
    }
}

/// Places a flow and answers the health checks that are made for it. Returns the placement and the
/// servers that were checked.
fn place(
    policy: &mut Policy,
    mut now: Time,
    flow: &Flow,
    utilization: impl Fn(ServerId) -> f64,
) -> (Placement, Vec<ServerId>) {
    let mut checked = Vec::new();
    loop {
        let placement = policy.place(now, flow);
        if placement != Placement::Wait {
            return (placement, checked);
        }
        let checks = policy
            .on_event(now, PolicyEvent::TimerExpired)
            .health_checks;
        for server_id in &checks {
            policy.on_event(
                now,
                PolicyEvent::HealthChecked {
                    server_id: *server_id,
                    passed: true,
                    report: load_report(utilization(*server_id)),
                },
            );
        }
        checked.extend(checks);
        now += 60 * MS;
    }
}

/// Returns the server of each of these groups at a balancer without other connections.
fn homes(list: &[Endpoint], seed: u64, groups: &[String]) -> Vec<ServerId> {
    let mut policy = balancer(seed, 3);
    policy.update_endpoints(T0, list, true);
    let mut homes = Vec::new();
    for (id, group) in groups.iter().enumerate() {
        let (now, id) = (T0 + id as Time * SEC, id as FlowId);
        let (placement, _) = place(&mut policy, now, &of_group(now, id, group), |_| 0.3);
        let Placement::Forward { server_id, .. } = placement else {
            panic!("{group}: {placement:?}")
        };
        policy.on_event(
            now,
            PolicyEvent::AttemptEnded {
                flow: id,
                server_id,
                end: AttemptEnd::Done,
                unanswered: None,
            },
        );
        homes.push(server_id);
    }
    homes
}

fn group_names(count: u64) -> Vec<String> {
    (0..count).map(|group| format!("g{group}")).collect()
}

/// Guards against a group whose flows spread over more servers the longer the list is.
#[test]
fn group_goes_to_a_bounded_number_of_servers_on_lists_of_any_length() {
    for count in [FULL_SCAN_SERVERS_MAX + 1, 600, 12_000] {
        let list = servers(count);
        let used: BTreeSet<ServerId> = (0..15)
            .flat_map(|seed| homes(&list, seed, &group_names(1)))
            .collect();
        assert!(used.len() <= CANDIDATES_MIN, "{count} servers: {used:?}");
    }
}

/// Guards against a fixed subset of servers per balancer: with 36 servers for each, many servers
/// got no flows or thirty.
#[test]
fn flows_without_a_group_spread_evenly_over_the_own_zone() {
    let list = servers(6_000);
    // Zone 3 has 194 servers.
    let mut placed: BTreeMap<ServerId, usize> = BTreeMap::new();
    for seed in 0..10 {
        let mut policy = balancer(seed, 3);
        policy.update_endpoints(T0, &list, true);
        for id in 0..200 {
            let now = T0 + id * 200 * MS;
            let (placement, _) = place(&mut policy, now, &flow(now, id), |_| 0.3);
            let Placement::Forward { server_id, .. } = placement else {
                panic!("flow {id}: {placement:?}")
            };
            policy.on_event(
                now,
                PolicyEvent::Connected {
                    flow: id,
                    connect_duration: MS,
                },
            );
            *placed.entry(server_id).or_default() += 1;
        }
    }
    assert!(
        placed.keys().all(|server_id| server_id % 31 == 3),
        "{placed:?}"
    );
    // About ten flows per server.
    let most = placed.values().max().expect("no flow was placed");
    assert!(
        placed.len() >= 190 && *most <= 20,
        "{} servers used, {most} flows at most",
        placed.len()
    );
}

/// Guards against balancers that send a group to different servers while their lists differ.
#[test]
fn balancers_with_slightly_different_lists_agree_on_the_servers_of_groups() {
    let list = servers(6_000);
    let other: Vec<Endpoint> = list
        .iter()
        .filter(|server| server.server_id % 200 != 17)
        .copied()
        .collect();
    let (one, two) = (
        homes(&list, 1, &group_names(100)),
        homes(&other, 2, &group_names(100)),
    );
    let same = one.iter().zip(&two).filter(|(one, two)| one == two).count();
    assert!(same >= 95, "{same} of 100 groups go to the same server");
}

/// Guards against flows that are rejected although a server that is no candidate has room, and
/// against scanning the whole list for every such flow.
#[test]
fn whole_list_is_scanned_at_a_limited_rate_if_all_candidates_are_full() {
    let list = servers(600);
    let mut candidates = nettlemux_candidates::CandidateSet::default();
    list.iter()
        .for_each(|server| candidates.insert(server.server_id, server.zone, server.weight));
    // The number of balancers is low because each of the others is assumed to make as many attempts
    // as this one.
    let mut policy = balancer_with(1, 3, config(4.0));
    policy.update_endpoints(T0, &list, true);
    let has_room = |server_id: &ServerId| (500..510).contains(server_id);
    for server_id in 0..600 {
        let report = load_report(if has_room(&server_id) { 0.1 } else { 0.79 });
        policy.on_event(
            T0,
            PolicyEvent::HealthChecked {
                server_id,
                passed: true,
                report,
            },
        );
    }
    // Groups without a server with room among their candidates.
    let key = |name: &String| nettlemux_candidates::hash_name(name);
    let has_full_candidates = |name: &String| {
        !candidates
            .servers_for_key(key(name), 3, ZoneReach::AllZones, [].into_iter())
            .iter()
            .any(has_room)
    };
    let groups: Vec<String> = group_names(200)
        .into_iter()
        .filter(has_full_candidates)
        .take(20)
        .collect();
    assert_eq!(groups.len(), 20);
    let mut placed = Vec::new();
    for (id, group) in groups.iter().enumerate() {
        let (id, now) = (id as FlowId, T0 + (1 + id as Time) * MS);
        if let Placement::Forward { server_id, .. } = policy.place(now, &of_group(now, id, group)) {
            policy.on_event(
                now,
                PolicyEvent::Connected {
                    flow: id,
                    connect_duration: MS,
                },
            );
            placed.push(server_id);
        }
    }
    assert!(placed.iter().all(has_room), "{placed:?}");
    assert_eq!(
        placed.len(),
        2,
        "flows placed differ from the permitted scans of the whole list: {placed:?}"
    );
}

/// Guards against health checks that cost more the more servers and flows there are.
#[test]
fn health_checks_stay_within_their_budget_for_any_number_of_servers_and_flows() {
    for count in [600, 6_000] {
        let mut policy = balancer(1, 3);
        policy.update_endpoints(T0, &servers(count), true);
        for id in 0..20_000 {
            policy.adopt_connection(&of_group(T0, 100_000 + id, &format!("g{id}")), id % count);
        }
        let (mut checks, mut unrequested) = (0, 0);
        for step in 0..2_000 {
            let now = T0 + step * 10 * MS;
            // No flow waits for these checks. They are for servers with own connections, all of
            // which are overloaded and thus to be checked again soon.
            for server_id in policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks
            {
                policy.on_event(
                    now,
                    PolicyEvent::HealthChecked {
                        server_id,
                        passed: true,
                        report: load_report(0.9),
                    },
                );
                unrequested += 1;
            }
            if step % 20 == 0 {
                let flow = of_group(now, step, &format!("h{step}"));
                let (placement, checked) = place(&mut policy, now, &flow, |_| 0.3);
                assert!(
                    matches!(placement, Placement::Forward { .. }),
                    "{placement:?}"
                );
                policy.on_event(
                    now,
                    PolicyEvent::Connected {
                        flow: step,
                        connect_duration: MS,
                    },
                );
                checks += checked.len();
            }
        }
        checks += unrequested;
        assert!(
            unrequested > 20,
            "{count} servers: {unrequested} checks that no flow waits for"
        );
        // The budget is ten checks per second for 20 s and ten at once at the start, of which flows
        // get half at most.
        assert!(
            checks > 20 * 5 + 5,
            "{count} servers: {checks} checks in 20 s"
        );
        assert!(
            checks <= 20 * 10 + 10,
            "{count} servers: {checks} checks in 20 s"
        );
    }
}

/// Guards against an overloaded server whose next report comes so late that its connections are
/// not migrated.
#[test]
fn overloaded_server_is_rechecked_every_two_seconds_and_its_connections_migrate() {
    let mut policy = balancer(1, 3);
    policy.update_endpoints(T0, &servers(600), true);
    for id in 0..6_000 {
        policy.adopt_connection(&of_group(T0, id, &format!("g{id}")), id % 600);
    }
    let utilization = |server_id: ServerId| if server_id == 77 { 1.2 } else { 0.3 };
    let (mut checks, mut migrations) = (0, 0);
    policy.on_event(
        T0,
        PolicyEvent::HealthChecked {
            server_id: 77,
            passed: true,
            report: load_report(1.2),
        },
    );
    for tick in 1..80 {
        let now = T0 + tick * 250 * MS;
        for server_id in policy
            .on_event(now, PolicyEvent::TimerExpired)
            .health_checks
        {
            checks += usize::from(server_id == 77);
            migrations += policy
                .on_event(
                    now,
                    PolicyEvent::HealthChecked {
                        server_id,
                        passed: true,
                        report: load_report(utilization(server_id)),
                    },
                )
                .migrate
                .len();
        }
    }
    assert!(
        (7..=10).contains(&checks),
        "{checks} checks in 20 s, expected one every 2 s"
    );
    assert!(migrations > 0);
}

/// Guards against flows that still go to a server after the update that drains or removes it.
#[test]
fn draining_or_removed_server_gets_no_flows_of_a_group_that_it_held() {
    let list = servers(600);
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut policy = balancer(1, 3);
        policy.update_endpoints(T0, &list, true);
        let first = place(&mut policy, T0, &of_group(T0, 1, "one"), |_| 0.3).0;
        let Placement::Forward {
            server_id: first, ..
        } = first
        else {
            panic!("{first:?}")
        };
        policy.on_event(
            T0,
            PolicyEvent::AttemptEnded {
                flow: 1,
                server_id: first,
                end: AttemptEnd::Done,
                unanswered: None,
            },
        );
        policy.update_endpoints(
            T0,
            &[Endpoint {
                state,
                ..list[first as usize]
            }],
            false,
        );
        for id in 2..40 {
            let now = T0 + id * SEC;
            let placement = place(&mut policy, now, &of_group(now, id, "one"), |_| 0.3).0;
            assert!(
                matches!(placement, Placement::Forward { server_id, .. } if server_id != first),
                "{state:?}: {placement:?}"
            );
            policy.on_event(
                now,
                PolicyEvent::Connected {
                    flow: id,
                    connect_duration: MS,
                },
            );
        }
    }
}

/// The setting for the longest list that is scanned in full must not change decisions on a list that
/// is scanned in full anyway.
#[test]
fn list_of_200_servers_gives_the_same_decisions_if_all_lists_are_scanned_in_full() {
    let list = servers(FULL_SCAN_SERVERS_MAX);
    let whole_list = EndpointConfig {
        full_scan_servers_max: usize::MAX,
        ..EndpointConfig::default()
    };
    let scans_all = PolicyConfig {
        endpoints: whole_list,
        ..config(1_400.0)
    };
    let (mut by_default, mut always_scanned) = (balancer(1, 3), balancer_with(1, 3, scans_all));
    for policy in [&mut by_default, &mut always_scanned] {
        policy.update_endpoints(T0, &list, true);
    }
    for id in 0..500 {
        let now = T0 + id * 20 * MS;
        let flow = of_group(now, id, &format!("g{}", id % 50));
        let utilization = |server_id: ServerId| 0.3 + (server_id % 7) as f64 * 0.05;
        let (placed_by_default, placed_always_scanned) = (
            place(&mut by_default, now, &flow, utilization),
            place(&mut always_scanned, now, &flow, utilization),
        );
        assert_eq!(placed_by_default, placed_always_scanned, "flow {id}");
        let connected = PolicyEvent::Connected {
            flow: id,
            connect_duration: MS,
        };
        assert_eq!(
            by_default.on_event(now, connected),
            always_scanned.on_event(now, connected),
            "flow {id}"
        );
    }
}

/// Guards against servers that are lost, or stay although removed, when the list passes the length
/// up to which it is scanned in full.
#[test]
fn flows_go_to_listed_servers_while_the_list_grows_and_shrinks_past_the_limit() {
    let mut policy = balancer(1, 3);
    for (step, count) in [150, 600, 180, 6_000, 1, 201, 200].into_iter().enumerate() {
        let now = T0 + step as Time * 30 * SEC;
        policy.update_endpoints(now, &servers(count), true);
        for id in 0..20 {
            let now = now + id * 100 * MS;
            let id = step as u64 * 100 + id;
            let (placement, _) = place(
                &mut policy,
                now,
                &of_group(now, id, &format!("g{id}")),
                |_| 0.2,
            );
            assert!(
                matches!(placement, Placement::Forward { server_id, .. } if server_id < count),
                "{count} servers: {placement:?}"
            );
            policy.on_event(
                now,
                PolicyEvent::Connected {
                    flow: id,
                    connect_duration: MS,
                },
            );
        }
    }
}

/// Guards against a large group that fills a single server.
#[test]
fn group_with_many_own_connections_spreads_over_a_bounded_number_of_servers() {
    let mut policy = balancer(1, 3);
    policy.update_endpoints(T0, &servers(6_000), true);
    let mut placed: BTreeMap<ServerId, usize> = BTreeMap::new();
    for id in 0..300 {
        let now = T0 + id * 200 * MS;
        let (placement, _) = place(&mut policy, now, &of_group(now, id, "largest"), |_| 0.3);
        let Placement::Forward { server_id, .. } = placement else {
            panic!("flow {id}: {placement:?}")
        };
        policy.on_event(
            now,
            PolicyEvent::Connected {
                flow: id,
                connect_duration: MS,
            },
        );
        *placed.entry(server_id).or_default() += 1;
    }
    assert!(
        placed.len() > 1 && placed.len() <= CONSIDERED_MAX,
        "{placed:?}"
    );
}
