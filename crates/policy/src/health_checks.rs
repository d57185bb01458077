//! Health checks: selects the servers to check, and limits the cost of the checks.
//!
//! A health check brings a load report. On a short list each server is checked at an interval
//! between [`CHECK_INTERVAL_MIN`] and [`CHECK_INTERVAL_MAX`]. The interval is chosen such that
//! checks cost at most a fixed fraction of the value of the flows. If this interval is too long,
//! servers without own connections are checked on demand, when a flow may go there. On a long list
//! a budget of bytes limits the checks.

use std::collections::BTreeSet;

use nanorand::{Rng, WyRand};

use crate::connections::ConnectionTable;
use crate::endpoints::{Endpoints, HealthCheckTimes};
use crate::load_reports::{SERVER_CONNECTIONS_MIN, report_lifetime};
use crate::recent_connections::{RATE_WINDOW, RecentConnections};
use crate::types::{MS, SEC, ServerId, Time};

/// The shortest interval between two checks of a server.
pub const CHECK_INTERVAL_MIN: Time = 2 * SEC;
/// The longest interval between two checks of a server.
pub const CHECK_INTERVAL_MAX: Time = 10 * SEC;
/// Fraction of the value of own flows that health checks may cost.
const COST_FRACTION_MAX: f64 = 0.02;
/// Health checks are made on demand if checks of all servers are affordable only at a longer
/// interval than this.
const ON_DEMAND_INTERVAL_MIN: Time = 3 * SEC;
/// Time after which a check that was requested for a flow counts as lost if it has brought no
/// result.
const REQUESTED_CHECK_TIMEOUT: Time = 150 * MS;
/// Servers below this utilization are checked half as often, unless checks are cheap.
const LOW_UTILIZATION_MAX: f64 = 0.4;
/// Interval between two batches of checks on a long list.
const LONG_LIST_BATCH_INTERVAL: Time = 250 * MS;
/// Checks that are due within this time go out in one batch, because each batch walks all servers.
const CHECK_BATCH_WINDOW: Time = 125 * MS;
/// Number of adopted connections that count as one flow in the rate window: connections live for
/// about three rate windows.
const ADOPTED_CONNECTIONS_PER_FLOW: usize = 3;

/// Whether servers may be checked, and what a check costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthCheckConfig {
    /// Whether servers may be checked at all.
    pub enabled: bool,
    /// Cost of a check as a fraction of a flow's value.
    pub cost_per_check: f64,
}

/// Schedules the health checks.
pub(crate) struct HealthChecks {
    enabled: bool,
    cost_per_check: f64,
    balancers: f64,
    interval: Time,
    is_on_demand: bool,
    /// When the next health check is due.
    next_at: Option<Time>,
}

impl HealthChecks {
    pub(crate) fn new(config: &HealthCheckConfig, balancers: f64) -> Self {
        HealthChecks {
            enabled: config.enabled,
            cost_per_check: config.cost_per_check.max(0.0),
            balancers,
            interval: CHECK_INTERVAL_MIN,
            is_on_demand: false,
            next_at: None,
        }
    }

    /// Takes over the schedule of the policy that had the previous settings.
    pub(crate) fn take_state_from(&mut self, old: &HealthChecks) {
        self.interval = old.interval;
        self.is_on_demand = old.is_on_demand && self.enabled;
        self.next_at = old.next_at;
    }

    /// Whether servers without own connections are checked only when a flow may go there.
    pub(crate) fn is_on_demand(&self) -> bool {
        self.is_on_demand
    }

    /// When the next health check is due.
    pub(crate) fn next_at(&self) -> Option<Time> {
        self.next_at
    }

    /// How long a load report counts. This does not depend on when the next check ends, because
    /// that time moves away indefinitely while checks fail.
    pub(crate) fn report_lifetime(&self) -> Time {
        report_lifetime(CHECK_INTERVAL_MAX.min(2 * self.interval))
    }

    /// Updates the schedule after the endpoint list has changed. A due time is never postponed.
    /// Guards against a list that changes many times a second, so that checks never become due.
    pub(crate) fn on_endpoints_changed(&mut self, now: Time, endpoints: &Endpoints) {
        if endpoints.is_long() {
            self.is_on_demand = self.enabled;
        }
        let due = self.next_due(now, endpoints);
        self.next_at = due.map(|due| self.next_at.map_or(due, |at| at.min(due)));
    }

    /// Requests health checks of the servers that a flow may go to. Returns whether any check had
    /// to be requested.
    pub(crate) fn request(
        &mut self,
        now: Time,
        servers: &[ServerId],
        endpoints: &mut Endpoints,
    ) -> bool {
        let mut is_requested = false;
        for server_id in servers {
            let server = endpoints.servers.get_mut(server_id);
            let times = &mut server
                .expect("only listed servers are selected")
                .health_check;
            if times.requested_at + REQUESTED_CHECK_TIMEOUT < now {
                (times.requested_at, times.next_at) = (now, now);
                self.next_at = Some(now);
                is_requested = true;
                if let Some(candidates) = &mut endpoints.candidates {
                    candidates.health_checks.request(*server_id);
                }
            }
        }
        is_requested
    }

    /// Schedules the next check of a server whose check failed, within [`CHECK_INTERVAL_MIN`].
    pub(crate) fn retry_failed(&mut self, now: Time, times: &mut HealthCheckTimes) {
        times.next_at = times.next_at.min(now + CHECK_INTERVAL_MIN);
        self.next_at = self.next_at.map(|at| at.min(now + CHECK_INTERVAL_MIN));
    }

    /// Returns the servers to check now.
    pub(crate) fn take_due(
        &mut self,
        now: Time,
        endpoints: &mut Endpoints,
        connections: &ConnectionTable,
        recent_connections: &RecentConnections,
    ) -> Vec<ServerId> {
        if self.next_at.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let due = if endpoints.is_long() {
            take_budgeted(now, endpoints, connections)
        } else {
            let affordable = self.update_interval(now, endpoints, connections, recent_connections);
            self.take_scheduled(now, affordable, endpoints, connections)
        };
        self.next_at = self.next_due(now, endpoints);
        due
    }

    /// Sets the check interval to what the current flows can pay for, and decides whether checks
    /// are made on demand. Returns the affordable interval without bounds.
    fn update_interval(
        &mut self,
        now: Time,
        endpoints: &Endpoints,
        connections: &ConnectionTable,
        recent_connections: &RecentConnections,
    ) -> Time {
        let flows = self.expected_flows(now, endpoints, connections, recent_connections);
        let interval_for_all = self.affordable_interval(flows, endpoints.servers.len());
        self.is_on_demand = self.enabled && interval_for_all > ON_DEMAND_INTERVAL_MIN;
        let affordable = if self.is_on_demand {
            self.affordable_interval(flows, connections.by_server.len())
        } else {
            interval_for_all
        };
        self.interval = affordable.clamp(CHECK_INTERVAL_MIN, CHECK_INTERVAL_MAX);
        affordable
    }

    /// Estimates the own flows of one rate window as the number of connections established in the
    /// last window.
    ///
    /// Until the first window has passed, the number of adopted connections gives a lower bound. If
    /// there are none, the bound is this balancer's share of the connections that servers are
    /// assumed to hold. Guards against reports that stay in use for the longest interval, and
    /// against hundreds of balancers that each expect all the flows.
    fn expected_flows(
        &self,
        now: Time,
        endpoints: &Endpoints,
        connections: &ConnectionTable,
        recent_connections: &RecentConnections,
    ) -> usize {
        let connected = recent_connections.count_in_window();
        let expected = if !recent_connections.is_in_first_window(now) {
            1
        } else if recent_connections.recently_started_empty(now, connections) {
            let servers_per_balancer = (endpoints.servers.len() as f64 / self.balancers).min(1.0);
            (SERVER_CONNECTIONS_MIN * servers_per_balancer) as usize
        } else {
            connections.own.len() / ADOPTED_CONNECTIONS_PER_FLOW
        };
        connected.max(expected).max(1)
    }

    /// Returns the interval at which checks of this many servers stay within their fraction of the
    /// flows' value.
    fn affordable_interval(&self, flows: usize, servers: usize) -> Time {
        let checks = COST_FRACTION_MAX * flows as f64 / self.cost_per_check.max(f64::MIN_POSITIVE);
        (RATE_WINDOW as f64 * servers as f64 / checks) as Time
    }

    /// Returns all servers whose check is due, and schedules their next check.
    fn take_scheduled(
        &self,
        now: Time,
        affordable: Time,
        endpoints: &mut Endpoints,
        connections: &ConnectionTable,
    ) -> Vec<ServerId> {
        let mut due = Vec::new();
        for server in endpoints.servers.values_mut() {
            if server.health_check.next_at > now || !server.is_ready() {
                continue;
            }
            let server_id = server.endpoint.server_id;
            // If checks are cheap, a server with low utilization is checked as often as the others:
            // it may fill up between two checks.
            let utilization = server.load.last_utilization();
            let is_low = utilization.is_some_and(|utilization| utilization < LOW_UTILIZATION_MAX);
            let is_checked_less_often = is_low && affordable > CHECK_INTERVAL_MIN / 2;
            let intervals = if is_checked_less_often { 2 } else { 1 };
            let times = &mut server.health_check;
            times.next_at = now + CHECK_INTERVAL_MAX.min(intervals * self.interval);
            if !self.is_on_demand
                || connections.by_server.contains_key(&server_id)
                || now < times.requested_at + REQUESTED_CHECK_TIMEOUT
            {
                due.push(server_id);
            }
        }
        due
    }

    /// Computes when the next check is due. The result is stored so that not every event has to
    /// walk all servers.
    fn next_due(&self, now: Time, endpoints: &Endpoints) -> Option<Time> {
        if !self.enabled {
            return None;
        }
        if endpoints.is_long() {
            return Some(now + LONG_LIST_BATCH_INTERVAL);
        }
        let servers = endpoints.servers.values();
        servers
            .filter(|server| server.is_ready())
            .map(|server| server.health_check.next_at)
            .min()
            .map(|at| at.max(now + CHECK_BATCH_WINDOW))
    }
}

/// Draws the time of a new server's first check. Guards against all balancers checking the server
/// at the same time.
pub(crate) fn initial_times(now: Time, rng: &mut WyRand) -> HealthCheckTimes {
    HealthCheckTimes {
        next_at: now + rng.generate_range(0..CHECK_INTERVAL_MIN),
        ..HealthCheckTimes::default()
    }
}

/// Returns the servers of a long list to check now: as many as the budget allows.
fn take_budgeted(
    now: Time,
    endpoints: &mut Endpoints,
    connections: &ConnectionTable,
) -> Vec<ServerId> {
    let Some(candidates) = &mut endpoints.candidates else {
        return Vec::new();
    };
    let servers = &mut endpoints.servers;
    let last_report = |server_id| {
        let server = servers.get(&server_id).filter(|server| server.is_ready())?;
        let requested_at = server.health_check.requested_at;
        Some(server.load.checked_at().max(requested_at))
    };
    let by_server = &connections.by_server;
    let due = candidates
        .health_checks
        .take_due(now, by_server, BTreeSet::len, last_report);
    for server_id in &due {
        if let Some(server) = servers.get_mut(server_id) {
            server.health_check.requested_at = now;
        }
    }
    due
}
