//! Placement: selects the servers that a flow may go to. The candidates pass through a chain of
//! filters, and the servers that remain take turns in the rotation.

use std::collections::BTreeSet;

use crate::endpoints::Server;
use crate::fleet_view::FleetView;
use crate::gossip::Gossip;
use crate::group_affinity::GroupAffinity;
use crate::health_checks::HealthChecks;
use crate::load_reports::{
    EXCLUSION_REPORT_AGE_MAX, ExpectedUtilization, OVERLOAD_UTILIZATION, PLACEMENT_REPORT_AGE_MAX,
    REPORT_DELAY, SERVER_CONNECTIONS_MIN,
};
use crate::recent_connections::RATE_WINDOW;
use crate::retry::RetryPolicy;
use crate::rotation;
use crate::slow_start::SlowStart;
use crate::types::{Flow, ServerId, Time};

/// Flows without priority are placed only on servers whose expected utilization is below this
/// limit. The gap to [`OVERLOAD_UTILIZATION`] keeps newly placed clients from being migrated soon.
pub const PLACEMENT_UTILIZATION_MAX: f64 = 0.72;
/// The same limit for flows without a group, and for servers that hold none of the flow's group: a
/// server's first connection of a group adds the group's common work.
pub const NEW_GROUP_UTILIZATION_MAX: f64 = 0.49;
/// Further connections for which a group's home server keeps room below [`OVERLOAD_UTILIZATION`].
const HOME_RESERVED_CONNECTIONS: f64 = 4.0;
/// A new connection is expected to add as much load as this many average connections: it has to be
/// set up, and may bring its group's common work to the server.
const NEW_CONNECTION_COST: f64 = 2.0;
/// Number of servers from which a group that no server holds takes the least utilized one, if
/// balancers gossip. With only one choice, servers that hold other groups would fill up.
const GROUP_CHOICES_WITH_GOSSIP: usize = 4;
/// The same number among the candidates of a long list, where one home server may hold many groups.
const GROUP_CHOICES_AMONG_CANDIDATES: usize = 2;
/// The same number if the whole list is considered.
const GROUP_CHOICES: usize = 1;
/// Servers that hold more than this multiple of the mean number of own connections are avoided.
const FAIR_SHARE_FACTOR: f64 = 1.5;

/// A server that a flow may go to, and its utilization if that is known.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    server: &'a Server,
    utilization: Option<f64>,
}

impl Candidate<'_> {
    fn id(&self) -> ServerId {
        self.server.endpoint.server_id
    }
}

/// The result of filtering the candidates for one flow.
pub(crate) struct Selection {
    /// Servers whose load report has to be renewed before the flow is placed.
    pub(crate) needs_report: Vec<ServerId>,
    /// Servers that take turns in the rotation for this flow.
    pub(crate) eligible: Vec<ServerId>,
    /// The lowest expected utilization of all candidates.
    pub(crate) least_utilization: f64,
}

/// The load that is expected of the candidates as a whole.
struct CandidateLoad {
    /// Mean number of own connections per candidate.
    mean_own_connections: f64,
    expected: ExpectedUtilization,
}

/// The inputs for placing one flow.
pub(crate) struct PlacementQuery<'a> {
    pub(crate) view: FleetView<'a>,
    pub(crate) flow: &'a Flow,
    /// The servers to consider; all listed servers if `None`.
    pub(crate) scope: Option<&'a [ServerId]>,
    pub(crate) zone: u64,
    pub(crate) balancers: f64,
    /// Utilization by which the flow may exceed the limits that apply to all flows.
    pub(crate) priority_utilization: f64,
    pub(crate) health_checks: &'a HealthChecks,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) retry: &'a RetryPolicy,
    pub(crate) gossip: &'a Gossip,
}

impl<'a> PlacementQuery<'a> {
    /// Filters the servers in scope and selects those that the flow may go to.
    pub(crate) fn select(&self) -> Selection {
        let servers = self.servers_in_scope();
        let considered_fraction =
            servers.len() as f64 / self.view.endpoints.servers.len().max(1) as f64;
        let permitted = self.permitted(servers);
        let responsive = self.prefer_responsive(permitted);
        let load = self.candidate_load(&responsive, considered_fraction);
        let affinity = self.group_affinity(&responsive);
        let (below_limit, least_utilization) = self.below_limit(responsive, &load, &affinity);
        let preferred = self.prefer_balanced(below_limit, &load);
        let preferred = self.prefer_local(preferred, &affinity);
        let (needs_report, eligible) = self.choose_servers(preferred, &load, &affinity);
        Selection {
            needs_report: self.filter_outdated_reports(&needs_report),
            eligible: eligible.iter().map(Candidate::id).collect(),
            least_utilization,
        }
    }

    /// The listed servers in scope.
    fn servers_in_scope(&self) -> Vec<&'a Server> {
        let servers = &self.view.endpoints.servers;
        match self.scope {
            None => servers.values().collect(),
            Some(scope) => scope.iter().filter_map(|id| servers.get(id)).collect(),
        }
    }

    /// The servers that may receive an attempt: they are ready, a repeat there can do no harm, and
    /// a warming-up server still has slow-start budget. Each server's utilization is computed only
    /// once per flow, because this is most of the cost of a placement.
    fn permitted(&self, servers: Vec<&'a Server>) -> Vec<Candidate<'a>> {
        let may_attempt = |server: &&Server| {
            self.retry.may_attempt(
                self.view.now,
                self.flow,
                &server.endpoint,
                self.view.endpoints,
            )
        };
        let permitted = servers
            .into_iter()
            .filter(may_attempt)
            .filter(|server| self.slow_start.admits(self.view.now, server));
        let candidate = |server: &'a Server| Candidate {
            server,
            utilization: self.view.utilization(server),
        };
        permitted.map(candidate).collect()
    }

    /// Prefers healthy servers that the flow has not tried yet and that have no overdue attempt in
    /// flight. Guards against a server that does not answer and soon holds all the attempts that
    /// may be in flight.
    fn prefer_responsive(&self, permitted: Vec<Candidate<'a>>) -> Vec<Candidate<'a>> {
        let objective = self.flow.class.latency_objective;
        let overdue: BTreeSet<ServerId> = self
            .view
            .connections
            .in_flight
            .values()
            .filter(|attempt| attempt.since + objective < self.view.now)
            .map(|attempt| attempt.server_id)
            .collect();
        let was_tried = |server_id: ServerId| {
            let mut attempts = self.flow.attempts.iter();
            attempts.any(|attempt| attempt.server_id == server_id)
        };
        prefer(permitted, |server| {
            let server_id = server.endpoint.server_id;
            server.outlier.is_healthy(self.view.now)
                && !was_tried(server_id)
                && !overdue.contains(&server_id)
        })
    }

    /// Estimates the candidates' load since their last reports. Own attempts made since then count
    /// at once, and every other balancer is assumed to place as many flows as this one on average.
    /// Guards against all balancers filling a server on the basis of the same report.
    fn candidate_load(&self, candidates: &[Candidate], considered_fraction: f64) -> CandidateLoad {
        let number = candidates.len().max(1) as f64;
        let own_connections = if self.scope.is_some() {
            let counts = candidates
                .iter()
                .map(|candidate| self.view.own_connections(candidate.server));
            counts.sum()
        } else {
            self.view.connections.own.len() as f64
        };
        let mean_own_connections = own_connections / number;
        let (mut sum, mut reports, mut recent_attempts, mut servers_with_room) = (0.0, 0.0, 0, 0.0);
        for Candidate {
            server,
            utilization,
        } in candidates
        {
            recent_attempts += server.load.recent_attempts();
            if let Some(utilization) = utilization {
                sum += utilization;
                reports += 1.0;
            }
            let has_room =
                utilization.is_some_and(|utilization| utilization < PLACEMENT_UTILIZATION_MAX);
            if has_room || self.is_excluding_report_outdated(server) {
                servers_with_room += 1.0;
            }
        }
        let mean = sum / f64::max(reports, 1.0);
        let connections = (mean_own_connections * self.balancers).max(SERVER_CONNECTIONS_MIN);
        let mean_recent_attempts = recent_attempts as f64 / number;
        let expected = ExpectedUtilization {
            mean,
            per_connection: NEW_CONNECTION_COST * mean / connections,
            peer_attempts: self.peer_attempts(
                mean_recent_attempts,
                considered_fraction,
                servers_with_room,
            ),
        };
        CandidateLoad {
            mean_own_connections,
            expected,
        }
    }

    /// Estimates the attempts that other balancers have made at each server since its last report.
    /// If reports are rare (gossip or on-demand checks), the estimate follows from the usual
    /// connection rate, spread over the servers that have room. Otherwise it follows from this
    /// balancer's own recent attempts; for clients that return after a restart it cancels these
    /// out. Guards against counting one own attempt as one attempt by each of hundreds of
    /// balancers.
    fn peer_attempts(
        &self,
        mean_recent_attempts: f64,
        considered_fraction: f64,
        servers_with_room: f64,
    ) -> f64 {
        let report_age = (REPORT_DELAY + PLACEMENT_REPORT_AGE_MAX) as f64 / RATE_WINDOW as f64;
        let usual = report_age * considered_fraction * self.view.recent_connections.len() as f64
            / f64::max(servers_with_room, 1.0);
        if self.gossip.is_enabled() || self.health_checks.is_on_demand() {
            (self.balancers - 1.0) * usual
        } else if self.is_returning_after_restart() {
            -mean_recent_attempts
        } else {
            (self.balancers - 1.0) * mean_recent_attempts
        }
    }

    /// Whether the client reconnects to a balancer that started recently without any connections.
    /// Such clients bring no new load: the load reports already include it. Guards against a
    /// balancer that rejects these clients, or places all of them on the first server that shows
    /// room.
    fn is_returning_after_restart(&self) -> bool {
        self.flow.reconnecting && self.view.recently_started_empty()
    }

    /// Determines which servers hold the flow's group, or, if none does, its home server in the
    /// balancer's own zone.
    fn group_affinity(&self, candidates: &[Candidate]) -> GroupAffinity<'a> {
        let mut affinity = GroupAffinity::new(&self.view, self.flow, self.gossip);
        let local = candidates
            .iter()
            .filter(|candidate| self.is_local(candidate.server));
        affinity.choose_home(local.map(Candidate::id));
        affinity
    }

    /// Keeps the servers whose expected utilization is below their limit. Also returns the lowest
    /// expected utilization of all candidates.
    fn below_limit(
        &self,
        mut candidates: Vec<Candidate<'a>>,
        load: &CandidateLoad,
        affinity: &GroupAffinity,
    ) -> (Vec<Candidate<'a>>, f64) {
        let is_returning = self.is_returning_after_restart();
        let mut least = f64::INFINITY;
        candidates.retain(|candidate| {
            let server = candidate.server;
            let expected = if self.is_excluding_report_outdated(server) {
                // Counts as empty, so that the server can be selected and is checked again.
                0.0
            } else {
                load.expected.estimate(&server.load, candidate.utilization)
            };
            least = least.min(expected);
            expected < OVERLOAD_UTILIZATION
                && expected < self.utilization_max(server, &load.expected, affinity, is_returning)
        });
        (candidates, least)
    }

    /// The expected utilization below which this server accepts the flow.
    fn utilization_max(
        &self,
        server: &Server,
        expected: &ExpectedUtilization,
        affinity: &GroupAffinity,
        is_returning: bool,
    ) -> f64 {
        let limit = if is_returning {
            expected
                .mean
                .clamp(NEW_GROUP_UTILIZATION_MAX, PLACEMENT_UTILIZATION_MAX)
        } else if affinity.holds(server.endpoint.server_id) {
            PLACEMENT_UTILIZATION_MAX
        } else if affinity.is_home(server.endpoint.server_id) {
            let reserved = HOME_RESERVED_CONNECTIONS * expected.per_connection;
            (OVERLOAD_UTILIZATION - reserved)
                .clamp(NEW_GROUP_UTILIZATION_MAX, PLACEMENT_UTILIZATION_MAX)
        } else if affinity.is_announced() && self.view.connections.loads.is_empty() {
            // Without reported connection loads no flow brings more priority weight for its load
            // than the rest, so none gets the priority allowance.
            return NEW_GROUP_UTILIZATION_MAX;
        } else {
            NEW_GROUP_UTILIZATION_MAX
        };
        OVERLOAD_UTILIZATION.min(self.priority_utilization + limit)
    }

    /// Prefers servers whose number of own connections is not well above the mean.
    fn prefer_balanced(
        &self,
        candidates: Vec<Candidate<'a>>,
        load: &CandidateLoad,
    ) -> Vec<Candidate<'a>> {
        // Guards against taking a few connections for too many: one of hundreds of balancers holds
        // only a few at each server.
        let slack = if self.gossip.is_enabled() {
            SERVER_CONNECTIONS_MIN
        } else {
            1.0
        };
        // Some servers are candidates more often than others. The rotation alone would give them
        // more flows.
        let factor = if self.flow.group.is_none() && self.scope.is_some() {
            1.0
        } else {
            FAIR_SHARE_FACTOR
        };
        prefer(candidates, |server| {
            let held = self.view.own_connections(server);
            held <= factor * load.mean_own_connections + slack
        })
    }

    /// Prefers servers in the balancer's own zone, and among these the servers that hold the flow's
    /// group. If balancers gossip, holding the group takes precedence over the zone: crossing zones
    /// is paid for once, but a group's common work is paid for on each server for as long as that
    /// server holds any connection of the group.
    fn prefer_local(
        &self,
        mut candidates: Vec<Candidate<'a>>,
        affinity: &GroupAffinity,
    ) -> Vec<Candidate<'a>> {
        let holds = |server: &Server| affinity.holds(server.endpoint.server_id);
        if self.gossip.is_enabled() {
            candidates = prefer(candidates, holds);
        }
        candidates = prefer(candidates, |server| self.is_local(server));
        prefer(candidates, holds)
    }

    /// Returns the servers whose reports have to be current, and the servers that take turns. If
    /// the flow has no group, or some candidate holds its group, these are the server whose turn is
    /// next, and all candidates. Otherwise these are the first few servers in the group's order,
    /// and the least utilized of them.
    fn choose_servers(
        &self,
        mut candidates: Vec<Candidate<'a>>,
        load: &CandidateLoad,
        affinity: &GroupAffinity,
    ) -> (Vec<Candidate<'a>>, Vec<Candidate<'a>>) {
        let holds = |candidate: &Candidate| affinity.holds(candidate.id());
        if self.flow.group.is_none() || candidates.iter().any(holds) {
            let credit = |candidate: &Candidate| rotation::next_credit(candidate.server);
            let next = candidates
                .iter()
                .copied()
                .max_by(|a, b| credit(a).total_cmp(&credit(b)));
            return (next.into_iter().collect(), candidates);
        }
        let choice_count = if self.gossip.is_enabled() {
            GROUP_CHOICES_WITH_GOSSIP
        } else if self.scope.is_some() {
            GROUP_CHOICES_AMONG_CANDIDATES
        } else {
            GROUP_CHOICES
        };
        candidates.sort_by_key(|candidate| affinity.rank(candidate.id()));
        candidates.truncate(choice_count);
        let expected = |candidate: &Candidate| {
            load.expected
                .estimate(&candidate.server.load, candidate.utilization)
        };
        let least = candidates
            .iter()
            .copied()
            .min_by(|a, b| expected(a).total_cmp(&expected(b)));
        (candidates, least.into_iter().collect())
    }

    /// The candidates whose report has to be renewed before a flow is placed on them.
    fn filter_outdated_reports(&self, candidates: &[Candidate]) -> Vec<ServerId> {
        candidates
            .iter()
            .filter(|candidate| self.is_outdated(candidate.server, PLACEMENT_REPORT_AGE_MAX))
            .map(Candidate::id)
            .collect()
    }

    /// Whether the last report is too old to keep flows off the server.
    fn is_excluding_report_outdated(&self, server: &Server) -> bool {
        self.is_outdated(server, EXCLUSION_REPORT_AGE_MAX)
    }

    /// Whether checks are made on demand and the server's last report is older than `age_max`.
    fn is_outdated(&self, server: &Server, age_max: Time) -> bool {
        self.health_checks.is_on_demand() && server.load.is_outdated(self.view.now, age_max)
    }

    fn is_local(&self, server: &Server) -> bool {
        server.endpoint.zone == self.zone
    }
}

/// Keeps the candidates that pass, or all candidates if none passes.
fn prefer<'a>(
    mut candidates: Vec<Candidate<'a>>,
    passes: impl Fn(&Server) -> bool,
) -> Vec<Candidate<'a>> {
    if candidates.iter().any(|candidate| passes(candidate.server)) {
        candidates.retain(|candidate| passes(candidate.server));
    }
    candidates
}
