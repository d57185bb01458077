//! The trial of even spread: scaled down, with about as many connections a group and group members
//! a zone as in the largest deployment.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use nettlemux_policy::*;

use crate::{ListView, T0, balancer, listed};

const SERVERS: u64 = 600;
const BALANCERS: u64 = 42;
const ZONES: u64 = 6;
const CONNECTIONS: u64 = 40_000;
const GROUPS: u64 = 500;
/// Mean utilization of the servers at the end.
const FINAL_UTILIZATION: f64 = 0.4;
/// Utilization that one connection brings.
const UTILIZATION_PER_CONNECTION: f64 = FINAL_UTILIZATION * SERVERS as f64 / CONNECTIONS as f64;

/// Whether the flows of a trial have a group.
#[derive(Clone, Copy, PartialEq)]
enum Grouping {
    Grouped,
    Ungrouped,
}

/// What came of one trial of even spread.
struct Spread {
    /// Connections of each server.
    held: Vec<f64>,
    /// Servers that hold each group.
    by_group: BTreeMap<u64, BTreeSet<ServerId>>,
    not_placed: usize,
}

/// Prints how evenly balancers spread connections, with groups and without, both ways.
pub fn spread() {
    println!("{SERVERS} servers, {BALANCERS} balancers, {ZONES} zones, {CONNECTIONS} connections");
    println!("groups  list        max/mean  deviation/mean  servers a group  not placed");
    for grouping in [Grouping::Grouped, Grouping::Ungrouped] {
        for view in ListView::BOTH {
            print_spread(grouping, view, &measure_spread(grouping, view));
        }
    }
}

/// Places connections one after the other by balancers that are drawn at random.
fn measure_spread(grouping: Grouping, view: ListView) -> Spread {
    let mut rng = WyRand::new_seed(5);
    let mut fleet = spread_fleet(view);
    let mut spread = Spread {
        held: vec![0.0; SERVERS as usize],
        by_group: BTreeMap::new(),
        not_placed: 0,
    };
    let mut now = T0;
    for id in 0..CONNECTIONS {
        now += 600 * SEC / CONNECTIONS;
        let policy = &mut fleet[rng.generate_range(0..BALANCERS) as usize];
        let group = rng.generate_range(0..GROUPS);
        let flow = Flow {
            id,
            group: (grouping == Grouping::Grouped).then(|| format!("g{group}")),
            accepted_at: now,
            deadline: now + 2 * SEC,
            ..Flow::default()
        };
        match place_with_reports(policy, now, &flow, &spread.held) {
            Some((at, server_id)) => {
                policy.on_event(at, PolicyEvent::Connected { flow: id, took: MS });
                spread.held[server_id as usize] += 1.0;
                spread.by_group.entry(group).or_default().insert(server_id);
            }
            None => spread.not_placed += 1,
        }
    }
    spread
}

/// The balancers of the trial, all with the same list.
fn spread_fleet(view: ListView) -> Vec<Policy> {
    let list: Vec<Endpoint> = (0..SERVERS)
        .map(|server_id| listed(server_id, ZONES))
        .collect();
    let one = |seed| {
        let mut policy = balancer(seed, seed % ZONES, BALANCERS as f64, view);
        policy.update_endpoints(T0, &list, true);
        policy
    };
    (0..BALANCERS).map(one).collect()
}

/// Places a flow, while servers report what they hold. Returns when and where it was placed.
fn place_with_reports(
    policy: &mut Policy,
    mut now: Time,
    flow: &Flow,
    held: &[f64],
) -> Option<(Time, ServerId)> {
    loop {
        answer(policy, now, held);
        match policy.place(now, flow) {
            Placement::Forward { server_id, .. } => return Some((now, server_id)),
            Placement::Wait => now += QUEUE_RECHECK_INTERVAL,
            _ => return None,
        }
    }
}

fn print_spread(grouping: Grouping, view: ListView, spread: &Spread) {
    let servers = spread.held.len() as f64;
    let mean = spread.held.iter().sum::<f64>() / servers;
    let most = spread.held.iter().copied().fold(0.0, f64::max);
    let squares = spread.held.iter().map(|held| (held - mean).powi(2));
    let deviation = (squares.sum::<f64>() / servers).sqrt();
    let group_sizes = spread.by_group.values().map(|servers| servers.len() as f64);
    let mean_group_size = group_sizes.sum::<f64>() / spread.by_group.len() as f64;
    println!(
        "{:<6}  {}  {:>8.2}  {:>14.3}  {mean_group_size:>15.1}  {:>10}",
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

/// The timer expires, and health checks are answered with what servers hold at this moment.
fn answer(policy: &mut Policy, now: Time, held: &[f64]) {
    let mut asked = policy
        .on_event(now, PolicyEvent::TimerExpired)
        .health_checks;
    while let Some(server_id) = asked.pop() {
        let count = held[server_id as usize];
        let report = LoadReport {
            utilization: Some(count * UTILIZATION_PER_CONNECTION),
            connections: Some(count),
        };
        asked.extend(
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
