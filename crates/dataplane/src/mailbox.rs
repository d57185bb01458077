//! Mailboxes: queues that many senders fill and one coroutine reads, which waits for the next
//! message until a deadline.
//!
//! A mailbox owns the messages that have not been read. It must never wait past its deadline, as
//! the channels of `may` do: their timed receive begins anew with the whole time when it is woken a
//! moment early, and a wait of under 1 ms never ends.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crossbeam_queue::SegQueue;
use may::coroutine::{self, Coroutine};
use nettlemux_policy::{MS, Time};

use crate::clock;

/// The longest wait in one step, in milliseconds.
const WAIT_STEP_MS_MAX: u64 = 4000;

/// What a mailbox and its senders share.
struct Queue<T> {
    messages: SegQueue<T>,
    /// The coroutine that reads, once it has asked for a message.
    reader: OnceLock<Coroutine>,
}

/// The end of the queue that is read, by one coroutine only.
pub struct Mailbox<T> {
    queue: Arc<Queue<T>>,
}

/// The end of the queue that messages are sent into; it may be cloned, and outlive the mailbox.
pub struct Sender<T> {
    queue: Arc<Queue<T>>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Sender {
            queue: self.queue.clone(),
        }
    }
}

impl<T> Sender<T> {
    /// Queues a message and wakes the reader. It never waits; a message to a mailbox that has been
    /// dropped is never read.
    pub fn send(&self, message: T) {
        self.queue.messages.push(message);
        if let Some(reader) = self.queue.reader.get() {
            reader.unpark();
        }
    }
}

impl<T> Default for Mailbox<T> {
    fn default() -> Self {
        Mailbox::new()
    }
}

impl<T> Mailbox<T> {
    /// Returns an empty mailbox.
    pub fn new() -> Self {
        Mailbox {
            queue: Arc::new(Queue {
                messages: SegQueue::new(),
                reader: OnceLock::new(),
            }),
        }
    }

    /// Returns a sender to this mailbox.
    pub fn sender(&self) -> Sender<T> {
        Sender {
            queue: self.queue.clone(),
        }
    }

    /// Waits for the next message and returns it; none once the deadline has passed without one.
    /// To be called from one coroutine only, the same each time: only the first caller is woken.
    pub fn next(&self, deadline: Time) -> Option<T> {
        self.queue.reader.get_or_init(coroutine::current);
        loop {
            // A message is queued before its wake-up, so each wake-up is followed by a look.
            if let Some(message) = self.queue.messages.pop() {
                return Some(message);
            }
            let now = clock::now();
            if now >= deadline {
                return None;
            }
            let step_ms = wait_step_ms((deadline - now).div_ceil(MS));
            coroutine::park_timeout(Duration::from_millis(step_ms));
        }
    }
}

/// Returns how many of the milliseconds that remain are waited for in one step. Rounds down to few
/// distinct lengths: the timers of `may` keep a list for each length that was ever asked for.
fn wait_step_ms(remaining_ms: u64) -> u64 {
    match remaining_ms {
        0..=50 => remaining_ms.max(1),
        51..=1000 => round_down(remaining_ms, 10),
        _ => round_down(remaining_ms, 500).min(WAIT_STEP_MS_MAX),
    }
}

fn round_down(value: u64, multiple: u64) -> u64 {
    value / multiple * multiple
}

#[cfg(test)]
mod tests;
