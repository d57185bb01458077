//! The Retry-After times of rejected clients, in tables of fixed size: a schedule that
//! spreads them, and the promises by which a client that keeps to its time is recognized.

#[cfg(test)]
mod tests;

use nanorand::{Rng, WyRand};
use nettlemux_policy::{MS, SEC, Time};

use crate::hashing::hash_number;

/// How early a client may come back and still keeps its Retry-After: its clock may be stepped.
const EARLY_TOLERANCE: Time = 20 * MS;
/// How late a client may come back and still keeps its Retry-After: its way takes time.
const LATE_TOLERANCE: Time = SEC;

/// The shortest Retry-After.
const RETRY_AFTER_MIN: Time = MS;

#[derive(Clone, Copy)]
struct Promise {
    /// Tells clients that share a slot apart.
    tag: u32,
    /// When the client's Retry-After ends; 0 is an empty slot.
    at: Time,
}

const NO_PROMISE: Promise = Promise { tag: 0, at: 0 };

/// When the Retry-After of each client ends. Of two clients that share a slot, the last one
/// is remembered.
pub struct RetryAfterPromises {
    slots: Vec<Promise>,
    seed: u64,
}

impl RetryAfterPromises {
    /// Returns an empty table of `size` slots, at least one.
    pub fn new(size: usize, seed: u64) -> Self {
        RetryAfterPromises {
            slots: vec![NO_PROMISE; size.max(1)],
            seed: seed.rotate_left(32),
        }
    }

    /// Remembers that the Retry-After of a client ends at `at`.
    pub fn record(&mut self, at: Time, client: u64) {
        let hash = hash_number(self.seed, client);
        let slot = self.slot(hash);
        self.slots[slot] = Promise { tag: tag(hash), at };
    }

    /// Returns whether a client comes back at the end of its Retry-After, and forgets it if so.
    pub fn redeem(&mut self, now: Time, client: u64) -> bool {
        let hash = hash_number(self.seed, client);
        let slot = self.slot(hash);
        let Promise { tag: known_tag, at } = self.slots[slot];
        let is_known = known_tag == tag(hash) && at > 0;
        let is_punctual = now + EARLY_TOLERANCE >= at && now <= at + LATE_TOLERANCE;
        if is_known && is_punctual {
            self.slots[slot] = NO_PROMISE;
        }
        is_known && is_punctual
    }

    fn slot(&self, hash: u64) -> usize {
        (hash % self.slots.len() as u64) as usize
    }
}

fn tag(hash: u64) -> u32 {
    (hash >> 32) as u32
}

/// The length of a slice of the schedule, in nanoseconds.
const SLICE: Time = 100 * MS;

/// How many clients are scheduled to come back in each slice of time, from now to the longest
/// Retry-After.
pub struct RetryAfterSchedule {
    /// A ring of counts, a slice's at its number modulo the length.
    counts: Vec<u32>,
    /// The number of the first slice that isn't over.
    first_slice: u64,
    max_retry_after: Time,
}

impl RetryAfterSchedule {
    /// Returns an empty schedule.
    pub fn new(max_retry_after: Time) -> Self {
        let slices = (max_retry_after / SLICE).max(1) as usize + 1;
        RetryAfterSchedule {
            counts: vec![0; slices],
            first_slice: 0,
            max_retry_after,
        }
    }

    /// Schedules one more return and returns the Retry-After for it, in nanoseconds: not below
    /// `needed`, not above the longest, in the first of the slices with the fewest returns, at a
    /// random moment of it. Where `needed` is above half of the longest, the later half is used.
    pub fn schedule(&mut self, now: Time, needed: Time, rng: &mut WyRand) -> Time {
        self.clear_past_slices(now / SLICE);
        let last = ((now + self.max_retry_after) / SLICE)
            .saturating_sub(1)
            .max(self.first_slice);
        let least = needed.min(self.max_retry_after / 2);
        let first = ((now + least) / SLICE + 1).min(last);
        let slice = self.emptiest_slice(first, last);
        let index = self.index(slice);
        self.counts[index] += 1;
        let at = slice * SLICE + rng.generate_range(0..SLICE);
        at.saturating_sub(now).clamp(
            least.max(RETRY_AFTER_MIN),
            self.max_retry_after.max(RETRY_AFTER_MIN),
        )
    }

    fn clear_past_slices(&mut self, current: u64) {
        let slices = self.counts.len() as u64;
        for slice in self.first_slice..current.min(self.first_slice + slices) {
            let index = self.index(slice);
            self.counts[index] = 0;
        }
        self.first_slice = current;
    }

    /// The first of the slices with the fewest returns, so that no client waits longer than it
    /// must.
    fn emptiest_slice(&self, first: u64, last: u64) -> u64 {
        (first..=last)
            .min_by_key(|slice| self.counts[self.index(*slice)])
            .unwrap_or(last)
    }

    fn index(&self, slice: u64) -> usize {
        (slice % self.counts.len() as u64) as usize
    }
}
