//! Whether messages of this process reach its peers, and answers come back, without delay.
//!
//! A balancer whose own link is full, or loses what it sends, sees all targets fail. Progress of
//! single flows does not disprove that, since some packets still pass. A peer that answers a
//! question at once shows that the way out and the way back are free.

use std::time::Duration;

/// Pause between two questions.
const PING_PERIOD: Duration = Duration::from_millis(100);

/// Longest wait for an answer. Half the time that a probe of a target waits, so that a probe does
/// not fail on a way that passes for free.
const PONG_TIMEOUT: Duration = Duration::from_millis(50);

/// Age of an answered question up to which it counts.
const MAX_PONG_AGE: Duration = Duration::from_millis(400);

/// Questions to peers and their answers.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    pinged_at: Option<Duration>,
    /// When the latest question was sent that was answered in time.
    last_pong_at: Option<Duration>,
    /// True while there is no peer to ask.
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
    /// Notes whether there are peers to ask.
    pub fn set_without_peers(&mut self, without_peers: bool) {
        self.without_peers = without_peers;
    }

    /// True while there is no peer to ask.
    pub fn is_without_peers(&self) -> bool {
        self.without_peers
    }

    /// True when the pause since the last question is over.
    pub fn is_due(&self, now: Duration) -> bool {
        self.pinged_at.is_none_or(|at| now >= at + PING_PERIOD)
    }

    /// True when a question is due and there is a peer to ask; it counts as sent then.
    pub fn start_ping(&mut self, now: Duration) -> bool {
        let due = !self.without_peers && self.is_due(now);
        if due {
            self.pinged_at = Some(now);
        }
        due
    }

    /// Notes an answer to the question that was sent at `asked_at`.
    pub fn pong_received(&mut self, now: Duration, pinged_at: Duration) {
        if pinged_at <= now && now - pinged_at <= PONG_TIMEOUT {
            self.last_pong_at = self.last_pong_at.max(Some(pinged_at));
        }
    }

    /// Time since the latest question that was answered in time.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.last_pong_at.map(|at| now.saturating_sub(at))
    }

    /// True when the ways to and from the peers were free a moment ago, or nobody can tell.
    pub fn is_proven(&self, now: Duration) -> bool {
        self.without_peers || self.age(now).is_some_and(|age| age < MAX_PONG_AGE)
    }
}
