//! Pending connections: connections whose first line has not been received, or that are being
//! closed. It owns their order of arrival. It must never close a connection itself, but notifies the
//! connection's owner.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nettlemux_dataplane::clock;
use nettlemux_dataplane::mailbox::Sender;
use nettlemux_dataplane::messages::CoroutineEvent;
use nettlemux_policy::{MS, Time};

/// A connection that has been pending for less is not evicted: its line may be in transit.
const PENDING_TIME_MIN: Time = 30 * MS;

/// The pending connections, in their order of arrival.
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
    notifier: Sender<CoroutineEvent>,
    is_evicted: bool,
}

impl PendingConnections {
    fn state(&self) -> MutexGuard<'_, PendingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection. `notifier` tells its owner when it is evicted.
    pub fn add(self: &Arc<Self>, notifier: Sender<CoroutineEvent>) -> PendingConnection {
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let entry = PendingEntry {
            since: clock::now(),
            notifier,
            is_evicted: false,
        };
        state.entries.insert(number, entry);
        PendingConnection {
            connections: self.clone(),
            number,
        }
    }

    /// Evicts the oldest connections, at most `count` of them.
    pub fn evict_oldest(&self, now: Time, count: usize) {
        let mut state = self.state();
        let entries = state.entries.values_mut();
        let evictable =
            entries.filter(|entry| !entry.is_evicted && entry.since + PENDING_TIME_MIN <= now);
        for entry in evictable.take(count) {
            entry.is_evicted = true;
            entry.notifier.send(CoroutineEvent::Stop);
        }
    }
}

/// Marks a connection as pending until it is dropped.
pub struct PendingConnection {
    connections: Arc<PendingConnections>,
    number: u64,
}

impl Drop for PendingConnection {
    fn drop(&mut self) {
        self.connections.state().entries.remove(&self.number);
    }
}
