//! Why a command cannot do what it is asked.

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

/// Why a command cannot do what it is asked.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A scenario's file is faulty.
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
        /// What is wrong in it.
        source: RecordError,
    },
    /// A value to sweep over that is no number.
    #[error("--values: '{value}' is no number")]
    SweepValue {
        /// The value as it was given.
        value: String,
    },
    /// A key to sweep that the scenario does not have.
    #[error("--key: {0}")]
    SweepKey(#[source] SetKeyError),
    /// Two sides that cannot be compared.
    #[error("--a and --b must both be policies, or both be programs' paths")]
    UnlikeSides,
    /// A comparison on sockets without a result.
    #[error("every pair was void: the machine was too slow")]
    EveryPairVoid,
    /// A run on sockets could not be made.
    #[error(transparent)]
    SocketRun(#[from] SocketRunError),
    /// A scenario that was found cannot be written as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// A scale run ended early.
    #[error(transparent)]
    ScaleRun(#[from] ScaleRunError),
    /// The plot of a scale run cannot be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The check of the rule checker could not be made.
    #[error(transparent)]
    Check(#[from] CheckError),
    /// The path of this program is not known.
    #[error(transparent)]
    OwnPath(io::Error),
    /// An input of the capacity page is faulty.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// A faulty balancer of an unknown kind.
    #[error("'{name}' is no mutant")]
    UnknownMutant {
        /// The name that was given.
        name: String,
    },
    /// A faulty balancer could not serve.
    #[error(transparent)]
    FaultyBalancer(#[from] FaultyBalancerError),
}
