//! The third stage: asks the dispatcher where a flow goes and waits for its command. It owns
//! nothing but the request. It must never choose a server itself, and never wait past the flow's
//! deadline.

use std::time::Duration;

use nettlemux_flow_table::AdmissionAttributes;
use nettlemux_policy::{Flow, MS, Time};
use tracing::error;

use crate::clock;
use crate::dataplane::Dataplane;
use crate::flow_guard::FlowGuard;
use crate::messages::{CoroutineEvent, DispatcherMessage, FlowCommand};
use crate::timer;

/// Time after the flow's deadline in which the dispatcher's command may still arrive. A later
/// command means that the dispatcher is stuck.
const COMMAND_GRACE: Time = 20 * MS;
/// Time between two requests to reopen a connection that was open before the balancer started.
const ADOPTION_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What ended the wait for a command.
pub enum RouteDecision {
    /// The dispatcher's command.
    Command(FlowCommand),
    /// The client has left.
    ClientLeft,
}

/// The request to the dispatcher to place a flow or to reopen its connection.
pub struct PlacementRequest {
    /// The flow.
    pub flow: Flow,
    /// The client as admission control knows it.
    pub identity: AdmissionAttributes,
    /// The name of the server at which the connection was open before the balancer started; `None`
    /// for a new connection.
    pub previous_server: Option<String>,
}

impl PlacementRequest {
    /// Sends the request to the dispatcher, which answers to the flow's mailbox.
    pub fn send(&self, dataplane: &Dataplane, flow: &FlowGuard) {
        let mailbox = flow.client.mailbox.sender();
        let message = match &self.previous_server {
            Some(previous_server) => DispatcherMessage::AdoptConnection {
                flow: self.flow.clone(),
                server_name: previous_server.clone(),
                mailbox,
            },
            None => DispatcherMessage::PlaceFlow {
                flow: self.flow.clone(),
                client: self.identity,
                mailbox,
            },
        };
        dataplane.dispatcher.send(message);
    }

    /// Sends the request again after a pause. Returns false if the flow's deadline has passed.
    pub fn resend(&self, dataplane: &Dataplane, flow: &FlowGuard) -> bool {
        if clock::now() >= self.flow.deadline {
            return false;
        }
        timer::sleep(ADOPTION_RETRY_INTERVAL);
        self.send(dataplane, flow);
        true
    }
}

/// Waits for the dispatcher's command, until the flow's deadline.
pub fn wait_for_command(flow: &mut FlowGuard) -> RouteDecision {
    // Guards against a wait for a client whose end arrived together with its line: such an end
    // causes no notification of its own.
    if flow.client_has_left() {
        return RouteDecision::ClientLeft;
    }
    loop {
        match flow.client.mailbox.next(flow.deadline + COMMAND_GRACE) {
            Some(CoroutineEvent::Command(FlowCommand::Migrate { line_deadline })) => {
                flow.migrate_by = Some(line_deadline)
            }
            // These are for an attempt that has ended meanwhile.
            Some(
                CoroutineEvent::Command(FlowCommand::CancelAttempt | FlowCommand::AttemptTimedOut)
                | CoroutineEvent::Stop,
            ) => {}
            Some(CoroutineEvent::Command(command)) => return RouteDecision::Command(command),
            Some(CoroutineEvent::SocketReady) => {
                if flow.client_has_left() {
                    return RouteDecision::ClientLeft;
                }
            }
            None => {
                // Guards against a flow that is never answered because the dispatcher is stuck.
                error!(
                    id = flow.id,
                    "dispatcher sent no command by the deadline, failing the flow"
                );
                return RouteDecision::Command(FlowCommand::Fail);
            }
        }
    }
}
