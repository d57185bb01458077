//! The queue of scheduled events, ordered by time. Events at the same time keep the order in which
//! they were scheduled.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use nettlemux_policy::Time;

use super::event::Event;

/// A priority queue of events, first in, first out among the events of one time.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event that takes effect at a time.
    pub(super) fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    /// Removes and returns the earliest event; `None` if the queue is empty.
    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        let Reverse(first) = self.heap.pop()?;
        Some((first.at, first.event))
    }
}

/// An event with its sort key. The sequence number is unique, so the event itself is never
/// compared.
struct Scheduled {
    at: Time,
    sequence: u64,
    event: Event,
}

impl Scheduled {
    fn key(&self) -> (Time, u64) {
        (self.at, self.sequence)
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Scheduled {}

#[cfg(test)]
mod tests;
