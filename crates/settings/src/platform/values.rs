//! The settings object, and typed access to single settings by their paths.

use nettlemux_policy::{SEC, Time};
use serde_json::Value;

use super::keys;
use super::numbering::EntryNumbers;
use crate::error::{SettingsError, SettingsProblem};

/// The unit of times in the settings, in nanoseconds.
const NANOSECONDS_PER_MICROSECOND: Time = 1_000;
/// The longest time that a setting can have. Longer times are reduced to it, which prevents overflow
/// in sums of times.
pub(super) const TIME_MAX: Time = 365 * 24 * 3600 * SEC;

/// The largest absolute value of a number in the settings, other than a time. Prevents overflow in
/// sums and products.
const ABSOLUTE_NUMBER_MAX: f64 = 1e12;

/// Returns a number if it is within the limits for settings.
fn bounded_number(value: &Value) -> Option<f64> {
    let number = value.as_f64();
    number.filter(|number| number.abs() <= ABSOLUTE_NUMBER_MAX)
}

/// Converts microseconds to nanoseconds, clamped to the range from 0 to [`TIME_MAX`].
pub(super) fn time_from_micros(micros: f64) -> Time {
    ((micros.max(0.0) * NANOSECONDS_PER_MICROSECOND as f64) as Time).min(TIME_MAX)
}

/// The platform's settings. A value is checked when it is read.
#[derive(Clone, PartialEq)]
pub struct Settings {
    pub(super) value: Value,
    pub(super) class_numbers: EntryNumbers,
    pub(super) tenant_numbers: EntryNumbers,
}

impl Settings {
    /// Returns settings with this value. Traffic classes and tenants are numbered by their position.
    pub(super) fn from_value(value: Value) -> Self {
        let mut settings = Settings {
            value,
            class_numbers: EntryNumbers::default(),
            tenant_numbers: EntryNumbers::default(),
        };
        let classes = settings.list(keys::TRAFFIC_CLASSES).len();
        let tenants = settings.list(keys::TENANTS).len();
        settings.class_numbers = EntryNumbers::by_position(classes);
        settings.tenant_numbers = EntryNumbers::by_position(tenants);
        settings
    }

    /// The value of a setting; `None` if it is missing or `null`.
    pub(super) fn optional(&self, path: &str) -> Option<&Value> {
        path.split('/')
            .try_fold(&self.value, |value, key| value.get(key))
            .filter(|value| !value.is_null())
    }

    /// Replaces the value of a setting whose parent objects exist.
    pub(super) fn set(&mut self, path: &str, new: Value) {
        let target = path
            .split('/')
            .fold(&mut self.value, |value, key| &mut value[key]);
        *target = new;
    }

    pub(super) fn required<T>(
        &self,
        path: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let value = self
            .optional(path)
            .ok_or_else(|| SettingsError::new(path, SettingsProblem::Missing))?;
        read(value)
            .ok_or_else(|| SettingsError::new(path, SettingsProblem::InvalidValue(value.clone())))
    }

    /// The default replaces a missing value. An invalid value is an error.
    fn required_or<T>(
        &self,
        path: &str,
        default: T,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        match self.optional(path) {
            Some(_) => self.required(path, read),
            None => Ok(default),
        }
    }

    pub(super) fn number(&self, path: &str) -> Result<f64, SettingsError> {
        self.required(path, bounded_number)
    }

    pub(super) fn number_or(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        self.required_or(path, default, bounded_number)
    }

    pub(super) fn time(&self, path: &str) -> Result<Time, SettingsError> {
        let micros = self.required(path, Value::as_f64)?;
        Ok(time_from_micros(micros))
    }

    pub(super) fn time_or(&self, path: &str, default: Time) -> Result<Time, SettingsError> {
        self.required_or(path, default, |value| value.as_f64().map(time_from_micros))
    }

    pub(super) fn text_or(&self, path: &str, default: &str) -> Result<String, SettingsError> {
        self.required_or(path, default.to_string(), |value| {
            value.as_str().map(String::from)
        })
    }

    /// Whether the settings allow something. The default is no.
    pub(super) fn is_allowed(&self, path: &str) -> Result<bool, SettingsError> {
        self.required_or(path, false, Value::as_bool)
    }

    /// The entries of a list; empty if the list is missing.
    pub(super) fn list(&self, path: &str) -> &[Value] {
        let list = self.optional(path).and_then(Value::as_array);
        list.map_or(&[], Vec::as_slice)
    }

    /// The names in a list whose entries are names or objects with a name.
    pub(super) fn names(&self, path: &str) -> Vec<String> {
        let name = |entry: &Value| {
            let name = entry.as_str().or_else(|| entry.get(keys::NAME)?.as_str());
            name.unwrap_or_default().to_string()
        };
        self.list(path).iter().map(name).collect()
    }
}
