//! Timed waits of coroutines. One coroutine waits for a system timer, which is set to the wait that
//! ends next, and unparks the coroutines whose waits are over.
//!
//! The timed waits of `may` are not used: `park_timeout` starts its timer before that timer can
//! wake the coroutine, so a timer that expires in between wakes nothing. An unpark is never lost,
//! whenever it comes.

mod alarm;
mod queue;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use may::coroutine::{self, Coroutine};
use nettlemux_policy::{MS, Time};

use crate::clock;

use queue::TimerQueue;

/// The time of an event that is not scheduled.
const NEVER: Time = Time::MAX;
/// The longest time until the queue checks a wait again, in milliseconds.
const WAIT_STEP_MS_MAX: u64 = 4000;

/// Starts the timer queue, unless it already runs. The first timed wait starts it too; an early
/// call makes a system that refuses the timer fail at startup.
///
/// # Panics
/// The system refuses the timer.
pub fn start() {
    queue();
}

/// Blocks the calling coroutine or thread for `duration`.
pub fn sleep(duration: Duration) {
    if !coroutine::is_coroutine() {
        return thread::sleep(duration);
    }
    let wake_at = clock::now() + duration.as_nanos() as Time;
    let waiter = Waiter::current();
    while clock::now() < wake_at {
        waiter.park_until(wake_at);
    }
}

/// Returns the queue of timed waits of the process, and starts it on the first call.
fn queue() -> &'static TimerQueue {
    static QUEUE: OnceLock<&TimerQueue> = OnceLock::new();
    QUEUE.get_or_init(|| {
        let queue = TimerQueue::new().expect("system timer (timerfd) is available");
        let queue: &TimerQueue = Box::leak(Box::new(queue));
        may::go!(|| queue.run());
        queue
    })
}

/// The queue's view of a coroutine with timed waits.
struct Entry {
    coroutine: Coroutine,
    /// When the coroutine's wait ends; [`NEVER`] if it doesn't wait.
    wake_at: AtomicU64,
    /// When the queue checks this entry; [`NEVER`] if it isn't queued. Written only under the
    /// queue's lock.
    queued_at: AtomicU64,
}

/// The timed waits of one coroutine, which other coroutines may end early.
pub struct Waiter {
    entry: Arc<Entry>,
}

impl Waiter {
    /// Returns a waiter of the calling coroutine.
    ///
    /// # Panics
    /// The caller is not a coroutine.
    pub fn current() -> Self {
        Waiter {
            entry: Arc::new(Entry {
                coroutine: coroutine::current(),
                wake_at: AtomicU64::new(NEVER),
                queued_at: AtomicU64::new(NEVER),
            }),
        }
    }

    /// Ends the coroutine's current wait, or its next wait if it doesn't wait now.
    pub fn unpark(&self) {
        self.entry.coroutine.unpark();
    }

    /// Parks the calling coroutine, which must be the one that created the waiter, until it is
    /// unparked or shortly after the deadline. May return spuriously before that.
    pub fn park_until(&self, deadline: Time) {
        let entry = &self.entry;
        // `wake_at` is stored before `queued_at` is read here, and the queue clears `queued_at`
        // before it reads `wake_at`. So at least one side sees the value that the other has stored.
        entry.wake_at.store(deadline, Ordering::SeqCst);
        // In most cases an earlier wait has already queued the entry early enough, and the lock
        // isn't needed.
        if entry.queued_at.load(Ordering::SeqCst) > deadline {
            let now = clock::now();
            queue().insert(entry, now, next_check(now, deadline));
        }
        coroutine::park();
        entry.wake_at.store(NEVER, Ordering::SeqCst);
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.entry.queued_at.load(Ordering::SeqCst) != NEVER {
            queue().remove(&self.entry);
        }
    }
}

/// Returns when the queue next checks a wait: at its deadline, or earlier if the deadline is far
/// off.
fn next_check(now: Time, deadline: Time) -> Time {
    let remaining_ms = deadline.saturating_sub(now).div_ceil(MS);
    deadline.min(now + check_delay_ms(remaining_ms) * MS)
}

/// Returns after how many milliseconds the queue next checks a wait that has `remaining_ms` left.
/// Rounds down to a few distinct lengths, so that the entry is usually queued early enough for a
/// shorter wait that follows.
pub(crate) fn check_delay_ms(remaining_ms: u64) -> u64 {
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
