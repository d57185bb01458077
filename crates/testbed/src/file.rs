//! Scenario files: read, checked, changed by a key for a sweep, and turned into the settings that a
//! balancer gets. It owns the errors that name file, key and reason. It must never run anything.

use std::fmt;
use std::path::{Path, PathBuf};

use nettlemux_admission::AdmissionConfig;
use nettlemux_fleet_model::scenario::{IdempotencySetting, Scenario, Weights};
use nettlemux_policy::Time;
use nettlemux_settings::{nearest_name, operator};
use serde::Deserialize;
use serde_json::{Value, json};

/// The key that is named where none is known.
pub(crate) const WHOLE_FILE: &str = "(whole file)";

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioFileError {
    /// The file.
    pub file: PathBuf,
    /// The key at fault, with the tables that it stands in.
    pub key: String,
    /// Why its value cannot be used.
    pub why: String,
}

impl fmt::Display for ScenarioFileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{}: key '{}': {}",
            self.file.display(),
            self.key,
            self.why
        )
    }
}

/// Reads a scenario's file.
///
/// # Errors
/// Names the file and the key at fault; an unknown key with the nearest known one.
pub fn load(file: &Path) -> Result<(Scenario, toml::Table), ScenarioFileError> {
    let faulty = |key: &str, why: String| ScenarioFileError {
        file: file.into(),
        key: key.into(),
        why,
    };
    let text = std::fs::read_to_string(file).map_err(|e| faulty(WHOLE_FILE, e.to_string()))?;
    let table: toml::Table = text
        .parse()
        .map_err(|e: toml::de::Error| faulty(WHOLE_FILE, e.to_string()))?;
    Ok((read(&table, file)?, table))
}

/// Reads a scenario that is in hand already; `file` is named in errors.
pub fn read(table: &toml::Table, file: &Path) -> Result<Scenario, ScenarioFileError> {
    let faulty = |key: String, why: String| ScenarioFileError {
        file: file.into(),
        key,
        why,
    };
    let scenario = Scenario::deserialize(table.clone()).map_err(|e| {
        let (key, why) = complaint(e.message());
        faulty(key, why)
    })?;
    scenario
        .check()
        .map_err(|error| faulty(error.key, error.reason))?;
    for (name, expect) in &scenario.expect {
        let names = crate::figures::NAMES.map(|(name, _)| name);
        if !names.contains(&name.as_str()) {
            let near = nearest_name(name, names)
                .map_or(names.join(", "), |near| format!("is '{near}' meant?"));
            return Err(faulty(
                format!("expect.{name}"),
                format!("no figure; {near}"),
            ));
        }
        if expect.min.is_none() && expect.max.is_none() {
            return Err(faulty(
                format!("expect.{name}"),
                "neither min nor max".into(),
            ));
        }
    }
    Ok(scenario)
}

/// A key and a reason out of what the reader says: it sets names in backticks.
pub(crate) fn complaint(message: &str) -> (String, String) {
    let mut names = message.split('`').skip(1).step_by(2);
    match (message.starts_with("unknown field"), names.next()) {
        (true, Some(name)) => {
            let known: Vec<&str> = names.collect();
            let near = nearest_name(name, known.iter().copied());
            let near = near.map_or(format!("there are {}", known.join(", ")), |n| {
                format!("is '{n}' meant?")
            });
            (name.to_string(), format!("unknown; {near}"))
        }
        (false, Some(name)) if message.starts_with("missing field") => {
            (name.to_string(), "missing".into())
        }
        _ => (WHOLE_FILE.into(), message.trim().to_string()),
    }
}

/// Sets one value of a scenario by its path (`clients.rate`, `faults.0.amount`), for a sweep.
///
/// # Errors
/// The path leads nowhere.
pub fn set(table: &mut toml::Table, path: &str, value: f64) -> Result<(), String> {
    let (first, rest) = path.split_once('.').unwrap_or((path, ""));
    let number = |old: Option<&toml::Value>| match old {
        Some(toml::Value::Integer(_)) => toml::Value::Integer(value.round() as i64),
        None if value.fract() == 0.0 => toml::Value::Integer(value as i64),
        _ => toml::Value::Float(value),
    };
    if rest.is_empty() {
        let new = number(table.get(first));
        table.insert(first.into(), new);
        return Ok(());
    }
    match table.get_mut(first) {
        Some(toml::Value::Table(inner)) => set(inner, rest, value),
        Some(toml::Value::Array(list)) => {
            let (index, key) = rest
                .split_once('.')
                .ok_or(format!("'{path}' names no key in a list"))?;
            let index: usize = index
                .parse()
                .map_err(|_| format!("'{index}' is no place in '{first}'"))?;
            let inner = list.get_mut(index).and_then(toml::Value::as_table_mut);
            set(
                inner.ok_or(format!("'{first}' has no place {index}"))?,
                key,
                value,
            )
        }
        _ => Err(format!("there is no '{first}'")),
    }
}

/// The settings that a balancer of that zone gets: the platform's form, times in microseconds.
pub fn settings(scenario: &Scenario, zone: usize) -> Value {
    let us = |s: f64| (s * 1e6).round() as u64;
    let names = |letter: &str, count: usize| {
        (0..count)
            .map(|i| format!("{letter}{i}"))
            .collect::<Vec<_>>()
    };
    let types: Vec<Value> = (scenario.types.iter())
        .map(|t| {
            let (repeat, group) = match t.idempotency {
                IdempotencySetting::Idempotent => ("free", "all"),
                IdempotencySetting::NonIdempotent => ("single_shot", "all"),
                IdempotencySetting::DeduplicatedAll => ("guarded", "all"),
                IdempotencySetting::DeduplicatedInZone => ("guarded", "zone"),
                IdempotencySetting::DeduplicatedInCell => ("guarded", "cell"),
            };
            json!({"name": t.name, "setup-target": us(t.target), "value": t.value, "repeat": repeat,
                "group": group, "hard-limit": us(t.wait), "window": us(t.window)})
        })
        .collect();
    let tenants: Vec<Value> = (scenario.clients.tenants.iter().enumerate())
        .map(|(i, share)| json!({"name": format!("c{i}"), "fraction": share}))
        .collect();
    let (limits, fleet) = (&scenario.limits, &scenario.fleet);
    json!({
        "zone": zone,
        "areas": names("h", scenario.zones.number),
        "models": ["m0"],
        "discovery": "push",
        "weights": if scenario.discovery.weights == Weights::Live { "live" } else { "nominal" },
        "replicas-of-me": scenario.balancers.number,
        "accounts": tenants,
        "surplus-value": scenario.clients.surplus_weight,
        "costs": {"probe": scenario.limits.health_check_price},
        "contract": {"start-capacity": fleet.initial_capacity, "warm-up": us(fleet.warm_up),
            "fall-multiple": fleet.collapse_multiple, "fall": us(fleet.collapse_window),
            "stop-sending-within": us(limits.grace)},
        "limits": {"max-connects": limits.attempts, "second-copies": limits.hedging,
            "may-cancel": limits.may_cancel, "probes": limits.health_checks,
            "retry-after": limits.retry_after > 0.0, "max-retry-after": us(limits.retry_after),
            "dial-timeout": us(DIAL)},
        "report": {"how": "pull", "fields": ["x0", "inflight"]},
        "service-types": types,
        "specifics": {"groups": scenario.clients.groups > 0,
            "report-x0": "load asked of the server over what it can do"},
    })
}

/// The door as a scenario has it: tenants are told apart by number, and weights name them c0, c1
/// and so on.
pub fn admission(keys: &operator::AdmissionSettings, longest: Time) -> AdmissionConfig {
    keys.config(longest, |name| {
        name.strip_prefix('c')
            .and_then(|number| number.parse().ok())
    })
}

/// Seconds after which a connection that isn't made can't be made.
pub const DIAL: f64 = 0.25;
