//! A seeded random number generator for tests.

/// A random number generator (xorshift64*). The same seed gives the same numbers.
pub struct SeededRandom {
    state: u64,
}

impl SeededRandom {
    pub fn new(seed: u64) -> Self {
        SeededRandom {
            state: seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        }
    }

    /// Returns a number from 0 up to, but not including, `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.state ^= self.state >> 12;
        self.state ^= self.state << 25;
        self.state ^= self.state >> 27;
        (self.state.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % bound
    }

    /// Returns a random element of `all`.
    pub fn choose<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }
}
