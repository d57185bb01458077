//! The mechanisms that carry a figure in the code today, or that are missing. Whoever builds one
//! changes its state here, and the page's rows and ranking follow.

/// What carries a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// In the code: what, and where.
    Present(&'static str),
    /// In the code, but not enough at the size ahead.
    Partial(&'static str),
    /// Not in the code: what would be needed, and where its place is.
    Missing(&'static str),
    /// For the platform to carry.
    Outside(&'static str),
}

impl Mechanism {
    /// How the page tells of it.
    pub fn describe(self) -> String {
        match self {
            Mechanism::Present(what) => what.to_string(),
            Mechanism::Partial(what) => format!("in part: {what}"),
            Mechanism::Missing(what) => format!("*missing*: {what}"),
            Mechanism::Outside(what) => format!("the platform's: {what}"),
        }
    }
}

/// Bounds what control costs a balancer.
pub const CONTROL_BUDGET: Mechanism = Mechanism::Present(
    "CONTROL_BYTES_PER_SECOND in crates/candidates/src/health_checks.rs, at lists over \
     WHOLE_LIST_MAX; by flows below, COST_FRACTION_MAX in crates/policy/src/health_checks.rs",
);
/// Bounds how many servers a placement looks at.
pub const BOUNDED_CANDIDATES: Mechanism = Mechanism::Present(
    "`CandidateSet` in crates/candidates/src/candidate_set.rs, `select` in \
     crates/policy/src/placement.rs",
);
/// Bounds what all balancers together ask of one server.
pub const FLEET_HEALTH_CHECK_BUDGET: Mechanism = Mechanism::Partial(
    "each balancer's budget, crates/candidates/src/health_checks.rs; nothing bounds the sum at one server",
);
/// Bounds how many balancers keep a connection for health checks to one server.
pub const HEALTH_CHECK_CONNECTIONS: Mechanism = Mechanism::Missing(
    "fewer balancers that keep a connection to each server, crates/dataplane/src/health_check/checker.rs",
);
/// Bounds memory for health checks.
pub const HEALTH_CHECK_STACKS: Mechanism = Mechanism::Missing(
    "fewer servers that are checked; each open check has a stack, crates/dataplane/src/health_check/checker.rs",
);
/// Brings a whole list within the budget.
pub const FULL_LIST: Mechanism = Mechanism::Missing(
    "a whole list in parts, or from a neighbour; crates/dataplane/src/discovery/watch.rs reads it in one answer",
);
/// Bounds whole lists that are asked for at once.
pub const FULL_LISTS_OF_ALL_BALANCERS: Mechanism = Mechanism::Missing(
    "a limit on whole lists that are asked for at once, beside the pause after a failure",
);
/// Tells changes of the endpoint list.
pub const LIST_CHANGES: Mechanism =
    Mechanism::Present("only what has changed is told, crates/dataplane/src/discovery/watch.rs");
/// Brings changes of the configuration into force.
pub const CONFIGURATION: Mechanism = Mechanism::Missing(
    "a way from the control machines; SIGHUP reads a whole file, crates/balancer/src/reload.rs",
);
/// What the control machines run.
pub const CONTROL_MACHINES: Mechanism =
    Mechanism::Missing("no part of nettlemux runs there; SIGHUP reads a file that others bring");
/// Tells other balancers which servers hold a group.
pub const PEER_MESSAGES: Mechanism = Mechanism::Partial(
    "off today; bounded, so it tells of few groups; crates/dataplane/src/gossip/transport.rs",
);
/// Spreads a large topic.
pub const LARGE_TOPICS: Mechanism =
    Mechanism::Partial("one home that grows server by server; crates/policy/src/group_affinity.rs");
/// Bounds attempts to all new servers together.
pub const COLD_SERVER_SUM_LIMIT: Mechanism = Mechanism::Missing(
    "a bound on the sum over new servers; each balancer's window bounds its own",
);
/// Bounds attempts to one new server.
pub const COLD_SERVER_RATE_LIMIT: Mechanism = Mechanism::Present(
    "`ramp_rate`, `admits` and FILLS_PER_WARM_UP in crates/policy/src/slow_start.rs",
);
/// The platform's discovery.
pub const DISCOVERY_AGENTS: Mechanism =
    Mechanism::Outside("the platform's agents; crates/dataplane/src/discovery/watch.rs calls one");
/// Passes clients' and servers' lines on.
pub const RELAY: Mechanism = Mechanism::Present("one worker, crates/dataplane/src/relay.rs");
/// Shares descriptors and memory out.
pub const DESCRIPTOR_BUDGETS: Mechanism =
    Mechanism::Present("`DescriptorBudgets` in crates/dataplane/src/descriptors.rs");
