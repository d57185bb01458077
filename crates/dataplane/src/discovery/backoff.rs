//! How long to wait before discovery is called again after a call that failed. It owns the limits that keep the time
//! until a call is answered within what counts as told, and the random draws. It must never do I/O.

use nanorand::{Rng, WyRand};
use nettlemux_policy::{MS, SEC, Time};

/// Until the next call after one that failed; a watch goes on if the next call comes within 200 ms.
pub const RETRY_MIN: Time = 50 * MS;
/// A change counts as told so long after discovery had it and could be reached, whatever failed before.
pub const TOLD_AFTER: Time = 6 * SEC;
/// Kept free of that for timers that fire late and a processor that is busy.
const MARGIN: Time = 250 * MS;
/// One service answers all balancers' calls in turn where the list has to be asked for: so long a call that begins a watch
/// is waited for. Guards against calls that are given up in the queue and answered for nobody: services turn them away
/// after 1 to 2.5 s. Such a call isn't held, so this is all that it takes.
pub const QUEUE_TIMEOUT: Time = 2650 * MS;
/// What is left for the pause. Where discovery has answered, if only to turn the call away, counted from that answer; where
/// it hasn't, from the start of the failed call, since it may have returned at any moment after that.
pub const NEXT_CALL_MAX: Time = TOLD_AFTER - MARGIN - QUEUE_TIMEOUT;
/// The pause is drawn from up to so many times as long as the failed call took, twice that after each further one: the
/// queue was as long as we stood in it, and all who stood there call again. Guards against a hundred that call again at
/// once, keep the queue full and learn nothing (docs/incidents/a-hundred-call-again-at-once.md).
const BACKOFF_FACTOR: u64 = 4;
/// Doublings after which every span has met its limit.
const DOUBLINGS_MAX: u32 = 16;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing came: refused, reset, silent.
    NoAnswer,
    /// Turned away, or an answer that can't be read.
    BadAnswer,
}

/// The longest pause after a call that took so long, where the settings allow a longest pause of `ask_within`.
pub fn pause_limit(failure: Failure, took: Time, ask_within: Time) -> Time {
    let limit = match failure {
        Failure::NoAnswer => NEXT_CALL_MAX.saturating_sub(took),
        Failure::BadAnswer => NEXT_CALL_MAX,
    };
    limit.min(ask_within).max(RETRY_MIN)
}

/// A random pause of `limit` at the most. `failed`: the calls that failed in a row before this one.
pub fn pause(took: Time, failed: u32, limit: Time, rng: &mut WyRand) -> Time {
    let span = took.saturating_mul(BACKOFF_FACTOR << failed.min(DOUBLINGS_MAX));
    let longest = span.min(limit).max(RETRY_MIN);
    let mut draw = || rng.generate_range(RETRY_MIN..=longest);
    // Where the span can grow no more the pause still does, by the later of two draws.
    if failed > 0 && span > limit {
        draw().max(draw())
    } else {
        draw()
    }
}

#[cfg(test)]
mod tests;
