//! The third stage: asks the desk where a flow goes and waits for its order. It owns nothing. It must never
//! choose a server itself, and never wait past the flow's deadline.

use std::time::Duration;

use nettlemux_flow_table::ClientIdentity;
use nettlemux_policy::{Flow, MS, Time};
use tracing::error;

use crate::book::Book;
use crate::clock;
use crate::orders::{Ask, Event, Order};
use crate::shared::Core;

/// The desk's word is late by so much past the deadline only if something is badly wrong.
const OVERDUE: Time = 20 * MS;
/// Between tries of one that was open before the run.
const PAUSE: Duration = Duration::from_millis(250);

pub enum Next {
    Order(Order),
    Left,
}

/// A flow as it was asked about.
pub struct Asked {
    flow: Flow,
    who: ClientIdentity,
    at: Option<String>,
}

pub fn ask(
    core: &Core,
    book: &mut Book,
    flow: Flow,
    who: ClientIdentity,
    at: Option<&str>,
) -> Asked {
    let mail = book.caller.mailbox.sender();
    let ask = match at {
        Some(at) => Ask::Inherit {
            flow: flow.clone(),
            at: at.to_string(),
            mail,
        },
        None => Ask::Place {
            flow: flow.clone(),
            who,
            mail,
        },
    };
    core.desk.send(ask);
    Asked {
        flow,
        who,
        at: at.map(String::from),
    }
}

impl Asked {
    /// Asks once more after a pause; false once there is no time left.
    pub fn again(&self, core: &Core, book: &mut Book) -> bool {
        if clock::now() >= self.flow.deadline {
            return false;
        }
        may::coroutine::sleep(PAUSE);
        ask(core, book, self.flow.clone(), self.who, self.at.as_deref());
        true
    }
}

pub fn order(book: &mut Book) -> Next {
    // Guards against a client whose end has come in one with its line, which rings no bell, and who is waited for.
    if book.client_left() {
        return Next::Left;
    }
    loop {
        match book.caller.mailbox.next(book.deadline + OVERDUE) {
            Some(Event::Order(Order::Move(by))) => book.move_by = Some(by),
            // Of an attempt that has ended meanwhile.
            Some(Event::Order(Order::CallOff | Order::TimeUp) | Event::Stop) => {}
            Some(Event::Order(order)) => return Next::Order(order),
            Some(Event::Rung) => {
                if book.client_left() {
                    return Next::Left;
                }
            }
            None => {
                // Guards against a flow without an answer where the desk is stuck.
                error!(id = book.id, "no word from the desk in time");
                return Next::Order(Order::Fail);
            }
        }
    }
}
