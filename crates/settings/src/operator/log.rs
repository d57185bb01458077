//! What the log looks like.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What the log looks like.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The form of a line.
    pub format: Format,
    /// The least severe level that is logged; the command line's goes before it.
    pub level: Level,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[expect(
    missing_docs,
    reason = "docs of single levels would change the form of the schema"
)]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}
