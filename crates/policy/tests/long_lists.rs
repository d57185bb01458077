//! Lists too long to be looked at whole: what is looked at, asked and kept, by counts.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use nettlemux_candidates::ZoneReach;
use nettlemux_policy::*;

/// The longest list that is looked at whole, and the most candidates of a flow without connections
/// of its group.
const WHOLE: u64 = 200;
const FEW: usize = 16;
/// The most servers that any flow may turn among: candidates and own holders of its group.
const MOST: usize = 96;

/// The settings of one of so many balancers whose health checks have a cost.
fn config(balancers: f64) -> PolicyConfig {
    PolicyConfig {
        balancers,
        health_checks: health_checks(0.01),
        ..common::config()
    }
}

fn balancer(seed: u64, zone: u64) -> Policy {
    balancer_with(seed, zone, config(1_400.0))
}

fn balancer_with(seed: u64, zone: u64, config: PolicyConfig) -> Policy {
    Policy::new(
        seed,
        zone,
        vec![traffic_class(Idempotency::Idempotent)],
        config,
    )
}

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

/// Places a flow, lets servers answer what they are asked, and returns where it went and who was
/// asked.
fn place(
    policy: &mut Policy,
    mut now: Time,
    flow: &Flow,
    utilization: impl Fn(ServerId) -> f64,
) -> (Placement, Vec<ServerId>) {
    let mut asked = Vec::new();
    loop {
        let answer = policy.place(now, flow);
        if answer != Placement::Wait {
            return (answer, asked);
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
        asked.extend(checks);
        now += 60 * MS;
    }
}

/// Where these groups go at a balancer that holds nothing else.
fn homes(list: &[Endpoint], seed: u64, groups: &[String]) -> Vec<ServerId> {
    let mut policy = balancer(seed, 3);
    policy.update_endpoints(T0, list, true);
    let mut homes = Vec::new();
    for (id, group) in groups.iter().enumerate() {
        let (now, id) = (T0 + id as Time * SEC, id as FlowId);
        let (answer, _) = place(&mut policy, now, &of_group(now, id, group), |_| 0.3);
        let Placement::Forward { server_id, .. } = answer else {
            panic!("{group}: {answer:?}")
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

fn names(count: u64) -> Vec<String> {
    (0..count).map(|group| format!("g{group}")).collect()
}

#[test]
fn a_groups_flows_go_to_a_bounded_number_of_servers_however_long_the_list() {
    for count in [WHOLE + 1, 600, 12_000] {
        let list = servers(count);
        let went: BTreeSet<ServerId> = (0..15)
            .flat_map(|seed| homes(&list, seed, &names(1)))
            .collect();
        assert!(went.len() <= FEW, "{count} servers: {went:?}");
    }
}

#[test]
fn flows_without_a_group_spread_evenly_over_the_own_zone() {
    let list = servers(6_000);
    // Zone 3 has 194 servers.
    let mut went: BTreeMap<ServerId, usize> = BTreeMap::new();
    for seed in 0..10 {
        let mut policy = balancer(seed, 3);
        policy.update_endpoints(T0, &list, true);
        for id in 0..200 {
            let now = T0 + id * 200 * MS;
            let (answer, _) = place(&mut policy, now, &flow(now, id), |_| 0.3);
            let Placement::Forward { server_id, .. } = answer else {
                panic!("flow {id}: {answer:?}")
            };
            policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
            *went.entry(server_id).or_default() += 1;
        }
    }
    assert!(went.keys().all(|server_id| server_id % 31 == 3), "{went:?}");
    // Some ten flows each; a fixed subset of 36 servers for each balancer left many with none or
    // thirty.
    let most = went.values().max().expect("some");
    assert!(
        went.len() >= 190 && *most <= 20,
        "{} servers, {most} at most",
        went.len()
    );
}

#[test]
fn balancers_agree_where_a_group_goes_though_their_lists_differ_by_some_entries() {
    let list = servers(6_000);
    let other: Vec<Endpoint> = list
        .iter()
        .filter(|server| server.server_id % 200 != 17)
        .copied()
        .collect();
    let (one, two) = (homes(&list, 1, &names(100)), homes(&other, 2, &names(100)));
    let same = one.iter().zip(&two).filter(|(one, two)| one == two).count();
    assert!(same >= 95, "{same} of 100");
}

#[test]
fn candidates_that_are_all_full_let_the_whole_list_be_looked_at_but_seldom() {
    let list = servers(600);
    let mut long = nettlemux_candidates::CandidateSet::default();
    list.iter()
        .for_each(|server| long.insert(server.server_id, server.zone, server.weight));
    // Few other balancers, as each attempt here is taken for one of each of them.
    let mut policy = balancer_with(1, 3, config(4.0));
    policy.update_endpoints(T0, &list, true);
    let roomy = |server_id: &ServerId| (500..510).contains(server_id);
    for server_id in 0..600 {
        let report = load_report(if roomy(&server_id) { 0.1 } else { 0.79 });
        policy.on_event(
            T0,
            PolicyEvent::HealthChecked {
                server_id,
                passed: true,
                report,
            },
        );
    }
    // Groups that have none of those with room among their candidates.
    let key = |name: &String| nettlemux_candidates::hash_name(name);
    let away = |name: &String| {
        !long
            .scope(key(name), 3, ZoneReach::AllZones, [].into_iter())
            .iter()
            .any(roomy)
    };
    let groups: Vec<String> = names(200).into_iter().filter(away).take(20).collect();
    assert_eq!(groups.len(), 20);
    let mut placed = Vec::new();
    for (id, group) in groups.iter().enumerate() {
        let (id, now) = (id as FlowId, T0 + (1 + id as Time) * MS);
        if let Placement::Forward { server_id, .. } = policy.place(now, &of_group(now, id, group)) {
            policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
            placed.push(server_id);
        }
    }
    assert!(placed.iter().all(roomy), "{placed:?}");
    assert_eq!(
        placed.len(),
        2,
        "as often as the whole list may be looked at: {placed:?}"
    );
}

#[test]
fn health_checks_keep_within_their_budget_however_many_servers_and_flows_there_are() {
    for count in [600, 6_000] {
        let mut policy = balancer(1, 3);
        policy.update_endpoints(T0, &servers(count), true);
        for id in 0..20_000 {
            policy.adopt_connection(&of_group(T0, 100_000 + id, &format!("g{id}")), id % count);
        }
        let (mut checks, mut unasked) = (0, 0);
        for step in 0..2_000 {
            let now = T0 + step * 10 * MS;
            // Nobody waits: these are for servers with own connections, all of them overloaded,
            // which are to be asked again soon.
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
                unasked += 1;
            }
            if step % 20 == 0 {
                let flow = of_group(now, step, &format!("h{step}"));
                let (answer, asked) = place(&mut policy, now, &flow, |_| 0.3);
                assert!(matches!(answer, Placement::Forward { .. }), "{answer:?}");
                policy.on_event(
                    now,
                    PolicyEvent::Connected {
                        flow: step,
                        took: MS,
                    },
                );
                checks += asked.len();
            }
        }
        checks += unasked;
        assert!(
            unasked > 20,
            "{count} servers: {unasked} checks that no flow waits for"
        );
        // 20 s of ten a second, and ten at once at the start; flows alone get half of it at most.
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

#[test]
fn an_overloaded_server_is_checked_again_before_others_and_migrates() {
    let mut policy = balancer(1, 3);
    policy.update_endpoints(T0, &servers(600), true);
    for id in 0..6_000 {
        policy.adopt_connection(&of_group(T0, id, &format!("g{id}")), id % 600);
    }
    let utilization = |server_id: ServerId| if server_id == 77 { 1.2 } else { 0.3 };
    let (mut times, mut shed) = (0, 0);
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
            times += usize::from(server_id == 77);
            shed += policy
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
        (7..=10).contains(&times),
        "every 2 s for 20 s: {times} times"
    );
    assert!(shed > 0);
}

#[test]
fn a_server_that_drains_or_goes_is_no_candidate_from_that_news_on() {
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
            let place = place(&mut policy, now, &of_group(now, id, "one"), |_| 0.3).0;
            assert!(
                matches!(place, Placement::Forward { server_id, .. } if server_id != first),
                "{state:?}: {place:?}"
            );
            policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
        }
    }
}

#[test]
fn a_list_of_200_is_treated_whole_and_a_switch_makes_no_difference_there() {
    let list = servers(WHOLE);
    let whole_list = EndpointConfig {
        whole_list_max: usize::MAX,
        ..EndpointConfig::default()
    };
    let looks_at_all = PolicyConfig {
        endpoints: whole_list,
        ..config(1_400.0)
    };
    let (mut one, mut other) = (balancer(1, 3), balancer_with(1, 3, looks_at_all));
    for policy in [&mut one, &mut other] {
        policy.update_endpoints(T0, &list, true);
    }
    for id in 0..500 {
        let now = T0 + id * 20 * MS;
        let flow = of_group(now, id, &format!("g{}", id % 50));
        let utilization = |server_id: ServerId| 0.3 + (server_id % 7) as f64 * 0.05;
        let (a, b) = (
            place(&mut one, now, &flow, utilization),
            place(&mut other, now, &flow, utilization),
        );
        assert_eq!(a, b, "flow {id}");
        let ends = PolicyEvent::Connected { flow: id, took: MS };
        assert_eq!(
            one.on_event(now, ends),
            other.on_event(now, ends),
            "flow {id}"
        );
    }
}

#[test]
fn a_list_that_grows_and_shrinks_past_the_limit_loses_nothing() {
    let mut policy = balancer(1, 3);
    for (step, count) in [150, 600, 180, 6_000, 1, 201, 200].into_iter().enumerate() {
        let now = T0 + step as Time * 30 * SEC;
        policy.update_endpoints(now, &servers(count), true);
        for id in 0..20 {
            let now = now + id * 100 * MS;
            let id = step as u64 * 100 + id;
            let (place, _) = place(
                &mut policy,
                now,
                &of_group(now, id, &format!("g{id}")),
                |_| 0.2,
            );
            assert!(
                matches!(place, Placement::Forward { server_id, .. } if server_id < count),
                "{count} servers: {place:?}"
            );
            policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
        }
    }
}

#[test]
fn a_topic_with_many_connections_here_spreads_over_more_servers() {
    let mut policy = balancer(1, 3);
    policy.update_endpoints(T0, &servers(6_000), true);
    let mut went: BTreeMap<ServerId, usize> = BTreeMap::new();
    for id in 0..300 {
        let now = T0 + id * 200 * MS;
        let (place, _) = place(&mut policy, now, &of_group(now, id, "largest"), |_| 0.3);
        let Placement::Forward { server_id, .. } = place else {
            panic!("flow {id}: {place:?}")
        };
        policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
        *went.entry(server_id).or_default() += 1;
    }
    assert!(went.len() > 1 && went.len() <= MOST, "{went:?}");
}
