//! One server as the model has it: what it carries, how much it can, how long it takes, what it reports, and when it falls
//! over. It owns the connections on it and gives them back when it dies. It must never know who sends to it, nor answer
//! for the network in between.

use std::collections::{BTreeMap, VecDeque};

use nettlemux_policy::{LoadReport, SEC, Time};

use crate::rng::Rng;
use crate::scenario::Fleet;
use crate::time::seconds;

/// Seconds of work that may pile up before a server drops its heaviest connections to save the others.
const BACKLOG_SECONDS_MAX: f64 = 3.0;
/// And the part of its connections that it drops at a time.
const DROPPED: f64 = 0.05;
/// Never busier than this in the formula of a message's time: what is over piles up instead.
const BUSIEST: f64 = 0.98;
/// Connects of chance that a cold server bears beside its budget.
pub const SLACK: f64 = 4.0;

/// Whether a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    Up,
    /// Its process is gone: connections are refused.
    Down,
    /// Its machine is gone: nothing is answered.
    Unresponsive,
}

/// A connection on a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerConnection {
    pub load: f64,
    pub group: Option<u32>,
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

pub struct Server {
    pub zone: usize,
    pub cell: usize,
    pub machine: usize,
    pub status: ServerStatus,
    /// When it last started; 0: long ago.
    pub started: Time,
    /// It fell over when it was cold, and stays down.
    pub fallen: bool,
    pub draining: bool,
    /// Part of its capacity that slowness, and a neighbour, leave it.
    pub speed: f64,
    pub neighbour: f64,
    pub fast_errors: bool,
    pub probes_fail: bool,
    /// Its reports stay as they are, or say this whatever it carries.
    pub stuck: bool,
    pub absurd: Option<f64>,
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

    /// The part of its capacity that a start leaves it now.
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

    pub fn capacity(&self, fleet: &Fleet, now: Time) -> f64 {
        (self.full * self.slow_start_factor(fleet, now) * self.speed * (1.0 - self.neighbour))
            .max(1e-3)
    }

    /// Load asked of it.
    pub fn asked(&self, fleet: &Fleet) -> f64 {
        self.load + fleet.group_load * self.groups.len() as f64
    }

    /// Load over capacity.
    pub fn utilization(&self, fleet: &Fleet, now: Time) -> f64 {
        self.asked(fleet) / self.capacity(fleet, now)
    }

    /// Seconds that a message takes on average.
    pub fn message(&self, fleet: &Fleet, now: Time) -> f64 {
        fleet.message / (1.0 - self.utilization(fleet, now).min(BUSIEST)) + self.backlog
    }

    /// The part of its messages that is answered within a target of so many seconds.
    pub fn in_time(&self, fleet: &Fleet, now: Time, target: f64) -> f64 {
        if self.status != ServerStatus::Up || target <= self.backlog {
            return 0.0;
        }
        let mean = fleet.message / (1.0 - self.utilization(fleet, now).min(BUSIEST));
        1.0 - (-(target - self.backlog) / mean).exp()
    }

    /// Goes on to now: work piles up while more is asked than it can. Returns connections that it drops to save the others.
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
        heaviest.truncate((heaviest.len() as f64 * DROPPED).ceil() as usize);
        self.backlog = BACKLOG_SECONDS_MAX / 2.0;
        heaviest.into_iter().map(|(id, _)| id).collect()
    }

    /// Whether it has been sent more than a cold one can bear, within the contract's window.
    fn overrun(&self, fleet: &Fleet, now: Time) -> bool {
        let warmth = self.slow_start_factor(fleet, now);
        let budget =
            fleet.collapse_multiple * warmth * fleet.connection_rate * fleet.collapse_window
                + SLACK;
        warmth < 1.0 && self.offers.len() as f64 > budget
    }

    /// Takes an attempt that has come; the store's call is the caller's to add. The second word: it has just fallen over.
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
                fleet.setup / (1.0 - self.utilization(fleet, now).min(BUSIEST)) + self.backlog,
            ),
            false,
        )
    }

    pub fn attach(&mut self, id: u64, connection: ServerConnection) {
        self.detach(id);
        self.load += connection.load;
        self.worth[connection.class] += connection.value;
        if let Some(group) = connection.group {
            *self.groups.entry(group).or_default() += 1;
        }
        self.connections.insert(id, connection);
    }

    /// A connection goes; false if it wasn't there.
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

    pub fn set_load(&mut self, id: u64, load: f64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.load = (self.load + load - connection.load).max(0.0);
            connection.load = load;
        }
    }

    /// Its report: made anew now and then, noisy, and at times wrong. None: it doesn't answer the probe.
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

    /// It is down or silent from now on; its connections are given back.
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

    /// It starts again, cold and empty; one that has fallen over stays down.
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
