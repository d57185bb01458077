//! Reads the operator's file, whose keys and defaults `nettlemux_settings::operator` owns.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use nettlemux_admission::AdmissionConfig;
use nettlemux_dataplane::retry;
use nettlemux_policy::Time;
use nettlemux_settings::operator::{self, DeprecatedName, OperatorFile};
use tracing::warn;

/// Why an operator's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file can't be read.
    #[error("operator's file {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    /// Names the key at fault.
    #[error("{0}")]
    Faulty(operator::OperatorFileError),
}

/// Reads the operator's file; without one, returns the defaults.
///
/// # Errors
/// If the file can't be read or used.
pub fn load(file: Option<&Path>) -> Result<OperatorFile, OperatorFileError> {
    load_by(file, |file| fs::read_to_string(file))
}

/// Reads the file as [`load`] does; a read that fails in a way that may pass is retried for a few
/// seconds.
///
/// # Errors
/// If the file can't be read or used.
pub fn load_at_start(file: Option<&Path>) -> Result<OperatorFile, OperatorFileError> {
    load_by(file, |file| {
        retry::retry_transient(|| fs::read_to_string(file))
    })
}

fn load_by(
    file: Option<&Path>,
    read: impl Fn(&Path) -> io::Result<String>,
) -> Result<OperatorFile, OperatorFileError> {
    let Some(file) = file else {
        return Ok(OperatorFile::default());
    };
    let text = read(file).map_err(|source| OperatorFileError::Unreadable {
        path: file.into(),
        source,
    })?;
    operator::parse(&text).map_err(OperatorFileError::Faulty)
}

/// Logs a warning for each key that has the name of an earlier version.
pub fn warn_of_deprecated(operator: &OperatorFile) {
    for DeprecatedName { old, new } in &operator.deprecated {
        warn!(old, new, "deprecated name in the operator's file");
    }
}

/// Returns admission control's configuration, with tenants' names turned into the keys of this run.
pub fn admission(
    keys: &operator::AdmissionSettings,
    seed: u64,
    retry_after_max: Time,
) -> AdmissionConfig {
    keys.config(retry_after_max, |name| {
        Some(nettlemux_admission::hash_key(seed, name.as_bytes()))
    })
}
