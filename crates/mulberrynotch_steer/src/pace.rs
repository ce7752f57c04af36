//! Pace of large answers to peers, so that they leave room for packets of clients on the link.

use std::time::Duration;

/// Part of the link that answers may take: one in this many.
const LINK_PART: u64 = 2;

/// Bits in a byte. Bits divided by a bandwidth in Mbit/s are microseconds.
const BITS: u64 = 8;

/// Longest wait of an answer; its caller asks another peer soon after.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);

/// Times at which answers may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    link_mbps: u32,
    free_at: Duration,
}

impl Pace {
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
        if wait > LONGEST_WAIT {
            return None;
        }
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let link = u64::from(self.link_mbps.max(1));
        let micros = bytes.saturating_mul(BITS * LINK_PART) / link;
        self.free_at = self.free_at.max(now) + Duration::from_micros(micros);
        Some(wait)
    }
}
