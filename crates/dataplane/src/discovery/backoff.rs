//! The backoff after a failed poll of discovery: exponential, with full jitter (Marc Brooker,
//! "Exponential Backoff And Jitter", AWS Architecture Blog, 2015), from a base that is
//! proportional to the time that the failed poll took. It owns the limits that keep the time until
//! a change is known within [`CHANGE_KNOWN_AFTER_MAX`], and the random draws. It must never do I/O.

use nanorand::{Rng, WyRand};
use nettlemux_policy::{MS, SEC, Time};

/// The shortest backoff. A watch goes on if the next poll comes within 200 ms.
pub const BACKOFF_MIN: Time = 50 * MS;
/// How long after discovery has a change and can be reached the balancer has to know it, whatever
/// failed before.
pub const CHANGE_KNOWN_AFTER_MAX: Time = 6 * SEC;
/// The part of [`CHANGE_KNOWN_AFTER_MAX`] that is kept for timers that fire late and a busy
/// processor.
const SCHEDULING_MARGIN: Time = 250 * MS;
/// How long the answer to a poll that begins a watch is waited for where one service answers the
/// polls of all balancers in turn. Guards against polls that are given up while they are queued and
/// still answered: services reject them after 1 to 2.5 s. Such a poll isn't held, so this is all
/// that it takes.
pub const QUEUE_TIMEOUT: Time = 2650 * MS;
/// The latest start of the next poll: counted from the answer where there was one, even a
/// rejection, else from the start of the failed poll, since discovery may have been reachable
/// again at any moment after that.
pub const NEXT_POLL_AFTER_MAX: Time = CHANGE_KNOWN_AFTER_MAX - SCHEDULING_MARGIN - QUEUE_TIMEOUT;
/// The backoff is drawn from up to this multiple of the time that the failed poll took, doubled for
/// each failure before it: the queue was as long as that poll stood in it, and all that stood there
/// poll again. Guards against a hundred balancers that poll again at once and keep the queue full
/// (docs/incidents/a-hundred-call-again-at-once.md).
const BACKOFF_FACTOR: u64 = 4;
/// Doublings after which every span has met its limit.
const DOUBLINGS_MAX: u32 = 16;

/// How a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// There was no response: refused, reset or silent.
    NoResponse,
    /// There was a response: a rejection, or one that can't be read.
    BadResponse,
}

/// Returns the longest backoff after a poll that failed and took so long, where the settings allow
/// an interval of `poll_interval_max` between polls.
pub fn backoff_limit(kind: FailureKind, poll_duration: Time, poll_interval_max: Time) -> Time {
    let limit = match kind {
        FailureKind::NoResponse => NEXT_POLL_AFTER_MAX.saturating_sub(poll_duration),
        FailureKind::BadResponse => NEXT_POLL_AFTER_MAX,
    };
    limit.min(poll_interval_max).max(BACKOFF_MIN)
}

/// Draws the backoff after a poll that failed and took so long, of `limit` at most. `failures`
/// counts the failed polls in a row before it.
pub fn draw_backoff(poll_duration: Time, failures: u32, limit: Time, rng: &mut WyRand) -> Time {
    let span = poll_duration.saturating_mul(BACKOFF_FACTOR << failures.min(DOUBLINGS_MAX));
    let longest = span.min(limit).max(BACKOFF_MIN);
    let mut draw = || rng.generate_range(BACKOFF_MIN..=longest);
    // Where the limit keeps the span from growing the backoff still grows, by the later of two
    // draws.
    if failures > 0 && span > limit {
        draw().max(draw())
    } else {
        draw()
    }
}

#[cfg(test)]
mod tests;
