//! Evidence on targets: failure and progress reports of peers, and outcomes of probes.

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::Duration, //
};

use super::{
    MAX_REPORT_RECIPIENTS,
    Machine,
    millis, //
};
use crate::{
    evidence,
    fleet,
    message,
    record, //
};

/// Number of peers that receive each ping; with more than one, a dead peer does not prevent an
/// answer.
const PINGED_PEERS: usize = 2;

/// Balancers of a zone, selected by a hash, that keep probing a doubtful target. Other balancers
/// probe it only for the flows that they carry themselves.
const PROBERS: usize = 3;

impl Machine {
    pub(super) fn send_failure(&mut self, now: Duration, target: record::Id) {
        let failure = message::Failure {
            zone: self.fleet.me().zone.clone(),
            target,
            failing_ms: millis(Some(self.evidence.failing_for(now, target))),
            flows: self.evidence.failures(target).to_vec(),
            probe_failed: self.evidence.probe_failed(now, target),
        };
        let to = self.failure_recipients(now);
        self.send(to, message::Message::Failure(failure));
    }

    /// Returns the recipients of a failure report. Peers of this zone come first, since only they
    /// share the path to the target and can answer that it makes progress.
    fn failure_recipients(&self, now: Duration) -> Vec<SocketAddrV4> {
        let zone = &self.fleet.me().zone;
        let same_zone: BTreeSet<_> = self.fleet.live(now, zone).collect();
        let far = self
            .fleet
            .live_anywhere(now)
            .filter(|it| !same_zone.contains(it));
        same_zone
            .iter()
            .copied()
            .chain(far)
            .take(MAX_REPORT_RECIPIENTS)
            .collect()
    }

    /// Reports to the zone that a doubtful target makes progress.
    pub(super) fn send_alive_to_zone(&mut self, now: Duration, target: record::Id) {
        let zone = self.fleet.me().zone.clone();
        let peers: Vec<_> = self
            .fleet
            .live(now, &zone)
            .take(MAX_REPORT_RECIPIENTS)
            .collect();
        self.send_alive(now, peers, target);
    }

    /// Pings peers while a target is doubtful or a path is impaired, to check this balancer's own
    /// link.
    pub(super) fn check_contact(&mut self, now: Duration) {
        let wanted = self.paths.is_any_impaired() || self.evidence.has_doubtful();
        if !self.evidence.contact().is_due(now) || !wanted {
            return;
        }
        let peers: Vec<_> = self
            .fleet
            .freshest(now)
            .into_iter()
            .take(PINGED_PEERS)
            .collect();
        let contact = self.evidence.contact_mut();
        contact.set_without_peers(peers.is_empty());
        if contact.start_ping(now) {
            let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
            self.send(peers, message::Message::Ping(now_ms));
        }
    }

    pub(super) fn send_alive(&mut self, now: Duration, to: Vec<SocketAddrV4>, target: record::Id) {
        let alive = message::Alive {
            zone: self.fleet.me().zone.clone(),
            target,
            silent_ms: millis(Some(self.evidence.silence(now, target))),
        };
        self.send(to, message::Message::Alive(alive));
    }

    pub(super) fn handle_failure(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        failure: &message::Failure,
    ) {
        let Some(target) = self.catalog.target(failure.target) else {
            return;
        };
        let same_zone = failure.zone == self.fleet.me().zone;
        let reachable = !self.paths.is_cut(&target.entry.zone);
        let report = evidence::Report {
            same_path: same_zone || failure.zone == target.entry.zone,
            failing_for: Duration::from_millis(failure.failing_ms.into()),
            flows: &failure.flows,
            probe_failed: failure.probe_failed,
            may_probe: self.flows.has_flows_of(failure.target)
                || reachable && probes_for_zone(&self.fleet, now, failure.target),
        };
        match self.evidence.merge_report(now, failure.target, &report) {
            Some(response) => self.respond(now, failure.target, response),
            None if same_zone => self.send_alive(now, vec![from], failure.target),
            None => {}
        }
    }

    pub(super) fn handle_alive(&mut self, now: Duration, alive: &message::Alive) {
        if alive.zone != self.fleet.me().zone {
            return;
        }
        let silence = Duration::from_millis(alive.silent_ms.into());
        let at = now.saturating_sub(silence);
        if self.evidence.merge_progress(alive.target, at).is_some() {
            self.log_verdict(now, alive.target);
        }
    }

    /// Handles the outcome of a probe.
    pub fn probed(&mut self, now: Duration, target: record::Id, outcome: evidence::Probe) {
        self.apply_probe_to_path(now, target, outcome);
        let response = self.evidence.probed(now, target, outcome);
        self.respond(now, target, response);
    }
}

/// Returns whether this balancer is one of the few of its zone that keep probing a target.
pub(super) fn probes_for_zone(fleet: &fleet::Fleet, now: Duration, target: record::Id) -> bool {
    fleet.is_selected(now, target.0, PROBERS)
}
