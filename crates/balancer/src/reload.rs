//! Reloads the files on SIGHUP and applies the changes. This module owns the configuration in
//! force. If a file is invalid, nothing is changed.

use std::net::SocketAddr;
use std::sync::Arc;

use nettlemux_dataplane::discovery::Agent;
use nettlemux_dataplane::gossip::GossipTransport;
use nettlemux_dataplane::mailbox::Sender;
use nettlemux_dataplane::messages::DispatcherMessage;
use nettlemux_dataplane::runtime_settings::SharedSettings;
use nettlemux_line_protocol::acceptor::Acceptor;
use nettlemux_line_protocol::settings::FirstLineSettings;
use nettlemux_policy::Time;
use nettlemux_settings::operator::OperatorFile;
use nettlemux_settings::{Settings, SettingsError};
use tracing::{info, warn};

use crate::cli::Files;
use crate::config::Config;
use crate::config_error::ConfigError;
use crate::config_file;
use crate::operator_file::{self, OperatorFileError};

/// Why a reload failed. A failed reload changes nothing.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file can't be read or is invalid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The new settings can't replace the settings in force.
    #[error("{0}")]
    Settings(SettingsError),
}

impl From<SettingsError> for ReloadError {
    fn from(error: SettingsError) -> Self {
        ReloadError::Settings(error)
    }
}

/// The gossip transport to the other balancers.
pub struct GossipPeering {
    /// The address at which this balancer receives gossip.
    pub listen: SocketAddr,
    /// The socket and the peers' addresses.
    pub transport: Arc<GossipTransport>,
}

/// Reloads the files and applies the changes.
pub struct Reloader {
    pub files: Files,
    /// The configuration in force. Traffic classes and tenants that the settings before named too
    /// have the same numbers in it.
    pub config: Config,
    /// The settings as last read from the file, before they were numbered.
    pub settings_in_file: Settings,
    /// The seed of admission control's hash keys. `None` if admission control is off.
    pub admission_seed: Option<u64>,
    pub runtime_settings: Arc<SharedSettings>,
    pub acceptor: Arc<Acceptor>,
    /// `None` if no peers are configured.
    pub gossip_peering: Option<GossipPeering>,
    pub agent: Arc<Agent>,
    pub dispatcher: Sender<DispatcherMessage>,
}

/// New settings, numbered after the settings in force and validated.
struct NumberedSettings {
    settings: Settings,
    first_line: FirstLineSettings,
}

impl Reloader {
    /// Reloads the files and applies the changes. `signalled_at` is when the signal came, which may
    /// be earlier if the files couldn't be used at first.
    ///
    /// # Errors
    /// If one of the files can't be read or is invalid; nothing is changed in that case.
    pub fn reload(&mut self, signalled_at: Time) -> Result<(), ReloadError> {
        // Every step that can fail comes before the first change is applied.
        let new = config_file::load(self.files.config.as_deref())?;
        let operator = operator_file::load(self.files.operator.as_deref())?;
        let numbered = self.number_settings(&new)?;
        new.warn_of_unknown_keys();
        operator_file::warn_of_deprecated(&operator);
        if new.settings != self.settings_in_file {
            self.apply_settings(&new, numbered);
        }
        self.apply_peers(&operator);
        warn_of_missing_peers(&new.settings, self.gossip_peering.as_ref());
        for key in self.config.keys_needing_a_restart(&new) {
            warn_of_required_restart(key);
        }
        self.apply_admission(&operator);
        self.apply_discovery(&new, signalled_at);
        Ok(())
    }

    fn number_settings(&self, new: &Config) -> Result<NumberedSettings, SettingsError> {
        let settings = new.settings.numbered_after(&self.config.settings)?;
        let first_line = FirstLineSettings::from_platform(&settings)?;
        Ok(NumberedSettings {
            settings,
            first_line,
        })
    }

    fn apply_settings(&mut self, new: &Config, numbered: NumberedSettings) {
        let policy_settings = match self.gossip_peering {
            Some(_) => numbered.settings.clone(),
            None => numbered.settings.clone().without_gossip(),
        };
        // The dispatcher is told first. It processes its mailbox in order, so the policy knows the
        // quota of a new tenant before a client's first line can name it.
        self.dispatcher
            .send(DispatcherMessage::ApplySettings(Box::new(policy_settings)));
        self.runtime_settings.replace(new.runtime_settings());
        self.acceptor.replace_settings(numbered.first_line);
        info!("settings applied");
        self.settings_in_file = new.settings.clone();
        self.config.settings = numbered.settings;
    }

    fn apply_peers(&self, operator: &OperatorFile) {
        match (&operator.peers, &self.gossip_peering) {
            (Some(peers), Some(peering)) if peers.listen == peering.listen => {
                peering.transport.replace_peers(peers.addresses.clone());
            }
            (None, None) => {}
            _ => warn_of_required_restart("peers"),
        }
    }

    fn apply_admission(&self, operator: &OperatorFile) {
        match (&operator.admission, self.admission_seed) {
            (Some(admission), Some(seed)) => {
                // Admission control keeps the longest Retry-After of the start, so 0 has no effect.
                let config = operator_file::admission_config(admission, seed, 0);
                self.dispatcher
                    .send(DispatcherMessage::ApplyAdmission(config));
            }
            (None, None) => {}
            _ => warn_of_required_restart("admission"),
        }
    }

    fn apply_discovery(&mut self, new: &Config, signalled_at: Time) {
        let changed = new.discovery != self.config.discovery;
        info!(discovery = %new.discovery, changed, "reloaded");
        self.config.discovery = new.discovery;
        self.agent.reload(new.discovery, signalled_at);
    }
}

fn warn_of_required_restart(key: &str) {
    warn!(
        key,
        "a change to this key takes effect only after a restart"
    );
}

/// Logs a warning if the settings allow gossip but no peers are configured. Without gossip, groups
/// are spread over more servers.
pub fn warn_of_missing_peers(settings: &Settings, peering: Option<&GossipPeering>) {
    if settings.gossip_allowed().unwrap_or(false) && peering.is_none() {
        warn!(
            key = "peers",
            "gossip is allowed, but no peers are configured"
        );
    }
}
