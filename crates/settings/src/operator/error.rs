//! What can be wrong with an operator's file.

use std::net::SocketAddr;

use thiserror::Error;

use crate::names::NameHint;

/// A fault in an operator's file, and where it is.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("operator's file, key '{key}': {problem}")]
pub struct OperatorFileError {
    /// The key at fault with its tables before it, or the line in parentheses.
    pub key: String,
    /// What is wrong with it.
    #[source]
    pub problem: OperatorFileProblem,
}

impl OperatorFileError {
    /// The error for a text that is no TOML, or TOML of another form.
    pub(super) fn invalid(error: toml::de::Error, text: &str) -> Self {
        let line = error.span().map_or(1, |span| {
            let before = &text[..span.start.min(text.len())];
            before.matches('\n').count() + 1
        });
        OperatorFileError {
            key: format!("(line {line})"),
            problem: OperatorFileProblem::Invalid(error),
        }
    }
}

/// What is wrong with a key of an operator's file.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum OperatorFileProblem {
    /// The text is no TOML, or a value has the wrong type.
    #[error("{}", .0.message())]
    Invalid(#[source] toml::de::Error),
    /// The key is unknown.
    #[error("{0}")]
    UnknownKey(#[source] NameHint),
    /// A count is out of its range.
    #[error("{count} is not from {min} to {max}")]
    CountOutOfRange {
        /// The count in the file.
        count: usize,
        /// The least that is allowed.
        min: usize,
        /// The most that is allowed.
        max: usize,
    },
    /// A number is negative or not finite.
    #[error("{0} is not from 0 up")]
    NotFromZeroUp(f64),
    /// The weight of a key is out of its range.
    #[error("{weight} is not from {min} to {max}")]
    WeightOutOfRange {
        /// The weight in the file.
        weight: f64,
        /// The least that is allowed.
        min: f64,
        /// The most that is allowed.
        max: f64,
    },
    /// Weights belong to tenants, and the file has clients as keys.
    #[error("there are none where turns are by client")]
    WeightsByClient,
    /// The list of addresses is too long.
    #[error("{count} are over {max}")]
    TooManyAddresses {
        /// The addresses in the file.
        count: usize,
        /// The most that are allowed.
        max: usize,
    },
    /// An address can't be reached from the balancer's own.
    #[error("{address} can't be reached from {listen}")]
    UnreachableAddress {
        /// The address.
        address: SocketAddr,
        /// The balancer's own address.
        listen: SocketAddr,
    },
}
