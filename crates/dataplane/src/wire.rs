//! The platform's protocol as servers speak it, and the answers that clients get in it. It owns
//! their words and form, and must never touch a socket, a clock or a flow. Names of the wire end
//! here.

mod line_scanner;

use nettlemux_policy::{AttemptEnd, LoadReport, MS, Time};
use nettlemux_settings::LoadReportFormat;

use crate::messages::AttemptOutcome;

pub use line_scanner::{ConnectionEnd, LineScanner};

/// The request to a server for its load report.
pub const REQUEST_LOAD_REPORT: &[u8] = b"STATS\r\n";
/// The question whether a server is alive; it may bring a load report.
pub const REQUEST_PING: &[u8] = b"PING\r\n";

/// The answer to a client whose flow has failed, or whose line can't be used.
pub const REPLY_FAILED: &[u8] = b"ERR\r\n";
/// The answer to the question whether the balancer is alive.
pub const REPLY_PONG: &[u8] = b"PONG\r\n";
/// The answer to the request for a load report, which a balancer doesn't give.
pub const REPLY_NO_LOAD_REPORT: &[u8] = b"NO\r\n";
/// Tells a client to connect again, as its connection goes to another server.
pub const REPLY_MIGRATE: &[u8] = b"MOVE\r\n";

/// Words that begin a server's lines.
mod word {
    /// The server has accepted the client.
    pub const ACCEPTED: &str = "UP";
    /// The server has refused the client for load and run nothing.
    pub const OVERLOADED: &str = "BUSY";
    /// The connection is done.
    pub const DONE: &str = "BYE";
    /// The client is to go to another server.
    pub const MIGRATE: &str = "MOVE";
    /// The connection has failed.
    pub const FAILED: &str = "ERR";
    /// The load of one connection.
    pub const CONNECTION_LOAD: &str = "LOAD";
    /// The server is alive.
    pub const PONG: &str = "PONG";
}

/// Begins the value of a first line that says how long its client waits, in milliseconds.
const WAIT_PREFIX: &[u8] = b"d=";
/// Spaces before the values of a first line.
const SPACES_BEFORE_VALUES: usize = 3;
/// Between a name and its figure in a load report.
const REPORT_SIGN: char = '=';

/// Returns a client's first line as it goes to a server: unchanged, but for how long the balancer
/// waits.
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

/// Where the values of a first line begin; its end where it has none.
fn values_start(line: &[u8]) -> usize {
    let spaces = line.iter().enumerate().filter(|(_, byte)| **byte == b' ');
    let mut positions = spaces.map(|(position, _)| position);
    positions
        .nth(SPACES_BEFORE_VALUES - 1)
        .map_or(line.len(), |position| position + 1)
}

/// What a server answers to a first line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAnswer {
    /// The server has accepted the client.
    Accepted,
    /// No connection: how the attempt has ended.
    Ended(AttemptOutcome),
}

impl ServerAnswer {
    /// Reads a server's answer, with its end. Only a refusal to the letter proves that nothing ran.
    /// Guards against a spoilt answer that is passed on as an acceptance: no server has written
    /// what isn't ended by CRLF, or isn't one word with its receipt.
    pub fn parse(line: &[u8], format: &LoadReportFormat) -> Self {
        let Some(line) = line.strip_suffix(b"\r\n") else {
            return ServerAnswer::Ended(AttemptOutcome::sent(AttemptEnd::Error));
        };
        let line = String::from_utf8_lossy(line);
        let (word, rest) = split_word(&line);
        let report = read_report(rest, format);
        let ended = |end, known_unexecuted| {
            ServerAnswer::Ended(AttemptOutcome {
                end,
                known_unexecuted,
                report,
            })
        };
        match word {
            word::ACCEPTED if is_text(rest) => ServerAnswer::Accepted,
            word::OVERLOADED if line == word::OVERLOADED || is_report(rest) => {
                ended(AttemptEnd::Overloaded, true)
            }
            word::DONE => ended(AttemptEnd::Done, false),
            word::MIGRATE => ended(AttemptEnd::Cancelled, false),
            // A failure, and what no server should answer: it may have run.
            _ => ended(AttemptEnd::Error, false),
        }
    }
}

/// Whether this is a load report by its form: names with values. A figure that can't be read is no
/// fault of the answer.
fn is_report(text: &str) -> bool {
    text.split(',').all(|pair| {
        pair.split_once(REPORT_SIGN)
            .is_some_and(|(name, value)| is_text(name) && is_text(value))
    })
}

/// Whether this is one printable word.
fn is_text(word: &str) -> bool {
    !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_graphic())
}

fn split_word(line: &str) -> (&str, &str) {
    line.split_once(' ').unwrap_or((line, ""))
}

fn read_report(text: &str, format: &LoadReportFormat) -> LoadReport {
    format.parse(text, REPORT_SIGN).unwrap_or_default()
}

/// What a server answers to a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckAnswer {
    /// Whether the server is healthy.
    pub passed: bool,
    /// Its load report; empty where it gave none.
    pub report: LoadReport,
}

impl HealthCheckAnswer {
    /// Reads a server's answer, without its end.
    pub fn parse(line: &[u8], format: &LoadReportFormat) -> Self {
        let line = String::from_utf8_lossy(line);
        let (word, rest) = split_word(&line);
        HealthCheckAnswer {
            passed: word == word::PONG,
            report: read_report(rest, format),
        }
    }
}

/// Returns the answer to a client whose flow is rejected, with the Retry-After where there is one.
pub fn rejection(retry_after: Option<Time>) -> String {
    match retry_after {
        Some(retry_after) => format!("{} {}\r\n", word::OVERLOADED, retry_after / MS),
        None => format!("{}\r\n", word::OVERLOADED),
    }
}

/// Where a line stands that begins a buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LineBounds {
    /// The line's length in bytes, without its end.
    pub length: usize,
    /// Where the next line begins.
    pub next: usize,
}

/// Finds the first line that is complete; none while its end hasn't come. Lines are ended by CRLF,
/// or by LF alone.
pub fn first_line(bytes: &[u8]) -> Option<LineBounds> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let has_carriage_return = end > 0 && bytes[end - 1] == b'\r';
    Some(LineBounds {
        length: end - usize::from(has_carriage_return),
        next: end + 1,
    })
}

#[cfg(test)]
mod tests;
