//! Updates of the list of servers as the agent writes them, in JSON. It owns nothing and must never do I/O or judge a server.

use std::net::SocketAddr;

use nettlemux_policy::{EndpointState, MS, Time};
use serde_json::Value;
use tracing::warn;

use crate::messages::DiscoveredEndpoint;

/// An update is nested no deeper; entries lie at the third level. Guards against a parser that follows it down past the end of a
/// coroutine's stack, which ends the coroutine without a word: 128 levels, as far as the parser goes, are too many there.
const DEPTH_MAX: usize = 16;

/// A version of the list, whole or what has changed since the one that was asked from.
#[derive(Debug, PartialEq)]
pub struct ListUpdate {
    pub version: u64,
    pub is_complete: bool,
    pub entries: Vec<DiscoveredEndpoint>,
}

/// Reads an update from an answer's body.
///
/// # Errors
/// Where the body is no update: the reason.
pub fn parse(body: &[u8]) -> Result<ListUpdate, String> {
    if nested_deeper(body, DEPTH_MAX) {
        return Err("the answer is nested too deep".into());
    }
    let value: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    update_of(&value)
}

/// Reads an update. An entry that can't be read is left out with a warning; it must not cost us the others.
///
/// # Errors
/// Where it isn't an update at all: the reason.
pub fn update_of(value: &Value) -> Result<ListUpdate, String> {
    let version = value
        .get("generation")
        .and_then(Value::as_u64)
        .ok_or("'generation' is no number")?;
    let is_complete = value
        .get("reset")
        .and_then(Value::as_bool)
        .ok_or("'reset' is neither true nor false")?;
    let list = value
        .get("instances")
        .and_then(Value::as_array)
        .ok_or("'instances' is no list")?;
    let readable = |one| {
        entry(one)
            .map_err(|why| warn!(why, "an entry of the list is left out"))
            .ok()
    };
    Ok(ListUpdate {
        version,
        is_complete,
        entries: list.iter().filter_map(readable).collect(),
    })
}

fn entry(value: &Value) -> Result<DiscoveredEndpoint, String> {
    let text = |key: &str| match value.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => String::new(),
        Some(other) => other.to_string(),
    };
    let name = text("instanceId");
    let state = match text("lifecycle").as_str() {
        "Ready" => EndpointState::Ready,
        "Terminating" => EndpointState::Draining,
        "Gone" => EndpointState::Removed,
        other => return Err(format!("{name}: 'lifecycle' is '{other}'")),
    };
    // One that is going may have lost its address with it. Guards against a drain that is passed over.
    let address = match text("hostPort").parse() {
        Ok(address) => address,
        Err(_) if state != EndpointState::Ready => SocketAddr::from(([0, 0, 0, 0], 0)),
        Err(_) => return Err(format!("{name}: 'hostPort' is no address")),
    };
    if name.is_empty() {
        return Err("'instanceId' is missing".into());
    }
    let started = value
        .get("startedAtMs")
        .and_then(Value::as_u64)
        .unwrap_or(0);
    Ok(DiscoveredEndpoint {
        name,
        address,
        zone: text("zone"),
        machine: text("machineType"),
        cell: text("cell"),
        state,
        weight: value.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
        // Guards against a time that sums run over at; one as late as that is no clock's.
        started: started.saturating_mul(MS).min(Time::MAX / 2),
    })
}

/// Whether brackets outside of strings are nested deeper than that.
pub fn nested_deeper(json: &[u8], depth_max: usize) -> bool {
    let (mut depth, mut in_string, mut escaped) = (0_usize, false, false);
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
