//! The words of the platform's protocol as servers speak it, and the answers that clients get in it. It owns their
//! form and must never touch a socket, a clock or a flow. Names of the wire end here.

use nettlemux_policy::{AttemptEnd, LoadReport, Time};
use nettlemux_settings::{LoadReportFormat, parse_number};

const MS: Time = nettlemux_policy::MS;

/// The line as it goes on: unchanged, but for how long we will wait.
pub fn onward(line: &[u8], wait: Time) -> Vec<u8> {
    let ms = (wait / MS).max(1).to_string();
    let values = line
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b' ')
        .nth(2)
        .map_or(line.len(), |v| v.0 + 1);
    let mut out = line[..values].to_vec();
    for (i, pair) in line[values..].split(|byte| *byte == b',').enumerate() {
        if i > 0 {
            out.push(b',');
        }
        if pair.starts_with(b"d=") {
            out.extend_from_slice(b"d=");
            out.extend_from_slice(ms.as_bytes());
        } else {
            out.extend_from_slice(pair);
        }
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// What a server says to a first line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Up,
    /// No connection: how the attempt ended, whether that proves that it never ran, and the load report.
    Ended(AttemptEnd, bool, LoadReport),
}

/// Reads a server's answer, with its end. Only a refusal to the letter proves that nothing ran. Guards against a spoilt one that is passed on as served: what isn't ended by
/// CRLF, or isn't one word with its receipt, no server has said.
pub fn answer(line: &[u8], reports: &LoadReportFormat) -> Answer {
    let Some(line) = line.strip_suffix(b"\r\n") else {
        return Answer::Ended(AttemptEnd::Error, false, LoadReport::default());
    };
    let line = String::from_utf8_lossy(line);
    let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
    let report = reports.parse(rest, '=').unwrap_or_default();
    match word {
        "UP" if !rest.is_empty() && rest.bytes().all(|byte| byte.is_ascii_graphic()) => Answer::Up,
        "BUSY" if line == "BUSY" || is_report(rest) => {
            Answer::Ended(AttemptEnd::Overloaded, true, report)
        }
        "BYE" => Answer::Ended(AttemptEnd::Done, false, report),
        "MOVE" => Answer::Ended(AttemptEnd::Cancelled, false, report),
        // `ERR`, and what no server should say: it may have run.
        _ => Answer::Ended(AttemptEnd::Error, false, report),
    }
}

/// Whether this is a load report by its form: names with values. A figure that can't be read is no fault of the answer.
fn is_report(text: &str) -> bool {
    let is_word = |word: &str| !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_graphic());
    text.split(',').all(|pair| {
        pair.split_once('=')
            .is_some_and(|(name, value)| is_word(name) && is_word(value))
    })
}

/// Reads a server's answer to a probe: whether it passed, and its report.
pub fn health_checked(line: &[u8], reports: &LoadReportFormat) -> (bool, LoadReport) {
    let line = String::from_utf8_lossy(line);
    let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
    (word == "PONG", reports.parse(rest, '=').unwrap_or_default())
}

pub const FAILED: &[u8] = b"ERR\r\n";
pub const PONG: &[u8] = b"PONG\r\n";
pub const NO: &[u8] = b"NO\r\n";
pub const MOVE: &[u8] = b"MOVE\r\n";

/// Rejected, with the Retry-After where there is one.
pub fn rejected(retry_after: Option<Time>) -> String {
    retry_after.map_or("BUSY\r\n".into(), |after| {
        format!("BUSY {}\r\n", after / MS)
    })
}

/// The end of the first line in these bytes: how long the line is, and where the next one begins.
pub fn line_end(bytes: &[u8]) -> Option<(usize, usize)> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = if end > 0 && bytes[end - 1] == b'\r' {
        end - 1
    } else {
        end
    };
    Some((line, end + 1))
}

/// So much of a line is kept to read it: `LOAD` and a number, or an end with its load report.
const KEPT: usize = 128;

/// Follows the lines of an open connection as they pass, split or joined.
pub struct Passing {
    reports: LoadReportFormat,
    line: [u8; KEPT],
    length: usize,
    /// How the server said that it ends, and its load report.
    pub last: Option<(AttemptEnd, LoadReport)>,
}

impl Passing {
    pub fn new(reports: LoadReportFormat) -> Self {
        Passing {
            reports,
            line: [0; KEPT],
            length: 0,
            last: None,
        }
    }

    /// Takes the bytes that pass and returns the last load told in them.
    pub fn pass(&mut self, bytes: &[u8]) -> Option<f64> {
        let mut load = None;
        for byte in bytes {
            if *byte == b'\n' {
                load = self.ended().or(load);
                self.length = 0;
            } else {
                if let Some(kept) = self.line.get_mut(self.length) {
                    *kept = *byte;
                }
                self.length += 1;
            }
        }
        load
    }

    fn ended(&mut self) -> Option<f64> {
        let line = std::str::from_utf8(&self.line[..self.length.min(KEPT)])
            .ok()?
            .trim_end();
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let end = match word {
            "BYE" => Some(AttemptEnd::Done),
            "MOVE" => Some(AttemptEnd::Cancelled),
            "ERR" => Some(AttemptEnd::Error),
            _ => None,
        };
        self.last = end.map(|end| (end, self.reports.parse(rest, '=').unwrap_or_default()));
        if word == "LOAD" {
            parse_number(rest).filter(|load| *load >= 0.0)
        } else {
            None
        }
    }

    pub fn between_lines(&self) -> bool {
        self.length == 0
    }
}

#[cfg(test)]
mod tests;
