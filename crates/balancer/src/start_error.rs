//! Why the balancer can't start, or can't go on.

use std::io;
use std::net::SocketAddr;

use nettlemux_dataplane::dispatcher::DispatcherError;
use nettlemux_settings::SettingsError;

use crate::config_error::ConfigError;
use crate::operator_file::OperatorFileError;
use crate::re_exec::ReExecError;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file can't be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The policy or the first lines can't be made from the settings.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// Signals can't be caught, or their thread can't be started.
    #[error("can't listen for signals: {0}")]
    Signals(#[source] io::Error),
    /// The coroutine runtime didn't start.
    #[error(transparent)]
    Runtime(#[from] ReExecError),
    /// The listener can't be opened.
    #[error("can't listen at {address}: {source}")]
    Listener {
        address: SocketAddr,
        source: io::Error,
    },
    /// The gossip socket can't be opened.
    #[error("can't listen for gossip at {address}: {source}")]
    Gossip {
        address: SocketAddr,
        source: io::Error,
    },
    /// A part without which nothing is served has failed.
    #[error(transparent)]
    ServiceFailed(#[from] DispatcherError),
}

impl From<SettingsError> for StartError {
    fn from(error: SettingsError) -> Self {
        StartError::Settings(error)
    }
}
