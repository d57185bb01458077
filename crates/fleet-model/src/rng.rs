//! Seeded chance. It owns one generator whose stream is the same on every machine, and must never
//! be seeded from anything but a scenario's seed and a purpose, so that one more draw for one
//! purpose changes no other's.

use rand::{Rng as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};

/// A seeded generator of random numbers.
pub struct Rng(ChaCha8Rng);

impl Rng {
    /// Makes the generator for one purpose of a run.
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

    /// Draws an index below `count`; 0 where there is none.
    pub fn index_below(&mut self, count: usize) -> usize {
        if count == 0 {
            0
        } else {
            self.0.random_range(0..count)
        }
    }

    /// Draws a whole number.
    pub fn number(&mut self) -> u64 {
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

    /// Draws an index by weight.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut left = self.uniform() * weights.clone().sum::<f64>();
        let mut last = 0;
        for (i, weight) in weights.enumerate() {
            last = i;
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
