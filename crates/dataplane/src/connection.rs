//! Conversations on one socket, one step after another. A [`Connection`] owns the socket and the
//! mailbox at which the coroutine that uses it is notified. Its calls wait, each until a deadline
//! at most; nothing here reads more of a protocol than the ends of its lines.

use std::io;
use std::net::{SocketAddr, TcpStream};

use nettlemux_policy::{MS, SEC, Time};
use thiserror::Error;

use crate::clock;
use crate::descriptors::DescriptorPermit;
use crate::mailbox::Mailbox;
use crate::messages::FlowEvent;
use crate::socket::Socket;
use crate::wire::{self, LineBounds};

/// How long a peer that has its answer may take to close.
pub const LINGER_TIMEOUT: Time = SEC;
/// Bytes that are read of what a peer sends after its answer.
const LINGER_DRAIN_BYTES_MAX: usize = 64 << 10;
/// Bytes that are read at once of them.
const LINGER_READ_BYTES: usize = 1024;
/// How long a peer that sends more may take to read its answer before the reset: it reads while it
/// sends.
const LINGER_OVERFLOW_TIMEOUT: Time = 200 * MS;

/// Why a call on a connection has ended without a result.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The call's deadline has passed.
    #[error("nothing came in time")]
    Deadline,
    /// The coroutine was told to stop waiting.
    #[error("told to stop waiting")]
    Stopped,
    /// The peer has ended the connection.
    #[error("the peer has ended the connection")]
    Closed,
    /// A line doesn't fit its buffer.
    #[error("an overlong line")]
    LineTooLong,
    /// What came can't be used: why.
    #[error("{0}")]
    Malformed(String),
    /// The system's error; a connection that was up has broken.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// One socket that a coroutine of its own talks over.
pub struct Connection {
    /// Where the coroutine is notified.
    pub mailbox: Mailbox<FlowEvent>,
    /// The socket.
    pub socket: Socket,
}

impl Connection {
    /// Takes over a stream that doesn't block.
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Self {
        let mailbox = Mailbox::new();
        let socket = Socket::new(stream, permit, mailbox.sender());
        Connection { mailbox, socket }
    }

    /// Connects to an address, and waits until the connection is up.
    ///
    /// # Errors
    /// It isn't up in time, or won't be.
    pub fn dial(
        mailbox: Mailbox<FlowEvent>,
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
            Some(FlowEvent::Stop) => Err(ConnectionError::Stopped),
            Some(_) => Ok(()),
        }
    }

    /// Returns whether the connection stands and nothing unread has come on it. Guards against what
    /// comes late on a connection that is reused, a second answer or the answer to a request that
    /// was given up, and is read as the answer to the next request.
    pub fn is_idle(&self) -> bool {
        self.socket.rearm_notification();
        matches!(self.socket.read(&mut [0; 1]), Ok(None))
    }

    /// Reads the next bytes and returns how many; 0 at the end.
    ///
    /// # Errors
    /// Nothing came in time, or the connection has broken.
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
    /// There was no room for them in time, or the connection has broken.
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

    /// Reads up to the end of a line; `filled` counts the buffer's bytes that have come.
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

    /// Ends the sending and waits until the peer has closed: what was written must not be lost to a
    /// reset, which a close with unread bytes causes. Guards against a peer that never stops
    /// sending, too: so much is read and no more; then it has a moment to read the answer.
    pub fn close_lingering(&self, deadline: Time) {
        self.socket.end_sending();
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
