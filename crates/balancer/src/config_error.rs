//! Errors in the configuration. Each message names the key at fault.

use std::io;
use std::path::PathBuf;

use nettlemux_dataplane::discovery::ListUpdateError;
use nettlemux_settings::SettingsError;
use serde_json::Value;

use crate::config::UnknownKey;

/// An error in the configuration file, or a failure to read it.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor `LB_CONFIG` names a file.
    #[error("configuration key 'LB_CONFIG': not set, and --config was not given")]
    MissingFile,
    /// The file can't be read.
    #[error("configuration key 'LB_CONFIG': can't read {}: {source}", path.display())]
    ReadFailed { path: PathBuf, source: io::Error },
    /// The file is not valid JSON.
    #[error("configuration key '(whole file)': invalid JSON: {0}")]
    InvalidJson(#[source] serde_json::Error),
    /// The file's top-level value is not a JSON object.
    #[error("configuration key '(whole file)': expected a JSON object, found another value")]
    NotAnObject,
    /// The value of a string key is not a string.
    #[error("configuration key '{key}': expected a string, found {value}")]
    NotAString { key: &'static str, value: Value },
    /// An address is missing.
    #[error(
        "configuration key '{key}': missing, and the environment variable {variable} is not set"
    )]
    MissingAddress {
        key: &'static str,
        /// The environment variable that is read if the key is missing.
        variable: &'static str,
    },
    /// A string is not an IP address with a port.
    #[error("configuration key '{key}': expected an IP address with a port, found '{text}'")]
    InvalidAddress { key: &'static str, text: String },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("configuration key 'seed': expected a 64-bit hexadecimal number, found '{text}'")]
    InvalidSeed { text: String },
    /// A limit is not a non-negative integer.
    #[error("configuration key 'limits.{key}': expected a non-negative integer, found {value}")]
    InvalidLimit { key: &'static str, value: Value },
    /// A limit is below the minimum that the program needs.
    #[error("configuration key 'limits.{key}': expected at least {min}, found {value}")]
    LimitTooSmall {
        key: &'static str,
        value: u64,
        min: u64,
    },
    /// The last known endpoint list can't be parsed.
    #[error("configuration key 'known': {0}")]
    InvalidKnownEndpoints(#[source] ListUpdateError),
    /// `settings` is missing. The message also lists the unknown keys, since one of them may be a
    /// misspelt `settings`.
    #[error(
        "configuration key 'settings': missing{}",
        format_unknown_keys(unknown_keys)
    )]
    MissingSettings { unknown_keys: Vec<UnknownKey> },
    /// One of the platform's settings is invalid.
    #[error("configuration key '{key}': {why}")]
    InvalidSetting { key: String, why: String },
}

impl From<SettingsError> for ConfigError {
    fn from(error: SettingsError) -> Self {
        let key = if error.field == "settings" {
            error.field
        } else {
            format!("settings.{}", error.field.replace('/', "."))
        };
        ConfigError::InvalidSetting {
            key,
            why: error.problem.to_string(),
        }
    }
}

fn format_unknown_keys(unknown_keys: &[UnknownKey]) -> String {
    unknown_keys
        .iter()
        .map(|unknown| format!("; '{}': {}", unknown.key, unknown.why))
        .collect()
}
