//! The lines of a reply.

use std::fmt::Write;

use nettlemux_flow_table::PolicyCommand;
use nettlemux_policy::Time;

use super::fields::MICROSECOND;

/// The last line of a reply.
const REPLY_END: &str = "NEXT";
/// The number that addresses a gossip message to all other balancers.
const ALL_BALANCERS: i32 = -1;
/// The number of the endpoint list that is polled.
const ENDPOINT_LIST: u64 = 1;

const STRING_WRITE: &str = "writing to a string can't fail";

/// Appends the commands of a balancer to a reply, unless there are none.
pub fn write_balancer_commands(reply: &mut String, balancer: &str, commands: &str) {
    if !commands.is_empty() {
        write!(reply, "AS {balancer}\n{commands}").expect(STRING_WRITE);
    }
}

/// Appends the end of a reply.
pub fn write_batch_end(reply: &mut String) {
    writeln!(reply, "{REPLY_END}").expect(STRING_WRITE);
}

/// Appends the command to set a timer that expires after `wait` nanoseconds.
pub fn write_timer(out: &mut String, number: u64, wait: Time) {
    writeln!(out, "TIMER {number} {}", micros(wait)).expect(STRING_WRITE);
}

/// Appends a command.
pub fn write_command(out: &mut String, command: PolicyCommand) {
    let written = match command {
        PolicyCommand::StartAttempt {
            flow,
            server_id,
            timeout,
            ..
        } => writeln!(out, "SUBMIT_TO {flow} {server_id} {}", micros(timeout)),
        PolicyCommand::Reject { flow, retry_after } => {
            writeln!(out, "DECLINE {flow} {}", micros(retry_after.unwrap_or(0)))
        }
        PolicyCommand::Fail { flow } => writeln!(out, "REPORT_FAILURE {flow}"),
        PolicyCommand::Migrate { flow } => writeln!(out, "GO_AWAY {flow}"),
        PolicyCommand::CancelAttempt { flow, number } => writeln!(out, "RECALL {flow} {number}"),
        PolicyCommand::CheckHealth { server_id } => writeln!(out, "PROBE {server_id}"),
        PolicyCommand::PollEndpoints => writeln!(out, "TRACK {ENDPOINT_LIST}"),
        PolicyCommand::Gossip(placement) => {
            writeln!(out, "NOTIFY {ALL_BALANCERS} {}", hex(&placement.to_bytes()))
        }
    };
    written.expect(STRING_WRITE);
}

fn micros(time: Time) -> Time {
    time / MICROSECOND
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
