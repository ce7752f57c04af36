//! Election of the balancers that read the store, and the schedule of their calls.
//!
//! One balancer of a zone watches the store for changes and sends them to the others. A watch is
//! silent while nothing changes, so a small read beside it shows every half a second whether the store
//! still answers. The others know when it last did, and the next one takes over when that is too long
//! ago.

use std::time::Duration;

use crate::{
    record,
    revision, //
};

/// Time for which the store holds a watch open without a change.
pub const WATCH_WAIT: Duration = Duration::from_millis(2_000);

/// Timeout of a call to the store; for a watch in addition to [`WATCH_WAIT`].
pub const TIMEOUT: Duration = Duration::from_millis(700);

/// Time since the store's last answer after which a balancer with a pending watch makes a small read.
const PING_PERIOD: Duration = Duration::from_millis(500);

/// Time since the store's last answer after which a reader no longer answers for its zone, and the
/// next balancer takes over.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);

/// Pause between a change and the next watch, so that a burst of changes needs few calls.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);

/// Pause after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);

const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Doublings of the pause until it is the longest one.
const MAX_BACKOFF_STEPS: u32 = 3;

/// Largest number of records that a process reads at its start instead of waiting for a peer that
/// has them.
pub const SHORT_LIST: usize = 500;

/// Longest wait for a peer that reads a long list.
const MAX_POSTPONEMENT: Duration = Duration::from_millis(2_000);

/// Additional wait for each rank in the order of readers.
const TAKEOVER_STEP: Duration = Duration::from_millis(250);

/// Rank from which the wait no longer grows.
const MAX_TAKEOVER_STEPS: u32 = 6;

mulberrynotch_macros::value! {
    /// A call to the store.
    pub enum Call {
        /// Reads all records.
        List {
            /// Allows records that are some seconds old. The store does not count such reads
            /// towards its rate limit, so a whole fleet can start at once.
            stale: bool,
            /// Aborts the read if there are more than [`SHORT_LIST`] records.
            short: bool,
        },
        /// Waits for changes.
        Watch {
            /// Revision after which changes are returned.
            after: revision::Revision,
            /// Time for which the store holds the watch open without a change.
            wait: Duration,
        },
        /// Reads little, to learn whether the store answers. The answer may be some seconds old.
        Ping,
    }

    /// How a call ended.
    pub enum Outcome {
        /// The store returned records, or a watch ended without a change.
        Answered {
            /// True if there were changes.
            changed: bool,
        },
        /// The store no longer has the history that a watch needs, or has another one.
        HistoryLost,
        /// The store did not answer, or refused the call.
        Failed,
    }
}

mulberrynotch_macros::data! {
    /// Result of a call.
    pub enum Answer {
        /// All records.
        Listed {
            /// Revision as of which the records are current; they may be newer.
            as_of: revision::Revision,
            /// The records.
            records: Vec<record::Record>,
        },
        /// Changed records in order of revision.
        Changed {
            /// Revision up to which every change is contained.
            as_of: revision::Revision,
            /// The records.
            records: Vec<record::Record>,
        },
        /// The store no longer has the requested history.
        HistoryLost {
            /// Era of the store.
            era: u64,
        },
        /// The store has more records than a short read returns.
        TooMany,
        /// The changes that a watch would return are more than a balancer reads at once; all records
        /// can still be read, page by page.
        TooLong,
        /// The store answered a [`Call::Ping`].
        Pong,
    }
}

impl Call {
    /// Returns the name of the call in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::List { .. } => "list",
            Self::Watch { .. } => "watch",
            Self::Ping => "ping",
        }
    }
}

/// State of the readers of a balancer's zone, as known to it.
#[derive(Clone, Copy, Debug)]
pub struct Zone {
    /// Rank in the order of readers; 0 is the first.
    pub rank: usize,
    /// Time since the store last answered another reader of the zone.
    pub reader_age: Duration,
    /// Time that the state of a reader takes to propagate through the zone.
    pub relay_delay: Duration,
}

/// Schedule of one balancer's calls.
#[derive(Debug, Default)]
pub struct Reader {
    pending: Option<(Call, Duration)>,
    next_at: Duration,
    backoff: Option<Duration>,
    /// Time of the last answer of the store.
    answered_at: Option<Duration>,
    /// Start of the latest [`Call::Ping`].
    pinged_at: Option<Duration>,
    ping_pending: bool,
    /// Time at which a watch last ended with an answer.
    watched_at: Option<Duration>,
    list_needed: bool,
    /// True while a complete read replaces the watch of a reader.
    recovering: bool,
    /// Lost histories since a watch last ended with an answer.
    lost_histories: u32,
    /// True once a short read was aborted.
    postponed: bool,
}

impl Reader {
    /// Returns the call to make now, if any.
    pub fn next(&mut self, now: Duration, zone: Zone, as_of: revision::Revision) -> Option<Call> {
        let rank = u32::try_from(zone.rank)
            .unwrap_or(u32::MAX)
            .min(MAX_TAKEOVER_STEPS);
        // A reader that lost the history goes on until a watch succeeds.
        let is_responsible = rank == 0
            || as_of == revision::Revision::START
            || self.list_needed
            || self.lost_histories > 0;
        let takes_over = zone.reader_age >= MAX_SILENCE + zone.relay_delay + TAKEOVER_STEP * rank;
        if self.pending.is_some() || now < self.next_at || !(is_responsible || takes_over) {
            return None;
        }
        let call = if self.list_needed {
            Call::List {
                stale: false,
                short: false,
            }
        } else if as_of == revision::Revision::START {
            Call::List {
                stale: true,
                short: !self.postponed,
            }
        } else {
            // After an outage the answer shows at once whether the store lost something, and at a
            // takeover whether it answers this balancer.
            let is_unproven = !is_responsible && self.answer_age(now).is_none();
            let wait = match self.is_failing() || is_unproven {
                true => Duration::ZERO,
                false => WATCH_WAIT,
            };
            Call::Watch { after: as_of, wait }
        };
        self.pending = Some((call, now));
        Some(call)
    }

    /// Returns the small read to make now beside a pending watch, if any.
    pub fn ping(&mut self, now: Duration) -> Option<Call> {
        let Some((Call::Watch { .. }, started)) = self.pending else {
            return None;
        };
        let last = self.answered_at.max(self.pinged_at).max(Some(started))?;
        if self.ping_pending || now < last + PING_PERIOD {
            return None;
        }
        self.pinged_at = Some(now);
        self.ping_pending = true;
        Some(Call::Ping)
    }

    /// Handles the end of a [`Call::Ping`].
    pub fn ping_ended(&mut self, now: Duration, answered: bool) {
        self.ping_pending = false;
        if answered {
            self.answered_at = self.answered_at.max(Some(now));
        }
    }

    /// Schedules a complete read as the next call.
    pub fn invalidate(&mut self) {
        self.list_needed = true;
    }

    /// Handles an aborted short read. Most processes then wait for a peer that reads all records,
    /// and few continue early: the store's link would be saturated if a whole fleet read everything
    /// at once.
    pub fn postpone(&mut self, now: Duration, seed: u64) {
        self.pending = None;
        self.postponed = true;
        let percent = (seed % 10_000).isqrt();
        let wait = MAX_POSTPONEMENT.as_millis() * u128::from(percent) / 100;
        self.next_at = now + Duration::from_millis(u64::try_from(wait).unwrap_or(0));
    }

    /// Handles the end of the pending call; returns the call and its start.
    pub fn call_ended(&mut self, now: Duration, outcome: Outcome) -> Option<(Call, Duration)> {
        let (call, started) = self.pending.take()?;
        match outcome {
            Outcome::Answered { changed } => {
                self.backoff = None;
                self.answered_at = Some(now);
                if matches!(call, Call::Watch { .. }) {
                    self.watched_at = Some(now);
                    self.lost_histories = 0;
                }
                self.next_at = if changed { now + CHANGE_PAUSE } else { now };
                if matches!(call, Call::List { .. }) {
                    self.list_needed = false;
                    self.recovering = false;
                    self.next_at = now;
                }
            }
            Outcome::HistoryLost => {
                // The first one is read again at once. A store that refuses every watch is not.
                let steps = self.lost_histories.min(MAX_BACKOFF_STEPS);
                let backoff = (MIN_BACKOFF * 2_u32.pow(steps)).min(MAX_BACKOFF);
                let is_first = self.lost_histories == 0;
                self.list_instead_of_watch();
                self.lost_histories += 1;
                self.next_at = if is_first { now } else { now + backoff };
            }
            Outcome::Failed => {
                let backoff = self.backoff.map_or(MIN_BACKOFF, |it| it * 2);
                self.backoff = Some(backoff.min(MAX_BACKOFF));
                self.next_at = now + self.backoff.unwrap_or_default();
            }
        }
        Some((call, started))
    }

    /// Returns the time since the store last answered this balancer, if it watches the store; `None`
    /// when it cannot answer for its zone. A balancer that has only read once does not receive
    /// changes.
    pub fn silence(&self, now: Duration) -> Option<Duration> {
        let within = |at: Duration, limit| now.saturating_sub(at) < limit;
        let is_watching = match self.pending {
            Some((Call::Watch { .. }, since)) => within(since, WATCH_WAIT + TIMEOUT),
            // Complete reads replace the watch while the store has no history.
            _ if self.lost_histories > 0 => true,
            _ => self
                .watched_at
                .is_some_and(|at| within(at, CHANGE_PAUSE * 3)),
        };
        let is_reading = self.backoff.is_none() && is_watching;
        self.answer_age(now).filter(|_| is_reading)
    }

    /// Returns whether this balancer watches the store and the store answers, as far as it knows.
    pub fn is_healthy(&self, now: Duration) -> bool {
        self.silence(now).is_some()
    }

    /// Returns the time since the store's last answer; `None` when it is too long ago.
    fn answer_age(&self, now: Duration) -> Option<Duration> {
        let age = now.saturating_sub(self.answered_at?);
        (age < MAX_SILENCE).then_some(age)
    }

    /// Returns whether the pending complete read replaces a watch, after the loss of the history or
    /// to resolve a doubt.
    pub fn is_recovering(&self) -> bool {
        self.recovering && matches!(self.pending, Some((Call::List { .. }, _)))
    }

    /// Schedules a complete read in place of the watch of a reader.
    pub fn list_instead_of_watch(&mut self) {
        self.list_needed = true;
        self.recovering = true;
    }

    /// Returns whether calls have failed since the last answer.
    pub fn is_failing(&self) -> bool {
        self.backoff.is_some()
    }
}
