//! Measures the processor time of placements and the number of health checks.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Instant;

use nanorand::{Rng, WyRand};
use nettlemux_policy::*;

use crate::{
    BALANCERS, GROUPS, ListView, OWN_CONNECTIONS, SERVERS_IN_ZONE, T0, balancer, endpoint,
    traffic_class,
};

/// New flows per second, at which connections last for 18 minutes.
const FLOWS_PER_SECOND: u64 = 40;
/// Virtual time in seconds for which each list length is measured.
const MEASURED_SECONDS: Time = 15;

/// The total processor time of events and their number.
#[derive(Default)]
struct EventCost {
    nanoseconds: u128,
    count: u128,
}

/// Drives one balancer in virtual time and records the results.
struct Driver {
    policy: Policy,
    rng: WyRand,
    now: Time,
    /// Arrival times of pending answers to health checks, earliest first.
    answers: BinaryHeap<Reverse<(Time, ServerId)>>,
    /// Flows that wait, with the nanoseconds that their placement has taken so far.
    queued: VecDeque<(Flow, u128)>,
    connected: VecDeque<(FlowId, ServerId)>,
    next_id: FlowId,
    /// Nanoseconds of all placement calls of each forwarded flow.
    per_flow: Vec<u128>,
    /// Nanoseconds of the last placement call of each forwarded flow.
    per_call: Vec<u128>,
    health_checks: usize,
    /// Flows that were rejected or failed.
    not_placed: usize,
    events: EventCost,
}

impl Driver {
    fn new(servers: u64, view: ListView) -> Self {
        let zones = servers.div_ceil(SERVERS_IN_ZONE);
        let mut policy = balancer(7, 0, BALANCERS, view);
        let list: Vec<Endpoint> = (0..servers)
            .map(|server_id| endpoint(server_id, zones))
            .collect();
        policy.update_endpoints(T0, &list, true);
        let mut driver = Driver {
            policy,
            rng: WyRand::new_seed(11),
            now: T0,
            answers: BinaryHeap::new(),
            queued: VecDeque::new(),
            connected: VecDeque::new(),
            next_id: 0,
            per_flow: Vec::new(),
            per_call: Vec::new(),
            health_checks: 0,
            not_placed: 0,
            events: EventCost::default(),
        };
        for _ in 0..OWN_CONNECTIONS.min(servers as usize * 220 / 3) {
            let (flow, server_id) = (driver.flow(), driver.rng.generate_range(0..servers));
            driver.policy.adopt_connection(&flow, server_id);
            driver.connected.push_back((flow.id, server_id));
        }
        driver
    }

    /// Returns a new flow of a random group.
    fn flow(&mut self) -> Flow {
        self.next_id += 1;
        let group = Some(format!("g{}", self.rng.generate_range(0..GROUPS)));
        Flow {
            id: self.next_id,
            class: traffic_class(),
            group,
            accepted_at: self.now,
            deadline: self.now + 2 * SEC,
            ..Flow::default()
        }
    }

    /// Passes an event to the policy and schedules the answers to the health checks that follow.
    fn handle_event(&mut self, event: PolicyEvent) {
        let began = Instant::now();
        let actions = self.policy.on_event(self.now, event);
        self.events.nanoseconds += began.elapsed().as_nanos();
        self.events.count += 1;
        self.health_checks += actions.health_checks.len();
        for server_id in actions.health_checks {
            self.answers.push(Reverse((self.now + 2 * MS, server_id)));
        }
    }

    /// Places a flow whose earlier placement calls took `spent` nanoseconds. If it is forwarded, it
    /// connects, and the oldest connection ends.
    fn place(&mut self, flow: Flow, spent: u128) {
        let began = Instant::now();
        let placement = self.policy.place(self.now, &flow);
        let took = began.elapsed().as_nanos();
        match placement {
            Placement::Wait => self.queued.push_back((flow, spent + took)),
            Placement::Forward { server_id, .. } => {
                self.per_call.push(took);
                self.per_flow.push(spent + took);
                self.handle_event(PolicyEvent::Connected {
                    flow: flow.id,
                    connect_duration: MS,
                });
                self.connected.push_back((flow.id, server_id));
                let (flow, server_id) = self.connected.pop_front().expect("no connection to end");
                self.handle_event(PolicyEvent::AttemptEnded {
                    flow,
                    server_id,
                    end: AttemptEnd::Done,
                    unanswered: None,
                });
            }
            _ => self.not_placed += 1,
        }
    }

    /// Advances the virtual time to `end`, with the answers to health checks and the timers that
    /// come due until then.
    fn advance_to(&mut self, end: Time) {
        loop {
            let answer = self.answers.peek().map(|answer| answer.0.0);
            let timer = self
                .policy
                .time_to_next_timer(self.now)
                .map(|wait| self.now + wait);
            let Some(next) = [answer, timer]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at < end)
            else {
                break;
            };
            self.now = self.now.max(next);
            if answer == Some(next) {
                let server_id = self.answers.pop().expect("no answer is pending").0.1;
                let utilization = 0.42 + 0.06 * self.rng.generate::<f64>();
                let report = LoadReport {
                    utilization: Some(utilization),
                    connections: Some(10_000.0),
                };
                self.handle_event(PolicyEvent::HealthChecked {
                    server_id,
                    passed: true,
                    report,
                });
            } else {
                self.handle_event(PolicyEvent::TimerExpired);
                for (flow, spent) in std::mem::take(&mut self.queued) {
                    self.place(flow, spent);
                }
            }
        }
        self.now = end;
    }
}

/// Returns the median of these nanoseconds in microseconds.
fn median_micros(nanoseconds: &mut [u128]) -> f64 {
    nanoseconds.sort_unstable();
    nanoseconds
        .get(nanoseconds.len() / 2)
        .map_or(f64::NAN, |ns| *ns as f64 / 1e3)
}

/// Prints the cost of placements by number of servers, for the whole list and for candidates.
pub fn measure_placements() {
    println!(
        "servers  list        place us  all calls of a flow us  checks/s  event us  placed  not placed"
    );
    for servers in [60, 200, 600, 3_000, 6_000, 12_000] {
        for view in ListView::BOTH {
            let mut driver = Driver::new(servers, view);
            let interval = SEC / FLOWS_PER_SECOND;
            for step in 0..MEASURED_SECONDS * FLOWS_PER_SECOND {
                driver.advance_to(T0 + step * interval);
                let flow = driver.flow();
                driver.place(flow, 0);
            }
            println!(
                "{servers:>7}  {}  {:>8.1}  {:>22.1}  {:>8.1}  {:>8.1}  {:>6}  {:>10}",
                view.name(),
                median_micros(&mut driver.per_call),
                median_micros(&mut driver.per_flow),
                driver.health_checks as f64 / MEASURED_SECONDS as f64,
                driver.events.nanoseconds as f64 / driver.events.count.max(1) as f64 / 1e3,
                driver.per_flow.len(),
                driver.not_placed,
            );
        }
    }
}
