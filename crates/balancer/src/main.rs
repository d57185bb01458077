//! nettlemux, a load balancer for long-lived connections: the program. It owns the start and the
//! end of the process, the command line, the configuration files, the log and the signals, and puts
//! the parts together. It must hold no logic of its own: decisions are made in `nettlemux-policy`,
//! and flows are carried by `nettlemux-dataplane`.
//!
//! The way through it: [`cli`] parses the arguments, [`startup`] reads the files and starts the
//! log, [`assembly`] builds the parts and runs them, [`signals`] and [`reload`] act on signals
//! meanwhile.

#![warn(missing_docs)]

mod assembly;
mod cli;
mod config;
mod config_error;
mod config_file;
mod log;
mod operator_file;
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
    // Before all else: until signals are caught, SIGHUP ends the process.
    let signals = signals::catch();
    let result = match cli::command().run() {
        Command::Serve {
            files,
            level,
            format,
        } => startup::serve(files, level, format, signals),
        Command::Check { files } => startup::check(&files),
        Command::Schema => {
            // A reader that closes its end early is no error.
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
