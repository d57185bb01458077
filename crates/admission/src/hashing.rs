//! Seeded hashes. As the seed is secret and new with each start, no client can aim at the slot of
//! another in a table.

use nanorand::{Rng, WyRand};

/// Returns the key for a name: the same for one name within a run, and not to be foreseen outside.
pub fn hash_key(seed: u64, name: &[u8]) -> u64 {
    let mix = |hash: u64, value: u64| WyRand::new_seed(hash ^ value).generate::<u64>();
    let length = name.len() as u64;
    name.iter()
        .fold(mix(seed, length), |hash, byte| mix(hash, u64::from(*byte)))
}

/// Returns the hash of a number, from which its slot in a table is taken.
pub(crate) fn hash_number(seed: u64, number: u64) -> u64 {
    WyRand::new_seed(seed ^ number.rotate_left(17)).generate()
}
