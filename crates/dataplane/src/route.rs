//! The third stage: asks the dispatcher where a flow goes and waits for its command. It owns
//! nothing but the request. It must never choose a server itself, and never wait past the flow's
//! deadline.

use std::time::Duration;

use nettlemux_flow_table::ClientIdentity;
use nettlemux_policy::{Flow, MS, Time};
use tracing::error;

use crate::clock;
use crate::dataplane::Dataplane;
use crate::flow_guard::FlowGuard;
use crate::messages::{DispatcherMessage, FlowCommand, FlowEvent};
use crate::timer;

/// How far past the deadline the dispatcher's command may come: later only where something is badly
/// wrong.
const COMMAND_GRACE: Time = 20 * MS;
/// Between two requests for a connection that was open before the run.
const ADOPTION_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What the wait for a command was ended by.
pub enum RouteDecision {
    /// The dispatcher's command.
    Command(FlowCommand),
    /// The client went away.
    ClientLeft,
}

/// A flow as the dispatcher is asked to place it.
pub struct PlacementRequest {
    /// The flow.
    pub flow: Flow,
    /// The client as admission control knows it.
    pub identity: ClientIdentity,
    /// The server that held the connection before the run.
    pub previous_server: Option<String>,
}

impl PlacementRequest {
    /// Asks the dispatcher, which answers at the flow's mailbox.
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

    /// Asks once more after a pause. Returns false where there is no time left.
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
    // Guards against a client whose end has come in one with its line, which notifies nobody, and
    // who is waited for.
    if flow.client_has_left() {
        return RouteDecision::ClientLeft;
    }
    loop {
        match flow.client.mailbox.next(flow.deadline + COMMAND_GRACE) {
            Some(FlowEvent::Command(FlowCommand::Migrate { line_deadline })) => {
                flow.migrate_by = Some(line_deadline)
            }
            // Of an attempt that has ended meanwhile.
            Some(
                FlowEvent::Command(FlowCommand::CancelAttempt | FlowCommand::AttemptTimedOut)
                | FlowEvent::Stop,
            ) => {}
            Some(FlowEvent::Command(command)) => return RouteDecision::Command(command),
            Some(FlowEvent::SocketReady) => {
                if flow.client_has_left() {
                    return RouteDecision::ClientLeft;
                }
            }
            None => {
                // Guards against a flow without an answer where the dispatcher is stuck.
                error!(id = flow.id, "no command from the dispatcher in time");
                return RouteDecision::Command(FlowCommand::Fail);
            }
        }
    }
}
