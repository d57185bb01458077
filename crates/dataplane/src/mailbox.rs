//! Mailboxes: queues with many senders and one reading coroutine. The reader waits for the next
//! message until a deadline.
//!
//! A mailbox owns the unread messages. It must never wait past its deadline. The channels of `may`
//! do: their timed receive starts again with the full timeout when it is woken slightly early, and
//! a wait of under 1 ms never ends.

use std::sync::{Arc, OnceLock};

use crossbeam_queue::SegQueue;
use nettlemux_policy::Time;

use crate::clock;
use crate::timer::Waiter;

/// The state that a mailbox and its senders share.
struct Queue<T> {
    messages: SegQueue<T>,
    /// The reading coroutine. Set by its first call of [`Mailbox::next`].
    reader: OnceLock<Waiter>,
}

/// The receiving end of the queue. Only one coroutine may read it.
pub struct Mailbox<T> {
    queue: Arc<Queue<T>>,
}

/// The sending end of the queue. It can be cloned and may outlive the mailbox.
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
    /// Queues a message and wakes the reader, without waiting. A message to a dropped mailbox is
    /// never read.
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

    /// Waits for the next message and returns it; `None` if the deadline passes without one. Must
    /// always be called from the same coroutine, because only the first caller is woken.
    pub fn next(&self, deadline: Time) -> Option<T> {
        let reader = self.queue.reader.get_or_init(Waiter::current);
        loop {
            // Senders queue a message before they wake the reader, so the queue is checked after
            // each wake-up.
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
