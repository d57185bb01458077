//! The settings that a balancer gets at its start, the same object on every wire, and the [`Policy`] made
//! from them; beside it the operator's file. It owns the names and units of the settings and must never decide anything.

mod keys;
pub mod operator;

use std::fmt;

use nettlemux_policy::{
    DeduplicationScope, EndpointConfig, GossipConfig, HealthCheckConfig, Idempotency, LoadReport,
    MS, MigrationConfig, Policy, PolicyConfig, RetryConfig, SEC, SheddingConfig, SlowStartConfig,
    Time, TrafficClass,
};
use serde_json::Value;

pub use crate::keys::{known, nearest, unknown};

const US: Time = 1_000;
/// Where a rule on cold servers says neither: colder and longer than any deployment's that was met (0.12, 24 s).
const COLDEST: f64 = 0.1;
const LONGEST_WARM_UP: Time = 30 * SEC;
/// And where it doesn't say in which time they fall: as short as any deployment's that was met.
const SHORTEST_FALL: Time = 1500 * MS;
/// Where the settings name no time within which the list is to be asked for: the platform's own example; two deployments have 5 s.
const ASK_WITHIN: Time = 10 * SEC;
/// No span in the settings is longer, whatever they say: guards against sums of times that run over. A year is no flow's.
const LONGEST: Time = 365 * 24 * 3600 * SEC;

/// A span of so many microseconds.
fn span(us: f64) -> Time {
    ((us.max(0.0) * US as f64) as Time).min(LONGEST)
}

#[derive(Debug)]
pub struct Malformed {
    pub field: String,
    pub why: String,
}

impl Malformed {
    pub fn new(field: &str, why: impl Into<String>) -> Self {
        Malformed {
            field: field.into(),
            why: why.into(),
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "field '{}': {}", self.field, self.why)
    }
}

pub type Read<T> = Result<T, Malformed>;

/// The settings, each read where it is used.
#[derive(Clone, PartialEq)]
pub struct Settings(Value);

impl Settings {
    pub fn parse(text: &str) -> Read<Self> {
        let value: Value = serde_json::from_str(text)
            .map_err(|e| Malformed::new("conf", format!("no JSON: {e}")))?;
        if value.is_object() {
            Ok(Settings(value))
        } else {
            Err(Malformed::new("conf", "no object"))
        }
    }

    /// The settings that stand inside another object.
    pub fn within(value: &Value) -> Read<Self> {
        if value.is_object() {
            Ok(Settings(value.clone()))
        } else {
            Err(Malformed::new("settings", "no object"))
        }
    }

    /// The decision module for one balancer; it answers `margin` before an attempt timeout runs out. `warn` says
    /// whether clients are moved off a server that drains, as the operators want on sockets; the simulator counts
    /// a move as a cost and a break as nothing.
    pub fn policy(&self, seed: u64, margin: Time, warn: bool) -> Read<Policy> {
        // What nothing is said of is not allowed, and what is not limited may take as long as it
        // does. Without a multiple at which warming servers fall there is no rule on them: all
        // count as warm.
        let slow_start = match self.maybe("contract/fall-multiple") {
            Some(_) => SlowStartConfig {
                initial_capacity_fraction: self.number_or("contract/start-capacity", COLDEST)?,
                warm_up: self.time_or("contract/warm-up", LONGEST_WARM_UP)?,
                overload_multiple: self.number("contract/fall-multiple")?,
                overload_window: self.time_or("contract/fall", SHORTEST_FALL)?,
            },
            None => SlowStartConfig {
                initial_capacity_fraction: 1.0,
                warm_up: 0,
                overload_multiple: 1.0,
                overload_window: SHORTEST_FALL,
            },
        };
        let (zone, classes) = (self.zone()?, self.traffic_classes()?);
        let config = PolicyConfig {
            retry: RetryConfig {
                attempts_max: self.number_or("limits/max-connects", 1.0)?.max(0.0) as usize,
                deadline_margin: margin,
                allow_hedging: self.allowed("limits/second-copies")?,
                allow_cancellation: self.allowed("limits/may-cancel")?,
            },
            balancers: self.number_or("replicas-of-me", 1.0)?,
            gossip: GossipConfig {
                enabled: self.may_gossip()?,
            },
            shedding: SheddingConfig {
                tenant_quotas: self.shares()?,
                surplus_weight: self.number_or("surplus-value", 1.0)?,
                retry_after_max: self.retry_after()?,
            },
            health_checks: HealthCheckConfig {
                enabled: self.allowed("limits/probes")?,
                cost: self.number_or("costs/probe", 0.0)?,
            },
            endpoints: EndpointConfig {
                is_polled: self.asked()?.is_some(),
                ..EndpointConfig::default()
            },
            migration: MigrationConfig { off_draining: warn },
            slow_start,
        };
        Ok(Policy::new(seed, zone, classes, config))
    }

    /// Whether the settings allow that; not where nothing is said of it.
    fn allowed(&self, path: &str) -> Read<bool> {
        self.or(path, false, Settings::flag)
    }

    /// The longest that clients are told to wait before they come back, where they may be told at all.
    pub fn retry_after(&self) -> Read<Option<Time>> {
        let longest = self.time_or("limits/max-retry-after", SEC)?;
        Ok(self.allowed("limits/retry-after")?.then_some(longest))
    }

    /// Where the list has to be asked for: the longest pause between two calls, the time after which whoever has not
    /// asked counts as told.
    pub fn asked(&self) -> Read<Option<Time>> {
        let ask = self.or("discovery", "push".into(), Settings::text)? == "ask";
        let within = self.time_or("contract/ask-within", ASK_WITHIN)?;
        Ok(ask.then_some(within))
    }

    /// A connection that isn't made by then can't be made; without a limit it is waited for as long as the flow is.
    pub fn dial_limit(&self) -> Read<Time> {
        self.time_or("limits/dial-timeout", LONGEST)
    }

    /// The longest that clients of each traffic class wait, where the settings have a limit.
    pub fn longest_waits(&self) -> Vec<Option<Time>> {
        let list = self.maybe("service-types").and_then(Value::as_array);
        let limits = list
            .into_iter()
            .flatten()
            .map(|one| one.get("hard-limit").and_then(Value::as_f64));
        limits.map(|us| us.map(span)).collect()
    }

    /// The longest that any client waits; without a limit in the settings, as long as a time can be.
    pub fn longest_wait(&self) -> Time {
        self.longest_waits()
            .into_iter()
            .map(|wait| wait.unwrap_or(Time::MAX))
            .max()
            .unwrap_or(Time::MAX)
    }

    /// Whether balancers may tell one another anything; not where nothing is said of it.
    pub fn may_gossip(&self) -> Read<bool> {
        self.allowed("limits/may-tell")
    }

    /// These settings where balancers have a way to tell one another what they may, or none: guards against a module that
    /// waits for the others' words in place of going by what it holds itself.
    pub fn with_gossip(mut self, way: bool) -> Settings {
        if !way && self.maybe("limits/may-tell").is_some() {
            self.0["limits"]["may-tell"] = false.into();
        }
        self
    }

    /// These settings in a balancer that has run under others: what flows in hand refer to by its place keeps it. Service
    /// types and tenants that are no longer named stay behind those that are, for what is left of them.
    ///
    /// # Errors
    /// Where a traffic class or a tenant has no name, or two have the same.
    pub fn following(&self, old: &Settings) -> Read<Settings> {
        let mut merged = self.clone();
        for list in ["service-types", "accounts"] {
            let entries = |of: &Settings| {
                of.maybe(list)
                    .and_then(Value::as_array)
                    .cloned()
                    .unwrap_or_default()
            };
            let name = |one: &Value| one.get("name").and_then(Value::as_str).map(String::from);
            let mut all: Vec<Value> = entries(old);
            let mut seen = Vec::new();
            for new in entries(self) {
                let known = name(&new).filter(|name| !seen.contains(name));
                let known = known
                    .ok_or_else(|| Malformed::new(list, "a name is missing or comes twice"))?;
                match all
                    .iter_mut()
                    .find(|one| name(one).as_ref() == Some(&known))
                {
                    Some(one) => *one = new,
                    None => all.push(new),
                }
                seen.push(known);
            }
            merged.0[list] = Value::Array(all);
        }
        Ok(merged)
    }

    /// The same with the own zone under this number.
    pub fn with_zone(mut self, number: u64) -> Settings {
        self.0["zone"] = number.into();
        self
    }

    /// The name of the own zone, where zones have names.
    pub fn zone_name(&self) -> Option<String> {
        self.names("areas")
            .into_iter()
            .nth(self.zone().ok()? as usize)
    }

    fn zone(&self) -> Read<u64> {
        // Where there are no zones all are one.
        Ok(self.number_or("zone", 0.0)?.max(0.0) as u64)
    }

    /// How this deployment's load reports are read.
    pub fn reports(&self) -> LoadReportFormat {
        let x0 = self
            .maybe("specifics/report-x0")
            .and_then(Value::as_str)
            .unwrap_or_default();
        LoadReportFormat {
            x0_is_load: x0.contains("over what it can do"),
        }
    }

    /// The names in one of the lists that places refer to; none where it is missing.
    pub fn names(&self, list: &str) -> Vec<String> {
        let list = self.maybe(list).and_then(Value::as_array);
        let name = |one: &Value| {
            one.as_str()
                .or_else(|| one.get("name")?.as_str())
                .map(String::from)
        };
        list.into_iter()
            .flatten()
            .map(|one| name(one).unwrap_or_default())
            .collect()
    }

    /// What stands there; `null` is nothing.
    pub fn maybe(&self, path: &str) -> Option<&Value> {
        path.split('/')
            .try_fold(&self.0, |value, key| value.get(key))
            .filter(|value| !value.is_null())
    }

    fn needed<T>(&self, path: &str, read: impl Fn(&Value) -> Option<T>) -> Read<T> {
        let value = self
            .maybe(path)
            .ok_or_else(|| Malformed::new(path, "missing setting"))?;
        read(value).ok_or_else(|| Malformed::new(path, format!("can't use {value}")))
    }

    pub fn number(&self, path: &str) -> Read<f64> {
        self.needed(path, Value::as_f64)
    }

    /// A default stands in for what is missing, not for what can't be read.
    fn or<T>(&self, path: &str, default: T, read: impl Fn(&Self, &str) -> Read<T>) -> Read<T> {
        self.maybe(path).map_or(Ok(default), |_| read(self, path))
    }

    fn number_or(&self, path: &str, default: f64) -> Read<f64> {
        self.or(path, default, Settings::number)
    }

    fn time_or(&self, path: &str, default: Time) -> Read<Time> {
        self.or(path, default, Settings::time)
    }

    pub fn flag(&self, path: &str) -> Read<bool> {
        self.needed(path, Value::as_bool)
    }

    pub fn time(&self, path: &str) -> Read<Time> {
        Ok(span(self.number(path)?))
    }

    pub fn text(&self, path: &str) -> Read<String> {
        self.needed(path, |value| value.as_str().map(String::from))
    }

    /// Each tenant's share; none where there are no tenants.
    pub fn shares(&self) -> Read<Vec<f64>> {
        let none = Value::Array(Vec::new());
        let list = self.maybe("accounts").unwrap_or(&none);
        let list = list
            .as_array()
            .ok_or_else(|| Malformed::new("accounts", "is no list"))?;
        list.iter()
            .map(|one| Settings(one.clone()).number_or("fraction", 1.0))
            .collect()
    }

    pub fn traffic_classes(&self) -> Read<Vec<TrafficClass>> {
        let list = self.needed("service-types", |value| value.as_array().cloned())?;
        list.into_iter()
            .map(Settings)
            .map(|one| one.traffic_class())
            .collect()
    }

    fn traffic_class(self) -> Read<TrafficClass> {
        // What isn't said to be idempotent is not repeated; without a window, nothing is after it.
        let word = |path, default: &str| self.or(path, default.into(), Settings::text);
        let idempotency = match word("repeat", "single_shot")?.as_str() {
            "free" => Idempotency::Idempotent,
            "single_shot" => Idempotency::NonIdempotent,
            "guarded" => {
                let scope = match word("group", "cell")?.as_str() {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Zone,
                    "cell" => DeduplicationScope::Cell,
                    other => {
                        return Err(Malformed::new("group", format!("unknown scope '{other}'")));
                    }
                };
                Idempotency::Deduplicated {
                    scope,
                    window: self.time_or("window", 0)?,
                }
            }
            other => return Err(Malformed::new("repeat", format!("unknown kind '{other}'"))),
        };
        // Without a target any answer in time will do.
        let longest = self.time_or("hard-limit", LONGEST)?;
        let (latency_objective, priority_weight) = (
            self.time_or("setup-target", longest)?,
            self.number_or("value", 1.0)?,
        );
        Ok(TrafficClass {
            latency_objective,
            priority_weight,
            idempotency,
        })
    }
}

/// A number as servers and clients tell it; guards against `nan`, `inf` and the like, which Rust reads as numbers too.
pub fn figure(text: &str) -> Option<f64> {
    let plain = text
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'.' | b'-' | b'e'));
    text.parse()
        .ok()
        .filter(|value: &f64| plain && value.is_finite())
}

/// What a load report's figures mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReportFormat {
    x0_is_load: bool,
}

impl LoadReportFormat {
    /// Reads pairs that are set apart by commas, each name from its value by `sign`. Load over capacity is
    /// `x0` where the settings say so, else the busy share.
    pub fn read(&self, pairs: &str, sign: char) -> Read<LoadReport> {
        let mut report = LoadReport::default();
        let mut busy = None;
        for pair in pairs.split(',') {
            let no_pair = || Malformed::new("report", format!("'{pair}' is no pair"));
            let (name, value) = pair.split_once(sign).ok_or_else(no_pair)?;
            // One figure that is none costs us that one only.
            let Some(value) = figure(value).filter(|value| *value >= 0.0) else {
                continue;
            };
            match name {
                "x0" if self.x0_is_load => report.utilization = Some(value),
                "busy" | "util" => busy = Some(value),
                "rif" | "inflight" => report.connections = Some(value),
                _ => {}
            }
        }
        report.utilization = report.utilization.or(busy);
        Ok(report)
    }
}
