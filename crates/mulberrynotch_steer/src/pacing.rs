//! Pacing of large answers to peers, so that they leave bandwidth for client packets on the link.

use std::time::Duration;

/// Fraction of the link that answers may use: one in this many.
const LINK_DIVISOR: u64 = 2;

/// Bits per byte. Bits divided by a bandwidth in Mbit/s give microseconds.
const BITS_PER_BYTE: u64 = 8;

/// Longest delay of an answer; after it the caller pulls from another peer.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Schedule of answers.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    link_mbps: u32,
    free_at: Duration,
}

impl Pacer {
    /// Creates a schedule for a link with this bandwidth, in Mbit/s.
    pub fn new(link_mbps: u32) -> Self {
        Self {
            link_mbps,
            free_at: Duration::ZERO,
        }
    }

    /// Reserves bandwidth for an answer of `bytes` and returns its delay; `None` if the delay is
    /// longer than the caller waits.
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
