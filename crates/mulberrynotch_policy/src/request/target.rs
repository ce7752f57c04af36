//! State of one owned target.

use std::time::Duration;

use mulberrynotch_register::model;
use mulberrynotch_wire::flow;

use super::{
    Admission,
    queue, //
};
use crate::limit;

/// A new owner sends nothing for this long while the old one is live and has not handed over.
pub(super) const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// Shortest time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct Target {
    pub(super) limit: limit::Limit,
    pub(super) queue: queue::Queue,
    pub(super) slots: u32,
    /// Until then the previous owner may still send requests.
    pub(super) closed_until: Duration,
    /// Until then the previous owner may report what it still runs.
    adopting_until: Duration,
    pub(super) leaving: bool,
    pub(super) refused: u64,
}

impl Target {
    pub(super) fn new(now: Duration, slots: u32) -> Self {
        Self {
            limit: limit::Limit::new(now, slots),
            queue: queue::Queue::default(),
            slots,
            closed_until: now,
            adopting_until: now,
            leaving: false,
            refused: 0,
        }
    }

    /// Takes over what the previous owner learnt, at first, and still runs, each time.
    pub(super) fn adopt(&mut self, now: Duration, load: flow::Load, deadline: Duration) {
        let is_first = now < self.closed_until;
        if !is_first && now >= self.adopting_until {
            return;
        }
        let limit = if is_first {
            self.adopting_until = now + deadline;
            load.slots
        } else {
            self.limit.limit()
        };
        self.closed_until = self.closed_until.min(now);
        self.limit
            .adopt(now, limit, load.requests, self.adopting_until);
    }

    /// Starts cold after a change of owner, without forgetting what the process still runs.
    pub(super) fn restart(&mut self, now: Duration, previous_is_live: bool) {
        let running = self.limit.used(now);
        self.limit = limit::Limit::new(now, self.slots);
        for _ in 0..running {
            self.limit.start(now);
        }
        if previous_is_live {
            self.closed_until = now + HANDOVER_TIME;
        }
    }

    pub(super) fn free_slots(&self, now: Duration) -> u32 {
        if now < self.closed_until {
            return 0;
        }
        self.limit.free_slots(now)
    }

    /// Time that a new request of `class` is expected to wait.
    pub(super) fn wait(&self, now: Duration, class: model::Class) -> Duration {
        let ahead = u32::try_from(self.queue.ahead(class)).unwrap_or(u32::MAX);
        let rounds = ahead / self.limit.limit().max(1);
        self.limit.latency().saturating_mul(rounds) + self.limit.backoff_left(now)
    }

    pub(super) fn refuse(&mut self, now: Duration) -> Admission {
        self.refused += 1;
        let wait = self.wait(now, model::Class::Low);
        Admission::Busy {
            retry_after: wait.max(MIN_RETRY_AFTER),
        }
    }
}
