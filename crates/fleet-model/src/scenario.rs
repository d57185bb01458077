//! A scenario: sizes, what clients want, what goes wrong when, and what is expected of the outcome. It owns the names, units
//! and defaults of its keys and checks what they say. It must never read a file: whoever does names the place.

use nettlemux_policy::{MS, SEC, Time};
use nettlemux_settings::operator::AdmissionSettings;
use serde::Deserialize;

use crate::fault::Fault;
use crate::observation::{DeduplicationScope, Idempotency};

/// Seconds as a time; what is negative or no number is none.
pub fn seconds(s: f64) -> Time {
    (s.max(0.0) * SEC as f64) as Time
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// What it is there to show.
    #[serde(default)]
    pub about: String,
    #[serde(default = "one")]
    pub seed: u64,
    pub seconds: f64,
    /// Figures count from here on.
    #[serde(default)]
    pub settle: f64,
    pub balancers: Balancers,
    pub fleet: Fleet,
    #[serde(default)]
    pub store: StoreKeys,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default, alias = "halls")]
    pub zones: Zones,
    pub clients: Clients,
    pub types: Vec<Type>,
    #[serde(default)]
    pub limits: Limits,
    /// The balancers' door, as the operator's file has it; none where it is missing.
    #[serde(default, alias = "door")]
    pub admission: Option<AdmissionSettings>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// By figure: what it must be at least and at most.
    #[serde(default)]
    pub expect: std::collections::BTreeMap<String, Expect>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancers {
    pub number: usize,
    /// How long the front takes to notice that one has died, in seconds.
    #[serde(default = "notice")]
    pub notice: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub servers: usize,
    /// Load that a warm server can carry at once.
    pub capacity: f64,
    /// Servers' capacities differ by up to this part, up and down.
    #[serde(default)]
    pub differ: f64,
    /// Connections that a server holds at most.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Connects a second that a warm server can set up.
    #[serde(default = "connection_rate", alias = "newcomers")]
    pub connection_rate: f64,
    /// Load that the first connection of a group brings to a server beside its own.
    #[serde(default)]
    pub group_load: f64,
    /// Seconds that a message takes on an idle server.
    #[serde(default = "message")]
    pub message: f64,
    /// Seconds that an attempt takes on an idle server, beside the store's call.
    #[serde(default = "setup")]
    pub setup: f64,
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    #[serde(default = "warm_up")]
    pub warm_up: f64,
    /// A cold server that is sent so many times what it can set up now, for `fall` seconds, falls over.
    #[serde(default = "fall_multiple")]
    pub fall_multiple: f64,
    #[serde(default = "fall")]
    pub fall: f64,
    /// How often a server's report is made anew, in seconds, and the part by which it errs.
    #[serde(default = "refresh")]
    pub refresh: f64,
    #[serde(default = "noise")]
    pub noise: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreKeys {
    /// Calls a second that it serves.
    pub rate: f64,
    /// Seconds of one call with nobody else there.
    pub alone: f64,
}

impl Default for StoreKeys {
    fn default() -> Self {
        StoreKeys {
            rate: 1e6,
            alone: 0.005,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Seconds from a change to its telling; each telling takes from half of it to all of it.
    pub delay: f64,
    /// `nominal`, or `live` where list weights fall with what a server holds.
    pub weights: Weights,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Weights {
    Nominal,
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

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Zones {
    pub number: usize,
    /// Seconds one way within a zone, and between two.
    pub inside: f64,
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

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// New clients a second.
    pub rate: f64,
    /// Seconds that a client wants to stay, on average.
    pub life: f64,
    /// Connections that stand at the start.
    #[serde(default)]
    pub standing: usize,
    /// Deviation of the logarithm of a connection's load.
    #[serde(default = "spread")]
    pub spread: f64,
    /// Seconds between changes of a connection's load, on average; 0: it never changes.
    #[serde(default = "ten")]
    pub changes: f64,
    /// Groups that clients belong to; 0: none.
    #[serde(default)]
    pub groups: usize,
    /// Shares of the tenants; none: there are no tenants.
    #[serde(default, alias = "customers")]
    pub tenants: Vec<f64>,
    /// What the part of a tenant's flows that is over its share is worth.
    #[serde(default = "unit")]
    pub surplus: f64,
    /// Tries that a client makes before it gives up for good.
    #[serde(default = "tries")]
    pub tries: usize,
    /// Seconds that a client waits before it comes again when it is told nothing; each wait is up to twice that.
    #[serde(default = "again")]
    pub again: f64,
    /// Mean seconds between a client's lines.
    #[serde(default = "two")]
    pub lines: f64,
    /// Part of the clients whose first line comes in two pieces, 50 ms apart; on sockets only.
    #[serde(default)]
    pub stutter: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Type {
    pub name: String,
    /// Part of the clients.
    #[serde(default = "unit")]
    pub share: f64,
    /// Worth of a second of good service.
    #[serde(default = "unit")]
    pub value: f64,
    /// Mean load of a connection.
    #[serde(default = "unit")]
    pub load: f64,
    /// Seconds in which an attempt is to be answered.
    #[serde(default = "target")]
    pub target: f64,
    /// Seconds that a client waits for its answer.
    #[serde(default = "wait")]
    pub wait: f64,
    /// Seconds in which a message is to be answered.
    #[serde(default = "message_target")]
    pub message_target: f64,
    #[serde(default = "idempotent", alias = "repeat")]
    pub idempotency: IdempotencySetting,
    /// Seconds in which repeats of a deduplicated flow are dropped.
    #[serde(default = "ten")]
    pub window: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencySetting {
    #[serde(alias = "repeatable")]
    Idempotent,
    #[serde(alias = "referenced-all")]
    DeduplicatedAll,
    #[serde(alias = "referenced-zone", alias = "referenced-hall")]
    DeduplicatedInZone,
    #[serde(alias = "referenced-cell")]
    DeduplicatedInCell,
    #[serde(alias = "once-only")]
    NonIdempotent,
}

impl Type {
    pub fn idempotency(&self) -> Idempotency {
        let window = seconds(self.window);
        match self.idempotency {
            IdempotencySetting::Idempotent => Idempotency::Idempotent,
            IdempotencySetting::DeduplicatedAll => Idempotency::Deduplicated {
                scope: DeduplicationScope::All,
                window,
            },
            IdempotencySetting::DeduplicatedInZone => Idempotency::Deduplicated {
                scope: DeduplicationScope::Zone,
                window,
            },
            IdempotencySetting::DeduplicatedInCell => Idempotency::Deduplicated {
                scope: DeduplicationScope::Cell,
                window,
            },
            IdempotencySetting::NonIdempotent => Idempotency::NonIdempotent,
        }
    }
}

/// What balancers may do, as the platform's settings have it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    #[serde(alias = "connects")]
    pub attempts: usize,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub probes: bool,
    /// What a probe costs, of a flow's value; balancers that see few flows then probe less.
    pub probe_price: f64,
    /// longest Retry-After that clients may be told, in seconds; 0: none is told.
    #[serde(alias = "come_back")]
    pub retry_after: f64,
    /// Seconds after it was told of a drain in which a balancer may still send there.
    pub grace: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            attempts: 3,
            second_copies: false,
            may_cancel: true,
            probes: true,
            probe_price: 0.0,
            retry_after: 2.0,
            grace: 0.4,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    pub min: Option<f64>,
    pub max: Option<f64>,
}

fn one() -> u64 {
    1
}
fn unit() -> f64 {
    1.0
}
fn two() -> f64 {
    2.0
}
fn ten() -> f64 {
    10.0
}
fn notice() -> f64 {
    2.0
}
fn slots() -> usize {
    100_000
}
fn connection_rate() -> f64 {
    20.0
}
/// Of 10, 15 and 20 ms the one with which the order of policies is nearest to that on the users' simulator
/// (docs/results.md): with 10 ms servers stay in time up to nine tenths of their capacity, and filling them costs nothing.
fn message() -> f64 {
    0.015
}
fn setup() -> f64 {
    0.01
}
fn cold_share() -> f64 {
    0.35
}
fn warm_up() -> f64 {
    8.0
}
fn fall_multiple() -> f64 {
    3.0
}
fn fall() -> f64 {
    3.0
}
fn refresh() -> f64 {
    0.5
}
fn noise() -> f64 {
    0.03
}
fn spread() -> f64 {
    0.5
}
fn tries() -> usize {
    5
}
fn again() -> f64 {
    0.5
}
fn target() -> f64 {
    0.3
}
fn wait() -> f64 {
    2.0
}
fn message_target() -> f64 {
    0.2
}
fn idempotent() -> IdempotencySetting {
    IdempotencySetting::Idempotent
}

/// The longest run and the largest sizes: guards against a slip of the pen that takes the machine with it.
const MOST_SECONDS: f64 = 86_400.0;
const MOST: usize = 1_000_000;

impl Scenario {
    /// Checks what the form alone can't: returns the key at fault and why.
    pub fn check(&self) -> Result<(), (String, String)> {
        let positive = |key: &str, value: f64| match value {
            value if value.is_finite() && value > 0.0 => Ok(()),
            _ => Err((key.to_string(), format!("{value} is not above 0"))),
        };
        let part = |key: &str, value: f64| match (0.0..=1.0).contains(&value) {
            true => Ok(()),
            false => Err((key.to_string(), format!("{value} is not from 0 to 1"))),
        };
        let count = |key: &str, value: usize| match (1..=MOST).contains(&value) {
            true => Ok(()),
            false => Err((key.to_string(), format!("{value} is not from 1 to {MOST}"))),
        };
        positive("seconds", self.seconds)?;
        if self.seconds > MOST_SECONDS {
            return Err((
                "seconds".into(),
                format!("{} is over {MOST_SECONDS}", self.seconds),
            ));
        }
        if !(0.0..self.seconds).contains(&self.settle) {
            return Err((
                "settle".into(),
                format!("{} is not from 0 to the run's end", self.settle),
            ));
        }
        count("balancers.number", self.balancers.number)?;
        count("fleet.servers", self.fleet.servers)?;
        count("fleet.slots", self.fleet.slots)?;
        count("zones.number", self.zones.number)?;
        count("limits.attempts", self.limits.attempts)?;
        if self.clients.standing > MOST {
            return Err((
                "clients.standing".into(),
                format!("{} is over {MOST}", self.clients.standing),
            ));
        }
        for (key, value) in [
            ("fleet.capacity", self.fleet.capacity),
            ("fleet.connection_rate", self.fleet.connection_rate),
            ("fleet.message", self.fleet.message),
            ("fleet.cold_share", self.fleet.cold_share),
            ("fleet.warm_up", self.fleet.warm_up),
            ("fleet.fall_multiple", self.fleet.fall_multiple),
            ("fleet.fall", self.fleet.fall),
            ("fleet.refresh", self.fleet.refresh),
            ("store.rate", self.store.rate),
            ("clients.life", self.clients.life),
            ("clients.lines", self.clients.lines),
        ] {
            positive(key, value)?;
        }
        part("fleet.differ", self.fleet.differ)?;
        part("fleet.cold_share", self.fleet.cold_share)?;
        part("fleet.noise", self.fleet.noise)?;
        part("clients.surplus", self.clients.surplus)?;
        part("clients.stutter", self.clients.stutter)?;
        for (key, value) in [
            ("clients.rate", self.clients.rate),
            ("clients.spread", self.clients.spread),
            ("clients.again", self.clients.again),
            ("fleet.group_load", self.fleet.group_load),
            ("discovery.delay", self.discovery.delay),
            ("zones.inside", self.zones.inside),
            ("zones.between", self.zones.between),
            ("limits.grace", self.limits.grace),
        ] {
            if !value.is_finite() || value < 0.0 {
                return Err((key.into(), format!("{value} is under 0")));
            }
        }
        if self.types.is_empty() {
            return Err(("types".into(), "there is none".into()));
        }
        for (i, one) in self.types.iter().enumerate() {
            for (key, value) in [
                ("share", one.share),
                ("load", one.load),
                ("target", one.target),
                ("wait", one.wait),
            ] {
                positive(&format!("types[{i}].{key}"), value)?;
            }
            if seconds(one.wait) < 50 * MS {
                return Err((
                    format!("types[{i}].wait"),
                    "under 0.05 s nothing can be answered".into(),
                ));
            }
        }
        for (i, fault) in self.faults.iter().enumerate() {
            fault
                .check(self)
                .map_err(|(key, why)| (format!("faults[{i}].{key}"), why))?;
        }
        Ok(())
    }

    pub fn end(&self) -> Time {
        seconds(self.seconds)
    }
}
