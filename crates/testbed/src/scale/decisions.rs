//! Measures the policy and the flow table without sockets. A driver calls them in virtual time: it
//! answers their health checks, completes their attempts and fires the policy's timers. Only the
//! durations of calls are measured in real time. This module owns the driver, which uses the policy's
//! public interface only.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use hdrhistogram::Histogram;
use nettlemux_fleet_model::rng::Rng;
use nettlemux_flow_table::{AdmissionAttributes, FlowTable, LoadBalancingPolicy, PolicyCommand};
use nettlemux_policy::{
    Actions, Endpoint, EndpointState, Flow, FlowId, GroupPlacement, LoadReport, MS, Placement,
    Policy, PolicyEvent, SEC, ServerId, Time, TrafficClass,
};
use nettlemux_settings::{DrainMigration, Settings};

use super::allocation::held_bytes;
use super::error::MeasurementError;
use super::examined_servers::{PolicyRecord, servers_per_placement};
use super::measurement::Figures;
use super::scenario::{Counts, DecisionsPart};
use super::settings::{DEADLINE_MS, VaryingSettings, settings};

/// How long before its deadline a flow is answered at the latest.
const ANSWER_MARGIN: Time = 15 * MS;
/// From a health check to its answer.
const PROBE_ROUND_TRIP: Time = MS;
/// From an attempt to its established connection.
const CONNECT_TIME: Time = 5 * MS;
/// Time before the first flow: the longest health check interval, so that each server has been
/// checked.
const WARM_UP: Time = 10 * SEC;
/// Time after the last arrival by which all flows have been answered.
const COMPLETION_TIME: Time = 3 * SEC;
/// Lowest and highest utilization that servers report, below all limits of the policy.
const UTILIZATION_MIN: f64 = 0.25;
const UTILIZATION_MAX: f64 = 0.45;
/// Longest call of `place` that the histogram resolves, in nanoseconds.
const PLACE_CALL_MAX_NS: u64 = 60 * SEC;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Measures the policy at these counts.
///
/// # Errors
/// The settings are invalid.
pub fn measure(
    counts: &Counts,
    part: &DecisionsPart,
    seed: u64,
) -> Result<Figures, MeasurementError> {
    let mut driver = Driver::new(counts, part, seed)?;
    let server_bytes = driver.update_endpoints(counts.servers);
    let (policy_bytes, table_bytes) = driver.adopt_connections(counts);
    driver.run_until(WARM_UP);
    driver.begin_measuring();
    driver.schedule_arrivals(part);
    driver.schedule_list_changes(counts.changes_per_second);
    driver.run_until(driver.last_arrival);
    let measured = (driver.last_arrival - WARM_UP) as f64 / SEC as f64;
    let probes = driver.probes;
    driver.run_until(driver.last_arrival + COMPLETION_TIME);

    let calls = driver.calls.borrow();
    let (placed, asked) = (driver.placed as f64, part.placements as f64);
    let microseconds = |quantile: f64| calls.place_times.value_at_quantile(quantile) as f64 / 1e3;
    Ok(Figures {
        place_p50_us: Some(microseconds(0.5)),
        place_p99_us: Some(microseconds(0.99)),
        place_us_per_flow: Some(calls.place_nanoseconds as f64 / 1e3 / asked),
        place_calls_per_placement: Some(calls.place_calls as f64 / placed.max(1.0)),
        servers_per_placement: servers_per_placement(&calls.records, part.may_gossip),
        placed_share: Some(placed / asked),
        probes_per_second: Some(probes as f64 / measured),
        bytes_per_server: Some(server_bytes / counts.servers as f64),
        bytes_per_connection: Some(policy_bytes / counts.connections as f64),
        flow_table_bytes_per_connection: Some(table_bytes / counts.connections as f64),
        ..Figures::default()
    })
}

/// Measurements of the calls of the policy.
struct Calls {
    /// Nanoseconds of each call of `place` that chose a server. A call that queues the flow may
    /// return at once and is left out.
    place_times: Histogram<u64>,
    /// All calls of `place`.
    place_calls: u64,
    /// Total nanoseconds of all calls of `place`.
    place_nanoseconds: u64,
    /// Bytes that the policy allocated for the connections that it adopted.
    adopted_bytes: i64,
    /// Records from which the number of considered servers is derived.
    records: Vec<PolicyRecord>,
    /// Bytes of the records, which don't count as the policy's.
    record_bytes: i64,
}

impl Calls {
    fn new() -> Self {
        let place_times = Histogram::new_with_max(PLACE_CALL_MAX_NS, SIGNIFICANT_DIGITS)
            .expect("histogram bounds are valid");
        Calls {
            place_times,
            place_calls: 0,
            place_nanoseconds: 0,
            adopted_bytes: 0,
            records: Vec::new(),
            record_bytes: 0,
        }
    }

    fn record(&mut self, record: impl FnOnce() -> PolicyRecord) {
        let before = held_bytes();
        self.records.push(record());
        self.record_bytes += held_bytes() - before;
    }
}

/// A policy that measures its calls.
struct MeasuredPolicy {
    policy: Policy,
    calls: Rc<RefCell<Calls>>,
}

impl LoadBalancingPolicy for MeasuredPolicy {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        let began = Instant::now();
        let place = self.policy.place(now, flow);
        let took = began.elapsed().as_nanos() as u64;
        let mut calls = self.calls.borrow_mut();
        (calls.place_calls, calls.place_nanoseconds) =
            (calls.place_calls + 1, calls.place_nanoseconds + took);
        if let Placement::Forward { server_id, .. } = place {
            calls.place_times.saturating_record(took);
            calls.record(|| PolicyRecord::Placed(group_of(flow), server_id));
        }
        drop(calls);
        place
    }
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        self.policy.on_event(now, event)
    }
    fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        self.policy.time_to_next_timer(now)
    }
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        self.policy.update_endpoints(now, entries, is_complete);
        self.calls
            .borrow_mut()
            .record(|| PolicyRecord::EndpointsUpdated(entries.to_vec()));
    }
    fn on_endpoint_poll_failed(&mut self, now: Time) {
        self.policy.on_endpoint_poll_failed(now);
    }
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        let before = held_bytes();
        self.policy.adopt_connection(flow, server_id);
        let mut calls = self.calls.borrow_mut();
        calls.adopted_bytes += held_bytes() - before;
        calls.record(|| PolicyRecord::ConnectionAdopted(group_of(flow), server_id));
    }
    fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        self.policy.update_connection_load(flow, load);
    }
    fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        self.policy.receive_gossip(now, placement);
    }
}

fn group_of(flow: &Flow) -> String {
    flow.group.clone().expect("the driver's flows have groups")
}

/// An event at a virtual time.
enum Event {
    Arrival,
    ProbeAnswered(ServerId),
    Connected(FlowId),
    /// A server on the endpoint list is replaced.
    ListChange,
}

struct Driver {
    flow_table: FlowTable<MeasuredPolicy>,
    calls: Rc<RefCell<Calls>>,
    rng: Rng,
    now: Time,
    /// When the policy's next timer expires.
    timer_due: Option<Time>,
    /// Ordered by time, and events at the same time by the order in which they were scheduled.
    events: BTreeMap<(Time, u64), Event>,
    next_event: u64,
    next_flow: FlowId,
    /// The traffic class of all flows.
    class: TrafficClass,
    groups: u64,
    servers: u64,
    /// The server that has been listed longest. The listed servers are the `servers` ids from this
    /// one on.
    first_server: ServerId,
    last_arrival: Time,
    probes: u64,
    placed: u64,
}

impl Driver {
    fn new(counts: &Counts, part: &DecisionsPart, seed: u64) -> Result<Self, MeasurementError> {
        let varying = VaryingSettings {
            balancers: counts.balancers,
            probe_price: part.probe_price,
            may_gossip: part.may_gossip,
        };
        let settings = Settings::from_embedded(&settings(varying))?;
        let policy = settings.policy(seed, ANSWER_MARGIN, DrainMigration::Enabled)?;
        let class = settings.traffic_classes()?[0];
        let calls = Rc::new(RefCell::new(Calls::new()));
        Ok(Driver {
            flow_table: FlowTable::new(MeasuredPolicy {
                policy,
                calls: calls.clone(),
            }),
            calls,
            rng: Rng::new(seed, 0),
            now: 0,
            timer_due: None,
            events: BTreeMap::new(),
            next_event: 0,
            next_flow: 1,
            class,
            groups: counts.groups,
            servers: counts.servers,
            first_server: 0,
            last_arrival: 0,
            probes: 0,
            placed: 0,
        })
    }

    /// Passes a complete endpoint list; returns the bytes that the policy holds for it.
    fn update_endpoints(&mut self, servers: u64) -> f64 {
        let listed = |server_id| Endpoint {
            server_id,
            state: EndpointState::Ready,
            weight: 1.0,
            ..Endpoint::default()
        };
        let entries: Vec<Endpoint> = (0..servers).map(listed).collect();
        let before = self.policy_bytes();
        self.flow_table.update_endpoints(self.now, &entries, true);
        (self.policy_bytes() - before) as f64
    }

    /// Bytes held, without those of the records.
    fn policy_bytes(&self) -> i64 {
        held_bytes() - self.calls.borrow().record_bytes
    }

    /// Adopts connections from before the run; returns the bytes that the policy and the flow table
    /// hold for them.
    fn adopt_connections(&mut self, counts: &Counts) -> (f64, f64) {
        let before = self.policy_bytes();
        for _ in 0..counts.connections {
            let flow = self.new_flow(0);
            let server_id = self.rng.index_below(counts.servers as usize) as ServerId;
            self.flow_table.adopt_connection(flow, server_id);
        }
        let all = (self.policy_bytes() - before) as f64;
        let policy_bytes = self.calls.borrow().adopted_bytes as f64;
        (policy_bytes, all - policy_bytes)
    }

    fn new_flow(&mut self, accepted_at: Time) -> Flow {
        let id = self.next_flow;
        self.next_flow += 1;
        let group = Some(format!("g{}", self.rng.index_below(self.groups as usize)));
        Flow {
            id,
            class: self.class,
            group,
            accepted_at,
            deadline: accepted_at + DEADLINE_MS * MS,
            ..Flow::default()
        }
    }

    fn begin_measuring(&mut self) {
        let mut calls = self.calls.borrow_mut();
        let (records, record_bytes) = (std::mem::take(&mut calls.records), calls.record_bytes);
        *calls = Calls {
            adopted_bytes: calls.adopted_bytes,
            records,
            record_bytes,
            ..Calls::new()
        };
        drop(calls);
        (self.probes, self.placed) = (0, 0);
    }

    fn schedule_list_changes(&mut self, per_second: f64) {
        let until = self.last_arrival;
        let number = ((until - self.now) as f64 / SEC as f64 * per_second) as u64;
        for change in 1..=number {
            self.schedule(
                self.now + (until - self.now) * change / number,
                Event::ListChange,
            );
        }
    }

    fn schedule_arrivals(&mut self, part: &DecisionsPart) {
        let interval = (SEC as f64 / part.placements_per_second) as Time;
        for number in 1..=part.placements {
            self.last_arrival = self.now + number * interval;
            self.schedule(self.last_arrival, Event::Arrival);
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn run_until(&mut self, end: Time) {
        loop {
            if let Some(wait) = self.flow_table.time_to_next_timer(self.now) {
                // As in the balancer, the next timer expires 1 ms from now at the earliest.
                let at = self.now + wait.max(MS);
                self.timer_due = Some(self.timer_due.map_or(at, |due| due.min(at)));
            }
            let event_at = self.events.first_key_value().map(|((at, _), _)| *at);
            let next = [event_at, self.timer_due].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if event_at == Some(next) {
                let (_, event) = self
                    .events
                    .pop_first()
                    .expect("the first event was found above");
                self.handle(event);
            }
            if self.timer_due.is_some_and(|due| due <= self.now) {
                self.timer_due = None;
                let mut commands = Vec::new();
                self.flow_table.timer_expired(self.now, &mut commands);
                self.execute(commands);
            }
        }
        self.now = self.now.max(end);
    }

    fn handle(&mut self, event: Event) {
        let (now, mut commands) = (self.now, Vec::new());
        match event {
            Event::Arrival => {
                let flow = self.new_flow(now);
                self.flow_table
                    .accept(now, flow, AdmissionAttributes::default(), &mut commands);
            }
            Event::ProbeAnswered(server_id) => {
                let load = self.rng.uniform_between(UTILIZATION_MIN, UTILIZATION_MAX);
                let report = LoadReport {
                    utilization: Some(load),
                    connections: None,
                };
                self.flow_table
                    .health_checked(now, server_id, true, report, &mut commands);
            }
            Event::ListChange => {
                let removed = Endpoint {
                    server_id: self.first_server,
                    ..Endpoint::default()
                };
                let server_id = self.first_server + self.servers;
                let ready = Endpoint {
                    server_id,
                    state: EndpointState::Ready,
                    weight: 1.0,
                    started: now,
                    ..removed
                };
                self.first_server += 1;
                self.flow_table
                    .update_endpoints(now, &[removed, ready], false);
            }
            Event::Connected(id) => {
                self.flow_table
                    .attempt_connected(now, id, CONNECT_TIME, &mut commands)
            }
        }
        self.execute(commands);
    }

    fn execute(&mut self, commands: Vec<PolicyCommand>) {
        for command in commands {
            match command {
                PolicyCommand::StartAttempt { flow, .. } => {
                    self.placed += 1;
                    self.schedule(self.now + CONNECT_TIME, Event::Connected(flow));
                }
                PolicyCommand::CheckHealth { server_id } => {
                    self.probes += 1;
                    self.schedule(self.now + PROBE_ROUND_TRIP, Event::ProbeAnswered(server_id));
                }
                PolicyCommand::Reject { .. }
                | PolicyCommand::Fail { .. }
                | PolicyCommand::Migrate { .. } => {}
                PolicyCommand::CancelAttempt { .. }
                | PolicyCommand::PollEndpoints
                | PolicyCommand::Gossip(_) => {}
            }
        }
    }
}
