//! The fifth stage: forwards bytes between the client and the server of an open connection, in both
//! directions, until one side closes. It owns both sockets and closes them before it returns. It
//! must never change the data, never disconnect a client whose server still answers, and never tell
//! a client to move except between two lines.

mod direction;

use std::ops::ControlFlow;

use nettlemux_policy::{AttemptEnd, LoadReport, MS, SEC, Time};
use tracing::{debug, info};

use crate::attempt::ServerConnection;
use crate::clock;
use crate::connection::LINGER_TIMEOUT;
use crate::dataplane::Dataplane;
use crate::flow_guard::FlowGuard;
use crate::messages::{
    AttemptOutcome, AttemptTarget, CoroutineEvent, DispatcherMessage, FlowCommand,
};
use crate::socket::Socket;
use crate::wire::{self, LineScanner};

use direction::{BrokenSide, Direction};

/// A server that sends nothing for this long after a client's line counts as silent. Clients send
/// every 2 s and healthy servers answer at once, so two lines in a row have gone unanswered by then.
/// A silent server must be detected within 7 s.
const RESPONSE_TIMEOUT: Time = 5 * SEC;
/// A client that sends nothing for this long counts as gone, because clients send every 2 s. Its
/// connection is closed, which frees its descriptors. It is told to move first, in case it is still
/// there.
const CLIENT_IDLE_TIMEOUT: Time = 30 * SEC;
/// Time that the client has to end its stream after the server's end of stream was forwarded; then
/// the connection is closed. A server's end must reach the client within 1 s.
const CLOSE_TIMEOUT: Time = 800 * MS;
/// A peer that accepts no bytes for this long counts as lost.
const WRITE_STALL_TIMEOUT: Time = 7 * SEC;
/// Time until the next check of a timer that has expired but could not be acted on yet.
const OVERDUE_TIMER_INTERVAL: Time = 50 * MS;
/// Time until the next turn if a direction has used up its turn and has more to forward.
const NEXT_TURN_DELAY: Time = MS;

/// Forwards data between a flow's client and its server until their connection has ended.
pub fn relay(
    dataplane: &Dataplane,
    mut flow: FlowGuard,
    target: &AttemptTarget,
    server: ServerConnection,
) {
    flow.record_connected(target);
    let ServerConnection {
        socket: server,
        received,
        received_length,
    } = server;
    let mut relay = Relay {
        dataplane,
        target,
        flow: &mut flow,
        server: &server,
        downstream: Direction::line_framed(received, received_length),
        upstream: Direction::default(),
        scanner: LineScanner::new(dataplane.settings.current().report_format),
        unanswered_since: None,
        client_active_at: clock::now(),
        slowest_response: 0,
        close_by: None,
        end_reported: false,
    };
    if let Close::Migrate { now, between_lines } = relay.run() {
        migrate(&flow, server, now, between_lines);
    }
}

/// Closes both sockets, the server's first. A client that is between two lines is first told to
/// move to another server.
fn migrate(flow: &FlowGuard, server: Socket, now: Time, between_lines: bool) {
    let deadline = now + LINGER_TIMEOUT;
    // A client that has received part of an overlong line can't be told to move: the reply would
    // become part of that line. Its connection is only closed.
    if between_lines {
        let _ = flow.client.write(wire::REPLY_MIGRATE, deadline);
    }
    server.shutdown_write();
    drop(server);
    flow.client.close_lingering(deadline);
}

/// How a connection is closed.
enum Close {
    /// Both sockets are closed at once.
    Now,
    /// The client is told to move to another server first.
    Migrate {
        now: Time,
        /// The client has received no partial line.
        between_lines: bool,
    },
}

/// One open connection. It is built in place and never moved, so that the stack of each connection
/// doesn't hold copies of it.
struct Relay<'a> {
    dataplane: &'a Dataplane,
    target: &'a AttemptTarget,
    flow: &'a mut FlowGuard,
    server: &'a Socket,
    /// From the server to the client.
    downstream: Direction,
    /// From the client to the server.
    upstream: Direction,
    /// Parses the server's lines.
    scanner: LineScanner,
    /// When the client sent the first line since the server last sent anything.
    unanswered_since: Option<Time>,
    /// When the client last sent something.
    client_active_at: Time,
    slowest_response: Time,
    /// When the connection is closed even if one side hasn't ended.
    close_by: Option<Time>,
    end_reported: bool,
}

impl Relay<'_> {
    /// Forwards data until the connection is to be closed.
    fn run(&mut self) -> Close {
        loop {
            match self.turn() {
                ControlFlow::Continue(wake_at) => self.wait(wake_at),
                ControlFlow::Break(close) => return close,
            }
        }
    }

    /// Forwards the available data and checks all timers. Returns the time of the next turn.
    fn turn(&mut self) -> ControlFlow<Close, Time> {
        self.flow.client.socket.rearm_notification();
        self.server.rearm_notification();
        let now = clock::now();
        let server_sent = self.pump_downstream(now)?;
        self.pump_upstream(now)?;
        self.check_ends(now, server_sent)?;
        self.check_write_stall(now)?;
        self.check_migration(now)?;
        ControlFlow::Continue(self.next_wakeup(now))
    }

    /// Forwards the server's data. Returns whether any of it was written to the client.
    fn pump_downstream(&mut self, now: Time) -> ControlFlow<Close, bool> {
        let client = &self.flow.client.socket;
        let mut load = None;
        let mut server_sent = false;
        let buffers = &self.dataplane.buffers;
        let pumped = self.downstream.pump(self.server, client, buffers, |bytes| {
            server_sent = true;
            load = self.scanner.scan(bytes).or(load);
        });
        if let Some(load) = load {
            let flow = self.flow.id;
            self.flow
                .notify_dispatcher(DispatcherMessage::ConnectionLoad { flow, load });
        }
        if server_sent && let Some(since) = self.unanswered_since.take() {
            self.slowest_response = self.slowest_response.max(now - since);
        }
        if let Err(broken) = pumped {
            self.report_end(match broken {
                BrokenSide::Sender => AttemptEnd::ConnectionLost,
                BrokenSide::Receiver => AttemptEnd::Done,
            });
            // A reset by one side is forwarded to the other as a reset.
            self.flow.client.socket.reset();
            self.server.reset();
            return ControlFlow::Break(Close::Now);
        }
        ControlFlow::Continue(server_sent)
    }

    /// Forwards the client's data.
    fn pump_upstream(&mut self, now: Time) -> ControlFlow<Close> {
        let client = &self.flow.client.socket;
        let buffers = &self.dataplane.buffers;
        let pumped = self.upstream.pump(client, self.server, buffers, |_| {
            self.unanswered_since.get_or_insert(now);
            self.client_active_at = now;
        });
        match pumped {
            Err(BrokenSide::Sender) => {
                self.report_end(AttemptEnd::Done);
                self.server.reset();
                ControlFlow::Break(Close::Now)
            }
            // If the server has ended, the connection stays open: the server's last lines have been
            // forwarded or are still to be read.
            Err(BrokenSide::Receiver) if !self.downstream.sender_ended => {
                self.report_end(AttemptEnd::ConnectionLost);
                self.flow.client.socket.reset();
                ControlFlow::Break(Close::Now)
            }
            _ => ControlFlow::Continue(()),
        }
    }

    /// Reports the end if one side has ended. Closes the connection when both sides have ended, or
    /// when the other side takes too long to end.
    fn check_ends(&mut self, now: Time, server_sent: bool) -> ControlFlow<Close> {
        if self.downstream.sender_ended && self.downstream.end_forwarded {
            match self.scanner.announced_end() {
                Some(last) => self.report_end_with(last.end, last.report),
                None => self.report_end(AttemptEnd::ConnectionLost),
            }
            self.close_by.get_or_insert(now + CLOSE_TIMEOUT);
        } else if self.upstream.sender_ended {
            self.report_end(AttemptEnd::Done);
            if server_sent || self.close_by.is_none() {
                self.close_by = Some(now + RESPONSE_TIMEOUT);
            }
        }
        let both_ended = self.downstream.end_forwarded && self.upstream.end_forwarded;
        if both_ended || self.close_by.is_some_and(|close_by| close_by <= now) {
            return ControlFlow::Break(Close::Now);
        }
        ControlFlow::Continue(())
    }

    /// Returns the start of the longer stall, or `None` if both peers accept bytes.
    fn stalled_since(&self) -> Option<Time> {
        let directions = [&self.downstream, &self.upstream];
        let stalls = directions.into_iter().filter_map(|d| d.stalled_since);
        stalls.min()
    }

    fn check_write_stall(&mut self, now: Time) -> ControlFlow<Close> {
        let is_timed_out = |since| since + WRITE_STALL_TIMEOUT <= now;
        if self.stalled_since().is_some_and(is_timed_out) {
            self.report_end(AttemptEnd::ConnectionLost);
            return ControlFlow::Break(Close::Now);
        }
        ControlFlow::Continue(())
    }

    /// Closes with a migration if one side is silent, or if the policy requests it and it would
    /// split no line.
    fn check_migration(&mut self, now: Time) -> ControlFlow<Close> {
        let may_migrate = !self.upstream.sender_ended
            && !self.downstream.sender_ended
            && self.downstream.all_forwarded();
        let is_silent = self.is_silent(now);
        if !may_migrate || !(is_silent || self.is_migration_due(now)) {
            return ControlFlow::Continue(());
        }
        info!(
            id = self.flow.id,
            server = self.target.server.name,
            silent = is_silent,
            "client migrated"
        );
        self.report_end(if is_silent {
            AttemptEnd::ConnectionLost
        } else {
            AttemptEnd::Cancelled
        });
        ControlFlow::Break(Close::Migrate {
            now,
            between_lines: self.scanner.is_between_lines(),
        })
    }

    /// Returns whether the server hasn't answered in time or the client is idle.
    fn is_silent(&self, now: Time) -> bool {
        let is_overdue = |since| since + RESPONSE_TIMEOUT <= now;
        self.unanswered_since.is_some_and(is_overdue)
            || self.client_active_at + CLIENT_IDLE_TIMEOUT <= now
    }

    /// Returns whether the policy has requested a migration that can be done now: the client is
    /// between two lines, and the server has begun no line, or the wait for the rest of it is over.
    fn is_migration_due(&self, now: Time) -> bool {
        let Some(migrate_by) = self.flow.migrate_by else {
            return false;
        };
        let line_is_whole = !self.downstream.holds_partial_line() || migrate_by <= now;
        self.scanner.is_between_lines() && line_is_whole
    }

    /// Returns when the next timer expires or the next turn is due.
    fn next_wakeup(&self, now: Time) -> Time {
        if self.downstream.has_more || self.upstream.has_more {
            // The coroutine parks for a moment. A yield would keep it ready to run, and the worker
            // polls sockets only when no coroutine is ready.
            return now + NEXT_TURN_DELAY;
        }
        let response_deadline = self.unanswered_since.map(|since| since + RESPONSE_TIMEOUT);
        let stall_deadline = self
            .stalled_since()
            .map(|since| since + WRITE_STALL_TIMEOUT);
        let migration_deadline = self.flow.migrate_by.filter(|by| *by > now);
        let idle_deadline = self.client_active_at + CLIENT_IDLE_TIMEOUT;
        let timers = [
            self.close_by,
            response_deadline,
            stall_deadline,
            migration_deadline,
        ];
        let next = timers.into_iter().flatten().fold(idle_deadline, Time::min);
        // Guards against a busy loop while a timer has expired but can't be acted on yet.
        if next <= now {
            now + OVERDUE_TIMER_INTERVAL
        } else {
            next
        }
    }

    fn wait(&mut self, until: Time) {
        // Any other event was meant for the attempt or only wakes this coroutine.
        if let Some(CoroutineEvent::Command(FlowCommand::Migrate { line_deadline })) =
            self.flow.client.mailbox.next(until)
        {
            self.flow.migrate_by = Some(line_deadline);
        }
    }

    fn report_end(&mut self, end: AttemptEnd) {
        self.report_end_with(end, LoadReport::default());
    }

    /// Reports how the connection has ended. Only the first call has an effect.
    fn report_end_with(&mut self, end: AttemptEnd, report: LoadReport) {
        if self.end_reported {
            return;
        }
        self.end_reported = true;
        debug!(
            id = self.flow.id,
            server = self.target.server.name,
            ?end,
            slowest_response_ms = self.slowest_response / MS,
            "connection ended"
        );
        let outcome = AttemptOutcome {
            end,
            known_unexecuted: false,
            report,
        };
        self.flow.report_attempt_ended(self.target, outcome);
    }
}

#[cfg(test)]
mod tests;
