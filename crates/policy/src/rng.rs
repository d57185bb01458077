//! The module's source of chance: seeded, so that the same calls give the same answers.

use nanorand::WyRand;

/// A generator that is made anew with a seed before it is used.
pub(crate) struct SeededRng(pub(crate) WyRand);

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng(WyRand::new_seed(0))
    }
}
