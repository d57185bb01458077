//! One direction of an open connection: what has been read from one side and not yet been written to the other. It owns
//! the buffer that holds this, and must never wait, nor change what passes.

use std::sync::Arc;

use nettlemux_policy::Time;

use crate::clock;
use crate::net::Socket;
use crate::pool::{BUFFER, Buffer, Buffers};

/// Buffers that one side may pass on before others get their turn: guards against a flow that keeps the worker to
/// itself while both its sides keep up.
pub const TURN: usize = 16;

/// What waits in one direction, and how far it has come.
#[derive(Default)]
pub struct Direction {
    bytes: Option<Buffer>,
    /// What has been read and not been written: from here to there.
    from: usize,
    to: usize,
    /// Up to here it may be written.
    ready: usize,
    /// Lines go on once they are whole. Guards against a peer that stops inside a line: nothing could be said between two
    /// lines any more, and whoever reads them had to be cut off without a word.
    whole_lines: bool,
    /// Bytes have waited for the receiver since.
    pub stuck: Option<Time>,
    /// The sender has ended.
    pub ended: bool,
    /// And the receiver was told.
    pub told: bool,
    /// Its turn was over before it had passed on all.
    pub more: bool,
}

/// Which side has broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Sender,
    Receiver,
}

impl Direction {
    /// One that passes on whole lines, and begins with these bytes.
    pub fn of_lines(bytes: Buffer, held: usize) -> Self {
        let mut direction = Direction {
            bytes: Some(bytes),
            to: held,
            whole_lines: true,
            ..Direction::default()
        };
        direction.mark_ready();
        direction
    }

    /// Passes on what there is, without waiting. `seen` is shown what goes on.
    ///
    /// # Errors
    /// One side has broken.
    pub fn pump(
        &mut self,
        sender: &Socket,
        receiver: &Socket,
        buffers: &Arc<Buffers>,
        mut seen: impl FnMut(&[u8]),
    ) -> Result<(), Broken> {
        let mut turns = 0;
        self.more = false;
        loop {
            if !self.write(receiver, &mut seen)? {
                return Ok(());
            }
            if self.ended {
                if !self.told {
                    receiver.end_sending();
                    self.told = true;
                }
                self.bytes = None;
                return Ok(());
            }
            if turns == TURN {
                self.more = true;
                return Ok(());
            }
            turns += 1;
            if !self.read(sender, buffers)? {
                return Ok(());
            }
        }
    }

    /// Writes what is ready; whether all of it has gone.
    fn write(&mut self, receiver: &Socket, seen: &mut impl FnMut(&[u8])) -> Result<bool, Broken> {
        while self.from < self.ready {
            let bytes = self.bytes.as_ref().expect("it holds what waits");
            let count = receiver
                .write(&bytes[self.from..self.ready])
                .map_err(|_| Broken::Receiver)?;
            if count == 0 {
                self.stuck.get_or_insert_with(clock::now);
                return Ok(false);
            }
            self.stuck = None;
            seen(&bytes[self.from..self.from + count]);
            self.from += count;
        }
        Ok(true)
    }

    /// Reads what there is room for; whether anything came, the end too.
    fn read(&mut self, sender: &Socket, buffers: &Arc<Buffers>) -> Result<bool, Broken> {
        let bytes = self.bytes.get_or_insert_with(|| buffers.take());
        // What is kept of a line that isn't whole begins the buffer.
        bytes.copy_within(self.from..self.to, 0);
        (self.from, self.to, self.ready) = (0, self.to - self.from, 0);
        match sender.read(&mut bytes[self.to..]) {
            Ok(Some(0)) => {
                self.ended = true;
                self.ready = self.to;
                Ok(true)
            }
            Ok(Some(count)) => {
                self.to += count;
                self.mark_ready();
                Ok(true)
            }
            Ok(None) => {
                // An idle connection holds no buffer.
                if self.to == 0 {
                    self.bytes = None;
                }
                Ok(false)
            }
            Err(_) => Err(Broken::Sender),
        }
    }

    /// Finds how much may go on: whole lines, and what is longer than any line.
    fn mark_ready(&mut self) {
        let Some(bytes) = &self.bytes else { return };
        let last_end = bytes[..self.to].iter().rposition(|byte| *byte == b'\n');
        self.ready = match last_end {
            Some(end) if self.whole_lines => end + 1,
            None if self.whole_lines && self.to < BUFFER => 0,
            _ => self.to,
        };
    }

    /// Whether a line has begun and isn't whole yet.
    pub fn holds_part(&self) -> bool {
        self.ready < self.to
    }

    /// Whether all that may go on has gone on.
    pub fn all_passed(&self) -> bool {
        self.from == self.ready
    }
}
