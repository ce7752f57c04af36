//! Jitter for periodic actions, so that balancers that started together do not act simultaneously.

use std::time::Duration;

/// Fraction of a wait that is the largest jitter: one in this many.
const WAIT_DIVISOR: u32 = 4;

/// Returns the time to add to a wait; `seed` determines its part of the largest jitter.
pub fn of(wait: Duration, seed: u64) -> Duration {
    let percent = u32::try_from(seed % 100).unwrap_or(0);
    wait * percent / (100 * WAIT_DIVISOR)
}
