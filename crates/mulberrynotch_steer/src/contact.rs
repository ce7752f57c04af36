//! Reachability of peers: whether pings from this process are answered without delay.
//!
//! A balancer whose own link is saturated, or loses what it sends, sees all targets fail. Progress
//! of single flows does not rule this out, since some packets still pass. A peer that answers a
//! ping at once shows that the link carries packets in both directions without delay.

use std::time::Duration;

/// Interval between pings.
const PING_PERIOD: Duration = Duration::from_millis(100);

/// Longest wait for an answer. This is half of the timeout of a probe, so that a probe does not
/// time out on a path on which pings are answered in time.
const PONG_TIMEOUT: Duration = Duration::from_millis(50);

/// Age up to which an answered ping counts.
const MAX_PONG_AGE: Duration = Duration::from_millis(400);

/// Pings to peers and their answers.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    pinged_at: Option<Duration>,
    /// Time at which the latest ping was sent that was answered in time.
    last_pong_at: Option<Duration>,
    /// True while there is no peer to ping.
    without_peers: bool,
}

impl Default for Contact {
    fn default() -> Self {
        Self {
            pinged_at: None,
            last_pong_at: None,
            without_peers: true,
        }
    }
}

impl Contact {
    /// Sets whether there is no peer to ping.
    pub fn set_without_peers(&mut self, without_peers: bool) {
        self.without_peers = without_peers;
    }

    /// Returns whether there is no peer to ping.
    pub fn is_without_peers(&self) -> bool {
        self.without_peers
    }

    /// Returns whether the interval since the last ping has passed.
    pub fn is_due(&self, now: Duration) -> bool {
        self.pinged_at.is_none_or(|at| now >= at + PING_PERIOD)
    }

    /// Returns whether a ping is due and there is a peer to ping; records the ping as sent if so.
    pub fn start_ping(&mut self, now: Duration) -> bool {
        let due = !self.without_peers && self.is_due(now);
        if due {
            self.pinged_at = Some(now);
        }
        due
    }

    /// Records the answer to a ping sent at `pinged_at`.
    pub fn pong_received(&mut self, now: Duration, pinged_at: Duration) {
        if pinged_at <= now && now - pinged_at <= PONG_TIMEOUT {
            self.last_pong_at = self.last_pong_at.max(Some(pinged_at));
        }
    }

    /// Returns the time since the latest ping that was answered in time.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.last_pong_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether a recent ping was answered in time, or there is no peer that could answer
    /// one.
    pub fn is_proven(&self, now: Duration) -> bool {
        self.without_peers || self.age(now).is_some_and(|age| age < MAX_PONG_AGE)
    }
}
