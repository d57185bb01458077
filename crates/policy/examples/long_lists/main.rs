//! Measurements of the policy on long endpoint lists, with synthetic flows in virtual time and
//! without sockets.
//!
//! - `place`: processor time of a placement and number of health checks, by number of servers.
//! - `spread`: evenness with which many balancers spread connections over servers.
//! - `state SERVERS whole|candidates`: memory of a single balancer.
//!
//! `place` and `spread` print the results for the whole list and for candidates side by side.

mod place;
mod spread;

use nettlemux_policy::*;

/// Own connections of the balancer.
const OWN_CONNECTIONS: usize = 44_000;
/// Groups that connections belong to.
const GROUPS: u64 = 730_000;
/// Balancers of the largest deployment.
const BALANCERS: f64 = 1_400.0;
/// Servers in a zone of the largest deployment, which has 6,000 servers in 31 zones.
const SERVERS_IN_ZONE: u64 = 194;
/// Cost of a health check as a fraction of a flow's value.
const HEALTH_CHECK_COST: f64 = 0.01;
/// Virtual time at which measurements start.
const T0: Time = 1_000 * SEC;

/// The part of the list that a placement scans.
#[derive(Clone, Copy, PartialEq)]
enum ListView {
    Whole,
    Candidates,
}

impl ListView {
    const BOTH: [ListView; 2] = [ListView::Whole, ListView::Candidates];

    /// Returns the name, padded to the width of the longest one.
    fn name(self) -> &'static str {
        match self {
            ListView::Whole => "whole     ",
            ListView::Candidates => "candidates",
        }
    }
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("place") => place::measure_placements(),
        Some("spread") => spread::spread(),
        Some("state") => measure_memory(),
        _ => eprintln!("usage: long_lists place | spread | state SERVERS whole|candidates"),
    }
}

fn traffic_class() -> TrafficClass {
    TrafficClass {
        number: 0,
        latency_objective: 230 * MS,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    }
}

fn endpoint(server_id: ServerId, zones: u64) -> Endpoint {
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
        endpoints.full_scan_servers_max = usize::MAX;
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
            cost_per_check: HEALTH_CHECK_COST,
        },
        slow_start: SlowStartConfig {
            initial_capacity_fraction: 0.2,
            warm_up: 20 * SEC,
            overload_multiple: 2.5,
            overload_window: 3 * SEC,
        },
        ..PolicyConfig::default()
    };
    Policy::new(seed, zone, config)
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4_096
}

/// Prints the memory of the endpoint list and of own connections.
fn measure_memory() {
    let arguments: Vec<String> = std::env::args().skip(2).collect();
    let servers: u64 = arguments
        .first()
        .and_then(|servers| servers.parse().ok())
        .unwrap_or(6_000);
    let view = match arguments.get(1) {
        Some(name) if name == "whole" => ListView::Whole,
        _ => ListView::Candidates,
    };
    let before = resident_bytes();
    let mut policy = balancer(7, 0, BALANCERS, view);
    let zones = servers.div_ceil(SERVERS_IN_ZONE);
    let list: Vec<Endpoint> = (0..servers)
        .map(|server_id| endpoint(server_id, zones))
        .collect();
    policy.update_endpoints(T0, &list, true);
    let with_list = resident_bytes();
    for id in 0..OWN_CONNECTIONS as FlowId {
        let group = Some(format!("g{}", id * 7 % GROUPS));
        policy.adopt_connection(
            &Flow {
                id,
                class: traffic_class(),
                group,
                ..Flow::default()
            },
            id % servers,
        );
    }
    println!(
        "{servers} servers: {} KB, {OWN_CONNECTIONS} own connections: {} KB",
        (with_list - before) >> 10,
        (resident_bytes() - with_list) >> 10
    );
}
