//! Hashes that are the same at all balancers, and weights restricted to a usable range.

use nanorand::{Rng, WyRand};

/// Weights outside of `WEIGHT_MIN` to `WEIGHT_MAX` are clamped.
const WEIGHT_MIN: f64 = 1e-3;
const WEIGHT_MAX: f64 = 1e3;

/// Returns the hash of a number, the same on all machines.
pub fn hash(value: u64) -> u64 {
    WyRand::new_seed(value).generate()
}

/// Returns the hash of a name, the same on all machines.
pub fn hash_name(name: &str) -> u64 {
    name.bytes()
        .fold(0, |hashed, byte| hash(hashed ^ u64::from(byte)))
}

/// Returns the weight, clamped to a usable range, or 1 if it is zero, negative, infinite or not a
/// number.
pub fn usable_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight.clamp(WEIGHT_MIN, WEIGHT_MAX)
    } else {
        1.0
    }
}
