//! Follows a server's lines as they pass, split or joined. It owns the part of the last line that
//! it needs to read it, and must never change or hold back what passes.

use nettlemux_policy::{AttemptEnd, LoadReport};
use nettlemux_settings::{LoadReportFormat, parse_number};

use super::{read_report, split_word, word};

/// Bytes that are kept of a line to read it: enough for a connection's load, or an end with its
/// load report.
const KEPT_BYTES_MAX: usize = 128;

/// How a server has said that its connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionEnd {
    /// Why it ends.
    pub end: AttemptEnd,
    /// The load report that came with the end; empty where none did.
    pub report: LoadReport,
}

/// Reads the lines of an open connection as their bytes pass.
pub struct LineScanner {
    report_format: LoadReportFormat,
    /// The current line's first bytes.
    kept: [u8; KEPT_BYTES_MAX],
    /// The current line's length so far.
    length: usize,
    last_end: Option<ConnectionEnd>,
}

impl LineScanner {
    /// Returns a scanner that stands between two lines.
    pub fn new(report_format: LoadReportFormat) -> Self {
        LineScanner {
            report_format,
            kept: [0; KEPT_BYTES_MAX],
            length: 0,
            last_end: None,
        }
    }

    /// Takes the bytes that pass and returns the last load of the connection that a line in them
    /// reports.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<f64> {
        let mut load = None;
        for byte in bytes {
            if *byte == b'\n' {
                load = self.end_line().or(load);
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

    fn end_line(&mut self) -> Option<f64> {
        let kept = &self.kept[..self.length.min(KEPT_BYTES_MAX)];
        let line = std::str::from_utf8(kept).ok()?.trim_end();
        let (word, rest) = split_word(line);
        self.last_end = end_of(word).map(|end| ConnectionEnd {
            end,
            report: read_report(rest, &self.report_format),
        });
        if word == word::CONNECTION_LOAD {
            parse_number(rest).filter(|load| *load >= 0.0)
        } else {
            None
        }
    }

    /// Returns how the server has said that the connection ends, where its last line said so.
    pub fn last_end(&self) -> Option<ConnectionEnd> {
        self.last_end
    }

    /// Returns whether all lines that have begun are complete.
    pub fn is_between_lines(&self) -> bool {
        self.length == 0
    }
}

/// The end that a line's first word says.
fn end_of(word: &str) -> Option<AttemptEnd> {
    match word {
        word::DONE => Some(AttemptEnd::Done),
        word::MIGRATE => Some(AttemptEnd::Cancelled),
        word::FAILED => Some(AttemptEnd::Error),
        _ => None,
    }
}
