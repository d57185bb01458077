//! Errors that end a scale run early, and errors in the measurement of a size.

use std::fmt;
use std::io;

use nettlemux_settings::SettingsError;

use super::limits::Exceeded;
use super::measurement::{Part, Varied};
use crate::file_error::FileError;

/// Why a run ended early. The measurements up to then are written.
#[derive(Debug, thiserror::Error)]
pub enum ScaleRunError {
    /// A size would exceed a limit and was not started.
    #[error("{} with {} = {size} {exceeded}; stopped before it", .part.name(), .varied.name())]
    Limit {
        /// The part of the run.
        part: Part,
        /// The count that grows.
        varied: Varied,
        /// The size that would exceed the limit.
        size: f64,
        /// The limit and the need that exceeds it.
        exceeded: Exceeded,
    },
    /// A size could not be measured.
    #[error("{} with {} = {size}: {source}", .part.name(), .varied.name())]
    Measurement {
        /// The part of the run.
        part: Part,
        /// The count that grows.
        varied: Varied,
        /// The size.
        size: f64,
        /// Why it could not be measured.
        source: MeasurementError,
    },
    /// A line of the run could not be written.
    #[error("cannot write the lines of the run: {0}")]
    Write(#[source] io::Error),
}

/// Why a size could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasurementError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The threads of the fleet could not be started.
    #[error("cannot start the threads of the fleet: {0}")]
    Threads(#[source] io::Error),
    /// The simulated servers could not be started.
    #[error("cannot start the simulated servers: {0}")]
    Servers(#[source] io::Error),
    /// The simulated discovery service could not be started.
    #[error("cannot start the simulated discovery service: {0}")]
    Discovery(#[source] io::Error),
    /// A file of the run could not be accessed, or the balancer's program could not be started.
    #[error(transparent)]
    File(#[from] FileError),
    /// A balancer did not answer in time after its start.
    #[error("balancer {number} isn't ready in time:\n{log_end}")]
    NotReady {
        /// The balancer's number.
        number: usize,
        /// The end of its log.
        log_end: String,
    },
    /// Balancers exited unexpectedly.
    #[error(transparent)]
    BalancersExited(#[from] BalancersExited),
}

/// The balancers that exited unexpectedly, at least one.
#[derive(Debug, thiserror::Error)]
pub struct BalancersExited(pub Vec<ExitedBalancer>);

impl fmt::Display for BalancersExited {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let texts: Vec<String> = self.0.iter().map(ExitedBalancer::to_string).collect();
        f.write_str(&texts.join("\n"))
    }
}

/// A balancer that exited unexpectedly.
#[derive(Debug, thiserror::Error)]
#[error("balancer {number} died:\n{log_end}")]
pub struct ExitedBalancer {
    /// The balancer's number.
    pub number: usize,
    /// The end of its log.
    pub log_end: String,
}
