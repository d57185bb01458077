//! Trials of the policy alone on long lists, without sockets: synthetic, in its own time.
//!
//! `place`: what a placement costs in processor time, and how many health checks go out, by number
//! of servers.
//! `spread`: how evenly many balancers together spread connections over servers.
//! `state SERVERS whole|candidates`: memory of one balancer, alone in its process.
//! The first two print the whole list and the candidates side by side.

mod place;
mod spread;

use nettlemux_policy::*;

/// Own connections of the balancer.
const OWN_CONNECTIONS: usize = 44_000;
/// Groups of which connections are.
const GROUPS: u64 = 730_000;
/// Balancers of the largest deployment.
const BALANCERS: f64 = 1_400.0;
/// As in the largest deployment: 6,000 servers in 31 zones.
const SERVERS_IN_ZONE: u64 = 194;
/// What a health check costs, in flows.
const HEALTH_CHECK_COST: f64 = 0.01;
/// When trials begin.
const T0: Time = 1_000 * SEC;

/// How much of the list a placement looks at.
#[derive(Clone, Copy, PartialEq)]
enum ListView {
    Whole,
    Candidates,
}

impl ListView {
    const BOTH: [ListView; 2] = [ListView::Whole, ListView::Candidates];

    /// The name, as wide as the longest.
    fn name(self) -> &'static str {
        match self {
            ListView::Whole => "whole     ",
            ListView::Candidates => "candidates",
        }
    }
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("place") => place::places(),
        Some("spread") => spread::spread(),
        Some("state") => state(),
        _ => eprintln!("usage: long_lists place | spread | state SERVERS whole|candidates"),
    }
}

fn class() -> TrafficClass {
    TrafficClass {
        latency_objective: 230 * MS,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    }
}

fn listed(server_id: ServerId, zones: u64) -> Endpoint {
    Endpoint {
        server_id,
        zone: server_id % zones,
        machine: 0,
        cell: server_id,
        state: EndpointState::Ready,
        weight: 1.0,
        started: 0,
    }
}

fn balancer(seed: u64, zone: u64, balancers: f64, view: ListView) -> Policy {
    let mut endpoints = EndpointConfig::default();
    if view == ListView::Whole {
        endpoints.whole_list_max = usize::MAX;
    }
    let config = PolicyConfig {
        balancers,
        endpoints,
        retry: RetryConfig {
            attempts_max: 3,
            deadline_margin: 4 * MS,
            allow_hedging: false,
            allow_cancellation: true,
        },
        shedding: SheddingConfig {
            retry_after_max: Some(2 * SEC),
            ..SheddingConfig::default()
        },
        health_checks: HealthCheckConfig {
            enabled: true,
            cost: HEALTH_CHECK_COST,
        },
        slow_start: SlowStartConfig {
            initial_capacity_fraction: 0.2,
            warm_up: 20 * SEC,
            overload_multiple: 2.5,
            overload_window: 3 * SEC,
        },
        ..PolicyConfig::default()
    };
    Policy::new(seed, zone, vec![class()], config)
}

/// Memory in use, by the system.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4_096
}

fn state() {
    let arguments: Vec<String> = std::env::args().skip(2).collect();
    let servers: u64 = arguments
        .first()
        .and_then(|servers| servers.parse().ok())
        .unwrap_or(6_000);
    let view = match arguments.get(1) {
        Some(name) if name == "whole" => ListView::Whole,
        _ => ListView::Candidates,
    };
    let before = resident();
    let mut policy = balancer(7, 0, BALANCERS, view);
    let zones = servers.div_ceil(SERVERS_IN_ZONE);
    let list: Vec<Endpoint> = (0..servers)
        .map(|server_id| listed(server_id, zones))
        .collect();
    policy.update_endpoints(T0, &list, true);
    let listed = resident();
    for id in 0..OWN_CONNECTIONS as FlowId {
        let group = Some(format!("g{}", id * 7 % GROUPS));
        policy.adopt_connection(
            &Flow {
                id,
                group,
                ..Flow::default()
            },
            id % servers,
        );
    }
    println!(
        "{servers} servers: {} KB, {OWN_CONNECTIONS} own connections: {} KB",
        (listed - before) >> 10,
        (resident() - listed) >> 10
    );
}
