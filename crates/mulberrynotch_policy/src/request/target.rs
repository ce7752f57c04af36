//! Admission state of one owned target.

use std::time::Duration;

use mulberrynotch_register::model;
use mulberrynotch_wire::flow;

use super::{
    Admission,
    queue, //
};
use crate::limit;

/// Time for which a new owner waits for the handover of a live previous owner before it sends.
pub(super) const MAX_HANDOVER_TIME: Duration = Duration::from_secs(1);

/// Minimum time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct Target {
    pub(super) limit: limit::Limit,
    pub(super) queue: queue::Queue,
    pub(super) slots: u32,
    /// Time until which nothing is sent, because the previous owner may still send requests.
    pub(super) closed_until: Duration,
    /// Time until which the previous owner may report its requests in progress.
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

    /// Adopts a report of the previous owner: the limit from the first one, the requests in
    /// progress from each.
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

    /// Starts cold after a change of owner, and keeps the count of requests that still run through
    /// this process.
    pub(super) fn restart(&mut self, now: Duration, previous_is_live: bool) {
        let running = self.limit.used(now);
        self.limit = limit::Limit::new(now, self.slots);
        for _ in 0..running {
            self.limit.start(now);
        }
        if previous_is_live {
            self.closed_until = now + MAX_HANDOVER_TIME;
        }
    }

    pub(super) fn free_slots(&self, now: Duration) -> u32 {
        if now < self.closed_until {
            return 0;
        }
        self.limit.free_slots(now)
    }

    /// Returns the expected queue time of a new request of `class`.
    pub(super) fn expected_wait(&self, now: Duration, class: model::Class) -> Duration {
        let ahead = u32::try_from(self.queue.len_ahead(class)).unwrap_or(u32::MAX);
        let rounds = ahead / self.limit.limit().max(1);
        self.limit.latency().saturating_mul(rounds) + self.limit.backoff_left(now)
    }

    pub(super) fn refuse(&mut self, now: Duration) -> Admission {
        self.refused += 1;
        let wait = self.expected_wait(now, model::Class::Low);
        Admission::Busy {
            retry_after: wait.max(MIN_RETRY_AFTER),
        }
    }
}
