//! Errors in the platform's settings and in load reports.

use serde_json::Value;
use thiserror::Error;

/// An error in the settings or in a load report, with the field that it was found in.
#[derive(Debug, Error)]
#[error("field '{field}': {problem}")]
pub struct SettingsError {
    /// The path of the invalid field. Its parts are separated by `/`.
    pub field: String,
    /// What is wrong with the field.
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

/// What is wrong with a field of the settings or of a load report.
#[derive(Debug, Error)]
pub enum SettingsProblem {
    /// The text is not valid JSON.
    #[error("not valid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The settings are not a JSON object.
    #[error("expected a JSON object")]
    NotAnObject,
    /// A setting that has no default is missing.
    #[error("required setting is missing")]
    Missing,
    /// The value has the wrong type or is out of range.
    #[error("wrong type or out of range: {0}")]
    InvalidValue(Value),
    /// The value is not a list.
    #[error("expected a list")]
    NotAList,
    /// A traffic class has an unknown kind of idempotency.
    #[error("unknown kind of idempotency '{0}'")]
    UnknownIdempotency(String),
    /// A traffic class has an unknown deduplication scope.
    #[error("unknown deduplication scope '{0}'")]
    UnknownScope(String),
    /// An entry of a list has no name, or the same name as another entry.
    #[error("an entry has no name or the same name as another entry")]
    MissingOrDuplicateName,
    /// A part of a load report is not a pair of a name and a value.
    #[error("expected a pair of a name and a value, found '{0}'")]
    NotAPair(String),
}
