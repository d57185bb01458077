//! The errors of the simulator's protocol.

use std::io;

use nettlemux_settings::SettingsError;
use thiserror::Error;

/// An error in the input or output, and the field that contains it.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field is malformed, or refers to something that doesn't exist.
    #[error("field '{field}': {problem}")]
    Field {
        /// The name of the field.
        field: String,
        /// What is wrong with the field.
        #[source]
        problem: WireProblem,
    },
    /// The settings or a load report is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl WireError {
    /// Returns the error for the field of this name.
    pub fn new(field: &str, problem: WireProblem) -> Self {
        WireError::Field {
            field: field.to_string(),
            problem,
        }
    }
}

/// What is wrong with a field.
#[derive(Debug, Error)]
pub enum WireProblem {
    /// The line ends before the field.
    #[error("missing, the line ends before it")]
    Missing,
    /// The field has no characters.
    #[error("empty, expected a value")]
    Empty,
    /// The value is `-`, which stands for an absent value, but the field is required.
    #[error("absent ('-'), expected a value")]
    Absent,
    /// The value is not of the field's type.
    #[error("invalid value '{0}'")]
    InvalidValue(String),
    /// A flag has an unknown value.
    #[error("expected 0, 1 or '-', found '{0}'")]
    InvalidFlag(String),
    /// The line has text after its last field.
    #[error("expected no more fields, found '{0}'")]
    TrailingText(String),
    /// Bytes are not encoded as pairs of hex digits.
    #[error("expected pairs of hex digits, found '{0}'")]
    InvalidHex(String),
    /// The outcome of an attempt or a health check is unknown.
    #[error("unknown outcome '{0}'")]
    UnknownOutcome(String),
    /// A line of an endpoint table has the wrong first word.
    #[error("expected an endpoint that starts with 'M', found '{0}'")]
    InvalidEndpointLine(String),
    /// The state of an endpoint is unknown.
    #[error("unknown endpoint state '{0}'")]
    UnknownEndpointState(String),
    /// The kind of an endpoint list update is unknown.
    #[error("unknown kind of endpoint list update '{0}'")]
    UnknownEndpointUpdate(String),
    /// There is no endpoint table with this number.
    #[error("no endpoint table with number {0}")]
    UnknownTable(u64),
    /// The event is unknown.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// A line outside a batch is not the start of a batch.
    #[error("expected BEGIN_BATCH, found '{0}'")]
    OutsideBatch(String),
    /// No balancer was selected before an event.
    #[error("expected an ON line before the first event of the batch")]
    NoBalancerSelected,
    /// There is no balancer with this name.
    #[error("no balancer with name '{0}' is running")]
    BalancerNotRunning(String),
    /// The input ends within a batch.
    #[error("input ends inside a batch")]
    UnexpectedEndOfInput,
    /// Reading the input failed.
    #[error("reading the input failed: {0}")]
    ReadFailed(#[source] io::Error),
    /// Writing the output failed.
    #[error("writing the output failed: {0}")]
    WriteFailed(#[source] io::Error),
}
