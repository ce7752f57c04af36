//! Evidence on targets, exchanged with peers and gathered by probes.

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::Duration, //
};

use super::{
    DOUBT_PEERS,
    Machine,
    millis, //
};
use crate::{
    evidence,
    fleet,
    message,
    record, //
};

/// Peers that are asked whether they hear this process; one of them may have ended.
const ASKED_PEERS: usize = 2;

/// Balancers of a zone that go on probing a target in doubt, drawn by a hash. Others probe it for
/// the flows that they carry themselves.
const PROBERS: usize = 3;

impl Machine {
    pub(super) fn tell_doubt(&mut self, now: Duration, target: record::Id) {
        let doubt = message::Doubt {
            zone: self.fleet.me().zone.clone(),
            target,
            failing_ms: millis(Some(self.evidence.failing(now, target))),
            flows: self.evidence.failures(target).to_vec(),
            probe_failed: self.evidence.probe_failed(now, target),
        };
        let to = self.doubt_peers(now);
        self.send(to, message::Message::Doubt(doubt));
    }

    /// Who is told of a doubt: peers of the own zone first, since only they have the same way to the
    /// target and can answer that it makes progress.
    fn doubt_peers(&self, now: Duration) -> Vec<SocketAddrV4> {
        let zone = &self.fleet.me().zone;
        let near: BTreeSet<_> = self.fleet.live(now, zone).collect();
        let far = self
            .fleet
            .live_anywhere(now)
            .filter(|it| !near.contains(it));
        near.iter().copied().chain(far).take(DOUBT_PEERS).collect()
    }

    /// Tells the zone that a target makes progress that was in doubt.
    pub(super) fn tell_alive(&mut self, now: Duration, target: record::Id) {
        let zone = self.fleet.me().zone.clone();
        let peers: Vec<_> = self.fleet.live(now, &zone).take(DOUBT_PEERS).collect();
        self.send_alive(now, peers, target);
    }

    /// Asks peers whether they hear this process, while a target or a path is in doubt here.
    pub(super) fn check_contact(&mut self, now: Duration) {
        let wanted = self.paths.is_any_impaired() || self.evidence.is_undecided();
        if !self.evidence.contact().is_due(now) || !wanted {
            return;
        }
        let peers: Vec<_> = self
            .fleet
            .freshest(now)
            .into_iter()
            .take(ASKED_PEERS)
            .collect();
        let contact = self.evidence.contact_mut();
        contact.set_alone(peers.is_empty());
        if contact.ask(now) {
            let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
            self.send(peers, message::Message::Ask(now_ms));
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

    pub(super) fn take_doubt(&mut self, now: Duration, from: SocketAddrV4, doubt: &message::Doubt) {
        let Some(target) = self.catalog.target(doubt.target) else {
            return;
        };
        let near = doubt.zone == self.fleet.me().zone;
        let reached = !self.paths.is_cut(&target.entry.zone);
        let told = evidence::Told {
            same_way: near || doubt.zone == target.entry.zone,
            failing: Duration::from_millis(doubt.failing_ms.into()),
            flows: &doubt.flows,
            probe_failed: doubt.probe_failed,
            concerned: self.flows.has_any(doubt.target)
                || reached && probes_for_zone(&self.fleet, now, doubt.target),
        };
        match self.evidence.told(now, doubt.target, &told) {
            Some(response) => self.respond(now, doubt.target, response),
            None if near => self.send_alive(now, vec![from], doubt.target),
            None => {}
        }
    }

    pub(super) fn take_alive(&mut self, now: Duration, alive: &message::Alive) {
        if alive.zone != self.fleet.me().zone {
            return;
        }
        let silent = Duration::from_millis(alive.silent_ms.into());
        let at = now.saturating_sub(silent);
        if self.evidence.alive(alive.target, at).is_some() {
            self.log_verdict(now, alive.target);
        }
    }

    /// Takes in the outcome of a probe.
    pub fn probed(&mut self, now: Duration, target: record::Id, outcome: evidence::Probe) {
        self.note_probe_on_path(now, target, outcome);
        let response = self.evidence.probed(now, target, outcome);
        self.respond(now, target, response);
    }
}

/// True when this balancer is one of the few of its zone that go on probing a target.
pub(super) fn probes_for_zone(fleet: &fleet::Fleet, now: Duration, target: record::Id) -> bool {
    fleet.is_among(now, target.0, PROBERS)
}
