//! Scans a server's lines while the relay forwards them, in chunks of any size. It owns the part of
//! the current line that it needs for parsing, and must never change or delay forwarded bytes.

use nettlemux_policy::{AttemptEnd, LoadReport};
use nettlemux_settings::{LoadReportFormat, parse_number};

use super::{parse_report, split_word, word};

/// The number of bytes of a line that are kept for parsing. Enough for a connection's load, or for
/// an end with its load report.
const KEPT_BYTES_MAX: usize = 128;

/// The end of a connection, as the server has announced it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionEnd {
    /// Why the connection ends.
    pub end: AttemptEnd,
    /// The load report that came with the end; empty if there was none.
    pub report: LoadReport,
}

/// Parses a server's lines on an open connection while their bytes are forwarded.
pub struct LineScanner {
    report_format: LoadReportFormat,
    /// The first bytes of the current line.
    kept: [u8; KEPT_BYTES_MAX],
    /// The length of the current line so far, in bytes.
    length: usize,
    /// The end that the last complete line has announced.
    announced_end: Option<ConnectionEnd>,
}

impl LineScanner {
    /// Returns a scanner that expects the start of a line.
    pub fn new(report_format: LoadReportFormat) -> Self {
        LineScanner {
            report_format,
            kept: [0; KEPT_BYTES_MAX],
            length: 0,
            announced_end: None,
        }
    }

    /// Scans forwarded bytes. Returns the load of the connection from the last line that ends in
    /// these bytes and reports one.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<f64> {
        let mut load = None;
        for byte in bytes {
            if *byte == b'\n' {
                load = self.parse_line().or(load);
                self.length = 0;
            } else {
                if let Some(kept) = self.kept.get_mut(self.length) {
                    *kept = *byte;
                }
                self.length += 1;
            }
        }
        load
    }

    /// Parses the current line, which is complete. Returns the load of the connection if the line
    /// reports it.
    fn parse_line(&mut self) -> Option<f64> {
        let kept = &self.kept[..self.length.min(KEPT_BYTES_MAX)];
        let line = std::str::from_utf8(kept).ok()?.trim_end();
        let (word, rest) = split_word(line);
        self.announced_end = announced_end(word).map(|end| ConnectionEnd {
            end,
            report: parse_report(rest, &self.report_format),
        });
        if word == word::CONNECTION_LOAD {
            parse_number(rest).filter(|load| *load >= 0.0)
        } else {
            None
        }
    }

    /// Returns the end of the connection, if the server's last complete line announced it.
    pub fn announced_end(&self) -> Option<ConnectionEnd> {
        self.announced_end
    }

    /// Returns whether no line is incomplete.
    pub fn is_between_lines(&self) -> bool {
        self.length == 0
    }
}

/// Returns the end that the first word of a line announces.
fn announced_end(word: &str) -> Option<AttemptEnd> {
    match word {
        word::DONE => Some(AttemptEnd::Done),
        word::MIGRATE => Some(AttemptEnd::Cancelled),
        word::FAILED => Some(AttemptEnd::Error),
        _ => None,
    }
}
