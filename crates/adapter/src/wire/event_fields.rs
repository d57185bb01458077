//! Parsers for the fields of the events.

use nettlemux_flow_table::EndedAttempt;
use nettlemux_policy::{
    AttemptEnd, Flow, GroupPlacement, LoadReport, ServerId, Time, TrafficClass,
};
use nettlemux_settings::LoadReportFormat;

use super::error::{WireError, WireProblem};
use super::event::{EndpointTables, EndpointUpdate, SimulatorEvent};
use super::fields::{ABSENT, Fields};

/// The topic of the signal that reports a connection's load. Other signals are not known.
const LOAD_TOPIC: u64 = 1;

pub(super) fn parse_endpoint_update<'a>(
    fields: &mut Fields,
    endpoint_tables: &'a EndpointTables,
) -> Result<EndpointUpdate<'a>, WireError> {
    let kind = fields.word("kind")?;
    let _revision: Option<u64> = fields.optional("rev")?;
    let number: Option<u64> = fields.optional("table")?;
    let endpoints = || {
        let number = number.ok_or_else(|| WireError::new("table", WireProblem::Absent))?;
        let endpoints = endpoint_tables.get(&number);
        endpoints.ok_or_else(|| WireError::new("table", WireProblem::UnknownTable(number)))
    };
    match kind {
        "patch" => Ok(EndpointUpdate::Delta(endpoints()?)),
        "whole" | "stale_copy" => Ok(EndpointUpdate::Snapshot(endpoints()?)),
        "broken" => Ok(EndpointUpdate::PollFailed),
        other => {
            let problem = WireProblem::UnknownEndpointUpdate(other.to_string());
            Err(WireError::new("kind", problem))
        }
    }
}

pub(super) fn parse_new_flow(
    now: Time,
    fields: &mut Fields,
    traffic_classes: &[TrafficClass],
) -> Result<Flow, WireError> {
    let id = fields.required("ref")?;
    let class = class_with_number(fields.required("category")?, traffic_classes);
    let tenant = fields.optional("client-group")?.unwrap_or(0);
    let _item: Option<String> = fields.optional("item")?;
    let deadline = now + fields.time("ttl")?;
    let _effort: Option<f64> = fields.optional("effort")?;
    let group = fields.optional("team-id")?;
    let _is_resent = fields.flag("resent")?;
    let _is_rerouted = fields.flag("rerouted")?;
    let reconnecting = fields.flag("came-back")?;
    Ok(Flow {
        id,
        class,
        tenant,
        group,
        reconnecting,
        accepted_at: now,
        deadline,
        attempts: Vec::new(),
    })
}

pub(super) fn parse_adopted_connection(
    fields: &mut Fields,
    traffic_classes: &[TrafficClass],
) -> Result<SimulatorEvent<'static>, WireError> {
    let id = fields.required("ref")?;
    let group = fields.optional("team-id")?;
    let _came_back = fields.flag("came-back")?;
    let _item: Option<String> = fields.optional("item")?;
    let _is_rerouted = fields.flag("rerouted")?;
    let _time_left = fields.time("ttl")?;
    let _is_resent = fields.flag("resent")?;
    let tenant = fields.optional("client-group")?.unwrap_or(0);
    let class = class_with_number(fields.optional("category")?.unwrap_or(0), traffic_classes);
    let _effort: Option<f64> = fields.optional("effort")?;
    let server_id = fields.required("server")?;
    let flow = Flow {
        id,
        class,
        tenant,
        group,
        ..Flow::default()
    };
    Ok(SimulatorEvent::ConnectionAdopted { flow, server_id })
}

/// Returns the traffic class with this number. A class that the settings don't have gets the
/// default, which is the most careful one.
fn class_with_number(number: usize, traffic_classes: &[TrafficClass]) -> TrafficClass {
    let unknown = TrafficClass {
        number,
        ..TrafficClass::default()
    };
    traffic_classes.get(number).copied().unwrap_or(unknown)
}

pub(super) fn parse_connected(fields: &mut Fields) -> Result<SimulatorEvent<'static>, WireError> {
    let flow = fields.required("ref")?;
    let _number: u32 = fields.required("send-no")?;
    let _server_id: ServerId = fields.required("server")?;
    let took = fields.time("time-taken")?;
    Ok(SimulatorEvent::Connected { flow, took })
}

pub(super) fn parse_signal(fields: &mut Fields) -> Result<SimulatorEvent<'static>, WireError> {
    let flow = fields.required("ref")?;
    let _server_id: ServerId = fields.required("server")?;
    let topic: u64 = fields.required("topic")?;
    let _number: Option<u32> = fields.optional("send-no")?;
    let load = fields.required("x")?;
    Ok(match topic {
        LOAD_TOPIC => SimulatorEvent::ConnectionLoad { flow, load },
        _ => SimulatorEvent::UnknownSignal,
    })
}

pub(super) fn parse_attempt_end(
    fields: &mut Fields,
    load_report_format: &LoadReportFormat,
) -> Result<SimulatorEvent<'static>, WireError> {
    let flow = fields.required("ref")?;
    let number = fields.required("send-no")?;
    let server_id = fields.required("server")?;
    let end = parse_end(fields.word("reason")?)?;
    let _took = fields.time("time-taken")?;
    let is_answered = fields.flag("closed")?;
    let report = parse_load_report(fields.word("report")?, load_report_format)?;
    let outcome = EndedAttempt {
        flow,
        number,
        server_id,
        end,
        known_unexecuted: proves_unexecuted(end),
        report,
    };
    Ok(SimulatorEvent::AttemptEnded {
        outcome,
        is_answered,
    })
}

pub(super) fn parse_health_check(
    fields: &mut Fields,
    load_report_format: &LoadReportFormat,
) -> Result<SimulatorEvent<'static>, WireError> {
    let _took = fields.time("time-taken")?;
    let server_id = fields.required("server")?;
    let passed = parse_end(fields.word("reason")?)? == AttemptEnd::Done;
    let report = parse_load_report(fields.word("report")?, load_report_format)?;
    Ok(SimulatorEvent::HealthChecked {
        server_id,
        passed,
        report,
    })
}

pub(super) fn parse_gossip(fields: &mut Fields) -> Result<SimulatorEvent<'static>, WireError> {
    let _sender: u64 = fields.required("from")?;
    let bytes = parse_hex(fields.word("content")?)?;
    let placement = GroupPlacement::from_bytes(&bytes);
    Ok(SimulatorEvent::GossipReceived { placement })
}

fn parse_end(word: &str) -> Result<AttemptEnd, WireError> {
    match word {
        "pass" => Ok(AttemptEnd::Done),
        "fault" => Ok(AttemptEnd::Error),
        "no_room" => Ok(AttemptEnd::Overloaded),
        "too_slow" => Ok(AttemptEnd::TimedOut),
        "no_route" => Ok(AttemptEnd::Unreachable),
        "cut" => Ok(AttemptEnd::ConnectionLost),
        "undone" => Ok(AttemptEnd::Cancelled),
        "stale_send" => Ok(AttemptEnd::NotSent),
        other => {
            let problem = WireProblem::UnknownOutcome(other.to_string());
            Err(WireError::new("reason", problem))
        }
    }
}

/// Returns whether an attempt that ended in this way is known not to have been executed.
fn proves_unexecuted(end: AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Overloaded | AttemptEnd::Unreachable | AttemptEnd::NotSent
    )
}

/// Parses a load report; an absent one is empty.
fn parse_load_report(word: &str, format: &LoadReportFormat) -> Result<LoadReport, WireError> {
    match word {
        ABSENT => Ok(LoadReport::default()),
        _ => Ok(format.parse(word, ':')?),
    }
}

/// Decodes bytes from hex digits; an absent value has no bytes.
fn parse_hex(text: &str) -> Result<Vec<u8>, WireError> {
    if text == ABSENT {
        return Ok(Vec::new());
    }
    let has_whole_bytes = text.is_ascii() && text.len().is_multiple_of(2);
    let pairs = (0..text.len() / 2).map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok());
    let bytes = has_whole_bytes
        .then(|| pairs.collect::<Option<Vec<u8>>>())
        .flatten();
    bytes.ok_or_else(|| WireError::new("content", WireProblem::InvalidHex(text.to_string())))
}
