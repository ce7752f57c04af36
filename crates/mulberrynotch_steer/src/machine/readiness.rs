//! Readiness of this balancer for new flows, as reported to the routers.

use std::time::Duration;

use super::{
    Event,
    Machine, //
};
use crate::{
    catalog,
    evidence, //
};

/// Interval between checks.
const CHECK_PERIOD: Duration = Duration::from_millis(90);

/// Interval between probes while this balancer is isolated.
const ISOLATION_PROBE_PERIOD: Duration = Duration::from_millis(300);

impl Machine {
    /// Checks whether new flows can be served, if the last check is long enough ago.
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

    /// Returns whether at least one service has a target for new flows. A balancer that can serve
    /// only some of the services stays in rotation, since open flows of its zone need it.
    fn has_usable_target(&self, now: Duration) -> bool {
        let mut targets = self.catalog.targets();
        targets.any(|it| self.is_usable(now, it))
    }

    /// Returns whether any target takes new flows according to the register, whether or not this
    /// balancer reaches it. If there is none, no balancer can serve new flows, and a withdrawal
    /// would only lose packets of open ones.
    fn register_has_target(&self, now: Duration) -> bool {
        let mut targets = self.catalog.targets();
        targets.any(|it| self.catalog.exclusion(now, it).is_none())
    }

    fn is_usable(&self, now: Duration, target: &catalog::Target) -> bool {
        self.catalog.exclusion(now, target).is_none()
            && !self.paths.is_cut(&target.entry.zone)
            && self.evidence.verdict(target.id) != evidence::Verdict::Dead
    }

    /// Probes a target of this zone, so that the end of an isolation is detected without client
    /// packets.
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
