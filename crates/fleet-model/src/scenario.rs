//! A scenario: the sizes of the fleet, the demand of the clients, the faults and their times, and the
//! expected ranges of figures. This module defines the names, units and defaults of the keys. It
//! must not read files: the caller does, and names the file in error messages. The serde aliases are
//! the keys in scenarios of earlier versions.
//!
//! Times are in seconds unless stated otherwise.

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

/// A complete scenario as written in its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The scenario's name in records and reports.
    pub name: String,
    /// A description of what the scenario demonstrates.
    #[serde(default)]
    pub about: String,
    /// The seed of all random draws.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// The length of the run.
    pub seconds: f64,
    /// The time from which figures are counted.
    #[serde(default)]
    pub settle: f64,
    /// The balancers.
    pub balancers: Balancers,
    /// The servers.
    pub fleet: Fleet,
    /// The store that all servers share.
    #[serde(default)]
    pub store: StoreSettings,
    /// The discovery service, which maintains the endpoint list.
    #[serde(default)]
    pub discovery: Discovery,
    /// The zones that servers, balancers and clients are in.
    #[serde(default, alias = "halls")]
    pub zones: Zones,
    /// The clients.
    pub clients: Clients,
    /// The traffic classes.
    pub types: Vec<TrafficClass>,
    /// The limits on what balancers may do.
    #[serde(default)]
    pub limits: Limits,
    /// The settings of the balancers' admission control, with the keys of the operator's file; `None`
    /// if they have no admission control.
    #[serde(default, alias = "door")]
    pub admission: Option<AdmissionSettings>,
    /// The faults, in any order.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The expected range of each figure, by the figure's name.
    #[serde(default)]
    pub expect: BTreeMap<String, ExpectedRange>,
}

/// The balancers of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancers {
    /// The number of balancers.
    pub number: usize,
    /// The time that the front end takes to detect that a balancer has died.
    #[serde(default = "defaults::death_notice")]
    pub notice: f64,
}

/// The servers of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The number of servers at the start.
    pub servers: usize,
    /// The load that a warm server can carry.
    pub capacity: f64,
    /// The largest deviation of a server's capacity from `capacity`, as a fraction of it, up or down.
    #[serde(default, rename = "differ")]
    pub capacity_spread: f64,
    /// The largest number of connections on a server.
    #[serde(default = "defaults::slots")]
    pub slots: usize,
    /// The number of connections per second that a warm server can set up.
    #[serde(default = "defaults::connection_rate", alias = "newcomers")]
    pub connection_rate: f64,
    /// The additional load on a server for each group that has connections there.
    #[serde(default)]
    pub group_load: f64,
    /// The mean response time of a message on an idle server.
    #[serde(default = "defaults::message_time")]
    pub message: f64,
    /// The time that an idle server takes to set up a connection, without the call to the store.
    #[serde(default = "defaults::setup_time")]
    pub setup: f64,
    /// The fraction of its capacity that a server has when it starts.
    #[serde(default = "defaults::initial_capacity", rename = "cold_share")]
    pub initial_capacity: f64,
    /// The length of a server's slow start.
    #[serde(default = "defaults::warm_up")]
    pub warm_up: f64,
    /// A server in slow start collapses if the number of attempts within the collapse window exceeds
    /// this multiple of the number that it can set up in that time.
    #[serde(default = "defaults::collapse_multiple", rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// The window in which the attempts of a server in slow start are counted.
    #[serde(default = "defaults::collapse_window", rename = "fall")]
    pub collapse_window: f64,
    /// The interval at which a server's load report is renewed.
    #[serde(default = "defaults::report_interval", rename = "refresh")]
    pub report_interval: f64,
    /// The largest error of a load report, as a fraction of the utilization, up or down.
    #[serde(default = "defaults::report_noise", rename = "noise")]
    pub report_noise: f64,
}

/// The store, which is called once for each attempt.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    /// The number of calls that it serves per second.
    pub rate: f64,
    /// The time of a call that does not wait for other calls.
    #[serde(rename = "alone")]
    pub call_time: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            rate: 1e6,
            call_time: 0.005,
        }
    }
}

/// The discovery service, which maintains the endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// The longest time from a change to its delivery. The delay of each delivery is drawn from half of
    /// this to this.
    pub delay: f64,
    /// How endpoints are weighted.
    pub weights: Weights,
}

/// How endpoints are weighted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Weights {
    /// All endpoints have the same constant weight.
    Nominal,
    /// The weight decreases with the number of connections on the server.
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
    /// The number of zones.
    pub number: usize,
    /// The one-way delay of a message within a zone.
    pub inside: f64,
    /// The one-way delay of a message between two zones.
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
    /// The number of new clients per second.
    pub rate: f64,
    /// The mean time between the arrival and the planned end of a client.
    pub life: f64,
    /// The number of connections that are open at the start.
    #[serde(default)]
    pub standing: usize,
    /// The standard deviation of the logarithm of a connection's load.
    #[serde(default = "defaults::load_spread", rename = "spread")]
    pub load_spread: f64,
    /// The mean time between changes of a connection's load; 0 if it never changes.
    #[serde(default = "defaults::load_change_interval", rename = "changes")]
    pub load_change_interval: f64,
    /// The number of client groups; 0 if clients have no groups.
    #[serde(default)]
    pub groups: usize,
    /// Each tenant's share of the clients; empty if there are no tenants.
    #[serde(default, alias = "customers")]
    pub tenants: Vec<f64>,
    /// The priority weight of those flows of a tenant that are over its quota.
    #[serde(default = "defaults::one", rename = "surplus")]
    pub surplus_weight: f64,
    /// The number of tries after which a client gives up for good.
    #[serde(default = "defaults::tries")]
    pub tries: usize,
    /// The base of a client's wait before a retry if it was told no Retry-After. The wait is drawn
    /// from this to twice this, and then doubled once for each unsuccessful try, at most four times.
    #[serde(default = "defaults::retry_interval", rename = "again")]
    pub retry_interval: f64,
    /// The mean time between two lines of a client.
    #[serde(default = "defaults::line_interval", rename = "lines")]
    pub line_interval: f64,
    /// The fraction of the clients that send their first line in two pieces. Only applies to real
    /// sockets.
    #[serde(default, rename = "stutter")]
    pub split_lines: f64,
}

/// A traffic class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    /// The class's name.
    pub name: String,
    /// The class's share of the clients, relative to the shares of the other classes.
    #[serde(default = "defaults::one")]
    pub share: f64,
    /// The value of one second of good service to a client.
    #[serde(default = "defaults::one")]
    pub value: f64,
    /// The mean load of a connection.
    #[serde(default = "defaults::one")]
    pub load: f64,
    /// The latency objective of a flow's answer.
    #[serde(default = "defaults::latency_objective")]
    pub target: f64,
    /// The time that a client waits for the answer to its flow.
    #[serde(default = "defaults::deadline")]
    pub wait: f64,
    /// The latency objective of a message.
    #[serde(default = "defaults::message_objective")]
    pub message_target: f64,
    /// Whether a flow may be repeated.
    #[serde(default = "defaults::idempotency", alias = "repeat")]
    pub idempotency: IdempotencySetting,
    /// The time for which servers drop repeats of a deduplicated flow.
    #[serde(default = "defaults::deduplication_window")]
    pub window: f64,
}

/// Whether flows of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencySetting {
    /// Repeats are harmless.
    #[serde(alias = "repeatable")]
    Idempotent,
    /// All servers drop repeats of each other's attempts.
    #[serde(alias = "referenced-all")]
    DeduplicatedAll,
    /// The servers of a zone drop repeats of each other's attempts.
    #[serde(alias = "referenced-zone", alias = "referenced-hall")]
    DeduplicatedInZone,
    /// The servers of a cell drop repeats of each other's attempts.
    #[serde(alias = "referenced-cell")]
    DeduplicatedInCell,
    /// A repeat takes effect again.
    #[serde(alias = "once-only")]
    NonIdempotent,
}

impl TrafficClass {
    /// Returns whether a flow of this class may be repeated, with the deduplication window.
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

/// The limits on what balancers may do, as in the platform's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest number of attempts of a flow.
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
    /// The cost of a health check, as a fraction of the value of a flow. If it is above 0, balancers
    /// with few flows check less often.
    #[serde(alias = "probe_price")]
    pub health_check_price: f64,
    /// The longest Retry-After that clients may be told; 0 if they are told none.
    #[serde(alias = "come_back")]
    pub retry_after: f64,
    /// The time after the notice of a drain in which a balancer may still send to the server.
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

/// The expected range of a figure.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectedRange {
    /// The lowest expected value; `None` for no lower bound.
    pub min: Option<f64>,
    /// The highest expected value; `None` for no upper bound.
    pub max: Option<f64>,
}

impl Scenario {
    /// Returns the end of the run, in nanoseconds from its start.
    pub fn end(&self) -> Time {
        seconds(self.seconds)
    }
}
