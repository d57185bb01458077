//! The Retry-After times of rejected clients, in tables of fixed size: a schedule that spreads the
//! retries over time, and reservations that recognize clients that retry on time.

#[cfg(test)]
mod tests;

use nanorand::{Rng, WyRand};
use nettlemux_policy::{MS, SEC, Time};

use crate::hashing::hash_number;

/// How early a client may retry and still use its reservation. Allows for steps of the client's
/// clock.
const EARLY_TOLERANCE: Time = 20 * MS;
/// How late a client may retry and still use its reservation. Allows for network delay.
const LATE_TOLERANCE: Time = SEC;

/// The shortest Retry-After.
const RETRY_AFTER_MIN: Time = MS;

#[derive(Clone, Copy)]
struct Reservation {
    /// Distinguishes clients that share a slot.
    tag: u32,
    /// When the client's Retry-After ends; 0 marks an empty slot.
    retry_at: Time,
}

const EMPTY_SLOT: Reservation = Reservation {
    tag: 0,
    retry_at: 0,
};

/// The times at which the Retry-After of rejected clients ends. A client that retries at that time
/// has priority over new clients. Of the clients that share a slot, only the last one keeps its
/// reservation.
pub struct RetryReservations {
    slots: Vec<Reservation>,
    seed: u64,
}

impl RetryReservations {
    /// Returns an empty table of `size` slots, but at least one.
    pub fn new(size: usize, seed: u64) -> Self {
        RetryReservations {
            slots: vec![EMPTY_SLOT; size.max(1)],
            seed: seed.rotate_left(32),
        }
    }

    /// Records that the Retry-After of a client ends at `retry_at`.
    pub fn record(&mut self, retry_at: Time, client: u64) {
        let hash = hash_number(self.seed, client);
        let slot = self.slot(hash);
        self.slots[slot] = Reservation {
            tag: tag(hash),
            retry_at,
        };
    }

    /// Returns whether a client retries at the end of its Retry-After. If so, removes its
    /// reservation.
    pub fn claim(&mut self, now: Time, client: u64) -> bool {
        let hash = hash_number(self.seed, client);
        let slot = self.slot(hash);
        let Reservation {
            tag: reserved_tag,
            retry_at,
        } = self.slots[slot];
        let is_reserved = reserved_tag == tag(hash) && retry_at > 0;
        let is_on_time = now + EARLY_TOLERANCE >= retry_at && now <= retry_at + LATE_TOLERANCE;
        if is_reserved && is_on_time {
            self.slots[slot] = EMPTY_SLOT;
        }
        is_reserved && is_on_time
    }

    fn slot(&self, hash: u64) -> usize {
        (hash % self.slots.len() as u64) as usize
    }
}

fn tag(hash: u64) -> u32 {
    (hash >> 32) as u32
}

/// The duration of a time slice of the schedule, in nanoseconds.
const SLICE_DURATION: Time = 100 * MS;

/// The number of retries that are scheduled for each time slice, from now to the longest
/// Retry-After.
pub struct RetryAfterSchedule {
    /// A ring buffer of retry counts. The index of a slice is its number modulo the buffer's
    /// length.
    retry_counts: Vec<u32>,
    /// The number of the first slice that has not ended.
    first_slice: u64,
    max_retry_after: Time,
}

impl RetryAfterSchedule {
    /// Returns an empty schedule.
    pub fn new(max_retry_after: Time) -> Self {
        let slices = (max_retry_after / SLICE_DURATION).max(1) as usize + 1;
        RetryAfterSchedule {
            retry_counts: vec![0; slices],
            first_slice: 0,
            max_retry_after,
        }
    }

    /// Schedules a retry and returns its Retry-After, in nanoseconds. The retry is scheduled at a
    /// random time within the slice that has the fewest retries, the first of them if there are
    /// several. The Retry-After is at least `needed` and at most the longest Retry-After. If
    /// `needed` is more than half of the longest, half of the longest is the lower bound instead, so
    /// that the retries can still be spread over the later half.
    pub fn schedule(&mut self, now: Time, needed: Time, rng: &mut WyRand) -> Time {
        self.clear_past_slices(now / SLICE_DURATION);
        let last = ((now + self.max_retry_after) / SLICE_DURATION)
            .saturating_sub(1)
            .max(self.first_slice);
        let minimum = needed.min(self.max_retry_after / 2);
        let first = ((now + minimum) / SLICE_DURATION + 1).min(last);
        let slice = self.least_loaded_slice(first, last);
        let index = self.index(slice);
        self.retry_counts[index] += 1;
        let retry_at = slice * SLICE_DURATION + rng.generate_range(0..SLICE_DURATION);
        retry_at.saturating_sub(now).clamp(
            minimum.max(RETRY_AFTER_MIN),
            self.max_retry_after.max(RETRY_AFTER_MIN),
        )
    }

    fn clear_past_slices(&mut self, current: u64) {
        let slices = self.retry_counts.len() as u64;
        for slice in self.first_slice..current.min(self.first_slice + slices) {
            let index = self.index(slice);
            self.retry_counts[index] = 0;
        }
        self.first_slice = current;
    }

    /// Returns the first of the slices with the fewest retries. It is the first, so that no client
    /// waits longer than necessary.
    fn least_loaded_slice(&self, first: u64, last: u64) -> u64 {
        (first..=last)
            .min_by_key(|slice| self.retry_counts[self.index(*slice)])
            .unwrap_or(last)
    }

    fn index(&self, slice: u64) -> usize {
        (slice % self.retry_counts.len() as u64) as usize
    }
}
