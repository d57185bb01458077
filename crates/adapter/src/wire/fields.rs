//! The fields of one line.

use std::str::FromStr;

use nettlemux_policy::Time;

use super::error::{WireError, WireProblem};

/// The unit of times on the wire, in nanoseconds.
pub(super) const MICROSECOND: Time = 1_000;
/// An absent value.
pub(super) const ABSENT: &str = "-";

/// The fields of one line, taken in order. Each call names the field for its errors.
pub(super) struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Returns the fields of `line`, none of them taken.
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// Takes a field as it is written.
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

    /// Reads a value; `None` where it is absent.
    pub fn optional<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, WireError> {
        let word = self.word(field)?;
        if word == ABSENT {
            return Ok(None);
        }
        let value = word.parse();
        value
            .map(Some)
            .map_err(|_| WireError::new(field, WireProblem::Unreadable(word.to_string())))
    }

    /// Reads a value that may not be absent.
    pub fn required<T: FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        self.optional(field)?
            .ok_or_else(|| WireError::new(field, WireProblem::Absent))
    }

    /// Reads a flag, which is not set where it is absent.
    pub fn flag(&mut self, field: &str) -> Result<bool, WireError> {
        match self.word(field)? {
            "1" => Ok(true),
            "0" | ABSENT => Ok(false),
            other => {
                let problem = WireProblem::NotAFlag(other.to_string());
                Err(WireError::new(field, problem))
            }
        }
    }

    /// Reads microseconds as a time in nanoseconds: 0 where they are absent or below.
    pub fn time(&mut self, field: &str) -> Result<Time, WireError> {
        let micros: i64 = self.optional(field)?.unwrap_or(0);
        Ok(micros.max(0) as Time * MICROSECOND)
    }

    /// Takes the rest of the line.
    pub fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        self.rest
            .take()
            .ok_or_else(|| WireError::new(field, WireProblem::Missing))
    }

    /// Checks that the line has no further field.
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
