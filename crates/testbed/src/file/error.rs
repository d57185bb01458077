//! What can be wrong with a scenario's file, and with a key that is set in one.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// What is wrong with a scenario, and where.
#[derive(Debug, thiserror::Error)]
#[error("{}: key '{key}': {problem}", .file.display())]
pub struct ScenarioFileError {
    /// The file.
    pub file: PathBuf,
    /// The key at fault, with the tables that it stands in.
    pub key: String,
    /// Why its value cannot be used.
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
    /// The file is no TOML.
    #[error(transparent)]
    Toml(Box<toml::de::Error>),
    /// A value that the TOML reader refuses, in its words.
    #[error("{0}")]
    Unreadable(String),
    /// A key that scenarios do not have.
    #[error("unknown; {}", Hint { nearest, otherwise: format!("there are {known}") })]
    UnknownKey {
        /// The known key with the nearest name, where one is near.
        nearest: Option<String>,
        /// All known keys there, set apart by commas.
        known: String,
    },
    /// A key that must be there and is not.
    #[error("missing")]
    Missing,
    /// A value that the model cannot be run with, in its words.
    #[error("{0}")]
    Invalid(String),
    /// An expectation of a figure that there is not.
    #[error("no figure; {}", Hint { nearest, otherwise: known.clone() })]
    UnknownFigure {
        /// The figure with the nearest name, where one is near.
        nearest: Option<String>,
        /// All figures, set apart by commas.
        known: String,
    },
    /// An expectation without a bound.
    #[error("neither min nor max")]
    NoBound,
    /// A number that is no count or rate.
    #[error("{value} isn't between 0 and {limit}")]
    OutOfRange {
        /// The number.
        value: f64,
        /// The largest that is accepted.
        limit: f64,
    },
    /// A phase of a run that is no time or too long.
    #[error("{value} isn't between 0 and {limit} seconds")]
    DurationOutOfRange {
        /// The phase in seconds.
        value: f64,
        /// The longest that is accepted, in seconds.
        limit: f64,
    },
    /// A count that is larger than another key allows.
    #[error("{value} is too many for {other}: {limit} at most")]
    TooMany {
        /// The count.
        value: u64,
        /// The key that limits it.
        other: &'static str,
        /// The largest count that it allows.
        limit: u64,
    },
}

/// A hint at the name that may be meant, or else something instead.
struct Hint<'a> {
    nearest: &'a Option<String>,
    otherwise: String,
}

impl fmt::Display for Hint<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.nearest {
            Some(nearest) => write!(f, "is '{nearest}' meant?"),
            None => f.write_str(&self.otherwise),
        }
    }
}

/// Why a key of a scenario cannot be set.
#[derive(Debug, thiserror::Error)]
pub enum SetKeyError {
    /// A table or list that the scenario does not have.
    #[error("there is no '{key}'")]
    NoSuchKey {
        /// The key.
        key: String,
    },
    /// A path that ends at a place of a list.
    #[error("'{path}' names no key in a list")]
    NoKeyInList {
        /// The path, from the list on.
        path: String,
    },
    /// A place of a list that is no number.
    #[error("'{index}' is no place in '{key}'")]
    NotAnIndex {
        /// The place as it was given.
        index: String,
        /// The list's key.
        key: String,
    },
    /// A place beyond the end of a list.
    #[error("'{key}' has no place {index}")]
    OutOfList {
        /// The place, counted from zero.
        index: usize,
        /// The list's key.
        key: String,
    },
}
