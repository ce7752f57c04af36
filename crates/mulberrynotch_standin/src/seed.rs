//! Seeded random numbers.

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{
        Rng,
        SeedableRng, //
    },
};

/// Deterministic random number generator.
#[derive(Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a number below `bound`, or 0 when `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64().checked_rem(bound).unwrap_or(0)
    }

    /// Returns a random element of `items`, or `None` when it is empty.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        let index = self.below(u64::try_from(items.len()).ok()?);
        items.get(usize::try_from(index).ok()?)
    }

    /// Returns true with a probability of `permille` in 1,000.
    pub fn chance(&mut self, permille: u32) -> bool {
        self.below(1_000) < u64::from(permille)
    }
}
