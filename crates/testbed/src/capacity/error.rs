//! What is wrong with an input of the capacity page, and where.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// A file of the capacity page that cannot be used: its line where one is known, and the reason.
#[derive(Debug, thiserror::Error)]
#[error("{}: {}{reason}", .file.display(), LinePrefix(*.line))]
pub struct CapacityError {
    /// The file at fault.
    pub file: PathBuf,
    /// Counted from one; none where the whole file is meant.
    pub line: Option<usize>,
    /// What is wrong there.
    #[source]
    pub reason: CapacityProblem,
}

impl CapacityError {
    /// Returns an error of the file as a whole.
    pub(super) fn in_file(file: &Path, reason: impl Into<CapacityProblem>) -> Self {
        CapacityError {
            file: file.into(),
            line: None,
            reason: reason.into(),
        }
    }

    /// Returns an error in one line, counted from one.
    pub(super) fn in_line(file: &Path, line: usize, reason: impl Into<CapacityProblem>) -> Self {
        CapacityError {
            file: file.into(),
            line: Some(line),
            reason: reason.into(),
        }
    }
}

/// The line as an error's text has it; nothing where the whole file is meant.
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
    /// The assumptions file is faulty.
    #[error(transparent)]
    Assumptions(#[from] AssumptionsError),
    /// The stored run is faulty.
    #[error(transparent)]
    StoredRun(#[from] StoredRunError),
    /// The page's markers are faulty.
    #[error(transparent)]
    Marker(#[from] MarkerError),
}

/// What is wrong in the assumptions file.
#[derive(Debug, thiserror::Error)]
pub enum AssumptionsError {
    /// A key with a value that is refused.
    #[error("`{key}`: {}", .source.message())]
    Key {
        /// The key of the faulty line.
        key: String,
        /// What the TOML reader found.
        source: Box<toml::de::Error>,
    },
    /// A fault outside of any key.
    #[error("{}", .0.message())]
    Text(#[source] Box<toml::de::Error>),
}

/// Why a value with its reason is refused.
#[derive(Debug, thiserror::Error)]
pub enum ParameterError {
    /// A value that is zero, negative or no number.
    #[error("`{key}`: {value} is not over 0")]
    NotPositive {
        /// The key that the value stands under.
        key: &'static str,
        /// The value.
        value: f64,
    },
    /// Another number of values than low, middle and high.
    #[error("`values` are {count}, not {expected}")]
    WrongCount {
        /// How many there are.
        count: usize,
        /// How many there must be.
        expected: usize,
    },
    /// Values that are not in rising order.
    #[error("`values` don't rise")]
    NotRising,
    /// A value without a reason.
    #[error("`why` is empty")]
    EmptyReason,
}

/// What is wrong in a stored run.
#[derive(Debug, thiserror::Error)]
pub enum StoredRunError {
    /// No line at all.
    #[error("is empty: no run")]
    Empty,
    /// A line that is no JSON.
    #[error("no JSON object: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A line of JSON that is no object.
    #[error("no JSON object")]
    NotAnObject,
    /// An object with a missing or unreadable key.
    #[error(transparent)]
    Object(#[from] serde_json::Error),
    /// A key whose value must be a number.
    #[error("`{key}` is no number")]
    NotANumber {
        /// The key, with the table that it stands in.
        key: String,
    },
    /// A key whose value must be a text.
    #[error("`{key}` is no text")]
    NotAText {
        /// The key.
        key: &'static str,
    },
    /// A measured size of zero or below.
    #[error("`size` is not over 0")]
    SizeNotPositive,
    /// A line that is neither a measurement nor a fit.
    #[error("neither `figures` nor `fit`: no point and no slope")]
    UnknownLine,
    /// A line of another run than the first line's.
    #[error("`run` is '{found}', the first line's is '{expected}'")]
    OtherRun {
        /// The run that the line names.
        found: String,
        /// The run that the first line names.
        expected: String,
    },
    /// A second fit of the same figure.
    #[error("`fit` {figure} over {varied} in {part}: stands there already")]
    DuplicateFit {
        /// The figure.
        figure: String,
        /// The count that was varied.
        varied: &'static str,
        /// The part of the run.
        part: &'static str,
    },
}

/// What is wrong with the markers of the page's generated blocks.
#[derive(Debug, thiserror::Error)]
pub enum MarkerError {
    /// A block without this marker.
    #[error("the marker '{marker}' is missing")]
    Missing {
        /// The marker.
        marker: String,
    },
    /// A marker that stands more than once.
    #[error("the marker '{marker}' stands there {count} times")]
    Repeated {
        /// The marker.
        marker: String,
        /// How often it stands there.
        count: usize,
    },
    /// An end that stands before its begin.
    #[error("the marker '{end}' stands before '{begin}'")]
    Reversed {
        /// The marker that begins the block.
        begin: String,
        /// The marker that ends it.
        end: String,
    },
}
