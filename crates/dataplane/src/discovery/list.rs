//! The agent's wire: the path of the endpoint list, and the JSON of its updates. It owns
//! nothing, and must never do I/O or judge a server. Names of the agent's wire end here.

use std::net::SocketAddr;

use nettlemux_policy::{EndpointState, MS, Time};
use serde_json::Value;
use thiserror::Error;
use tracing::warn;

use crate::messages::DiscoveredEndpoint;

/// Where the agent serves the list.
const LIST_PATH: &str = "/api/targets";

/// Names of the members of an update, and of an entry in it.
mod key {
    /// The list's version.
    pub const VERSION: &str = "generation";
    /// Whether the update is the complete list.
    pub const IS_COMPLETE: &str = "reset";
    /// The entries.
    pub const ENTRIES: &str = "instances";

    /// A server's name.
    pub const NAME: &str = "instanceId";
    /// Its IP address and port.
    pub const ADDRESS: &str = "hostPort";
    /// Its zone.
    pub const ZONE: &str = "zone";
    /// The type of its machine.
    pub const MACHINE: &str = "machineType";
    /// Its cell.
    pub const CELL: &str = "cell";
    /// Its state.
    pub const STATE: &str = "lifecycle";
    /// Its weight; 1 where it has none.
    pub const WEIGHT: &str = "weight";
    /// When it started, in milliseconds of Unix time; 0 stands for long ago.
    pub const STARTED_MS: &str = "startedAtMs";
}

/// Values of [`key::STATE`].
mod state {
    /// It takes connections.
    pub const READY: &str = "Ready";
    /// It takes no new connections.
    pub const DRAINING: &str = "Terminating";
    /// It is no longer listed.
    pub const REMOVED: &str = "Gone";
}

/// How deep an update may be nested; entries lie at the third level. Guards against a parser that
/// recurses past the end of a coroutine's stack, which ends the coroutine without a message: the
/// parser's own limit of 128 levels is too high there.
const NESTING_DEPTH_MAX: usize = 16;

/// The address of an endpoint that is listed without one.
const UNKNOWN_ADDRESS: ([u8; 4], u16) = ([0, 0, 0, 0], 0);

/// The latest start that an entry may have. Guards against an overflow in sums with a time.
const START_TIME_MAX: Time = Time::MAX / 2;

/// An update of the endpoint list: all entries, or those that have changed since a version.
#[derive(Debug, PartialEq)]
pub struct ListUpdate {
    /// The version that the list has with this update.
    pub version: u64,
    /// Whether the update is the complete list.
    pub is_complete: bool,
    /// The entries; those that can't be read are left out.
    pub entries: Vec<DiscoveredEndpoint>,
}

/// Why a text or a value is no update of the endpoint list.
#[derive(Debug, Error)]
pub enum ListUpdateError {
    /// It is nested deeper than any update.
    #[error("the answer is nested too deep")]
    TooDeep,
    /// It is no JSON.
    #[error(transparent)]
    NotJson(#[from] serde_json::Error),
    /// It has no version.
    #[error("'generation' is no number")]
    NoVersion,
    /// It doesn't say whether it is the complete list.
    #[error("'reset' is neither true nor false")]
    NoCompleteness,
    /// It has no list of entries.
    #[error("'instances' is no list")]
    NoEntries,
}

/// Why an entry of the list can't be used.
#[derive(Debug, Error)]
enum EntryError {
    /// The state is none of the known ones.
    #[error("{name}: 'lifecycle' is '{text}'")]
    UnknownState { name: String, text: String },
    /// A ready endpoint has no IP address with a port.
    #[error("{name}: 'hostPort' is no address")]
    NoAddress { name: String },
    /// The server has no name.
    #[error("'instanceId' is missing")]
    NoName,
}

/// Returns the path that requests the changes since a version, which the agent may hold for `hold`
/// until there are any; without a version, the path that requests the complete list.
pub(super) fn request_path(from_version: Option<u64>, hold: Time) -> String {
    match from_version {
        Some(version) => format!("{LIST_PATH}?from={version}&hold_ms={}", hold / MS),
        None => LIST_PATH.to_string(),
    }
}

/// Reads an update from the body of an HTTP response.
///
/// # Errors
/// The body is no JSON, or no update.
pub(super) fn parse_body(body: &[u8]) -> Result<ListUpdate, ListUpdateError> {
    if is_nested_deeper(body, NESTING_DEPTH_MAX) {
        return Err(ListUpdateError::TooDeep);
    }
    parse_list_update(&serde_json::from_slice(body)?)
}

/// Reads an update. An entry that can't be read is skipped with a warning, as the others are still
/// of use.
///
/// # Errors
/// The value is no update at all.
pub fn parse_list_update(value: &Value) -> Result<ListUpdate, ListUpdateError> {
    let version = value
        .get(key::VERSION)
        .and_then(Value::as_u64)
        .ok_or(ListUpdateError::NoVersion)?;
    let is_complete = value
        .get(key::IS_COMPLETE)
        .and_then(Value::as_bool)
        .ok_or(ListUpdateError::NoCompleteness)?;
    let entries = value
        .get(key::ENTRIES)
        .and_then(Value::as_array)
        .ok_or(ListUpdateError::NoEntries)?;
    Ok(ListUpdate {
        version,
        is_complete,
        entries: entries.iter().filter_map(parse_or_skip).collect(),
    })
}

fn parse_or_skip(value: &Value) -> Option<DiscoveredEndpoint> {
    parse_entry(value)
        .inspect_err(|error| warn!(%error, "endpoint list entry skipped"))
        .ok()
}

fn parse_entry(value: &Value) -> Result<DiscoveredEndpoint, EntryError> {
    let name = text(value, key::NAME);
    let state = parse_state(value, &name)?;
    let address = parse_address(value, &name, state)?;
    if name.is_empty() {
        return Err(EntryError::NoName);
    }
    Ok(DiscoveredEndpoint {
        name,
        address,
        zone: text(value, key::ZONE),
        machine: text(value, key::MACHINE),
        cell: text(value, key::CELL),
        state,
        weight: parse_weight(value),
        started: parse_start_time(value),
    })
}

fn parse_state(value: &Value, name: &str) -> Result<EndpointState, EntryError> {
    let text = text(value, key::STATE);
    match text.as_str() {
        state::READY => Ok(EndpointState::Ready),
        state::DRAINING => Ok(EndpointState::Draining),
        state::REMOVED => Ok(EndpointState::Removed),
        _ => Err(EntryError::UnknownState {
            name: name.to_string(),
            text,
        }),
    }
}

/// Reads the address. A server that is draining or removed may have lost its address with its
/// process: guards against a drain that is missed for that.
fn parse_address(
    value: &Value,
    name: &str,
    state: EndpointState,
) -> Result<SocketAddr, EntryError> {
    match text(value, key::ADDRESS).parse() {
        Ok(address) => Ok(address),
        Err(_) if state != EndpointState::Ready => Ok(UNKNOWN_ADDRESS.into()),
        Err(_) => Err(EntryError::NoAddress {
            name: name.to_string(),
        }),
    }
}

fn parse_weight(value: &Value) -> f64 {
    value
        .get(key::WEIGHT)
        .and_then(Value::as_f64)
        .unwrap_or(1.0)
}

fn parse_start_time(value: &Value) -> Time {
    let started_ms = value
        .get(key::STARTED_MS)
        .and_then(Value::as_u64)
        .unwrap_or(0);
    started_ms.saturating_mul(MS).min(START_TIME_MAX)
}

/// Returns a member as text: empty where it is missing or null, as JSON where it is another value.
fn text(value: &Value, key: &str) -> String {
    match value.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => String::new(),
        Some(other) => other.to_string(),
    }
}

/// Returns whether brackets outside of strings are nested deeper than `depth_max`.
fn is_nested_deeper(json: &[u8], depth_max: usize) -> bool {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut escaped = false;
    json.iter().any(|byte| {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_string,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth > depth_max
    })
}

#[cfg(test)]
mod tests;
