//! Trials of the policy alone on long lists, without sockets: synthetic, in its own time.
//!
//! `place`: what a placement costs in processor time, and how many health checks go out, by number
//! of servers.
//! `spread`: how evenly many balancers together spread connections over servers.
//! `state SERVERS whole|candidates`: memory of one balancer, alone in its process.
//! The first two print the whole list and the candidates side by side.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Instant;

use nanorand::{Rng, WyRand};
use nettlemux_policy::*;

const OWN: usize = 44_000;
const GROUPS: u64 = 730_000;
const BALANCERS: f64 = 1_400.0;
/// As in the largest deployment: 6,000 servers in 31 zones.
const SERVERS_IN_ZONE: u64 = 194;
/// A connection lives for 18 minutes.
const FLOWS_A_SECOND: u64 = 40;
/// What a health check costs, in flows.
const HEALTH_CHECK_COST: f64 = 0.01;
const SECONDS: Time = 15;
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
        Some("place") => places(),
        Some("spread") => spread(),
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

/// One balancer in its own time: what comes next, and what came of it.
struct Driver {
    policy: Policy,
    rng: WyRand,
    now: Time,
    /// Answers of servers that are under way, soonest first.
    answers: BinaryHeap<std::cmp::Reverse<(Time, ServerId)>>,
    held: VecDeque<(Flow, u128)>,
    established: VecDeque<(FlowId, ServerId)>,
    next_id: FlowId,
    /// Nanoseconds of all looks at a flow until it was placed, and of each single look.
    per_flow: Vec<u128>,
    per_look: Vec<u128>,
    health_checks: usize,
    refused: usize,
    outcomes: (u128, u128),
}

impl Driver {
    fn new(servers: u64, view: ListView) -> Self {
        let zones = servers.div_ceil(SERVERS_IN_ZONE);
        let mut policy = balancer(7, 0, BALANCERS, view);
        let list: Vec<Endpoint> = (0..servers)
            .map(|server_id| listed(server_id, zones))
            .collect();
        policy.update_endpoints(T0, &list, true);
        let mut driver = Driver {
            policy,
            rng: WyRand::new_seed(11),
            now: T0,
            answers: BinaryHeap::new(),
            held: VecDeque::new(),
            established: VecDeque::new(),
            next_id: 0,
            per_flow: Vec::new(),
            per_look: Vec::new(),
            health_checks: 0,
            refused: 0,
            outcomes: (0, 0),
        };
        for _ in 0..OWN.min(servers as usize * 220 / 3) {
            let (flow, server_id) = (driver.flow(), driver.rng.generate_range(0..servers));
            driver.policy.adopt_connection(&flow, server_id);
            driver.established.push_back((flow.id, server_id));
        }
        driver
    }

    fn flow(&mut self) -> Flow {
        self.next_id += 1;
        let group = Some(format!("g{}", self.rng.generate_range(0..GROUPS)));
        Flow {
            id: self.next_id,
            group,
            accepted_at: self.now,
            deadline: self.now + 2 * SEC,
            ..Flow::default()
        }
    }

    fn event(&mut self, event: PolicyEvent) {
        let began = Instant::now();
        let actions = self.policy.on_event(self.now, event);
        self.outcomes.0 += began.elapsed().as_nanos();
        self.outcomes.1 += 1;
        self.health_checks += actions.health_checks.len();
        for server_id in actions.health_checks {
            self.answers
                .push(std::cmp::Reverse((self.now + 2 * MS, server_id)));
        }
    }

    fn place(&mut self, flow: Flow, spent: u128) {
        let began = Instant::now();
        let place = self.policy.place(self.now, &flow);
        let took = began.elapsed().as_nanos();
        match place {
            Placement::Wait => self.held.push_back((flow, spent + took)),
            Placement::Forward { server_id, .. } => {
                self.per_look.push(took);
                self.per_flow.push(spent + took);
                self.event(PolicyEvent::Connected {
                    flow: flow.id,
                    took: MS,
                });
                self.established.push_back((flow.id, server_id));
                let (flow, server_id) = self.established.pop_front().expect("one at least");
                self.event(PolicyEvent::AttemptEnded {
                    flow,
                    server_id,
                    end: AttemptEnd::Done,
                    unanswered: None,
                });
            }
            _ => self.refused += 1,
        }
    }

    /// Plays until then: answers to health checks, and timers that expire.
    fn until(&mut self, end: Time) {
        loop {
            let answer = self.answers.peek().map(|answer| answer.0.0);
            let wait = self
                .policy
                .time_to_next_timer(self.now)
                .map(|wait| self.now + wait);
            let Some(next) = [answer, wait]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at < end)
            else {
                break;
            };
            self.now = self.now.max(next);
            if answer == Some(next) {
                let server_id = self.answers.pop().expect("seen").0.1;
                let utilization = 0.42 + 0.06 * self.rng.generate::<f64>();
                let report = LoadReport {
                    utilization: Some(utilization),
                    connections: Some(10_000.0),
                };
                self.event(PolicyEvent::HealthChecked {
                    server_id,
                    passed: true,
                    report,
                });
            } else {
                self.event(PolicyEvent::TimerExpired);
                for (flow, spent) in std::mem::take(&mut self.held) {
                    self.place(flow, spent);
                }
            }
        }
        self.now = end;
    }
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
    for id in 0..OWN as FlowId {
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
        "{servers} servers: {} KB, {OWN} own connections: {} KB",
        (listed - before) >> 10,
        (resident() - listed) >> 10
    );
}

fn median(of: &mut [u128]) -> f64 {
    of.sort_unstable();
    of.get(of.len() / 2).map_or(f64::NAN, |ns| *ns as f64 / 1e3)
}

fn places() {
    println!(
        "servers  list        place us  all looks of a flow us  checks/s  event us  placed  refused"
    );
    for servers in [60, 200, 600, 3_000, 6_000, 12_000] {
        for view in ListView::BOTH {
            let mut driver = Driver::new(servers, view);
            let gap = SEC / FLOWS_A_SECOND;
            for step in 0..SECONDS * FLOWS_A_SECOND {
                driver.until(T0 + step * gap);
                let flow = driver.flow();
                driver.place(flow, 0);
            }
            println!(
                "{servers:>7}  {}  {:>8.1}  {:>22.1}  {:>8.1}  {:>8.1}  {:>6}  {:>7}",
                view.name(),
                median(&mut driver.per_look),
                median(&mut driver.per_flow),
                driver.health_checks as f64 / SECONDS as f64,
                driver.outcomes.0 as f64 / driver.outcomes.1.max(1) as f64 / 1e3,
                driver.per_flow.len(),
                driver.refused,
            );
        }
    }
}

/// Servers, balancers, zones, connections and groups of the trial of even spread: scaled down, with
/// about as many connections a group and group members a zone as in the largest deployment.
const SPREAD: (u64, u64, u64, u64, u64) = (600, 42, 6, 40_000, 500);

fn spread() {
    let (servers, balancers, zones, connections, groups) = SPREAD;
    println!("{servers} servers, {balancers} balancers, {zones} zones, {connections} connections");
    println!("groups  list        max/mean  deviation/mean  servers a group  not placed");
    for grouped in [true, false] {
        for view in ListView::BOTH {
            let mut rng = WyRand::new_seed(5);
            let list: Vec<Endpoint> = (0..servers)
                .map(|server_id| listed(server_id, zones))
                .collect();
            let mut fleet: Vec<Policy> = (0..balancers)
                .map(|seed| balancer(seed, seed % zones, balancers as f64, view))
                .collect();
            fleet
                .iter_mut()
                .for_each(|policy| policy.update_endpoints(T0, &list, true));
            let mut held = vec![0.0; servers as usize];
            let mut of_group: BTreeMap<u64, std::collections::BTreeSet<ServerId>> = BTreeMap::new();
            let (mut now, mut lost) = (T0, 0);
            // At the end the mean server is asked for 0.4 of what it can do.
            let each = 0.4 * servers as f64 / connections as f64;
            for id in 0..connections {
                now += 600 * SEC / connections;
                let policy = &mut fleet[rng.generate_range(0..balancers) as usize];
                let group = rng.generate_range(0..groups);
                let name = grouped.then(|| format!("g{group}"));
                let mut flow = Flow {
                    id,
                    group: name,
                    accepted_at: now,
                    ..Flow::default()
                };
                flow.deadline = now + 2 * SEC;
                let mut at = now;
                let placed = loop {
                    answer(policy, at, &held, each);
                    match policy.place(at, &flow) {
                        Placement::Forward { server_id, .. } => break Some(server_id),
                        Placement::Wait => at += QUEUE_RECHECK_INTERVAL,
                        _ => break None,
                    }
                };
                let Some(server_id) = placed else {
                    lost += 1;
                    continue;
                };
                policy.on_event(at, PolicyEvent::Connected { flow: id, took: MS });
                held[server_id as usize] += 1.0;
                of_group.entry(group).or_default().insert(server_id);
            }
            let mean = held.iter().sum::<f64>() / servers as f64;
            let most = held.iter().copied().fold(0.0, f64::max);
            let deviation =
                held.iter().map(|held| (held - mean).powi(2)).sum::<f64>() / servers as f64;
            println!(
                "{:<6}  {}  {:>8.2}  {:>14.3}  {:>15.1}  {lost:>10}",
                if grouped { "yes" } else { "none" },
                view.name(),
                most / mean,
                deviation.sqrt() / mean,
                of_group
                    .values()
                    .map(|servers| servers.len() as f64)
                    .sum::<f64>()
                    / of_group.len() as f64,
            );
        }
    }
}

/// The wait elapses, and what is asked of servers then is answered with what they hold at this
/// moment.
fn answer(policy: &mut Policy, now: Time, held: &[f64], each: f64) {
    let mut asked = policy
        .on_event(now, PolicyEvent::TimerExpired)
        .health_checks;
    while let Some(server_id) = asked.pop() {
        let count = held[server_id as usize];
        let report = LoadReport {
            utilization: Some(count * each),
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
