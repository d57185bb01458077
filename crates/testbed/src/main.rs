//! `nettlemux-testbed`: the command line of the testbed. It parses arguments, prints the output and
//! sets the exit code, and does nothing else.

mod capacity_command;
mod cli;
mod commands;
mod report;

use std::io::Write;
use std::process::ExitCode;

use nettlemux_testbed::scale::allocation::CountingAllocator;

/// Counts the memory that the policy holds, for scale runs.
#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Exit code of a command that failed with an error.
const EXIT_ERROR: u8 = 2;
/// Exit code of a run without a valid result because the machine was too slow.
const EXIT_VOID: u8 = 3;

fn main() -> ExitCode {
    match commands::run(cli::command().run()) {
        Ok(output) => {
            // A reader may close the pipe early: this is not an error.
            let _ = std::io::stdout().write_all(output.text.as_bytes());
            match output.passed {
                _ if output.void => ExitCode::from(EXIT_VOID),
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
        Err(error) => {
            eprintln!("nettlemux-testbed: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
