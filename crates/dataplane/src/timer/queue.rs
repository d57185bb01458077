//! The queue of timed waits and the loop that ends them. It owns the order of the waits, and must
//! never hold its lock while it wakes a coroutine.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use may::coroutine::Coroutine;
use nettlemux_policy::Time;

use super::alarm::Alarm;
use super::{Entry, NEVER, next_look};
use crate::clock;

/// An entry's place in the queue: when it is looked at, and its address, which tells entries of the
/// same time apart.
type Place = (Time, usize);

/// All timed waits that the loop has to look at.
pub(super) struct TimerQueue {
    entries: Mutex<BTreeMap<Place, Arc<Entry>>>,
    /// Goes off when the first entry is to be looked at. Set only under the lock, so that the
    /// earliest time stands.
    alarm: Alarm,
}

impl TimerQueue {
    /// Returns an empty queue.
    ///
    /// # Errors
    /// The system refuses the alarm.
    pub(super) fn new() -> io::Result<Self> {
        Ok(TimerQueue {
            entries: Mutex::default(),
            alarm: Alarm::new()?,
        })
    }

    /// Has the loop look at an entry at that time, or earlier.
    pub(super) fn insert(&self, entry: &Arc<Entry>, now: Time, at: Time) {
        let mut entries = self.lock();
        let queued_at = entry.queued_at.load(Ordering::SeqCst);
        if queued_at <= at {
            return;
        }
        entries.remove(&place(entry, queued_at));
        entry.queued_at.store(at, Ordering::SeqCst);
        entries.insert(place(entry, at), entry.clone());
        if first_time(&entries) == Some(at) {
            self.alarm.set(Duration::from_nanos(at.saturating_sub(now)));
        }
    }

    /// Forgets an entry.
    pub(super) fn remove(&self, entry: &Arc<Entry>) {
        let mut entries = self.lock();
        let queued_at = entry.queued_at.swap(NEVER, Ordering::SeqCst);
        entries.remove(&place(entry, queued_at));
    }

    /// Wakes each coroutine when its time has come. Runs in a coroutine of its own and doesn't
    /// return.
    pub(super) fn run(&self) {
        loop {
            self.alarm.wait();
            for coroutine in self.take_due() {
                coroutine.unpark();
            }
        }
    }

    /// Takes out the entries whose time has come, and sets the alarm for the others. Returns the
    /// coroutines to wake; those whose waits aren't over are queued again.
    fn take_due(&self) -> Vec<Coroutine> {
        let mut entries = self.lock();
        let now = clock::now();
        let mut due = Vec::new();
        while let Some(first) = entries.first_entry()
            && first.key().0 <= now
        {
            let entry = first.remove();
            // Cleared before the look at `wake_at`: see `Waiter::park_until`.
            entry.queued_at.store(NEVER, Ordering::SeqCst);
            match entry.wake_at.load(Ordering::SeqCst) {
                NEVER => {}
                wake_at if wake_at <= now => due.push(entry.coroutine.clone()),
                wake_at => {
                    let at = next_look(now, wake_at);
                    entry.queued_at.store(at, Ordering::SeqCst);
                    entries.insert(place(&entry, at), entry);
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

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Place, Arc<Entry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn first_time(entries: &BTreeMap<Place, Arc<Entry>>) -> Option<Time> {
    entries.first_key_value().map(|((at, _), _)| *at)
}

fn place(entry: &Arc<Entry>, at: Time) -> Place {
    (at, Arc::as_ptr(entry) as usize)
}
