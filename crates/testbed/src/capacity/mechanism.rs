//! The mechanisms that bound or implement the figures of the page, and whether the code has them. A
//! commit that implements a mechanism changes its state here. The rows and the ranking of the page
//! are derived from it.

/// State of the mechanism behind a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// In the code: the mechanism and its place.
    Present(&'static str),
    /// In the code, but not sufficient at the required fleet size.
    Partial(&'static str),
    /// Not in the code: the mechanism that would be needed and where it would belong.
    Missing(&'static str),
    /// Provided by the platform.
    Outside(&'static str),
}

impl Mechanism {
    /// Returns the text of the page for this mechanism.
    pub fn describe(self) -> String {
        match self {
            Mechanism::Present(what) => what.to_string(),
            Mechanism::Partial(what) => format!("in part: {what}"),
            Mechanism::Missing(what) => format!("*missing*: {what}"),
            Mechanism::Outside(what) => format!("the platform's: {what}"),
        }
    }
}

/// Limits the cost of control work at a balancer.
pub const CONTROL_BUDGET: Mechanism = Mechanism::Present(
    "CONTROL_BYTES_PER_SECOND in crates/candidates/src/health_checks.rs, at lists over \
     FULL_SCAN_SERVERS_MAX; by flows below, COST_FRACTION_MAX in crates/policy/src/health_checks.rs",
);
/// Limits the number of servers that a placement considers.
pub const BOUNDED_CANDIDATES: Mechanism = Mechanism::Present(
    "`CandidateSet` in crates/candidates/src/candidate_set.rs, `select` in \
     crates/policy/src/placement.rs",
);
/// Limits the health checks of all balancers together at one server.
pub const FLEET_HEALTH_CHECK_BUDGET: Mechanism = Mechanism::Partial(
    "each balancer's budget, crates/candidates/src/health_checks.rs; nothing bounds the sum at one server",
);
/// Limits the number of balancers that keep a connection for health checks to one server.
pub const HEALTH_CHECK_CONNECTIONS: Mechanism = Mechanism::Missing(
    "fewer balancers that keep a connection to each server, crates/dataplane/src/health_check/checker.rs",
);
/// Limits the memory for health checks.
pub const HEALTH_CHECK_STACKS: Mechanism = Mechanism::Missing(
    "fewer servers that are checked; each open check has a stack, crates/dataplane/src/health_check/checker.rs",
);
/// Transfers a full endpoint list within the budget.
pub const FULL_LIST: Mechanism = Mechanism::Missing(
    "a whole list in parts, or from a neighbour; crates/dataplane/src/discovery/watch.rs reads it in one answer",
);
/// Limits the number of full endpoint lists that are requested at the same time.
pub const FULL_LISTS_OF_ALL_BALANCERS: Mechanism = Mechanism::Missing(
    "a limit on whole lists that are asked for at once, beside the pause after a failure",
);
/// Sends changes of the endpoint list.
pub const LIST_CHANGES: Mechanism =
    Mechanism::Present("only what has changed is told, crates/dataplane/src/discovery/watch.rs");
/// Distributes and applies configuration changes.
pub const CONFIGURATION: Mechanism = Mechanism::Missing(
    "a way from the control machines; SIGHUP reads a whole file, crates/balancer/src/reload.rs",
);
/// The software on the control machines.
pub const CONTROL_MACHINES: Mechanism =
    Mechanism::Missing("no part of nettlemux runs there; SIGHUP reads a file that others bring");
/// Tells other balancers which servers hold a group.
pub const PEER_MESSAGES: Mechanism = Mechanism::Partial(
    "off today; bounded, so it tells of few groups; crates/dataplane/src/gossip/transport.rs",
);
/// Spreads the connections of a large topic over servers.
pub const LARGE_TOPICS: Mechanism =
    Mechanism::Partial("one home that grows server by server; crates/policy/src/group_affinity.rs");
/// Limits the attempts to all new servers together.
pub const COLD_SERVER_SUM_LIMIT: Mechanism = Mechanism::Missing(
    "a bound on the sum over new servers; each balancer's window bounds its own",
);
/// Limits the rate of attempts to one new server.
pub const COLD_SERVER_RATE_LIMIT: Mechanism = Mechanism::Present(
    "`ramp_rate`, `admits` and FILLS_PER_WARM_UP in crates/policy/src/slow_start.rs",
);
/// The platform's discovery agents.
pub const DISCOVERY_AGENTS: Mechanism =
    Mechanism::Outside("the platform's agents; crates/dataplane/src/discovery/watch.rs calls one");
/// Forwards lines between clients and servers.
pub const RELAY: Mechanism = Mechanism::Present("one worker, crates/dataplane/src/relay.rs");
/// Divides file descriptors and memory among their uses.
pub const DESCRIPTOR_BUDGETS: Mechanism =
    Mechanism::Present("`DescriptorBudgets` in crates/dataplane/src/descriptors.rs");
