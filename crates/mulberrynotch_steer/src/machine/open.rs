//! Forwarding of packets that open flows.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;

use super::{
    Event,
    Machine,
    Reason,
    Verdict, //
};
use crate::{
    catalog,
    choice,
    cookie,
    evidence,
    packet,
    record, //
};

/// Reason why an opening packet gets no target.
#[derive(Clone, Copy)]
pub(super) enum Obstacle {
    /// The register is about to become known or confirmed.
    Held,
    /// The packet is refused.
    Refused(Reason),
}

/// Target chosen for an opening packet.
#[derive(Clone, Copy)]
struct Chosen {
    target: record::Id,
    /// Number of candidates that were compared.
    compared: usize,
}

impl Machine {
    pub(super) fn open(&mut self, now: Duration, packet: &packet::Packet) -> Verdict {
        let service = match self.service_for(now, &packet.flow) {
            Ok(service) => service,
            Err(Obstacle::Held) => return self.hold(),
            Err(Obstacle::Refused(reason)) => return self.refuse(now, packet, reason),
        };
        match self.choose(now, &service, packet) {
            Some(chosen) => self.send_opening(now, packet, chosen),
            None if self.rotation.is_withdrawal_recent(now) => {
                self.refuse(now, packet, Reason::SteppedAside)
            }
            None => self.refuse(now, packet, Reason::NoTarget),
        }
    }

    /// Returns the service for a new flow.
    pub(super) fn service_for(
        &self,
        now: Duration,
        flow: &packet::Flow,
    ) -> Result<Arc<str>, Obstacle> {
        if self.is_holding() {
            return Err(Obstacle::Held);
        }
        let reason = if self.catalog.route(flow.route).is_some() {
            Reason::NoTarget
        } else if self.is_current(now) {
            Reason::NoRoute
        } else {
            Reason::RouteUncertain
        };
        self.service_of(flow).ok_or(Obstacle::Refused(reason))
    }

    /// Returns the service that the flow's route selects.
    pub(super) fn service_of(&self, flow: &packet::Flow) -> Option<Arc<str>> {
        let route = self.catalog.route(flow.route)?;
        share(route, flow).map(|it| it.service.clone())
    }

    /// Chooses the target for an opening packet. A retransmission goes to a target other than the
    /// earlier ones, which have not answered.
    fn choose(&mut self, now: Duration, service: &str, packet: &packet::Packet) -> Option<Chosen> {
        let copies = usize::try_from(packet.acknowledged).unwrap_or(usize::MAX);
        let tried = self.flows.tried(now, &packet.flow);
        if let Some(repeated) = tried.get(copies) {
            // The network duplicated the packet.
            return Some(Chosen {
                target: *repeated,
                compared: 0,
            });
        }
        let seed = self.next_random();
        let mut compared = 0;
        let candidates = self
            .candidates(now, service, &packet.flow)
            .filter(|it| it.standing.is_warm())
            .inspect(|_| compared += 1);
        let best = self.load.best(now, candidates, self.near_senders(), seed);
        let target = best.or_else(|| {
            let cold = self.cold_target(now, service, &packet.flow)?;
            self.ramp.record_flow(now, cold);
            Some(cold)
        });
        target.map(|target| Chosen { target, compared })
    }

    /// Returns all known targets of a service with their standing.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Duration,
        service: &str,
        flow: &packet::Flow,
    ) -> impl Iterator<Item = choice::Candidate> + use<'a> {
        let tried = self.flows.tried(now, flow);
        let zone = &self.fleet.me().zone;
        let targets = self.catalog.targets_of(service);
        targets.map(move |it| choice::Candidate {
            id: it.id,
            standing: self.standing(now, it, tried),
            slots: it.entry.slots,
            near: it.entry.zone == *zone,
        })
    }

    /// Returns the number of balancers that send about as many requests to the targets of this zone
    /// as this one.
    pub(super) fn near_senders(&self) -> usize {
        self.live_peers.len() + 1
    }

    fn standing(
        &self,
        now: Duration,
        target: &catalog::Target,
        tried: &[record::Id],
    ) -> choice::Standing {
        if let Some(exclusion) = self.catalog.exclusion(now, target) {
            return choice::Standing::Excluded(exclusion);
        }
        match self.evidence.verdict(target.id) {
            evidence::Verdict::Dead => choice::Standing::Dead,
            _ if self.paths.is_cut(&target.entry.zone) => choice::Standing::Unreachable,
            _ if self.is_cold(now, target) => choice::Standing::Cold,
            _ if tried.contains(&target.id) => choice::Standing::Tried,
            evidence::Verdict::Doubtful => choice::Standing::Doubtful,
            evidence::Verdict::Good => choice::Standing::Good,
        }
    }

    /// Returns whether a target is cold: by its entry, or because its zone returned to service
    /// recently.
    pub(super) fn is_cold(&self, now: Duration, target: &catalog::Target) -> bool {
        if now < target.warm_at {
            return true;
        }
        let Some(returned_at) = self.catalog.returned_at(&target.entry.zone) else {
            return false;
        };
        let limit = self.catalog.service(&target.entry.service);
        let cold = Duration::from_millis(limit.map_or(0, |it| it.cold_ms).into());
        now < returned_at + cold
    }

    /// Returns a cold target that admits another flow.
    pub(super) fn cold_target(
        &self,
        now: Duration,
        service: &str,
        flow: &packet::Flow,
    ) -> Option<record::Id> {
        let limit = self.catalog.service(service)?.cold_per_second_milli;
        let senders = self.fleet.possible_senders();
        self.candidates(now, service, flow)
            .filter(|it| it.standing == choice::Standing::Cold)
            .map(|it| it.id)
            .find(|id| self.ramp.admits(now, *id, limit, senders))
    }

    fn send_opening(&mut self, now: Duration, packet: &packet::Packet, chosen: Chosen) -> Verdict {
        let Chosen { target, compared } = chosen;
        let Some(known) = self.catalog.target(target) else {
            return Verdict::Drop;
        };
        let to = known.entry.address;
        let far = known.entry.zone != self.fleet.me().zone;
        self.counters.opened += 1;
        self.flows.open(now, packet.flow, target);
        self.load.record_request(now, target);
        self.log(Event::Opened {
            flow: packet.flow,
            copy: packet.acknowledged,
            target,
            candidates: compared,
            far,
            version: self.catalog.configuration().version,
            age: self.age(now),
        });
        Verdict::Forward {
            to,
            target,
            cookie: Some(cookie::of(target.0)),
        }
    }

    /// Refuses an opening packet with a reset. Drops it instead if the register may be out of date,
    /// or if another balancer is about to get its retransmission.
    fn refuse(&mut self, now: Duration, packet: &packet::Packet, reason: Reason) -> Verdict {
        self.log_refusal(now, packet, reason);
        if matches!(reason, Reason::RouteUncertain | Reason::SteppedAside) {
            self.counters.withheld += 1;
            return Verdict::Drop;
        }
        self.counters.refused += 1;
        Verdict::Reset
    }

    pub(super) fn hold(&mut self) -> Verdict {
        self.counters.held += 1;
        Verdict::Hold
    }

    fn log_refusal(&mut self, now: Duration, packet: &packet::Packet, reason: Reason) {
        self.log(Event::Refused {
            flow: packet.flow,
            reason,
            version: self.catalog.configuration().version,
            age: self.age(now),
        });
    }
}

/// Selects a share of a route by weight; the same flow always gets the same share.
fn share<'a>(route: &'a record::Route, flow: &packet::Flow) -> Option<&'a record::Share> {
    let total: u64 = route.shares.iter().map(|it| u64::from(it.weight)).sum();
    let hash = rendezvous::hash_address(flow.client.into(), 0);
    let mut point = hash.checked_rem(total)?;
    route.shares.iter().find(|share| {
        let weight = u64::from(share.weight);
        let selected = point < weight;
        point = point.saturating_sub(weight);
        selected
    })
}
