//! Evidence on one target.

use std::time::Duration;

/// Failed flows without progress from which a target can be dead.
pub(super) const MIN_DEAD_FLOWS: usize = 2;

/// Consecutive silent probes from which a target can be dead; a single connection attempt may be
/// lost.
pub(super) const MIN_DEAD_PROBES: u32 = 2;

/// Failed flows that are counted separately.
const MAX_FAILED_FLOWS: usize = 8;

/// Age up to which a failed probe counts.
const MAX_PROBE_AGE: Duration = Duration::from_millis(3_000);

/// Evidence on one target.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    /// Time of the first evidence.
    pub(super) created_at: Option<Duration>,
    pub(super) progress_at: Option<Duration>,
    /// Time of the oldest packet that was not answered.
    pub(super) failing_since: Option<Duration>,
    /// Hashes of the flows that failed here or at peers.
    pub(super) flows: Vec<u32>,
    pub(super) doubtful: bool,
    /// True when a flow of this balancer failed. A doubtful state that rests on reports of peers
    /// only ends by itself.
    pub(super) failed_here: bool,
    pub(super) doubtful_until: Duration,
    pub(super) doubtful_period: Duration,
    pub(super) probing: bool,
    /// Consecutive failed probes of this balancer; a refused one counts as [`MIN_DEAD_PROBES`].
    pub(super) failed_probes: u32,
    pub(super) probed_at: Option<Duration>,
    /// Time of the last report to peers that probes fail.
    pub(super) reported_at: Option<Duration>,
    pub(super) dead: bool,
}

impl State {
    pub(super) fn record_failure(&mut self, now: Duration, since: Duration, flow: u32) {
        self.created_at.get_or_insert(now);
        self.failing_since = Some(self.failing_since.map_or(since, |it| it.min(since)));
        if self.flows.len() < MAX_FAILED_FLOWS && !self.flows.contains(&flow) {
            self.flows.push(flow);
        }
    }

    pub(super) fn probe_failed(&self, now: Duration) -> bool {
        let recent = |at| now.saturating_sub(at) < MAX_PROBE_AGE;
        self.failed_probes > 0 && self.probed_at.is_some_and(recent)
    }

    /// Returns whether another probe could decide whether the target is dead.
    pub(super) fn wants_probe(&self) -> bool {
        let undecided = self.flows.len() >= MIN_DEAD_FLOWS && self.failed_probes < MIN_DEAD_PROBES;
        !self.probing && !self.dead && undecided
    }
}
