//! Errors of scenario files, and of setting a key of a scenario.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Why a scenario cannot be used, and the key at fault.
#[derive(Debug, thiserror::Error)]
#[error("{}: key '{key}': {problem}", .file.display())]
pub struct ScenarioFileError {
    /// The file.
    pub file: PathBuf,
    /// The key at fault, with the tables that contain it.
    pub key: String,
    /// Why the key cannot be used.
    #[source]
    pub problem: ScenarioProblem,
}

impl ScenarioFileError {
    pub(crate) fn new(file: &Path, key: impl Into<String>, problem: ScenarioProblem) -> Self {
        ScenarioFileError {
            file: file.into(),
            key: key.into(),
            problem,
        }
    }
}

/// Why a scenario's key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioProblem {
    /// The file cannot be read.
    #[error(transparent)]
    Io(io::Error),
    /// The file is not valid TOML.
    #[error(transparent)]
    Toml(Box<toml::de::Error>),
    /// A value that the TOML parser rejects, with the parser's message.
    #[error("{0}")]
    Unreadable(String),
    /// A key that is not known at this place in the scenario.
    #[error("unknown; {}", Hint { nearest, otherwise: format!("expected one of {known}") })]
    UnknownKey {
        /// The known key with the nearest name, if one is similar.
        nearest: Option<String>,
        /// All keys that are known at this place, separated by commas.
        known: String,
    },
    /// A required key that is missing.
    #[error("missing")]
    Missing,
    /// A value that the model cannot be run with, with the model's reason.
    #[error("{0}")]
    Invalid(String),
    /// An expectation of an unknown figure.
    #[error("unknown figure; {}", Hint { nearest, otherwise: format!("expected one of {known}") })]
    UnknownFigure {
        /// The figure with the nearest name, if one is similar.
        nearest: Option<String>,
        /// All figures, separated by commas.
        known: String,
    },
    /// An expectation without a bound.
    #[error("expected min or max, found neither")]
    MissingBound,
    /// A count or rate that is not positive or is too large.
    #[error("expected a number above 0 and up to {limit}, found {value}")]
    OutOfRange {
        /// The number.
        value: f64,
        /// The largest accepted number.
        limit: f64,
    },
    /// The duration of a phase of a run that is not positive or is too long.
    #[error("expected more than 0 and up to {limit} seconds, found {value}")]
    DurationOutOfRange {
        /// The duration of the phase in seconds.
        value: f64,
        /// The longest accepted duration, in seconds.
        limit: f64,
    },
    /// A count that exceeds the limit set by another key.
    #[error("{value} is too many for {other}: {limit} at most")]
    TooMany {
        /// The count.
        value: u64,
        /// The key that limits the count.
        other: &'static str,
        /// The largest allowed count.
        limit: u64,
    },
}

/// A hint at the nearest known name, or another text if no known name is similar.
struct Hint<'a> {
    nearest: &'a Option<String>,
    otherwise: String,
}

impl fmt::Display for Hint<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.nearest {
            Some(nearest) => write!(f, "did you mean '{nearest}'?"),
            None => f.write_str(&self.otherwise),
        }
    }
}

/// Why a key of a scenario cannot be set.
#[derive(Debug, thiserror::Error)]
pub enum SetKeyError {
    /// A table or list that the scenario does not have.
    #[error("unknown key '{key}'")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// A path that ends at an index of a list.
    #[error("expected an index and a key in a list, found '{path}'")]
    MissingKeyInList {
        /// The part of the path after the list.
        path: String,
    },
    /// An index of a list that is not a number.
    #[error("expected an index of '{key}', found '{index}'")]
    InvalidIndex {
        /// The index as it was given.
        index: String,
        /// The list's key.
        key: String,
    },
    /// An index beyond the end of a list.
    #[error("'{key}' has no entry {index}")]
    IndexOutOfRange {
        /// The index, counted from zero.
        index: usize,
        /// The list's key.
        key: String,
    },
}
