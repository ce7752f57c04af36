//! Pace at which one target receives new flows.

use std::time::Duration;

use crate::health;

/// New flows in the first second of a cold target.
pub const COLD_FLOWS: u32 = 4;

/// Length of a round; the allowance at most doubles from one round to the next.
pub const ROUND: Duration = Duration::from_secs(1);

/// A target that could be filled within so many rounds is warm.
const WARM_ROUNDS: u32 = 8;

/// Shed flows within a round that mean that the target is cold.
const SHED_BURST: u32 = 3;

/// Time without new flows after the target could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

/// Allowance of new flows per round, which grows while the target answers.
#[derive(Clone, Debug)]
pub(super) struct Ramp {
    /// New flows per round.
    pub(super) allowance: u32,
    round_started: Duration,
    admitted: u32,
    answered: u32,
    shed: u32,
    paused_until: Duration,
    boot: Option<u64>,
    /// What the target last reported about itself.
    pub(super) reports_leaving: bool,
}

impl Ramp {
    pub(super) fn cold(now: Duration) -> Self {
        Self {
            allowance: COLD_FLOWS,
            round_started: now,
            admitted: 0,
            answered: 0,
            shed: 0,
            paused_until: Duration::ZERO,
            boot: None,
            reports_leaving: false,
        }
    }

    /// Starts the next round when the current one is over.
    pub(super) fn advance_round(&mut self, now: Duration) {
        if now < self.round_started + ROUND {
            return;
        }
        // Growth needs proof: each flow that was answered makes room for one more per round.
        if self.shed == 0 && self.answered.saturating_mul(2) >= self.admitted {
            let grown = self.answered.min(self.allowance);
            self.allowance = self.allowance.saturating_add(grown);
        }
        self.round_started = now;
        self.admitted = 0;
        self.answered = 0;
        self.shed = 0;
    }

    /// True while the target may take one more new flow.
    pub(super) fn has_room(&self, now: Duration, connections: u32) -> bool {
        now >= self.paused_until && (self.is_warm(connections) || self.admitted < self.allowance)
    }

    /// True when the pace limits nothing any more.
    pub(super) fn is_warm(&self, connections: u32) -> bool {
        self.allowance >= warm_allowance(connections)
    }

    pub(super) fn note_admission(&mut self) {
        self.admitted = self.admitted.saturating_add(1);
    }

    /// Notes the first answer on a flow.
    pub(super) fn note_answer(&mut self) {
        self.answered = self.answered.saturating_add(1);
    }

    /// Handles an observation; health reports only ever slow the pace down.
    pub(super) fn observe(&mut self, now: Duration, seen: health::Observation) {
        match seen {
            health::Observation::Report { boot, leaving, .. } => {
                if self.boot.is_some_and(|known| known != boot) {
                    self.reset_to_cold(now);
                }
                self.boot = Some(boot);
                self.reports_leaving = leaving;
            }
            health::Observation::Unreachable | health::Observation::IcmpError => {
                self.reset_to_cold(now);
                self.paused_until = now + UNREACHABLE_PAUSE;
            }
            health::Observation::Shed => {
                self.shed = self.shed.saturating_add(1);
                if self.shed >= SHED_BURST {
                    self.reset_to_cold(now);
                }
            }
            health::Observation::TimedOut => {
                self.allowance = (self.allowance / 2).max(COLD_FLOWS);
            }
            health::Observation::Answered | health::Observation::NoReport => {}
        }
    }

    /// Drops to the cold allowance at once.
    pub(super) fn reset_to_cold(&mut self, now: Duration) {
        let boot = self.boot;
        let reports_leaving = self.reports_leaving;
        *self = Self::cold(now);
        self.boot = boot;
        self.reports_leaving = reports_leaving;
    }
}

/// New flows per round of a target that is warm.
pub(super) fn warm_allowance(connections: u32) -> u32 {
    connections / WARM_ROUNDS
}
