//! Mailboxes: queues that many senders fill and one coroutine reads, which waits for the next
//! message until a deadline.
//!
//! A mailbox owns the messages that have not been read. It must never wait past its deadline, as
//! the channels of `may` do: their timed receive begins anew with the whole time when it is woken a
//! moment early, and a wait of under 1 ms never ends.

use std::sync::{Arc, OnceLock};

use crossbeam_queue::SegQueue;
use nettlemux_policy::Time;

use crate::clock;
use crate::timer::Waiter;

/// What a mailbox and its senders share.
struct Queue<T> {
    messages: SegQueue<T>,
    /// The coroutine that reads, once it has asked for a message.
    reader: OnceLock<Waiter>,
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
        let reader = self.queue.reader.get_or_init(Waiter::current);
        loop {
            // A message is queued before its wake-up, so each wake-up is followed by a look.
            if let Some(message) = self.queue.messages.pop() {
                return Some(message);
            }
            if clock::now() >= deadline {
                return None;
            }
            reader.park_until(deadline);
        }
    }
}

#[cfg(test)]
mod tests;
