//! The files that commands read and write.

use std::path::{Path, PathBuf};

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_testbed::file::{self, ScenarioFileError};
use nettlemux_testbed::file_error::FileError;
use nettlemux_testbed::record::Writer;

/// Reads a scenario file.
///
/// # Errors
/// Names the file and the invalid key.
pub fn load_scenario(file: &Path) -> Result<Scenario, ScenarioFileError> {
    let (scenario, _) = file::load(file)?;
    Ok(scenario)
}

/// Creates the file of a record if one is requested.
///
/// # Errors
/// The file cannot be created.
pub fn create_record(file: Option<&PathBuf>) -> Result<Option<Writer>, FileError> {
    file.map(|file| Writer::create(file).map_err(FileError::at(file)))
        .transpose()
}
