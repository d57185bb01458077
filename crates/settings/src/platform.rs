//! The platform's settings: one JSON object, the same for every protocol.

mod keys;
mod numbering;
mod policy;
mod traffic_class;
mod values;

use nettlemux_policy::{SEC, Time};
use serde_json::Value;

pub use self::policy::DrainMigration;
pub use self::traffic_class::Tenant;
pub use self::values::Settings;
use crate::error::{SettingsError, SettingsProblem};
use crate::load_report::LoadReportFormat;

/// The maximum endpoint poll interval if the settings have none, as in the platform's own example.
const DEFAULT_ENDPOINT_POLL_INTERVAL_MAX: Time = 10 * SEC;
/// The longest Retry-After if the settings have none.
const DEFAULT_MAX_RETRY_AFTER: Time = SEC;

impl Settings {
    /// Parses settings from a JSON text that contains nothing else.
    ///
    /// # Errors
    /// If the text is not a JSON object.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value: Value = serde_json::from_str(text)
            .map_err(|e| SettingsError::new(keys::STANDALONE, SettingsProblem::NotJson(e)))?;
        Self::from_object(value, keys::STANDALONE)
    }

    /// Reads settings that are embedded in another JSON object.
    ///
    /// # Errors
    /// If the value is not a JSON object.
    pub fn from_embedded(value: &Value) -> Result<Self, SettingsError> {
        Self::from_object(value.clone(), keys::EMBEDDED)
    }

    fn from_object(value: Value, field: &str) -> Result<Self, SettingsError> {
        if value.is_object() {
            Ok(Settings::from_value(value))
        } else {
            Err(SettingsError::new(field, SettingsProblem::NotAnObject))
        }
    }

    /// Returns the maximum number of attempts of one flow.
    ///
    /// # Errors
    /// If the setting is invalid.
    pub fn attempts_max(&self) -> Result<usize, SettingsError> {
        Ok(self.number_or(keys::ATTEMPTS_MAX, 1.0)?.max(0.0) as usize)
    }

    /// Returns the longest Retry-After, in nanoseconds; `None` if the balancer may not send one.
    ///
    /// # Errors
    /// If a setting is invalid.
    pub fn max_retry_after(&self) -> Result<Option<Time>, SettingsError> {
        let max = self.time_or(keys::MAX_RETRY_AFTER, DEFAULT_MAX_RETRY_AFTER)?;
        Ok(self.is_allowed(keys::RETRY_AFTER_ALLOWED)?.then_some(max))
    }

    /// Returns the longest interval between two polls of the endpoint list, in nanoseconds. The
    /// platform assumes that a balancer has seen a change once this interval has passed. `None` if
    /// changes are pushed to the balancer.
    ///
    /// # Errors
    /// If a setting is invalid.
    pub fn endpoint_poll_interval_max(&self) -> Result<Option<Time>, SettingsError> {
        let discovery = self.text_or(keys::DISCOVERY, keys::DISCOVERY_BY_PUSH)?;
        let is_polled = discovery == keys::DISCOVERY_BY_POLL;
        let interval = self.time_or(
            keys::ENDPOINT_POLL_INTERVAL_MAX,
            DEFAULT_ENDPOINT_POLL_INTERVAL_MAX,
        )?;
        Ok(is_polled.then_some(interval))
    }

    /// Returns the timeout for connecting to a server, in nanoseconds. If the settings have no
    /// limit, it is the longest time that a setting can have.
    ///
    /// # Errors
    /// If the setting is invalid.
    pub fn dial_timeout(&self) -> Result<Time, SettingsError> {
        self.time_or(keys::DIAL_TIMEOUT, values::TIME_MAX)
    }

    /// Returns the interval between two batches of the simulator's protocol, in nanoseconds.
    ///
    /// # Errors
    /// If the setting is missing or invalid.
    pub fn simulator_batch_interval(&self) -> Result<Time, SettingsError> {
        self.time(keys::BATCH_INTERVAL)
    }

    /// Returns whether balancers may gossip. The default is no.
    ///
    /// # Errors
    /// If the setting is invalid.
    pub fn gossip_allowed(&self) -> Result<bool, SettingsError> {
        self.is_allowed(keys::GOSSIP_ALLOWED)
    }

    /// Returns the settings of a balancer that has no transport for gossip. With gossip enabled, its
    /// policy would wait for gossip messages instead of using its own observations.
    pub fn without_gossip(mut self) -> Settings {
        if self.optional(keys::GOSSIP_ALLOWED).is_some() {
            self.set(keys::GOSSIP_ALLOWED, false.into());
        }
        self
    }

    /// Returns whether servers send load reports. The default is yes.
    pub fn has_load_reports(&self) -> bool {
        let how = self.optional(keys::LOAD_REPORTS).and_then(Value::as_str);
        how != Some(keys::LOAD_REPORTS_NONE)
    }

    /// Returns how the load reports of this deployment are interpreted.
    pub fn load_report_format(&self) -> LoadReportFormat {
        let x0_meaning = self.optional(keys::X0_MEANING).and_then(Value::as_str);
        LoadReportFormat {
            x0_is_utilization: x0_meaning
                .is_some_and(|meaning| meaning.contains(keys::X0_IS_UTILIZATION)),
        }
    }

    /// Returns whether flows may have groups. The default is no.
    pub fn has_groups(&self) -> bool {
        let has_groups = self.optional(keys::GROUPS).and_then(Value::as_bool);
        has_groups.unwrap_or(false)
    }

    /// Returns the names of the zones, in the order of their numbers.
    pub fn zone_names(&self) -> Vec<String> {
        self.names(keys::ZONES)
    }

    /// Returns the names of the machine models, in the order of their numbers.
    pub fn machine_model_names(&self) -> Vec<String> {
        self.names(keys::MACHINE_MODELS)
    }

    /// Returns the names of the traffic classes, in the order of the list.
    pub fn traffic_class_names(&self) -> Vec<String> {
        self.names(keys::TRAFFIC_CLASSES)
    }

    /// Returns the name of the balancer's own zone; `None` if the zone has no name.
    pub fn zone_name(&self) -> Option<String> {
        let zone = self.zone().ok()? as usize;
        self.zone_names().into_iter().nth(zone)
    }

    /// Returns the settings with `number` as the balancer's own zone.
    pub fn with_zone(mut self, number: u64) -> Settings {
        self.set(keys::ZONE, number.into());
        self
    }

    /// The number of the balancer's own zone. The default is 0: without zones, there is one zone.
    fn zone(&self) -> Result<u64, SettingsError> {
        Ok(self.number_or(keys::ZONE, 0.0)?.max(0.0) as u64)
    }
}
