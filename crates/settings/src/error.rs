//! What can be wrong with the platform's settings, and with load reports.

use serde_json::Value;
use thiserror::Error;

/// A fault in the settings, and where it is.
#[derive(Debug, Error)]
#[error("field '{field}': {problem}")]
pub struct SettingsError {
    /// The path of the field at fault, its parts set apart by `/`.
    pub field: String,
    /// What is wrong with it.
    #[source]
    pub problem: SettingsProblem,
}

impl SettingsError {
    pub(crate) fn new(field: &str, problem: SettingsProblem) -> Self {
        SettingsError {
            field: field.to_string(),
            problem,
        }
    }
}

/// What is wrong with a field of the settings.
#[derive(Debug, Error)]
pub enum SettingsProblem {
    /// The text is no JSON.
    #[error("no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The settings are no object.
    #[error("no object")]
    NotAnObject,
    /// A setting without a default is missing.
    #[error("missing setting")]
    Missing,
    /// The value has the wrong type.
    #[error("can't use {0}")]
    Unusable(Value),
    /// The value is no list.
    #[error("is no list")]
    NotAList,
    /// A traffic class has an unknown kind of idempotency.
    #[error("unknown kind '{0}'")]
    UnknownIdempotency(String),
    /// A traffic class has an unknown deduplication scope.
    #[error("unknown scope '{0}'")]
    UnknownScope(String),
    /// An entry of a list has no name, or the name of another.
    #[error("a name is missing or comes twice")]
    MissingOrDuplicateName,
    /// A part of a load report is no pair of a name and a number.
    #[error("'{0}' is no pair")]
    NotAPair(String),
}
