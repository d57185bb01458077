//! Hashes that all balancers compute alike, and weights that can be computed with.

use nanorand::{Rng, WyRand};

/// The range of weights that are told apart.
const WEIGHTS: (f64, f64) = (1e-3, 1e3);

/// A well-mixed number for this one, the same on all machines.
pub fn hash(of: u64) -> u64 {
    WyRand::new_seed(of).generate()
}

/// A name as a number.
pub fn hash_name(name: &str) -> u64 {
    name.bytes()
        .fold(0, |hashed, byte| hash(hashed ^ u64::from(byte)))
}

/// The weight itself, or one where it is zero, negative or not a number.
pub fn usable_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight.clamp(WEIGHTS.0, WEIGHTS.1)
    } else {
        1.0
    }
}
