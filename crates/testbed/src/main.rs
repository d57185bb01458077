//! `nettlemux-testbed`: the command line of the testbed. It owns arguments, what is printed and the
//! exit code, and nothing else.

mod capacity_command;
mod cli;
mod commands;
mod report;

use std::io::Write;
use std::process::ExitCode;

use nettlemux_testbed::scale::allocation::CountingAllocator;

/// Counts what the policy keeps, for scale runs.
#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The exit code of a command that cannot do what it is asked.
const EXIT_FAULT: u8 = 2;
/// The exit code of a run that is no result, as the machine was too slow.
const EXIT_VOID: u8 = 3;

fn main() -> ExitCode {
    match commands::run(cli::command().run()) {
        Ok(output) => {
            // A reader that has seen enough is no fault.
            let _ = std::io::stdout().write_all(output.text.as_bytes());
            match output.passed {
                _ if output.void => ExitCode::from(EXIT_VOID),
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
        Err(error) => {
            eprintln!("nettlemux-testbed: {error}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}
