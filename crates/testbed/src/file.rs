//! Scenario files: read, checked, changed by a key for a sweep, and turned into the settings that a
//! balancer gets. It owns the errors that name file, key and reason. It must never run anything.

mod error;

use std::path::Path;

use nettlemux_admission::AdmissionConfig;
use nettlemux_fleet_model::scenario::{Expect, IdempotencySetting, Scenario, Weights};
use nettlemux_policy::Time;
use nettlemux_settings::{nearest_name, operator};
use serde::Deserialize;
use serde_json::{Value, json};

pub use error::{ScenarioFileError, ScenarioProblem, SetKeyError};

/// The key that is named where none is known.
pub(crate) const WHOLE_FILE: &str = "(whole file)";

/// Reads a scenario's file.
///
/// # Errors
/// Names the file and the key at fault; an unknown key with the nearest known one.
pub fn load(file: &Path) -> Result<(Scenario, toml::Table), ScenarioFileError> {
    let whole = |problem| ScenarioFileError::new(file, WHOLE_FILE, problem);
    let text = std::fs::read_to_string(file).map_err(|e| whole(ScenarioProblem::Io(e)))?;
    let table: toml::Table = text
        .parse()
        .map_err(|e: toml::de::Error| whole(ScenarioProblem::Toml(Box::new(e))))?;
    Ok((read(&table, file)?, table))
}

/// Reads a scenario that is in hand already; `file` is named in errors.
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
fn check_expectation(name: &str, expect: &Expect) -> Result<(), ScenarioProblem> {
    let names = crate::figures::NAMES.map(|(name, _)| name);
    if !names.contains(&name) {
        return Err(ScenarioProblem::UnknownFigure {
            nearest: nearest_name(name, names).map(String::from),
            known: names.join(", "),
        });
    }
    match expect.min.is_none() && expect.max.is_none() {
        true => Err(ScenarioProblem::NoBound),
        false => Ok(()),
    }
}

/// Returns the key and the problem that the TOML reader speaks of: it sets names in backticks.
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

/// Sets one value of a scenario by its path (`clients.rate`, `faults.0.amount`), for a sweep.
///
/// # Errors
/// The path leads nowhere.
pub fn set(table: &mut toml::Table, path: &str, value: f64) -> Result<(), SetKeyError> {
    let Some((first, rest)) = path.split_once('.').filter(|(_, rest)| !rest.is_empty()) else {
        let key = path.split('.').next().unwrap_or(path);
        let new = number_like(table.get(key), value);
        table.insert(key.into(), new);
        return Ok(());
    };
    match table.get_mut(first) {
        Some(toml::Value::Table(inner)) => set(inner, rest, value),
        Some(toml::Value::Array(list)) => {
            let (index, key) = rest
                .split_once('.')
                .ok_or_else(|| SetKeyError::NoKeyInList { path: path.into() })?;
            let inner = table_in_list(list, first, index)?;
            set(inner, key, value)
        }
        _ => Err(SetKeyError::NoSuchKey { key: first.into() }),
    }
}

/// A number of the kind of the old value; an integer where there is none and it is whole.
fn number_like(old: Option<&toml::Value>, value: f64) -> toml::Value {
    match old {
        Some(toml::Value::Integer(_)) => toml::Value::Integer(value.round() as i64),
        None if value.fract() == 0.0 => toml::Value::Integer(value as i64),
        _ => toml::Value::Float(value),
    }
}

/// The table at a place of a list, which stands under `key`.
fn table_in_list<'a>(
    list: &'a mut [toml::Value],
    key: &str,
    index: &str,
) -> Result<&'a mut toml::Table, SetKeyError> {
    let place: usize = index.parse().map_err(|_| SetKeyError::NotAnIndex {
        index: index.into(),
        key: key.into(),
    })?;
    list.get_mut(place)
        .and_then(toml::Value::as_table_mut)
        .ok_or_else(|| SetKeyError::OutOfList {
            index: place,
            key: key.into(),
        })
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

/// The admission control as a scenario has it: tenants are told apart by number, and weights name
/// them c0, c1 and so on.
pub fn admission(keys: &operator::AdmissionSettings, longest: Time) -> AdmissionConfig {
    keys.config(longest, |name| {
        name.strip_prefix('c')
            .and_then(|number| number.parse().ok())
    })
}

/// Seconds after which a connection that isn't made can't be made.
pub const DIAL: f64 = 0.25;
