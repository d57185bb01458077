//! Errors of a run on sockets.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::file_error::FileError;

/// Why a run on sockets failed.
#[derive(Debug, thiserror::Error)]
pub enum SocketRunError {
    /// The threads of the stand-ins did not start.
    #[error("can't start threads: {0}")]
    Threads(#[source] io::Error),
    /// Other runs hold all blocks of loopback addresses.
    #[error("no free block of loopback addresses: other runs hold all of them")]
    NoFreeAddresses,
    /// A stand-in cannot listen at its address.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The balancer program does not exist.
    #[error("{}: no such program", .path.display())]
    ProgramNotFound {
        /// The program's path.
        path: PathBuf,
    },
    /// A file cannot be accessed, or the program cannot be started.
    #[error(transparent)]
    File(#[from] FileError),
    /// The operator's file cannot be written as TOML.
    #[error(transparent)]
    OperatorFile(#[from] toml::ser::Error),
    /// A balancer did not answer a `PING` in time.
    #[error("balancer {balancer} isn't ready within the time limit; end of its log:\n{log_end}")]
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
    #[error("the thread of the run panicked")]
    Panicked,
}
