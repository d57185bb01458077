//! The chain of stages that one admitted flow passes: route, send, relay, book. It owns the order of the stages and
//! nothing else; it must never decide what becomes of a flow.

use std::sync::Arc;

use crate::book::Book;
use crate::messages::FlowCommand;
use crate::relay::relay;
use crate::route::{self, Next};
use crate::send::{Sent, called_off, send};
use crate::shared::{Admitted, Dataplane};

/// One flow, from its admission on, until its connection has ended.
pub fn serve(dataplane: &Arc<Dataplane>, admitted: Admitted) {
    let Admitted {
        flow,
        who,
        at,
        caller,
        line,
        id,
    } = admitted;
    let mut book = Book::open(dataplane, &flow, caller, id);
    let asked = route::ask(dataplane, &mut book, flow.clone(), who, at.as_deref());
    loop {
        let target = match route::command(&mut book) {
            Next::FlowCommand(FlowCommand::StartAttempt(target)) => target,
            Next::FlowCommand(FlowCommand::EndpointUnknown) => {
                // Open before the run: asked for again until its server is there.
                match asked.again(dataplane, &mut book) {
                    true => continue,
                    false => return book.fail(),
                }
            }
            Next::FlowCommand(FlowCommand::Reject(retry_after)) => return book.reject(retry_after),
            Next::FlowCommand(_) => return book.fail(),
            Next::Left => {
                book.left();
                return book.finish_left();
            }
        };
        match send(dataplane, &mut book, &target, &line, at.is_some()) {
            Sent::Up(server, up) => return relay(dataplane, book, &target, server, up),
            Sent::Ended(ended) if at.is_none() => {
                book.ended(&target, ended);
                // The client left meanwhile, so nothing more will be ordered.
                if !book.owed() {
                    return book.finish_left();
                }
            }
            Sent::Ended(_) => match asked.again(dataplane, &mut book) {
                true => {}
                false => return book.fail(),
            },
            Sent::Left { unsent } => {
                called_off(&book, &target, unsent);
                book.left();
                return book.finish_left();
            }
        }
    }
}
