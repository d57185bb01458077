//! The lines of the input and their numbers.

use std::io::BufRead;

use super::error::{WireError, WireProblem};

/// Reads the input line by line and counts the lines.
pub struct Lines<R> {
    input: R,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    /// Returns a reader of the lines of `input`.
    pub fn new(input: R) -> Self {
        Lines { input, number: 0 }
    }

    /// Returns the number of the line that was read last. The first line has the number 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the next line without its line ending, `None` at the end of input.
    ///
    /// # Errors
    /// Returns an error if the input can't be read.
    pub fn next_line(&mut self) -> Result<Option<String>, WireError> {
        let mut line = String::new();
        self.number += 1;
        let length = self
            .input
            .read_line(&mut line)
            .map_err(|e| WireError::new("line", WireProblem::ReadFailed(e)))?;
        line.truncate(line.trim_end_matches(['\n', '\r']).len());
        Ok((length > 0).then_some(line))
    }

    /// Returns the next line of a batch. An error names `field`, the field that is expected in the
    /// line.
    ///
    /// # Errors
    /// Returns an error if the input ends or can't be read.
    pub fn expect_line(&mut self, field: &str) -> Result<String, WireError> {
        self.next_line()?
            .ok_or_else(|| WireError::new(field, WireProblem::UnexpectedEndOfInput))
    }
}
