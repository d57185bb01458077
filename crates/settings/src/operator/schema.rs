//! The JSON schema of the operator's file, and the check of a file's keys against this schema.

use serde_json::Value;

use super::deprecated::current_name;
use super::error::{OperatorFileError, OperatorFileProblem};
use super::file::OperatorFile;
use crate::names::unknown_names;

/// Returns the JSON schema of the operator's file (draft 2020-12).
pub fn schema() -> Value {
    schemars::schema_for!(OperatorFile).to_value()
}

/// Checks that each key of the file, in every table, is in the schema.
pub(super) fn check_keys(file: &toml::Value) -> Result<(), OperatorFileError> {
    let schema = schema();
    check_value(file, &schema, &schema, "")
}

/// Checks the keys of `value`, whose path is `path` and whose schema is `schema`. References in
/// `schema` are resolved in `root`.
fn check_value(
    value: &toml::Value,
    schema: &Value,
    root: &Value,
    path: &str,
) -> Result<(), OperatorFileError> {
    let schema = resolve(schema, root);
    let (Some(table), Some(properties)) = (value.as_table(), schema.get("properties")) else {
        return Ok(());
    };
    let properties = properties.as_object().into_iter().flatten();
    let names: Vec<&str> = properties.map(|(name, _)| name.as_str()).collect();
    for (name, inner) in table {
        let inner_path = match path {
            "" => name.clone(),
            _ => format!("{path}.{name}"),
        };
        let current = current_name(&inner_path, name);
        if let Some(unknown) = unknown_names([current], &names).next() {
            return Err(OperatorFileError {
                key: inner_path,
                problem: OperatorFileProblem::UnknownKey(unknown.hint),
            });
        }
        check_value(inner, &schema["properties"][current], root, &inner_path)?;
    }
    Ok(())
}

/// Resolves the references of a schema. The schema of an optional table has alternatives: a
/// reference and `null`.
fn resolve<'a>(schema: &'a Value, root: &'a Value) -> &'a Value {
    let reference = schema.get("$ref").and_then(Value::as_str);
    let target = reference.and_then(|reference| root.pointer(reference.strip_prefix('#')?));
    let schema = target.unwrap_or(schema);
    let alternatives = schema.get("anyOf").and_then(Value::as_array);
    let mut alternatives = alternatives.into_iter().flatten();
    match alternatives.find(|alternative| alternative.get("$ref").is_some()) {
        Some(alternative) => resolve(alternative, root),
        None => schema,
    }
}
