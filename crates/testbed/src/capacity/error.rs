//! Errors in the inputs of the capacity page, with file, line and key.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// A file of the capacity page that cannot be used: the line, if known, and the reason.
#[derive(Debug, thiserror::Error)]
#[error("{}: {}{reason}", .file.display(), LinePrefix(*.line))]
pub struct CapacityError {
    /// The invalid file.
    pub file: PathBuf,
    /// The line, counted from 1. `None` if the error concerns the whole file.
    pub line: Option<usize>,
    /// Why the file cannot be used.
    #[source]
    pub reason: CapacityProblem,
}

impl CapacityError {
    /// Returns an error that concerns the whole file.
    pub(super) fn in_file(file: &Path, reason: impl Into<CapacityProblem>) -> Self {
        CapacityError {
            file: file.into(),
            line: None,
            reason: reason.into(),
        }
    }

    /// Returns an error in one line, counted from 1.
    pub(super) fn in_line(file: &Path, line: usize, reason: impl Into<CapacityProblem>) -> Self {
        CapacityError {
            file: file.into(),
            line: Some(line),
            reason: reason.into(),
        }
    }
}

/// Prints the line as a prefix of the error message, and nothing if the error concerns the whole
/// file.
struct LinePrefix(Option<usize>);

impl fmt::Display for LinePrefix {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(line) => write!(f, "line {line}: "),
            None => Ok(()),
        }
    }
}

/// Why a file of the capacity page cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CapacityProblem {
    /// The file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The assumptions file is invalid.
    #[error(transparent)]
    Assumptions(#[from] AssumptionsError),
    /// The stored run is invalid.
    #[error(transparent)]
    StoredRun(#[from] StoredRunError),
    /// The markers of the page are invalid.
    #[error(transparent)]
    Marker(#[from] MarkerError),
}

/// Why the assumptions file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum AssumptionsError {
    /// A key is unknown or its value is invalid.
    #[error("`{key}`: {}", .source.message())]
    InvalidKey {
        /// The key of the invalid line.
        key: String,
        /// The error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// An error that belongs to no key.
    #[error("{}", .0.message())]
    InvalidDocument(#[source] Box<toml::de::Error>),
}

/// Why a value of the assumptions file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ParameterError {
    /// A value is zero, negative, infinite or NaN.
    #[error("`{key}`: expected a finite number above 0, found {value}")]
    NotPositive {
        /// The key of the value.
        key: &'static str,
        /// The value.
        value: f64,
    },
    /// The number of values is not that of low, middle and high.
    #[error("`values`: expected {expected} values, found {count}")]
    WrongCount {
        /// Number of values found.
        count: usize,
        /// Number of values expected.
        expected: usize,
    },
    /// The values are not in ascending order.
    #[error("`values` are not in ascending order")]
    NotAscending,
    /// The reason for a value is empty.
    #[error("`why` is empty")]
    EmptyReason,
}

/// Why a stored run is invalid.
#[derive(Debug, thiserror::Error)]
pub enum StoredRunError {
    /// The file has no lines.
    #[error("the file is empty, expected a stored run")]
    Empty,
    /// A line is not valid JSON.
    #[error("expected a JSON object: {0}")]
    InvalidJson(#[source] serde_json::Error),
    /// A line is valid JSON, but not an object.
    #[error("expected a JSON object")]
    NotAnObject,
    /// A key of an object is missing or its value cannot be deserialized.
    #[error(transparent)]
    InvalidObject(#[from] serde_json::Error),
    /// The value of a key is not a number.
    #[error("`{key}`: expected a number")]
    ExpectedNumber {
        /// The key, prefixed with the object that contains it if that is not the line itself.
        key: String,
    },
    /// The value of a key is not a string.
    #[error("`{key}`: expected a string")]
    ExpectedString {
        /// The key.
        key: &'static str,
    },
    /// The size of a measured point is zero or negative.
    #[error("`size`: expected a number above 0")]
    SizeNotPositive,
    /// A line is neither a measured point nor a fitted line.
    #[error("expected a point with `figures` or a fitted line with `fit`, found neither key")]
    UnknownRecord,
    /// A line belongs to another run than the first line.
    #[error("`run`: expected '{expected}' as in the first line, found '{found}'")]
    RunMismatch {
        /// The run that the line names.
        found: String,
        /// The run that the first line names.
        expected: String,
    },
    /// There is more than one fitted line of the same figure.
    #[error("duplicate `fit` of {figure} over {varied} in {part}")]
    DuplicateFit {
        /// The figure.
        figure: String,
        /// The count that was varied in the run.
        varied: &'static str,
        /// The part of the run.
        part: &'static str,
    },
}

/// Why the markers of the page's generated blocks are invalid.
#[derive(Debug, thiserror::Error)]
pub enum MarkerError {
    /// A marker of a block is missing.
    #[error("the marker '{marker}' is missing")]
    Missing {
        /// The marker.
        marker: String,
    },
    /// A marker occurs more than once.
    #[error("the marker '{marker}' occurs {count} times, expected 1")]
    Repeated {
        /// The marker.
        marker: String,
        /// How often the marker occurs.
        count: usize,
    },
    /// The end marker of a block precedes its begin marker.
    #[error("the marker '{end}' precedes '{begin}'")]
    Reversed {
        /// The marker that begins the block.
        begin: String,
        /// The marker that ends it.
        end: String,
    },
}
