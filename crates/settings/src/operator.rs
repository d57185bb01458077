//! The operator's file, TOML: the home of all that operators may switch on, each feature in a table of its own, each off
//! where its table is missing. It owns the names and defaults of its keys and must never reach for a file or act on
//! what it says.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::keys;

/// The whole file; without one, the defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    pub log: Log,
}

/// What the log looks like.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub format: Format,
    /// The least that is told; the command line's word goes before this.
    pub level: Level,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faulty {
    /// The key at fault, its tables before it.
    pub key: String,
    pub why: String,
}

impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "operator's file, key '{}': {}", self.key, self.why)
    }
}

/// The file's JSON schema (draft 2020-12).
pub fn schema() -> Value {
    schemars::schema_for!(Operator).to_value()
}

/// Reads the file's text.
///
/// # Errors
/// Names the key at fault; an unknown one with the nearest known one.
pub fn parse(text: &str) -> Result<Operator, Faulty> {
    let place = |e: &toml::de::Error| {
        let line = e.span().map_or(1, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        Faulty { key: format!("(line {line})"), why: e.message().to_string() }
    };
    let table: toml::Table = text.parse().map_err(|e| place(&e))?;
    let schema = schema();
    unknown(&toml::Value::Table(table), &schema, &schema, "")?;
    toml::from_str(text).map_err(|e| place(&e))
}

/// Walks what the file says beside the schema, so that every table to come is checked alike.
fn unknown(value: &toml::Value, schema: &Value, whole: &Value, path: &str) -> Result<(), Faulty> {
    let schema = match schema.get("$ref").and_then(Value::as_str).and_then(|at| at.strip_prefix('#')) {
        Some(at) => whole.pointer(at).unwrap_or(schema),
        None => schema,
    };
    let (Some(table), Some(properties)) = (value.as_table(), schema.get("properties")) else { return Ok(()) };
    let names: Vec<&str> =
        properties.as_object().into_iter().flatten().map(|(name, _)| name.as_str()).collect();
    let full = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    keys::known(table.keys().map(String::as_str), &names)
        .map_err(|(key, why)| Faulty { key: full(&key), why })?;
    table.iter().try_for_each(|(key, inner)| unknown(inner, &properties[key.as_str()], whole, &full(key)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn files_are_read_and_faults_named() {
        assert_eq!(parse("").unwrap(), Operator::default());
        let read = parse("[log]\nformat = \"json\"\nlevel = \"debug\"").unwrap();
        assert_eq!(read.log, Log { format: Format::Json, level: Level::Debug });
        for (text, key, why) in [
            ("[lgo]", "lgo", "is 'log' meant?"),
            ("[log]\nfromat = \"json\"", "log.fromat", "is 'format' meant?"),
            ("\n[log]\nformat = \"jsn\"", "(line 3)", "json"),
            ("\n\n[log", "(line 3)", ""),
            ("[log]\nlevel = 3", "(line 2)", ""),
            ("log = 3", "(line 1)", ""),
        ] {
            let faulty = parse(text).unwrap_err();
            assert_eq!(faulty.key, key, "{text}: {faulty}");
            assert!(faulty.why.contains(why), "{text}: {faulty}");
        }
        assert!(schema()["properties"]["log"].is_object());
    }
}
