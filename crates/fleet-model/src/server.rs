//! One server as the model has it: what it carries, how much it can, how long it takes, what it
//! reports, and when it falls over. It owns the connections on it and gives them back when it dies.
//! It must never know who sends to it, nor answer for the network in between.

use std::collections::{BTreeMap, VecDeque};

use nettlemux_policy::{LoadReport, SEC, Time};

use crate::rng::Rng;
use crate::scenario::Fleet;
use crate::time::seconds;

/// Seconds of work that may pile up before a server drops its heaviest connections to save the
/// others.
const BACKLOG_SECONDS_MAX: f64 = 3.0;
/// The fraction of its connections that an overloaded server drops at a time.
const DROPPED_FRACTION: f64 = 0.05;
/// Never busier than this in the formula of a message's time: what is over piles up instead.
const UTILIZATION_MAX: f64 = 0.98;
/// The attempts that a server in slow start bears beside its budget, which are put down to chance.
pub const BUDGET_SLACK: f64 = 4.0;

/// Whether a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// It serves.
    Up,
    /// Its process is gone: connections are refused.
    Down,
    /// Its machine is gone: nothing is answered.
    Unresponsive,
}

/// A connection on a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerConnection {
    /// The load that it brings.
    pub load: f64,
    /// The client's group, where clients have groups.
    pub group: Option<u32>,
    /// The index of its traffic class.
    pub class: usize,
    /// Worth of a second of good service to it.
    pub value: f64,
}

/// How a server takes an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResponse {
    /// Served after so many seconds.
    Accepted(f64),
    /// Turned away: it has not run.
    Overloaded,
    /// Failed at once: it may have run.
    Error,
    /// Refused by its machine.
    Refused,
    /// Nothing comes back.
    NoResponse,
}

/// A server.
pub struct Server {
    /// The index of its zone.
    pub zone: usize,
    /// The index of its cell.
    pub cell: usize,
    /// The kind of its machine.
    pub machine: usize,
    /// Whether it runs.
    pub status: ServerStatus,
    /// When it last started; 0: long ago.
    pub started: Time,
    /// Whether it collapsed in its slow start, after which it stays down.
    pub fallen: bool,
    /// Whether it takes no new connections.
    pub draining: bool,
    /// The fraction of its capacity that faults leave it.
    pub speed: f64,
    /// The fraction of its capacity that a neighbour takes.
    pub neighbour: f64,
    /// Whether it answers attempts at once with an error.
    pub fast_errors: bool,
    /// Whether it answers no health check.
    pub probes_fail: bool,
    /// Whether its load reports are no longer renewed.
    pub stuck: bool,
    /// The utilization that it reports whatever it carries, where it does.
    pub absurd: Option<f64>,
    /// Its connections, by the flow's number.
    pub connections: BTreeMap<u64, ServerConnection>,
    full: f64,
    groups: BTreeMap<u32, usize>,
    load: f64,
    /// Worth of a second of good service to all on it, by traffic class.
    pub worth: Vec<f64>,
    /// Seconds of work that have piled up.
    backlog: f64,
    at: Time,
    /// Connects of the last while, for the budget of a cold one and the cap on newcomers.
    offers: VecDeque<Time>,
    connection_rate: (f64, Time),
    report: (Time, LoadReport),
}

impl Server {
    /// Makes a warm server at a place: its zone, its cell and its kind of machine.
    pub fn new(
        fleet: &Fleet,
        types: usize,
        (zone, cell, machine): (usize, usize, usize),
        rng: &mut Rng,
    ) -> Self {
        let full = fleet.capacity
            * (1.0 + rng.uniform_between(-fleet.capacity_spread, fleet.capacity_spread));
        Server {
            zone,
            cell,
            machine,
            status: ServerStatus::Up,
            started: 0,
            fallen: false,
            draining: false,
            speed: 1.0,
            neighbour: 0.0,
            fast_errors: false,
            probes_fail: false,
            stuck: false,
            absurd: None,
            connections: BTreeMap::new(),
            full,
            groups: BTreeMap::new(),
            load: 0.0,
            worth: vec![0.0; types],
            backlog: 0.0,
            at: 0,
            offers: VecDeque::new(),
            connection_rate: (fleet.connection_rate, 0),
            report: (0, LoadReport::default()),
        }
    }

    /// Returns the fraction of its capacity that its slow start leaves it now.
    pub fn slow_start_factor(&self, fleet: &Fleet, now: Time) -> f64 {
        let (age, warm_up) = (
            now.saturating_sub(self.started) as f64,
            fleet.warm_up * SEC as f64,
        );
        if self.started == 0 || age >= warm_up {
            return 1.0;
        }
        fleet.initial_capacity + (1.0 - fleet.initial_capacity) * age / warm_up
    }

    /// Returns the load that it can carry now.
    pub fn capacity(&self, fleet: &Fleet, now: Time) -> f64 {
        (self.full * self.slow_start_factor(fleet, now) * self.speed * (1.0 - self.neighbour))
            .max(1e-3)
    }

    /// Returns the load that its connections and their groups ask of it.
    pub fn requested_load(&self, fleet: &Fleet) -> f64 {
        self.load + fleet.group_load * self.groups.len() as f64
    }

    /// Returns its load over its capacity.
    pub fn utilization(&self, fleet: &Fleet, now: Time) -> f64 {
        self.requested_load(fleet) / self.capacity(fleet, now)
    }

    /// Returns the mean time of a message, in seconds.
    pub fn message_seconds(&self, fleet: &Fleet, now: Time) -> f64 {
        fleet.message / (1.0 - self.utilization(fleet, now).min(UTILIZATION_MAX)) + self.backlog
    }

    /// Returns the fraction of its messages that is answered within `target` seconds.
    pub fn in_time(&self, fleet: &Fleet, now: Time, target: f64) -> f64 {
        if self.status != ServerStatus::Up || target <= self.backlog {
            return 0.0;
        }
        let mean = fleet.message / (1.0 - self.utilization(fleet, now).min(UTILIZATION_MAX));
        1.0 - (-(target - self.backlog) / mean).exp()
    }

    /// Advances to now: work piles up while more is asked than it can carry. Returns the
    /// connections that it drops to save the others.
    pub fn advance(&mut self, fleet: &Fleet, now: Time) -> Vec<u64> {
        let passed = now.saturating_sub(self.at) as f64 / SEC as f64;
        self.at = self.at.max(now);
        if self.status != ServerStatus::Up {
            return Vec::new();
        }
        self.backlog = (self.backlog + (self.utilization(fleet, now) - 1.0) * passed)
            .clamp(0.0, BACKLOG_SECONDS_MAX);
        if self.backlog < BACKLOG_SECONDS_MAX {
            return Vec::new();
        }
        let mut heaviest: Vec<(u64, f64)> = self
            .connections
            .iter()
            .map(|(id, connection)| (*id, connection.load))
            .collect();
        heaviest.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        heaviest.truncate((heaviest.len() as f64 * DROPPED_FRACTION).ceil() as usize);
        self.backlog = BACKLOG_SECONDS_MAX / 2.0;
        heaviest.into_iter().map(|(id, _)| id).collect()
    }

    /// Whether it has been sent more than a cold one can bear, within the contract's window.
    fn overrun(&self, fleet: &Fleet, now: Time) -> bool {
        let warmth = self.slow_start_factor(fleet, now);
        let budget =
            fleet.collapse_multiple * warmth * fleet.connection_rate * fleet.collapse_window
                + BUDGET_SLACK;
        warmth < 1.0 && self.offers.len() as f64 > budget
    }

    /// Answers an attempt that has arrived, without the time of the store's call. The second value
    /// says whether the server has just collapsed.
    pub fn offer(&mut self, fleet: &Fleet, now: Time) -> (AttemptResponse, bool) {
        match self.status {
            ServerStatus::Down => return (AttemptResponse::Refused, false),
            ServerStatus::Unresponsive => return (AttemptResponse::NoResponse, false),
            ServerStatus::Up => {}
        }
        self.offers.push_back(now);
        while self
            .offers
            .front()
            .is_some_and(|at| at + seconds(fleet.collapse_window) < now)
        {
            self.offers.pop_front();
        }
        if self.overrun(fleet, now) {
            self.fallen = true;
            return (AttemptResponse::Refused, true);
        }
        if self.fast_errors {
            return (AttemptResponse::Error, false);
        }
        // A bucket that holds a second's newcomers.
        let pace = fleet.connection_rate * self.slow_start_factor(fleet, now);
        let (left, at) = self.connection_rate;
        let left = (left + pace * now.saturating_sub(at) as f64 / SEC as f64).min(pace.max(1.0));
        if self.draining || self.connections.len() >= fleet.slots || left < 1.0 {
            self.connection_rate = (left, now);
            return (AttemptResponse::Overloaded, false);
        }
        self.connection_rate = (left - 1.0, now);
        (
            AttemptResponse::Accepted(
                fleet.setup / (1.0 - self.utilization(fleet, now).min(UTILIZATION_MAX))
                    + self.backlog,
            ),
            false,
        )
    }

    /// Puts a connection on the server.
    pub fn attach(&mut self, id: u64, connection: ServerConnection) {
        self.detach(id);
        self.load += connection.load;
        self.worth[connection.class] += connection.value;
        if let Some(group) = connection.group {
            *self.groups.entry(group).or_default() += 1;
        }
        self.connections.insert(id, connection);
    }

    /// Takes a connection off the server. Returns whether it was there.
    pub fn detach(&mut self, id: u64) -> bool {
        let Some(connection) = self.connections.remove(&id) else {
            return false;
        };
        // Rounding must not leave a load on an empty server.
        self.load = if self.connections.is_empty() {
            0.0
        } else {
            (self.load - connection.load).max(0.0)
        };
        let worth = &mut self.worth[connection.class];
        *worth = if self.connections.is_empty() {
            0.0
        } else {
            (*worth - connection.value).max(0.0)
        };
        if let Some(group) = connection.group
            && let Some(count) = self.groups.get_mut(&group)
        {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&group);
            }
        }
        true
    }

    /// Sets the load of a connection.
    pub fn set_load(&mut self, id: u64, load: f64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.load = (self.load + load - connection.load).max(0.0);
            connection.load = load;
        }
    }

    /// Returns its load report, or `None` where it answers no health check.
    pub fn report(&mut self, fleet: &Fleet, now: Time, rng: &mut Rng) -> Option<LoadReport> {
        if self.status != ServerStatus::Up || self.probes_fail {
            return None;
        }
        let (at, old) = self.report;
        if old.utilization.is_none() || !self.stuck && at + seconds(fleet.report_interval) <= now {
            let noisy = self.utilization(fleet, now)
                * (1.0 + rng.uniform_between(-fleet.report_noise, fleet.report_noise));
            let report = LoadReport {
                utilization: Some(noisy),
                connections: Some(self.connections.len() as f64),
            };
            self.report = (now, report);
        }
        let (_, report) = self.report;
        Some(LoadReport {
            utilization: self.absurd.or(report.utilization),
            ..report
        })
    }

    /// Stops the server. Returns the connections that it had.
    pub fn stop(&mut self, status: ServerStatus) -> Vec<u64> {
        self.status = status;
        let connections: Vec<u64> = self.connections.keys().copied().collect();
        for id in &connections {
            self.detach(*id);
        }
        (self.backlog, self.report) = (0.0, (0, LoadReport::default()));
        self.offers.clear();
        connections
    }

    /// Starts the server again, without connections and in slow start. Returns whether it started:
    /// one that has collapsed does not.
    pub fn start(&mut self, now: Time) -> bool {
        if self.fallen {
            return false;
        }
        (self.status, self.started, self.draining, self.at) =
            (ServerStatus::Up, now.max(1), false, now);
        self.connection_rate = (1.0, now);
        true
    }
}

#[cfg(test)]
mod tests;
