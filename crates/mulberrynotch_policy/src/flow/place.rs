//! Decision on one packet, or on a TCP flow that opens.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::{
    data,
    flow, //
};

use super::{
    Decision, Machine, Reason, key,
    owned::Phase,
    seconds,
    table::{
        Entry,
        Kind, //
    },
};
use crate::{
    preference,
    view, //
};

/// Forwards of a packet, apart from those along its chain.
pub const MAX_HOPS: u8 = 4;

/// A packet on its way.
pub(super) struct Packet<'a> {
    pub(super) flow: flow::Flow,
    pub(super) service: id::Service,
    pub(super) from: Option<&'a str>,
    pub(super) hops_left: u8,
    /// Rank that the packet arrived with.
    pub(super) rank: Option<u8>,
    /// True when the sender routed by an older register.
    pub(super) older: bool,
}

impl Packet<'_> {
    /// True when the sender asked for the target at this position of the chain, and not for one
    /// before, which passed the packet on.
    fn is_for(&self, choice: &data::Choice) -> bool {
        matches!(choice, data::Choice::Rank(rank) if self.rank == Some(*rank))
    }
}

/// Outcome of the decision for one target.
pub(super) enum Verdict {
    Final(Decision),
    Next(id::Target, data::Choice),
}

impl Machine {
    /// Routes a packet that has no target yet.
    pub(super) fn enter(&mut self, now: Duration, packet: &Packet<'_>) -> Decision {
        if let Some(entry) = self.valid_entry(&packet.flow, packet.service) {
            let target = self.table.target(entry);
            match entry.kind {
                Kind::Serving if self.owned.contains_key(&target) && !self.is_unsure(now) => {
                    return self.deliver(now, &packet.flow, target);
                }
                Kind::Hint if !self.is_unsure(now) => {
                    return self.route(now, packet, target, data::Choice::Hint);
                }
                // The owner of the first target decides on redirects; a backup's copy may be older.
                Kind::Serving | Kind::Passed | Kind::Redirect | Kind::Hint => {}
            }
        }
        match self.first(packet) {
            Some((target, rank)) => self.route(now, packet, target, data::Choice::Rank(rank)),
            None => Decision::Drop(Reason::NoCapacity),
        }
    }

    /// Decides on a packet that a peer forwarded.
    pub(super) fn decide_forwarded(
        &mut self,
        now: Duration,
        from: &str,
        header: &data::Header,
    ) -> Decision {
        let service = self.view.service_at(header.address);
        if service.map(|(service, _)| service) != Some(header.service) {
            return Decision::Drop(Reason::WrongService);
        }
        let revision = self.view.register.revision;
        let mut packet = Packet {
            flow: flow::Flow {
                caller: header.caller,
                address: header.address,
            },
            service: header.service,
            from: Some(from),
            hops_left: header.hops_left,
            rank: match header.choice {
                data::Choice::Rank(rank) => Some(rank),
                _ => None,
            },
            older: header.revision < revision,
        };
        if is_usable(&self.view, header.target, header.service) {
            return self.route(now, &packet, header.target, header.choice.clone());
        }
        if header.revision == revision {
            return Decision::Drop(Reason::ZoneOut);
        }
        // The registers differ: the own chain has the targets that this process knows.
        packet.rank = None;
        self.enter(now, &packet)
    }

    /// Follows the chain as far as the targets are served here.
    pub(super) fn route(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        mut target: id::Target,
        mut choice: data::Choice,
    ) -> Decision {
        loop {
            if let Some(reason) = self.barred(target) {
                return Decision::Drop(reason);
            }
            if !self.owned.contains_key(&target) {
                return self.forward(packet, target, choice, None);
            }
            match self.decide(now, packet, target, choice) {
                Verdict::Final(decision) => return decision,
                Verdict::Next(to, by) => {
                    target = to;
                    choice = by;
                }
            }
        }
    }

    fn decide(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        choice: data::Choice,
    ) -> Verdict {
        // What the process knows of the flow may be from before a zone was out.
        if self.is_unsure(now) {
            return Verdict::Final(Decision::Drop(Reason::Unconfirmed));
        }
        if let Some(entry) = self.valid_entry(&packet.flow, packet.service)
            && let Some(verdict) = self.follow(now, packet, target, &choice, entry)
        {
            return verdict;
        }
        let from = packet.from;
        match &self.owned[&target].phase {
            Phase::HandedOver { .. } => {
                return Verdict::Final(self.forward(packet, target, choice, None));
            }
            Phase::TakingOver(takeover)
                if matches!(choice, data::Choice::Rank(_))
                    && !(from == Some(&*takeover.from) && packet.is_for(&choice)) =>
            {
                let old = takeover.from.clone();
                return Verdict::Final(self.forward(packet, target, choice, Some(old)));
            }
            _ => {}
        }
        match choice {
            data::Choice::Hint | data::Choice::Redirect => self.adopt(now, packet, target, choice),
            data::Choice::Rank(rank) => self.consider(now, packet, target, rank),
        }
    }

    /// Follows what the process knows of the flow.
    fn follow(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        choice: &data::Choice,
        entry: Entry,
    ) -> Option<Verdict> {
        let to = self.table.target(entry);
        match entry.kind {
            Kind::Serving if self.owned.contains_key(&to) => {
                Some(Verdict::Final(self.deliver(now, &packet.flow, to)))
            }
            Kind::Redirect | Kind::Hint if to != target => {
                self.table.touch(&packet.flow, seconds(now));
                if let (data::Choice::Rank(_), Kind::Redirect) = (choice, entry.kind) {
                    self.teach(packet, to);
                }
                let by = match entry.kind {
                    Kind::Redirect => data::Choice::Redirect,
                    _ => data::Choice::Hint,
                };
                Some(Verdict::Next(to, by))
            }
            Kind::Passed => {
                self.table.touch(&packet.flow, seconds(now));
                let chain = self.chain(packet);
                let here = chain.iter().position(|&candidate| candidate == target)?;
                let there = chain.iter().position(|&candidate| candidate == to)?;
                let takers = chain[there..].iter().any(|id| self.takes_new(*id));
                (there > here && takers).then(|| Verdict::Next(to, data::Choice::Rank(rank(there))))
            }
            _ => None,
        }
    }

    pub(super) fn deliver(
        &mut self,
        now: Duration,
        flow: &flow::Flow,
        target: id::Target,
    ) -> Decision {
        if let Some(reason) = self.barred(target) {
            return Decision::Drop(reason);
        }
        if self.is_reused(now, target) {
            return Decision::Drop(Reason::AddressReused);
        }
        self.table.touch(flow, seconds(now));
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.liveness.sent(now, flow);
        }
        Decision::Deliver { target }
    }

    /// Why nothing may go to a target.
    fn barred(&self, target: id::Target) -> Option<Reason> {
        let Some(place) = self.view.locate(target) else {
            return Some(Reason::ZoneOut);
        };
        if place.out {
            return Some(Reason::ZoneOut);
        }
        // After a pause even the own zone may be out of service without this process knowing it.
        let zone = self.view.target(target).map(|entry| &entry.zone);
        let may_send = if zone == Some(&self.view.zone) {
            self.view.own_zone_ready
        } else {
            self.view.confirmed
        };
        (!may_send).then_some(Reason::Unconfirmed)
    }

    /// True when `target` belongs to the service of the flow's address and its zone is in service.
    pub(super) fn is_valid(&self, flow: &flow::Flow, target: id::Target) -> bool {
        let service = self.view.service_at(flow.address);
        service.is_some_and(|(service, _)| is_usable(&self.view, target, service))
    }

    fn forward(
        &self,
        packet: &Packet<'_>,
        target: id::Target,
        choice: data::Choice,
        to: Option<Arc<str>>,
    ) -> Decision {
        let owner = to.or_else(|| self.view.assignment.owner(target).cloned());
        let Some(to) = owner.filter(|owner| *owner != self.view.me) else {
            return Decision::Drop(Reason::NoOwner);
        };
        // Along the chain the rank grows, which bounds the number of forwards already.
        let advances = match (&choice, packet.rank) {
            (data::Choice::Rank(next), Some(last)) => *next > last,
            _ => packet.from.is_none(),
        };
        let hops_left = if advances {
            Some(packet.hops_left)
        } else {
            packet.hops_left.checked_sub(1)
        };
        let Some(hops_left) = hops_left else {
            return Decision::Drop(Reason::HopLimit);
        };
        let header = data::Header {
            revision: self.view.register.revision,
            service: packet.service,
            target,
            choice,
            hops_left,
            caller: packet.flow.caller,
            address: packet.flow.address,
        };
        Decision::Forward { to, header }
    }

    /// First target of the chain that can be reached, and its rank.
    pub(super) fn first(&self, packet: &Packet<'_>) -> Option<(id::Target, u8)> {
        if self.view.unreachable_zones.is_empty() {
            let key = key(packet.service, &packet.flow);
            return preference::first(&self.view, packet.service, key).map(|target| (target, 0));
        }
        let chain = self.chain(packet);
        let position = chain.iter().position(|target| self.is_reachable(*target))?;
        Some((chain[position], rank(position)))
    }

    /// True when no target that can be reached follows in the chain of the flow.
    pub(super) fn is_last(
        &self,
        flow: &flow::Flow,
        service: id::Service,
        target: id::Target,
    ) -> bool {
        let chain = preference::targets(&self.view, service, key(service, flow));
        let behind = chain.iter().skip_while(|item| **item != target).skip(1);
        !behind.into_iter().any(|item| self.is_reachable(*item))
    }

    pub(super) fn is_reachable(&self, target: id::Target) -> bool {
        self.view
            .target(target)
            .is_some_and(|entry| !self.view.unreachable_zones.contains(&entry.zone))
    }

    pub(super) fn chain(&self, packet: &Packet<'_>) -> Vec<id::Target> {
        let key = key(packet.service, &packet.flow);
        preference::targets(&self.view, packet.service, key)
    }

    /// The entry of a flow, if its target still belongs to the service and is not out.
    pub(super) fn valid_entry(&mut self, flow: &flow::Flow, service: id::Service) -> Option<Entry> {
        let entry = self.table.get(flow)?;
        let target = self.table.target(entry);
        if is_usable(&self.view, target, service) {
            return Some(entry);
        }
        self.end(flow, false);
        None
    }
}

/// True when `target` belongs to `service` and its zone is in service.
pub(super) fn is_usable(view: &view::View, target: id::Target, service: id::Service) -> bool {
    view.locate(target)
        .is_some_and(|place| place.service == service && !place.out)
}

pub(super) fn rank(position: usize) -> u8 {
    u8::try_from(position).unwrap_or(u8::MAX)
}
