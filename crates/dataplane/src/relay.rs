//! The fifth stage: passes an open connection's lines on, both ways, until one side ends. It owns both sockets
//! and gives them back when it returns. It must never change what passes, never cut a client off whose server still
//! answers, and say `MOVE` only between two lines.

mod direction;

use nettlemux_policy::{AttemptEnd, LoadReport, MS, SEC, Time};
use tracing::{debug, info};

use crate::book::Book;
use crate::clock;
use crate::messages::{AttemptTarget, DispatcherMessage, FlowCommand, FlowEvent};
use crate::net::{LINGER, Socket};
use crate::pool::Buffer;
use crate::shared::Dataplane;
use crate::wire::{self, Passing};

use direction::{Broken, Direction};

/// A client's line that brought nothing back for so long: the server is silent. Clients send every 2 s and
/// sound servers answer at once, so two lines in a row have gone unanswered; it must be noticed within 7 s.
const SILENCE: Time = 5 * SEC;
/// A client that has sent nothing for so long has vanished, as clients send every 2 s. It is told to move, in
/// case it hasn't, and its descriptors are free again.
const VANISHED: Time = 30 * SEC;
/// How long the other side may take to end once one has. A server's end must reach the client within 1 s.
const END: Time = 800 * MS;
/// What a peer hasn't taken by then it won't take.
const STUCK: Time = 7 * SEC;

/// How soon an alarm that could not be acted on is looked at again.
const AGAIN: Time = 50 * MS;

pub fn relay(
    dataplane: &Dataplane,
    mut book: Book,
    target: &AttemptTarget,
    server: Socket,
    (bytes, held): (Buffer, usize),
) {
    book.connected(target);
    let mut down = Direction::of_lines(bytes, held);
    let mut up = Direction::default();
    let mut passing = Passing::new(dataplane.settings.now().reports);
    // The client's first line that nothing has come back for.
    let mut unanswered: Option<Time> = None;
    let mut last_sent = clock::now();
    let mut slowest = 0;
    let none = LoadReport::default();
    let mut close_by: Option<Time> = None;
    let mut over: Option<AttemptEnd> = None;
    let tell_end = |book: &Book, over: &mut Option<AttemptEnd>, slowest: Time, end, report| {
        if over.is_none() {
            *over = Some(end);
            debug!(
                id = book.id,
                server = target.server.name,
                ?end,
                slowest_ms = slowest / MS,
                "connection ended"
            );
            let known_unexecuted = false;
            let (flow, server_id, number) = (book.id, target.server_id, target.number);
            book.tell(DispatcherMessage::AttemptEnded {
                flow,
                server_id,
                number,
                end,
                known_unexecuted,
                report,
            });
        }
    };

    loop {
        let client = &book.caller.socket;
        client.looked_at();
        server.looked_at();
        let now = clock::now();
        let mut load = None;
        let mut answered = false;
        let passed = down.pump(&server, client, &dataplane.buffers, |bytes| {
            answered = true;
            load = passing.pass(bytes).or(load);
        });
        if let Some(load) = load {
            book.tell(DispatcherMessage::ConnectionLoad {
                flow: book.id,
                load,
            });
        }
        if answered && let Some(since) = unanswered.take() {
            slowest = slowest.max(now - since);
        }
        if let Err(broken) = passed {
            let end = if broken == Broken::Sender {
                AttemptEnd::ConnectionLost
            } else {
                AttemptEnd::Done
            };
            tell_end(&book, &mut over, slowest, end, none);
            // A reset is passed on as one.
            client.reset();
            server.reset();
            return;
        }
        let passed = up.pump(client, &server, &dataplane.buffers, |_| {
            unanswered.get_or_insert(now);
            last_sent = now;
        });
        match passed {
            Err(Broken::Sender) => {
                tell_end(&book, &mut over, slowest, AttemptEnd::Done, none);
                server.reset();
                return;
            }
            // Its last words have been passed on by now, or are about to be read.
            Err(Broken::Receiver) if !down.ended => {
                tell_end(&book, &mut over, slowest, AttemptEnd::ConnectionLost, none);
                client.reset();
                return;
            }
            _ => {}
        }
        if down.ended && down.told {
            let (end, report) = passing.last.unwrap_or((AttemptEnd::ConnectionLost, none));
            tell_end(&book, &mut over, slowest, end, report);
            close_by.get_or_insert(now + END);
        } else if up.ended {
            tell_end(&book, &mut over, slowest, AttemptEnd::Done, none);
            if answered || close_by.is_none() {
                close_by = Some(now + SILENCE);
            }
        }
        if (down.told && up.told) || close_by.is_some_and(|at| at <= now) {
            return;
        }
        let stuck = [down.stuck, up.stuck].into_iter().flatten().min();
        if stuck.is_some_and(|since| since + STUCK <= now) {
            tell_end(&book, &mut over, slowest, AttemptEnd::ConnectionLost, none);
            return;
        }

        let silent = unanswered.is_some_and(|since| since + SILENCE <= now);
        let silent = silent || last_sent + VANISHED <= now;
        let may_move = !up.ended && !down.ended && down.all_passed();
        let line_is_whole = !down.holds_part() || book.move_by.is_some_and(|by| by <= now);
        let moves = book.move_by.is_some() && passing.between_lines() && line_is_whole;
        if may_move && (silent || moves) {
            let end = if silent {
                AttemptEnd::ConnectionLost
            } else {
                AttemptEnd::Cancelled
            };
            info!(id = book.id, server = target.server.name, silent, "moved");
            tell_end(&book, &mut over, slowest, end, none);
            // Where part of an overlong line has been passed on the client can't be told, only ended.
            if passing.between_lines() {
                let _ = book.caller.write(wire::MOVE, now + LINGER);
            }
            server.end_sending();
            drop(server);
            book.caller.finish(now + LINGER);
            return;
        }
        let (silent_at, stuck_at) = (
            unanswered.map(|at| at + SILENCE),
            stuck.map(|at| at + STUCK),
        );
        let move_at = book.move_by.filter(|by| *by > now);
        let wake = [
            close_by,
            silent_at,
            stuck_at,
            move_at,
            Some(last_sent + VANISHED),
        ];
        let until = wake.into_iter().flatten().min().unwrap_or(now + SEC);
        // Guards against a coroutine that keeps the core busy while an alarm is past and can't be acted on.
        let until = if until <= now { now + AGAIN } else { until };
        // Parked, not yielded: the worker looks at sockets only once nobody is ready to run.
        let until = if down.more || up.more {
            now + MS
        } else {
            until
        };
        // Anything else was meant for the attempt.
        if let Some(FlowEvent::Command(FlowCommand::Migrate(by))) = book.caller.mailbox.next(until)
        {
            book.move_by = Some(by);
        }
    }
}

#[cfg(test)]
mod tests;
