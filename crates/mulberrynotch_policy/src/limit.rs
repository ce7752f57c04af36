//! Adaptive concurrency limit of one target, with slow start and detection of a cold target.

use std::time::Duration;

/// Requests that a target in cold start may run at a time.
pub const COLD_LIMIT: u32 = 1;

/// Successes in a row after which the limit doubles, or grows by one after a decrease.
const STEP_SUCCESSES: u32 = 8;

/// Shortest time between two increases.
const STEP_TIME: Duration = Duration::from_millis(250);

/// Successes in a row, and shortest time, before a target gets more than the cold limit: a target
/// that is still cold bears one request well and fails under two.
const COLD_SUCCESSES: u32 = 24;
const COLD_TIME: Duration = Duration::from_secs(2);

/// A step that ends in a decrease doubles the successes needed for the next, up to this factor.
const MAX_CAUTION: u32 = 8;

/// Two sheds without a success within this time make a burst.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Sheds that make a burst.
const BURST_SHEDS: u32 = 2;

/// First pause after a cold target refused; it doubles up to `MAX_HOLD`.
const FIRST_HOLD: Duration = Duration::from_millis(50);

/// Longest pause between two trials of a target that refuses.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// A slot whose request ended without an answer stays taken for this long, because the target
/// may still run the request until the cancellation arrives.
const LINGER: Duration = Duration::from_millis(250);

/// A success proves that a target is warm for this long; then one request alone has to renew it.
const PROOF_TIME: Duration = Duration::from_secs(10);

/// Latency above this multiple of the usual one counts as rising.
const RISING_FACTOR: f64 = 3.0;

/// Weight of the newest sample in the short and in the long mean of the latency.
const SHORT_WEIGHT: f64 = 0.3;
const LONG_WEIGHT: f64 = 0.02;

/// Phase of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Gets one request at a time.
    Cold,
    /// The limit grows.
    Ramping,
    /// Gets as many requests as it has slots.
    Warm,
}

/// Snapshot of a [`Limit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// Phase of the target.
    pub phase: Phase,
    /// Requests that it may run at a time.
    pub limit: u32,
    /// Requests that it runs, those whose slot lingers included.
    pub in_flight: u32,
    /// Whole answers.
    pub successes: u64,
    /// Requests that the target shed.
    pub sheds: u64,
    /// Requests without an answer.
    pub timeouts: u64,
    /// Drops to the cold limit.
    pub cold_drops: u64,
}

/// Limit of one target.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    limit: u32,
    /// Below this the limit doubles, above it grows by one.
    threshold: u32,
    in_flight: u32,
    lingering: Vec<Duration>,
    streak: u32,
    caution: u32,
    stepped_at: Duration,
    proven_at: Option<Duration>,
    sheds_in_burst: u32,
    shed_at: Duration,
    held_until: Duration,
    hold: Duration,
    short: f64,
    long: f64,
    boot: Option<u64>,
    counts: [u64; 4],
}

impl Limit {
    /// Limit of a cold target with `slots`.
    pub fn new(now: Duration, slots: u32) -> Self {
        Self {
            slots: slots.max(COLD_LIMIT),
            limit: COLD_LIMIT,
            threshold: slots.max(COLD_LIMIT),
            in_flight: 0,
            lingering: Vec::new(),
            streak: 0,
            caution: 1,
            stepped_at: now,
            proven_at: None,
            sheds_in_burst: 0,
            shed_at: Duration::ZERO,
            held_until: Duration::ZERO,
            hold: FIRST_HOLD,
            short: 0.0,
            long: 0.0,
            boot: None,
            counts: [0; 4],
        }
    }

    /// Takes over the limit that another owner learnt, and what still runs through that owner.
    pub fn adopt(&mut self, now: Duration, limit: u32, running: u32, until: Duration) {
        self.limit = limit.clamp(COLD_LIMIT, self.slots);
        self.proven_at = (self.limit > COLD_LIMIT).then_some(now);
        self.lingering.clear();
        self.lingering
            .extend((0..running.min(self.slots)).map(|_| until));
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(COLD_LIMIT);
        self.limit = self.limit.min(self.slots);
        self.threshold = self.threshold.min(self.slots);
    }

    /// Requests that may be sent now.
    pub fn free_slots(&self, now: Duration) -> u32 {
        if now < self.held_until {
            return 0;
        }
        self.allowed(now).saturating_sub(self.used(now))
    }

    /// Requests that the target runs, or may still run.
    pub fn used(&self, now: Duration) -> u32 {
        let lingering = self.lingering.iter().filter(|&&until| now < until).count();
        self.in_flight + u32::try_from(lingering).unwrap_or(u32::MAX)
    }

    /// The limit without regard to how long ago it was proven.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Time until a held target is tried again.
    pub fn backoff_left(&self, now: Duration) -> Duration {
        self.held_until.saturating_sub(now)
    }

    /// Mean time of a request, zero before the first answer.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.short)
    }

    /// Notes a request that is sent.
    pub fn start(&mut self, now: Duration) {
        self.lingering.retain(|&until| now < until);
        self.in_flight += 1;
    }

    /// Notes a whole answer to a request sent at `sent`.
    pub fn success(&mut self, now: Duration, sent: Duration) {
        self.release();
        self.counts[0] += 1;
        self.sheds_in_burst = 0;
        self.hold = FIRST_HOLD;
        self.held_until = Duration::ZERO;
        self.proven_at = Some(now);
        if self.is_rising(now.saturating_sub(sent).as_secs_f64()) {
            self.decrease(now, sent, 1);
            return;
        }
        self.streak += 1;
        if self.is_step_due(now) {
            self.increase(now);
        }
    }

    /// Notes that the target refused a request sent at `sent` because it is busy.
    pub fn shed(&mut self, now: Duration, sent: Duration) {
        self.release();
        self.record_shed(now, sent);
    }

    /// Notes that a request sent at `sent` got no answer.
    pub fn timeout(&mut self, now: Duration, sent: Duration) {
        self.release();
        self.counts[2] += 1;
        self.lingering.push(now + LINGER);
        if self.limit == COLD_LIMIT {
            self.pause(now);
        }
        self.decrease(now, sent, self.limit / 2);
    }

    /// Notes that no connection to the target could be made.
    pub fn unreachable(&mut self, now: Duration, request: bool) {
        if request {
            self.release();
        }
        self.drop_to_cold(now);
        self.pause(now);
    }

    /// Notes a request that ended without having been sent.
    pub fn cancel(&mut self) {
        self.release();
    }

    /// Notes a shed of a flow or of a probe.
    pub fn record_shed(&mut self, now: Duration, sent: Duration) {
        self.counts[1] += 1;
        let burst = now.saturating_sub(self.shed_at) < BURST_TIME;
        self.sheds_in_burst = if burst { self.sheds_in_burst + 1 } else { 1 };
        self.shed_at = now;
        if self.sheds_in_burst >= BURST_SHEDS || self.limit == COLD_LIMIT {
            self.drop_to_cold(now);
            self.pause(now);
        } else {
            self.decrease(now, sent, self.limit / 2);
        }
    }

    /// Notes the boot id of a load report; a new one means a restart.
    pub fn observe_boot(&mut self, now: Duration, boot: u64) {
        if self.boot.is_some_and(|known| known != boot) {
            self.drop_to_cold(now);
        }
        self.boot = Some(boot);
    }

    /// Snapshot for the state dump.
    pub fn status(&self, now: Duration) -> Status {
        Status {
            phase: self.phase(),
            limit: self.allowed(now),
            in_flight: self.used(now),
            successes: self.counts[0],
            sheds: self.counts[1],
            timeouts: self.counts[2],
            cold_drops: self.counts[3],
        }
    }

    fn phase(&self) -> Phase {
        match self.limit {
            limit if limit == self.slots && self.proven_at.is_some() => Phase::Warm,
            COLD_LIMIT => Phase::Cold,
            _ => Phase::Ramping,
        }
    }

    fn allowed(&self, now: Duration) -> u32 {
        let fresh = self
            .proven_at
            .is_some_and(|proven| now < proven + PROOF_TIME);
        if fresh { self.limit } else { COLD_LIMIT }
    }

    fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn is_rising(&mut self, sample: f64) -> bool {
        if self.long == 0.0 {
            self.short = sample;
            self.long = sample;
        }
        self.short += (sample - self.short) * SHORT_WEIGHT;
        let rising = self.short > self.long * RISING_FACTOR;
        self.long += (sample - self.long) * LONG_WEIGHT;
        rising
    }

    fn is_step_due(&mut self, now: Duration) -> bool {
        if self.limit == self.slots {
            // A full limit that holds for a whole step shows that the last one was right.
            if self.streak >= COLD_SUCCESSES * MAX_CAUTION {
                self.caution = 1;
            }
            return false;
        }
        let (successes, time) = match self.limit {
            COLD_LIMIT => (COLD_SUCCESSES * self.caution, COLD_TIME),
            _ => (STEP_SUCCESSES, STEP_TIME),
        };
        self.streak >= successes && now >= self.stepped_at + time
    }

    fn increase(&mut self, now: Duration) {
        self.streak = 0;
        self.stepped_at = now;
        let step = if self.limit < self.threshold {
            self.limit.min(self.threshold - self.limit)
        } else {
            1
        };
        self.limit = (self.limit + step).min(self.slots);
    }

    /// Lowers the limit, once for all requests that were sent before the last decrease.
    fn decrease(&mut self, now: Duration, sent: Duration, by: u32) {
        self.streak = 0;
        if sent < self.stepped_at {
            return;
        }
        self.stepped_at = now;
        if self.limit > COLD_LIMIT {
            self.caution = (self.caution * 2).min(MAX_CAUTION);
        }
        self.limit = self.limit.saturating_sub(by.max(1)).max(COLD_LIMIT);
        self.threshold = self.limit;
    }

    fn drop_to_cold(&mut self, now: Duration) {
        self.counts[3] += u64::from(self.limit > COLD_LIMIT);
        self.limit = COLD_LIMIT;
        self.threshold = self.slots;
        self.streak = 0;
        self.stepped_at = now;
        self.proven_at = None;
    }

    fn pause(&mut self, now: Duration) {
        self.held_until = now + self.hold;
        self.hold = (self.hold * 2).min(MAX_HOLD);
    }
}
