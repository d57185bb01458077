//! Traffic classes and tenants.

use std::collections::BTreeMap;

use nettlemux_policy::{DeduplicationScope, Idempotency, Time, TrafficClass};
use serde_json::Value;

use super::keys;
use super::values::{self, Settings};
use crate::error::{SettingsError, SettingsProblem};

/// A tenant that first lines may name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// The number by which the tenant's connections are counted. A tenant keeps it when settings
    /// are reloaded.
    pub number: usize,
}

impl Settings {
    /// Returns the traffic classes, in the order of the list.
    ///
    /// # Errors
    /// If the list is missing or a setting in it is invalid.
    pub fn traffic_classes(&self) -> Result<Vec<TrafficClass>, SettingsError> {
        let classes = self.required(keys::TRAFFIC_CLASSES, |value| value.as_array().cloned())?;
        let classes = classes.into_iter().map(Settings::from_value);
        classes
            .zip(self.class_numbers.iter())
            .map(|(class, number)| class.traffic_class(number))
            .collect()
    }

    /// Returns how long clients of each traffic class wait for an answer, in nanoseconds; `None` if
    /// the settings have no limit.
    pub fn traffic_class_timeouts(&self) -> Vec<Option<Time>> {
        let classes = self.list(keys::TRAFFIC_CLASSES).iter();
        classes
            .map(|class| {
                let micros = class.get(keys::FLOW_TIMEOUT).and_then(Value::as_f64);
                micros.map(values::time_from_micros)
            })
            .collect()
    }

    /// Returns the longest timeout of all traffic classes, in nanoseconds; [`Time::MAX`] if a class
    /// has no limit or there are no classes.
    pub fn flow_timeout_max(&self) -> Time {
        let timeouts = self.traffic_class_timeouts().into_iter();
        let timeouts = timeouts.map(|timeout| timeout.unwrap_or(Time::MAX));
        timeouts.max().unwrap_or(Time::MAX)
    }

    /// Returns the tenants, in the order of the list.
    pub fn tenants(&self) -> Vec<Tenant> {
        let names = self.names(keys::TENANTS).into_iter();
        names
            .zip(self.tenant_numbers.iter())
            .map(|(name, number)| Tenant { name, number })
            .collect()
    }

    /// Returns the quota of each tenant as a fraction of the capacity, by the tenant's number. Empty
    /// if there are no tenants.
    ///
    /// # Errors
    /// If a setting is invalid.
    pub fn tenant_quotas(&self) -> Result<BTreeMap<usize, f64>, SettingsError> {
        let Some(tenants) = self.optional(keys::TENANTS) else {
            return Ok(BTreeMap::new());
        };
        let tenants = tenants
            .as_array()
            .ok_or_else(|| SettingsError::new(keys::TENANTS, SettingsProblem::NotAList))?;
        let tenants = tenants.iter().cloned().map(Settings::from_value);
        tenants
            .zip(self.tenant_numbers.iter())
            .map(|(tenant, number)| Ok((number, tenant.number_or(keys::QUOTA, 1.0)?)))
            .collect()
    }

    /// Returns the traffic class with this number that these settings, one entry of the list,
    /// describe.
    fn traffic_class(&self, number: usize) -> Result<TrafficClass, SettingsError> {
        let idempotency = self.idempotency()?;
        // Without a latency objective, any answer within the timeout meets it.
        let timeout = self.time_or(keys::FLOW_TIMEOUT, values::TIME_MAX)?;
        Ok(TrafficClass {
            number,
            latency_objective: self.time_or(keys::LATENCY_OBJECTIVE, timeout)?,
            priority_weight: self.number_or(keys::PRIORITY_WEIGHT, 1.0)?,
            idempotency,
        })
    }

    /// The default is non-idempotent. The default deduplication window is 0, so that no retry is
    /// within it.
    fn idempotency(&self) -> Result<Idempotency, SettingsError> {
        let kind = self.text_or(keys::IDEMPOTENCY, keys::NON_IDEMPOTENT)?;
        match kind.as_str() {
            keys::IDEMPOTENT => Ok(Idempotency::Idempotent),
            keys::NON_IDEMPOTENT => Ok(Idempotency::NonIdempotent),
            keys::DEDUPLICATED => Ok(Idempotency::Deduplicated {
                scope: self.deduplication_scope()?,
                window: self.time_or(keys::DEDUPLICATION_WINDOW, 0)?,
            }),
            _ => {
                let problem = SettingsProblem::UnknownIdempotency(kind);
                Err(SettingsError::new(keys::IDEMPOTENCY, problem))
            }
        }
    }

    fn deduplication_scope(&self) -> Result<DeduplicationScope, SettingsError> {
        let scope = self.text_or(keys::DEDUPLICATION_SCOPE, keys::SCOPE_CELL)?;
        match scope.as_str() {
            keys::SCOPE_ALL => Ok(DeduplicationScope::All),
            keys::SCOPE_ZONE => Ok(DeduplicationScope::Zone),
            keys::SCOPE_CELL => Ok(DeduplicationScope::Cell),
            _ => {
                let problem = SettingsProblem::UnknownScope(scope);
                Err(SettingsError::new(keys::DEDUPLICATION_SCOPE, problem))
            }
        }
    }
}
