//! The backoff after a failed call to discovery: exponential with full jitter (Marc Brooker,
//! "Exponential Backoff And Jitter", AWS Architecture Blog, 2015). Its base is proportional to the
//! duration of the failed call. This module owns no state and must never do I/O; by when the next
//! call must start is computed in `list_deadline`.

use nanorand::{Rng, WyRand};
use nettlemux_policy::Time;

use super::list_deadline::{BACKOFF_MIN, FailedCall};

/// The upper bound of the random backoff, as a multiple of the duration of the failed call. It
/// doubles with each earlier failure in a row. The duration measures the service's queue, and every
/// balancer whose call was in that queue calls again. Prevents a hundred balancers from calling
/// again at the same time and keeping the queue full
/// (docs/incidents/a-hundred-call-again-at-once.md).
const BACKOFF_FACTOR: u64 = 4;
/// The most doublings of the span; with more, every span exceeds its limit anyway.
const DOUBLINGS_MAX: u32 = 16;

/// Returns the upper bound of the random backoff after a failed call, if no deadline limits it.
pub fn backoff_span(failed: &FailedCall) -> Time {
    let doublings = failed.failures_before.min(DOUBLINGS_MAX);
    failed.duration.saturating_mul(BACKOFF_FACTOR << doublings)
}

/// Draws a random backoff of at most `limit` after a failed call.
pub fn draw_backoff(failed: &FailedCall, limit: Time, rng: &mut WyRand) -> Time {
    let span = backoff_span(failed);
    let longest = span.min(limit).max(BACKOFF_MIN);
    let mut draw = || rng.generate_range(BACKOFF_MIN..=longest);
    // If the limit caps the span, the later of two draws still lengthens the backoff on average.
    if failed.failures_before > 0 && span > limit {
        draw().max(draw())
    } else {
        draw()
    }
}

#[cfg(test)]
mod tests;
