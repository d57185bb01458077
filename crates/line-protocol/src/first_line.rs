//! First lines, as clients send them. It owns their form, and must never touch a socket, a clock or
//! a flow. Names of the wire end here.

use std::str::Split;

use arrayvec::ArrayVec;
use nettlemux_settings::parse_number;
use thiserror::Error;

/// Words that begin a first line.
mod command {
    /// Asks for a connection.
    pub const CONNECT: &str = "OPEN";
    /// Asks whether the balancer is alive.
    pub const PING: &str = "PING";
    /// Asks for a load report.
    pub const LOAD_REPORT: &str = "STATS";
}

/// Names of the values of a first line.
mod key {
    /// The traffic class.
    pub const CLASS: &str = "c";
    /// How long the client waits, in milliseconds.
    pub const WAIT: &str = "d";
    /// The client's group.
    pub const GROUP: &str = "g";
    /// The tenant, by name or number.
    pub const TENANT: &str = "t";
    /// The server that held the connection before.
    pub const PREVIOUS_SERVER: &str = "at";
    /// The client retries.
    pub const RETRY: &str = "r";
    /// The client's connection broke or was migrated.
    pub const RECONNECTING: &str = "again";
}

/// The only value of a flag.
const FLAG_SET: &str = "1";
/// More values than any line has; guards against lines whose names are compared for long.
const VALUES_MAX: usize = 32;

/// What a first line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Request<'a> {
    /// A connection.
    Connect(ConnectRequest<'a>),
    /// Whether the balancer is alive.
    Ping,
    /// A load report.
    LoadReport,
}

/// The connection that a client asks for.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ConnectRequest<'a> {
    /// The client's own id of the connection.
    pub id: &'a str,
    /// The flow's key.
    pub key: &'a str,
    /// The traffic class's name.
    pub class: &'a str,
    /// How long the client waits, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The client's group.
    pub group: Option<&'a str>,
    /// The tenant's name or number.
    pub tenant: Option<&'a str>,
    /// The client says that it retries.
    pub retry: bool,
    /// The server that held the connection before.
    pub previous_server: Option<&'a str>,
    /// The client's connection broke or was migrated.
    pub reconnecting: bool,
}

/// Why a first line can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MalformedLine {
    /// It is not UTF-8.
    #[error("no text")]
    NotText,
    /// It has control characters.
    #[error("no line of text")]
    ControlCharacter,
    /// It begins with no known word.
    #[error("neither OPEN, PING nor STATS")]
    UnknownCommand,
    /// The client's id is missing.
    #[error("no id")]
    NoId,
    /// The flow's key is missing.
    #[error("no key")]
    NoKey,
    /// The values are missing.
    #[error("no values")]
    NoValues,
    /// Something comes after the values.
    #[error("more than an id, a key and values")]
    TooManyParts,
    /// A value has no name.
    #[error("a value has no name")]
    UnnamedValue,
    /// A name or its value is empty.
    #[error("a name or a value is empty")]
    EmptyValue,
    /// Two values have the same name.
    #[error("a name comes twice")]
    DuplicateName,
    /// There are more values than any line has.
    #[error("too many values")]
    TooManyValues,
    /// The wait has more digits than a time.
    #[error("d is too large")]
    WaitTooLarge,
    /// The wait has other characters than digits.
    #[error("d is no whole number")]
    WaitNotWhole,
    /// A flag has another value than 1.
    #[error("a mark is not 1")]
    FlagNotSet,
    /// A value that should be a number is none.
    #[error("a figure is no number")]
    NotANumber,
    /// The traffic class is missing.
    #[error("no class")]
    NoClass,
}

/// Reads a first line, without its end. Whatever a real client would not send is refused: it must
/// not be guessed what was meant, since servers guess differently.
///
/// # Errors
/// Why the line can't be read.
pub fn parse(line: &[u8]) -> Result<Request<'_>, MalformedLine> {
    let line = std::str::from_utf8(line).map_err(|_| MalformedLine::NotText)?;
    if line.contains(|c: char| c.is_control()) {
        return Err(MalformedLine::ControlCharacter);
    }
    match line {
        command::PING => return Ok(Request::Ping),
        command::LOAD_REPORT => return Ok(Request::LoadReport),
        _ => {}
    }
    let mut parts = line.split(' ');
    if parts.next() != Some(command::CONNECT) {
        return Err(MalformedLine::UnknownCommand);
    }
    parse_connect_request(parts)
}

fn parse_connect_request(mut parts: Split<'_, char>) -> Result<Request<'_>, MalformedLine> {
    let mut next_part = |missing| parts.next().filter(|part| !part.is_empty()).ok_or(missing);
    let mut request = ConnectRequest {
        id: next_part(MalformedLine::NoId)?,
        key: next_part(MalformedLine::NoKey)?,
        ..ConnectRequest::default()
    };
    let values = next_part(MalformedLine::NoValues)?;
    if parts.next().is_some() {
        return Err(MalformedLine::TooManyParts);
    }
    let mut names = ArrayVec::<&str, VALUES_MAX>::new();
    for pair in values.split(',') {
        let (name, value) = pair.split_once('=').ok_or(MalformedLine::UnnamedValue)?;
        if name.is_empty() || value.is_empty() {
            return Err(MalformedLine::EmptyValue);
        }
        if names.contains(&name) {
            return Err(MalformedLine::DuplicateName);
        }
        names
            .try_push(name)
            .map_err(|_| MalformedLine::TooManyValues)?;
        request.set(name, value)?;
    }
    if request.class.is_empty() {
        return Err(MalformedLine::NoClass);
    }
    Ok(Request::Connect(request))
}

impl<'a> ConnectRequest<'a> {
    /// Takes one value; values that the balancer doesn't know must be numbers.
    fn set(&mut self, name: &str, value: &'a str) -> Result<(), MalformedLine> {
        match name {
            key::CLASS => self.class = value,
            key::WAIT => self.wait_ms = Some(parse_wait(value)?),
            key::GROUP => self.group = Some(value),
            key::TENANT => self.tenant = Some(value),
            key::PREVIOUS_SERVER => self.previous_server = Some(value),
            key::RETRY | key::RECONNECTING if value != FLAG_SET => {
                return Err(MalformedLine::FlagNotSet);
            }
            key::RETRY => self.retry = true,
            key::RECONNECTING => self.reconnecting = true,
            _ if parse_number(value).is_none() => return Err(MalformedLine::NotANumber),
            _ => {}
        }
        Ok(())
    }
}

/// Reads a wait: no sign, and no more digits than a time can have.
fn parse_wait(value: &str) -> Result<u64, MalformedLine> {
    if !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(MalformedLine::WaitNotWhole);
    }
    value.parse().map_err(|_| MalformedLine::WaitTooLarge)
}

#[cfg(test)]
mod tests;
