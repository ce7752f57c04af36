//! Ramp that limits the rate of new flows on one target.

use std::time::Duration;

use crate::health;

/// New flows that a cold target accepts in its first round.
pub const COLD_FLOWS: u32 = 4;

/// Length of a round. The allowance at most doubles from one round to the next.
pub const ROUND: Duration = Duration::from_secs(1);

/// A target is warm when its allowance would fill it within this number of rounds.
const WARM_ROUNDS: u32 = 8;

/// Number of shed flows within one round that marks the target as cold.
const SHED_BURST: u32 = 3;

/// Time without new flows after a connection to the target failed or an ICMP error came back.
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
    /// True when the last load report of the target stated that it drains.
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
        // The allowance grows only when at least half of the admitted flows were answered, by one
        // per answered flow.
        if self.shed == 0 && self.answered.saturating_mul(2) >= self.admitted {
            let grown = self.answered.min(self.allowance);
            self.allowance = self.allowance.saturating_add(grown);
        }
        self.round_started = now;
        self.admitted = 0;
        self.answered = 0;
        self.shed = 0;
    }

    /// Returns true while the target may receive another new flow.
    pub(super) fn has_room(&self, now: Duration, connections: u32) -> bool {
        now >= self.paused_until && (self.is_warm(connections) || self.admitted < self.allowance)
    }

    /// Returns true when the ramp no longer limits new flows.
    pub(super) fn is_warm(&self, connections: u32) -> bool {
        self.allowance >= warm_allowance(connections)
    }

    pub(super) fn record_admission(&mut self) {
        self.admitted = self.admitted.saturating_add(1);
    }

    /// Records the first answer on a flow.
    pub(super) fn record_answer(&mut self) {
        self.answered = self.answered.saturating_add(1);
    }

    /// Handles an observation. Load reports can only lower the allowance.
    pub(super) fn observe(&mut self, now: Duration, observation: health::Observation) {
        match observation {
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

    /// Resets the allowance to that of a cold target at once.
    pub(super) fn reset_to_cold(&mut self, now: Duration) {
        let boot = self.boot;
        let reports_leaving = self.reports_leaving;
        *self = Self::cold(now);
        self.boot = boot;
        self.reports_leaving = reports_leaving;
    }
}

/// Returns the allowance per round from which a target is warm.
pub(super) fn warm_allowance(connections: u32) -> u32 {
    connections / WARM_ROUNDS
}
