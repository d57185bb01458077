//! Why a configuration can't be used. Each message names the key at fault.

use std::io;
use std::path::PathBuf;

use nettlemux_dataplane::discovery::ListUpdateError;
use nettlemux_settings::SettingsError;
use serde_json::Value;

use crate::config::UnknownKey;

/// An error in the configuration, or in reading its file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor `LB_CONFIG` names a file.
    #[error("configuration key 'LB_CONFIG': not set, and no file was named")]
    NoFile,
    /// The file can't be read.
    #[error("configuration key 'LB_CONFIG': {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file is no JSON.
    #[error("configuration key '(whole file)': no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The file is no JSON object.
    #[error("configuration key '(whole file)': no object")]
    NotAnObject,
    /// A key that takes a text has another value.
    #[error("configuration key '{key}': {value} is no text")]
    NotText { key: &'static str, value: Value },
    /// An address is missing.
    #[error("configuration key '{key}': missing, and {variable} is not set")]
    NoAddress {
        key: &'static str,
        /// The environment variable that stands in for the key.
        variable: &'static str,
    },
    /// A text is no address with a port.
    #[error("configuration key '{key}': '{text}' is no address with a port")]
    NotAnAddress { key: &'static str, text: String },
    /// The seed is no hexadecimal number of 64 bits.
    #[error("configuration key 'seed': '{text}' is no hexadecimal number of 64 bits")]
    NotASeed { text: String },
    /// A limit is no whole number.
    #[error("configuration key 'limits.{key}': {value} is no count")]
    NotACount { key: &'static str, value: Value },
    /// A limit is under the least that the program needs.
    #[error("configuration key 'limits.{key}': {value} is under {min}")]
    TooSmall {
        key: &'static str,
        value: u64,
        min: u64,
    },
    /// The last known endpoint list can't be read.
    #[error("configuration key 'known': {0}")]
    KnownEndpoints(#[source] ListUpdateError),
    /// `settings` is missing. An unknown key may be a misspelt `settings`, so these are listed too.
    #[error("configuration key 'settings': missing{}", list(unknown_keys))]
    NoSettings { unknown_keys: Vec<UnknownKey> },
    /// One of the platform's settings can't be used.
    #[error("configuration key '{key}': {why}")]
    Setting { key: String, why: String },
}

impl From<SettingsError> for ConfigError {
    fn from(error: SettingsError) -> Self {
        let key = if error.field == "settings" {
            error.field
        } else {
            format!("settings.{}", error.field.replace('/', "."))
        };
        ConfigError::Setting {
            key,
            why: error.problem.to_string(),
        }
    }
}

fn list(unknown_keys: &[UnknownKey]) -> String {
    unknown_keys
        .iter()
        .map(|unknown| format!("; '{}': {}", unknown.key, unknown.why))
        .collect()
}
