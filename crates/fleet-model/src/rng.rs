//! Seeded random numbers. A generator yields the same numbers on every machine. It must be seeded
//! only from a scenario's seed and the number of a purpose: each purpose has its own stream, so that
//! an additional draw for one purpose does not change the draws for another.

use rand::{Rng as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};

/// A seeded generator of random numbers.
pub struct Rng(ChaCha8Rng);

impl Rng {
    /// Creates the generator for one purpose of a run: the random stream of that number.
    pub fn new(seed: u64, purpose: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(purpose);
        Rng(rng)
    }

    /// Draws uniformly from 0 up to 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Draws uniformly from `low` up to `high`.
    pub fn uniform_between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.uniform()
    }

    /// Draws an index below `count`. Returns 0 if `count` is 0.
    pub fn index_below(&mut self, count: usize) -> usize {
        if count == 0 {
            0
        } else {
            self.0.random_range(0..count)
        }
    }

    /// Draws a 64-bit integer.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Draws from the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let draw: f64 = Exp1.sample(&mut self.0);
        draw * mean
    }

    /// Draws from the log-normal distribution with this mean. `spread` is the standard deviation of
    /// the logarithm; 0 gives a constant.
    pub fn log_normal(&mut self, mean: f64, spread: f64) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.0);
        mean * (spread * normal - spread * spread / 2.0).exp()
    }

    /// Draws an index with a probability proportional to its weight.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut remaining = self.uniform() * weights.clone().sum::<f64>();
        let mut last = 0;
        for (i, weight) in weights.enumerate() {
            last = i;
            remaining -= weight;
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}
