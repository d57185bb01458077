//! Errors of the commands.

use std::io;
use std::path::PathBuf;

use nettlemux_testbed::capacity::CapacityError;
use nettlemux_testbed::check::CheckError;
use nettlemux_testbed::file::{ScenarioFileError, SetKeyError};
use nettlemux_testbed::file_error::FileError;
use nettlemux_testbed::record::RecordError;
use nettlemux_testbed::scale::ScaleRunError;
use nettlemux_testbed::scale::plot::PlotError;
use nettlemux_testbed::sockets::SocketRunError;
use nettlemux_testbed::sockets::faulty::FaultyBalancerError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A scenario file is invalid.
    #[error(transparent)]
    ScenarioFile(#[from] ScenarioFileError),
    /// A file cannot be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A record cannot be read.
    #[error("{}: {source}", .file.display())]
    Record {
        /// The record's file.
        file: PathBuf,
        /// Why it cannot be read.
        source: RecordError,
    },
    /// A value of a sweep is not a number.
    #[error("--values: expected a number, found '{value}'")]
    SweepValue {
        /// The value as given.
        value: String,
    },
    /// The scenario has no such key to sweep.
    #[error("--key: {0}")]
    SweepKey(#[source] SetKeyError),
    /// A policy and a program cannot be compared.
    #[error("--a and --b must both be policies or both be paths of programs")]
    MismatchedSides,
    /// A comparison on sockets has no valid pair of runs.
    #[error("no valid pair of runs: the machine was too slow for every pair")]
    EveryPairVoid,
    /// A run on sockets failed.
    #[error(transparent)]
    SocketRun(#[from] SocketRunError),
    /// A scenario found by `hunt` cannot be written as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// A scale run ended early.
    #[error(transparent)]
    ScaleRun(#[from] ScaleRunError),
    /// The plot of a scale run cannot be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The self-check of the rule checker failed to run.
    #[error(transparent)]
    Check(#[from] CheckError),
    /// The path of this executable is not known.
    #[error(transparent)]
    OwnPathUnknown(io::Error),
    /// An input of the capacity page is invalid.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// No mutant has this name.
    #[error("unknown mutant '{name}'")]
    UnknownMutant {
        /// The name as given.
        name: String,
    },
    /// A faulty balancer failed to start.
    #[error(transparent)]
    FaultyBalancer(#[from] FaultyBalancerError),
}
