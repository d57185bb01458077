//! What a placement costs in processor time, and how many health checks go out.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Instant;

use nanorand::{Rng, WyRand};
use nettlemux_policy::*;

use crate::{BALANCERS, GROUPS, ListView, OWN_CONNECTIONS, SERVERS_IN_ZONE, T0, balancer, listed};

/// A connection lives for 18 minutes.
const FLOWS_PER_SECOND: u64 = 40;
/// How long each size is measured.
const SECONDS: Time = 15;

/// What the events of a trial cost.
#[derive(Default)]
struct EventCost {
    nanoseconds: u128,
    count: u128,
}

/// One balancer in its own time: what comes next, and what came of it.
struct Driver {
    policy: Policy,
    rng: WyRand,
    now: Time,
    /// Answers of servers that are under way, soonest first.
    answers: BinaryHeap<Reverse<(Time, ServerId)>>,
    held: VecDeque<(Flow, u128)>,
    established: VecDeque<(FlowId, ServerId)>,
    next_id: FlowId,
    /// Nanoseconds of all looks at a flow until it was placed, and of each single look.
    per_flow: Vec<u128>,
    per_look: Vec<u128>,
    health_checks: usize,
    refused: usize,
    /// Nanoseconds of all events, and their number.
    events: EventCost,
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
            events: EventCost::default(),
        };
        for _ in 0..OWN_CONNECTIONS.min(servers as usize * 220 / 3) {
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
        self.events.nanoseconds += began.elapsed().as_nanos();
        self.events.count += 1;
        self.health_checks += actions.health_checks.len();
        for server_id in actions.health_checks {
            self.answers.push(Reverse((self.now + 2 * MS, server_id)));
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

fn median(of: &mut [u128]) -> f64 {
    of.sort_unstable();
    of.get(of.len() / 2).map_or(f64::NAN, |ns| *ns as f64 / 1e3)
}

/// Prints the cost of placements by number of servers, both ways.
pub fn places() {
    println!(
        "servers  list        place us  all looks of a flow us  checks/s  event us  placed  refused"
    );
    for servers in [60, 200, 600, 3_000, 6_000, 12_000] {
        for view in ListView::BOTH {
            let mut driver = Driver::new(servers, view);
            let gap = SEC / FLOWS_PER_SECOND;
            for step in 0..SECONDS * FLOWS_PER_SECOND {
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
                driver.events.nanoseconds as f64 / driver.events.count.max(1) as f64 / 1e3,
                driver.per_flow.len(),
                driver.refused,
            );
        }
    }
}
