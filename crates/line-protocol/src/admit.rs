//! The second stage: creates a flow from a client's first line. It owns no state. It must never
//! admit a request that it can't parse completely. It must never reject a request because of load,
//! which is the policy's decision, but it does reject requests if no descriptors are left.

use nettlemux_dataplane::client_ids::ClientId;
use nettlemux_dataplane::dataplane::Dataplane;
use nettlemux_dataplane::pipeline::AdmittedFlow;
use nettlemux_dataplane::wire::{REPLY_FAILED, REPLY_NO_LOAD_REPORT, REPLY_PONG, rejection_line};
use nettlemux_flow_table::AdmissionAttributes;
use nettlemux_policy::{Flow, MS, SEC, Time};
use thiserror::Error;
use tracing::{debug, warn};

use crate::accepted::AcceptedConnection;
use crate::first_line::{self, ConnectRequest, MalformedLine, Request};
use crate::settings::{FirstLineSettings, SharedFirstLineSettings, TrafficClassSettings};

/// How long a connection that was open before the balancer started waits for its server. Such a
/// connection is lost 40 s after the start.
const ADOPTION_TIMEOUT: Time = 39 * SEC;
/// Number of lines that a connection may send until one asks for a connection to a server. The
/// platform's frontend sends one.
const LINES_MAX: usize = 16;
/// Number of bytes of a malformed line that are logged.
const LOGGED_BYTES_MAX: usize = 200;

/// Why a client's request can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum MalformedRequest {
    #[error(transparent)]
    Line(#[from] MalformedLine),
    #[error("expected a line that ends with CRLF, found LF alone")]
    NoCrlf,
    #[error("unknown traffic class")]
    UnknownClass,
    #[error("d is 0 or longer than the traffic class allows")]
    WaitOutOfRange,
    #[error("d, the time to wait, is missing")]
    NoWait,
    #[error("unknown tenant")]
    UnknownTenant,
    /// A client must wait for its answer. Guards against many commands sent at once.
    #[error("expected no data after the line before the client is served")]
    EarlyBytes,
    #[error("the id has been used before")]
    ReusedId,
    #[error("too many lines before an OPEN")]
    TooManyLines,
}

/// A valid flow that has no descriptors yet.
struct NewFlow {
    flow: Flow,
    identity: AdmissionAttributes,
    previous_server: Option<String>,
    client_id: ClientId,
}

/// Answers a client's lines until one asks for a connection to a server, and admits this flow.
/// `None` if the client's connection ends, or is refused or rejected, before a flow is admitted. A
/// flow is admitted by the settings that are in force when its line has been read: the connection
/// may be older, if other lines came first.
pub fn admit(
    dataplane: &Dataplane,
    settings: &SharedFirstLineSettings,
    mut accepted: AcceptedConnection,
) -> Option<AdmittedFlow> {
    for _ in 0..LINES_MAX {
        let answer = match parse_request(&accepted) {
            Ok(Request::Connect(request)) => {
                return match new_flow_by_settings(dataplane, settings, &accepted, &request) {
                    Ok(new_flow) => admit_flow(dataplane, accepted, new_flow),
                    Err(error) => refuse(accepted, error),
                };
            }
            // A ping can only arrive once the listener is open, and from then on the balancer serves.
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

/// Creates the flow by the settings in force, or by those that they have just replaced if only these
/// have the request's class or tenant.
fn new_flow_by_settings(
    dataplane: &Dataplane,
    settings: &SharedFirstLineSettings,
    accepted: &AcceptedConnection,
    request: &ConnectRequest,
) -> Result<NewFlow, MalformedRequest> {
    use MalformedRequest::{UnknownClass, UnknownTenant};
    match new_flow(dataplane, &settings.current(), accepted, request) {
        Err(error @ (UnknownClass | UnknownTenant)) => settings
            .unsettled(accepted.line_received_at)
            .map_or(Err(error), |replaced| {
                new_flow(dataplane, &replaced, accepted, request)
            }),
        result => result,
    }
}

fn new_flow(
    dataplane: &Dataplane,
    settings: &FirstLineSettings,
    accepted: &AcceptedConnection,
    request: &ConnectRequest,
) -> Result<NewFlow, MalformedRequest> {
    let class_settings = settings
        .class(request.class)
        .ok_or(MalformedRequest::UnknownClass)?;
    let class = class_settings.class;
    let wait = wait_time(request, class_settings)?;
    let tenant = settings
        .tenant_number(request.tenant)
        .ok_or(MalformedRequest::UnknownTenant)?;
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
        identity: settings.client_identity(request, &class, accepted_at),
        previous_server: request.previous_server.map(String::from),
        client_id,
    })
}

/// Returns how long the client waits for its answer, at most the longest wait of its traffic class.
fn wait_time(
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

/// Reserves descriptors for a flow; rejects the flow if none are left.
fn admit_flow(
    dataplane: &Dataplane,
    accepted: AcceptedConnection,
    new_flow: NewFlow,
) -> Option<AdmittedFlow> {
    let Some(permit) = dataplane.descriptor_budgets.flows.try_acquire() else {
        let in_use = dataplane.descriptor_budgets.flows.in_use();
        warn!(in_use, "no descriptors left for flows; rejecting a client");
        accepted.refuse(rejection_line(None).as_bytes());
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

/// Answers a malformed request and closes the connection, without a flow.
fn refuse(accepted: AcceptedConnection, error: MalformedRequest) -> Option<AdmittedFlow> {
    let line = accepted.line();
    let line = String::from_utf8_lossy(&line[..line.len().min(LOGGED_BYTES_MAX)]);
    warn!(%error, %line, "malformed first line");
    accepted.refuse(REPLY_FAILED);
    None
}
