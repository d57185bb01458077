//! Scenario files: reads and checks them, sets single keys for a sweep, and converts a scenario into
//! the settings of a balancer. Errors name the file, the key and the reason. This module must never
//! run a scenario.

mod error;

use std::path::Path;

use nettlemux_admission::AdmissionConfig;
use nettlemux_fleet_model::scenario::{ExpectedRange, IdempotencySetting, Scenario, Weights};
use nettlemux_policy::Time;
use nettlemux_settings::{nearest_name, operator};
use serde::Deserialize;
use serde_json::{Value, json};

pub use error::{ScenarioFileError, ScenarioProblem, SetKeyError};

/// The key that an error names if the key at fault is not known.
pub(crate) const WHOLE_FILE: &str = "(whole file)";

/// Reads and checks a scenario file.
///
/// # Errors
/// Names the file and the key at fault and, for an unknown key, the known key with the nearest
/// name.
pub fn load(file: &Path) -> Result<(Scenario, toml::Table), ScenarioFileError> {
    let file_error = |problem| ScenarioFileError::new(file, WHOLE_FILE, problem);
    let text = std::fs::read_to_string(file).map_err(|e| file_error(ScenarioProblem::Io(e)))?;
    let table: toml::Table = text
        .parse()
        .map_err(|e: toml::de::Error| file_error(ScenarioProblem::Toml(Box::new(e))))?;
    Ok((read(&table, file)?, table))
}

/// Reads and checks a scenario that is already parsed as TOML. Errors name `file`.
///
/// # Errors
/// As [`load`].
pub fn read(table: &toml::Table, file: &Path) -> Result<Scenario, ScenarioFileError> {
    let scenario = Scenario::deserialize(table.clone()).map_err(|e| {
        let (key, problem) = key_and_problem(e.message());
        ScenarioFileError::new(file, key, problem)
    })?;
    scenario.check().map_err(|error| {
        ScenarioFileError::new(file, error.key, ScenarioProblem::Invalid(error.reason))
    })?;
    for (name, expect) in &scenario.expect {
        check_expectation(name, expect)
            .map_err(|problem| ScenarioFileError::new(file, format!("expect.{name}"), problem))?;
    }
    Ok(scenario)
}

/// Checks that an expectation names a figure and a bound.
fn check_expectation(name: &str, expect: &ExpectedRange) -> Result<(), ScenarioProblem> {
    let names = crate::figures::NAMES.map(|(name, _)| name);
    if !names.contains(&name) {
        return Err(ScenarioProblem::UnknownFigure {
            nearest: nearest_name(name, names).map(String::from),
            known: names.join(", "),
        });
    }
    match expect.min.is_none() && expect.max.is_none() {
        true => Err(ScenarioProblem::MissingBound),
        false => Ok(()),
    }
}

/// Returns the key and the problem from a message of the TOML parser, which puts names in
/// backticks.
pub(crate) fn key_and_problem(message: &str) -> (String, ScenarioProblem) {
    let mut names = message.split('`').skip(1).step_by(2);
    match (message.starts_with("unknown field"), names.next()) {
        (true, Some(name)) => {
            let known: Vec<&str> = names.collect();
            let problem = ScenarioProblem::UnknownKey {
                nearest: nearest_name(name, known.iter().copied()).map(String::from),
                known: known.join(", "),
            };
            (name.to_string(), problem)
        }
        (false, Some(name)) if message.starts_with("missing field") => {
            (name.to_string(), ScenarioProblem::Missing)
        }
        _ => {
            let message = message.trim().to_string();
            (WHOLE_FILE.into(), ScenarioProblem::Unreadable(message))
        }
    }
}

/// Sets one value of a scenario, given by its path (`clients.rate`, `faults.0.amount`), for a sweep.
///
/// # Errors
/// The path names a table, a list or an index that the scenario does not have, or no key in a list.
pub fn set(table: &mut toml::Table, path: &str, value: f64) -> Result<(), SetKeyError> {
    let Some((first, rest)) = path.split_once('.').filter(|(_, rest)| !rest.is_empty()) else {
        let key = path.split('.').next().unwrap_or(path);
        let new = number_of_same_type(table.get(key), value);
        table.insert(key.into(), new);
        return Ok(());
    };
    match table.get_mut(first) {
        Some(toml::Value::Table(inner)) => set(inner, rest, value),
        Some(toml::Value::Array(list)) => {
            let (index, key) = rest
                .split_once('.')
                .ok_or_else(|| SetKeyError::MissingKeyInList { path: path.into() })?;
            let inner = table_in_list(list, first, index)?;
            set(inner, key, value)
        }
        _ => Err(SetKeyError::UnknownKey { key: first.into() }),
    }
}

/// Returns the number with the type of the old value. Without an old value, it is an integer if it
/// has no fractional part.
fn number_of_same_type(old: Option<&toml::Value>, value: f64) -> toml::Value {
    match old {
        Some(toml::Value::Integer(_)) => toml::Value::Integer(value.round() as i64),
        None if value.fract() == 0.0 => toml::Value::Integer(value as i64),
        _ => toml::Value::Float(value),
    }
}

/// Returns the table at an index of the list under `key`.
fn table_in_list<'a>(
    list: &'a mut [toml::Value],
    key: &str,
    index: &str,
) -> Result<&'a mut toml::Table, SetKeyError> {
    let position: usize = index.parse().map_err(|_| SetKeyError::InvalidIndex {
        index: index.into(),
        key: key.into(),
    })?;
    list.get_mut(position)
        .and_then(toml::Value::as_table_mut)
        .ok_or_else(|| SetKeyError::IndexOutOfRange {
            index: position,
            key: key.into(),
        })
}

/// Returns the settings of a balancer in a zone, in the platform's format, with times in
/// microseconds.
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
            "dial-timeout": us(CONNECT_TIMEOUT_SECONDS)},
        "report": {"how": "pull", "fields": ["x0", "inflight"]},
        "service-types": types,
        "specifics": {"groups": scenario.clients.groups > 0,
            "report-x0": "load asked of the server over what it can do"},
    })
}

/// Returns the configuration of admission control in a scenario. Tenants are identified by number;
/// the weights name them c0, c1 and so on.
pub fn admission(keys: &operator::AdmissionSettings, retry_after_max: Time) -> AdmissionConfig {
    keys.config(retry_after_max, |name| {
        name.strip_prefix('c')
            .and_then(|number| number.parse().ok())
    })
}

/// The seconds after which a connection that is not established has failed.
pub const CONNECT_TIMEOUT_SECONDS: f64 = 0.25;
