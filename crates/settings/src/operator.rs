//! The operator's file, in TOML. Each optional feature has a table of its own and is disabled if
//! that table is missing.

mod admission;
mod deprecated;
mod error;
mod file;
mod log;
mod peers;
mod schema;

pub use self::admission::{AdmissionKey, AdmissionSettings};
pub use self::deprecated::DeprecatedName;
pub use self::error::{OperatorFileError, OperatorFileProblem};
pub use self::file::OperatorFile;
pub use self::log::{Format, Level, Log};
pub use self::peers::Peers;
pub use self::schema::schema;

/// Parses the text of an operator's file.
///
/// # Errors
/// If the file is invalid. The error names the key, or the line if the key can't be determined. For
/// an unknown key it also names the nearest known key.
pub fn parse(text: &str) -> Result<OperatorFile, OperatorFileError> {
    let invalid = |e| OperatorFileError::invalid(e, text);
    let table: toml::Table = text.parse().map_err(invalid)?;
    let deprecated = deprecated::deprecated_names(&table);
    schema::check_keys(&toml::Value::Table(table))?;
    let file: OperatorFile = toml::from_str(text).map_err(invalid)?;
    if let Some(admission) = &file.admission {
        admission.check(deprecated::name_in_file("admission", &deprecated))?;
    }
    if let Some(peers) = &file.peers {
        peers.check(deprecated::name_in_file("peers.addresses", &deprecated))?;
    }
    Ok(OperatorFile { deprecated, ..file })
}
