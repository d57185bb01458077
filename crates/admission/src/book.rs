//! What the door remembers of those that aren't there: buckets of the keys' rates, the calendar of those that were told to come back,
//! and the promises made to them. All are tables of a fixed size. Places are found by hashes with the run's own seed, so
//! nobody can aim at another's; who shares a place with another by chance is never the worse for it in a promise, and in a
//! rate only if it shares both its places with busy ones.

use nanorand::{Rng, WyRand};
use nettlemux_policy::{MS, SEC, Time};

fn hash(seed: u64, of: u64) -> u64 {
    WyRand::new_seed(seed ^ of.rotate_left(17)).generate()
}

/// Token buckets in two rows: a key is over its rate only if both its places are empty.
pub struct TokenBuckets {
    rows: [Vec<(f64, Time)>; 2],
    seeds: [u64; 2],
}

impl TokenBuckets {
    pub fn new(size: usize, seed: u64) -> Self {
        let size = size.max(1);
        TokenBuckets {
            rows: [
                vec![(f64::INFINITY, 0); size],
                vec![(f64::INFINITY, 0); size],
            ],
            seeds: [seed, !seed],
        }
    }

    /// Takes one, if there is one.
    pub fn take(&mut self, now: Time, key: u64, rate: f64, burst: f64) -> bool {
        if rate <= 0.0 {
            return true;
        }
        let mut left = 0.0f64;
        let places =
            [0, 1].map(|row| (hash(self.seeds[row], key) % self.rows[row].len() as u64) as usize);
        for (row, place) in self.rows.iter_mut().zip(places) {
            let (tokens, at) = row[place];
            let grown = tokens + rate * now.saturating_sub(at) as f64 / SEC as f64;
            row[place] = (grown.min(burst.max(1.0)), at.max(now));
            left = left.max(row[place].0);
        }
        if left < 1.0 {
            return false;
        }
        for (row, place) in self.rows.iter_mut().zip(places) {
            row[place].0 = (row[place].0 - 1.0).max(0.0);
        }
        true
    }
}

impl TokenBuckets {
    /// How long until a key has its next one; it must have been asked for a moment ago.
    pub fn wait(&self, now: Time, key: u64, rate: f64) -> Time {
        let each = |row: usize| {
            let (tokens, at) =
                self.rows[row][(hash(self.seeds[row], key) % self.rows[row].len() as u64) as usize];
            let missing = (1.0 - tokens).max(0.0) / rate.max(1e-9);
            ((missing * SEC as f64) as Time).saturating_sub(now.saturating_sub(at))
        };
        each(0).min(each(1))
    }
}

/// How early and how late one that was told to come back may come to be known again: its clock's steps, and its way.
const EARLY: Time = 20 * MS;
const LATE: Time = SEC;

/// Promises: who was told to come when. A place that two share keeps the later one's.
pub struct RetryAfterPromises {
    places: Vec<(u32, Time)>,
    seed: u64,
}

impl RetryAfterPromises {
    pub fn new(size: usize, seed: u64) -> Self {
        RetryAfterPromises {
            places: vec![(0, 0); size.max(1)],
            seed: seed.rotate_left(32),
        }
    }

    fn place(&self, client: u64) -> (usize, u32) {
        let hash = hash(self.seed, client);
        (
            (hash % self.places.len() as u64) as usize,
            (hash >> 32) as u32,
        )
    }

    pub fn give(&mut self, at: Time, client: u64) {
        let (place, tag) = self.place(client);
        self.places[place] = (tag, at);
    }

    /// Whether this one comes when it was told to; a promise is kept once.
    pub fn kept(&mut self, now: Time, client: u64) -> bool {
        let (place, tag) = self.place(client);
        let (known, at) = self.places[place];
        let kept = known == tag && at > 0 && now + EARLY >= at && now <= at + LATE;
        if kept {
            self.places[place] = (0, 0);
        }
        kept
    }
}

/// A slice of the calendar.
pub const SLICE: Time = 100 * MS;

/// The calendar of returns: how many were told to come in each slice from now to the longest time.
pub struct RetryAfterSchedule {
    /// Counts from the slice `first` on.
    counts: Vec<u32>,
    first: u64,
    longest: Time,
}

impl RetryAfterSchedule {
    pub fn new(longest: Time) -> Self {
        let slices = (longest / SLICE).max(1) as usize + 1;
        RetryAfterSchedule {
            counts: vec![0; slices],
            first: 0,
            longest,
        }
    }

    /// Books a return: no sooner than needed, no later than the longest, in a slice that fewest were told, at a random
    /// moment of it. Where the queue needs longer than may be told, the later half is used.
    pub fn book(&mut self, now: Time, need: Time, rng: &mut WyRand) -> Time {
        let slices = self.counts.len() as u64;
        let current = now / SLICE;
        // Slices that have passed are free again.
        for slice in self.first..current.min(self.first + slices) {
            self.counts[(slice % slices) as usize] = 0;
        }
        self.first = current;
        let last = ((now + self.longest) / SLICE)
            .saturating_sub(1)
            .max(current);
        let least = need.min(self.longest / 2);
        let from = ((now + least) / SLICE + 1).min(last);
        let count = |slice: u64| self.counts[(slice % slices) as usize];
        let fewest = (from..=last).map(count).min().unwrap_or(0);
        // The first of those with fewest: nobody waits longer than it must.
        let slice = (from..=last)
            .find(|slice| count(*slice) == fewest)
            .unwrap_or(last);
        self.counts[(slice % slices) as usize] += 1;
        let at = slice * SLICE + rng.generate_range(0..SLICE);
        at.saturating_sub(now)
            .clamp(least.max(MS), self.longest.max(MS))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against all coming back at one moment: no slice holds more than twice the mean.
    #[test]
    fn returns_are_spread_and_never_sooner_than_needed() {
        let (mut returns, mut rng) = (RetryAfterSchedule::new(2 * SEC), WyRand::new_seed(1));
        let mut slices = std::collections::BTreeMap::<Time, u32>::new();
        for k in 0..5000u64 {
            let now = 7 * SEC + k * MS / 5;
            let need = [0, 400 * MS, 9 * SEC][k as usize % 3];
            let wait = returns.book(now, need, &mut rng);
            assert!(wait >= need.min(SEC) && wait <= 2 * SEC, "{wait}");
            *slices.entry((now + wait) / SLICE).or_default() += 1;
        }
        let full: Vec<u32> = slices.values().copied().collect();
        let mean = 5000.0 / full.len() as f64;
        assert!(
            full.iter().all(|count| f64::from(*count) <= 2.0 * mean),
            "{mean}: {full:?}"
        );
    }

    #[test]
    fn a_rate_is_kept_and_a_shared_place_costs_nobody_his() {
        let mut buckets = TokenBuckets::new(64, 9);
        let taken = (0..1000)
            .filter(|k| buckets.take(k * 10 * MS, 5, 10.0, 5.0))
            .count();
        assert!((100..=106).contains(&taken), "{taken}");
        // A hundred floods in 64 places: most of the quiet ones still get theirs.
        let mut buckets = TokenBuckets::new(1024, 9);
        for k in 0..100 {
            (0..100u64).for_each(|flood| _ = buckets.take(k * 10 * MS, flood, 10.0, 5.0));
        }
        let quiet = (1000..2000u64)
            .filter(|key| buckets.take(SEC, *key, 10.0, 5.0))
            .count();
        assert!(quiet > 970, "{quiet} of 1000");
    }

    #[test]
    fn a_promise_is_kept_once_and_only_on_time() {
        let mut promises = RetryAfterPromises::new(4096, 5);
        promises.give(10 * SEC, 7);
        assert!(!promises.kept(9 * SEC, 7) && !promises.kept(10 * SEC, 8));
        assert!(promises.kept(10 * SEC, 7) && !promises.kept(10 * SEC, 7));
        promises.give(10 * SEC, 7);
        assert!(!promises.kept(12 * SEC, 7));
    }
}
