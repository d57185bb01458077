//! An accepted connection before it has a flow: from its first byte to the line that asks for a
//! connection to a server. It owns the connection and the bytes read from it, and must never drop a
//! complete line without an answer.

use nettlemux_dataplane::buffers::Buffer;
use nettlemux_dataplane::clock;
use nettlemux_dataplane::connection::{Connection, ConnectionError, LINGER_TIMEOUT};
use nettlemux_dataplane::dataplane::Dataplane;
use nettlemux_dataplane::wire::{self, LineBounds};
use nettlemux_policy::Time;
use tracing::{debug, warn};

use crate::pending::PendingConnection;
use crate::unanswered::UnansweredClient;

/// An accepted connection, with the line that was read last.
pub struct AcceptedConnection {
    pub client: UnansweredClient,
    _pending: PendingConnection,
    buffer: Buffer,
    /// Number of bytes received into the buffer.
    filled: usize,
    /// Position of the line in the buffer.
    line: LineBounds,
    /// When the line was received completely.
    pub line_received_at: Time,
    /// When the connection must have become a flow.
    deadline: Time,
}

impl AcceptedConnection {
    /// Returns a connection from which nothing has been read yet.
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

    /// Returns the line, without its line ending.
    pub fn line(&self) -> &[u8] {
        &self.buffer[..self.line.length]
    }

    /// Returns whether the line ends with CRLF, rather than with LF alone.
    pub fn line_ends_with_crlf(&self) -> bool {
        self.line.next_start == self.line.length + b"\r\n".len()
    }

    /// Returns whether bytes after the line have been received.
    pub fn has_more_than_line(&self) -> bool {
        self.filled > self.line.next_start
    }

    /// Answers a request that can't be served, and closes the connection.
    pub fn refuse(self, answer: &[u8]) {
        self.refuse_within(answer, LINGER_TIMEOUT);
    }

    fn refuse_within(self, answer: &[u8], timeout: Time) {
        let deadline = clock::now() + timeout;
        let _ = self.client.write(answer, deadline);
        self.client.close_lingering(deadline);
    }

    /// Answers the line and reads the next line; `None` if the connection ends before it.
    pub fn answer(mut self, answer: &[u8], dataplane: &Dataplane) -> Option<Self> {
        let deadline = clock::now() + LINGER_TIMEOUT;
        self.client.write(answer, deadline).ok()?;
        self.buffer
            .copy_within(self.line.next_start..self.filled, 0);
        self.filled -= self.line.next_start;
        self.next_line(dataplane)
    }

    /// Reads the next line; `None` if the connection ends or is refused before it.
    pub fn next_line(mut self, dataplane: &Dataplane) -> Option<Self> {
        // If no descriptors are left for flows, only data that has already arrived is read.
        let is_full = !dataplane.descriptor_budgets.flows.has_more_than(0);
        let deadline = if is_full { clock::now() } else { self.deadline };
        let mut result = self.read_line(deadline);
        // A connection may be evicted just after a complete line has arrived on it. Reading once
        // more without waiting keeps this line from being dropped.
        let is_evicted = matches!(result, Err(ConnectionError::Stopped));
        if is_evicted {
            result = self.read_line(0);
        }
        match result {
            Ok(line) => {
                self.line = line;
                self.line_received_at = clock::now();
                Some(self)
            }
            Err(error) => {
                self.end_without_line(&error, is_full || is_evicted);
                None
            }
        }
    }

    fn read_line(&mut self, deadline: Time) -> Result<LineBounds, ConnectionError> {
        self.client
            .read_line(&mut self.buffer[..], &mut self.filled, deadline)
    }

    /// Closes a connection on which no complete line was received. `descriptor_needed` if other
    /// connections wait for its descriptor.
    fn end_without_line(self, error: &ConnectionError, descriptor_needed: bool) {
        match error {
            ConnectionError::LineTooLong => {
                warn!("first line too long");
                self.refuse(wire::REPLY_FAILED);
            }
            // The line was not complete in time, or the descriptor is needed. No attempt was made.
            ConnectionError::Deadline | ConnectionError::Stopped => {
                debug!(%error, bytes = self.filled, "first line not received, connection rejected");
                // A line may arrive during the close. Closing with unread data resets the
                // connection, and the client loses the answer, so the close lingers. It doesn't
                // linger if the descriptor is needed: a flood of connections that send nothing
                // would keep other clients out.
                let timeout = if descriptor_needed { 0 } else { LINGER_TIMEOUT };
                self.refuse_within(wire::rejection_line(None).as_bytes(), timeout);
            }
            // The client has closed the connection: nobody is left to answer.
            _ => debug!(%error, bytes = self.filled, "connection closed before its first line"),
        }
    }
}
