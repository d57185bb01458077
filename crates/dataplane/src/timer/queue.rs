//! The queue of timed waits and the loop that ends them. This module owns the order of the waits,
//! and must never hold the queue's lock while it wakes a coroutine.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use may::coroutine::Coroutine;
use nettlemux_policy::Time;

use super::alarm::Alarm;
use super::{Entry, NEVER, next_check};
use crate::clock;

/// The sort key of an entry in the queue: the time of its check, and its address in memory, which
/// distinguishes entries of the same time.
type QueueKey = (Time, usize);

/// The timed waits that the loop has to check.
pub(super) struct TimerQueue {
    entries: Mutex<BTreeMap<QueueKey, Arc<Entry>>>,
    /// Expires at the check of the first entry. Set only under the lock, so that it always has the
    /// earliest time.
    alarm: Alarm,
}

impl TimerQueue {
    /// Returns an empty queue.
    ///
    /// # Errors
    /// The system refuses the timer.
    pub(super) fn new() -> io::Result<Self> {
        Ok(TimerQueue {
            entries: Mutex::default(),
            alarm: Alarm::new()?,
        })
    }

    /// Queues an entry for a check at `at`, unless it is already queued for an earlier check.
    pub(super) fn insert(&self, entry: &Arc<Entry>, now: Time, at: Time) {
        let mut entries = self.lock();
        let queued_at = entry.queued_at.load(Ordering::SeqCst);
        if queued_at <= at {
            return;
        }
        entries.remove(&queue_key(entry, queued_at));
        entry.queued_at.store(at, Ordering::SeqCst);
        entries.insert(queue_key(entry, at), entry.clone());
        if first_time(&entries) == Some(at) {
            self.alarm.set(Duration::from_nanos(at.saturating_sub(now)));
        }
    }

    /// Removes an entry.
    pub(super) fn remove(&self, entry: &Arc<Entry>) {
        let mut entries = self.lock();
        let queued_at = entry.queued_at.swap(NEVER, Ordering::SeqCst);
        entries.remove(&queue_key(entry, queued_at));
    }

    /// Wakes each coroutine when its wait is over. Runs in its own coroutine and never returns.
    pub(super) fn run(&self) {
        loop {
            self.alarm.wait();
            for coroutine in self.take_due() {
                coroutine.unpark();
            }
        }
    }

    /// Takes the entries that are due for a check out of the queue, and sets the alarm for the
    /// others. Returns the coroutines whose waits are over; entries of longer waits are queued
    /// again.
    fn take_due(&self) -> Vec<Coroutine> {
        let mut entries = self.lock();
        let now = clock::now();
        let mut due = Vec::new();
        while let Some(first) = entries.first_entry()
            && first.key().0 <= now
        {
            let entry = first.remove();
            // Cleared before `wake_at` is read: see `Waiter::park_until`.
            entry.queued_at.store(NEVER, Ordering::SeqCst);
            match entry.wake_at.load(Ordering::SeqCst) {
                NEVER => {}
                wake_at if wake_at <= now => due.push(entry.coroutine.clone()),
                wake_at => {
                    let at = next_check(now, wake_at);
                    entry.queued_at.store(at, Ordering::SeqCst);
                    entries.insert(queue_key(&entry, at), entry);
                }
            }
        }
        if let Some(at) = first_time(&entries) {
            self.alarm.set(Duration::from_nanos(at - now));
        }
        due
    }

    /// Returns how many entries are queued.
    #[cfg(test)]
    pub(super) fn length(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<QueueKey, Arc<Entry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn first_time(entries: &BTreeMap<QueueKey, Arc<Entry>>) -> Option<Time> {
    entries.first_key_value().map(|((at, _), _)| *at)
}

fn queue_key(entry: &Arc<Entry>, at: Time) -> QueueKey {
    (at, Arc::as_ptr(entry) as usize)
}
