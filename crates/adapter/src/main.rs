//! Runs the balancers of a simulator. Reads batches of events on standard input and writes replies
//! with commands on standard output.
//!
//! The program owns the simulated balancers and the names of the simulator's protocol, which occur
//! only in the module `wire`. It must not make decisions: the load balancing policy makes them.

#![warn(missing_docs)]

mod balancer;
mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use host::SimulatorHost;
use wire::{Lines, WireError, WireProblem};

fn main() -> ExitCode {
    let mut lines = Lines::new(io::stdin().lock());
    match serve(&mut lines) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nettlemux-adapter: line {}: {error}", lines.number());
            ExitCode::FAILURE
        }
    }
}

/// Reads batches and replies to each of them, until the end of input.
fn serve<R: BufRead>(lines: &mut Lines<R>) -> Result<(), WireError> {
    let mut host = SimulatorHost::default();
    let mut stdout = io::stdout().lock();
    while let Some(line) = lines.next_line()? {
        if line.is_empty() {
            continue;
        }
        let now = wire::parse_batch_start(&line)?;
        let reply = host.handle_batch(now, lines)?;
        let written = stdout
            .write_all(reply.as_bytes())
            .and_then(|()| stdout.flush());
        written.map_err(|e| WireError::new("reply", WireProblem::WriteFailed(e)))?;
    }
    Ok(())
}
