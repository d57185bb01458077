//! One direction of an open connection. It owns the buffer of the bytes that have been read from
//! one side and not yet been written to the other. It must never wait and never change the data.

use std::sync::Arc;

use nettlemux_policy::Time;

use crate::buffers::{BUFFER_BYTES, Buffer, BufferPool};
use crate::clock;
use crate::socket::Socket;

/// Buffers that a direction may forward in one turn. Guards against a flow that monopolizes its
/// worker while its sender and its receiver are both fast.
pub const BUFFERS_PER_TURN_MAX: usize = 16;

/// The unit in which data is forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Framing {
    /// Bytes are forwarded as they arrive.
    #[default]
    Bytes,
    /// Lines are forwarded when they are complete. Guards against a sender that stops inside a
    /// line: the balancer could insert no line of its own any more and would have to disconnect the
    /// receiver without telling it why.
    Lines,
}

/// The buffered data and the state of one direction.
#[derive(Default)]
pub struct Direction {
    buffer: Option<Buffer>,
    /// The buffer's bytes up to here have been written.
    written: usize,
    /// The buffer's bytes from `written` to here may be written.
    writable: usize,
    /// The buffer's bytes up to here have been read.
    filled: usize,
    framing: Framing,
    /// When the receiver stopped accepting bytes; `None` while it accepts them.
    pub stalled_since: Option<Time>,
    /// The sender has ended its stream.
    pub sender_ended: bool,
    /// The sender's end of stream has been forwarded.
    pub end_forwarded: bool,
    /// The last turn ended before all available data was forwarded.
    pub has_more: bool,
}

/// The side whose connection has broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenSide {
    /// The side that is read from.
    Sender,
    /// The side that is written to.
    Receiver,
}

/// Whether a read or a write could go ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Made,
    /// The peer has to send data or to accept bytes first.
    Blocked,
}

impl Direction {
    /// Returns a direction that forwards whole lines and starts with the first `length` bytes of
    /// `buffer`.
    pub fn line_framed(buffer: Buffer, length: usize) -> Self {
        let mut direction = Direction {
            buffer: Some(buffer),
            filled: length,
            framing: Framing::Lines,
            ..Direction::default()
        };
        direction.mark_writable();
        direction
    }

    /// Forwards the available data without waiting. Calls `inspect` with the bytes that have been
    /// written.
    ///
    /// # Errors
    /// The side whose connection has broken.
    pub fn pump(
        &mut self,
        sender: &Socket,
        receiver: &Socket,
        buffers: &Arc<BufferPool>,
        mut inspect: impl FnMut(&[u8]),
    ) -> Result<(), BrokenSide> {
        let mut buffers_read = 0;
        self.has_more = false;
        loop {
            if self.write(receiver, &mut inspect)? == Progress::Blocked {
                return Ok(());
            }
            if self.sender_ended {
                self.forward_end(receiver);
                return Ok(());
            }
            if buffers_read == BUFFERS_PER_TURN_MAX {
                self.has_more = true;
                return Ok(());
            }
            buffers_read += 1;
            if self.read(sender, buffers)? == Progress::Blocked {
                return Ok(());
            }
        }
    }

    /// Forwards the sender's end of stream, once.
    fn forward_end(&mut self, receiver: &Socket) {
        if !self.end_forwarded {
            receiver.shutdown_write();
            self.end_forwarded = true;
        }
        self.buffer = None;
    }

    /// Writes the writable bytes. [`Progress::Blocked`] if the receiver doesn't accept all of them.
    fn write(
        &mut self,
        receiver: &Socket,
        inspect: &mut impl FnMut(&[u8]),
    ) -> Result<Progress, BrokenSide> {
        while self.written < self.writable {
            let buffer = self
                .buffer
                .as_ref()
                .expect("the buffer holds the writable bytes");
            let count = receiver
                .write(&buffer[self.written..self.writable])
                .map_err(|_| BrokenSide::Receiver)?;
            if count == 0 {
                self.stalled_since.get_or_insert_with(clock::now);
                return Ok(Progress::Blocked);
            }
            self.stalled_since = None;
            inspect(&buffer[self.written..self.written + count]);
            self.written += count;
        }
        Ok(Progress::Made)
    }

    /// Reads as much as fits into the buffer. [`Progress::Blocked`] if the sender has sent neither
    /// data nor its end of stream.
    fn read(&mut self, sender: &Socket, buffers: &Arc<BufferPool>) -> Result<Progress, BrokenSide> {
        let buffer = self.buffer.get_or_insert_with(|| buffers.take());
        // A partial line that is held back moves to the start of the buffer.
        buffer.copy_within(self.written..self.filled, 0);
        self.filled -= self.written;
        self.written = 0;
        self.writable = 0;
        match sender.read(&mut buffer[self.filled..]) {
            Ok(Some(0)) => {
                self.sender_ended = true;
                self.writable = self.filled;
                Ok(Progress::Made)
            }
            Ok(Some(count)) => {
                self.filled += count;
                self.mark_writable();
                Ok(Progress::Made)
            }
            Ok(None) => {
                // An idle connection holds no buffer.
                if self.filled == 0 {
                    self.buffer = None;
                }
                Ok(Progress::Blocked)
            }
            Err(_) => Err(BrokenSide::Sender),
        }
    }

    /// Sets how many bytes may be written. With line framing these are the whole lines, or the full
    /// buffer if it holds no line end.
    fn mark_writable(&mut self) {
        let Some(buffer) = &self.buffer else { return };
        let last_end = buffer[..self.filled]
            .iter()
            .rposition(|byte| *byte == b'\n');
        self.writable = match (self.framing, last_end) {
            (Framing::Lines, Some(end)) => end + 1,
            (Framing::Lines, None) if self.filled < BUFFER_BYTES => 0,
            _ => self.filled,
        };
    }

    /// Returns whether the buffer holds the beginning of a line that isn't complete yet.
    pub fn holds_partial_line(&self) -> bool {
        self.writable < self.filled
    }

    /// Returns whether all writable bytes have been written.
    pub fn all_forwarded(&self) -> bool {
        self.written == self.writable
    }
}
