//! The model of one server: its load, capacity, response times and load reports, and when it
//! collapses. It owns its connections and returns them when it stops. It must not depend on who
//! sends to it, and does not model the network to it.

use std::collections::{BTreeMap, VecDeque};

use nettlemux_policy::{LoadReport, SEC, Time};

use crate::rng::Rng;
use crate::scenario::Fleet;
use crate::time::seconds;

/// The largest backlog of work. A server that reaches it drops the connections with the highest load
/// to protect the others.
const BACKLOG_SECONDS_MAX: f64 = 3.0;
/// The fraction of its connections that an overloaded server drops at once.
const DROPPED_FRACTION: f64 = 0.05;
/// The highest utilization in the formulas of response times. A utilization above 1 adds to the
/// backlog instead.
const UTILIZATION_MAX: f64 = 0.98;
/// The number of attempts above its budget that a server in slow start tolerates, as an allowance
/// for random variation.
pub const BUDGET_TOLERANCE_ATTEMPTS: f64 = 4.0;

/// The status of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// It is running.
    Up,
    /// Its process is not running: its machine refuses connections.
    Down,
    /// Its machine does not respond: nothing is answered.
    Unresponsive,
}

/// A connection on a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerConnection {
    /// The load that it adds to the server.
    pub load: f64,
    /// The client's group; `None` if the scenario has no groups.
    pub group: Option<u32>,
    /// The index of its traffic class.
    pub class: usize,
    /// The value of one second of good service to its client.
    pub value: f64,
}

/// The response of a server to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResponse {
    /// Accepted; the connection is set up after this number of seconds.
    Accepted(f64),
    /// Rejected as the server is overloaded: the attempt has not run.
    Overloaded,
    /// Failed immediately: the attempt may have run.
    Error,
    /// Refused by the server's machine.
    Refused,
    /// No response.
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
    /// Its status.
    pub status: ServerStatus,
    /// When it last started; 0 if it started before the run and is warm.
    pub started: Time,
    /// Whether it has collapsed in its slow start. It stays down after that.
    pub collapsed: bool,
    /// Whether it is draining and rejects new connections.
    pub draining: bool,
    /// The fraction of its capacity that faults leave it.
    pub speed: f64,
    /// The fraction of its capacity that a noisy neighbour takes.
    pub neighbour_share: f64,
    /// Whether it answers attempts immediately with an error.
    pub fast_errors: bool,
    /// Whether it answers no health check.
    pub health_checks_fail: bool,
    /// Whether its load reports are no longer renewed.
    pub reports_stuck: bool,
    /// The utilization that it reports whatever its load; `None` if it reports the actual one.
    pub reported_utilization: Option<f64>,
    /// Its connections, by the number of their flow.
    pub connections: BTreeMap<u64, ServerConnection>,
    /// Its capacity when it is warm and not affected by faults.
    full_capacity: f64,
    /// The number of connections of each group that has any.
    connections_by_group: BTreeMap<u32, usize>,
    /// The sum of the loads of its connections.
    connections_load: f64,
    /// The value of one second of good service to all its clients, by traffic class.
    pub value_by_class: Vec<f64>,
    /// The work that has accumulated, in seconds.
    backlog_seconds: f64,
    /// When the backlog was last updated.
    updated_at: Time,
    /// When the attempts within the collapse window arrived.
    recent_attempts: VecDeque<Time>,
    /// The token bucket that limits the rate of new connections: its tokens, and when they were last
    /// updated.
    connection_tokens: (f64, Time),
    /// The last load report, and when it was made.
    last_report: (Time, LoadReport),
}

impl Server {
    /// Creates a warm server in a zone and a cell, on a kind of machine.
    pub fn new(
        fleet: &Fleet,
        class_count: usize,
        (zone, cell, machine): (usize, usize, usize),
        rng: &mut Rng,
    ) -> Self {
        let full_capacity = fleet.capacity
            * (1.0 + rng.uniform_between(-fleet.capacity_spread, fleet.capacity_spread));
        Server {
            zone,
            cell,
            machine,
            status: ServerStatus::Up,
            started: 0,
            collapsed: false,
            draining: false,
            speed: 1.0,
            neighbour_share: 0.0,
            fast_errors: false,
            health_checks_fail: false,
            reports_stuck: false,
            reported_utilization: None,
            connections: BTreeMap::new(),
            full_capacity,
            connections_by_group: BTreeMap::new(),
            connections_load: 0.0,
            value_by_class: vec![0.0; class_count],
            backlog_seconds: 0.0,
            updated_at: 0,
            recent_attempts: VecDeque::new(),
            connection_tokens: (fleet.connection_rate, 0),
            last_report: (0, LoadReport::default()),
        }
    }

    /// Returns the fraction of its capacity that it has now due to its slow start; 1 once it is warm.
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

    /// Returns its current capacity, in units of load.
    pub fn capacity(&self, fleet: &Fleet, now: Time) -> f64 {
        (self.full_capacity
            * self.slow_start_factor(fleet, now)
            * self.speed
            * (1.0 - self.neighbour_share))
            .max(1e-3)
    }

    /// Returns the load of its connections and their groups.
    pub fn requested_load(&self, fleet: &Fleet) -> f64 {
        self.connections_load + fleet.group_load * self.connections_by_group.len() as f64
    }

    /// Returns its load divided by its capacity.
    pub fn utilization(&self, fleet: &Fleet, now: Time) -> f64 {
        self.requested_load(fleet) / self.capacity(fleet, now)
    }

    /// Returns the mean response time of a message, in seconds.
    pub fn mean_message_seconds(&self, fleet: &Fleet, now: Time) -> f64 {
        fleet.message / (1.0 - self.utilization(fleet, now).min(UTILIZATION_MAX))
            + self.backlog_seconds
    }

    /// Returns the fraction of its messages that are answered within `target` seconds.
    pub fn fraction_answered_within(&self, fleet: &Fleet, now: Time, target: f64) -> f64 {
        if self.status != ServerStatus::Up || target <= self.backlog_seconds {
            return 0.0;
        }
        let mean = fleet.message / (1.0 - self.utilization(fleet, now).min(UTILIZATION_MAX));
        1.0 - (-(target - self.backlog_seconds) / mean).exp()
    }

    /// Updates the backlog to `now`. The backlog grows while the load exceeds the capacity. Returns the
    /// connections that the server drops to protect the others; the caller detaches them.
    pub fn advance(&mut self, fleet: &Fleet, now: Time) -> Vec<u64> {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / SEC as f64;
        self.updated_at = self.updated_at.max(now);
        if self.status != ServerStatus::Up {
            return Vec::new();
        }
        self.backlog_seconds = (self.backlog_seconds
            + (self.utilization(fleet, now) - 1.0) * elapsed)
            .clamp(0.0, BACKLOG_SECONDS_MAX);
        if self.backlog_seconds < BACKLOG_SECONDS_MAX {
            return Vec::new();
        }
        let mut by_load: Vec<(u64, f64)> = self
            .connections
            .iter()
            .map(|(id, connection)| (*id, connection.load))
            .collect();
        by_load.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        by_load.truncate((by_load.len() as f64 * DROPPED_FRACTION).ceil() as usize);
        self.backlog_seconds = BACKLOG_SECONDS_MAX / 2.0;
        by_load.into_iter().map(|(id, _)| id).collect()
    }

    /// Returns whether it is in slow start and the attempts within the collapse window exceed its
    /// budget.
    fn exceeds_slow_start_budget(&self, fleet: &Fleet, now: Time) -> bool {
        let slow_start_factor = self.slow_start_factor(fleet, now);
        let budget = fleet.collapse_multiple
            * slow_start_factor
            * fleet.connection_rate
            * fleet.collapse_window
            + BUDGET_TOLERANCE_ATTEMPTS;
        slow_start_factor < 1.0 && self.recent_attempts.len() as f64 > budget
    }

    /// Returns the response to an attempt that has arrived, without the time of the store's call, and
    /// whether the attempt made the server collapse.
    pub fn receive_attempt(&mut self, fleet: &Fleet, now: Time) -> (AttemptResponse, bool) {
        match self.status {
            ServerStatus::Down => return (AttemptResponse::Refused, false),
            ServerStatus::Unresponsive => return (AttemptResponse::NoResponse, false),
            ServerStatus::Up => {}
        }
        self.recent_attempts.push_back(now);
        while self
            .recent_attempts
            .front()
            .is_some_and(|at| at + seconds(fleet.collapse_window) < now)
        {
            self.recent_attempts.pop_front();
        }
        if self.exceeds_slow_start_budget(fleet, now) {
            self.collapsed = true;
            return (AttemptResponse::Refused, true);
        }
        if self.fast_errors {
            return (AttemptResponse::Error, false);
        }
        // The token bucket holds the new connections of one second.
        let rate = fleet.connection_rate * self.slow_start_factor(fleet, now);
        let (tokens, at) = self.connection_tokens;
        let tokens =
            (tokens + rate * now.saturating_sub(at) as f64 / SEC as f64).min(rate.max(1.0));
        if self.draining || self.connections.len() >= fleet.slots || tokens < 1.0 {
            self.connection_tokens = (tokens, now);
            return (AttemptResponse::Overloaded, false);
        }
        self.connection_tokens = (tokens - 1.0, now);
        (
            AttemptResponse::Accepted(
                fleet.setup / (1.0 - self.utilization(fleet, now).min(UTILIZATION_MAX))
                    + self.backlog_seconds,
            ),
            false,
        )
    }

    /// Adds a connection to the server. Replaces the connection of the same number if there is one.
    pub fn attach(&mut self, id: u64, connection: ServerConnection) {
        self.detach(id);
        self.connections_load += connection.load;
        self.value_by_class[connection.class] += connection.value;
        if let Some(group) = connection.group {
            *self.connections_by_group.entry(group).or_default() += 1;
        }
        self.connections.insert(id, connection);
    }

    /// Removes a connection from the server. Returns whether the server had it.
    pub fn detach(&mut self, id: u64) -> bool {
        let Some(connection) = self.connections.remove(&id) else {
            return false;
        };
        // Rounding errors must not leave a load on a server without connections.
        self.connections_load = if self.connections.is_empty() {
            0.0
        } else {
            (self.connections_load - connection.load).max(0.0)
        };
        let value = &mut self.value_by_class[connection.class];
        *value = if self.connections.is_empty() {
            0.0
        } else {
            (*value - connection.value).max(0.0)
        };
        if let Some(group) = connection.group
            && let Some(count) = self.connections_by_group.get_mut(&group)
        {
            *count -= 1;
            if *count == 0 {
                self.connections_by_group.remove(&group);
            }
        }
        true
    }

    /// Sets the load of a connection.
    pub fn set_load(&mut self, id: u64, load: f64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.connections_load = (self.connections_load + load - connection.load).max(0.0);
            connection.load = load;
        }
    }

    /// Returns its load report, or `None` if it does not answer health checks. The report is renewed if
    /// it is older than the report interval.
    pub fn report(&mut self, fleet: &Fleet, now: Time, rng: &mut Rng) -> Option<LoadReport> {
        if self.status != ServerStatus::Up || self.health_checks_fail {
            return None;
        }
        let (at, old) = self.last_report;
        if old.utilization.is_none()
            || !self.reports_stuck && at + seconds(fleet.report_interval) <= now
        {
            let utilization = self.utilization(fleet, now)
                * (1.0 + rng.uniform_between(-fleet.report_noise, fleet.report_noise));
            let report = LoadReport {
                utilization: Some(utilization),
                connections: Some(self.connections.len() as f64),
            };
            self.last_report = (now, report);
        }
        let (_, report) = self.last_report;
        Some(LoadReport {
            utilization: self.reported_utilization.or(report.utilization),
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
        (self.backlog_seconds, self.last_report) = (0.0, (0, LoadReport::default()));
        self.recent_attempts.clear();
        connections
    }

    /// Restarts the server without connections and in slow start. Returns whether it has restarted: a
    /// server that has collapsed does not.
    pub fn start(&mut self, now: Time) -> bool {
        if self.collapsed {
            return false;
        }
        (self.status, self.started, self.draining, self.updated_at) =
            (ServerStatus::Up, now.max(1), false, now);
        self.connection_tokens = (1.0, now);
        true
    }
}

#[cfg(test)]
mod tests;
