//! The backoff after a failed discovery poll: exponential with full jitter (Marc Brooker,
//! "Exponential Backoff And Jitter", AWS Architecture Blog, 2015). Its base is proportional to the
//! duration of the failed poll. This module owns the random draws and the limits that make a change
//! known within [`CHANGE_DEADLINE`], and soon after a reload. It must never do I/O.

use nanorand::{Rng, WyRand};
use nettlemux_policy::{MS, SEC, Time};

/// The shortest backoff. A watch ends if the next poll doesn't come within 200 ms.
pub const BACKOFF_MIN: Time = 50 * MS;
/// The time within which the balancer must know a change, from when discovery has the change and is
/// reachable, whatever failed before.
pub const CHANGE_DEADLINE: Time = 6 * SEC;
/// The part of each deadline that is reserved for late timers and a busy processor.
pub const SCHEDULING_MARGIN: Time = 250 * MS;
/// The timeout of the first poll of a watch if one service answers the polls of all balancers one
/// after another. Prevents the balancer from abandoning a poll that is still queued and that the
/// service will still answer: services reject queued polls after 1 to 2.5 s. The agent doesn't hold
/// such a poll, so this is the whole duration of the poll.
pub const QUEUE_TIMEOUT: Time = 2650 * MS;
/// The longest time until the next poll starts. It counts from the response to the failed poll,
/// even if that was a rejection. If there was no response, it counts from the start of the failed
/// poll, since discovery may have become reachable at any moment after that.
pub const NEXT_POLL_AFTER_MAX: Time = CHANGE_DEADLINE - SCHEDULING_MARGIN - QUEUE_TIMEOUT;
/// The upper bound of the random backoff, as a multiple of the duration of the failed poll. It
/// doubles with each earlier failure in a row. The duration measures the service's queue, and every
/// balancer whose poll was in that queue polls again. Prevents a hundred balancers from polling
/// again at the same time and keeping the queue full
/// (docs/incidents/a-hundred-call-again-at-once.md).
const BACKOFF_FACTOR: u64 = 4;
/// The part of the time left after a reload in which the next poll starts, as a divisor. The poll has
/// the rest of that time for its wait in the service's queue. Large enough that balancers that were
/// rejected at the same time don't all poll again at the same time.
const TIME_LEFT_DIVISOR: Time = 4;
/// The most doublings of the span; with more, every span exceeds its limit anyway.
const DOUBLINGS_MAX: u32 = 16;

/// How a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// There was no response: the connection was refused or reset, or the agent was silent.
    NoResponse,
    /// There was a response, but it was a rejection or unreadable.
    BadResponse,
}

/// Returns the longest backoff after a failed poll that took `poll_duration`. `poll_interval_max`
/// is the longest interval between polls that the settings allow.
pub fn backoff_limit(kind: FailureKind, poll_duration: Time, poll_interval_max: Time) -> Time {
    let limit = match kind {
        FailureKind::NoResponse => NEXT_POLL_AFTER_MAX.saturating_sub(poll_duration),
        FailureKind::BadResponse => NEXT_POLL_AFTER_MAX,
    };
    limit.min(poll_interval_max).max(BACKOFF_MIN)
}

/// Returns the longest backoff after a reload if `time_left` is left until the balancer must know
/// what discovery has to tell. As long as there is time for a poll that is queued for the longest
/// time, the poll may start at any moment that leaves this time; then soon.
pub fn backoff_limit_after_reload(time_left: Time) -> Time {
    time_left
        .saturating_sub(QUEUE_TIMEOUT)
        .max(time_left / TIME_LEFT_DIVISOR)
        .max(BACKOFF_MIN)
}

/// Returns the upper bound of the random backoff after a failed poll that took `poll_duration`, if
/// no deadline limits it. `failures` is the number of failed polls in a row before it.
pub fn backoff_span(poll_duration: Time, failures: u32) -> Time {
    poll_duration.saturating_mul(BACKOFF_FACTOR << failures.min(DOUBLINGS_MAX))
}

/// Draws a random backoff of at most `limit` after a failed poll that took `poll_duration`.
/// `failures` is the number of failed polls in a row before it.
pub fn draw_backoff(poll_duration: Time, failures: u32, limit: Time, rng: &mut WyRand) -> Time {
    let span = backoff_span(poll_duration, failures);
    let longest = span.min(limit).max(BACKOFF_MIN);
    let mut draw = || rng.generate_range(BACKOFF_MIN..=longest);
    // If the limit caps the span, the later of two draws still lengthens the backoff on average.
    if failures > 0 && span > limit {
        draw().max(draw())
    } else {
        draw()
    }
}

#[cfg(test)]
mod tests;
