//! Reading the parts of a line and the settings; every complaint names line and field.

use std::fmt;
use std::str::FromStr;

use nettlemux_policy::{End, Listed, Repeat, Report, Scope, ServiceType, State, Time};
use serde_json::Value;

const US: Time = 1_000;

#[derive(Debug)]
pub struct Malformed {
    pub field: String,
    pub why: String,
}

impl Malformed {
    pub fn new(field: &str, why: impl Into<String>) -> Self {
        Malformed { field: field.into(), why: why.into() }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "field '{}': {}", self.field, self.why)
    }
}

pub type Read<T> = Result<T, Malformed>;

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
        if word.is_empty() { Err(Malformed::new(field, "empty")) } else { Ok(word) }
    }

    /// `None` where the value is absent.
    pub fn maybe<T: FromStr>(&mut self, field: &str) -> Read<Option<T>> {
        let word = self.word(field)?;
        if word == "-" {
            return Ok(None);
        }
        word.parse().map(Some).map_err(|_| Malformed::new(field, format!("can't read '{word}'")))
    }

    pub fn get<T: FromStr>(&mut self, field: &str) -> Read<T> {
        self.maybe(field)?.ok_or_else(|| Malformed::new(field, "absent"))
    }

    pub fn flag(&mut self, field: &str) -> Read<bool> {
        match self.word(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(Malformed::new(field, format!("'{other}' is neither 0 nor 1"))),
        }
    }

    /// A span or moment in microseconds; one below zero counts as zero.
    pub fn time(&mut self, field: &str) -> Read<Time> {
        let us: i64 = self.maybe(field)?.unwrap_or(0);
        Ok(us.max(0) as Time * US)
    }

    pub fn text(&mut self, field: &str) -> Read<&'a str> {
        self.rest.take().ok_or_else(|| Malformed::new(field, "missing"))
    }

    pub fn end(self) -> Read<()> {
        match self.rest {
            None => Ok(()),
            Some(rest) => Err(Malformed::new("end of line", format!("unexpected '{rest}'"))),
        }
    }
}

pub fn micros(time: Time) -> Time {
    time / US
}

pub fn end(word: &str) -> Read<(End, bool)> {
    // Beside each, whether it proves that the connect never ran.
    Ok(match word {
        "pass" => (End::Done, false),
        "fault" => (End::Error, false),
        "no_room" => (End::Full, true),
        "too_slow" => (End::TimedOut, false),
        "no_route" => (End::Unreachable, true),
        "cut" => (End::Cut, false),
        "undone" => (End::CalledOff, false),
        "stale_send" => (End::NotSent, true),
        other => return Err(Malformed::new("reason", format!("unknown outcome '{other}'"))),
    })
}

pub fn entry(line: &str) -> Read<Listed> {
    let mut parts = Parts::new(line);
    let word = parts.word("entry")?;
    if word != "M" {
        return Err(Malformed::new("entry", format!("'{word}' is no list entry")));
    }
    let rs = parts.get("server")?;
    let hall = parts.maybe("locality")?.unwrap_or(0);
    let machine = parts.maybe("machine")?.unwrap_or(0);
    let cell = parts.maybe("stripe")?.unwrap_or(0);
    let state = match parts.word("availability")? {
        "active" => State::Ready,
        "leaving" => State::Draining,
        "left" => State::Gone,
        other => return Err(Malformed::new("availability", format!("unknown state '{other}'"))),
    };
    let weight = parts.maybe("heft")?.unwrap_or(1.0);
    let started = parts.time("up-since")?;
    parts.end()?;
    Ok(Listed { rs, hall, machine, cell, state, weight, started })
}

/// Load over capacity is `x0` where the settings say so, else the busy share.
pub fn report(word: &str, x0_is_load: bool) -> Read<Report> {
    let mut report = Report::default();
    if word == "-" {
        return Ok(report);
    }
    let mut busy = None;
    for pair in word.split(',') {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| Malformed::new("report", format!("'{pair}' is no pair")))?;
        let value = match value {
            "-" => continue,
            _ => value.parse().map_err(|_| Malformed::new("report", format!("can't read '{pair}'")))?,
        };
        match name {
            "x0" if x0_is_load => report.beta = Some(value),
            "busy" => busy = Some(value),
            "rif" => report.connections = Some(value),
            _ => {}
        }
    }
    report.beta = report.beta.or(busy);
    Ok(report)
}

/// The settings that the adapter hands on, each read where it is used.
pub struct Settings(Value);

impl Settings {
    pub fn parse(text: &str) -> Read<Self> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| Malformed::new("conf", format!("no JSON: {e}")))?;
        if value.is_object() { Ok(Settings(value)) } else { Err(Malformed::new("conf", "no object")) }
    }

    pub fn maybe(&self, path: &str) -> Option<&Value> {
        path.split('/').try_fold(&self.0, |value, key| value.get(key))
    }

    fn needed<T>(&self, path: &str, read: impl Fn(&Value) -> Option<T>) -> Read<T> {
        let value = self.maybe(path).ok_or_else(|| Malformed::new(path, "missing setting"))?;
        read(value).ok_or_else(|| Malformed::new(path, format!("can't use {value}")))
    }

    pub fn number(&self, path: &str) -> Read<f64> {
        self.needed(path, Value::as_f64)
    }

    pub fn flag(&self, path: &str) -> Read<bool> {
        self.needed(path, Value::as_bool)
    }

    pub fn time(&self, path: &str) -> Read<Time> {
        Ok((self.number(path)?.max(0.0) * US as f64) as Time)
    }

    pub fn text(&self, path: &str) -> Read<String> {
        self.needed(path, |value| value.as_str().map(String::from))
    }

    /// Each customer's share; none where there are no customers.
    pub fn shares(&self) -> Read<Vec<f64>> {
        let Some(Value::Array(list)) = self.maybe("accounts") else { return Ok(Vec::new()) };
        list.iter().map(|one| Settings(one.clone()).number("fraction")).collect()
    }

    pub fn service_types(&self) -> Read<Vec<ServiceType>> {
        let list = self.needed("service-types", |value| value.as_array().cloned())?;
        list.into_iter().map(Settings).map(|one| one.service_type()).collect()
    }

    fn service_type(self) -> Read<ServiceType> {
        let repeat = match self.text("repeat")?.as_str() {
            "free" => Repeat::Repeatable,
            "single_shot" => Repeat::OnceOnly,
            "guarded" => {
                let scope = match self.text("group")?.as_str() {
                    "all" => Scope::All,
                    "zone" => Scope::Hall,
                    "cell" => Scope::Cell,
                    other => return Err(Malformed::new("group", format!("unknown scope '{other}'"))),
                };
                Repeat::Referenced(scope, self.time("window")?)
            }
            other => return Err(Malformed::new("repeat", format!("unknown kind '{other}'"))),
        };
        Ok(ServiceType { setup_target: self.time("setup-target")?, value: self.number("value")?, repeat })
    }
}
