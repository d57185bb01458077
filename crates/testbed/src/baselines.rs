//! What a balancer's decisions may come from in virtual time: the policy, or a textbook baseline to
//! hold it against. Baselines keep the rules on repeats and drains, as any sound balancer would,
//! and know nothing of load reports, cold servers or moving: they place by their own counts alone.
//! Each owns its draws.

use std::collections::BTreeMap;
use std::str::FromStr;

use nettlemux_fleet_model::rng::Rng;
use nettlemux_flow_table::LoadBalancingPolicy;
use nettlemux_policy::{
    Actions, DeduplicationScope, Endpoint, EndpointState, Flow, FlowId, Idempotency, MS, Placement,
    Policy, PolicyEvent, ServerId, Time, TrafficClass,
};
use nettlemux_settings::{DrainMigration, Settings};

/// How long before an attempt timeout a balancer answers in virtual time, as one on sockets does.
pub const MARGIN: Time = 15 * MS;
/// The longest Retry-After of a baseline.
const RETRY_AFTER_SECONDS: [f64; 2] = [0.25, 1.0];

/// A policy, by the name that the command line has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The policy that balancers run.
    Nettlemux,
    /// A random server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest own connections.
    LeastConnections,
    /// The one of two random servers with the fewer own connections (Mitzenmacher 2001).
    PowerOfTwo,
}

impl PolicyKind {
    /// All policies that nettlemux's own is compared with.
    pub const BASELINES: [PolicyKind; 4] = [
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastConnections,
        PolicyKind::PowerOfTwo,
    ];

    /// Returns the name that the command line has.
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

/// A name that no policy has.
#[derive(Debug, thiserror::Error)]
#[error("'{name}' is none of module, random, round-robin, least-connections, power-of-two")]
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

/// Returns the policy as a balancer on sockets has it.
pub fn balancer_policy(settings: &Settings, seed: u64) -> Policy {
    settings
        .policy(seed, MARGIN, DrainMigration::Enabled)
        .expect("the testbed makes valid settings")
}

struct Baseline {
    kind: PolicyKind,
    rng: Rng,
    types: Vec<TrafficClass>,
    attempts: usize,
    servers: BTreeMap<ServerId, Endpoint>,
    /// Own connections and attempts on each.
    own: BTreeMap<ServerId, usize>,
    flows: BTreeMap<FlowId, ServerId>,
    turn: usize,
}

impl Baseline {
    fn new(kind: PolicyKind, settings: &Settings, seed: u64) -> Self {
        Baseline {
            kind,
            rng: Rng::new(seed, 9),
            types: settings
                .traffic_classes()
                .expect("the testbed makes valid settings"),
            attempts: settings.attempts_max().unwrap_or(1),
            servers: BTreeMap::new(),
            own: BTreeMap::new(),
            flows: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Whether a repeat there can do no harm.
    fn safe(&self, now: Time, flow: &Flow, server: &Endpoint) -> bool {
        let mut ran = flow.attempts.iter().filter(|c| !c.known_unexecuted);
        match self.types[flow.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::Deduplicated { scope, window } => ran.all(|c| {
                let first = self.servers.get(&c.server_id);
                let same = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => {
                        first.is_some_and(|first| first.zone == server.zone)
                    }
                    DeduplicationScope::Cell => {
                        first.is_some_and(|first| first.cell == server.cell)
                    }
                };
                same && now + MARGIN < c.at + window
            }),
        }
    }

    fn reject_or_fail(&mut self, flow: &Flow) -> Placement {
        let ran = flow.attempts.iter().any(|c| !c.known_unexecuted);
        match self.types[flow.class].idempotency {
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

    fn held(&self, server_id: ServerId) -> usize {
        self.own.get(&server_id).copied().unwrap_or(0)
    }

    fn enter(&mut self, flow: FlowId, server_id: ServerId) {
        self.strike(flow);
        self.flows.insert(flow, server_id);
        *self.own.entry(server_id).or_default() += 1;
    }

    fn strike(&mut self, flow: FlowId) {
        if let Some(server_id) = self.flows.remove(&flow)
            && let Some(count) = self.own.get_mut(&server_id)
        {
            *count -= 1;
        }
    }
}

impl LoadBalancingPolicy for Baseline {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        let left = flow.deadline.saturating_sub(now + MARGIN);
        if left == 0
            || flow.attempts.len() >= self.attempts
            || flow.attempts.iter().any(|c| c.in_flight)
        {
            return self.reject_or_fail(flow);
        }
        let ready = self
            .servers
            .values()
            .filter(|s| s.state == EndpointState::Ready && self.safe(now, flow, s));
        let all: Vec<ServerId> = ready.map(|server| server.server_id).collect();
        let fresh: Vec<ServerId> = all
            .iter()
            .copied()
            .filter(|server_id| flow.attempts.iter().all(|c| c.server_id != *server_id))
            .collect();
        let among = if fresh.is_empty() { all } else { fresh };
        if among.is_empty() {
            return self.reject_or_fail(flow);
        }
        self.turn += 1;
        let start = self.rng.index_below(among.len());
        let server_id = match self.kind {
            PolicyKind::Random | PolicyKind::Nettlemux => among[start],
            PolicyKind::RoundRobin => among[self.turn % among.len()],
            // Ties fall anywhere, so that balancers don't fill the first server together.
            PolicyKind::LeastConnections => {
                let order = (0..among.len()).map(|i| among[(start + i) % among.len()]);
                order
                    .min_by_key(|server_id| self.held(*server_id))
                    .expect("not empty")
            }
            PolicyKind::PowerOfTwo => {
                let two = [among[start], among[self.rng.index_below(among.len())]];
                two.into_iter()
                    .min_by_key(|server_id| self.held(*server_id))
                    .expect("two")
            }
        };
        self.enter(flow.id, server_id);
        // Each try gets its part of the time that is left.
        let tries = (self.attempts - flow.attempts.len()) as u64;
        Placement::Forward {
            server_id,
            timeout: left / tries.max(1),
            send_within: left,
        }
    }

    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        let mut actions = Actions::default();
        match event {
            PolicyEvent::AttemptEnded {
                flow, unanswered, ..
            } => {
                self.strike(flow);
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

    fn endpoint_poll_failed(&mut self, _: Time) {}

    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        self.enter(flow.id, server_id);
    }

    fn update_connection_load(&mut self, _: FlowId, _: f64) {}
}
