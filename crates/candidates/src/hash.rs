//! Hashes that all balancers compute alike, and weights that can be computed with.

use nanorand::{Rng, WyRand};

/// Weights below and above are taken for these.
const WEIGHT_MIN: f64 = 1e-3;
const WEIGHT_MAX: f64 = 1e3;

/// Returns a well-mixed number for this one, the same on all machines.
pub fn hash(value: u64) -> u64 {
    WyRand::new_seed(value).generate()
}

/// Returns the hash of a name, the same on all machines.
pub fn hash_name(name: &str) -> u64 {
    name.bytes()
        .fold(0, |hashed, byte| hash(hashed ^ u64::from(byte)))
}

/// Returns the weight itself, or one where it is zero, negative or not a number.
pub fn usable_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight.clamp(WEIGHT_MIN, WEIGHT_MAX)
    } else {
        1.0
    }
}
