//! An accepted connection, from its first byte to the end of its first lines. It owns the
//! connection and what has been read of it, and must never drop a complete line unanswered.

use nettlemux_dataplane::buffers::Buffer;
use nettlemux_dataplane::clock;
use nettlemux_dataplane::connection::{Connection, ConnectionError, LINGER_TIMEOUT};
use nettlemux_dataplane::dataplane::Dataplane;
use nettlemux_dataplane::wire::{self, LineBounds};
use nettlemux_policy::Time;
use tracing::{debug, warn};

use crate::pending::PendingConnection;
use crate::unanswered::UnansweredClient;

/// A connection with its first line.
pub struct AcceptedConnection {
    pub client: UnansweredClient,
    _pending: PendingConnection,
    buffer: Buffer,
    /// The buffer's bytes that have come.
    filled: usize,
    /// Where the line stands in the buffer.
    line: LineBounds,
    /// When the line was complete.
    pub line_received_at: Time,
    /// When all that comes before a flow must be over.
    deadline: Time,
}

impl AcceptedConnection {
    /// Returns a connection of which nothing has been read.
    pub fn new(
        client: Connection,
        pending: PendingConnection,
        buffer: Buffer,
        deadline: Time,
    ) -> Self {
        AcceptedConnection {
            client: UnansweredClient::new(client),
            _pending: pending,
            buffer,
            filled: 0,
            line: LineBounds::default(),
            line_received_at: 0,
            deadline,
        }
    }

    /// Returns the line, without its end.
    pub fn line(&self) -> &[u8] {
        &self.buffer[..self.line.length]
    }

    /// Returns whether the line is ended by CRLF, and not by LF alone.
    pub fn line_ends_with_crlf(&self) -> bool {
        self.line.next == self.line.length + b"\r\n".len()
    }

    /// Returns whether anything has come after the line.
    pub fn has_more_than_line(&self) -> bool {
        self.filled > self.line.next
    }

    /// Answers what can't be served, and closes.
    pub fn refuse(self, answer: &[u8]) {
        self.refuse_within(answer, LINGER_TIMEOUT);
    }

    fn refuse_within(self, answer: &[u8], timeout: Time) {
        let deadline = clock::now() + timeout;
        let _ = self.client.write(answer, deadline);
        self.client.close_lingering(deadline);
    }

    /// Answers the line and reads the next; none once the connection has ended without one.
    pub fn answer(mut self, answer: &[u8], dataplane: &Dataplane) -> Option<Self> {
        let deadline = clock::now() + LINGER_TIMEOUT;
        self.client.write(answer, deadline).ok()?;
        self.buffer.copy_within(self.line.next..self.filled, 0);
        self.filled -= self.line.next;
        self.next_line(dataplane)
    }

    /// Reads the next line; none once the connection has ended, or been refused, without one.
    pub fn next_line(mut self, dataplane: &Dataplane) -> Option<Self> {
        // At the limit nobody is waited for.
        let is_full = !dataplane.budgets.flows.has_more_than(0);
        let deadline = if is_full { clock::now() } else { self.deadline };
        let mut result = self.read_line(deadline);
        // Guards against a complete line that has come on a connection that gives way, and is
        // dropped.
        let gives_way = matches!(result, Err(ConnectionError::Stopped));
        if gives_way {
            result = self.read_line(0);
        }
        match result {
            Ok(line) => {
                self.line = line;
                self.line_received_at = clock::now();
                Some(self)
            }
            Err(error) => {
                self.end_without_line(&error, is_full || gives_way);
                None
            }
        }
    }

    fn read_line(&mut self, deadline: Time) -> Result<LineBounds, ConnectionError> {
        self.client
            .read_line(&mut self.buffer[..], &mut self.filled, deadline)
    }

    /// Closes a connection on which no line has come; `place_is_needed` where others wait for it.
    fn end_without_line(self, error: &ConnectionError, place_is_needed: bool) {
        match error {
            ConnectionError::LineTooLong => {
                warn!("overlong first line");
                self.refuse(wire::REPLY_FAILED);
            }
            // Never complete, or its place is needed: nothing has run.
            ConnectionError::Deadline | ConnectionError::Stopped => {
                debug!(%error, bytes = self.filled, "no first line");
                // Guards against a line that comes just now: a close over it resets the connection,
                // and the answer goes with the reset. Not where its place is needed: a flood of
                // silent connections would keep the others out.
                let timeout = if place_is_needed { 0 } else { LINGER_TIMEOUT };
                self.refuse_within(wire::rejection(None).as_bytes(), timeout);
            }
            // Closed: there is nobody to answer.
            _ => debug!(%error, bytes = self.filled, "closed before a first line"),
        }
    }
}
