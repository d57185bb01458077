//! Health checks: which server is checked when, within what checks may cost.
//!
//! A health check brings a load report. On a short list each server is checked in an interval
//! between [`CHECK_INTERVAL_MIN`] and [`CHECK_INTERVAL_MAX`], as long as keeps checks within their
//! part of the flows' value. Where that is too long, servers without own connections are checked
//! on demand, when a flow may go there. On a long list a budget of bytes bounds the checks.

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
/// Part of the value of own flows that checks may cost.
const COST_FRACTION_MAX: f64 = 0.02;
/// Where checks of all servers are affordable only further apart, they are made on demand.
const ON_DEMAND_INTERVAL_MIN: Time = 3 * SEC;
/// A check that was requested for a flow and has brought nothing for so long is lost.
const CHECK_TIMEOUT: Time = 150 * MS;
/// A server under this utilization is checked half as often, unless checks are cheap.
const LOW_UTILIZATION_MAX: f64 = 0.4;
/// Interval between two batches of checks on a long list.
const LONG_LIST_BATCH_INTERVAL: Time = 250 * MS;
/// Checks that are due within this span go out together: each batch walks all servers.
const BATCH_WINDOW: Time = 125 * MS;
/// An adopted connection counts as a flow of the rate window: connections live for about three.
const ADOPTED_CONNECTIONS_PER_FLOW: usize = 3;

/// Whether servers may be checked, and at what cost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthCheckConfig {
    /// Whether servers may be checked at all.
    pub enabled: bool,
    /// Cost of a check as a fraction of a flow's value.
    pub cost: f64,
}

/// Schedules health checks.
pub(crate) struct HealthChecks {
    enabled: bool,
    cost: f64,
    balancers: f64,
    interval: Time,
    is_on_demand: bool,
    /// When the next server is due.
    next_at: Option<Time>,
}

impl HealthChecks {
    pub(crate) fn new(config: &HealthCheckConfig, balancers: f64) -> Self {
        HealthChecks {
            enabled: config.enabled,
            cost: config.cost.max(0.0),
            balancers,
            interval: CHECK_INTERVAL_MIN,
            is_on_demand: false,
            next_at: None,
        }
    }

    /// Keeps the schedule that stood under other settings.
    pub(crate) fn continue_from(&mut self, old: &HealthChecks) {
        self.interval = old.interval;
        self.is_on_demand = old.is_on_demand && self.enabled;
        self.next_at = old.next_at;
    }

    /// Whether servers without own connections are checked only when a flow may go there.
    pub(crate) fn is_on_demand(&self) -> bool {
        self.is_on_demand
    }

    /// When the next check is due.
    pub(crate) fn next_at(&self) -> Option<Time> {
        self.next_at
    }

    /// How long a report counts. Not until the next check has ended: it is put off for good while
    /// checks fail.
    pub(crate) fn report_lifetime(&self) -> Time {
        report_lifetime(CHECK_INTERVAL_MAX.min(2 * self.interval))
    }

    /// Takes in that the endpoint list has changed. Nothing that is due is put off: guards against
    /// a list that changes many times a second and checks that never come due.
    pub(crate) fn follow_list(&mut self, now: Time, endpoints: &Endpoints) {
        if endpoints.is_long() {
            self.is_on_demand = self.enabled;
        }
        let due = self.next_due(now, endpoints);
        self.next_at = due.map(|due| self.next_at.map_or(due, |at| at.min(due)));
    }

    /// Requests checks of the servers that a flow may go to, and returns whether any was needed.
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
            if times.requested_at + CHECK_TIMEOUT < now {
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

    /// Checks a server again soon whose check has failed.
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

    /// Sets the interval by what is affordable now, and whether checks are made on demand. Returns
    /// the affordable interval, which has no bounds.
    fn update_interval(
        &mut self,
        now: Time,
        endpoints: &Endpoints,
        connections: &ConnectionTable,
        recent_connections: &RecentConnections,
    ) -> Time {
        let flows = self.expected_flows(now, endpoints, connections, recent_connections);
        let for_all = self.affordable_interval(flows, endpoints.servers.len());
        self.is_on_demand = self.enabled && for_all > ON_DEMAND_INTERVAL_MIN;
        let affordable = if self.is_on_demand {
            self.affordable_interval(flows, connections.by_server.len())
        } else {
            for_all
        };
        self.interval = affordable.clamp(CHECK_INTERVAL_MIN, CHECK_INTERVAL_MAX);
        affordable
    }

    /// Own flows to expect in a rate window: those that connected in the last one. Until one has
    /// passed, adopted connections tell; where there are none, this balancer's part of what
    /// servers hold: guards against reports that stand for the longest interval, and hundreds of
    /// balancers that each expect all flows.
    fn expected_flows(
        &self,
        now: Time,
        endpoints: &Endpoints,
        connections: &ConnectionTable,
        recent_connections: &RecentConnections,
    ) -> usize {
        let connected = recent_connections.servers_within(now, RATE_WINDOW).count();
        let expected = if !recent_connections.is_starting(now) {
            1
        } else if recent_connections.has_started_empty(now, connections) {
            let servers_of_own = (endpoints.servers.len() as f64 / self.balancers).min(1.0);
            (SERVER_CONNECTIONS_MIN * servers_of_own) as usize
        } else {
            connections.own.len() / ADOPTED_CONNECTIONS_PER_FLOW
        };
        connected.max(expected).max(1)
    }

    /// The interval at which checks of so many servers stay within their part of the flows' value.
    fn affordable_interval(&self, flows: usize, servers: usize) -> Time {
        let checks = COST_FRACTION_MAX * flows as f64 / self.cost.max(f64::MIN_POSITIVE);
        (RATE_WINDOW as f64 * servers as f64 / checks) as Time
    }

    /// All servers whose check is due.
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
            // Where checks are cheap a server of low utilization isn't spared: it may fill
            // meanwhile.
            let utilization = server.load.last_utilization();
            let is_low = utilization.is_some_and(|utilization| utilization < LOW_UTILIZATION_MAX);
            let is_spared = is_low && affordable > CHECK_INTERVAL_MIN / 2;
            let intervals = if is_spared { 2 } else { 1 };
            let times = &mut server.health_check;
            times.next_at = now + CHECK_INTERVAL_MAX.min(intervals * self.interval);
            if !self.is_on_demand
                || connections.by_server.contains_key(&server_id)
                || now < times.requested_at + CHECK_TIMEOUT
            {
                due.push(server_id);
            }
        }
        due
    }

    /// When the next check is due, kept so that not every event walks all servers.
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
            .map(|at| at.max(now + BATCH_WINDOW))
    }
}

/// Draws when a new server is first checked. Guards against all balancers checking it in step.
pub(crate) fn initial_times(now: Time, rng: &mut WyRand) -> HealthCheckTimes {
    HealthCheckTimes {
        next_at: now + rng.generate_range(0..CHECK_INTERVAL_MIN),
        ..HealthCheckTimes::default()
    }
}

/// On a long list: as many servers as the budget allows.
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
