//! Slow start of cold targets: a rate limit on new flows that all balancers together keep.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::record;

/// Share of a target's rate that is used, in percent; the rest allows for network delays.
const USED_PERCENT: u64 = 80;

/// Times at which cold targets last got a new flow from this balancer.
#[derive(Debug, Default)]
pub struct Ramp {
    last: HashMap<record::Id, Duration>,
}

impl Ramp {
    /// Returns whether a cold target that sustains `per_second_milli` thousandths of a flow per
    /// second may get a flow now, while up to `senders` balancers send to it.
    pub fn admits(
        &self,
        now: Duration,
        target: record::Id,
        per_second_milli: u32,
        senders: usize,
    ) -> bool {
        let Some(interval) = interval(per_second_milli, senders) else {
            return false;
        };
        let last = self.last.get(&target);
        last.is_none_or(|at| now.saturating_sub(*at) >= interval)
    }

    /// Records a new flow on a cold target.
    pub fn record_flow(&mut self, now: Duration, target: record::Id) {
        self.last.insert(target, now);
    }

    /// Drops the state of targets that are no longer cold.
    pub fn retain(&mut self, cold: impl Fn(record::Id) -> bool) {
        self.last.retain(|id, _| cold(*id));
    }
}

/// Returns the time between two flows from one balancer; `None` if the target sustains none.
fn interval(per_second_milli: u32, senders: usize) -> Option<Duration> {
    let senders = u64::try_from(senders).unwrap_or(u64::MAX).max(1);
    let used = u64::from(per_second_milli) * USED_PERCENT / 100;
    let millis = senders.saturating_mul(1_000_000).checked_div(used)?;
    Some(Duration::from_millis(millis))
}
