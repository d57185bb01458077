//! The policies that a balancer can run in virtual time: nettlemux's own policy, or a textbook
//! baseline to compare it with. Baselines follow the rules on repeats and draining servers, as any
//! correct balancer does. They ignore load reports, slow start and migration, and place flows by
//! their own connection counts alone. Each baseline has its own random stream.

use std::collections::BTreeMap;
use std::str::FromStr;

use nettlemux_fleet_model::rng::Rng;
use nettlemux_flow_table::LoadBalancingPolicy;
use nettlemux_policy::{
    Actions, DeduplicationScope, Endpoint, EndpointState, Flow, FlowId, Idempotency, MS, Placement,
    Policy, PolicyEvent, ServerId, Time,
};
use nettlemux_settings::{DrainMigration, Settings};

/// The time before a deadline by which a balancer answers in virtual time, as on sockets.
pub const MARGIN: Time = 15 * MS;
/// The range of a baseline's Retry-After.
const RETRY_AFTER_SECONDS: [f64; 2] = [0.25, 1.0];

/// The kind of a policy, selected by its name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The policy that balancers run.
    Nettlemux,
    /// A random server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest connections from this balancer.
    LeastConnections,
    /// Of two random servers, the one with fewer connections from this balancer (Mitzenmacher 2001).
    PowerOfTwo,
}

impl PolicyKind {
    /// All policies that nettlemux's own policy is compared with.
    pub const BASELINES: [PolicyKind; 4] = [
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastConnections,
        PolicyKind::PowerOfTwo,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Nettlemux => "module",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::LeastConnections => "least-connections",
            PolicyKind::PowerOfTwo => "power-of-two",
        }
    }

    /// Returns a policy for one balancer.
    pub fn policy(self, settings: &Settings, seed: u64) -> Box<dyn LoadBalancingPolicy> {
        match self {
            PolicyKind::Nettlemux => Box::new(balancer_policy(settings, seed)),
            _ => Box::new(Baseline::new(self, settings, seed)),
        }
    }
}

/// The name of an unknown policy.
#[derive(Debug, thiserror::Error)]
#[error(
    "expected one of module, random, round-robin, least-connections, power-of-two, found '{name}'"
)]
pub struct UnknownPolicy {
    /// The name that was given.
    pub name: String,
}

impl FromStr for PolicyKind {
    type Err = UnknownPolicy;
    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        let mut all = PolicyKind::BASELINES
            .into_iter()
            .chain([PolicyKind::Nettlemux]);
        all.find(|kind| kind.name() == name)
            .ok_or_else(|| UnknownPolicy { name: name.into() })
    }
}

/// Returns the policy that a balancer on sockets runs.
pub fn balancer_policy(settings: &Settings, seed: u64) -> Policy {
    settings
        .policy(seed, MARGIN, DrainMigration::Enabled)
        .expect("the testbed makes valid settings")
}

struct Baseline {
    kind: PolicyKind,
    rng: Rng,
    attempts_max: usize,
    servers: BTreeMap<ServerId, Endpoint>,
    /// The number of this balancer's connections and attempts at each server.
    connection_counts: BTreeMap<ServerId, usize>,
    flows: BTreeMap<FlowId, ServerId>,
    placements: usize,
}

impl Baseline {
    fn new(kind: PolicyKind, settings: &Settings, seed: u64) -> Self {
        Baseline {
            kind,
            rng: Rng::new(seed, 9),
            attempts_max: settings.attempts_max().unwrap_or(1),
            servers: BTreeMap::new(),
            connection_counts: BTreeMap::new(),
            flows: BTreeMap::new(),
            placements: 0,
        }
    }

    /// Whether a further attempt at this server is safe: the flow is idempotent, or the attempt
    /// cannot execute it a second time.
    fn is_repeat_safe(&self, now: Time, flow: &Flow, server: &Endpoint) -> bool {
        let mut ran = flow
            .attempts
            .iter()
            .filter(|attempt| !attempt.known_unexecuted);
        match flow.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::Deduplicated { scope, window } => ran.all(|attempt| {
                let first = self.servers.get(&attempt.server_id);
                let same_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => {
                        first.is_some_and(|first| first.zone == server.zone)
                    }
                    DeduplicationScope::Cell => {
                        first.is_some_and(|first| first.cell == server.cell)
                    }
                };
                same_scope && now + MARGIN < attempt.sent_at + window
            }),
        }
    }

    fn reject_or_fail(&mut self, flow: &Flow) -> Placement {
        let ran = flow
            .attempts
            .iter()
            .any(|attempt| !attempt.known_unexecuted);
        match flow.class.idempotency {
            Idempotency::NonIdempotent if ran => Placement::Fail,
            Idempotency::Deduplicated { scope, .. } if ran && scope != DeduplicationScope::All => {
                Placement::Fail
            }
            _ => {
                let seconds = self
                    .rng
                    .uniform_between(RETRY_AFTER_SECONDS[0], RETRY_AFTER_SECONDS[1]);
                let retry_after = Some((seconds * 1e9) as Time);
                Placement::Reject { retry_after }
            }
        }
    }

    /// The servers that may get an attempt of this flow, without those that it has tried if others
    /// are left.
    fn candidates(&self, now: Time, flow: &Flow) -> Vec<ServerId> {
        let ready = self.servers.values().filter(|server| {
            server.state == EndpointState::Ready && self.is_repeat_safe(now, flow, server)
        });
        let all: Vec<ServerId> = ready.map(|server| server.server_id).collect();
        let was_tried = |server_id: ServerId| {
            let mut attempts = flow.attempts.iter();
            attempts.any(|attempt| attempt.server_id == server_id)
        };
        let untried = all.iter().copied();
        let untried: Vec<ServerId> = untried.filter(|id| !was_tried(*id)).collect();
        if untried.is_empty() { all } else { untried }
    }

    /// Chooses one of the candidates, of which there is at least one.
    fn choose(&mut self, candidates: &[ServerId]) -> ServerId {
        self.placements += 1;
        let start = self.rng.index_below(candidates.len());
        match self.kind {
            PolicyKind::Random | PolicyKind::Nettlemux => candidates[start],
            PolicyKind::RoundRobin => candidates[self.placements % candidates.len()],
            // Ties are broken at random, so that balancers don't all choose the first server.
            PolicyKind::LeastConnections => {
                let order =
                    (0..candidates.len()).map(|i| candidates[(start + i) % candidates.len()]);
                order
                    .min_by_key(|server_id| self.connection_count(*server_id))
                    .expect("at least one candidate")
            }
            PolicyKind::PowerOfTwo => {
                let second = self.rng.index_below(candidates.len());
                let two_candidates = [candidates[start], candidates[second]];
                two_candidates
                    .into_iter()
                    .min_by_key(|server_id| self.connection_count(*server_id))
                    .expect("two candidates")
            }
        }
    }

    fn connection_count(&self, server_id: ServerId) -> usize {
        self.connection_counts.get(&server_id).copied().unwrap_or(0)
    }

    fn assign(&mut self, flow: FlowId, server_id: ServerId) {
        self.release(flow);
        self.flows.insert(flow, server_id);
        *self.connection_counts.entry(server_id).or_default() += 1;
    }

    fn release(&mut self, flow: FlowId) {
        if let Some(server_id) = self.flows.remove(&flow)
            && let Some(count) = self.connection_counts.get_mut(&server_id)
        {
            *count -= 1;
        }
    }
}

impl LoadBalancingPolicy for Baseline {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        let time_left = flow.deadline.saturating_sub(now + MARGIN);
        if time_left == 0
            || flow.attempts.len() >= self.attempts_max
            || flow.attempts.iter().any(|attempt| attempt.in_flight)
        {
            return self.reject_or_fail(flow);
        }
        let candidates = self.candidates(now, flow);
        if candidates.is_empty() {
            return self.reject_or_fail(flow);
        }
        let server_id = self.choose(&candidates);
        self.assign(flow.id, server_id);
        // Each remaining attempt gets an equal share of the time that is left.
        let attempts_left = (self.attempts_max - flow.attempts.len()) as u64;
        Placement::Forward {
            server_id,
            timeout: time_left / attempts_left.max(1),
            send_within: time_left,
        }
    }

    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        let mut actions = Actions::default();
        match event {
            PolicyEvent::AttemptEnded {
                flow, unanswered, ..
            } => {
                self.release(flow);
                actions.placement = unanswered.map(|flow| self.place(now, flow));
            }
            PolicyEvent::ClientLeft { flow } => actions
                .cancel
                .extend(self.flows.contains_key(&flow).then_some(flow)),
            _ => {}
        }
        actions
    }

    fn time_to_next_timer(&self, _: Time) -> Option<Time> {
        None
    }

    fn update_endpoints(&mut self, _: Time, entries: &[Endpoint], is_complete: bool) {
        if is_complete {
            self.servers.clear();
        }
        self.servers
            .extend(entries.iter().map(|entry| (entry.server_id, *entry)));
    }

    fn on_endpoint_poll_failed(&mut self, _: Time) {}

    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        self.assign(flow.id, server_id);
    }

    fn update_connection_load(&mut self, _: FlowId, _: f64) {}
}
