//! The settings for first lines: the traffic classes and tenants that a first line may name, and how
//! admission control identifies clients. It must never decide whether a client is served.

use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nettlemux_dataplane::shutdown::RELOAD_SETTLING_TIME;
use nettlemux_flow_table::AdmissionAttributes;
use nettlemux_policy::{MS, SEC, Time, TrafficClass};
use nettlemux_settings::operator::AdmissionKey;
use nettlemux_settings::{Settings, SettingsError, Tenant};

use crate::first_line::ConnectRequest;

/// The longest wait of a class's clients if the settings have no limit. No client waits for a full
/// hour.
const DEFAULT_WAIT_MAX: Time = 3600 * SEC - MS;

/// The settings of a traffic class that first lines may name.
pub struct TrafficClassSettings {
    /// The class's name.
    pub name: String,
    /// The longest wait that its clients may ask for, in nanoseconds.
    pub wait_max: Time,
    /// The class that its flows have for as long as they last.
    pub class: TrafficClass,
}

/// How admission control identifies clients.
#[derive(Clone, Copy)]
pub struct ClientKeys {
    /// What a key is computed from.
    pub by: AdmissionKey,
    /// The seed for hashing keys.
    pub seed: u64,
}

/// The settings that first lines are checked against.
pub struct FirstLineSettings {
    /// How admission control identifies clients; `None` without admission control.
    pub client_keys: Option<ClientKeys>,
    classes: Vec<TrafficClassSettings>,
    tenants: Vec<Tenant>,
    uses_groups: bool,
}

impl FirstLineSettings {
    /// Returns the settings for first lines from the platform's settings, without admission control.
    ///
    /// # Errors
    /// If a setting is invalid. The error names it.
    pub fn from_platform(settings: &Settings) -> Result<Self, SettingsError> {
        let names = settings.traffic_class_names().into_iter();
        let waits = settings.traffic_class_timeouts();
        let classes =
            names
                .zip(waits)
                .zip(settings.traffic_classes()?)
                .map(|((name, wait_max), class)| TrafficClassSettings {
                    name,
                    wait_max: wait_max.unwrap_or(DEFAULT_WAIT_MAX),
                    class,
                });
        Ok(FirstLineSettings {
            client_keys: None,
            classes: classes.collect(),
            tenants: settings.tenants(),
            uses_groups: settings.has_groups(),
        })
    }

    /// Returns the same settings with other client keys.
    pub fn with_client_keys(self, client_keys: Option<ClientKeys>) -> Self {
        FirstLineSettings {
            client_keys,
            ..self
        }
    }

    /// Returns the settings of the traffic class with this name; `None` if the name is unknown.
    pub fn class(&self, name: &str) -> Option<&TrafficClassSettings> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the group of a request; `None` if it names none or the settings have no groups.
    pub fn group<'a>(&self, request: &ConnectRequest<'a>) -> Option<&'a str> {
        request.group.filter(|_| self.uses_groups)
    }

    /// Returns the number of the tenant that a request names, or of the first tenant if it names
    /// none; `None` if the name is unknown. If the settings have no tenants, all requests have the
    /// number 0.
    pub fn tenant_number(&self, name: Option<&str>) -> Option<usize> {
        match name {
            Some(name) if !self.tenants.is_empty() => self.tenant(name).map(|tenant| tenant.number),
            _ => Some(self.tenants.first().map_or(0, |tenant| tenant.number)),
        }
    }

    /// Returns the tenant with this name, or at this position of the list.
    fn tenant(&self, name: &str) -> Option<&Tenant> {
        let by_name = self.tenants.iter().find(|tenant| tenant.name == name);
        by_name.or_else(|| self.tenants.get(name.parse::<usize>().ok()?))
    }

    /// Returns the identity of the client for admission control. Without admission control, all
    /// clients have the same identity.
    pub fn client_identity(
        &self,
        request: &ConnectRequest,
        class: &TrafficClass,
        accepted_at: Time,
    ) -> AdmissionAttributes {
        let Some(ClientKeys { by, seed }) = self.client_keys else {
            return AdmissionAttributes::default();
        };
        // A client is identified by its group if it names one, or by the flow's key.
        let name = request.group.unwrap_or(request.key);
        let client = nettlemux_admission::hash_key(seed, name.as_bytes());
        let key = match by {
            AdmissionKey::Client => client,
            AdmissionKey::Tenant => self.tenant_key(request.tenant.unwrap_or_default(), seed),
        };
        AdmissionAttributes {
            key,
            client,
            is_retry: request.retry,
            latency_deadline: accepted_at + class.latency_objective,
        }
    }

    /// Returns the key of a tenant, which is the same for the tenant's name and number.
    fn tenant_key(&self, name: &str, seed: u64) -> u64 {
        let name = self
            .tenant(name)
            .map_or(name, |tenant| tenant.name.as_str());
        nettlemux_admission::hash_key(seed, name.as_bytes())
    }
}

/// The settings for first lines that are in force, which are replaced as a whole.
pub struct SharedFirstLineSettings {
    versions: Mutex<Versions>,
}

struct Versions {
    current: Arc<FirstLineSettings>,
    /// The settings before the last reload.
    replaced: Option<ReplacedSettings>,
}

struct ReplacedSettings {
    settings: Arc<FirstLineSettings>,
    replaced_at: Time,
}

impl SharedFirstLineSettings {
    /// Returns shared settings with the given initial value.
    pub fn new(settings: FirstLineSettings) -> Self {
        SharedFirstLineSettings {
            versions: Mutex::new(Versions {
                current: Arc::new(settings),
                replaced: None,
            }),
        }
    }

    /// Returns the settings in force.
    pub fn current(&self) -> Arc<FirstLineSettings> {
        self.lock().current.clone()
    }

    /// Returns the settings before the last reload while they may still count, because the new ones
    /// have not settled: a client that doesn't know these may name a class or tenant of the old ones.
    pub fn unsettled(&self, now: Time) -> Option<Arc<FirstLineSettings>> {
        let mut versions = self.lock();
        let settled =
            |replaced: &mut ReplacedSettings| now >= replaced.replaced_at + RELOAD_SETTLING_TIME;
        versions.replaced.take_if(settled);
        versions
            .replaced
            .as_ref()
            .map(|replaced| replaced.settings.clone())
    }

    /// Replaces the settings. The client keys of admission control are kept.
    pub fn replace(&self, now: Time, settings: FirstLineSettings) {
        let mut versions = self.lock();
        let settings = settings.with_client_keys(versions.current.client_keys);
        let replaced = mem::replace(&mut versions.current, Arc::new(settings));
        versions.replaced = Some(ReplacedSettings {
            settings: replaced,
            replaced_at: now,
        });
    }

    fn lock(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
