//! Cookies: 32-bit identifiers of targets that packets carry.

use xxhash_rust::xxh3;

/// Cookie of a packet whose flow has no target yet.
pub const NONE: u32 = 0;

/// Returns the cookie of the target with this identifier; never [`NONE`].
pub fn of(target: u64) -> u32 {
    let hash = xxh3::xxh3_64(&target.to_be_bytes());
    let folded = (hash >> 32) ^ (hash & u64::from(u32::MAX));
    // The folded hash is below 2^32.
    u32::try_from(folded).unwrap_or(u32::MAX).max(1)
}
