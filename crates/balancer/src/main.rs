//! The executable of nettlemux, a load balancer for long-lived connections. It owns process start
//! and exit, the command line, the configuration files, the log and the signals, and assembles the
//! components. It must not contain load-balancing logic: `nettlemux-policy` makes the decisions,
//! and `nettlemux-dataplane` carries the flows.
//!
//! Reading order: [`cli`] parses the arguments, [`startup`] reads the files and starts the log,
//! [`assembly`] builds and runs the components. While they run, [`signals`] and [`reload`] handle
//! signals.

#![warn(missing_docs)]

mod assembly;
mod cli;
mod config;
mod config_error;
mod config_file;
mod log;
mod operator_file;
mod panic_log;
mod re_exec;
mod reload;
mod signals;
mod start_error;
mod startup;

use std::io::Write;
use std::process::ExitCode;

use nettlemux_settings::operator;

use crate::cli::Command;

fn main() -> ExitCode {
    // Must come first: until the handlers are installed, SIGHUP terminates the process.
    let signals = signals::install_handlers();
    let result = match cli::command().run() {
        Command::Serve {
            files,
            level,
            format,
        } => startup::serve(files, level, format, signals),
        Command::Check { files } => startup::check(&files),
        Command::Schema => {
            // A write error is ignored: the reader may close the pipe early.
            let _ = writeln!(std::io::stdout(), "{:#}", operator::schema());
            Ok(())
        }
        Command::Version => {
            println!("nettlemux {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nettlemux: {error}");
            ExitCode::FAILURE
        }
    }
}
