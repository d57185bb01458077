//! The pipeline of one admitted flow: the route, attempt and relay stages, run under the flow's
//! guard. It owns the order of the stages and nothing else. It must never decide how a flow
//! continues or ends.

use std::ops::ControlFlow;
use std::sync::Arc;

use nettlemux_flow_table::AdmissionAttributes;
use nettlemux_policy::{AttemptEnd, Flow};

use crate::attempt::{self, AttemptFailure, FlowOrigin, LineProgress};
use crate::client_ids::ClientId;
use crate::connection::Connection;
use crate::dataplane::Dataplane;
use crate::flow_guard::FlowGuard;
use crate::messages::{AttemptOutcome, AttemptTarget, FlowCommand};
use crate::relay::relay;
use crate::route::{PlacementRequest, RouteDecision, wait_for_command};

/// A flow that a front has admitted, with the data that the stages need.
pub struct AdmittedFlow {
    /// The flow.
    pub flow: Flow,
    /// The client as admission control knows it.
    pub identity: AdmissionAttributes,
    /// The name of the server at which the connection was open before the balancer started; `None`
    /// for a new connection.
    pub previous_server: Option<String>,
    /// The client's connection.
    pub client: Connection,
    /// The first line as received, without its line end.
    pub line: Vec<u8>,
    /// The client's own id.
    pub client_id: ClientId,
}

/// Serves one flow, from its admission to the end of its connection.
pub fn serve(dataplane: &Arc<Dataplane>, admitted: AdmittedFlow) {
    let AdmittedFlow {
        flow,
        identity,
        previous_server,
        client,
        line,
        client_id,
    } = admitted;
    let origin = match previous_server {
        Some(_) => FlowOrigin::Adopted,
        None => FlowOrigin::New,
    };
    let mut guard = FlowGuard::new(dataplane, &flow, client, client_id);
    let request = PlacementRequest {
        flow,
        identity,
        previous_server,
    };
    request.send(dataplane, &guard);
    while let ControlFlow::Continue(target) = next_target(dataplane, &mut guard, &request) {
        let failure = match attempt::run(dataplane, &mut guard, &target, &line, origin) {
            Ok(server) => {
                // The client chose their lengths, and the connection may stay open for days.
                drop((line, request));
                return relay(dataplane, guard, &target, server);
            }
            Err(failure) => failure,
        };
        if handle_failure(dataplane, &mut guard, &request, &target, failure).is_break() {
            return;
        }
    }
}

/// Waits for the dispatcher's command. Returns the target of the next attempt, or breaks if the flow
/// has been answered.
fn next_target(
    dataplane: &Dataplane,
    flow: &mut FlowGuard,
    request: &PlacementRequest,
) -> ControlFlow<(), AttemptTarget> {
    loop {
        match wait_for_command(flow) {
            RouteDecision::Command(FlowCommand::StartAttempt(target)) => {
                return ControlFlow::Continue(target);
            }
            // An adopted connection asks again until its server is listed.
            RouteDecision::Command(FlowCommand::EndpointUnknown) => {
                resend_or_fail(dataplane, flow, request)?;
            }
            RouteDecision::Command(FlowCommand::Reject { retry_after }) => {
                flow.reject(retry_after);
                return ControlFlow::Break(());
            }
            RouteDecision::Command(_) => {
                flow.fail();
                return ControlFlow::Break(());
            }
            RouteDecision::ClientLeft => {
                flow.record_client_left();
                flow.finish_answer();
                return ControlFlow::Break(());
            }
        }
    }
}

/// Reports an attempt that produced no connection. Breaks if the flow has ended with it.
fn handle_failure(
    dataplane: &Dataplane,
    flow: &mut FlowGuard,
    request: &PlacementRequest,
    target: &AttemptTarget,
    failure: AttemptFailure,
) -> ControlFlow<()> {
    match failure {
        AttemptFailure::Ended(_) if request.previous_server.is_some() => {
            resend_or_fail(dataplane, flow, request)
        }
        AttemptFailure::Ended(outcome) => {
            flow.record_attempt_ended(target, outcome);
            if flow.answer_pending() {
                return ControlFlow::Continue(());
            }
            // The client has left meanwhile, so no further command will come.
            flow.finish_answer();
            ControlFlow::Break(())
        }
        AttemptFailure::ClientLeft(progress) => {
            flow.report_attempt_ended(target, cancelled_outcome(progress));
            flow.record_client_left();
            flow.finish_answer();
            ControlFlow::Break(())
        }
    }
}

/// Asks the dispatcher again for the server of an adopted connection. Fails the flow if its deadline
/// has passed.
fn resend_or_fail(
    dataplane: &Dataplane,
    flow: &mut FlowGuard,
    request: &PlacementRequest,
) -> ControlFlow<()> {
    if request.resend(dataplane, flow) {
        return ControlFlow::Continue(());
    }
    flow.fail();
    ControlFlow::Break(())
}

/// Returns the outcome of an attempt that ended because its client has left.
fn cancelled_outcome(progress: LineProgress) -> AttemptOutcome {
    match progress {
        LineProgress::Unsent => AttemptOutcome::unsent(AttemptEnd::NotSent),
        LineProgress::Sent => AttemptOutcome::sent(AttemptEnd::Cancelled),
    }
}
