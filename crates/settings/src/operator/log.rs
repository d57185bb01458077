//! Format and level of the log.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Format and level of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The format of a log line.
    pub format: Format,
    /// The least severe level that is logged. A level on the command line overrides it.
    pub level: Level,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[expect(
    missing_docs,
    reason = "doc comments on the levels would change the structure of the schema"
)]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}
