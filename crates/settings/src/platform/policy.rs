//! Building the load balancing policy of a deployment from its settings.

use nettlemux_policy::{
    EndpointConfig, GossipConfig, HealthCheckConfig, MS, MigrationConfig, Policy, PolicyConfig,
    RetryConfig, SEC, SheddingConfig, SlowStartConfig, Time,
};

use super::keys;
use super::values::Settings;
use crate::error::SettingsError;

// Defaults for values that the settings leave out although they limit slow start. Each is the
// strictest value of any deployment.

/// The capacity of a starting server, as a fraction of its full capacity.
const DEFAULT_SLOW_START_CAPACITY: f64 = 0.1;
/// The time until a started server has its full capacity.
const DEFAULT_WARM_UP_TIME: Time = 30 * SEC;
/// The time within which an overloaded starting server fails.
const DEFAULT_SLOW_START_FAILURE_WINDOW: Time = 1500 * MS;

/// Whether clients are migrated off a draining server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainMigration {
    /// Clients are asked to reconnect before the server stops. Operators want this in real
    /// deployments.
    Enabled,
    /// Clients stay until the server stops. For the simulator, which counts a cost for a migration
    /// but none for a lost connection.
    Disabled,
}

impl Settings {
    /// Returns the policy of one balancer, which answers `margin` nanoseconds before an attempt's
    /// timeout.
    ///
    /// # Errors
    /// If a setting is missing or invalid.
    pub fn policy(
        &self,
        seed: u64,
        margin: Time,
        drain_migration: DrainMigration,
    ) -> Result<Policy, SettingsError> {
        let slow_start = self.slow_start()?;
        let zone = self.zone()?;
        // The policy gets the traffic class with each flow. The classes are read here so that an
        // invalid one is an error.
        self.traffic_classes()?;
        let config = PolicyConfig {
            retry: RetryConfig {
                attempts_max: self.attempts_max()?,
                deadline_margin: margin,
                allow_hedging: self.is_allowed(keys::HEDGING_ALLOWED)?,
                allow_cancellation: self.is_allowed(keys::CANCELLATION_ALLOWED)?,
            },
            balancers: self.number_or(keys::BALANCERS, 1.0)?,
            gossip: GossipConfig {
                enabled: self.gossip_allowed()?,
            },
            shedding: SheddingConfig {
                tenant_quotas: self.tenant_quotas()?,
                surplus_weight: self.number_or(keys::SURPLUS_WEIGHT, 1.0)?,
                retry_after_max: self.max_retry_after()?,
            },
            health_checks: HealthCheckConfig {
                enabled: self.is_allowed(keys::HEALTH_CHECKS_ALLOWED)?,
                cost_per_check: self.number_or(keys::HEALTH_CHECK_COST, 0.0)?,
            },
            endpoints: EndpointConfig {
                is_polled: self.endpoint_poll_interval_max()?.is_some(),
                ..EndpointConfig::default()
            },
            migration: MigrationConfig {
                migrate_off_draining: drain_migration == DrainMigration::Enabled,
            },
            slow_start,
        };
        Ok(Policy::new(seed, zone, config))
    }

    /// If the settings have no load multiple at which starting servers fail, slow start is
    /// disabled: all servers count as warmed up.
    fn slow_start(&self) -> Result<SlowStartConfig, SettingsError> {
        if self.optional(keys::SLOW_START_FAILURE_MULTIPLE).is_none() {
            return Ok(SlowStartConfig {
                initial_capacity_fraction: 1.0,
                warm_up: 0,
                overload_multiple: 1.0,
                overload_window: DEFAULT_SLOW_START_FAILURE_WINDOW,
            });
        }
        Ok(SlowStartConfig {
            initial_capacity_fraction: self
                .number_or(keys::SLOW_START_CAPACITY, DEFAULT_SLOW_START_CAPACITY)?,
            warm_up: self.time_or(keys::WARM_UP, DEFAULT_WARM_UP_TIME)?,
            overload_multiple: self.number(keys::SLOW_START_FAILURE_MULTIPLE)?,
            overload_window: self.time_or(
                keys::SLOW_START_FAILURE_WINDOW,
                DEFAULT_SLOW_START_FAILURE_WINDOW,
            )?,
        })
    }
}
