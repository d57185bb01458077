//! The fifth stage: passes an open connection's lines on, both ways, until one side ends. It owns
//! both sockets and gives them back when it returns. It must never change what passes, never cut a
//! client off whose server still answers, and tell a client to move only between two lines.

mod direction;

use std::ops::ControlFlow;

use nettlemux_policy::{AttemptEnd, LoadReport, MS, SEC, Time};
use tracing::{debug, info};

use crate::attempt::ServerConnection;
use crate::clock;
use crate::connection::LINGER_TIMEOUT;
use crate::dataplane::Dataplane;
use crate::flow_guard::FlowGuard;
use crate::messages::{AttemptOutcome, AttemptTarget, DispatcherMessage, FlowCommand, FlowEvent};
use crate::socket::Socket;
use crate::wire::{self, LineScanner};

use direction::{BrokenSide, Direction};

/// After a client's line that brought nothing back for so long the server counts as silent. Clients
/// send every 2 s and sound servers answer at once, so two lines in a row have gone unanswered; it
/// must be noticed within 7 s.
const RESPONSE_TIMEOUT: Time = 5 * SEC;
/// A client that has sent nothing for so long counts as gone, as clients send every 2 s. It is told
/// to move, in case it isn't, and its descriptors are free again.
const CLIENT_IDLE_TIMEOUT: Time = 30 * SEC;
/// How long the other side may take to end once one has. A server's end must reach the client
/// within 1 s.
const CLOSE_TIMEOUT: Time = 800 * MS;
/// What a peer hasn't taken by then it won't take.
const WRITE_STALL_TIMEOUT: Time = 7 * SEC;
/// How soon a timer that could not be acted on is looked at again.
const OVERDUE_TIMER_INTERVAL: Time = 50 * MS;
/// How soon a direction that had its turn goes on.
const NEXT_TURN_DELAY: Time = MS;

/// Passes lines on between a flow's client and its server until their connection has ended.
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
        downstream: Direction::of_lines(received, received_length),
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

/// Tells the client to move to another server, where it is between two lines, and closes both
/// sockets, the server's first.
fn migrate(flow: &FlowGuard, server: Socket, now: Time, between_lines: bool) {
    let deadline = now + LINGER_TIMEOUT;
    // Where part of an overlong line has been passed on the client can't be told, only ended.
    if between_lines {
        let _ = flow.client.write(wire::REPLY_MIGRATE, deadline);
    }
    server.end_sending();
    drop(server);
    flow.client.close_lingering(deadline);
}

/// How a connection is closed.
enum Close {
    /// Both sockets, as they are.
    Now,
    /// The client is told to move to another server.
    Migrate {
        now: Time,
        /// No line of the server has been passed on in part.
        between_lines: bool,
    },
}

/// One open connection. Built where it is used and never moved: guards against copies on the stack
/// of each connection.
struct Relay<'a> {
    dataplane: &'a Dataplane,
    target: &'a AttemptTarget,
    flow: &'a mut FlowGuard,
    server: &'a Socket,
    /// From the server to the client.
    downstream: Direction,
    /// From the client to the server.
    upstream: Direction,
    /// Follows the server's lines.
    scanner: LineScanner,
    /// When the client sent the first line that nothing has come back for.
    unanswered_since: Option<Time>,
    /// When the client last sent something.
    client_active_at: Time,
    slowest_response: Time,
    /// When the connection is closed although one side hasn't ended.
    close_by: Option<Time>,
    end_reported: bool,
}

impl Relay<'_> {
    /// Passes lines on until the connection is to be closed.
    fn run(&mut self) -> Close {
        loop {
            match self.turn() {
                ControlFlow::Continue(wake_at) => self.wait(wake_at),
                ControlFlow::Break(close) => return close,
            }
        }
    }

    /// Passes on what there is and checks all timers. Returns when the next one expires.
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

    /// Passes on what the server sends. Returns whether any of it has reached the client.
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
            // A reset is passed on as one.
            self.flow.client.socket.reset();
            self.server.reset();
            return ControlFlow::Break(Close::Now);
        }
        ControlFlow::Continue(server_sent)
    }

    /// Passes on what the client sends.
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
            // Where the server has ended, its last lines have been passed on by now or are about to
            // be read.
            Err(BrokenSide::Receiver) if !self.downstream.sender_ended => {
                self.report_end(AttemptEnd::ConnectionLost);
                self.flow.client.socket.reset();
                ControlFlow::Break(Close::Now)
            }
            _ => ControlFlow::Continue(()),
        }
    }

    /// Reports the end of a side that has ended, and closes once both have or the other takes too
    /// long.
    fn check_ends(&mut self, now: Time, server_sent: bool) -> ControlFlow<Close> {
        if self.downstream.sender_ended && self.downstream.end_forwarded {
            match self.scanner.last_end() {
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

    /// Since when the side that has waited longest for its peer to take bytes waits.
    fn stalled_since(&self) -> Option<Time> {
        let directions = [&self.downstream, &self.upstream];
        let stalls = directions.into_iter().filter_map(|d| d.stalled_since);
        stalls.min()
    }

    fn check_write_stall(&mut self, now: Time) -> ControlFlow<Close> {
        let is_over = |since| since + WRITE_STALL_TIMEOUT <= now;
        if self.stalled_since().is_some_and(is_over) {
            self.report_end(AttemptEnd::ConnectionLost);
            return ControlFlow::Break(Close::Now);
        }
        ControlFlow::Continue(())
    }

    /// Closes with a migration where one side is silent, or where the policy wants it and no line
    /// is cut by it.
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

    /// Whether the server leaves a line unanswered, or the client sends nothing.
    fn is_silent(&self, now: Time) -> bool {
        let is_overdue = |since| since + RESPONSE_TIMEOUT <= now;
        self.unanswered_since.is_some_and(is_overdue)
            || self.client_active_at + CLIENT_IDLE_TIMEOUT <= now
    }

    /// Whether the policy wants the client migrated and its server is between two lines, or the
    /// wait for the rest of a line is over.
    fn is_migration_due(&self, now: Time) -> bool {
        let Some(migrate_by) = self.flow.migrate_by else {
            return false;
        };
        let line_is_whole = !self.downstream.holds_partial_line() || migrate_by <= now;
        self.scanner.is_between_lines() && line_is_whole
    }

    /// When the next timer expires, or the next turn is due.
    fn next_wakeup(&self, now: Time) -> Time {
        if self.downstream.has_more || self.upstream.has_more {
            // Parked, not yielded: the worker looks at sockets only once no coroutine is ready to
            // run.
            return now + NEXT_TURN_DELAY;
        }
        let response_due = self.unanswered_since.map(|since| since + RESPONSE_TIMEOUT);
        let stall_over = self
            .stalled_since()
            .map(|since| since + WRITE_STALL_TIMEOUT);
        let migration_due = self.flow.migrate_by.filter(|by| *by > now);
        let client_idle = self.client_active_at + CLIENT_IDLE_TIMEOUT;
        let timers = [self.close_by, response_due, stall_over, migration_due];
        let next = timers.into_iter().flatten().fold(client_idle, Time::min);
        // Guards against a coroutine that keeps the processor busy while a timer has expired and
        // can't be acted on.
        if next <= now {
            now + OVERDUE_TIMER_INTERVAL
        } else {
            next
        }
    }

    fn wait(&mut self, until: Time) {
        // Anything else was meant for the attempt, or only ends the wait.
        if let Some(FlowEvent::Command(FlowCommand::Migrate { line_deadline })) =
            self.flow.client.mailbox.next(until)
        {
            self.flow.migrate_by = Some(line_deadline);
        }
    }

    fn report_end(&mut self, end: AttemptEnd) {
        self.report_end_with(end, LoadReport::default());
    }

    /// Reports how the connection has ended, once.
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
