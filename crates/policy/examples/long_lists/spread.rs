//! Measures how evenly balancers spread connections. The fleet is scaled down from the largest
//! deployment, with about as many connections per group and group members per zone.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use nettlemux_policy::*;

use crate::{ListView, T0, balancer, endpoint, traffic_class};

const SERVERS: u64 = 600;
const BALANCERS: u64 = 42;
const ZONES: u64 = 6;
const CONNECTIONS: u64 = 40_000;
const GROUPS: u64 = 500;
/// Mean utilization of the servers at the end.
const FINAL_UTILIZATION: f64 = 0.4;
/// Utilization that one connection adds to its server.
const UTILIZATION_PER_CONNECTION: f64 = FINAL_UTILIZATION * SERVERS as f64 / CONNECTIONS as f64;

/// Whether the flows of a measurement have a group.
#[derive(Clone, Copy, PartialEq)]
enum Grouping {
    Grouped,
    Ungrouped,
}

/// The result of one measurement.
struct Spread {
    /// Connections of each server.
    connections: Vec<f64>,
    /// Servers that hold each group.
    holders: BTreeMap<u64, BTreeSet<ServerId>>,
    not_placed: usize,
}

/// Prints how evenly balancers spread connections, with groups and without, for the whole list and
/// for candidates.
pub fn spread() {
    println!("{SERVERS} servers, {BALANCERS} balancers, {ZONES} zones, {CONNECTIONS} connections");
    println!("groups  list        max/mean  deviation/mean  servers per group  not placed");
    for grouping in [Grouping::Grouped, Grouping::Ungrouped] {
        for view in ListView::BOTH {
            print_spread(grouping, view, &measure_spread(grouping, view));
        }
    }
}

/// Places connections one after the other, each at a balancer drawn at random.
fn measure_spread(grouping: Grouping, view: ListView) -> Spread {
    let mut rng = WyRand::new_seed(5);
    let mut fleet = spread_fleet(view);
    let mut spread = Spread {
        connections: vec![0.0; SERVERS as usize],
        holders: BTreeMap::new(),
        not_placed: 0,
    };
    let mut now = T0;
    for id in 0..CONNECTIONS {
        now += 600 * SEC / CONNECTIONS;
        let policy = &mut fleet[rng.generate_range(0..BALANCERS) as usize];
        let group = rng.generate_range(0..GROUPS);
        let flow = Flow {
            id,
            class: traffic_class(),
            group: (grouping == Grouping::Grouped).then(|| format!("g{group}")),
            accepted_at: now,
            deadline: now + 2 * SEC,
            ..Flow::default()
        };
        match place_with_reports(policy, now, &flow, &spread.connections) {
            Some((at, server_id)) => {
                policy.on_event(
                    at,
                    PolicyEvent::Connected {
                        flow: id,
                        connect_duration: MS,
                    },
                );
                spread.connections[server_id as usize] += 1.0;
                spread.holders.entry(group).or_default().insert(server_id);
            }
            None => spread.not_placed += 1,
        }
    }
    spread
}

/// Returns the balancers of a measurement, all with the same list.
fn spread_fleet(view: ListView) -> Vec<Policy> {
    let list: Vec<Endpoint> = (0..SERVERS)
        .map(|server_id| endpoint(server_id, ZONES))
        .collect();
    let zone_balancer = |seed| {
        let mut policy = balancer(seed, seed % ZONES, BALANCERS as f64, view);
        policy.update_endpoints(T0, &list, true);
        policy
    };
    (0..BALANCERS).map(zone_balancer).collect()
}

/// Places a flow while servers report their connections. Returns when and where it was placed, or
/// `None` if it was rejected or failed.
fn place_with_reports(
    policy: &mut Policy,
    mut now: Time,
    flow: &Flow,
    connections: &[f64],
) -> Option<(Time, ServerId)> {
    loop {
        expire_timer(policy, now, connections);
        match policy.place(now, flow) {
            Placement::Forward { server_id, .. } => return Some((now, server_id)),
            Placement::Wait => now += QUEUE_RECHECK_INTERVAL,
            _ => return None,
        }
    }
}

fn print_spread(grouping: Grouping, view: ListView, spread: &Spread) {
    let servers = spread.connections.len() as f64;
    let mean = spread.connections.iter().sum::<f64>() / servers;
    let most = spread.connections.iter().copied().fold(0.0, f64::max);
    let squares = spread
        .connections
        .iter()
        .map(|connections| (connections - mean).powi(2));
    let deviation = (squares.sum::<f64>() / servers).sqrt();
    let holders = spread.holders.values().map(|servers| servers.len() as f64);
    let mean_holders = holders.sum::<f64>() / spread.holders.len() as f64;
    println!(
        "{:<6}  {}  {:>8.2}  {:>14.3}  {mean_holders:>17.1}  {:>10}",
        match grouping {
            Grouping::Grouped => "yes",
            Grouping::Ungrouped => "none",
        },
        view.name(),
        most / mean,
        deviation / mean,
        spread.not_placed,
    );
}

/// Expires the policy's timer, and answers the health checks that follow with the connections of
/// servers at this moment.
fn expire_timer(policy: &mut Policy, now: Time, connections: &[f64]) {
    let mut checks = policy
        .on_event(now, PolicyEvent::TimerExpired)
        .health_checks;
    while let Some(server_id) = checks.pop() {
        let count = connections[server_id as usize];
        let report = LoadReport {
            utilization: Some(count * UTILIZATION_PER_CONNECTION),
            connections: Some(count),
        };
        checks.extend(
            policy
                .on_event(
                    now,
                    PolicyEvent::HealthChecked {
                        server_id,
                        passed: true,
                        report,
                    },
                )
                .health_checks,
        );
    }
}
