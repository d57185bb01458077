//! The third stage: asks the desk where a flow goes and waits for its order. It owns nothing. It must never
//! choose a server itself, and never wait past the flow's deadline.

use std::time::Duration;

use nettlemux_flow_table::ClientIdentity;
use nettlemux_policy::{Flow, MS, Time};
use tracing::error;

use crate::book::Book;
use crate::clock;
use crate::messages::{DispatcherMessage, FlowCommand, FlowEvent};
use crate::shared::Dataplane;

/// The desk's word is late by so much past the deadline only if something is badly wrong.
const OVERDUE: Time = 20 * MS;
/// Between tries of one that was open before the run.
const PAUSE: Duration = Duration::from_millis(250);

pub enum Next {
    FlowCommand(FlowCommand),
    Left,
}

/// A flow as it was asked about.
pub struct Asked {
    flow: Flow,
    who: ClientIdentity,
    at: Option<String>,
}

pub fn ask(
    dataplane: &Dataplane,
    book: &mut Book,
    flow: Flow,
    who: ClientIdentity,
    at: Option<&str>,
) -> Asked {
    let mailbox = book.caller.mailbox.sender();
    let ask = match at {
        Some(at) => DispatcherMessage::AdoptConnection {
            flow: flow.clone(),
            at: at.to_string(),
            mailbox,
        },
        None => DispatcherMessage::PlaceFlow {
            flow: flow.clone(),
            who,
            mailbox,
        },
    };
    dataplane.dispatcher.send(ask);
    Asked {
        flow,
        who,
        at: at.map(String::from),
    }
}

impl Asked {
    /// Asks once more after a pause; false once there is no time left.
    pub fn again(&self, dataplane: &Dataplane, book: &mut Book) -> bool {
        if clock::now() >= self.flow.deadline {
            return false;
        }
        may::coroutine::sleep(PAUSE);
        ask(
            dataplane,
            book,
            self.flow.clone(),
            self.who,
            self.at.as_deref(),
        );
        true
    }
}

pub fn command(book: &mut Book) -> Next {
    // Guards against a client whose end has come in one with its line, which rings no bell, and who is waited for.
    if book.client_left() {
        return Next::Left;
    }
    loop {
        match book.caller.mailbox.next(book.deadline + OVERDUE) {
            Some(FlowEvent::Command(FlowCommand::Migrate(by))) => book.move_by = Some(by),
            // Of an attempt that has ended meanwhile.
            Some(
                FlowEvent::Command(FlowCommand::CancelAttempt | FlowCommand::AttemptTimedOut)
                | FlowEvent::Stop,
            ) => {}
            Some(FlowEvent::Command(command)) => return Next::FlowCommand(command),
            Some(FlowEvent::SocketReady) => {
                if book.client_left() {
                    return Next::Left;
                }
            }
            None => {
                // Guards against a flow without an answer where the desk is stuck.
                error!(id = book.id, "no word from the desk in time");
                return Next::FlowCommand(FlowCommand::Fail);
            }
        }
    }
}
