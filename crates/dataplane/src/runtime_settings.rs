//! The platform's settings that the data plane reads itself, beside the policy's. It owns their
//! current values, and must never read a file or decide when they change.

use std::sync::{Arc, Mutex, PoisonError};

use nettlemux_policy::Time;
use nettlemux_settings::LoadReportFormat;

/// Settings that may change while the program runs.
#[derive(Clone, Copy, Default)]
pub struct RuntimeSettings {
    /// How load reports are written.
    pub report_format: LoadReportFormat,
    /// Servers report their load on request; where not, they are only asked whether they are alive.
    pub load_reports_on_request: bool,
    /// A connection to a server that isn't up by then counts as failed.
    pub connect_timeout: Time,
    /// The longest pause between two polls, where the endpoint list has to be polled from a service
    /// that all balancers share.
    pub endpoint_poll_interval_max: Option<Time>,
}

/// The settings that hold now, replaced as a whole.
#[derive(Default)]
pub struct SharedSettings {
    current: Mutex<RuntimeSettings>,
}

impl SharedSettings {
    /// Returns settings that hold until they are replaced.
    pub fn new(settings: RuntimeSettings) -> Arc<Self> {
        Arc::new(SharedSettings {
            current: Mutex::new(settings),
        })
    }

    /// Returns the settings that hold now.
    pub fn current(&self) -> RuntimeSettings {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what holds from now on.
    pub fn replace(&self, settings: RuntimeSettings) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }
}
