//! Reads and checks the configuration's file. It owns the names of the file's keys and of the
//! environment variables that stand in for them. It must never panic on what it reads: each error
//! names the key at fault.

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

/// Descriptors of the process where no limit is given; many systems allow a process so many.
const SOCKETS_DEFAULT: u64 = 1024;
/// Fewer can't carry a flow beside what the program itself needs.
const SOCKETS_MIN: u64 = 160;
/// Memory of the process where no limit is given.
const MEMORY_MB_DEFAULT: u64 = 192;
/// The least memory that carries the program and a few flows.
const MEMORY_MB_MIN: u64 = 16;
const BYTES_PER_MB: usize = 1 << 20;

/// The keys of a configuration.
const KEYS: [&str; 7] = [
    "name",
    "listen",
    "discovery",
    "seed",
    "limits",
    "known",
    "settings",
];
/// The keys under `limits`. `cores` has no effect: all work is one worker's.
const LIMITS: [&str; 3] = ["cores", "memory_mb", "sockets"];

/// Reads the named file, or the one that `LB_CONFIG` names.
///
/// # Errors
/// If no file is named, or it can't be read or used.
pub fn load(file: Option<&Path>) -> Result<Config, ConfigError> {
    load_by(file, |file| fs::read_to_string(file))
}

/// Reads the file as [`load`] does; a read that fails in a way that may pass is retried for a few
/// seconds.
///
/// # Errors
/// If no file is named, or it can't be read or used.
pub fn load_at_start(file: Option<&Path>) -> Result<Config, ConfigError> {
    load_by(file, |file| {
        retry::retry_transient(|| fs::read_to_string(file))
    })
}

fn load_by(
    file: Option<&Path>,
    read: impl Fn(&Path) -> io::Result<String>,
) -> Result<Config, ConfigError> {
    let path = file
        .map(PathBuf::from)
        .or_else(|| env::var_os("LB_CONFIG").map(PathBuf::from))
        .ok_or(ConfigError::NoFile)?;
    let text = read(&path).map_err(|source| ConfigError::Unreadable { path, source })?;
    parse(&text, |name| env::var(name).ok())
}

/// Checks a configuration. What it leaves out is taken from the environment, else from the
/// defaults.
///
/// # Errors
/// Names the first key that is missing or can't be used.
pub fn parse(
    text: &str,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    let file = ConfigFile::new(text, environment)?;
    let unknown_keys = file.unknown_keys();
    let seed = file.seed()?;
    let sockets = file.limit("sockets", SOCKETS_DEFAULT, SOCKETS_MIN)?;
    let memory = file
        .limit("memory_mb", MEMORY_MB_DEFAULT, MEMORY_MB_MIN)?
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
        sockets,
        memory,
        known_endpoints,
        connect_timeout: settings.dial_timeout()?,
        poll_interval_max: settings.endpoint_poll_interval_max()?,
        settings,
        unknown_keys,
    })
}

/// The file's keys, and the environment that stands in for some of them.
struct ConfigFile<E> {
    keys: Map<String, Value>,
    environment: E,
}

impl<E: Fn(&str) -> Option<String>> ConfigFile<E> {
    fn new(text: &str, environment: E) -> Result<Self, ConfigError> {
        match serde_json::from_str(text).map_err(ConfigError::NotJson)? {
            Value::Object(mut keys) => {
                // A key that is `null` counts as missing.
                keys.retain(|_, value| !value.is_null());
                Ok(ConfigFile { keys, environment })
            }
            _ => Err(ConfigError::NotAnObject),
        }
    }

    /// Returns the keys that nothing reads, here and under `limits`. They are no error: the
    /// platform writes this file and may have keys that this version doesn't know. Guards against a
    /// fleet that doesn't start since one key is new.
    fn unknown_keys(&self) -> Vec<UnknownKey> {
        let limits = self.keys.get("limits").and_then(Value::as_object);
        let mut unknown = unknown_in(&self.keys, &KEYS, "");
        if let Some(limits) = limits {
            unknown.extend(unknown_in(limits, &LIMITS, "limits."));
        }
        unknown
    }

    /// Returns a text, from the environment where the key is missing.
    fn text(&self, key: &'static str, variable: &str) -> Result<Option<String>, ConfigError> {
        match self.keys.get(key) {
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(value) => Err(ConfigError::NotText {
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
            .ok_or(ConfigError::NoAddress { key, variable })?;
        text.parse()
            .map_err(|_| ConfigError::NotAnAddress { key, text })
    }

    fn seed(&self) -> Result<u64, ConfigError> {
        let text = self.text("seed", "LB_SEED")?.unwrap_or_else(|| "0".into());
        u64::from_str_radix(&text, 16).map_err(|_| ConfigError::NotASeed { text })
    }

    fn limit(&self, key: &'static str, default: u64, min: u64) -> Result<usize, ConfigError> {
        let given = self
            .keys
            .get("limits")
            .and_then(|limits| limits.get(key))
            .filter(|value| !value.is_null());
        let value = match given {
            Some(value) => value.as_u64().ok_or_else(|| ConfigError::NotACount {
                key,
                value: value.clone(),
            })?,
            None => default,
        };
        if value < min {
            return Err(ConfigError::TooSmall { key, value, min });
        }
        Ok(value as usize)
    }

    fn known_endpoints(&self) -> Result<Option<ListUpdate>, ConfigError> {
        self.keys
            .get("known")
            .map(discovery::parse_list_update)
            .transpose()
            .map_err(ConfigError::KnownEndpoints)
    }

    fn settings(&self, seed: u64, unknown_keys: &[UnknownKey]) -> Result<Settings, ConfigError> {
        let value = self
            .keys
            .get("settings")
            .ok_or_else(|| ConfigError::NoSettings {
                unknown_keys: unknown_keys.to_vec(),
            })?;
        let settings = Settings::within(value)?;
        // Read once here, so that a faulty setting is reported before the balancer starts.
        settings.policy(seed, 0, DrainMigration::Enabled)?;
        Ok(settings)
    }
}

fn unknown_in(keys: &Map<String, Value>, known: &[&str], prefix: &str) -> Vec<UnknownKey> {
    let names = keys.keys().map(String::as_str);
    nettlemux_settings::unknown_names(names, known)
        .map(|unknown| UnknownKey {
            key: format!("{prefix}{}", unknown.name),
            why: unknown.hint.to_string(),
        })
        .collect()
}
