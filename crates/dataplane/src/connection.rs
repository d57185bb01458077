//! Blocking-style I/O on one socket. A [`Connection`] owns the socket and the mailbox that notifies
//! the coroutine that uses it. Its calls wait, each until a deadline at the latest. Nothing here
//! knows more of a protocol than how its lines end.

use std::io;
use std::net::{SocketAddr, TcpStream};

use nettlemux_policy::{MS, SEC, Time};
use thiserror::Error;

use crate::clock;
use crate::descriptors::DescriptorPermit;
use crate::mailbox::Mailbox;
use crate::messages::CoroutineEvent;
use crate::socket::Socket;
use crate::wire::{self, LineBounds};

/// Time that a peer has to close the connection after its answer was written.
pub const LINGER_TIMEOUT: Time = SEC;
/// Largest number of bytes that are read from a peer after its answer was written.
const LINGER_DRAIN_BYTES_MAX: usize = 64 << 10;
/// Size of one read of these bytes.
const LINGER_READ_BYTES: usize = 1024;
/// Time that a peer that sends more than [`LINGER_DRAIN_BYTES_MAX`] has to read its answer before
/// the reset. Such a peer is expected to read while it sends.
const LINGER_OVERFLOW_TIMEOUT: Time = 200 * MS;

/// Why a call on a connection has failed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The call's deadline has passed.
    #[error("timed out waiting for the peer")]
    Deadline,
    /// The coroutine was told to stop waiting.
    #[error("the wait was stopped")]
    Stopped,
    /// The peer has ended the connection.
    #[error("the peer has closed the connection")]
    Closed,
    /// A line doesn't fit into its buffer.
    #[error("the line is longer than its buffer")]
    LineTooLong,
    /// The received data is malformed. The text says why.
    #[error("{0}")]
    Malformed(String),
    /// A system error: the connection has broken or couldn't be established.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// A socket together with the mailbox of the coroutine that uses it.
pub struct Connection {
    /// Receives the coroutine's notifications.
    pub mailbox: Mailbox<CoroutineEvent>,
    /// The socket.
    pub socket: Socket,
}

impl Connection {
    /// Wraps a non-blocking stream.
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Self {
        let mailbox = Mailbox::new();
        let socket = Socket::new(stream, permit, mailbox.sender());
        Connection { mailbox, socket }
    }

    /// Connects to an address and waits until the connection is established.
    ///
    /// # Errors
    /// The connection isn't established in time, or it has failed.
    pub fn dial(
        mailbox: Mailbox<CoroutineEvent>,
        address: SocketAddr,
        permit: DescriptorPermit,
        deadline: Time,
    ) -> Result<Self, ConnectionError> {
        let socket = Socket::dial(address, permit, mailbox.sender())?;
        let connection = Connection { mailbox, socket };
        while !connection.socket.is_connected()? {
            connection.wait(deadline)?;
        }
        Ok(connection)
    }

    fn wait(&self, deadline: Time) -> Result<(), ConnectionError> {
        match self.mailbox.next(deadline) {
            None => Err(ConnectionError::Deadline),
            Some(CoroutineEvent::Stop) => Err(ConnectionError::Stopped),
            Some(_) => Ok(()),
        }
    }

    /// Returns whether the connection is open and has no unread data. Guards against late data on a
    /// reused connection, such as a second answer or the answer to an abandoned request, which would
    /// be read as the answer to the next request.
    pub fn is_idle(&self) -> bool {
        self.socket.rearm_notification();
        matches!(self.socket.read(&mut [0; 1]), Ok(None))
    }

    /// Reads the next bytes and returns their number; 0 at the end of the stream.
    ///
    /// # Errors
    /// No data arrived in time, or the connection has broken.
    pub fn read(&self, buffer: &mut [u8], deadline: Time) -> Result<usize, ConnectionError> {
        loop {
            self.socket.rearm_notification();
            match self.socket.read(buffer)? {
                Some(count) => return Ok(count),
                None => self.wait(deadline)?,
            }
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The peer didn't accept all bytes in time, or the connection has broken.
    pub fn write(&self, mut bytes: &[u8], deadline: Time) -> Result<(), ConnectionError> {
        loop {
            self.socket.rearm_notification();
            bytes = &bytes[self.socket.write(bytes)?..];
            if bytes.is_empty() {
                return Ok(());
            }
            self.wait(deadline)?;
        }
    }

    /// Reads until the buffer holds a whole line. `filled` is the number of received bytes in the
    /// buffer.
    ///
    /// # Errors
    /// The line wasn't complete in time or is too long, or the connection has ended.
    pub fn read_line(
        &self,
        buffer: &mut [u8],
        filled: &mut usize,
        deadline: Time,
    ) -> Result<LineBounds, ConnectionError> {
        loop {
            if let Some(line) = wire::first_line(&buffer[..*filled]) {
                return Ok(line);
            }
            if *filled == buffer.len() {
                return Err(ConnectionError::LineTooLong);
            }
            match self.read(&mut buffer[*filled..], deadline)? {
                0 => return Err(ConnectionError::Closed),
                count => *filled += count,
            }
        }
    }

    /// Shuts down the sending side and waits until the peer has closed. A close with unread data
    /// would cause a reset, which could discard what was written. Guards also against a peer that
    /// never stops sending: after `LINGER_DRAIN_BYTES_MAX` nothing more is read, and the peer has
    /// `LINGER_OVERFLOW_TIMEOUT` to read the answer.
    pub fn close_lingering(&self, deadline: Time) {
        self.socket.shutdown_write();
        let mut rest = [0; LINGER_READ_BYTES];
        let mut drained = 0;
        while drained < LINGER_DRAIN_BYTES_MAX {
            match self.read(&mut rest, deadline) {
                Ok(count) if count > 0 => drained += count,
                _ => return,
            }
        }
        let deadline = deadline.min(clock::now() + LINGER_OVERFLOW_TIMEOUT);
        while self.wait(deadline).is_ok() {}
    }
}

#[cfg(test)]
mod tests;
