//! Reading the parts of a line; every complaint names line and field.

use std::str::FromStr;

use nettlemux_policy::{AttemptEnd, Endpoint, EndpointState, LoadReport, Time};
use nettlemux_settings::LoadReportFormat;
pub use nettlemux_settings::{Malformed, Read};

const US: Time = 1_000;

/// The parts of one line, taken in order.
pub struct Parts<'a> {
    rest: Option<&'a str>,
}

impl<'a> Parts<'a> {
    pub fn new(line: &'a str) -> Self {
        Parts { rest: Some(line) }
    }

    pub fn word(&mut self, field: &str) -> Read<&'a str> {
        let rest = self.rest.ok_or_else(|| Malformed::new(field, "missing"))?;
        let (word, rest) = match rest.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if word.is_empty() {
            Err(Malformed::new(field, "empty"))
        } else {
            Ok(word)
        }
    }

    /// `None` where the value is absent.
    pub fn maybe<T: FromStr>(&mut self, field: &str) -> Read<Option<T>> {
        let word = self.word(field)?;
        if word == "-" {
            return Ok(None);
        }
        word.parse()
            .map(Some)
            .map_err(|_| Malformed::new(field, format!("can't read '{word}'")))
    }

    pub fn get<T: FromStr>(&mut self, field: &str) -> Read<T> {
        self.maybe(field)?
            .ok_or_else(|| Malformed::new(field, "absent"))
    }

    pub fn flag(&mut self, field: &str) -> Read<bool> {
        match self.word(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(Malformed::new(
                field,
                format!("'{other}' is neither 0 nor 1"),
            )),
        }
    }

    /// A span or moment in microseconds; one below zero counts as zero.
    pub fn time(&mut self, field: &str) -> Read<Time> {
        let us: i64 = self.maybe(field)?.unwrap_or(0);
        Ok(us.max(0) as Time * US)
    }

    pub fn text(&mut self, field: &str) -> Read<&'a str> {
        self.rest
            .take()
            .ok_or_else(|| Malformed::new(field, "missing"))
    }

    pub fn end(self) -> Read<()> {
        match self.rest {
            None => Ok(()),
            Some(rest) => Err(Malformed::new(
                "end of line",
                format!("unexpected '{rest}'"),
            )),
        }
    }
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Bytes as hex digits; `-` is none.
pub fn bytes(text: &str) -> Read<Vec<u8>> {
    let malformed = || Malformed::new("content", format!("'{text}' is no hex"));
    if text == "-" {
        return Ok(Vec::new());
    }
    let whole = text.is_ascii() && text.len().is_multiple_of(2);
    let pairs = (0..text.len() / 2).map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok());
    if whole {
        pairs.collect::<Option<_>>().ok_or_else(malformed)
    } else {
        Err(malformed())
    }
}

pub fn micros(time: Time) -> Time {
    time / US
}

pub fn end(word: &str) -> Read<(AttemptEnd, bool)> {
    // Beside each, whether it proves that the attempt never ran.
    Ok(match word {
        "pass" => (AttemptEnd::Done, false),
        "fault" => (AttemptEnd::Error, false),
        "no_room" => (AttemptEnd::Overloaded, true),
        "too_slow" => (AttemptEnd::TimedOut, false),
        "no_route" => (AttemptEnd::Unreachable, true),
        "cut" => (AttemptEnd::ConnectionLost, false),
        "undone" => (AttemptEnd::Cancelled, false),
        "stale_send" => (AttemptEnd::NotSent, true),
        other => {
            return Err(Malformed::new(
                "reason",
                format!("unknown outcome '{other}'"),
            ));
        }
    })
}

pub fn entry(line: &str) -> Read<Endpoint> {
    let mut parts = Parts::new(line);
    let word = parts.word("entry")?;
    if word != "M" {
        return Err(Malformed::new(
            "entry",
            format!("'{word}' is no list entry"),
        ));
    }
    let server_id = parts.get("server")?;
    let zone = parts.maybe("locality")?.unwrap_or(0);
    let machine = parts.maybe("machine")?.unwrap_or(0);
    let cell = parts.maybe("stripe")?.unwrap_or(0);
    let state = match parts.word("availability")? {
        "active" => EndpointState::Ready,
        "leaving" => EndpointState::Draining,
        "left" => EndpointState::Removed,
        other => {
            return Err(Malformed::new(
                "availability",
                format!("unknown state '{other}'"),
            ));
        }
    };
    let weight = parts.maybe("heft")?.unwrap_or(1.0);
    let started = parts.time("up-since")?;
    parts.end()?;
    Ok(Endpoint {
        server_id,
        zone,
        machine,
        cell,
        state,
        weight,
        started,
    })
}

/// A load report's pairs, set apart by commas; `-` where there is none.
pub fn report(word: &str, reports: &LoadReportFormat) -> Read<LoadReport> {
    if word == "-" {
        Ok(LoadReport::default())
    } else {
        reports.read(word, ':')
    }
}
