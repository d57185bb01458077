//! What SIGHUP does: the files are read again, and what has changed in them is applied. It owns the
//! configuration in force. A faulty file changes nothing.

use std::net::SocketAddr;
use std::sync::Arc;

use nettlemux_dataplane::discovery::Agent;
use nettlemux_dataplane::gossip::GossipTransport;
use nettlemux_dataplane::mailbox::Sender;
use nettlemux_dataplane::messages::DispatcherMessage;
use nettlemux_dataplane::runtime_settings::SharedSettings;
use nettlemux_line_protocol::acceptor::Acceptor;
use nettlemux_line_protocol::settings::FirstLineSettings;
use nettlemux_settings::operator::OperatorFile;
use nettlemux_settings::{Settings, SettingsError};
use tracing::{info, warn};

use crate::cli::Files;
use crate::config::Config;
use crate::config_error::ConfigError;
use crate::config_file;
use crate::operator_file::{self, OperatorFileError};

/// Why a reload has changed nothing.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file can't be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The new settings can't follow those in force.
    #[error("{0}")]
    Settings(SettingsError),
}

impl From<SettingsError> for ReloadError {
    fn from(error: SettingsError) -> Self {
        ReloadError::Settings(error)
    }
}

/// The way to the other balancers.
pub struct GossipPeering {
    /// Where this balancer receives gossip.
    pub listen: SocketAddr,
    /// The socket and the peers' addresses.
    pub transport: Arc<GossipTransport>,
}

/// Reads the files again and applies what has changed.
pub struct Reloader {
    pub files: Files,
    /// The configuration in force. Its settings keep the numbers of classes and tenants that were
    /// named before.
    pub config: Config,
    /// The settings as the file last had them.
    pub settings_in_file: Settings,
    /// Seeds the keys of admission control, where that is on.
    pub admission_seed: Option<u64>,
    pub runtime_settings: Arc<SharedSettings>,
    pub acceptor: Arc<Acceptor>,
    /// The way to the other balancers, where peers are configured.
    pub peers: Option<GossipPeering>,
    pub agent: Arc<Agent>,
    pub dispatcher: Sender<DispatcherMessage>,
}

/// Settings that follow those in force, checked.
struct MergedSettings {
    settings: Settings,
    first_line: FirstLineSettings,
}

impl Reloader {
    /// Reads the files again and applies what has changed.
    ///
    /// # Errors
    /// If one of the files can't be read or used; nothing has changed then.
    pub fn reload(&mut self) -> Result<(), ReloadError> {
        // All that may fail comes before anything is applied.
        let new = config_file::load(self.files.config.as_deref())?;
        let operator = operator_file::load(self.files.operator.as_deref())?;
        let merged = self.merge_settings(&new)?;
        new.warn_of_unknown_keys();
        operator_file::warn_of_deprecated(&operator);
        if new.settings != self.settings_in_file {
            self.apply_settings(&new, merged);
        }
        self.apply_peers(&operator);
        warn_of_missing_peers(&new.settings, self.peers.as_ref());
        for key in self.config.keys_needing_a_restart(&new) {
            warn_of_restart(key);
        }
        self.apply_admission(&operator);
        self.apply_discovery(&new);
        Ok(())
    }

    fn merge_settings(&self, new: &Config) -> Result<MergedSettings, SettingsError> {
        let settings = new.settings.merged_with_previous(&self.config.settings)?;
        let first_line = FirstLineSettings::new(&settings)?;
        Ok(MergedSettings {
            settings,
            first_line,
        })
    }

    fn apply_settings(&mut self, new: &Config, merged: MergedSettings) {
        let for_policy = match self.peers {
            Some(_) => merged.settings.clone(),
            None => merged.settings.clone().without_gossip(),
        };
        // The dispatcher first: it reads its mailbox in order, so the policy knows a class before a
        // client can name it.
        self.dispatcher
            .send(DispatcherMessage::ApplySettings(Box::new(for_policy)));
        self.runtime_settings.replace(new.runtime_settings());
        self.acceptor.replace_settings(merged.first_line);
        info!("settings applied");
        self.settings_in_file = new.settings.clone();
        self.config.settings = merged.settings;
    }

    fn apply_peers(&self, operator: &OperatorFile) {
        match (&operator.peers, &self.peers) {
            (Some(keys), Some(peering)) if keys.listen == peering.listen => {
                peering.transport.replace_peers(keys.addresses.clone());
            }
            (None, None) => {}
            _ => warn_of_restart("peers"),
        }
    }

    fn apply_admission(&self, operator: &OperatorFile) {
        match (&operator.admission, self.admission_seed) {
            (Some(keys), Some(seed)) => {
                // The longest Retry-After stays that of the start.
                let config = operator_file::admission(keys, seed, 0);
                self.dispatcher
                    .send(DispatcherMessage::ApplyAdmission(config));
            }
            (None, None) => {}
            _ => warn_of_restart("admission"),
        }
    }

    fn apply_discovery(&mut self, new: &Config) {
        let changed = new.discovery != self.config.discovery;
        info!(discovery = %new.discovery, changed, "reloaded");
        if changed {
            self.config.discovery = new.discovery;
            self.agent.set_address(new.discovery);
        }
    }
}

fn warn_of_restart(key: &str) {
    warn!(key, "a change of this key needs a restart");
}

/// Logs a warning where the settings allow gossip and no peers are configured: groups are then
/// spread over more servers.
pub fn warn_of_missing_peers(settings: &Settings, peers: Option<&GossipPeering>) {
    if settings.gossip_allowed().unwrap_or(false) && peers.is_none() {
        warn!(
            key = "peers",
            "gossip is allowed, but no peers are configured"
        );
    }
}
