//! Why a scale run ends early, and why a size cannot be measured.

use std::fmt;
use std::io;

use nettlemux_settings::SettingsError;

use super::limits::Exceeded;
use super::measurement::{Part, Varied};
use crate::file_error::FileError;

/// Why a run ended before its end. What was measured up to then is written.
#[derive(Debug, thiserror::Error)]
pub enum ScaleRunError {
    /// A size that would pass a limit and was not begun.
    #[error("{} with {} = {size} {exceeded}; stopped before it", .part.name(), .varied.name())]
    Limit {
        /// The part of the run.
        part: Part,
        /// The count that grows.
        varied: Varied,
        /// The size that would pass the limit.
        size: f64,
        /// The limit.
        exceeded: Exceeded,
    },
    /// A size that could not be measured.
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
    /// A line of the run that could not be written.
    #[error("the run's lines can't be written: {0}")]
    Write(#[source] io::Error),
}

/// Why a size could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasurementError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The threads of the fleet did not start.
    #[error("can't start threads: {0}")]
    Threads(#[source] io::Error),
    /// The simulated servers did not start.
    #[error("hollow servers: {0}")]
    Servers(#[source] io::Error),
    /// The stand-in discovery service did not start.
    #[error("discovery: {0}")]
    Discovery(#[source] io::Error),
    /// A file of the run or the balancer's program cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// A balancer that did not answer in time.
    #[error("balancer {number} isn't ready:\n{log_end}")]
    NotReady {
        /// The balancer's number.
        number: usize,
        /// The end of its log.
        log_end: String,
    },
    /// Balancers that ended by themselves.
    #[error(transparent)]
    Died(#[from] BalancersDied),
}

/// Balancers that ended by themselves, at least one.
#[derive(Debug, thiserror::Error)]
pub struct BalancersDied(pub Vec<DeadBalancer>);

impl fmt::Display for BalancersDied {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let texts: Vec<String> = self.0.iter().map(DeadBalancer::to_string).collect();
        f.write_str(&texts.join("\n"))
    }
}

/// A balancer that ended by itself.
#[derive(Debug, thiserror::Error)]
#[error("balancer {number} died:\n{log_end}")]
pub struct DeadBalancer {
    /// The balancer's number.
    pub number: usize,
    /// The end of its log.
    pub log_end: String,
}
