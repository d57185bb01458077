//! Reads and validates the configuration file. This module owns the names of the file's keys and of
//! the environment variables that replace missing keys. It must not panic on any input: every
//! fault becomes an error that names the key.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nettlemux_dataplane::discovery::{self, ListUpdate};
use nettlemux_dataplane::retry;
use nettlemux_settings::{DrainMigration, Settings};
use serde_json::{Map, Value};

use crate::config::{Config, UnknownKey};
use crate::config_error::ConfigError;

/// Maximum number of descriptors if the configuration sets none: a common default limit per
/// process (`RLIMIT_NOFILE`).
const DESCRIPTORS_MAX_DEFAULT: u64 = 1024;
/// With fewer descriptors no flow can be carried besides the descriptors that the program itself
/// needs.
const DESCRIPTORS_MAX_MIN: u64 = 160;
/// Maximum memory of the process if the configuration sets none, in megabytes.
const MEMORY_MB_MAX_DEFAULT: u64 = 192;
/// The least memory that is enough for the program and a few flows, in megabytes.
const MEMORY_MB_MAX_MIN: u64 = 16;
const BYTES_PER_MB: usize = 1 << 20;

/// The top-level keys of the configuration.
const TOP_LEVEL_KEYS: [&str; 7] = [
    "name",
    "listen",
    "discovery",
    "seed",
    "limits",
    "known",
    "settings",
];
/// The keys under `limits`. `cores` is accepted and has no effect: a single worker does all work.
const LIMIT_KEYS: [&str; 3] = ["cores", "memory_mb", "sockets"];

/// Reads the given file, or the file that `LB_CONFIG` names if none is given.
///
/// # Errors
/// If no file is given, or it can't be read or is invalid.
pub fn load(file: Option<&Path>) -> Result<Config, ConfigError> {
    load_with(file, |file| fs::read_to_string(file))
}

/// Reads the file like [`load`], but retries transient read errors for a few seconds.
///
/// # Errors
/// If no file is given, or it can't be read or is invalid.
pub fn load_at_start(file: Option<&Path>) -> Result<Config, ConfigError> {
    load_with(file, |file| {
        retry::retry_transient(|| fs::read_to_string(file))
    })
}

fn load_with(
    file: Option<&Path>,
    read: impl Fn(&Path) -> io::Result<String>,
) -> Result<Config, ConfigError> {
    let path = file
        .map(PathBuf::from)
        .or_else(|| env::var_os("LB_CONFIG").map(PathBuf::from))
        .ok_or(ConfigError::MissingFile)?;
    let text = read(&path).map_err(|source| ConfigError::ReadFailed { path, source })?;
    parse(&text, |name| env::var(name).ok())
}

/// Parses and validates a configuration. Missing keys are taken from the environment or, failing
/// that, from the defaults.
///
/// # Errors
/// If a key is missing or invalid; the error names the first such key.
pub fn parse(
    text: &str,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    let file = ConfigFile::new(text, environment)?;
    let unknown_keys = file.unknown_keys();
    let seed = file.seed()?;
    let descriptors_max = file.limit("sockets", DESCRIPTORS_MAX_DEFAULT, DESCRIPTORS_MAX_MIN)?;
    let memory_bytes_max = file
        .limit("memory_mb", MEMORY_MB_MAX_DEFAULT, MEMORY_MB_MAX_MIN)?
        .saturating_mul(BYTES_PER_MB);
    let known_endpoints = file.known_endpoints()?;
    let settings = file.settings(seed, &unknown_keys)?;
    Ok(Config {
        name: file
            .text("name", "LB_NAME")?
            .unwrap_or_else(|| "nettlemux".into()),
        listen: file.address("listen", "LB_LISTEN")?,
        discovery: file.address("discovery", "LB_DISCOVERY")?,
        seed,
        descriptors_max,
        memory_bytes_max,
        known_endpoints,
        connect_timeout: settings.dial_timeout()?,
        poll_interval_max: settings.endpoint_poll_interval_max()?,
        settings,
        unknown_keys,
    })
}

/// The keys of the file, and the environment variables that replace some missing keys.
struct ConfigFile<E> {
    keys: Map<String, Value>,
    environment: E,
}

impl<E: Fn(&str) -> Option<String>> ConfigFile<E> {
    fn new(text: &str, environment: E) -> Result<Self, ConfigError> {
        match serde_json::from_str(text).map_err(ConfigError::InvalidJson)? {
            Value::Object(mut keys) => {
                // A key whose value is `null` counts as missing.
                keys.retain(|_, value| !value.is_null());
                Ok(ConfigFile { keys, environment })
            }
            _ => Err(ConfigError::NotAnObject),
        }
    }

    /// Returns the unknown keys at the top level and under `limits`. An unknown key is not an
    /// error: the platform writes this file and may add keys that this version does not know. If
    /// they were rejected, one new key would keep the whole fleet from starting.
    fn unknown_keys(&self) -> Vec<UnknownKey> {
        let limits = self.keys.get("limits").and_then(Value::as_object);
        let mut unknown = unknown_keys_in(&self.keys, &TOP_LEVEL_KEYS, "");
        if let Some(limits) = limits {
            unknown.extend(unknown_keys_in(limits, &LIMIT_KEYS, "limits."));
        }
        unknown
    }

    /// Returns the string under a key, or the environment variable's value if the key is missing.
    fn text(&self, key: &'static str, variable: &str) -> Result<Option<String>, ConfigError> {
        match self.keys.get(key) {
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(value) => Err(ConfigError::NotAString {
                key,
                value: value.clone(),
            }),
            None => Ok((self.environment)(variable)),
        }
    }

    fn address(
        &self,
        key: &'static str,
        variable: &'static str,
    ) -> Result<SocketAddr, ConfigError> {
        let text = self
            .text(key, variable)?
            .ok_or(ConfigError::MissingAddress { key, variable })?;
        text.parse()
            .map_err(|_| ConfigError::InvalidAddress { key, text })
    }

    fn seed(&self) -> Result<u64, ConfigError> {
        let text = self.text("seed", "LB_SEED")?.unwrap_or_else(|| "0".into());
        u64::from_str_radix(&text, 16).map_err(|_| ConfigError::InvalidSeed { text })
    }

    fn limit(&self, key: &'static str, default: u64, min: u64) -> Result<usize, ConfigError> {
        let given = self
            .keys
            .get("limits")
            .and_then(|limits| limits.get(key))
            .filter(|value| !value.is_null());
        let value = match given {
            Some(value) => value.as_u64().ok_or_else(|| ConfigError::InvalidLimit {
                key,
                value: value.clone(),
            })?,
            None => default,
        };
        if value < min {
            return Err(ConfigError::LimitTooSmall { key, value, min });
        }
        Ok(value as usize)
    }

    fn known_endpoints(&self) -> Result<Option<ListUpdate>, ConfigError> {
        self.keys
            .get("known")
            .map(discovery::parse_list_update)
            .transpose()
            .map_err(ConfigError::InvalidKnownEndpoints)
    }

    fn settings(&self, seed: u64, unknown_keys: &[UnknownKey]) -> Result<Settings, ConfigError> {
        let value = self
            .keys
            .get("settings")
            .ok_or_else(|| ConfigError::MissingSettings {
                unknown_keys: unknown_keys.to_vec(),
            })?;
        let settings = Settings::from_embedded(value)?;
        // Builds a policy and drops it, so that an invalid setting is reported before the balancer
        // starts.
        settings.policy(seed, 0, DrainMigration::Enabled)?;
        Ok(settings)
    }
}

fn unknown_keys_in(keys: &Map<String, Value>, known: &[&str], prefix: &str) -> Vec<UnknownKey> {
    let names = keys.keys().map(String::as_str);
    nettlemux_settings::unknown_names(names, known)
        .map(|unknown| UnknownKey {
            key: format!("{prefix}{}", unknown.name),
            why: unknown.hint.to_string(),
        })
        .collect()
}
