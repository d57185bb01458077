//! The wire format of the discovery agent: the path of the endpoint list and the JSON of its
//! updates. This module owns no state and must never do I/O or judge a server. No other module
//! knows the agent's wire names.

use std::net::SocketAddr;

use nettlemux_policy::{EndpointState, MS, Time};
use serde_json::Value;
use thiserror::Error;
use tracing::warn;

use crate::messages::DiscoveredEndpoint;

/// The path at which the agent serves the list.
const LIST_PATH: &str = "/api/targets";

/// Names of the JSON members of an update and of its entries.
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
    /// Its weight; 1 if it is missing.
    pub const WEIGHT: &str = "weight";
    /// Its start in milliseconds of Unix time; 0 means long ago.
    pub const STARTED_MS: &str = "startedAtMs";
}

/// Values of [`key::STATE`].
mod state {
    /// The server takes connections.
    pub const READY: &str = "Ready";
    /// The server takes no new connections.
    pub const DRAINING: &str = "Terminating";
    /// The server is no longer listed.
    pub const REMOVED: &str = "Gone";
}

/// The deepest nesting of an update; its entries are at the third level. Prevents the recursive
/// JSON parser from overflowing the coroutine's stack, which would end the coroutine without a
/// message. The parser's own limit of 128 levels is too high for that stack.
const NESTING_DEPTH_MAX: usize = 16;

/// The placeholder for the address of an endpoint that is listed without one.
const UNKNOWN_ADDRESS: ([u8; 4], u16) = ([0, 0, 0, 0], 0);

/// The latest start time of an entry. Prevents an overflow when a time is added to it.
const START_TIME_MAX: Time = Time::MAX / 2;

/// An update of the endpoint list: all entries, or the entries that changed since a version.
#[derive(Debug, PartialEq)]
pub struct ListUpdate {
    /// The version of the list after this update.
    pub version: u64,
    /// Whether the update is the complete list.
    pub is_complete: bool,
    /// The entries, without the unreadable ones.
    pub entries: Vec<DiscoveredEndpoint>,
}

/// Why a text or a JSON value is not an update of the endpoint list.
#[derive(Debug, Error)]
pub enum ListUpdateError {
    /// The nesting is deeper than `NESTING_DEPTH_MAX`.
    #[error("endpoint list nested deeper than {NESTING_DEPTH_MAX} levels")]
    TooDeep,
    /// The text is not JSON.
    #[error(transparent)]
    NotJson(#[from] serde_json::Error),
    /// There is no version.
    #[error("'generation' is missing or not an unsigned integer")]
    NoVersion,
    /// There is no statement whether the update is the complete list.
    #[error("'reset' is missing or not a boolean")]
    NoCompleteness,
    /// There is no list of entries.
    #[error("'instances' is missing or not an array")]
    NoEntries,
}

/// Why an entry of the list is not usable.
#[derive(Debug, Error)]
enum EntryError {
    /// The state is unknown.
    #[error("{name}: unknown 'lifecycle' value '{text}'")]
    UnknownState { name: String, text: String },
    /// A ready endpoint has no IP address with a port.
    #[error("{name}: 'hostPort' is not an IP address with a port")]
    NoAddress { name: String },
    /// The server has no name.
    #[error("'instanceId' is missing or empty")]
    NoName,
}

/// Returns the path that requests the changes since `from_version`. The agent may hold that request
/// for `hold` until there is a change. Without a version, the path requests the complete list.
pub(super) fn request_path(from_version: Option<u64>, hold: Time) -> String {
    match from_version {
        Some(version) => format!("{LIST_PATH}?from={version}&hold_ms={}", hold / MS),
        None => LIST_PATH.to_string(),
    }
}

/// Parses an update from the body of an HTTP response.
///
/// # Errors
/// The body is not JSON, is nested too deep, or is not an update.
pub(super) fn parse_body(body: &[u8]) -> Result<ListUpdate, ListUpdateError> {
    if is_nested_deeper(body, NESTING_DEPTH_MAX) {
        return Err(ListUpdateError::TooDeep);
    }
    parse_list_update(&serde_json::from_slice(body)?)
}

/// Parses an update. An unreadable entry is skipped with a warning, since the other entries are
/// still usable.
///
/// # Errors
/// The value is not an update.
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
        started_at: parse_start_time(value),
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

/// Parses the address. A draining or removed server may be listed without one, since its process
/// may have ended; its entry is still accepted, so that the drain isn't missed.
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

/// Returns a member as text: empty if it is missing or null, in JSON form if it is not a string.
fn text(value: &Value, key: &str) -> String {
    match value.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => String::new(),
        Some(other) => other.to_string(),
    }
}

/// Returns whether brackets and braces outside of strings are nested deeper than `depth_max`.
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
