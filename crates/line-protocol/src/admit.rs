//! The second stage: makes a flow of a client's first line. It owns nothing. It must never admit
//! what it can't read in full, and never reject for load, which is the policy's decision; it does
//! reject where no descriptors are left.

use nettlemux_dataplane::client_ids::ClientId;
use nettlemux_dataplane::dataplane::Dataplane;
use nettlemux_dataplane::pipeline::AdmittedFlow;
use nettlemux_dataplane::wire::{REPLY_FAILED, REPLY_NO_LOAD_REPORT, REPLY_PONG, rejection};
use nettlemux_flow_table::ClientIdentity;
use nettlemux_policy::{Flow, MS, SEC, Time};
use thiserror::Error;
use tracing::{debug, warn};

use crate::accepted::AcceptedConnection;
use crate::first_line::{self, ConnectRequest, MalformedLine, Request};
use crate::settings::{FirstLineSettings, TrafficClassSettings};

/// How long a connection that was open before the run waits for its server: it is lost 40 s after
/// the start.
const ADOPTION_TIMEOUT: Time = 39 * SEC;
/// Lines that one connection may send until it asks to be served. The platform's front sends one.
const LINES_MAX: usize = 16;
/// Bytes of a malformed line that are logged.
const LOGGED_BYTES_MAX: usize = 200;

/// Why a client's request can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum MalformedRequest {
    #[error(transparent)]
    Line(#[from] MalformedLine),
    #[error("a line is not ended by CRLF")]
    NoCrlf,
    #[error("unknown class")]
    UnknownClass,
    #[error("nobody waits so long")]
    WaitOutOfRange,
    #[error("no time to wait")]
    NoWait,
    #[error("unknown tenant")]
    UnknownTenant,
    /// A client waits for its answer; guards against many commands at once.
    #[error("more before it is served")]
    EarlyBytes,
    #[error("an id that was used")]
    ReusedId,
    #[error("too many questions")]
    TooManyLines,
}

/// A flow that its client may ask for.
struct NewFlow {
    flow: Flow,
    identity: ClientIdentity,
    previous_server: Option<String>,
    client_id: ClientId,
}

/// Answers a connection's lines until one asks for a connection, and admits that flow; none once
/// the connection has ended without one.
pub fn admit(
    dataplane: &Dataplane,
    settings: &FirstLineSettings,
    mut accepted: AcceptedConnection,
) -> Option<AdmittedFlow> {
    for _ in 0..LINES_MAX {
        let answer = match parse_request(&accepted) {
            Ok(Request::Connect(request)) => {
                return match new_flow(dataplane, settings, &accepted, &request) {
                    Ok(new_flow) => admit_flow(dataplane, accepted, new_flow),
                    Err(error) => refuse(accepted, error),
                };
            }
            // It is asked only once the listener stands, and then can serve.
            Ok(Request::Ping) => REPLY_PONG,
            Ok(Request::LoadReport) => REPLY_NO_LOAD_REPORT,
            Err(error) => return refuse(accepted, error),
        };
        let answer_text = String::from_utf8_lossy(answer);
        debug!(answer = answer_text.trim_end(), "request answered");
        accepted = accepted.answer(answer, dataplane)?;
    }
    refuse(accepted, MalformedRequest::TooManyLines)
}

fn parse_request(accepted: &AcceptedConnection) -> Result<Request<'_>, MalformedRequest> {
    if !accepted.line_ends_with_crlf() {
        return Err(MalformedRequest::NoCrlf);
    }
    Ok(first_line::parse(accepted.line())?)
}

fn new_flow(
    dataplane: &Dataplane,
    settings: &FirstLineSettings,
    accepted: &AcceptedConnection,
    request: &ConnectRequest,
) -> Result<NewFlow, MalformedRequest> {
    let class = settings
        .class_index(request.class)
        .ok_or(MalformedRequest::UnknownClass)?;
    let class_settings = settings.class(class);
    let wait = wait_of(request, class_settings)?;
    let tenant = match request.tenant {
        Some(name) => settings
            .tenant(name)
            .ok_or(MalformedRequest::UnknownTenant)?,
        None => 0,
    };
    if accepted.has_more_than_line() {
        return Err(MalformedRequest::EarlyBytes);
    }
    let client_id = dataplane
        .client_ids
        .reserve(request.id)
        .ok_or(MalformedRequest::ReusedId)?;
    let accepted_at = accepted.line_received_at;
    let flow = Flow {
        id: dataplane.next_flow_id(),
        class,
        tenant,
        group: settings.group(request).map(String::from),
        reconnecting: request.reconnecting,
        accepted_at,
        deadline: accepted_at + wait,
        attempts: Vec::new(),
    };
    Ok(NewFlow {
        flow,
        identity: settings.client_identity(request, class_settings, accepted_at),
        previous_server: request.previous_server.map(String::from),
        client_id,
    })
}

/// How long a client waits: no longer than the settings say for its class.
fn wait_of(
    request: &ConnectRequest,
    class: &TrafficClassSettings,
) -> Result<Time, MalformedRequest> {
    if request.previous_server.is_some() {
        return Ok(ADOPTION_TIMEOUT);
    }
    let wait_ms = request.wait_ms.ok_or(MalformedRequest::NoWait)?;
    if wait_ms == 0 || wait_ms > class.wait_max / MS {
        return Err(MalformedRequest::WaitOutOfRange);
    }
    Ok(wait_ms * MS)
}

/// Gives a flow its descriptors; rejects it where none are left.
fn admit_flow(
    dataplane: &Dataplane,
    accepted: AcceptedConnection,
    new_flow: NewFlow,
) -> Option<AdmittedFlow> {
    let Some(permit) = dataplane.budgets.flows.try_acquire() else {
        let in_use = dataplane.budgets.flows.in_use();
        warn!(in_use, "no descriptors left for flows");
        accepted.refuse(rejection(None).as_bytes());
        return None;
    };
    accepted.client.socket.replace_permit(permit);
    let line = accepted.line().to_vec();
    debug!(id = new_flow.flow.id, line = %String::from_utf8_lossy(&line), "flow accepted");
    Some(AdmittedFlow {
        flow: new_flow.flow,
        identity: new_flow.identity,
        previous_server: new_flow.previous_server,
        client: accepted.client.into_connection(),
        line,
        client_id: new_flow.client_id,
    })
}

/// Answers a line that can't be used, and closes; there is no flow.
fn refuse(accepted: AcceptedConnection, error: MalformedRequest) -> Option<AdmittedFlow> {
    let line = accepted.line();
    let line = String::from_utf8_lossy(&line[..line.len().min(LOGGED_BYTES_MAX)]);
    warn!(%error, %line, "malformed first line");
    accepted.refuse(REPLY_FAILED);
    None
}
