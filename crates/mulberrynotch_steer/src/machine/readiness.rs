//! Whether this balancer can serve new flows, and what it tells the routers.

use std::time::Duration;

use super::{
    Event,
    Machine, //
};
use crate::{
    catalog,
    evidence, //
};

/// Period of the check.
const CHECK_PERIOD: Duration = Duration::from_millis(90);

/// Pause between two probes of a balancer that reaches no target.
const ISOLATION_PROBE_PERIOD: Duration = Duration::from_millis(300);

impl Machine {
    /// Checks from time to time whether new flows can be served.
    pub(super) fn check_rotation(&mut self, now: Duration) {
        if now >= self.rotation_checked_at + CHECK_PERIOD {
            self.check_rotation_now(now);
        }
    }

    pub(super) fn check_rotation_now(&mut self, now: Duration) {
        self.rotation_checked_at = now;
        if !self.catalog.is_usable() {
            return;
        }
        let isolated = self.evidence.is_isolated(now, |id| self.is_reachable(id));
        if isolated {
            self.probe_own_zone(now);
        }
        let serves = !isolated && (self.has_usable_target(now) || !self.register_has_target(now));
        if let Some(ready) = self.rotation.update(now, serves) {
            self.log_rotation(now, ready, isolated);
        }
    }

    /// True while one service at least has a target for new flows. A balancer that serves only some
    /// of the services stays: its own zone's open flows need it.
    fn has_usable_target(&self, now: Duration) -> bool {
        let mut targets = self.catalog.targets();
        targets.any(|it| self.is_usable(now, it))
    }

    /// True while a target takes new flows by the register, whether this balancer reaches it or not.
    /// Where there is none, nobody serves new flows, and stepping aside would only lose the packets
    /// of open ones.
    fn register_has_target(&self, now: Duration) -> bool {
        let mut targets = self.catalog.targets();
        targets.any(|it| self.catalog.exclusion(now, it).is_none())
    }

    fn is_usable(&self, now: Duration, target: &catalog::Target) -> bool {
        self.catalog.exclusion(now, target).is_none()
            && !self.paths.is_cut(&target.entry.zone)
            && self.evidence.verdict(target.id) != evidence::Verdict::Dead
    }

    /// Probes a target of the own zone, so that the end of an isolation is noticed without packets.
    fn probe_own_zone(&mut self, now: Duration) {
        if now < self.isolation_probed_at + ISOLATION_PROBE_PERIOD {
            return;
        }
        self.isolation_probed_at = now;
        let zone = self.fleet.me().zone.clone();
        self.probe_targets_in(now, &zone, 1);
    }

    fn log_rotation(&mut self, now: Duration, ready: bool, isolated: bool) {
        let targets = || self.catalog.targets();
        let excluded = |it: &&catalog::Target| self.catalog.exclusion(now, it).is_some();
        let dead = |it: &&catalog::Target| self.evidence.verdict(it.id) == evidence::Verdict::Dead;
        let event = Event::Rotation {
            ready,
            isolated,
            cut: self.paths.cut_zones().cloned().collect(),
            excluded: targets().filter(excluded).count(),
            dead: targets().filter(dead).count(),
        };
        self.log(event);
    }
}
