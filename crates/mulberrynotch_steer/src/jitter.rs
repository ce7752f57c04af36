//! Variation of waits, so that balancers which began together do not act in step.

use std::time::Duration;

/// Share of a wait by which it varies: one in this many.
const WAIT_DIVISOR: u32 = 4;

/// The time to add to a wait, drawn by `lot`.
pub fn of(wait: Duration, seed: u64) -> Duration {
    let percent = u32::try_from(seed % 100).unwrap_or(0);
    wait * percent / (100 * WAIT_DIVISOR)
}
