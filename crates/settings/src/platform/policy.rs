//! The load balancing policy of a deployment.

use nettlemux_policy::{MS, Policy, SEC, Time};

use super::keys;
use super::values::Settings;
use crate::error::SettingsError;

/// Where the settings limit slow start and leave out a value, the strictest of any deployment
/// stands in: capacity of a starting server, warm-up time, and time within which it fails.
const SLOW_START_CAPACITY: f64 = 0.1;
const WARM_UP_TIME: Time = 30 * SEC;
const SLOW_START_FAILURE_WINDOW: Time = 1500 * MS;

/// Whether clients are migrated off a draining server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainMigration {
    /// Clients are asked to move before the server ends, as operators want it on sockets.
    Enabled,
    /// Clients stay until the server ends: the simulator counts a migration as a cost and a lost
    /// connection as none.
    Disabled,
}

impl Settings {
    /// Returns the policy of one balancer, which answers `margin` nanoseconds before an attempt's
    /// timeout.
    ///
    /// # Errors
    /// Where a setting is missing or can't be read.
    pub fn policy(
        &self,
        seed: u64,
        margin: Time,
        drain_migration: DrainMigration,
    ) -> Result<Policy, SettingsError> {
        // Without a multiple at which starting servers fail there is no limit on them: all count as
        // warm.
        let (start, warm_up, multiple, window) =
            match self.optional(keys::SLOW_START_FAILURE_MULTIPLE) {
                Some(_) => (
                    self.number_or(keys::SLOW_START_CAPACITY, SLOW_START_CAPACITY)?,
                    self.time_or(keys::WARM_UP, WARM_UP_TIME)?,
                    self.number(keys::SLOW_START_FAILURE_MULTIPLE)?,
                    self.time_or(keys::SLOW_START_FAILURE_WINDOW, SLOW_START_FAILURE_WINDOW)?,
                ),
                None => (1.0, 0, 1.0, SLOW_START_FAILURE_WINDOW),
            };
        Ok(Policy::new(seed, self.zone()?, self.traffic_classes()?)
            .attempts(
                self.attempts_in_flight_max()?,
                margin,
                self.is_allowed(keys::HEDGING_ALLOWED)?,
                self.is_allowed(keys::CANCELLATION_ALLOWED)?,
            )
            .among(
                self.number_or(keys::BALANCERS, 1.0)?,
                self.gossip_allowed()?,
            )
            .tenants(
                self.tenant_quotas()?,
                self.number_or(keys::SURPLUS_WEIGHT, 1.0)?,
            )
            .retry_after(self.max_retry_after()?)
            .probing(
                self.is_allowed(keys::HEALTH_CHECKS_ALLOWED)?,
                self.number_or(keys::HEALTH_CHECK_COST, 0.0)?,
            )
            .told(
                self.endpoint_poll_interval_max()?.is_some(),
                drain_migration == DrainMigration::Enabled,
            )
            .cold(start, warm_up, multiple, window))
    }
}
