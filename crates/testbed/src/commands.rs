//! The commands: each loads what it is asked for, runs it and returns what is printed.

mod comparison;
mod error;
mod files;
mod simulated;
mod sockets;
mod sweep;

pub use error::CommandError;

use crate::capacity_command;
use crate::cli::Command;
use crate::report::Output;

/// Runs a command.
///
/// # Errors
/// Says what is wrong with what was asked.
pub fn run(command: Command) -> Result<Output, CommandError> {
    match command {
        Command::Simulate(arguments) => simulated::simulate_scenario(arguments),
        Command::Compare(arguments) => comparison::compare(arguments),
        Command::Sweep(arguments) => sweep::sweep(&arguments),
        Command::Hunt(arguments) => simulated::hunt(&arguments),
        Command::Judge(arguments) => simulated::check_record(&arguments),
        Command::Run(arguments) => sockets::run_scenario(arguments),
        Command::Scale(arguments) => sockets::run_scale(&arguments),
        Command::SelfCheck(arguments) => sockets::self_check(&arguments),
        Command::Capacity(arguments) => {
            let (text, passed) = capacity_command::run(&arguments)?;
            Ok(Output::new(text, passed))
        }
        Command::FaultyBalancer(arguments) => sockets::run_faulty_balancer(&arguments.name),
    }
}
