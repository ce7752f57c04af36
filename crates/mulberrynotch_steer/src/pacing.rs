//! Pace of large answers to peers, so that they leave room for packets of clients on the link.

use std::time::Duration;

/// Part of the link that answers may take: one in this many.
const LINK_DIVISOR: u64 = 2;

/// Bits in a byte. Bits divided by a bandwidth in Mbit/s are microseconds.
const BITS_PER_BYTE: u64 = 8;

/// Longest wait of an answer; its caller asks another peer soon after.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Times at which answers may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    link_mbps: u32,
    free_at: Duration,
}

impl Pacer {
    /// For a link of this bandwidth, in Mbit/s.
    pub fn new(link_mbps: u32) -> Self {
        Self {
            link_mbps,
            free_at: Duration::ZERO,
        }
    }

    /// How long an answer of `bytes` has to wait; `None` when that is too long for its caller.
    pub fn reserve(&mut self, now: Duration, bytes: usize) -> Option<Duration> {
        let wait = self.free_at.saturating_sub(now);
        if wait > MAX_WAIT {
            return None;
        }
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let link = u64::from(self.link_mbps.max(1));
        let micros = bytes.saturating_mul(BITS_PER_BYTE * LINK_DIVISOR) / link;
        self.free_at = self.free_at.max(now) + Duration::from_micros(micros);
        Some(wait)
    }
}
