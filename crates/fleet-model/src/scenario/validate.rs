//! The checks of a scenario that its form alone does not make.

use nettlemux_policy::MS;
use thiserror::Error;

use super::{Scenario, Type};
use crate::fault::{Fault, FaultKind};
use crate::time::seconds;

/// The longest run, in seconds.
const RUN_SECONDS_MAX: f64 = 86_400.0;
/// The largest number of servers, balancers, clients and so on.
const COUNT_MAX: usize = 1_000_000;

/// A key of a scenario whose value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct InvalidKey {
    /// The key, with the tables that it stands in.
    pub key: String,
    /// Why its value cannot be used.
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
    /// Checks what the form of the file does not.
    ///
    /// # Errors
    /// Names the first key whose value cannot be used.
    pub fn check(&self) -> Result<(), InvalidKey> {
        self.check_times()?;
        self.check_counts()?;
        self.check_positive()?;
        self.check_fractions()?;
        self.check_non_negative()?;
        self.check_types()?;
        for (index, fault) in self.faults.iter().enumerate() {
            let in_list = |error: InvalidKey| InvalidKey {
                key: format!("faults[{index}].{}", error.key),
                ..error
            };
            fault.check(self).map_err(in_list)?;
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), InvalidKey> {
        positive("seconds", self.seconds)?;
        if self.seconds > RUN_SECONDS_MAX {
            let reason = format!("{} is over {RUN_SECONDS_MAX}", self.seconds);
            return Err(InvalidKey::new("seconds", reason));
        }
        if !(0.0..self.seconds).contains(&self.settle) {
            let reason = format!("{} is not from 0 to the run's end", self.settle);
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
            let reason = format!("{} is over {COUNT_MAX}", self.clients.standing);
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
            return Err(InvalidKey::new("types", "there is none"));
        }
        for (index, class) in self.types.iter().enumerate() {
            class.check(index)?;
        }
        Ok(())
    }
}

impl Type {
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
            let reason = "under 0.05 s nothing can be answered";
            return Err(InvalidKey::new(format!("types[{index}].wait"), reason));
        }
        Ok(())
    }
}

impl Fault {
    /// Checks a fault of this scenario.
    ///
    /// # Errors
    /// Names the first key of the fault whose value cannot be used.
    pub fn check(&self, scenario: &Scenario) -> Result<(), InvalidKey> {
        self.check_numbers(scenario)?;
        self.check_targets(scenario)?;
        if self.what.needs_amount() && self.amount <= 0.0 {
            let reason = "this kind of fault needs one above 0";
            return Err(InvalidKey::new("amount", reason));
        }
        if self.what == FaultKind::TenantSurge && scenario.clients.tenants.is_empty() {
            return Err(InvalidKey::new("what", "there are no tenants"));
        }
        Ok(())
    }

    fn check_numbers(&self, scenario: &Scenario) -> Result<(), InvalidKey> {
        for (key, value) in [
            ("at", self.at),
            ("for", self.lasts),
            ("share", self.share),
            ("amount", self.amount),
        ] {
            non_negative(key, value)?;
        }
        if self.at >= scenario.seconds {
            let reason = format!("{} is past the run's end", self.at);
            return Err(InvalidKey::new("at", reason));
        }
        if self.share > 1.0 && self.what != FaultKind::Grow {
            let reason = format!("{} is over 1", self.share);
            return Err(InvalidKey::new("share", reason));
        }
        Ok(())
    }

    fn check_targets(&self, scenario: &Scenario) -> Result<(), InvalidKey> {
        if self.zone >= scenario.zones.number {
            let reason = format!("there are {} zones", scenario.zones.number);
            return Err(InvalidKey::new("zone", reason));
        }
        let number = match self.what.acts_on_balancers() {
            true => scenario.balancers.number,
            false => scenario.fleet.servers,
        };
        match self.who.iter().find(|who| **who >= number) {
            Some(who) => Err(InvalidKey::new("who", format!("there is no number {who}"))),
            None => Ok(()),
        }
    }
}

fn positive(key: &str, value: f64) -> Result<(), InvalidKey> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(InvalidKey::new(key, format!("{value} is not above 0")))
}

fn non_negative(key: &str, value: f64) -> Result<(), InvalidKey> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(InvalidKey::new(key, format!("{value} is under 0")))
}

fn fraction(key: &str, value: f64) -> Result<(), InvalidKey> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(InvalidKey::new(key, format!("{value} is not from 0 to 1")))
}

fn count(key: &str, value: usize) -> Result<(), InvalidKey> {
    if (1..=COUNT_MAX).contains(&value) {
        return Ok(());
    }
    let reason = format!("{value} is not from 1 to {COUNT_MAX}");
    Err(InvalidKey::new(key, reason))
}
