//! What is wrong with an input of the capacity page, and where.

use std::fmt;
use std::path::{Path, PathBuf};

/// A fault in a file: its line where one is known, and the reason, which names the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: PathBuf,
    /// Counted from one; none where the whole file is meant.
    pub line: Option<usize>,
    pub reason: String,
}

impl Fault {
    /// A fault of the file as a whole.
    pub fn file(file: &Path, reason: impl fmt::Display) -> Self {
        Fault {
            file: file.into(),
            line: None,
            reason: reason.to_string(),
        }
    }

    /// A fault in one line, counted from one.
    pub fn line(file: &Path, line: usize, reason: impl fmt::Display) -> Self {
        Fault {
            file: file.into(),
            line: Some(line),
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ": line {line}")?;
        }
        write!(f, ": {}", self.reason)
    }
}

impl std::error::Error for Fault {}
