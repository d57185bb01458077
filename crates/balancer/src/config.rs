//! The configuration written by the platform, validated and with defaults filled in.

use std::fmt;
use std::net::SocketAddr;

use nettlemux_dataplane::discovery::ListUpdate;
use nettlemux_dataplane::runtime_settings::RuntimeSettings;
use nettlemux_policy::Time;
use nettlemux_settings::Settings;
use tracing::warn;

/// A validated configuration.
pub struct Config {
    /// The balancer's name in the log.
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: SocketAddr,
    /// The discovery agent's address.
    pub discovery: SocketAddr,
    /// The seed of the random number generators.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may hold.
    pub descriptors_max: usize,
    /// Maximum memory that the process may use, in bytes.
    pub memory_bytes_max: usize,
    /// The last known endpoint list, which may be out of date.
    pub known_endpoints: Option<ListUpdate>,
    /// The platform's settings.
    pub settings: Settings,
    /// A connection to a server that is not established within this time counts as failed.
    pub connect_timeout: Time,
    /// The longest interval between two polls of the endpoint list, if the list is polled.
    pub poll_interval_max: Option<Time>,
    /// Keys that this version does not know and ignores.
    pub unknown_keys: Vec<UnknownKey>,
}

impl Config {
    /// Returns the settings that the data plane uses.
    pub fn runtime_settings(&self) -> RuntimeSettings {
        RuntimeSettings {
            report_format: self.settings.load_report_format(),
            load_reports_on_request: self.settings.has_load_reports(),
            connect_timeout: self.connect_timeout,
            endpoint_poll_interval_max: self.poll_interval_max,
        }
    }

    /// Logs a warning for each unknown key.
    pub fn warn_of_unknown_keys(&self) {
        for UnknownKey { key, why } in &self.unknown_keys {
            warn!(key, why, "unknown key in the configuration");
        }
    }

    /// Returns the keys that have changed in a new configuration and are applied only at the start.
    /// `known` is never returned: it holds the endpoint list to start with, so a change of it does
    /// not matter later.
    pub fn keys_needing_a_restart(&self, new: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("seed", self.seed != new.seed),
            (
                "limits.sockets",
                self.descriptors_max != new.descriptors_max,
            ),
            (
                "limits.memory_mb",
                self.memory_bytes_max != new.memory_bytes_max,
            ),
        ];
        changed
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| key)
            .collect()
    }
}

/// A configuration key that this version does not know and ignores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKey {
    /// The full path of the key, such as `limits.socket`.
    pub key: String,
    /// A message that says that the key is unknown and suggests the most similar known key.
    pub why: String,
}

impl fmt::Display for UnknownKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "configuration key '{}': {}", self.key, self.why)
    }
}
