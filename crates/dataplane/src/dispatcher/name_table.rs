//! Numbers for the names that the wire uses. The policy identifies servers, zones, machine models
//! and cells by number only.

use std::collections::HashMap;

/// Maps each name to a number of its own.
#[derive(Default)]
pub(super) struct NameTable {
    numbers: HashMap<String, u64>,
}

impl NameTable {
    /// Numbers `names` from 0 in their order.
    pub fn from_names(names: Vec<String>) -> Self {
        NameTable {
            numbers: names.into_iter().zip(0..).collect(),
        }
    }

    /// Returns the number of a name; `None` if the name has none.
    pub fn get(&self, name: &str) -> Option<u64> {
        self.numbers.get(name).copied()
    }

    /// Returns the number of `name`. A new name gets the next number in order of arrival. For names
    /// whose numbers don't have to match those of other balancers.
    pub fn number_by_arrival(&mut self, name: &str) -> u64 {
        let next = self.numbers.len() as u64;
        *self.numbers.entry(name.to_string()).or_insert(next)
    }

    /// Returns the number of `name`. A new name gets its FNV-1a hash (RFC 9923), or the next free
    /// number on a collision.
    ///
    /// Guards against different numbers for the same servers on different balancers. A balancer that
    /// learnt of the servers in another order, as after a restart, would otherwise send a group's
    /// connections to other servers than the other balancers do.
    pub fn number_by_hash(&mut self, name: &str) -> u64 {
        if let Some(known) = self.get(name) {
            return known;
        }
        let mut number = fnv1a(name.as_bytes());
        while self.numbers.values().any(|taken| *taken == number) {
            number = number.wrapping_add(1);
        }
        self.numbers.insert(name.to_string(), number);
        number
    }
}

/// Returns the 64-bit FNV-1a hash of `bytes`.
fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

#[cfg(test)]
mod tests;
