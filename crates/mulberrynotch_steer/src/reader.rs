//! Which balancers read the store, and when.
//!
//! One balancer of a zone waits on the store for changes and tells the others. Another one takes
//! its place when it hears of no balancer of the zone that reaches the store.

use std::time::Duration;

use crate::record;

/// Time that a watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_millis(2_000);

/// Longest wait for the answer of a call, beyond the wait of a watch.
pub const TIMEOUT: Duration = Duration::from_millis(700);

/// Pause between a change and the next watch, so that a burst of changes takes few calls.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);

/// First pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Records that a process reads at its start without looking for a peer that has them.
pub const SHORT_LIST: usize = 500;

/// Longest wait for a peer that reads a long list.
const MAX_POSTPONEMENT: Duration = Duration::from_millis(2_000);

/// Age of the last sign of a reader after which the next balancer takes its place.
const TAKEOVER_AGE: Duration = Duration::from_millis(1_000);

/// Further wait of each balancer behind the first in the order of readers.
const TAKEOVER_STEP: Duration = Duration::from_millis(250);

/// Ranks after which the wait grows no more.
const MAX_TAKEOVER_STEPS: u32 = 6;

mulberrynotch_macros::value! {
    /// A call to the store.
    pub enum Call {
        /// Read all records.
        List {
            /// True when records may be some seconds old; such a read does not count towards the
            /// store's rate, so that a whole fleet can start at once.
            stale: bool,
            /// True when a read of more than [`SHORT_LIST`] records is to be given up.
            short: bool,
        },
        /// Wait for changes.
        Watch {
            /// Revision after which changes are asked for.
            after: u64,
        },
    }

    /// How a call ended.
    pub enum Outcome {
        /// Records were returned, or a watch ended without a change.
        Answered {
            /// True when there were changes.
            changed: bool,
        },
        /// The history that a watch asked for is gone.
        HistoryLost,
        /// No answer, or a refusal.
        Failed,
    }
}

mulberrynotch_macros::data! {
    /// What a call returned.
    pub enum Answer {
        /// All records.
        Listed {
            /// Revision that the records are current as of, or later.
            as_of: u64,
            /// The records.
            records: Vec<record::Record>,
        },
        /// Records that changed, in order.
        Changed {
            /// Revision up to which every change is contained.
            as_of: u64,
            /// The records.
            records: Vec<record::Record>,
        },
        /// The history that was asked for is gone.
        HistoryLost,
        /// There are more records than a short read returns.
        TooMany,
    }
}

/// What a balancer knows of the readers of its zone.
#[derive(Clone, Copy, Debug)]
pub struct Zone {
    /// Place in the order of readers, 0 for the first.
    pub rank: usize,
    /// Time since another reader of the zone was known to reach the store.
    pub reader_age: Duration,
    /// Time that news of a reader takes to pass through the zone.
    pub relay_delay: Duration,
}

/// State of the calls of one balancer.
#[derive(Debug, Default)]
pub struct Reader {
    pending: Option<(Call, Duration)>,
    next_at: Duration,
    backoff: Option<Duration>,
    answered_at: Option<Duration>,
    /// When a watch last ended with an answer.
    watched_at: Option<Duration>,
    list_needed: bool,
    /// True once a short read was given up.
    postponed: bool,
}

impl Reader {
    /// The call to make now, if any.
    pub fn next(&mut self, now: Duration, zone: Zone, as_of: u64) -> Option<Call> {
        let rank = u32::try_from(zone.rank)
            .unwrap_or(u32::MAX)
            .min(MAX_TAKEOVER_STEPS);
        let is_responsible = rank == 0 || as_of == 0 || self.list_needed;
        let takes_over = zone.reader_age >= TAKEOVER_AGE + zone.relay_delay + TAKEOVER_STEP * rank;
        if self.pending.is_some() || now < self.next_at || !(is_responsible || takes_over) {
            return None;
        }
        let call = if self.list_needed {
            Call::List {
                stale: false,
                short: false,
            }
        } else if as_of == 0 {
            Call::List {
                stale: true,
                short: !self.postponed,
            }
        } else {
            Call::Watch { after: as_of }
        };
        self.pending = Some((call, now));
        Some(call)
    }

    /// Asks for a complete read at the next occasion.
    pub fn invalidate(&mut self) {
        self.list_needed = true;
    }

    /// Notes that a short read was given up. Most processes wait for a peer that reads all, and few
    /// go on early: the store's link would be full if a whole fleet read everything at once.
    pub fn postpone(&mut self, now: Duration, seed: u64) {
        self.pending = None;
        self.postponed = true;
        let draw = (seed % 10_000).isqrt();
        let wait = MAX_POSTPONEMENT.as_millis() * u128::from(draw) / 100;
        self.next_at = now + Duration::from_millis(u64::try_from(wait).unwrap_or(0));
    }

    /// Notes how the pending call ended; returns the call and when it was made.
    pub fn call_ended(&mut self, now: Duration, outcome: Outcome) -> Option<(Call, Duration)> {
        let (call, started) = self.pending.take()?;
        match outcome {
            Outcome::Answered { changed } => {
                self.backoff = None;
                self.answered_at = Some(now);
                if matches!(call, Call::Watch { .. }) {
                    self.watched_at = Some(now);
                }
                self.next_at = if changed { now + CHANGE_PAUSE } else { now };
                if matches!(call, Call::List { .. }) {
                    self.list_needed = false;
                    self.next_at = now;
                }
            }
            Outcome::HistoryLost => {
                self.list_needed = true;
                self.next_at = now;
            }
            Outcome::Failed => {
                let backoff = self.backoff.map_or(MIN_BACKOFF, |it| it * 2);
                self.backoff = Some(backoff.min(MAX_BACKOFF));
                self.next_at = now + self.backoff.unwrap_or_default();
            }
        }
        Some((call, started))
    }

    /// True while this balancer watches the store and the store answers, as far as it can know. One
    /// that only read once does not learn of changes.
    pub fn is_healthy(&self, now: Duration) -> bool {
        let within = |at: Duration, limit| now.saturating_sub(at) < limit;
        let is_watching = match self.pending {
            Some((Call::Watch { .. }, since)) => within(since, WATCH_WAIT + TIMEOUT),
            _ => self
                .watched_at
                .is_some_and(|at| within(at, CHANGE_PAUSE * 3)),
        };
        let is_recent = |at| within(at, WATCH_WAIT + TIMEOUT + CHANGE_PAUSE);
        self.backoff.is_none() && is_watching && self.answered_at.is_some_and(is_recent)
    }

    /// True when calls fail.
    pub fn is_failing(&self) -> bool {
        self.backoff.is_some()
    }
}
