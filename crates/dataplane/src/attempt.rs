//! The fourth stage: makes one attempt. It dials the server, writes the client's first line and
//! waits for the answer. It owns the server's socket. If the server accepts, it returns the socket;
//! otherwise it closes the socket before the attempt is reported as ended. It must never write to a
//! server that the endpoint list no longer calls ready, never write twice, and never retry: retries
//! are the policy's decision.

use std::io::{self, ErrorKind};

use nettlemux_policy::{AttemptEnd, Time};
use tracing::warn;

use crate::buffers::Buffer;
use crate::clock;
use crate::dataplane::Dataplane;
use crate::flow_guard::FlowGuard;
use crate::messages::{AttemptOutcome, AttemptTarget, CoroutineEvent, FlowCommand};
use crate::socket::Socket;
use crate::wire::{self, ServerAnswer};

/// A server that has accepted the client.
pub struct ServerConnection {
    /// The server's socket.
    pub socket: Socket,
    /// The bytes that the server has sent so far. They start with its answer.
    pub received: Buffer,
    /// Number of bytes in `received`.
    pub received_length: usize,
}

/// Why an attempt produced no connection.
pub enum AttemptFailure {
    /// The attempt has failed, or it was not sent.
    Ended(AttemptOutcome),
    /// The client has left, which ended the attempt.
    ClientLeft(LineProgress),
}

/// How much of the client's first line the server may have received.
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
    /// A client has requested a connection.
    New,
    /// The connection was open before the balancer started and is reopened at the same server.
    Adopted,
}

/// What ended a wait inside an attempt.
enum Wakeup {
    /// Something may have happened: the sockets have to be checked.
    Progress,
    TimedOut,
    /// The policy has cancelled the attempt because its client has left.
    Cancelled,
}

/// Makes one attempt for a flow and waits until the server has accepted the client.
///
/// # Errors
/// How the attempt has ended if the server hasn't accepted the client.
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
    // Guards against an attempt that begins long after its client has left: if the worker has been
    // busy since the command, the client's end has not been notified yet.
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
    /// Fails if the client has left. An attempt counts as sent when the last byte of its line is
    /// written; until then it can be dropped even if the settings don't allow attempts to be
    /// cancelled. Guards against a flow that is forwarded long after its client has left. That
    /// happens when the connection to the server takes long, or when the client's end arrived
    /// together with its line and caused no notification of its own.
    fn check_client(&mut self) -> Result<(), AttemptFailure> {
        if self.has_client_left() {
            return Err(AttemptFailure::ClientLeft(LineProgress::Unsent));
        }
        Ok(())
    }

    /// Returns whether the client has left. Reads the socket, so that it also sees an end that has
    /// not been notified.
    fn has_client_left(&mut self) -> bool {
        if !self.client_left && self.flow.client_has_left() {
            self.client_left = true;
            // After the line has been sent, the policy decides whether the attempt is cancelled.
            self.flow.record_client_left();
        }
        self.client_left
    }

    fn dial(&self) -> Result<Socket, AttemptFailure> {
        let client = &self.flow.client;
        let address = self.target.server.address;
        let server = Socket::dial(address, client.socket.permit(), client.mailbox.sender());
        server.map_err(|error| {
            if is_server_error(&error) {
                return failed_before_send(AttemptEnd::Unreachable);
            }
            warn!(
                id = self.flow.id,
                server = self.target.server.name,
                %error,
                "can't start a connection to the server because of a local error"
            );
            failed_before_send(AttemptEnd::NotSent)
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
                Err(_) => return Err(failed_before_send(AttemptEnd::Unreachable)),
            }
            self.wait_before_send(connect_by, Attempt::connect_timeout_end)?;
        }
    }

    /// Returns how the attempt ends if the connection isn't established in time. A time limit that
    /// was shortened so that a retry isn't late says nothing about the server.
    fn connect_timeout_end(&self) -> AttemptEnd {
        let is_cut_short = self.target.send_by < self.target.deadline;
        if is_cut_short && clock::now() >= self.target.send_by {
            AttemptEnd::NotSent
        } else {
            AttemptEnd::Unreachable
        }
    }

    /// Waits before the line's last byte is written. `timeout_end` returns how the attempt ends on a
    /// timeout.
    fn wait_before_send(
        &mut self,
        until: Time,
        timeout_end: impl FnOnce(&Self) -> AttemptEnd,
    ) -> Result<(), AttemptFailure> {
        match self.wait(until) {
            Wakeup::Progress if !self.client_left => Ok(()),
            Wakeup::Progress | Wakeup::Cancelled => {
                Err(AttemptFailure::ClientLeft(LineProgress::Unsent))
            }
            Wakeup::TimedOut => Err(failed_before_send(timeout_end(self))),
        }
    }

    /// Returns the line in the form in which the server gets it, or fails if it may no longer be
    /// sent: the endpoint list may have changed since the command was given, and a retry that was in
    /// time may be late by now. An adopted connection is reopened at its server whatever the list
    /// says.
    fn line_to_send(&self, line: &[u8], origin: FlowOrigin) -> Result<Vec<u8>, AttemptFailure> {
        match origin {
            FlowOrigin::Adopted => Ok([line, b"\r\n"].concat()),
            FlowOrigin::New
                if !self.target.server.is_ready() || clock::now() >= self.target.send_by =>
            {
                Err(failed_before_send(AttemptEnd::NotSent))
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
                // The line's last byte was not written.
                Err(_) => return Err(failed_before_send(AttemptEnd::Unreachable)),
            }
            if written < line.len() {
                self.wait_before_send(self.target.send_by, |_| AttemptEnd::Unreachable)?;
            }
        }
        self.flow.record_line_sent();
        Ok(())
    }

    fn wait_for_answer(&mut self, server: Socket) -> Result<ServerConnection, AttemptFailure> {
        let mut received = self.dataplane.buffers.take();
        let mut length = 0;
        let mut timed_out = false;
        loop {
            server.rearm_notification();
            match server.read(&mut received[length..]) {
                Ok(Some(0)) | Err(_) => return Err(failed_after_send(AttemptEnd::ConnectionLost)),
                Ok(Some(count)) => length += count,
                Ok(None) if timed_out => {
                    // The socket is closed before the end is reported: from then on the server must
                    // not serve this client.
                    drop(server);
                    return Err(failed_after_send(AttemptEnd::TimedOut));
                }
                Ok(None) => match self.wait(self.target.deadline) {
                    Wakeup::Progress => {}
                    // Reads once more: the answer may have arrived although its notification comes
                    // after the timer's.
                    Wakeup::TimedOut => timed_out = true,
                    Wakeup::Cancelled => {
                        return Err(AttemptFailure::ClientLeft(LineProgress::Sent));
                    }
                },
            }
            if let Some(line) = wire::first_line(&received[..length]) {
                self.check_answer(&received[..line.next_start])?;
                return Ok(ServerConnection {
                    socket: server,
                    received,
                    received_length: length,
                });
            }
            if length == received.len() {
                return Err(failed_after_send(AttemptEnd::Error));
            }
        }
    }

    /// Fails unless the server has accepted the client and the client hasn't left.
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
            None | Some(CoroutineEvent::Command(FlowCommand::AttemptTimedOut)) => Wakeup::TimedOut,
            Some(CoroutineEvent::Command(FlowCommand::CancelAttempt)) if self.client_left => {
                Wakeup::Cancelled
            }
            Some(CoroutineEvent::Command(FlowCommand::Migrate { line_deadline })) => {
                self.flow.migrate_by = Some(line_deadline);
                Wakeup::Progress
            }
            Some(CoroutineEvent::Command(_) | CoroutineEvent::Stop) => Wakeup::Progress,
            Some(CoroutineEvent::SocketReady) => {
                if self.has_client_left() {
                    self.flow.continue_answer();
                }
                Wakeup::Progress
            }
        }
    }
}

/// Returns the failure of an attempt that ended before the line's last byte was written.
fn failed_before_send(end: AttemptEnd) -> AttemptFailure {
    AttemptFailure::Ended(AttemptOutcome::unsent(end))
}

/// Returns the failure of an attempt whose line was written but whose server sent no usable answer.
fn failed_after_send(end: AttemptEnd) -> AttemptFailure {
    AttemptFailure::Ended(AttemptOutcome::sent(end))
}

/// Returns whether the error of a dial is about the server. All other errors are local to this
/// machine: no descriptor, port, memory, route or permission.
fn is_server_error(error: &io::Error) -> bool {
    use ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
    matches!(
        error.kind(),
        ConnectionRefused | ConnectionReset | HostUnreachable | TimedOut
    )
}

#[cfg(test)]
mod tests;
