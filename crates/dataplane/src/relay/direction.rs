//! One direction of an open connection: what has been read from one side and not yet been written
//! to the other. It owns the buffer that holds this, and must never wait, nor change what passes.

use std::sync::Arc;

use nettlemux_policy::Time;

use crate::buffers::{BUFFER_BYTES, Buffer, BufferPool};
use crate::clock;
use crate::socket::Socket;

/// Buffers that one side may pass on before others get their turn: guards against a flow that keeps
/// the worker to itself while both its sides keep up.
pub const BUFFERS_PER_TURN_MAX: usize = 16;

/// What is passed on at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Framing {
    /// Bytes as they come.
    #[default]
    Bytes,
    /// Lines once they are whole. Guards against a peer that stops inside a line: nothing could be
    /// sent between two lines any more, and whoever reads them would have to be cut off without a
    /// word.
    Lines,
}

/// What waits in one direction, and how far it has come.
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
    /// Bytes have waited for the receiver since.
    pub stalled_since: Option<Time>,
    /// The sender has ended.
    pub sender_ended: bool,
    /// The sender's end has been passed on.
    pub end_forwarded: bool,
    /// Its turn was over before it had passed on all.
    pub has_more: bool,
}

/// Which side has broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenSide {
    /// The side that is read from.
    Sender,
    /// The side that is written to.
    Receiver,
}

/// Whether a call has done all that it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Made,
    /// The other side has to do something first.
    Blocked,
}

impl Direction {
    /// Returns a direction that passes on whole lines, and begins with a buffer's first `length`
    /// bytes.
    pub fn of_lines(buffer: Buffer, length: usize) -> Self {
        let mut direction = Direction {
            buffer: Some(buffer),
            filled: length,
            framing: Framing::Lines,
            ..Direction::default()
        };
        direction.mark_writable();
        direction
    }

    /// Passes on what there is, without waiting. `inspect` is shown what has been written.
    ///
    /// # Errors
    /// The side that has broken.
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

    /// Passes the sender's end on, once.
    fn forward_end(&mut self, receiver: &Socket) {
        if !self.end_forwarded {
            receiver.end_sending();
            self.end_forwarded = true;
        }
        self.buffer = None;
    }

    /// Writes what is writable; blocked where the receiver has no room for all of it.
    fn write(
        &mut self,
        receiver: &Socket,
        inspect: &mut impl FnMut(&[u8]),
    ) -> Result<Progress, BrokenSide> {
        while self.written < self.writable {
            let buffer = self.buffer.as_ref().expect("it holds what is writable");
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

    /// Reads what there is room for; blocked where the sender has sent nothing, not even its end.
    fn read(&mut self, sender: &Socket, buffers: &Arc<BufferPool>) -> Result<Progress, BrokenSide> {
        let buffer = self.buffer.get_or_insert_with(|| buffers.take());
        // The part of a line that is held back begins the buffer.
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

    /// Finds how much may be written: whole lines, and what is longer than any line.
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

    /// Whether a line has begun and isn't whole yet.
    pub fn holds_partial_line(&self) -> bool {
        self.writable < self.filled
    }

    /// Whether all that may be written has been written.
    pub fn all_forwarded(&self) -> bool {
        self.written == self.writable
    }
}
