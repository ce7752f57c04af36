//! Whether messages of this process reach its peers, and answers come back, without delay.
//!
//! A balancer whose own link is full, or loses what it sends, sees all targets fail. Progress of
//! single flows does not disprove that, since some packets still pass. A peer that answers a
//! question at once shows that the way out and the way back are free.

use std::time::Duration;

/// Pause between two questions.
const PERIOD: Duration = Duration::from_millis(100);

/// Longest wait for an answer. Half the time that a probe of a target waits, so that a probe does
/// not fail on a way that passes for free.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Age of an answered question up to which it counts.
const MAX_AGE: Duration = Duration::from_millis(400);

/// Questions to peers and their answers.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    asked_at: Option<Duration>,
    /// When the latest question was sent that was answered in time.
    answered_at: Option<Duration>,
    /// True while there is no peer to ask.
    alone: bool,
}

impl Default for Contact {
    fn default() -> Self {
        Self {
            asked_at: None,
            answered_at: None,
            alone: true,
        }
    }
}

impl Contact {
    /// Notes whether there are peers to ask.
    pub fn set_alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// True while there is no peer to ask.
    pub fn is_alone(&self) -> bool {
        self.alone
    }

    /// True when the pause since the last question is over.
    pub fn is_due(&self, now: Duration) -> bool {
        self.asked_at.is_none_or(|at| now >= at + PERIOD)
    }

    /// True when a question is due and there is a peer to ask; it counts as sent then.
    pub fn ask(&mut self, now: Duration) -> bool {
        let due = !self.alone && self.is_due(now);
        if due {
            self.asked_at = Some(now);
        }
        due
    }

    /// Notes an answer to the question that was sent at `asked_at`.
    pub fn answered(&mut self, now: Duration, asked_at: Duration) {
        if asked_at <= now && now - asked_at <= ANSWER_TIME {
            self.answered_at = self.answered_at.max(Some(asked_at));
        }
    }

    /// Time since the latest question that was answered in time.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_sub(at))
    }

    /// True when the ways to and from the peers were free a moment ago, or nobody can tell.
    pub fn is_proven(&self, now: Duration) -> bool {
        self.alone || self.age(now).is_some_and(|age| age < MAX_AGE)
    }
}
