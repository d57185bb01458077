//! The error of an operation on a file or a program, with its path.

use std::io;
use std::path::{Path, PathBuf};

/// A file, folder or program that cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct FileError {
    /// The file, folder or program.
    pub path: PathBuf,
    /// What the system said.
    pub source: io::Error,
}

impl FileError {
    /// Returns a function that adds the path to an error of the system, for `map_err`.
    pub fn at(path: &Path) -> impl Fn(io::Error) -> FileError + '_ {
        move |source| FileError {
            path: path.into(),
            source,
        }
    }
}
