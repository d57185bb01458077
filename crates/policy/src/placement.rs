//! Placement: which servers a flow may go to, as a chain of filters over candidates, and which of
//! these take turns.

use std::collections::BTreeSet;

use crate::endpoints::Server;
use crate::fleet_view::FleetView;
use crate::gossip::Gossip;
use crate::group_affinity::GroupAffinity;
use crate::health_checks::HealthChecks;
use crate::load_reports::{
    EXCLUDING_REPORT_AGE_MAX, ExpectedUtilization, OVERLOAD_UTILIZATION, PLACEMENT_REPORT_AGE_MAX,
    REPORT_DELAY, SERVER_CONNECTIONS_MIN,
};
use crate::recent_connections::RATE_WINDOW;
use crate::retry::RetryPolicy;
use crate::rotation;
use crate::slow_start::SlowStart;
use crate::types::{Flow, ServerId, Time, TrafficClass};

/// Nothing is placed on a server that is expected to be higher, but flows with priority: the gap
/// under [`OVERLOAD_UTILIZATION`] keeps clients from being migrated soon.
pub const PLACEMENT_UTILIZATION_MAX: f64 = 0.72;
/// The same for servers new to the flow's group, which brings its common work with it.
pub const NEW_GROUP_UTILIZATION_MAX: f64 = 0.49;
/// Connections for which the home server of a group keeps room under [`OVERLOAD_UTILIZATION`].
const HOME_RESERVED_CONNECTIONS: f64 = 4.0;
/// A fresh connection counts as so many mean ones: it is set up, and may bring its group.
const NEW_CONNECTION_COST: f64 = 2.0;
/// Servers among which a group without one chooses, where balancers gossip: with one choice only,
/// servers fill that hold others' groups.
const GROUP_CHOICES_WITH_GOSSIP: usize = 4;
/// The same among the candidates of a long list, where a home may hold many groups.
const GROUP_CHOICES_AMONG_CANDIDATES: usize = 2;
/// The same on a list that is looked at whole.
const GROUP_CHOICES: usize = 1;
/// Servers that hold more than this many times the mean of own connections are passed over.
const FAIR_SHARE_FACTOR: f64 = 1.5;

/// A server that a flow may go to, and its utilization where it is known.
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

/// What a look at the candidates found.
pub(crate) struct Selection {
    /// Servers of which a newer report is needed before the flow goes there.
    pub(crate) needs_report: Vec<ServerId>,
    /// Servers that take turns.
    pub(crate) eligible: Vec<ServerId>,
    /// The least utilization expected of any candidate.
    pub(crate) least_utilization: f64,
}

/// What is expected of the candidates as a whole.
struct CandidateLoad {
    /// Mean of own connections at a candidate.
    mean_own_connections: f64,
    expected: ExpectedUtilization,
}

/// One look for where a flow may go.
pub(crate) struct PlacementQuery<'a> {
    pub(crate) view: FleetView<'a>,
    pub(crate) flow: &'a Flow,
    /// The servers to look at; all where there is none.
    pub(crate) scope: Option<&'a [ServerId]>,
    pub(crate) class: TrafficClass,
    pub(crate) zone: u64,
    pub(crate) balancers: f64,
    /// Utilization that the flow may use beyond the limits for all.
    pub(crate) priority_utilization: f64,
    pub(crate) health_checks: &'a HealthChecks,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) retry: &'a RetryPolicy,
    pub(crate) gossip: &'a Gossip,
}

impl<'a> PlacementQuery<'a> {
    /// Looks for where the flow may go.
    pub(crate) fn select(&self) -> Selection {
        let listed = self.listed();
        let looked_at_fraction =
            listed.len() as f64 / self.view.endpoints.servers.len().max(1) as f64;
        let permitted = self.permitted(listed);
        let responsive = self.prefer_responsive(permitted);
        let load = self.candidate_load(&responsive, looked_at_fraction);
        let affinity = self.group_affinity(&responsive);
        let (open, least_utilization) = self.below_limit(responsive, &load, &affinity);
        let preferred = self.prefer_balanced(open, &load);
        let preferred = self.prefer_local(preferred, &affinity);
        let (needs_report, eligible) = self.take_choices(preferred, &load, &affinity);
        Selection {
            needs_report: self.with_outdated_report(&needs_report),
            eligible: eligible.iter().map(Candidate::id).collect(),
            least_utilization,
        }
    }

    /// The servers of the scope, or all.
    fn listed(&self) -> Vec<&'a Server> {
        let servers = &self.view.endpoints.servers;
        match self.scope {
            None => servers.values().collect(),
            Some(scope) => scope.iter().filter_map(|id| servers.get(id)).collect(),
        }
    }

    /// Those that may get an attempt: ready ones where a repeat can do no harm, and warming ones
    /// only within their slow start budget. Their utilization is worked out once for a
    /// flow, as this is most of what a placement costs.
    fn permitted(&self, listed: Vec<&'a Server>) -> Vec<Candidate<'a>> {
        let may_attempt = |server: &&Server| {
            let idempotency = self.class.idempotency;
            self.retry.may_attempt(
                self.view.now,
                self.flow,
                idempotency,
                &server.endpoint,
                self.view.endpoints,
            )
        };
        let permitted = listed
            .into_iter()
            .filter(may_attempt)
            .filter(|server| self.slow_start.admits(self.view.now, server));
        let candidate = |server: &'a Server| Candidate {
            server,
            utilization: self.view.utilization(server),
        };
        permitted.map(candidate).collect()
    }

    /// Prefers healthy servers that were not tried yet. Guards against one that answers nothing and
    /// soon holds all attempts that may be in flight.
    fn prefer_responsive(&self, permitted: Vec<Candidate<'a>>) -> Vec<Candidate<'a>> {
        let objective = self.class.latency_objective;
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

    /// Works out what is expected of the candidates between reports: what was placed lately counts
    /// at once, and other balancers place as this one does on average. Guards against all filling
    /// a server on one report.
    fn candidate_load(&self, candidates: &[Candidate], looked_at_fraction: f64) -> CandidateLoad {
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
        let (mut sum, mut reports, mut recent_attempts, mut open) = (0.0, 0.0, 0, 0.0);
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
                open += 1.0;
            }
        }
        let mean = sum / f64::max(reports, 1.0);
        let connections = (mean_own_connections * self.balancers).max(SERVER_CONNECTIONS_MIN);
        let mean_recent_attempts = recent_attempts as f64 / number;
        let expected = ExpectedUtilization {
            mean,
            per_connection: NEW_CONNECTION_COST * mean / connections,
            peer_attempts: self.peer_attempts(mean_recent_attempts, looked_at_fraction, open),
        };
        CandidateLoad {
            mean_own_connections,
            expected,
        }
    }

    /// Attempts that other balancers are taken to have made at each server since its report. By
    /// the usual rate where reports are few: guards against one own attempt that is taken for one
    /// of each of hundreds of balancers. All go where there is room.
    fn peer_attempts(
        &self,
        mean_recent_attempts: f64,
        looked_at_fraction: f64,
        open_servers: f64,
    ) -> f64 {
        let report_age = (REPORT_DELAY + PLACEMENT_REPORT_AGE_MAX) as f64 / RATE_WINDOW as f64;
        let usual = report_age * looked_at_fraction * self.view.recent_connections.len() as f64
            / f64::max(open_servers, 1.0);
        if self.gossip.is_enabled() || self.health_checks.is_on_demand() {
            (self.balancers - 1.0) * usual
        } else if self.is_returning_after_restart() {
            -mean_recent_attempts
        } else {
            (self.balancers - 1.0) * mean_recent_attempts
        }
    }

    /// Whether the client reconnects and this balancer has just restarted. Guards against a
    /// balancer that rejects such clients, or puts all on the first server that shows room: they
    /// bring no new load, the reports have it.
    fn is_returning_after_restart(&self) -> bool {
        self.flow.reconnecting && self.view.has_started_empty()
    }

    /// Where the flow's group is held, or is at home in the own zone.
    fn group_affinity(&self, candidates: &[Candidate]) -> GroupAffinity<'a> {
        let mut affinity = GroupAffinity::new(&self.view, self.flow, self.gossip);
        let local = candidates
            .iter()
            .filter(|candidate| self.is_local(candidate.server));
        affinity.choose_home(local.map(Candidate::id));
        affinity
    }

    /// Keeps the servers that are expected below their limit, and returns the least utilization
    /// expected of any.
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
                0.0
            } else {
                load.expected.of(&server.load, candidate.utilization)
            };
            least = least.min(expected);
            expected < OVERLOAD_UTILIZATION
                && expected < self.utilization_max(server, &load.expected, affinity, is_returning)
        });
        (candidates, least)
    }

    /// The utilization under which this server takes the flow.
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
            // Where no loads are reported no flow brings more for its load than the rest.
            return NEW_GROUP_UTILIZATION_MAX;
        } else {
            NEW_GROUP_UTILIZATION_MAX
        };
        OVERLOAD_UTILIZATION.min(self.priority_utilization + limit)
    }

    /// Prefers servers that don't hold well over the mean of own connections.
    fn prefer_balanced(
        &self,
        candidates: Vec<Candidate<'a>>,
        load: &CandidateLoad,
    ) -> Vec<Candidate<'a>> {
        // Guards against the few that one of hundreds of balancers holds being taken for too many.
        let slack = if self.gossip.is_enabled() {
            SERVER_CONNECTIONS_MIN
        } else {
            1.0
        };
        // Some servers are candidates more often than others: the rotation alone would give them
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

    /// Prefers servers in the own zone, then holders of the group. Holders come before the zone
    /// where balancers gossip: a crossing is paid for once, a group's common work on each server
    /// as long as it holds any.
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

    /// Returns the servers whose reports matter, and those that take turns: the server whose turn
    /// it is and all, or, for a group that needs a server, the first few in the group's order and
    /// the least utilized of them.
    fn take_choices(
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
        let choices = if self.gossip.is_enabled() {
            GROUP_CHOICES_WITH_GOSSIP
        } else if self.scope.is_some() {
            GROUP_CHOICES_AMONG_CANDIDATES
        } else {
            GROUP_CHOICES
        };
        candidates.sort_by_key(|candidate| affinity.rank(candidate.id()));
        candidates.truncate(choices);
        let expected = |candidate: &Candidate| {
            load.expected
                .of(&candidate.server.load, candidate.utilization)
        };
        let least = candidates
            .iter()
            .copied()
            .min_by(|a, b| expected(a).total_cmp(&expected(b)));
        (candidates, least.into_iter().collect())
    }

    /// Those that need a newer report before a flow goes there.
    fn with_outdated_report(&self, candidates: &[Candidate]) -> Vec<ServerId> {
        candidates
            .iter()
            .filter(|candidate| self.is_outdated(candidate.server, PLACEMENT_REPORT_AGE_MAX))
            .map(Candidate::id)
            .collect()
    }

    /// Whether the last report is too old to keep flows off the server.
    fn is_excluding_report_outdated(&self, server: &Server) -> bool {
        self.is_outdated(server, EXCLUDING_REPORT_AGE_MAX)
    }

    /// Whether checks are made on demand and the last report is older than this.
    fn is_outdated(&self, server: &Server, age_max: Time) -> bool {
        self.health_checks.is_on_demand() && server.load.is_outdated(self.view.now, age_max)
    }

    fn is_local(&self, server: &Server) -> bool {
        server.endpoint.zone == self.zone
    }
}

/// Those that pass, or all of them where none does.
fn prefer<'a>(
    mut candidates: Vec<Candidate<'a>>,
    passes: impl Fn(&Server) -> bool,
) -> Vec<Candidate<'a>> {
    if candidates.iter().any(|candidate| passes(candidate.server)) {
        candidates.retain(|candidate| passes(candidate.server));
    }
    candidates
}
