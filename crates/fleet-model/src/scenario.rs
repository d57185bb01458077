//! A scenario: sizes, what clients want, which faults occur when, and the figures that are
//! expected. It owns the names, units and defaults of its keys and must never read a file: whoever
//! does names the place. The aliases read scenarios of earlier versions.
//!
//! Keys that are times are seconds, where nothing else is said.

mod defaults;
mod validate;

use std::collections::BTreeMap;

use nettlemux_policy::Time;
use nettlemux_settings::operator::AdmissionSettings;
use serde::Deserialize;

use crate::fault::Fault;
use crate::observation::{DeduplicationScope, Idempotency};
use crate::time::seconds;

pub use validate::InvalidKey;

/// A whole scenario, as its file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The scenario's name, by which records and reports call it.
    pub name: String,
    /// What the scenario shows.
    #[serde(default)]
    pub about: String,
    /// The seed of all random draws.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// The length of the run.
    pub seconds: f64,
    /// The time from which on figures count.
    #[serde(default)]
    pub settle: f64,
    /// The balancers.
    pub balancers: Balancers,
    /// The servers.
    pub fleet: Fleet,
    /// The store that all servers share.
    #[serde(default)]
    pub store: StoreKeys,
    /// The service that keeps the endpoint list.
    #[serde(default)]
    pub discovery: Discovery,
    /// The zones that servers, balancers and clients are in.
    #[serde(default, alias = "halls")]
    pub zones: Zones,
    /// The clients.
    pub clients: Clients,
    /// The traffic classes.
    pub types: Vec<Type>,
    /// What balancers may do.
    #[serde(default)]
    pub limits: Limits,
    /// The balancers' admission control as the operator's file has it, where there is one.
    #[serde(default, alias = "door")]
    pub admission: Option<AdmissionSettings>,
    /// The faults, in any order.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The range that each figure is expected in, by the figure's name.
    #[serde(default)]
    pub expect: BTreeMap<String, Expect>,
}

/// The balancers of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancers {
    /// How many balancers there are.
    pub number: usize,
    /// How long the front end takes to notice that one has died.
    #[serde(default = "defaults::death_notice")]
    pub notice: f64,
}

/// The servers of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many servers there are at the start.
    pub servers: usize,
    /// The load that a warm server can carry.
    pub capacity: f64,
    /// The fraction by which servers' capacities differ, up and down.
    #[serde(default, rename = "differ")]
    pub capacity_spread: f64,
    /// How many connections a server holds at most.
    #[serde(default = "defaults::slots")]
    pub slots: usize,
    /// How many connections a second a warm server can set up.
    #[serde(default = "defaults::connection_rate", alias = "newcomers")]
    pub connection_rate: f64,
    /// The load that the first connection of a group brings beside its own.
    #[serde(default)]
    pub group_load: f64,
    /// The time that a message takes on an idle server.
    #[serde(default = "defaults::message_time")]
    pub message: f64,
    /// The time that an attempt takes on an idle server, beside the store's call.
    #[serde(default = "defaults::setup_time")]
    pub setup: f64,
    /// The fraction of its capacity that a server has when it starts.
    #[serde(default = "defaults::initial_capacity", rename = "cold_share")]
    pub initial_capacity: f64,
    /// The length of a server's slow start.
    #[serde(default = "defaults::warm_up")]
    pub warm_up: f64,
    /// A server in slow start collapses when it gets more attempts than this multiple of what it
    /// can set up within the collapse window.
    #[serde(default = "defaults::collapse_multiple", rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// The window in which the attempts of a server in slow start are counted.
    #[serde(default = "defaults::collapse_window", rename = "fall")]
    pub collapse_window: f64,
    /// How often a server's load report is renewed.
    #[serde(default = "defaults::report_interval", rename = "refresh")]
    pub report_interval: f64,
    /// The fraction by which a load report errs, up and down.
    #[serde(default = "defaults::report_noise", rename = "noise")]
    pub report_noise: f64,
}

/// The store that every attempt costs one call.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreKeys {
    /// How many calls a second it serves.
    pub rate: f64,
    /// The time of a call that waits for no other.
    #[serde(rename = "alone")]
    pub call_time: f64,
}

impl Default for StoreKeys {
    fn default() -> Self {
        StoreKeys {
            rate: 1e6,
            call_time: 0.005,
        }
    }
}

/// The service that keeps the endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// The time from a change to its delivery. Each delivery takes from half of it to all of it.
    pub delay: f64,
    /// How endpoints are weighted.
    pub weights: Weights,
}

/// How endpoints are weighted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Weights {
    /// By a constant.
    Nominal,
    /// By a weight that falls with the connections that the server holds.
    Live,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            delay: 0.3,
            weights: Weights::Nominal,
        }
    }
}

/// The zones of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Zones {
    /// How many zones there are.
    pub number: usize,
    /// The time of a message within a zone, one way.
    pub inside: f64,
    /// The time of a message between two zones, one way.
    pub between: f64,
}

impl Default for Zones {
    fn default() -> Self {
        Zones {
            number: 1,
            inside: 0.0005,
            between: 0.005,
        }
    }
}

/// The clients of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// How many new clients come in a second.
    pub rate: f64,
    /// The mean time that a client stays.
    pub life: f64,
    /// How many connections stand at the start.
    #[serde(default)]
    pub standing: usize,
    /// The standard deviation of the logarithm of a connection's load.
    #[serde(default = "defaults::load_spread", rename = "spread")]
    pub load_spread: f64,
    /// The mean time between changes of a connection's load; 0: it never changes.
    #[serde(default = "defaults::load_change_interval", rename = "changes")]
    pub load_change_interval: f64,
    /// How many groups clients belong to; 0: none.
    #[serde(default)]
    pub groups: usize,
    /// Each tenant's share of the clients; empty: there are no tenants.
    #[serde(default, alias = "customers")]
    pub tenants: Vec<f64>,
    /// The priority weight of the part of a tenant's flows that is over its quota.
    #[serde(default = "defaults::one", rename = "surplus")]
    pub surplus_weight: f64,
    /// How often a client tries before it gives up for good.
    #[serde(default = "defaults::tries")]
    pub tries: usize,
    /// How long a client waits before it retries without a Retry-After. Each wait is drawn from
    /// this to twice this.
    #[serde(default = "defaults::retry_interval", rename = "again")]
    pub retry_interval: f64,
    /// The mean time between two lines of a client.
    #[serde(default = "defaults::line_interval", rename = "lines")]
    pub line_interval: f64,
    /// The fraction of the clients whose first line comes in two pieces; on sockets only.
    #[serde(default, rename = "stutter")]
    pub split_lines: f64,
}

/// A traffic class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Type {
    /// The class's name.
    pub name: String,
    /// The class's part of the clients, beside the shares of the other classes.
    #[serde(default = "defaults::one")]
    pub share: f64,
    /// The worth of a second of good service.
    #[serde(default = "defaults::one")]
    pub value: f64,
    /// The mean load of a connection.
    #[serde(default = "defaults::one")]
    pub load: f64,
    /// The latency objective of a flow's answer.
    #[serde(default = "defaults::latency_objective")]
    pub target: f64,
    /// How long a client waits for its answer.
    #[serde(default = "defaults::deadline")]
    pub wait: f64,
    /// The latency objective of a message.
    #[serde(default = "defaults::message_objective")]
    pub message_target: f64,
    /// Whether a flow may be repeated.
    #[serde(default = "defaults::idempotency", alias = "repeat")]
    pub idempotency: IdempotencySetting,
    /// How long servers drop repeats of a deduplicated flow.
    #[serde(default = "defaults::deduplication_window")]
    pub window: f64,
}

/// Whether flows of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencySetting {
    /// Repeats do no harm.
    #[serde(alias = "repeatable")]
    Idempotent,
    /// All servers drop each other's repeats.
    #[serde(alias = "referenced-all")]
    DeduplicatedAll,
    /// The servers of a zone drop each other's repeats.
    #[serde(alias = "referenced-zone", alias = "referenced-hall")]
    DeduplicatedInZone,
    /// The servers of a cell drop each other's repeats.
    #[serde(alias = "referenced-cell")]
    DeduplicatedInCell,
    /// A repeat has its effect again.
    #[serde(alias = "once-only")]
    NonIdempotent,
}

impl Type {
    /// Returns whether a flow of this class may be repeated, with its window.
    pub fn idempotency(&self) -> Idempotency {
        let window = seconds(self.window);
        let deduplicated = |scope| Idempotency::Deduplicated { scope, window };
        match self.idempotency {
            IdempotencySetting::Idempotent => Idempotency::Idempotent,
            IdempotencySetting::DeduplicatedAll => deduplicated(DeduplicationScope::All),
            IdempotencySetting::DeduplicatedInZone => deduplicated(DeduplicationScope::Zone),
            IdempotencySetting::DeduplicatedInCell => deduplicated(DeduplicationScope::Cell),
            IdempotencySetting::NonIdempotent => Idempotency::NonIdempotent,
        }
    }
}

/// What balancers may do, as the platform's settings have it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// How many attempts a flow may have.
    #[serde(alias = "connects")]
    pub attempts: usize,
    /// Whether a flow may have two attempts in flight.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether balancers may check servers' health.
    #[serde(alias = "probes")]
    pub health_checks: bool,
    /// What a health check costs, as a fraction of a flow's worth. Balancers that see few flows
    /// check less often then.
    #[serde(alias = "probe_price")]
    pub health_check_price: f64,
    /// The longest Retry-After that clients may be told; 0: none is told.
    #[serde(alias = "come_back")]
    pub retry_after: f64,
    /// How long after the notice of a drain a balancer may still send there.
    pub grace: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            attempts: 3,
            hedging: false,
            may_cancel: true,
            health_checks: true,
            health_check_price: 0.0,
            retry_after: 2.0,
            grace: 0.4,
        }
    }
}

/// The range that a figure is expected in.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The least value that is expected.
    pub min: Option<f64>,
    /// The largest value that is expected.
    pub max: Option<f64>,
}

impl Scenario {
    /// Returns the end of the run, in nanoseconds from its start.
    pub fn end(&self) -> Time {
        seconds(self.seconds)
    }
}
