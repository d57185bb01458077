//! Reads the operator's file. Its keys and defaults are defined in `nettlemux_settings::operator`.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use nettlemux_admission::AdmissionConfig;
use nettlemux_dataplane::retry;
use nettlemux_policy::Time;
use nettlemux_settings::operator::{self, OperatorFile};
use tracing::warn;

/// An error in the operator's file, or a failure to read it.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file can't be read.
    #[error("operator's file {}: can't read it: {source}", path.display())]
    ReadFailed { path: PathBuf, source: io::Error },
    /// The content is invalid; the message names the key.
    #[error("{0}")]
    Invalid(operator::OperatorFileError),
}

/// Reads the operator's file. Returns the defaults if `file` is `None`.
///
/// # Errors
/// If the file can't be read or is invalid.
pub fn load(file: Option<&Path>) -> Result<OperatorFile, OperatorFileError> {
    load_with(file, |file| fs::read_to_string(file))
}

/// Reads the file like [`load`], but retries transient read errors for a few seconds.
///
/// # Errors
/// If the file can't be read or is invalid.
pub fn load_at_start(file: Option<&Path>) -> Result<OperatorFile, OperatorFileError> {
    load_with(file, |file| {
        retry::retry_transient(|| fs::read_to_string(file))
    })
}

fn load_with(
    file: Option<&Path>,
    read: impl Fn(&Path) -> io::Result<String>,
) -> Result<OperatorFile, OperatorFileError> {
    let Some(file) = file else {
        return Ok(OperatorFile::default());
    };
    let text = read(file).map_err(|source| OperatorFileError::ReadFailed {
        path: file.into(),
        source,
    })?;
    operator::parse(&text).map_err(OperatorFileError::Invalid)
}

/// Logs a warning for each key that is written under a deprecated name.
pub fn warn_of_deprecated(operator: &OperatorFile) {
    for name in &operator.deprecated {
        warn!(
            old = name.deprecated,
            new = name.current,
            "deprecated name in the operator's file"
        );
    }
}

/// Returns the configuration of admission control. Tenant names are hashed with `seed`, which
/// differs with each start.
pub fn admission_config(
    admission: &operator::AdmissionSettings,
    seed: u64,
    retry_after_max: Time,
) -> AdmissionConfig {
    admission.config(retry_after_max, |name| {
        Some(nettlemux_admission::hash_key(seed, name.as_bytes()))
    })
}
