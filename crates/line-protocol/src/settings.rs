//! What the platform's settings say of first lines: the traffic classes and tenants that they may
//! name, and how admission control tells their clients apart. It must never decide what becomes of
//! a client.

use nettlemux_flow_table::ClientIdentity;
use nettlemux_policy::{MS, SEC, Time};
use nettlemux_settings::operator::AdmissionKey;
use nettlemux_settings::{Settings, SettingsError};

use crate::first_line::ConnectRequest;

/// The longest that clients of a class may wait, where the settings have no limit: a whole hour is
/// no client's wait.
const DEFAULT_WAIT_MAX: Time = 3600 * SEC - MS;

/// A traffic class as first lines name it.
pub struct TrafficClassSettings {
    /// The class's name.
    pub name: String,
    /// The longest that its clients may wait.
    pub wait_max: Time,
    /// The latency objective.
    pub latency_objective: Time,
}

/// How admission control tells clients apart.
#[derive(Clone, Copy)]
pub struct ClientKeys {
    /// What a client's key is made of.
    pub by: AdmissionKey,
    /// The seed of all keys.
    pub seed: u64,
}

/// Settings by which first lines are read.
pub struct FirstLineSettings {
    /// How admission control tells clients apart, where there is one.
    pub client_keys: Option<ClientKeys>,
    classes: Vec<TrafficClassSettings>,
    tenants: Vec<String>,
    uses_groups: bool,
}

impl FirstLineSettings {
    /// Reads the platform's settings, without admission control.
    ///
    /// # Errors
    /// The setting that can't be read.
    pub fn new(settings: &Settings) -> Result<Self, SettingsError> {
        let names = settings.traffic_class_names().into_iter();
        let waits = settings.flow_timeouts();
        let classes =
            names
                .zip(waits)
                .zip(settings.traffic_classes()?)
                .map(|((name, wait_max), class)| TrafficClassSettings {
                    name,
                    wait_max: wait_max.unwrap_or(DEFAULT_WAIT_MAX),
                    latency_objective: class.latency_objective,
                });
        Ok(FirstLineSettings {
            client_keys: None,
            classes: classes.collect(),
            tenants: settings.tenant_names(),
            uses_groups: settings.has_groups(),
        })
    }

    /// Returns the same settings with another way to tell clients apart.
    pub fn with_client_keys(self, client_keys: Option<ClientKeys>) -> Self {
        FirstLineSettings {
            client_keys,
            ..self
        }
    }

    /// Returns a traffic class's index by its name; none for one that is unknown.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Returns a traffic class's settings by its index.
    ///
    /// # Panics
    /// There is no class of that index.
    pub fn class(&self, index: usize) -> &TrafficClassSettings {
        &self.classes[index]
    }

    /// Returns the group of a request; none where the settings have no groups.
    pub fn group<'a>(&self, request: &ConnectRequest<'a>) -> Option<&'a str> {
        request.group.filter(|_| self.uses_groups)
    }

    /// Returns a tenant's index by its name or number; none for one that is unknown. Where the
    /// settings have no tenants all are alike.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        if self.tenants.is_empty() {
            return Some(0);
        }
        let by_name = self.tenants.iter().position(|tenant| tenant == name);
        by_name.or_else(|| {
            let number = name.parse().ok();
            number.filter(|number| *number < self.tenants.len())
        })
    }

    /// Returns the client as admission control knows it; all clients are alike where there is none.
    pub fn client_identity(
        &self,
        request: &ConnectRequest,
        class: &TrafficClassSettings,
        accepted_at: Time,
    ) -> ClientIdentity {
        let Some(ClientKeys { by, seed }) = self.client_keys else {
            return ClientIdentity::default();
        };
        // A client is its group where it names one, else the flow's key.
        let name = request.group.unwrap_or(request.key);
        let client = nettlemux_admission::hash_key(seed, name.as_bytes());
        let key = match by {
            AdmissionKey::Client => client,
            AdmissionKey::Tenant => self.tenant_key(request.tenant.unwrap_or_default(), seed),
        };
        ClientIdentity {
            key,
            client,
            is_retry: request.retry,
            latency_deadline: accepted_at + class.latency_objective,
        }
    }

    /// A tenant's key, the same for its name and its number.
    fn tenant_key(&self, name: &str, seed: u64) -> u64 {
        let tenant = self.tenant(name).and_then(|index| self.tenants.get(index));
        let name = tenant.map_or(name, String::as_str);
        nettlemux_admission::hash_key(seed, name.as_bytes())
    }
}
