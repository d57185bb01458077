//! Token buckets for any number of keys, in a table of fixed size.

#[cfg(test)]
mod tests;

use nettlemux_policy::{SEC, Time};

use crate::hashing::hash_number;

/// The lower bound of the rate in the computation of waiting times. Avoids a division by zero.
const RATE_MIN: f64 = 1e-9;

/// The rate of a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Tokens per second; 0 means no limit.
    pub rate: f64,
    /// The maximum number of tokens in a bucket.
    pub burst: f64,
}

#[derive(Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled_at: Time,
}

const FULL_BUCKET: Bucket = Bucket {
    tokens: f64::INFINITY,
    refilled_at: 0,
};

/// Token buckets in two rows of slots with different hashes, as in a count-min sketch (Cormode and
/// Muthukrishnan 2005). A key is over its rate limit only if both its buckets are empty, so that a
/// key that shares only one of its slots with a busy key is not affected.
pub struct TokenBuckets {
    rows: [Vec<Bucket>; 2],
    seeds: [u64; 2],
}

impl TokenBuckets {
    /// Returns two rows of `size` full buckets each, but at least one.
    pub fn new(size: usize, seed: u64) -> Self {
        let row = vec![FULL_BUCKET; size.max(1)];
        TokenBuckets {
            rows: [row.clone(), row],
            seeds: [seed, !seed],
        }
    }

    /// Takes a token of the key. Returns false if there is none.
    pub fn take(&mut self, now: Time, key: u64, limit: RateLimit) -> bool {
        if limit.rate <= 0.0 {
            return true;
        }
        let slots = self.slots(key);
        let mut tokens_max = 0.0f64;
        for (row, slot) in self.rows.iter_mut().zip(slots) {
            let bucket = &mut row[slot];
            bucket.refill(now, limit);
            tokens_max = tokens_max.max(bucket.tokens);
        }
        if tokens_max < 1.0 {
            return false;
        }
        for (row, slot) in self.rows.iter_mut().zip(slots) {
            row[slot].tokens = (row[slot].tokens - 1.0).max(0.0);
        }
        true
    }

    /// Returns the time until the key has its next token, in nanoseconds. The caller must have
    /// called [`TokenBuckets::take`] for the key just before, which refills its buckets.
    pub fn time_to_next_token(&self, now: Time, key: u64, rate: f64) -> Time {
        let slots = self.slots(key);
        let wait = |row: usize| self.rows[row][slots[row]].time_to_next_token(now, rate);
        wait(0).min(wait(1))
    }

    /// Returns the key's slot in each row.
    fn slots(&self, key: u64) -> [usize; 2] {
        [0, 1].map(|row| {
            let hash = hash_number(self.seeds[row], key);
            (hash % self.rows[row].len() as u64) as usize
        })
    }
}

impl Bucket {
    fn refill(&mut self, now: Time, limit: RateLimit) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / SEC as f64;
        let refilled = self.tokens + limit.rate * elapsed;
        self.tokens = refilled.min(limit.burst.max(1.0));
        self.refilled_at = self.refilled_at.max(now);
    }

    fn time_to_next_token(&self, now: Time, rate: f64) -> Time {
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        let refill_time = missing_tokens / rate.max(RATE_MIN);
        let elapsed = now.saturating_sub(self.refilled_at);
        ((refill_time * SEC as f64) as Time).saturating_sub(elapsed)
    }
}
