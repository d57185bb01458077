//! Errors that prevent the balancer from starting or make it exit.

use std::io;
use std::net::SocketAddr;

use nettlemux_dataplane::dispatcher::DispatcherError;
use nettlemux_settings::SettingsError;

use crate::config_error::ConfigError;
use crate::operator_file::OperatorFileError;
use crate::re_exec::ReExecError;

/// An error that makes the program exit.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file can't be read or is invalid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The policy, or the settings of the first lines, can't be built from the platform's settings.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// The signal handlers can't be installed, or their thread can't be started.
    #[error("can't set up signal handling: {0}")]
    Signals(#[source] io::Error),
    /// The coroutine runtime can't start.
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
    /// A service that the balancer needs has failed permanently.
    #[error(transparent)]
    ServiceFailed(#[from] DispatcherError),
}

impl From<SettingsError> for StartError {
    fn from(error: SettingsError) -> Self {
        StartError::Settings(error)
    }
}
