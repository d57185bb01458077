//! The platform's settings that the data plane uses itself, besides the policy's settings. It owns
//! their current values and must never read a file or decide when they change.

use std::sync::{Arc, Mutex, PoisonError};

use nettlemux_policy::Time;
use nettlemux_settings::LoadReportFormat;

/// Settings that may change while the program runs.
#[derive(Clone, Copy, Default)]
pub struct RuntimeSettings {
    /// The format of load reports.
    pub report_format: LoadReportFormat,
    /// Whether servers report their load on request. If not, health checks only ask whether they are
    /// alive.
    pub load_reports_on_request: bool,
    /// A connection to a server that isn't established within this time counts as failed.
    pub connect_timeout: Time,
    /// The longest pause between two polls of the endpoint list; `None` if the list doesn't have to
    /// be polled from a service that all balancers share.
    pub endpoint_poll_interval_max: Option<Time>,
}

/// The current settings, which are replaced as a whole.
#[derive(Default)]
pub struct SharedSettings {
    current: Mutex<RuntimeSettings>,
}

impl SharedSettings {
    /// Returns shared settings with the given initial values.
    pub fn new(settings: RuntimeSettings) -> Arc<Self> {
        Arc::new(SharedSettings {
            current: Mutex::new(settings),
        })
    }

    /// Returns the current settings.
    pub fn current(&self) -> RuntimeSettings {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the settings.
    pub fn replace(&self, settings: RuntimeSettings) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }
}
