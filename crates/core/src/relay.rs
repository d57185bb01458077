//! The fifth stage: passes an open connection's lines on, both ways, until one side ends. It owns both sockets
//! and gives them back when it returns. Bytes go on as they come, so no line is held. It must never change
//! what passes, never cut a client off whose server still answers, and say `MOVE` only between two lines.

use nettlemux_policy::{End, MS, Report, SEC, Time};
use tracing::{debug, info};

use crate::book::Book;
use crate::clock;
use crate::net::{LINGER, Socket};
use crate::orders::{Ask, Event, Order, Target};
use crate::pool::{Buffer, Buffers};
use crate::shared::Core;
use crate::wire::{self, Passing};

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

/// Buffers that one side may pass on before others get their turn: guards against a flow that keeps the worker to
/// itself while both its sides keep up.
const TURN: usize = 16;

/// One direction.
#[derive(Default)]
struct Way {
    bytes: Option<Buffer>,
    from: usize,
    to: usize,
    /// Bytes have waited for the receiver since.
    stuck: Option<Time>,
    /// The sender has ended.
    ended: bool,
    /// And the receiver was told.
    told: bool,
    /// Its turn was over before it had passed on all.
    more: bool,
}

/// Which side has broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Sender,
    Receiver,
}

impl Way {
    /// Passes on what there is, without waiting. `seen` is shown what goes on.
    fn pump(
        &mut self,
        sender: &Socket,
        receiver: &Socket,
        buffers: &std::sync::Arc<Buffers>,
        mut seen: impl FnMut(&[u8]),
    ) -> Result<(), Broken> {
        let mut turns = 0;
        self.more = false;
        loop {
            while self.from < self.to {
                let bytes = self.bytes.as_ref().expect("it holds what waits");
                let count = receiver.write(&bytes[self.from..self.to]).map_err(|_| Broken::Receiver)?;
                if count == 0 {
                    self.stuck.get_or_insert_with(clock::now);
                    return Ok(());
                }
                self.stuck = None;
                seen(&bytes[self.from..self.from + count]);
                self.from += count;
            }
            if self.ended {
                if !self.told {
                    receiver.end_sending();
                    self.told = true;
                }
                self.bytes = None;
                return Ok(());
            }
            if turns == TURN {
                self.more = true;
                return Ok(());
            }
            turns += 1;
            let bytes = self.bytes.get_or_insert_with(|| buffers.take());
            (self.from, self.to) = (0, 0);
            match sender.read(&mut bytes[..]) {
                Ok(Some(0)) => self.ended = true,
                Ok(Some(count)) => self.to = count,
                Ok(None) => {
                    // An idle connection holds no buffer.
                    self.bytes = None;
                    return Ok(());
                }
                Err(_) => return Err(Broken::Sender),
            }
        }
    }

    fn idle(&self) -> bool {
        self.from == self.to
    }
}

pub fn relay(core: &Core, mut book: Book, target: &Target, server: Socket, (bytes, held): (Buffer, usize)) {
    book.established(target);
    let mut down = Way { bytes: Some(bytes), to: held, ..Way::default() };
    let mut up = Way::default();
    let mut passing = Passing::new(core.terms.now().reports);
    // The client's first line that nothing has come back for.
    let mut unanswered: Option<Time> = None;
    let mut last_sent = clock::now();
    let mut slowest = 0;
    let none = Report::default();
    let mut close_by: Option<Time> = None;
    let mut over: Option<End> = None;
    let tell_end = |book: &Book, over: &mut Option<End>, slowest: Time, end, report| {
        if over.is_none() {
            *over = Some(end);
            debug!(
                id = book.id,
                server = target.server.name,
                ?end,
                slowest_ms = slowest / MS,
                "connection ended"
            );
            let never_ran = false;
            let (flow, rs, number) = (book.id, target.rs, target.number);
            book.tell(Ask::Ended { flow, rs, number, end, never_ran, report });
        }
    };

    loop {
        let client = &book.caller.socket;
        client.looked_at();
        server.looked_at();
        let now = clock::now();
        let mut load = None;
        let mut answered = false;
        let passed = down.pump(&server, client, &core.buffers, |bytes| {
            answered = true;
            load = passing.pass(bytes).or(load);
        });
        if let Some(load) = load {
            book.tell(Ask::Load { flow: book.id, load });
        }
        if answered && let Some(since) = unanswered.take() {
            slowest = slowest.max(now - since);
        }
        if let Err(broken) = passed {
            let end = if broken == Broken::Sender { End::Cut } else { End::Done };
            tell_end(&book, &mut over, slowest, end, none);
            // A reset is passed on as one.
            client.reset();
            server.reset();
            return;
        }
        let passed = up.pump(client, &server, &core.buffers, |_| {
            unanswered.get_or_insert(now);
            last_sent = now;
        });
        match passed {
            Err(Broken::Sender) => {
                tell_end(&book, &mut over, slowest, End::Done, none);
                server.reset();
                return;
            }
            // Its last words have been passed on by now, or are about to be read.
            Err(Broken::Receiver) if !down.ended => {
                tell_end(&book, &mut over, slowest, End::Cut, none);
                client.reset();
                return;
            }
            _ => {}
        }
        if down.ended && down.told {
            let (end, report) = passing.last.unwrap_or((End::Cut, none));
            tell_end(&book, &mut over, slowest, end, report);
            close_by.get_or_insert(now + END);
        } else if up.ended {
            tell_end(&book, &mut over, slowest, End::Done, none);
            if answered || close_by.is_none() {
                close_by = Some(now + SILENCE);
            }
        }
        if (down.told && up.told) || close_by.is_some_and(|at| at <= now) {
            return;
        }
        let stuck = [down.stuck, up.stuck].into_iter().flatten().min();
        if stuck.is_some_and(|since| since + STUCK <= now) {
            tell_end(&book, &mut over, slowest, End::Cut, none);
            return;
        }

        let silent = unanswered.is_some_and(|since| since + SILENCE <= now);
        let silent = silent || last_sent + VANISHED <= now;
        let may_move = !up.ended && !down.ended && down.idle();
        if may_move && (silent || book.moving) && (passing.between_lines() || silent) {
            let end = if silent { End::Cut } else { End::CalledOff };
            info!(id = book.id, server = target.server.name, silent, "moved");
            tell_end(&book, &mut over, slowest, end, none);
            // A silent server may have stopped inside a line; the client can't be told then, only ended.
            if passing.between_lines() {
                let _ = book.caller.write(wire::MOVE, now + LINGER);
            }
            server.end_sending();
            drop(server);
            book.caller.finish(now + LINGER);
            return;
        }
        let wake =
            [close_by, unanswered.map(|t| t + SILENCE), stuck.map(|t| t + STUCK), Some(last_sent + VANISHED)];
        let until = wake.into_iter().flatten().min().unwrap_or(now + SEC);
        // Guards against a coroutine that keeps the core busy while an alarm is past and can't be acted on.
        let until = if until <= now { now + AGAIN } else { until };
        // Parked, not yielded: the worker looks at sockets only once nobody is ready to run.
        let until = if down.more || up.more { now + MS } else { until };
        // Anything else was meant for the connect.
        if let Some(Event::Order(Order::Move)) = book.caller.mailbox.next(until) {
            book.moving = true;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    use super::*;
    use crate::net::Caller;
    use crate::pool::{BUFFER, Descriptors};

    /// A stream and the socket at its other end.
    fn pair(descriptors: &std::sync::Arc<Descriptors>) -> (TcpStream, Caller) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let accepted = listener.accept().unwrap().0;
        accepted.set_nonblocking(true).unwrap();
        (stream, Caller::new(accepted, descriptors.take(0).unwrap()))
    }

    #[test]
    fn one_flow_does_not_keep_the_worker() {
        let passed = may::go!(|| {
            let (descriptors, buffers) = (Descriptors::new(9), Buffers::new());
            let ((mut from, sender), (mut to, receiver)) = (pair(&descriptors), pair(&descriptors));
            from.write_all(&[b'x'; 24 * BUFFER]).unwrap();
            let mut way = Way::default();
            let mut passed = Vec::new();
            for _ in 0..3 {
                let mut count = 0;
                way.pump(&sender.socket, &receiver.socket, &buffers, |bytes| count += bytes.len()).unwrap();
                let mut read = vec![0; count];
                to.read_exact(&mut read).unwrap();
                passed.push((count, way.more));
            }
            passed
        });
        let passed = passed.join().unwrap();
        assert!(passed[0].0 <= TURN * BUFFER && passed[0].1, "{passed:?}");
        assert_eq!(
            (passed.iter().map(|p| p.0).sum::<usize>(), passed[2].1),
            (24 * BUFFER, false),
            "{passed:?}"
        );
    }
}
