//! Token bucket over all control traffic of a process, with priorities.

use std::{
    collections::VecDeque,
    time::Duration, //
};

mulberrynotch_macros::value! {
    /// Priority of control traffic, highest first.
    pub enum Priority {
        /// An availability zone goes out of service or returns.
        ZoneOut,
        /// Configuration.
        Configuration,
        /// Heartbeats, which carry the first member changes.
        Membership,
        /// Pushes of member changes and repair of member tables; behind heartbeats, because a
        /// late answer to a heartbeat causes a false suspicion and so more changes.
        Dissemination,
        /// Handover of targets and key records, which shutdowns and requests wait for.
        Handover,
        /// Redirects.
        Redirect,
        /// Load and learnt targets.
        Load,
    }
}

/// Number of priorities.
const PRIORITIES: usize = 7;

/// Seconds of the rate that may go at once.
const BURST_SECONDS: f64 = 2.0;

/// Seconds of the rate that are saved while little is sent. Handover and redirects come in bursts,
/// at a start and at a planned stop, and flows break while they wait. Whatever a burst takes has
/// been left unused before, so the average since the start stays within the rate but for the first
/// saving.
const RESERVE_SECONDS: f64 = 30.0;

/// Items that wait at most, per priority; the oldest is dropped first.
const MAX_WAITING: usize = 4_096;

/// Heartbeats and spread changes that wait at most. At 2 KB/s these are about 2 s; older answers
/// to heartbeats come too late and only delay the next ones.
const MAX_WAITING_HEARTBEATS: usize = 16;

/// Bytes of configuration that may go before a waiting heartbeat. A burst of changes that held
/// heartbeats back would make live members suspects.
const BETWEEN_HEARTBEATS: usize = 300;

const CONFIGURATION: usize = Priority::Configuration as usize;
const MEMBERSHIP: usize = Priority::Membership as usize;

/// Queues items until the bucket holds enough tokens for them.
#[derive(Debug)]
pub struct Queue<T> {
    rate: f64,
    burst: f64,
    tokens: f64,
    /// Tokens above the burst, for handover and redirects.
    reserve: f64,
    filled_at: Duration,
    waiting: [VecDeque<(usize, T)>; PRIORITIES],
    /// Bytes of configuration since the last heartbeat.
    ahead: usize,
    /// Bytes let through since the start.
    pub sent_bytes: u64,
    /// Items dropped because too many waited.
    pub dropped: u64,
}

impl<T> Queue<T> {
    /// Lets `bytes_per_second` through on average and two seconds' worth at once; of handover and
    /// redirects another 30 seconds' worth, where so much was saved.
    pub fn new(bytes_per_second: u32) -> Self {
        let rate = f64::from(bytes_per_second);
        Self {
            rate,
            burst: BURST_SECONDS * rate,
            tokens: BURST_SECONDS * rate,
            reserve: RESERVE_SECONDS * rate,
            filled_at: Duration::ZERO,
            waiting: std::array::from_fn(|_| VecDeque::new()),
            ahead: 0,
            sent_bytes: 0,
            dropped: 0,
        }
    }

    /// Adds an item of `bytes`.
    pub fn push(&mut self, priority: Priority, bytes: usize, item: T) {
        let most = match priority {
            Priority::Membership | Priority::Dissemination => MAX_WAITING_HEARTBEATS,
            _ => MAX_WAITING,
        };
        let waiting = &mut self.waiting[priority as usize];
        if waiting.len() == most {
            waiting.pop_front();
            self.dropped += 1;
        }
        waiting.push_back((bytes, item));
    }

    /// Takes the next item that the bucket holds enough tokens for.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        self.fill(now);
        let next = self.next()?;
        let bytes = self.waiting[next].front()?.0;
        let cost = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        if may_use_reserve(next) && cost <= self.reserve {
            self.reserve -= cost;
        } else if cost.min(self.burst) <= self.tokens {
            // An item above the burst goes out of a full bucket and leaves a debt, so that the
            // average rate holds for it too.
            self.tokens -= cost;
        } else {
            return None;
        }
        self.sent_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        self.ahead = match next {
            CONFIGURATION => self.ahead + bytes,
            MEMBERSHIP => 0,
            _ => self.ahead,
        };
        self.waiting[next].pop_front().map(|(_, item)| item)
    }

    /// Priority to take from: the highest, but heartbeats get a share next to configuration.
    fn next(&self) -> Option<usize> {
        let first = self.waiting.iter().position(|queue| !queue.is_empty())?;
        let share = self.ahead >= BETWEEN_HEARTBEATS && !self.waiting[MEMBERSHIP].is_empty();
        Some(if first == CONFIGURATION && share {
            MEMBERSHIP
        } else {
            first
        })
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// True when no item waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let tokens = self.tokens + elapsed.as_secs_f64() * self.rate;
        let surplus = (tokens - self.burst).max(0.0);
        self.tokens = tokens - surplus;
        self.reserve = (self.reserve + surplus).min(RESERVE_SECONDS * self.rate);
    }
}

/// True for traffic that may use the reserve.
fn may_use_reserve(priority: usize) -> bool {
    priority == Priority::Handover as usize || priority == Priority::Redirect as usize
}
