//! The fourth stage: makes one attempt. It dials the server, writes the client's first line and
//! waits for the answer. It owns the server's socket until it hands it on, and closes it before the
//! attempt is reported as ended. It must never write to a server that the endpoint list no longer
//! calls ready, never write twice, and never retry: retries are the policy's decision.

use std::io::{self, ErrorKind};

use nettlemux_policy::{AttemptEnd, Time};
use tracing::warn;

use crate::buffers::Buffer;
use crate::clock;
use crate::dataplane::Dataplane;
use crate::flow_guard::FlowGuard;
use crate::messages::{AttemptOutcome, AttemptTarget, FlowCommand, FlowEvent};
use crate::socket::Socket;
use crate::wire::{self, ServerAnswer};

/// A server that has accepted the client.
pub struct ServerConnection {
    /// The server's socket.
    pub socket: Socket,
    /// All that the server has sent, from its answer on, at the buffer's start.
    pub received: Buffer,
    /// Bytes of `received` that are in use.
    pub received_length: usize,
}

/// Why an attempt has brought no connection.
pub enum AttemptFailure {
    /// The attempt itself has ended.
    Ended(AttemptOutcome),
    /// The client went away, and the attempt with it.
    ClientLeft(LineProgress),
}

/// How much of the client's first line a server may have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineProgress {
    /// Its last byte was never written, so the server can't have acted on it.
    Unsent,
    /// All of it was written.
    Sent,
}

/// How a flow came to this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowOrigin {
    /// A client asks for a connection.
    New,
    /// The connection was open before this run and goes back to its server.
    Adopted,
}

/// What a wait inside an attempt was ended by.
enum Wakeup {
    /// Something may have happened: the sockets are to be looked at.
    Progress,
    TimedOut,
    /// The policy has cancelled the attempt, as its client is gone.
    Cancelled,
}

/// Makes one attempt for a flow and waits until the server has accepted the client.
///
/// # Errors
/// How the attempt has ended where the server hasn't accepted.
pub fn run(
    dataplane: &Dataplane,
    flow: &mut FlowGuard,
    target: &AttemptTarget,
    line: &[u8],
    origin: FlowOrigin,
) -> Result<ServerConnection, AttemptFailure> {
    let mut attempt = Attempt {
        dataplane,
        flow,
        target,
        client_left: false,
    };
    // Guards against an attempt that begins long after its client has left, where the worker has
    // been busy since the command and nothing has been notified yet.
    attempt.check_client()?;
    let server = attempt.dial()?;
    attempt.wait_until_connected(&server)?;
    attempt.check_client()?;
    let line = attempt.line_to_send(line, origin)?;
    attempt.write_line(&server, &line)?;
    attempt.wait_for_answer(server)
}

/// The state of one attempt.
struct Attempt<'a> {
    dataplane: &'a Dataplane,
    flow: &'a mut FlowGuard,
    target: &'a AttemptTarget,
    client_left: bool,
}

impl Attempt<'_> {
    /// Fails where the client has left. Up to its line's last byte an attempt has not been sent, so
    /// whoever is gone by then needs none, whether or not the settings allow attempts to be
    /// cancelled. Guards against a flow that is forwarded long after its client has left: while a
    /// connection comes up late, or since the client's end came in one with its line and notified
    /// nobody.
    fn check_client(&mut self) -> Result<(), AttemptFailure> {
        if self.has_client_left() {
            return Err(AttemptFailure::ClientLeft(LineProgress::Unsent));
        }
        Ok(())
    }

    /// Whether the client has left by now, also where nothing has been notified.
    fn has_client_left(&mut self) -> bool {
        if !self.client_left && self.flow.client_has_left() {
            self.client_left = true;
            // Once the line is out the policy says whether the attempt is cancelled.
            self.flow.record_client_left();
        }
        self.client_left
    }

    fn dial(&self) -> Result<Socket, AttemptFailure> {
        let client = &self.flow.client;
        let address = self.target.server.address;
        let server = Socket::dial(address, client.socket.permit(), client.mailbox.sender());
        server.map_err(|error| {
            if concerns_server(&error) {
                return unsent(AttemptEnd::Unreachable);
            }
            warn!(id = self.flow.id, server = self.target.server.name, %error, "can't connect");
            unsent(AttemptEnd::NotSent)
        })
    }

    fn wait_until_connected(&mut self, server: &Socket) -> Result<(), AttemptFailure> {
        let connect_timeout = self.dataplane.settings.current().connect_timeout;
        let connect_by = self.target.send_by.min(clock::now() + connect_timeout);
        loop {
            server.rearm_notification();
            match server.is_connected() {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(_) => return Err(unsent(AttemptEnd::Unreachable)),
            }
            self.wait_unsent(connect_by, Attempt::connect_timeout_end)?;
        }
    }

    /// What a connection that isn't up in time says: where its time was cut short so that a retry
    /// can't be late, nothing of the server.
    fn connect_timeout_end(&self) -> AttemptEnd {
        let is_cut_short = self.target.send_by < self.target.deadline;
        if is_cut_short && clock::now() >= self.target.send_by {
            AttemptEnd::NotSent
        } else {
            AttemptEnd::Unreachable
        }
    }

    /// Waits while the line's last byte isn't written; `timeout_end` says how the attempt ends
    /// where that takes too long.
    fn wait_unsent(
        &mut self,
        until: Time,
        timeout_end: impl FnOnce(&Self) -> AttemptEnd,
    ) -> Result<(), AttemptFailure> {
        match self.wait(until) {
            Wakeup::Progress if !self.client_left => Ok(()),
            Wakeup::Progress | Wakeup::Cancelled => {
                Err(AttemptFailure::ClientLeft(LineProgress::Unsent))
            }
            Wakeup::TimedOut => Err(unsent(timeout_end(self))),
        }
    }

    /// Returns the line as it goes to the server, where it may still be sent. The endpoint list may
    /// have changed since the command was given, and a retry that was in time may be late by now.
    /// An adopted connection goes back to its server whatever the list says.
    fn line_to_send(&self, line: &[u8], origin: FlowOrigin) -> Result<Vec<u8>, AttemptFailure> {
        match origin {
            FlowOrigin::Adopted => Ok([line, b"\r\n"].concat()),
            FlowOrigin::New
                if !self.target.server.ready() || clock::now() >= self.target.send_by =>
            {
                Err(unsent(AttemptEnd::NotSent))
            }
            FlowOrigin::New => {
                let wait = self.target.deadline.saturating_sub(clock::now());
                Ok(wire::forwarded_line(line, wait))
            }
        }
    }

    fn write_line(&mut self, server: &Socket, line: &[u8]) -> Result<(), AttemptFailure> {
        let mut written = 0;
        while written < line.len() {
            server.rearm_notification();
            match server.write(&line[written..]) {
                Ok(count) => written += count,
                // Its last byte was never written.
                Err(_) => return Err(unsent(AttemptEnd::Unreachable)),
            }
            if written < line.len() {
                self.wait_unsent(self.target.send_by, |_| AttemptEnd::Unreachable)?;
            }
        }
        Ok(())
    }

    fn wait_for_answer(&mut self, server: Socket) -> Result<ServerConnection, AttemptFailure> {
        let mut received = self.dataplane.buffers.take();
        let mut length = 0;
        let mut timed_out = false;
        loop {
            server.rearm_notification();
            match server.read(&mut received[length..]) {
                Ok(Some(0)) | Err(_) => return Err(sent(AttemptEnd::ConnectionLost)),
                Ok(Some(count)) => length += count,
                Ok(None) if timed_out => {
                    // Closed before the end is reported: it may serve nobody any more.
                    drop(server);
                    return Err(sent(AttemptEnd::TimedOut));
                }
                Ok(None) => match self.wait(self.target.deadline) {
                    Wakeup::Progress => {}
                    // Looked at once more: guards against an answer that has come and whose
                    // notification comes after the timer's.
                    Wakeup::TimedOut => timed_out = true,
                    Wakeup::Cancelled => {
                        return Err(AttemptFailure::ClientLeft(LineProgress::Sent));
                    }
                },
            }
            if let Some(line) = wire::first_line(&received[..length]) {
                self.check_answer(&received[..line.next])?;
                return Ok(ServerConnection {
                    socket: server,
                    received,
                    received_length: length,
                });
            }
            if length == received.len() {
                return Err(sent(AttemptEnd::Error));
            }
        }
    }

    /// Fails unless the server has accepted and the client is still there.
    fn check_answer(&self, answer: &[u8]) -> Result<(), AttemptFailure> {
        let report_format = self.dataplane.settings.current().report_format;
        match ServerAnswer::parse(answer, &report_format) {
            ServerAnswer::Accepted if self.client_left => {
                Err(AttemptFailure::ClientLeft(LineProgress::Sent))
            }
            ServerAnswer::Accepted => Ok(()),
            ServerAnswer::Ended(outcome) => Err(AttemptFailure::Ended(outcome)),
        }
    }

    fn wait(&mut self, until: Time) -> Wakeup {
        match self.flow.client.mailbox.next(until) {
            None | Some(FlowEvent::Command(FlowCommand::AttemptTimedOut)) => Wakeup::TimedOut,
            Some(FlowEvent::Command(FlowCommand::CancelAttempt)) if self.client_left => {
                Wakeup::Cancelled
            }
            Some(FlowEvent::Command(FlowCommand::Migrate { line_deadline })) => {
                self.flow.migrate_by = Some(line_deadline);
                Wakeup::Progress
            }
            Some(FlowEvent::Command(_) | FlowEvent::Stop) => Wakeup::Progress,
            Some(FlowEvent::SocketReady) => {
                if self.has_client_left() {
                    self.flow.continue_answer();
                }
                Wakeup::Progress
            }
        }
    }
}

/// An attempt that ended before the line's last byte was written.
fn unsent(end: AttemptEnd) -> AttemptFailure {
    AttemptFailure::Ended(AttemptOutcome::unsent(end))
}

/// An attempt that ended without an answer after its line was written.
fn sent(end: AttemptEnd) -> AttemptFailure {
    AttemptFailure::Ended(AttemptOutcome::sent(end))
}

/// Whether a connection that could not be begun says something of its server. All other errors are
/// this machine's: no descriptor, port, memory, route or permission.
fn concerns_server(error: &io::Error) -> bool {
    use ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
    matches!(
        error.kind(),
        ConnectionRefused | ConnectionReset | HostUnreachable | TimedOut
    )
}

#[cfg(test)]
mod tests;
