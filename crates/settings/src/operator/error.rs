//! Errors in an operator's file.

use std::net::SocketAddr;

use thiserror::Error;

use crate::names::NameHint;

/// An error in an operator's file, with the key that it was found at.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("operator's file, key '{key}': {problem}")]
pub struct OperatorFileError {
    /// The path of the invalid key, or the line number in parentheses.
    pub key: String,
    /// What is wrong with the key.
    #[source]
    pub problem: OperatorFileProblem,
}

impl OperatorFileError {
    /// The error for text that is not valid TOML, or that does not match the file's structure.
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
    /// The text is not valid TOML, or a value has the wrong type.
    #[error("{}", .0.message())]
    Invalid(#[source] toml::de::Error),
    /// The key is unknown.
    #[error("{0}")]
    UnknownKey(#[source] NameHint),
    /// A count is out of its range.
    #[error("expected a number from {min} to {max}, found {count}")]
    CountOutOfRange {
        /// The count in the file.
        count: usize,
        /// The lowest allowed value.
        min: usize,
        /// The highest allowed value.
        max: usize,
    },
    /// A number is negative or not finite.
    #[error("expected a finite number of at least 0, found {0}")]
    NegativeOrNotFinite(f64),
    /// The weight of a key is out of its range.
    #[error("expected a weight from {min} to {max}, found {weight}")]
    WeightOutOfRange {
        /// The weight in the file.
        weight: f64,
        /// The lowest allowed value.
        min: f64,
        /// The highest allowed value.
        max: f64,
    },
    /// Weights apply to tenants only, but the file sets clients as keys.
    #[error("weights apply to tenants only, but admission control is by client")]
    WeightsByClient,
    /// The list of addresses is too long.
    #[error("expected at most {max} addresses, found {count}")]
    TooManyAddresses {
        /// The number of addresses in the file.
        count: usize,
        /// The maximum number of addresses.
        max: usize,
    },
    /// An address can't be reached from the balancer's own address: it has another IP version, or
    /// port 0.
    #[error(
        "{address} can't be reached from {listen}: expected the same IP version and a port other than 0"
    )]
    UnreachableAddress {
        /// The unreachable address.
        address: SocketAddr,
        /// The balancer's own address.
        listen: SocketAddr,
    },
}
