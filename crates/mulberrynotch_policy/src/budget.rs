//! Priority queue that limits the control traffic of a process with a token bucket.

use std::{
    collections::VecDeque,
    time::Duration, //
};

mulberrynotch_macros::value! {
    /// Priority class of control traffic, highest first.
    pub enum Priority {
        /// A zone goes out of service or returns.
        ZoneOut,
        /// Other register changes.
        Configuration,
        /// Heartbeats, which also carry the first copies of member changes.
        Membership,
        /// Pushes of member changes and repair of member tables. Ranked below heartbeats, because
        /// a late answer to a heartbeat causes a false suspicion, which causes more changes.
        Dissemination,
        /// Handover of targets and idempotency records; shutdowns and requests wait for it.
        Handover,
        /// Redirects of flows.
        Redirect,
        /// Load of targets, and hints about the targets of flows.
        Load,
    }
}

const PRIORITIES: usize = 7;

/// Size of the bucket, in seconds of the rate.
const BURST_SECONDS: f64 = 2.0;

/// Size of the reserve for handover and redirects, in seconds of the rate. They come in bursts, at
/// a start and at a planned stop, and flows break while they wait. The reserve is refilled only
/// with rate that was left unused, so the average since the start exceeds the rate by no more than
/// the initial reserve.
const RESERVE_SECONDS: f64 = 30.0;

/// Maximum number of waiting items per priority; the oldest is dropped first.
const MAX_WAITING: usize = 4_096;

/// Maximum number of waiting heartbeats, and of waiting member changes. At 2 KB/s they take about
/// 2 s to send; older answers to heartbeats arrive too late and only delay the next ones.
const MAX_WAITING_HEARTBEATS: usize = 16;

/// Bytes of configuration that may be sent ahead of a waiting heartbeat. A burst of changes that
/// delays heartbeats would make live members suspects.
const CONFIGURATION_QUOTA_BYTES: usize = 300;

const CONFIGURATION: usize = Priority::Configuration as usize;
const MEMBERSHIP: usize = Priority::Membership as usize;

/// Queues items until the token bucket covers their size.
#[derive(Debug)]
pub struct Queue<T> {
    rate: f64,
    burst: f64,
    tokens: f64,
    /// Tokens beyond the bucket, for handover and redirects.
    reserve: f64,
    refilled_at: Duration,
    waiting: [VecDeque<(usize, T)>; PRIORITIES],
    /// Bytes of configuration sent since the last heartbeat.
    configuration_bytes: usize,
    /// Bytes sent since the start.
    pub sent_bytes: u64,
    /// Items dropped from a full queue.
    pub dropped: u64,
}

impl<T> Queue<T> {
    /// Creates a queue that sends `bytes_per_second` on average and up to two seconds' worth at
    /// once. Handover and redirects may use up to 30 seconds' worth of unused rate in addition.
    pub fn new(bytes_per_second: u32) -> Self {
        let rate = f64::from(bytes_per_second);
        Self {
            rate,
            burst: BURST_SECONDS * rate,
            tokens: BURST_SECONDS * rate,
            reserve: RESERVE_SECONDS * rate,
            refilled_at: Duration::ZERO,
            waiting: std::array::from_fn(|_| VecDeque::new()),
            configuration_bytes: 0,
            sent_bytes: 0,
            dropped: 0,
        }
    }

    /// Enqueues an item of `bytes`; drops the oldest one of the same priority if the queue is full.
    pub fn push(&mut self, priority: Priority, bytes: usize, item: T) {
        let limit = match priority {
            Priority::Membership | Priority::Dissemination => MAX_WAITING_HEARTBEATS,
            _ => MAX_WAITING,
        };
        let waiting = &mut self.waiting[priority as usize];
        if waiting.len() == limit {
            waiting.pop_front();
            self.dropped += 1;
        }
        waiting.push_back((bytes, item));
    }

    /// Returns the next item if enough tokens are available for it.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        self.refill(now);
        let priority = self.next_priority()?;
        let bytes = self.waiting[priority].front()?.0;
        let cost = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        if may_use_reserve(priority) && cost <= self.reserve {
            self.reserve -= cost;
        } else if cost.min(self.burst) <= self.tokens {
            // An item larger than the bucket is sent when the bucket is full and overdraws it, so
            // that the average rate holds.
            self.tokens -= cost;
        } else {
            return None;
        }
        self.sent_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        self.configuration_bytes = match priority {
            CONFIGURATION => self.configuration_bytes + bytes,
            MEMBERSHIP => 0,
            _ => self.configuration_bytes,
        };
        self.waiting[priority].pop_front().map(|(_, item)| item)
    }

    /// Returns the highest priority with waiting items, except that heartbeats get a share of the
    /// rate beside configuration.
    fn next_priority(&self) -> Option<usize> {
        let highest = self.waiting.iter().position(|queue| !queue.is_empty())?;
        let heartbeat_due = self.configuration_bytes >= CONFIGURATION_QUOTA_BYTES
            && !self.waiting[MEMBERSHIP].is_empty();
        Some(if highest == CONFIGURATION && heartbeat_due {
            MEMBERSHIP
        } else {
            highest
        })
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Returns true if no items are waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let tokens = self.tokens + elapsed.as_secs_f64() * self.rate;
        let surplus = (tokens - self.burst).max(0.0);
        self.tokens = tokens - surplus;
        self.reserve = (self.reserve + surplus).min(RESERVE_SECONDS * self.rate);
    }
}

fn may_use_reserve(priority: usize) -> bool {
    priority == Priority::Handover as usize || priority == Priority::Redirect as usize
}
