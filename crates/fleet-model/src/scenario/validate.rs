//! Validation of a scenario beyond what deserialization checks.

use nettlemux_policy::MS;
use thiserror::Error;

use super::{Scenario, TrafficClass};
use crate::fault::{Fault, FaultKind};
use crate::time::seconds;

/// The longest run, in seconds.
const RUN_SECONDS_MAX: f64 = 86_400.0;
/// The largest number of balancers, servers, zones, connections and attempts.
const COUNT_MAX: usize = 1_000_000;

/// A key of a scenario with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct InvalidKey {
    /// The full path of the key, with the tables that contain it.
    pub key: String,
    /// What was expected and what was found.
    pub reason: String,
}

impl InvalidKey {
    fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        InvalidKey {
            key: key.into(),
            reason: reason.into(),
        }
    }
}

impl Scenario {
    /// Validates the values beyond what deserialization checks.
    ///
    /// # Errors
    /// Returns the first key with an invalid value.
    pub fn check(&self) -> Result<(), InvalidKey> {
        self.check_times()?;
        self.check_counts()?;
        self.check_positive()?;
        self.check_fractions()?;
        self.check_non_negative()?;
        self.check_types()?;
        for (index, fault) in self.faults.iter().enumerate() {
            let with_path = |error: InvalidKey| InvalidKey {
                key: format!("faults[{index}].{}", error.key),
                ..error
            };
            fault.check(self).map_err(with_path)?;
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), InvalidKey> {
        positive("seconds", self.seconds)?;
        if self.seconds > RUN_SECONDS_MAX {
            let reason = format!(
                "expected at most {RUN_SECONDS_MAX} s, found {} s",
                self.seconds
            );
            return Err(InvalidKey::new("seconds", reason));
        }
        if !(0.0..self.seconds).contains(&self.settle) {
            let reason = format!(
                "expected a time from 0 s to before the end of the run at {} s, found {} s",
                self.seconds, self.settle
            );
            return Err(InvalidKey::new("settle", reason));
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), InvalidKey> {
        count("balancers.number", self.balancers.number)?;
        count("fleet.servers", self.fleet.servers)?;
        count("fleet.slots", self.fleet.slots)?;
        count("zones.number", self.zones.number)?;
        count("limits.attempts", self.limits.attempts)?;
        if self.clients.standing > COUNT_MAX {
            let reason = format!(
                "expected at most {COUNT_MAX}, found {}",
                self.clients.standing
            );
            return Err(InvalidKey::new("clients.standing", reason));
        }
        Ok(())
    }

    fn check_positive(&self) -> Result<(), InvalidKey> {
        for (key, value) in [
            ("fleet.capacity", self.fleet.capacity),
            ("fleet.connection_rate", self.fleet.connection_rate),
            ("fleet.message", self.fleet.message),
            ("fleet.cold_share", self.fleet.initial_capacity),
            ("fleet.warm_up", self.fleet.warm_up),
            ("fleet.fall_multiple", self.fleet.collapse_multiple),
            ("fleet.fall", self.fleet.collapse_window),
            ("fleet.refresh", self.fleet.report_interval),
            ("store.rate", self.store.rate),
            ("clients.life", self.clients.life),
            ("clients.lines", self.clients.line_interval),
        ] {
            positive(key, value)?;
        }
        Ok(())
    }

    fn check_fractions(&self) -> Result<(), InvalidKey> {
        for (key, value) in [
            ("fleet.differ", self.fleet.capacity_spread),
            ("fleet.cold_share", self.fleet.initial_capacity),
            ("fleet.noise", self.fleet.report_noise),
            ("clients.surplus", self.clients.surplus_weight),
            ("clients.stutter", self.clients.split_lines),
        ] {
            fraction(key, value)?;
        }
        Ok(())
    }

    fn check_non_negative(&self) -> Result<(), InvalidKey> {
        for (key, value) in [
            ("clients.rate", self.clients.rate),
            ("clients.spread", self.clients.load_spread),
            ("clients.again", self.clients.retry_interval),
            ("fleet.group_load", self.fleet.group_load),
            ("discovery.delay", self.discovery.delay),
            ("zones.inside", self.zones.inside),
            ("zones.between", self.zones.between),
            ("limits.grace", self.limits.grace),
        ] {
            non_negative(key, value)?;
        }
        Ok(())
    }

    fn check_types(&self) -> Result<(), InvalidKey> {
        if self.types.is_empty() {
            return Err(InvalidKey::new(
                "types",
                "expected at least one traffic class, found none",
            ));
        }
        for (index, class) in self.types.iter().enumerate() {
            class.check(index)?;
        }
        Ok(())
    }
}

impl TrafficClass {
    fn check(&self, index: usize) -> Result<(), InvalidKey> {
        for (key, value) in [
            ("share", self.share),
            ("load", self.load),
            ("target", self.target),
            ("wait", self.wait),
        ] {
            positive(&format!("types[{index}].{key}"), value)?;
        }
        if seconds(self.wait) < 50 * MS {
            let reason = format!(
                "expected at least 0.05 s, as no answer can arrive earlier, found {} s",
                self.wait
            );
            return Err(InvalidKey::new(format!("types[{index}].wait"), reason));
        }
        Ok(())
    }
}

impl Fault {
    /// Validates a fault of this scenario.
    ///
    /// # Errors
    /// Returns the first key of the fault with an invalid value.
    pub fn check(&self, scenario: &Scenario) -> Result<(), InvalidKey> {
        self.check_numbers(scenario)?;
        self.check_targets(scenario)?;
        if self.kind.needs_amount() && self.amount <= 0.0 {
            let reason = format!(
                "expected a number above 0 for this kind of fault, found {}",
                self.amount
            );
            return Err(InvalidKey::new("amount", reason));
        }
        if self.kind == FaultKind::TenantSurge && scenario.clients.tenants.is_empty() {
            return Err(InvalidKey::new(
                "what",
                "tenant-surge requires 'clients.tenants', which is missing or empty",
            ));
        }
        Ok(())
    }

    fn check_numbers(&self, scenario: &Scenario) -> Result<(), InvalidKey> {
        for (key, value) in [
            ("at", self.at),
            ("for", self.duration),
            ("share", self.share),
            ("amount", self.amount),
        ] {
            non_negative(key, value)?;
        }
        if self.at >= scenario.seconds {
            let reason = format!(
                "expected a time before the end of the run at {} s, found {} s",
                scenario.seconds, self.at
            );
            return Err(InvalidKey::new("at", reason));
        }
        if self.share > 1.0 && self.kind != FaultKind::Grow {
            let reason = format!("expected a number from 0 to 1, found {}", self.share);
            return Err(InvalidKey::new("share", reason));
        }
        Ok(())
    }

    fn check_targets(&self, scenario: &Scenario) -> Result<(), InvalidKey> {
        if self.zone >= scenario.zones.number {
            let reason = format!(
                "expected the index of one of {} zones ('zones.number'), found {}",
                scenario.zones.number, self.zone
            );
            return Err(InvalidKey::new("zone", reason));
        }
        let (total, kind) = match self.kind.acts_on_balancers() {
            true => (scenario.balancers.number, "balancers"),
            false => (scenario.fleet.servers, "servers"),
        };
        match self.target_indices.iter().find(|who| **who >= total) {
            Some(who) => {
                let reason = format!("expected indices of {total} {kind}, found {who}");
                Err(InvalidKey::new("who", reason))
            }
            None => Ok(()),
        }
    }
}

fn positive(key: &str, value: f64) -> Result<(), InvalidKey> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(InvalidKey::new(
        key,
        format!("expected a finite number above 0, found {value}"),
    ))
}

fn non_negative(key: &str, value: f64) -> Result<(), InvalidKey> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(InvalidKey::new(
        key,
        format!("expected a finite number of at least 0, found {value}"),
    ))
}

fn fraction(key: &str, value: f64) -> Result<(), InvalidKey> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(InvalidKey::new(
        key,
        format!("expected a number from 0 to 1, found {value}"),
    ))
}

fn count(key: &str, value: usize) -> Result<(), InvalidKey> {
    if (1..=COUNT_MAX).contains(&value) {
        return Ok(());
    }
    let reason = format!("expected a number from 1 to {COUNT_MAX}, found {value}");
    Err(InvalidKey::new(key, reason))
}
