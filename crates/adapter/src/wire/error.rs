//! What can be wrong on the wire.

use std::io;

use nettlemux_settings::SettingsError;
use thiserror::Error;

/// A fault on the wire, and the field that it is in.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field can't be read, or refers to what there is none of.
    #[error("field '{field}': {problem}")]
    Field {
        /// The field's name.
        field: String,
        /// What is wrong with it.
        #[source]
        problem: WireProblem,
    },
    /// The settings or a load report can't be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl WireError {
    /// Returns the error for a field.
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
    #[error("missing")]
    Missing,
    /// There is nothing between two spaces.
    #[error("empty")]
    Empty,
    /// The value is `-`, and is needed.
    #[error("absent")]
    Absent,
    /// The value has the wrong type.
    #[error("can't read '{0}'")]
    Unreadable(String),
    /// A flag has another value.
    #[error("'{0}' is neither 0 nor 1")]
    NotAFlag(String),
    /// The line goes on after its last field.
    #[error("unexpected '{0}'")]
    TrailingText(String),
    /// Bytes aren't written as hex digits.
    #[error("'{0}' is no hex")]
    NotHex(String),
    /// An attempt has ended in an unknown way.
    #[error("unknown outcome '{0}'")]
    UnknownOutcome(String),
    /// A line of an endpoint table has another form.
    #[error("'{0}' is no list entry")]
    NotAnEndpoint(String),
    /// An endpoint has an unknown state.
    #[error("unknown state '{0}'")]
    UnknownEndpointState(String),
    /// An update of the endpoint list has an unknown kind.
    #[error("unknown kind of news '{0}'")]
    UnknownEndpointUpdate(String),
    /// There is no endpoint table of that number.
    #[error("no list {0}")]
    UnknownTable(u64),
    /// The event is unknown.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// A line stands outside of a batch.
    #[error("'{0}' outside a batch")]
    OutsideBatch(String),
    /// An event comes before the balancer that it is for.
    #[error("no ON before")]
    NoBalancerSelected,
    /// There is no balancer of that name.
    #[error("'{0}' isn't running")]
    BalancerNotRunning(String),
    /// The input ends inside of a batch.
    #[error("input ends inside a batch")]
    InputEnded,
    /// The input can't be read.
    #[error("can't be read: {0}")]
    NotRead(#[source] io::Error),
    /// The output can't be written.
    #[error("can't be written: {0}")]
    NotWritten(#[source] io::Error),
}
