//! Why a run on sockets cannot be made.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::file_error::FileError;

/// Why a run on sockets cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum SocketRunError {
    /// The threads of the stand-ins did not start.
    #[error("can't start threads: {0}")]
    Threads(#[source] io::Error),
    /// All loopback blocks are held by other runs.
    #[error("no block of loopback addresses is free")]
    NoFreeAddresses,
    /// A stand-in cannot listen.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The program to run as the balancers is not there.
    #[error("{}: there is no such program", .path.display())]
    NoProgram {
        /// The program's path.
        path: PathBuf,
    },
    /// A file or the program cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// The operator's file cannot be written as TOML.
    #[error(transparent)]
    OperatorFile(#[from] toml::ser::Error),
    /// A balancer did not answer in time.
    #[error("balancer {balancer} isn't ready in time:\n{log_end}")]
    NotReady {
        /// The balancer's number.
        balancer: usize,
        /// The end of its log.
        log_end: String,
    },
    /// The record cannot be written.
    #[error("the record can't be written: {0}")]
    Record(#[source] io::Error),
    /// The thread of the run panicked.
    #[error("it panicked")]
    Panicked,
}
