//! The fourth stage: makes one attempt. It dials the server, writes the client's first line and waits for the
//! answer. It owns the server's socket until it hands it on, and closes it before it says that the attempt is
//! given up. It must never write to a server that the list no longer calls ready, never write twice, and
//! never try again: that is the module's to say.

use std::io::{self, ErrorKind};

use nettlemux_policy::{AttemptEnd, LoadReport, Time};
use tracing::warn;

use crate::book::{Book, Ended};
use crate::clock;
use crate::messages::{AttemptTarget, DispatcherMessage, FlowCommand, FlowEvent};
use crate::net::Socket;
use crate::pool::Buffer;
use crate::shared::Dataplane;
use crate::wire::{self, Answer};

/// Whether a connection that could not be begun tells something of its server. All else is this machine's trouble: no
/// descriptor, port, memory, route or permission.
fn concerns_server(error: &io::Error) -> bool {
    use ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
    matches!(
        error.kind(),
        ConnectionRefused | ConnectionReset | HostUnreachable | TimedOut
    )
}

pub enum Sent {
    /// Served: the server's socket and all that it has sent, from its answer on.
    Up(Socket, (Buffer, usize)),
    Ended(Ended),
    /// The client went away, and the attempt with it; whether its line was never written whole.
    Left {
        unsent: bool,
    },
}

/// What a wait inside an attempt was ended by.
enum Woken {
    Look,
    Ended(AttemptEnd),
    Left,
}

pub fn send(
    dataplane: &Dataplane,
    book: &mut Book,
    target: &AttemptTarget,
    line: &[u8],
    inherited: bool,
) -> Sent {
    let never = |end| {
        Sent::Ended(Ended {
            end,
            known_unexecuted: true,
            report: LoadReport::default(),
        })
    };
    let maybe = |end| {
        Sent::Ended(Ended {
            end,
            known_unexecuted: false,
            report: LoadReport::default(),
        })
    };
    let mut client = Client { book, gone: false };
    // Guards against an attempt that begins long after its client has left, where the worker has been busy since the order
    // and nothing has rung yet.
    if client.looks_gone() {
        return Sent::Left { unsent: true };
    }
    let caller = &client.book.caller;
    let server = match Socket::dial(
        target.server.address,
        caller.socket.slot(),
        caller.mailbox.sender(),
    ) {
        Ok(server) => server,
        Err(e) if concerns_server(&e) => return never(AttemptEnd::Unreachable),
        Err(e) => {
            warn!(error = %e, "can't connect");
            return never(AttemptEnd::NotSent);
        }
    };

    // Up to its line's last byte an attempt has not been sent, so whoever is gone by then needs none, whether or not the
    // settings allow attempts to be cancelled. Guards against a flow that is sent on long after its client has left: while
    // a connection comes up late, or since the client's end came in one with its line and rang no bell.
    let dialled_until = target
        .by
        .min(clock::now() + dataplane.settings.now().dial_limit);
    loop {
        server.looked_at();
        match server.connected() {
            Ok(true) => break,
            Ok(false) => {}
            Err(_) => return never(AttemptEnd::Unreachable),
        }
        match client.wait(dialled_until) {
            Woken::Look if client.gone => return Sent::Left { unsent: true },
            Woken::Look => {}
            // Too late for a repeat, which tells nothing of the server.
            Woken::Ended(_) if target.by < target.until && clock::now() >= target.by => {
                return never(AttemptEnd::NotSent);
            }
            Woken::Ended(_) => return never(AttemptEnd::Unreachable),
            Woken::Left => return Sent::Left { unsent: true },
        }
    }
    if client.looks_gone() {
        return Sent::Left { unsent: true };
    }

    // The list may have changed since the desk gave the order, and a repeat that was in time may be so no more. What was
    // open before the run goes where it was.
    if !inherited && (!target.server.ready() || clock::now() >= target.by) {
        return never(AttemptEnd::NotSent);
    }
    let onward = match inherited {
        true => [line, b"\r\n"].concat(),
        false => wire::onward(line, target.until.saturating_sub(clock::now())),
    };
    let mut written = 0;
    while written < onward.len() {
        server.looked_at();
        match server.write(&onward[written..]) {
            Ok(count) => written += count,
            // Its last byte was never written.
            Err(_) => return never(AttemptEnd::Unreachable),
        }
        if written < onward.len() {
            match client.wait(target.by) {
                Woken::Look if client.gone => return Sent::Left { unsent: true },
                Woken::Look => {}
                Woken::Ended(_) => return never(AttemptEnd::Unreachable),
                Woken::Left => return Sent::Left { unsent: true },
            }
        }
    }

    let mut bytes = dataplane.buffers.take();
    let mut held = 0;
    let mut over = None;
    loop {
        server.looked_at();
        match (server.read(&mut bytes[held..]), over) {
            (Ok(Some(0)) | Err(_), _) => return maybe(AttemptEnd::ConnectionLost),
            (Ok(Some(count)), _) => held += count,
            (Ok(None), Some(end)) => {
                // Closed before it is told: nobody may be served by it any more.
                drop(server);
                return maybe(end);
            }
            (Ok(None), None) => match client.wait(target.until) {
                Woken::Look => {}
                // Looked at once more: guards against an answer that has come and whose bell rings after the clock's.
                Woken::Ended(end) => over = Some(end),
                Woken::Left => return Sent::Left { unsent: false },
            },
        }
        if let Some((_, next)) = wire::line_end(&bytes[..held]) {
            return match wire::answer(&bytes[..next], &dataplane.settings.now().reports) {
                Answer::Up if client.gone => Sent::Left { unsent: false },
                Answer::Up => Sent::Up(server, (bytes, held)),
                Answer::Ended(end, known_unexecuted, report) => Sent::Ended(Ended {
                    end,
                    known_unexecuted,
                    report,
                }),
            };
        }
        if held == bytes.len() {
            return maybe(AttemptEnd::Error);
        }
    }
}

/// The client's side of an attempt: it may leave meanwhile.
struct Client<'a> {
    book: &'a mut Book,
    gone: bool,
}

impl Client<'_> {
    /// Whether it has left by now, also where nothing has rung for it.
    fn looks_gone(&mut self) -> bool {
        if !self.gone && self.book.client_left() {
            self.gone = true;
            // Where the line is out the module says whether the attempt is called off.
            self.book.left();
        }
        self.gone
    }

    fn wait(&mut self, until: Time) -> Woken {
        match self.book.caller.mailbox.next(until) {
            None | Some(FlowEvent::Command(FlowCommand::AttemptTimedOut)) => {
                Woken::Ended(AttemptEnd::TimedOut)
            }
            Some(FlowEvent::Command(FlowCommand::CancelAttempt)) if self.gone => Woken::Left,
            Some(FlowEvent::Command(FlowCommand::Migrate(by))) => {
                self.book.move_by = Some(by);
                Woken::Look
            }
            Some(FlowEvent::Command(_) | FlowEvent::Stop) => Woken::Look,
            Some(FlowEvent::SocketReady) => {
                if self.looks_gone() {
                    self.book.write_on();
                }
                Woken::Look
            }
        }
    }
}

/// Tells the desk of an attempt that ended with its client.
pub fn called_off(book: &Book, target: &AttemptTarget, unsent: bool) {
    let (end, report) = (
        if unsent {
            AttemptEnd::NotSent
        } else {
            AttemptEnd::Cancelled
        },
        LoadReport::default(),
    );
    book.tell(DispatcherMessage::AttemptEnded {
        flow: book.id,
        server_id: target.server_id,
        number: target.number,
        end,
        known_unexecuted: unsent,
        report,
    });
}

#[cfg(test)]
mod tests;
