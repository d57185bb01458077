//! Endpoint tables.

use std::io::BufRead;

use nettlemux_policy::{Endpoint, EndpointState};

use super::error::{WireError, WireProblem};
use super::fields::Fields;
use super::lines::Lines;

/// The first word of a line with an endpoint.
const ENDPOINT: &str = "M";

/// Reads the endpoints of a table, one per line.
///
/// # Errors
/// Returns an error if the input ends or a line is not a valid endpoint.
pub fn read_endpoints<R: BufRead>(
    lines: &mut Lines<R>,
    count: usize,
) -> Result<Vec<Endpoint>, WireError> {
    let mut endpoints = Vec::new();
    for _ in 0..count {
        let line = lines.expect_line("records")?;
        endpoints.push(parse_endpoint(&line)?);
    }
    Ok(endpoints)
}

fn parse_endpoint(line: &str) -> Result<Endpoint, WireError> {
    let mut fields = Fields::new(line);
    let word = fields.word("entry")?;
    if word != ENDPOINT {
        let problem = WireProblem::InvalidEndpointLine(word.to_string());
        return Err(WireError::new("entry", problem));
    }
    let endpoint = Endpoint {
        server_id: fields.required("server")?,
        zone: fields.optional("locality")?.unwrap_or(0),
        machine: fields.optional("machine")?.unwrap_or(0),
        cell: fields.optional("stripe")?.unwrap_or(0),
        state: parse_state(fields.word("availability")?)?,
        weight: fields.optional("heft")?.unwrap_or(1.0),
        started: fields.time("up-since")?,
    };
    fields.end()?;
    Ok(endpoint)
}

fn parse_state(word: &str) -> Result<EndpointState, WireError> {
    match word {
        "active" => Ok(EndpointState::Ready),
        "leaving" => Ok(EndpointState::Draining),
        "left" => Ok(EndpointState::Removed),
        other => {
            let problem = WireProblem::UnknownEndpointState(other.to_string());
            Err(WireError::new("availability", problem))
        }
    }
}
