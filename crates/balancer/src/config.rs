//! The configuration that the platform writes: its values, checked and with their defaults.

use std::fmt;
use std::net::SocketAddr;

use nettlemux_dataplane::discovery::ListUpdate;
use nettlemux_dataplane::runtime_settings::RuntimeSettings;
use nettlemux_policy::Time;
use nettlemux_settings::Settings;
use tracing::warn;

/// A checked configuration.
pub struct Config {
    /// The balancer's name in the log.
    pub name: String,
    pub listen: SocketAddr,
    /// The discovery agent's address.
    pub discovery: SocketAddr,
    /// Seeds all random draws.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// The endpoint list as last known, perhaps old.
    pub known_endpoints: Option<ListUpdate>,
    /// The platform's settings.
    pub settings: Settings,
    /// A connection to a server that isn't up by then counts as failed.
    pub connect_timeout: Time,
    /// The longest pause between two calls for the endpoint list, where it is polled.
    pub poll_interval_max: Option<Time>,
    /// Keys that nothing reads.
    pub unknown_keys: Vec<UnknownKey>,
}

impl Config {
    /// Returns what the data plane takes from the settings.
    pub fn runtime_settings(&self) -> RuntimeSettings {
        RuntimeSettings {
            report_format: self.settings.load_report_format(),
            load_reports_on_request: self.settings.has_load_reports(),
            connect_timeout: self.connect_timeout,
            endpoint_poll_interval_max: self.poll_interval_max,
        }
    }

    /// Logs a warning for each key that nothing reads.
    pub fn warn_of_unknown_keys(&self) {
        for UnknownKey { key, why } in &self.unknown_keys {
            warn!(key, why, "unknown key in the configuration");
        }
    }

    /// Returns the keys that differ in a new configuration and are read at the start only. `known`
    /// isn't among them: it describes the moment of the start.
    pub fn keys_needing_a_restart(&self, new: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("seed", self.seed != new.seed),
            ("limits.sockets", self.sockets != new.sockets),
            ("limits.memory_mb", self.memory != new.memory),
        ];
        changed
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| key)
            .collect()
    }
}

/// A key that nothing reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKey {
    /// The key, with its tables before it.
    pub key: String,
    /// That it is unknown, and the nearest known key.
    pub why: String,
}

impl fmt::Display for UnknownKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "configuration key '{}': {}", self.key, self.why)
    }
}
