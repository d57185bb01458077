//! Pending connections: those whose first line hasn't come, or that are being closed. It owns their
//! order of arrival, and must never close one itself: each is told to give way.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nettlemux_dataplane::clock;
use nettlemux_dataplane::mailbox::Sender;
use nettlemux_dataplane::messages::FlowEvent;
use nettlemux_policy::{MS, Time};

/// A connection that has been pending for less isn't told to give way: its line may be on its way.
const PENDING_TIME_MIN: Time = 30 * MS;

/// The pending connections, by their order of arrival.
#[derive(Default)]
pub struct PendingConnections {
    state: Mutex<PendingState>,
}

#[derive(Default)]
struct PendingState {
    last_number: u64,
    entries: BTreeMap<u64, PendingEntry>,
}

struct PendingEntry {
    since: Time,
    notifier: Sender<FlowEvent>,
    told_to_give_way: bool,
}

impl PendingConnections {
    fn state(&self) -> MutexGuard<'_, PendingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection, whose owner is told to give way by `notifier`.
    pub fn add(self: &Arc<Self>, notifier: Sender<FlowEvent>) -> PendingConnection {
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let entry = PendingEntry {
            since: clock::now(),
            notifier,
            told_to_give_way: false,
        };
        state.entries.insert(number, entry);
        PendingConnection {
            connections: self.clone(),
            number,
        }
    }

    /// Tells the oldest connections to give way, `count` at most.
    pub fn evict_oldest(&self, now: Time, count: usize) {
        let mut state = self.state();
        let entries = state.entries.values_mut();
        let evictable = entries
            .filter(|entry| !entry.told_to_give_way && entry.since + PENDING_TIME_MIN <= now);
        for entry in evictable.take(count) {
            entry.told_to_give_way = true;
            entry.notifier.send(FlowEvent::Stop);
        }
    }
}

/// One pending connection, which is no longer pending once this is dropped.
pub struct PendingConnection {
    connections: Arc<PendingConnections>,
    number: u64,
}

impl Drop for PendingConnection {
    fn drop(&mut self) {
        self.connections.state().entries.remove(&self.number);
    }
}
