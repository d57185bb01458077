//! Parsing of the first lines that clients send. It owns their format and must never access a
//! socket, a clock or a flow. The names of the wire format are used in this module only.

use std::str::Split;

use arrayvec::ArrayVec;
use nettlemux_settings::parse_number;
use thiserror::Error;

/// Words that start a first line.
mod command {
    /// Asks for a connection to a server.
    pub const CONNECT: &str = "OPEN";
    /// Asks whether the balancer is alive.
    pub const PING: &str = "PING";
    /// Asks for a load report.
    pub const LOAD_REPORT: &str = "STATS";
}

/// Names of the values in a first line.
mod key {
    /// The traffic class.
    pub const CLASS: &str = "c";
    /// How long the client waits for an answer, in milliseconds.
    pub const WAIT: &str = "d";
    /// The client's group.
    pub const GROUP: &str = "g";
    /// The tenant, by name or number.
    pub const TENANT: &str = "t";
    /// The server that had the connection before.
    pub const PREVIOUS_SERVER: &str = "at";
    /// The request is a retry.
    pub const RETRY: &str = "r";
    /// The client's connection broke or was migrated.
    pub const RECONNECTING: &str = "again";
}

/// The only allowed value of a flag.
const FLAG_SET: &str = "1";
/// Limit on the number of values, which is above that of any valid line. Bounds the time spent on
/// comparing names.
const VALUES_MAX: usize = 32;

/// What a first line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Request<'a> {
    /// A connection to a server.
    Connect(ConnectRequest<'a>),
    /// Whether the balancer is alive.
    Ping,
    /// A load report.
    LoadReport,
}

/// The connection that a client asks for.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ConnectRequest<'a> {
    /// The client's id of the connection.
    pub id: &'a str,
    /// The flow's key.
    pub key: &'a str,
    /// The traffic class's name.
    pub class: &'a str,
    /// How long the client waits for an answer, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The client's group.
    pub group: Option<&'a str>,
    /// The tenant's name or number.
    pub tenant: Option<&'a str>,
    /// The client says that this is a retry.
    pub retry: bool,
    /// The server that had the connection before.
    pub previous_server: Option<&'a str>,
    /// The client's connection broke or was migrated.
    pub reconnecting: bool,
}

/// Why a first line is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MalformedLine {
    /// The line is not UTF-8.
    #[error("expected UTF-8 text")]
    NotText,
    /// The line contains a control character.
    #[error("control character in the line")]
    ControlCharacter,
    /// The line doesn't start with a known command.
    #[error("expected OPEN, PING or STATS")]
    UnknownCommand,
    /// The client's id is missing.
    #[error("id is missing")]
    NoId,
    /// The flow's key is missing.
    #[error("key is missing")]
    NoKey,
    /// The values are missing.
    #[error("values are missing")]
    NoValues,
    /// The line continues after the values.
    #[error("expected an id, a key and values, found more")]
    TooManyParts,
    /// A value has no name.
    #[error("expected name=value, found no '='")]
    UnnamedValue,
    /// A name or its value is empty.
    #[error("empty name or value")]
    EmptyValue,
    /// Two values have the same name.
    #[error("duplicate name")]
    DuplicateName,
    /// There are more values than any valid line has.
    #[error("too many values")]
    TooManyValues,
    /// The wait doesn't fit into a `u64`.
    #[error("d is too large")]
    WaitTooLarge,
    /// The wait has characters other than digits.
    #[error("expected a whole number for d")]
    WaitNotWhole,
    /// A flag has a value other than 1.
    #[error("expected 1 for a flag")]
    FlagNotSet,
    /// The value of an unknown name is not a number.
    #[error("expected a number for an unknown name")]
    NotANumber,
    /// The traffic class is missing.
    #[error("c, the traffic class, is missing")]
    NoClass,
}

/// Parses a first line, without its line ending. Any line that a real client would not send is an
/// error. The parser must not guess what such a line means, since servers may guess differently.
///
/// # Errors
/// If the line is malformed. The error says why.
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
    /// Sets one value. Values with unknown names must be numbers, and are ignored.
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

/// Parses a wait: digits only, without a sign, that fit into a `u64`.
fn parse_wait(value: &str) -> Result<u64, MalformedLine> {
    if !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(MalformedLine::WaitNotWhole);
    }
    value.parse().map_err(|_| MalformedLine::WaitTooLarge)
}

#[cfg(test)]
mod tests;
