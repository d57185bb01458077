//! Seeded hashes. The seed is secret and differs for each start, so that no client can provoke a
//! collision with the table slot of another client.

use nanorand::{Rng, WyRand};

/// Returns the key for a name. Within a run it is always the same for the same name; without the
/// seed it can't be predicted.
pub fn hash_key(seed: u64, name: &[u8]) -> u64 {
    let mix = |hash: u64, value: u64| WyRand::new_seed(hash ^ value).generate::<u64>();
    let length = name.len() as u64;
    name.iter()
        .fold(mix(seed, length), |hash, byte| mix(hash, u64::from(*byte)))
}

/// Returns the hash of a number, which selects the number's slot in a table.
pub(crate) fn hash_number(seed: u64, number: u64) -> u64 {
    WyRand::new_seed(seed ^ number.rotate_left(17)).generate()
}
