//! The policy and the flow table alone: they are asked in virtual time, by a driver that answers
//! their health checks, makes their attempts and asks again when the policy wants it. Times are of
//! the real processor, all else is virtual. It owns the driver and must know of the policy only
//! what any caller does.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use hdrhistogram::Histogram;
use nettlemux_fleet_model::rng::Rng;
use nettlemux_flow_table::{ClientIdentity, FlowTable, LoadBalancingPolicy, PolicyCommand};
use nettlemux_policy::{
    Actions, Endpoint, EndpointState, Flow, FlowId, GroupPlacement, LoadReport, MS, Placement,
    Policy, PolicyEvent, SEC, ServerId, Time,
};
use nettlemux_settings::{DrainMigration, Settings};

use super::allocation::held_bytes;
use super::error::MeasurementError;
use super::examined_servers::{Note, servers_per_placement};
use super::measurement::Figures;
use super::scenario::{Counts, DecisionsPart};
use super::settings::{DEADLINE_MS, SettingsOf, settings};

/// How long before its deadline a flow is answered.
const MARGIN: Time = 15 * MS;
/// From a health check to its answer, and from an attempt to its connection.
const PROBE_ROUND_TRIP: Time = MS;
const CONNECT_TIME: Time = 5 * MS;
/// Before flows come: the longest health check interval, so that each server has been asked.
const WARM_UP: Time = 10 * SEC;
/// After the last flow has come all are answered by then.
const AFTER: Time = 3 * SEC;
/// Utilization that servers report lies between these, below all limits of the policy.
const LEAST_LOAD: f64 = 0.25;
const MOST_LOAD: f64 = 0.45;
/// The longest call of `place` that is told apart, in nanoseconds.
const LONGEST_CALL: u64 = 60 * SEC;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Measures the policy at these counts.
///
/// # Errors
/// The settings can't be used.
pub fn measure(
    counts: &Counts,
    part: &DecisionsPart,
    seed: u64,
) -> Result<Figures, MeasurementError> {
    let mut driver = Driver::new(counts, part, seed)?;
    let server_bytes = driver.update_endpoints(counts.servers);
    let (policy_bytes, table_bytes) = driver.adopt_connection(counts);
    driver.run_until(WARM_UP);
    driver.begin_measuring();
    driver.plan_arrivals(part);
    driver.plan_changes(counts.changes_per_second);
    driver.run_until(driver.last_arrival);
    let measured = (driver.last_arrival - WARM_UP) as f64 / SEC as f64;
    let probes = driver.probes;
    driver.run_until(driver.last_arrival + AFTER);

    let calls = driver.calls.borrow();
    let (placed, asked) = (driver.placed as f64, part.placements as f64);
    let microseconds = |quantile: f64| calls.placing.value_at_quantile(quantile) as f64 / 1e3;
    Ok(Figures {
        place_p50_us: Some(microseconds(0.5)),
        place_p99_us: Some(microseconds(0.99)),
        place_us_per_flow: Some(calls.nanoseconds as f64 / 1e3 / asked),
        place_calls_per_placement: Some(calls.number as f64 / placed.max(1.0)),
        servers_per_placement: servers_per_placement(&calls.notes, part.may_gossip),
        placed_share: Some(placed / asked),
        probes_per_second: Some(probes as f64 / measured),
        bytes_per_server: Some(server_bytes / counts.servers as f64),
        bytes_per_connection: Some(policy_bytes / counts.connections as f64),
        flow_table_bytes_per_connection: Some(table_bytes / counts.connections as f64),
        ..Figures::default()
    })
}

/// What the calls of the policy took.
struct Calls {
    /// Nanoseconds of each call of `place` that gave a server. One that holds a flow may be a
    /// glance only.
    placing: Histogram<u64>,
    /// All calls of `place`, and their nanoseconds.
    number: u64,
    nanoseconds: u64,
    /// Bytes that the policy took for connections that it inherited.
    inherited_bytes: i64,
    /// What the servers looked at are worked out from, and the bytes that it takes beside the
    /// policy.
    notes: Vec<Note>,
    noted_bytes: i64,
}

impl Calls {
    fn new() -> Self {
        let placing =
            Histogram::new_with_max(LONGEST_CALL, SIGNIFICANT_DIGITS).expect("bounds that hold");
        Calls {
            placing,
            number: 0,
            nanoseconds: 0,
            inherited_bytes: 0,
            notes: Vec::new(),
            noted_bytes: 0,
        }
    }

    fn note(&mut self, note: impl FnOnce() -> Note) {
        let before = held_bytes();
        self.notes.push(note());
        self.noted_bytes += held_bytes() - before;
    }
}

/// The policy, with its calls measured.
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
        (calls.number, calls.nanoseconds) = (calls.number + 1, calls.nanoseconds + took);
        if let Placement::Forward { server_id, .. } = place {
            calls.placing.saturating_record(took);
            calls.note(|| Note::Placed(group_of(flow), server_id));
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
            .note(|| Note::List(entries.to_vec()));
    }
    fn endpoint_poll_failed(&mut self, now: Time) {
        self.policy.endpoint_poll_failed(now);
    }
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        let before = held_bytes();
        self.policy.adopt_connection(flow, server_id);
        let mut calls = self.calls.borrow_mut();
        calls.inherited_bytes += held_bytes() - before;
        calls.note(|| Note::Held(group_of(flow), server_id));
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

/// What comes to pass at a virtual time.
enum Event {
    Arrival,
    ProbeAnswered(ServerId),
    Connected(FlowId),
    /// A server is replaced.
    ListChange,
}

struct Driver {
    flow_table: FlowTable<MeasuredPolicy>,
    calls: Rc<RefCell<Calls>>,
    rng: Rng,
    now: Time,
    /// When the policy wants to be asked again.
    due: Option<Time>,
    /// In order of time, and of their making where that is the same.
    events: BTreeMap<(Time, u64), Event>,
    next_event: u64,
    next_flow: FlowId,
    groups: u64,
    servers: u64,
    /// The longest listed server; those from here on are listed, as many as there are.
    first_server: ServerId,
    last_arrival: Time,
    probes: u64,
    placed: u64,
}

impl Driver {
    fn new(counts: &Counts, part: &DecisionsPart, seed: u64) -> Result<Self, MeasurementError> {
        let of = SettingsOf {
            balancers: counts.balancers,
            probe_price: part.probe_price,
            may_gossip: part.may_gossip,
        };
        let settings = Settings::within(&settings(of))?;
        let policy = settings.policy(seed, MARGIN, DrainMigration::Enabled)?;
        let calls = Rc::new(RefCell::new(Calls::new()));
        Ok(Driver {
            flow_table: FlowTable::new(MeasuredPolicy {
                policy,
                calls: calls.clone(),
            }),
            calls,
            rng: Rng::new(seed, 0),
            now: 0,
            due: None,
            events: BTreeMap::new(),
            next_event: 0,
            next_flow: 1,
            groups: counts.groups,
            servers: counts.servers,
            first_server: 0,
            last_arrival: 0,
            probes: 0,
            placed: 0,
        })
    }

    /// The whole list; returns the bytes that are kept of it.
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

    /// Bytes held, without those of the notes.
    fn policy_bytes(&self) -> i64 {
        held_bytes() - self.calls.borrow().noted_bytes
    }

    /// Own connections from before; returns the bytes that the policy and the flow table keep of
    /// them.
    fn adopt_connection(&mut self, counts: &Counts) -> (f64, f64) {
        let before = self.policy_bytes();
        for _ in 0..counts.connections {
            let flow = self.new_flow(0);
            let server_id = self.rng.index_below(counts.servers as usize) as ServerId;
            self.flow_table.adopt_connection(flow, server_id);
        }
        let all = (self.policy_bytes() - before) as f64;
        let of_policy = self.calls.borrow().inherited_bytes as f64;
        (of_policy, all - of_policy)
    }

    fn new_flow(&mut self, accepted_at: Time) -> Flow {
        let id = self.next_flow;
        self.next_flow += 1;
        let group = Some(format!("g{}", self.rng.index_below(self.groups as usize)));
        Flow {
            id,
            group,
            accepted_at,
            deadline: accepted_at + DEADLINE_MS * MS,
            ..Flow::default()
        }
    }

    fn begin_measuring(&mut self) {
        let mut calls = self.calls.borrow_mut();
        let (notes, noted_bytes) = (std::mem::take(&mut calls.notes), calls.noted_bytes);
        *calls = Calls {
            inherited_bytes: calls.inherited_bytes,
            notes,
            noted_bytes,
            ..Calls::new()
        };
        drop(calls);
        (self.probes, self.placed) = (0, 0);
    }

    fn plan_changes(&mut self, per_second: f64) {
        let until = self.last_arrival;
        let number = ((until - self.now) as f64 / SEC as f64 * per_second) as u64;
        for change in 1..=number {
            self.plan(
                self.now + (until - self.now) * change / number,
                Event::ListChange,
            );
        }
    }

    fn plan_arrivals(&mut self, part: &DecisionsPart) {
        let apart = (SEC as f64 / part.placements_per_second) as Time;
        for number in 1..=part.placements {
            self.last_arrival = self.now + number * apart;
            self.plan(self.last_arrival, Event::Arrival);
        }
    }

    fn plan(&mut self, at: Time, event: Event) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn run_until(&mut self, end: Time) {
        loop {
            if let Some(wait) = self.flow_table.time_to_next_timer(self.now) {
                // As the balancer does: never at once again.
                let at = self.now + wait.max(MS);
                self.due = Some(self.due.map_or(at, |due| due.min(at)));
            }
            let event_at = self.events.first_key_value().map(|((at, _), _)| *at);
            let next = [event_at, self.due].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if event_at == Some(next) {
                let (_, event) = self.events.pop_first().expect("it was looked at");
                self.handle(event);
            }
            if self.due.is_some_and(|due| due <= self.now) {
                self.due = None;
                let mut commands = Vec::new();
                self.flow_table.timer_expired(self.now, &mut commands);
                self.carry_out(commands);
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
                    .accept(now, flow, ClientIdentity::default(), &mut commands);
            }
            Event::ProbeAnswered(server_id) => {
                let load = self.rng.uniform_between(LEAST_LOAD, MOST_LOAD);
                let report = LoadReport {
                    utilization: Some(load),
                    connections: None,
                };
                self.flow_table
                    .health_checked(now, server_id, true, report, &mut commands);
            }
            Event::ListChange => {
                let gone = Endpoint {
                    server_id: self.first_server,
                    ..Endpoint::default()
                };
                let server_id = self.first_server + self.servers;
                let ready = Endpoint {
                    server_id,
                    state: EndpointState::Ready,
                    weight: 1.0,
                    started: now,
                    ..gone
                };
                self.first_server += 1;
                self.flow_table.update_endpoints(now, &[gone, ready], false);
            }
            Event::Connected(id) => self
                .flow_table
                .connected(now, id, CONNECT_TIME, &mut commands),
        }
        self.carry_out(commands);
    }

    fn carry_out(&mut self, commands: Vec<PolicyCommand>) {
        for command in commands {
            match command {
                PolicyCommand::StartAttempt { flow, .. } => {
                    self.placed += 1;
                    self.plan(self.now + CONNECT_TIME, Event::Connected(flow));
                }
                PolicyCommand::CheckHealth { server_id } => {
                    self.probes += 1;
                    self.plan(self.now + PROBE_ROUND_TRIP, Event::ProbeAnswered(server_id));
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
