//! The platform's line protocol between the balancer and servers, and the balancer's answers to
//! clients. This module owns the words and the format of these lines, and must never touch a
//! socket, a clock or a flow. Other modules don't use the words of the protocol.

mod line_scanner;

use nettlemux_policy::{AttemptEnd, LoadReport, MS, Time};
use nettlemux_settings::LoadReportFormat;

use crate::messages::AttemptOutcome;

pub use line_scanner::{ConnectionEnd, LineScanner};

/// The request to a server for its load report.
pub const REQUEST_LOAD_REPORT: &[u8] = b"STATS\r\n";
/// The ping to a server; its answer may include a load report.
pub const REQUEST_PING: &[u8] = b"PING\r\n";

/// The answer to a client whose flow has failed or whose line is invalid.
pub const REPLY_FAILED: &[u8] = b"ERR\r\n";
/// The answer to a ping of the balancer.
pub const REPLY_PONG: &[u8] = b"PONG\r\n";
/// The answer to a request for a load report; a balancer has none.
pub const REPLY_NO_LOAD_REPORT: &[u8] = b"NO\r\n";
/// Tells a client to reconnect, since its connection migrates to another server.
pub const REPLY_MIGRATE: &[u8] = b"MOVE\r\n";

/// The first words of a server's lines.
mod word {
    /// The server has accepted the client.
    pub const ACCEPTED: &str = "UP";
    /// The server has rejected the client due to overload and has executed nothing.
    pub const OVERLOADED: &str = "BUSY";
    /// The connection is done.
    pub const DONE: &str = "BYE";
    /// The client should reconnect and go to another server.
    pub const MIGRATE: &str = "MOVE";
    /// The connection has failed.
    pub const FAILED: &str = "ERR";
    /// The load of one connection.
    pub const CONNECTION_LOAD: &str = "LOAD";
    /// The server is alive.
    pub const PONG: &str = "PONG";
}

/// The prefix of the value that says how long the client waits, in milliseconds.
const WAIT_PREFIX: &[u8] = b"d=";
/// The number of spaces before the values of a first line.
const SPACES_BEFORE_VALUES: usize = 3;
/// Separates a name and its value in a load report.
const REPORT_SEPARATOR: char = '=';

/// Returns a client's first line in the form that is forwarded to a server. Only the wait value
/// changes: it becomes the time that the balancer waits.
pub fn forwarded_line(line: &[u8], wait: Time) -> Vec<u8> {
    let wait_ms = (wait / MS).max(1).to_string();
    let (head, values) = line.split_at(values_start(line));
    let mut forwarded = head.to_vec();
    for (index, value) in values.split(|byte| *byte == b',').enumerate() {
        if index > 0 {
            forwarded.push(b',');
        }
        if value.starts_with(WAIT_PREFIX) {
            forwarded.extend_from_slice(WAIT_PREFIX);
            forwarded.extend_from_slice(wait_ms.as_bytes());
        } else {
            forwarded.extend_from_slice(value);
        }
    }
    forwarded.extend_from_slice(b"\r\n");
    forwarded
}

/// Returns the offset of the values of a first line, or the line's length if it has no values.
fn values_start(line: &[u8]) -> usize {
    let spaces = line.iter().enumerate().filter(|(_, byte)| **byte == b' ');
    let mut positions = spaces.map(|(position, _)| position);
    positions
        .nth(SPACES_BEFORE_VALUES - 1)
        .map_or(line.len(), |position| position + 1)
}

/// A server's answer to a first line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAnswer {
    /// The server has accepted the client.
    Accepted,
    /// The server has not accepted the client, and the attempt has ended with this outcome.
    Ended(AttemptOutcome),
}

impl ServerAnswer {
    /// Parses a server's answer, including its line end. Only a well-formed rejection proves that
    /// the server executed nothing. A corrupted answer must not be forwarded as an acceptance. So
    /// every answer must end with CRLF, and an acceptance must consist of its word and a receipt,
    /// which is one printable word. Servers write no other acceptance.
    pub fn parse(line: &[u8], format: &LoadReportFormat) -> Self {
        let Some(line) = line.strip_suffix(b"\r\n") else {
            return ServerAnswer::Ended(AttemptOutcome::sent(AttemptEnd::Error));
        };
        let line = String::from_utf8_lossy(line);
        let (word, rest) = split_word(&line);
        let report = parse_report(rest, format);
        let ended = |end, known_unexecuted| {
            ServerAnswer::Ended(AttemptOutcome {
                end,
                known_unexecuted,
                report,
            })
        };
        match word {
            word::ACCEPTED if is_printable_word(rest) => ServerAnswer::Accepted,
            word::OVERLOADED if line == word::OVERLOADED || has_report_form(rest) => {
                ended(AttemptEnd::Overloaded, true)
            }
            word::DONE => ended(AttemptEnd::Done, false),
            word::MIGRATE => ended(AttemptEnd::Cancelled, false),
            // A failure or an unexpected answer: the server may have executed the request.
            _ => ended(AttemptEnd::Error, false),
        }
    }
}

/// Returns whether the text has the form of a load report: pairs of a name and a value. An
/// unreadable value doesn't make the answer malformed.
fn has_report_form(text: &str) -> bool {
    text.split(',').all(|pair| {
        pair.split_once(REPORT_SEPARATOR)
            .is_some_and(|(name, value)| is_printable_word(name) && is_printable_word(value))
    })
}

/// Returns whether the text is one word of printable ASCII characters.
fn is_printable_word(word: &str) -> bool {
    !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_graphic())
}

fn split_word(line: &str) -> (&str, &str) {
    line.split_once(' ').unwrap_or((line, ""))
}

fn parse_report(text: &str, format: &LoadReportFormat) -> LoadReport {
    format.parse(text, REPORT_SEPARATOR).unwrap_or_default()
}

/// A server's answer to a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckAnswer {
    /// Whether the server is healthy.
    pub passed: bool,
    /// The server's load report; empty if it sent none.
    pub report: LoadReport,
}

impl HealthCheckAnswer {
    /// Parses a server's answer, without its line end.
    pub fn parse(line: &[u8], format: &LoadReportFormat) -> Self {
        let line = String::from_utf8_lossy(line);
        let (word, rest) = split_word(&line);
        HealthCheckAnswer {
            passed: word == word::PONG,
            report: parse_report(rest, format),
        }
    }
}

/// Returns the answer to a client whose flow is rejected, with the Retry-After if there is one.
pub fn rejection_line(retry_after: Option<Time>) -> String {
    match retry_after {
        Some(retry_after) => format!("{} {}\r\n", word::OVERLOADED, retry_after / MS),
        None => format!("{}\r\n", word::OVERLOADED),
    }
}

/// The bounds of a line at the start of a buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LineBounds {
    /// The length of the line in bytes, without its line end.
    pub length: usize,
    /// The offset of the next line.
    pub next_start: usize,
}

/// Returns the bounds of the first line, or `None` if the line is incomplete. Lines end with CRLF
/// or with LF alone.
pub fn first_line(bytes: &[u8]) -> Option<LineBounds> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let has_carriage_return = end > 0 && bytes[end - 1] == b'\r';
    Some(LineBounds {
        length: end - usize::from(has_carriage_return),
        next_start: end + 1,
    })
}

#[cfg(test)]
mod tests;
