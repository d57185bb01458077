//! The commands `serve` and `check`: both read the files, and `serve` starts the log before it
//! builds the balancer.

use std::io;

use nettlemux_settings::operator::{self, DeprecatedName, Format};
use signal_hook::iterator::Signals;
use tracing::Level;

use crate::assembly::{self, Inputs};
use crate::cli::Files;
use crate::config_file;
use crate::log;
use crate::operator_file;
use crate::panic_log;
use crate::start_error::StartError;

/// Runs the balancer until it is told to terminate.
///
/// # Errors
/// If the balancer can't start, or a service that it needs has failed permanently.
pub fn serve(
    files: Files,
    level: Option<Level>,
    format: Option<Format>,
    signals: io::Result<Signals>,
) -> Result<(), StartError> {
    let config = config_file::load_at_start(files.config.as_deref())?;
    let operator = operator_file::load_at_start(files.operator.as_deref())?;
    let level = level.unwrap_or(log_level(operator.log.level));
    let _guard = log::start(level, format.unwrap_or(operator.log.format));
    panic_log::install();
    config.warn_of_unknown_keys();
    operator_file::warn_of_deprecated(&operator);
    let signals = signals.map_err(StartError::Signals)?;
    assembly::serve(Inputs {
        config,
        operator,
        files,
        signals,
    })
}

/// Checks the files, and prints unknown keys and deprecated names.
///
/// # Errors
/// If one of the files can't be read or is invalid.
pub fn check(files: &Files) -> Result<(), StartError> {
    let config = config_file::load(files.config.as_deref())?;
    let operator = operator_file::load(files.operator.as_deref())?;
    for unknown in &config.unknown_keys {
        println!("{unknown}");
    }
    for DeprecatedName {
        deprecated,
        current,
    } in &operator.deprecated
    {
        println!("operator's file: '{deprecated}' is deprecated; use '{current}'");
    }
    println!(
        "{}: listens at {}, discovery agent at {}: configuration is valid",
        config.name, config.listen, config.discovery
    );
    Ok(())
}

fn log_level(level: operator::Level) -> Level {
    match level {
        operator::Level::Error => Level::ERROR,
        operator::Level::Warn => Level::WARN,
        operator::Level::Info => Level::INFO,
        operator::Level::Debug => Level::DEBUG,
        operator::Level::Trace => Level::TRACE,
    }
}
