//! The error of an operation on a file or a program, with its path.

use std::io;
use std::path::{Path, PathBuf};

/// An operation on a file, folder or program that failed.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct FileError {
    /// The file, folder or program.
    pub path: PathBuf,
    /// The error that the system returned.
    pub source: io::Error,
}

impl FileError {
    /// Returns a function for `map_err` that adds the path to a system error.
    pub fn at(path: &Path) -> impl Fn(io::Error) -> FileError + '_ {
        move |source| FileError {
            path: path.into(),
            source,
        }
    }
}
