//! Seeded chance. It owns one generator whose stream is the same on every machine, and must never be seeded from anything
//! but a scenario's seed and a purpose, so that one more draw for one purpose changes no other's.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};

pub struct Dice(ChaCha8Rng);

impl Dice {
    /// The stream for one purpose of a run.
    pub fn new(seed: u64, purpose: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(purpose);
        Dice(rng)
    }

    /// From 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// One of so many, the first being 0; 0 where there are none.
    pub fn below(&mut self, count: usize) -> usize {
        if count == 0 {
            0
        } else {
            self.0.random_range(0..count)
        }
    }

    pub fn number(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Exponential with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let draw: f64 = Exp1.sample(&mut self.0);
        draw * mean
    }

    /// Log-normal with this mean; `spread` is the deviation of its logarithm, 0 for a constant.
    pub fn around(&mut self, mean: f64, spread: f64) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.0);
        mean * (spread * normal - spread * spread / 2.0).exp()
    }

    /// An index by weight; the last where rounding leaves a rest.
    pub fn weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut left = self.unit() * weights.clone().sum::<f64>();
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
