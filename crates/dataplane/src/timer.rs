//! Timed waits of coroutines. One coroutine waits for an alarm of the system's, which is set to the
//! next wait that is due, and unparks those whose time has come.
//!
//! The timed waits of `may` are not used: `park_timeout` starts its timer before the coroutine can
//! be woken by it, so that a timer which expires in between wakes nobody. An unpark is never lost,
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

/// The time of what is not to happen.
const NEVER: Time = Time::MAX;
/// The longest time until the queue looks at a wait again, in milliseconds.
const WAIT_STEP_MS_MAX: u64 = 4000;

/// Starts what ends timed waits, unless it runs already. Each timed wait does so too; called early,
/// a system that refuses the alarm is noticed at the start.
///
/// # Panics
/// The system refuses the alarm.
pub fn start() {
    queue();
}

/// Blocks the calling coroutine, or thread, for a time.
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

/// The process's queue of timed waits.
fn queue() -> &'static TimerQueue {
    static QUEUE: OnceLock<&TimerQueue> = OnceLock::new();
    QUEUE.get_or_init(|| {
        let queue = TimerQueue::new().expect("the system has an alarm");
        let queue: &TimerQueue = Box::leak(Box::new(queue));
        may::go!(|| queue.run());
        queue
    })
}

/// A coroutine that waits, as the queue sees it.
struct Entry {
    coroutine: Coroutine,
    /// When the coroutine is to be woken; [`NEVER`] while it doesn't wait.
    wake_at: AtomicU64,
    /// When the queue looks at this entry; [`NEVER`] while it isn't queued. Written only under the
    /// queue's lock.
    queued_at: AtomicU64,
}

/// The timed waits of one coroutine, which others may end early.
pub struct Waiter {
    entry: Arc<Entry>,
}

impl Waiter {
    /// Returns a waiter of the calling coroutine.
    ///
    /// # Panics
    /// Outside a coroutine.
    pub fn current() -> Self {
        Waiter {
            entry: Arc::new(Entry {
                coroutine: coroutine::current(),
                wake_at: AtomicU64::new(NEVER),
                queued_at: AtomicU64::new(NEVER),
            }),
        }
    }

    /// Ends the coroutine's wait, or its next one if it doesn't wait now.
    pub fn unpark(&self) {
        self.entry.coroutine.unpark();
    }

    /// Parks the calling coroutine, which must be the waiter's own, until it is unparked, at the
    /// latest shortly after the deadline. May return earlier, without a reason.
    pub fn park_until(&self, deadline: Time) {
        let entry = &self.entry;
        // Stored before the look at `queued_at`, which the queue clears before its look at
        // `wake_at`: one of the two sees what the other has stored.
        entry.wake_at.store(deadline, Ordering::SeqCst);
        // Mostly it is queued early enough since an earlier wait, and the lock is not taken.
        if entry.queued_at.load(Ordering::SeqCst) > deadline {
            let now = clock::now();
            queue().insert(entry, now, next_look(now, deadline));
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

/// Returns when the queue looks at a wait: at its end, or earlier where that is far away.
fn next_look(now: Time, deadline: Time) -> Time {
    let remaining_ms = deadline.saturating_sub(now).div_ceil(MS);
    deadline.min(now + wait_step_ms(remaining_ms) * MS)
}

/// Returns after how many of the milliseconds that remain of a wait the queue looks at it. Rounds
/// down to few distinct lengths: a shorter wait that follows is then mostly queued early enough.
pub(crate) fn wait_step_ms(remaining_ms: u64) -> u64 {
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
