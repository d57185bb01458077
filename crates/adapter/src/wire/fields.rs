//! The fields of a line.

use std::str::FromStr;

use nettlemux_policy::Time;

use super::error::{WireError, WireProblem};

/// The unit of times in the simulator's protocol, in nanoseconds.
pub(super) const MICROSECOND: Time = 1_000;
/// The text that stands for an absent value.
pub(super) const ABSENT: &str = "-";

/// The fields of one line, which are separated by spaces and parsed in order. Each method gets the
/// name of the field for its error messages.
pub(super) struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Returns the fields of `line`, starting with the first one.
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// Returns the text of the next field.
    pub fn word(&mut self, field: &str) -> Result<&'a str, WireError> {
        let rest = self.text(field)?;
        let word = match rest.split_once(' ') {
            Some((word, rest)) => {
                self.rest = Some(rest);
                word
            }
            None => rest,
        };
        match word {
            "" => Err(WireError::new(field, WireProblem::Empty)),
            _ => Ok(word),
        }
    }

    /// Parses the next field; `None` if its value is absent.
    pub fn optional<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, WireError> {
        let word = self.word(field)?;
        if word == ABSENT {
            return Ok(None);
        }
        let value = word.parse();
        value
            .map(Some)
            .map_err(|_| WireError::new(field, WireProblem::InvalidValue(word.to_string())))
    }

    /// Parses the next field, whose value must not be absent.
    pub fn required<T: FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        self.optional(field)?
            .ok_or_else(|| WireError::new(field, WireProblem::Absent))
    }

    /// Parses the next field as a flag. An absent flag is not set.
    pub fn flag(&mut self, field: &str) -> Result<bool, WireError> {
        match self.word(field)? {
            "1" => Ok(true),
            "0" | ABSENT => Ok(false),
            other => {
                let problem = WireProblem::InvalidFlag(other.to_string());
                Err(WireError::new(field, problem))
            }
        }
    }

    /// Parses the next field as a time in microseconds and returns it in nanoseconds. An absent or
    /// negative time is 0.
    pub fn time(&mut self, field: &str) -> Result<Time, WireError> {
        let micros: i64 = self.optional(field)?.unwrap_or(0);
        Ok(micros.max(0) as Time * MICROSECOND)
    }

    /// Returns the rest of the line.
    pub fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        self.rest
            .take()
            .ok_or_else(|| WireError::new(field, WireProblem::Missing))
    }

    /// Checks that there are no more fields.
    pub fn end(self) -> Result<(), WireError> {
        match self.rest {
            None => Ok(()),
            Some(rest) => {
                let problem = WireProblem::TrailingText(rest.to_string());
                Err(WireError::new("end of line", problem))
            }
        }
    }
}
