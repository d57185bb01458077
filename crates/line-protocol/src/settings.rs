//! The settings for first lines: the traffic classes and tenants that a first line may name, and how
//! admission control identifies clients. It must never decide whether a client is served.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nettlemux_flow_table::AdmissionAttributes;
use nettlemux_policy::{MS, SEC, Time, TrafficClass};
use nettlemux_settings::operator::AdmissionKey;
use nettlemux_settings::{Settings, SettingsError};

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
    tenants: Vec<String>,
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
            tenants: settings.tenant_names(),
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

    /// Returns the index of the tenant with this name or number; `None` if it is unknown. If the
    /// settings have no tenants, all tenants have the index 0.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        if self.tenants.is_empty() {
            return Some(0);
        }
        let by_name = self.tenants.iter().position(|tenant| tenant == name);
        by_name.or_else(|| {
            let number = name.parse().ok();
            number.filter(|number| *number < self.tenants.len())
        })
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
        let tenant = self
            .tenant_index(name)
            .and_then(|index| self.tenants.get(index));
        let name = tenant.map_or(name, String::as_str);
        nettlemux_admission::hash_key(seed, name.as_bytes())
    }
}

/// The settings for first lines that are in force, which are replaced as a whole.
pub struct SharedFirstLineSettings {
    current: Mutex<Arc<FirstLineSettings>>,
}

impl SharedFirstLineSettings {
    /// Returns shared settings with the given initial value.
    pub fn new(settings: FirstLineSettings) -> Self {
        SharedFirstLineSettings {
            current: Mutex::new(Arc::new(settings)),
        }
    }

    /// Returns the settings in force.
    pub fn current(&self) -> Arc<FirstLineSettings> {
        self.lock().clone()
    }

    /// Replaces the settings. The client keys of admission control are kept.
    pub fn replace(&self, settings: FirstLineSettings) {
        let mut current = self.lock();
        *current = Arc::new(settings.with_client_keys(current.client_keys));
    }

    fn lock(&self) -> MutexGuard<'_, Arc<FirstLineSettings>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
