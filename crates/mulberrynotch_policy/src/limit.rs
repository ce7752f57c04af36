//! Adaptive concurrency limit of a target, with slow start and detection of cold targets.

use std::time::Duration;

/// Limit of a cold target, in concurrent requests.
pub const COLD_LIMIT: u32 = 1;

/// Consecutive successes after which the limit doubles, or grows by one above the threshold.
const STEP_SUCCESSES: u32 = 8;

/// Minimum time between two increases.
const STEP_MIN_TIME: Duration = Duration::from_millis(250);

/// Consecutive successes and minimum time before the limit leaves `COLD_LIMIT`. A target that is
/// still cold sustains one request and fails under two.
const COLD_SUCCESSES: u32 = 24;
const COLD_MIN_TIME: Duration = Duration::from_secs(2);

/// Maximum factor on `COLD_SUCCESSES`; each decrease from above the cold limit doubles the factor.
const MAX_STEP_FACTOR: u32 = 8;

/// Maximum time between two sheds of a burst.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Sheds without a success in between that count as a burst.
const BURST_SHEDS: u32 = 2;

/// First backoff after a cold target failed; doubles up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time for which the slot of a request without an answer stays reserved: the target may still run
/// the request until the cancellation arrives.
const UNANSWERED_SLOT_TIME: Duration = Duration::from_millis(250);

/// Time for which the limit is valid after a success. After it, `COLD_LIMIT` applies until the next
/// success.
const LIMIT_VALID_TIME: Duration = Duration::from_secs(10);

/// The latency counts as rising when its short mean exceeds the long mean by this factor.
const LATENCY_RISE_FACTOR: f64 = 3.0;

/// Weights of a new sample in the short and the long moving average of the latency.
const SHORT_MEAN_WEIGHT: f64 = 0.3;
const LONG_MEAN_WEIGHT: f64 = 0.02;

/// Phase of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The target gets one request at a time.
    Cold,
    /// The limit is growing.
    Ramping,
    /// The target gets as many requests as it has slots.
    Warm,
}

/// Snapshot of a [`Limit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// Phase of the target.
    pub phase: Phase,
    /// Maximum number of concurrent requests.
    pub limit: u32,
    /// Slots in use, including reserved ones.
    pub in_flight: u32,
    /// Complete answers.
    pub successes: u64,
    /// Requests and flows that the target shed.
    pub sheds: u64,
    /// Requests without an answer.
    pub timeouts: u64,
    /// Drops from a higher limit to the cold limit.
    pub cold_drops: u64,
}

/// Concurrency limit of one target.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    limit: u32,
    /// The limit doubles below this value and grows by one above it.
    slow_start_threshold: u32,
    in_flight: u32,
    reserved_until: Vec<Duration>,
    successes_in_row: u32,
    step_factor: u32,
    limit_changed_at: Duration,
    validated_at: Option<Duration>,
    sheds_in_burst: u32,
    last_shed_at: Duration,
    backoff_until: Duration,
    backoff: Duration,
    short_mean: f64,
    long_mean: f64,
    boot: Option<u64>,
    counts: [u64; 4],
}

impl Limit {
    /// Creates the limit of a cold target with `slots`.
    pub fn new(now: Duration, slots: u32) -> Self {
        Self {
            slots: slots.max(COLD_LIMIT),
            limit: COLD_LIMIT,
            slow_start_threshold: slots.max(COLD_LIMIT),
            in_flight: 0,
            reserved_until: Vec::new(),
            successes_in_row: 0,
            step_factor: 1,
            limit_changed_at: now,
            validated_at: None,
            sheds_in_burst: 0,
            last_shed_at: Duration::ZERO,
            backoff_until: Duration::ZERO,
            backoff: MIN_BACKOFF,
            short_mean: 0.0,
            long_mean: 0.0,
            boot: None,
            counts: [0; 4],
        }
    }

    /// Takes over the limit of the previous owner, and reserves slots for the `running` requests
    /// that this owner may have in progress before `until`.
    pub fn adopt(&mut self, now: Duration, limit: u32, running: u32, until: Duration) {
        self.limit = limit.clamp(COLD_LIMIT, self.slots);
        self.validated_at = (self.limit > COLD_LIMIT).then_some(now);
        self.reserved_until.clear();
        self.reserved_until
            .extend((0..running.min(self.slots)).map(|_| until));
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(COLD_LIMIT);
        self.limit = self.limit.min(self.slots);
        self.slow_start_threshold = self.slow_start_threshold.min(self.slots);
    }

    /// Returns the number of requests that may be sent now.
    pub fn free_slots(&self, now: Duration) -> u32 {
        if now < self.backoff_until {
            return 0;
        }
        self.effective_limit(now).saturating_sub(self.used(now))
    }

    /// Returns the number of requests that the target runs or may still run.
    pub fn used(&self, now: Duration) -> u32 {
        let reserved = self
            .reserved_until
            .iter()
            .filter(|&&until| now < until)
            .count();
        self.in_flight + u32::try_from(reserved).unwrap_or(u32::MAX)
    }

    /// Returns the limit, whether or not it is still valid.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the time until the end of the backoff.
    pub fn backoff_left(&self, now: Duration) -> Duration {
        self.backoff_until.saturating_sub(now)
    }

    /// Returns the mean latency, zero before the first answer.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.short_mean)
    }

    /// Takes a slot for a request that is sent.
    pub fn start(&mut self, now: Duration) {
        self.reserved_until.retain(|&until| now < until);
        self.in_flight += 1;
    }

    /// Records a complete answer to a request sent at `sent`.
    pub fn success(&mut self, now: Duration, sent: Duration) {
        self.release();
        self.counts[0] += 1;
        self.sheds_in_burst = 0;
        self.backoff = MIN_BACKOFF;
        self.backoff_until = Duration::ZERO;
        self.validated_at = Some(now);
        if self.is_latency_rising(now.saturating_sub(sent).as_secs_f64()) {
            self.decrease(now, sent, 1);
            return;
        }
        self.successes_in_row += 1;
        if self.is_step_due(now) {
            self.increase(now);
        }
    }

    /// Records that the target rejected a request sent at `sent` because of overload.
    pub fn shed(&mut self, now: Duration, sent: Duration) {
        self.release();
        self.record_shed(now, sent);
    }

    /// Records that a request sent at `sent` got no answer.
    pub fn timeout(&mut self, now: Duration, sent: Duration) {
        self.release();
        self.counts[2] += 1;
        self.reserved_until.push(now + UNANSWERED_SLOT_TIME);
        if self.limit == COLD_LIMIT {
            self.back_off(now);
        }
        self.decrease(now, sent, self.limit / 2);
    }

    /// Records a failed connection, and frees the slot if a request holds one.
    pub fn unreachable(&mut self, now: Duration, holds_slot: bool) {
        if holds_slot {
            self.release();
        }
        self.drop_to_cold(now);
        self.back_off(now);
    }

    /// Frees the slot of a request whose end says nothing about the target.
    pub fn cancel(&mut self) {
        self.release();
    }

    /// Records a shed without a slot, such as that of a flow.
    pub fn record_shed(&mut self, now: Duration, sent: Duration) {
        self.counts[1] += 1;
        let burst = now.saturating_sub(self.last_shed_at) < BURST_TIME;
        self.sheds_in_burst = if burst { self.sheds_in_burst + 1 } else { 1 };
        self.last_shed_at = now;
        if self.sheds_in_burst >= BURST_SHEDS || self.limit == COLD_LIMIT {
            self.drop_to_cold(now);
            self.back_off(now);
        } else {
            self.decrease(now, sent, self.limit / 2);
        }
    }

    /// Records the boot id of a load report; a new id means that the target has restarted.
    pub fn observe_boot(&mut self, now: Duration, boot: u64) {
        if self.boot.is_some_and(|known| known != boot) {
            self.drop_to_cold(now);
        }
        self.boot = Some(boot);
    }

    /// Returns a snapshot for the state dump.
    pub fn status(&self, now: Duration) -> Status {
        Status {
            phase: self.phase(),
            limit: self.effective_limit(now),
            in_flight: self.used(now),
            successes: self.counts[0],
            sheds: self.counts[1],
            timeouts: self.counts[2],
            cold_drops: self.counts[3],
        }
    }

    fn phase(&self) -> Phase {
        match self.limit {
            limit if limit == self.slots && self.validated_at.is_some() => Phase::Warm,
            COLD_LIMIT => Phase::Cold,
            _ => Phase::Ramping,
        }
    }

    fn effective_limit(&self, now: Duration) -> u32 {
        let is_valid = self
            .validated_at
            .is_some_and(|at| now < at + LIMIT_VALID_TIME);
        if is_valid { self.limit } else { COLD_LIMIT }
    }

    fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn is_latency_rising(&mut self, sample: f64) -> bool {
        if self.long_mean == 0.0 {
            self.short_mean = sample;
            self.long_mean = sample;
        }
        self.short_mean += (sample - self.short_mean) * SHORT_MEAN_WEIGHT;
        let rising = self.short_mean > self.long_mean * LATENCY_RISE_FACTOR;
        self.long_mean += (sample - self.long_mean) * LONG_MEAN_WEIGHT;
        rising
    }

    fn is_step_due(&mut self, now: Duration) -> bool {
        if self.limit == self.slots {
            // The last increase was right: the full limit has held for the longest step.
            if self.successes_in_row >= COLD_SUCCESSES * MAX_STEP_FACTOR {
                self.step_factor = 1;
            }
            return false;
        }
        let (successes, time) = match self.limit {
            COLD_LIMIT => (COLD_SUCCESSES * self.step_factor, COLD_MIN_TIME),
            _ => (STEP_SUCCESSES, STEP_MIN_TIME),
        };
        self.successes_in_row >= successes && now >= self.limit_changed_at + time
    }

    fn increase(&mut self, now: Duration) {
        self.successes_in_row = 0;
        self.limit_changed_at = now;
        let step = if self.limit < self.slow_start_threshold {
            self.limit.min(self.slow_start_threshold - self.limit)
        } else {
            1
        };
        self.limit = (self.limit + step).min(self.slots);
    }

    /// Lowers the limit. Failures of requests sent before the last change of the limit are ignored,
    /// so that requests that fail together lower it once.
    fn decrease(&mut self, now: Duration, sent: Duration, by: u32) {
        self.successes_in_row = 0;
        if sent < self.limit_changed_at {
            return;
        }
        self.limit_changed_at = now;
        if self.limit > COLD_LIMIT {
            self.step_factor = (self.step_factor * 2).min(MAX_STEP_FACTOR);
        }
        self.limit = self.limit.saturating_sub(by.max(1)).max(COLD_LIMIT);
        self.slow_start_threshold = self.limit;
    }

    fn drop_to_cold(&mut self, now: Duration) {
        self.counts[3] += u64::from(self.limit > COLD_LIMIT);
        self.limit = COLD_LIMIT;
        self.slow_start_threshold = self.slots;
        self.successes_in_row = 0;
        self.limit_changed_at = now;
        self.validated_at = None;
    }

    fn back_off(&mut self, now: Duration) {
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
