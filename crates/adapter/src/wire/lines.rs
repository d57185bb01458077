//! The lines of the input, counted.

use std::io::BufRead;

use super::error::{WireError, WireProblem};

/// The lines of the input.
pub struct Lines<R> {
    input: R,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    /// Returns the lines of `input`, none of them read.
    pub fn new(input: R) -> Self {
        Lines { input, number: 0 }
    }

    /// Returns the number of the line that was read last, from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Reads the next line, without its end; `None` at the end of input.
    ///
    /// # Errors
    /// Where the input can't be read.
    pub fn next_line(&mut self) -> Result<Option<String>, WireError> {
        let mut line = String::new();
        self.number += 1;
        let length = self
            .input
            .read_line(&mut line)
            .map_err(|e| WireError::new("line", WireProblem::NotRead(e)))?;
        line.truncate(line.trim_end_matches(['\n', '\r']).len());
        Ok((length > 0).then_some(line))
    }

    /// Reads the next line of a batch, in which `field` is expected.
    ///
    /// # Errors
    /// Where the input ends or can't be read.
    pub fn expect_line(&mut self, field: &str) -> Result<String, WireError> {
        self.next_line()?
            .ok_or_else(|| WireError::new(field, WireProblem::InputEnded))
    }
}
