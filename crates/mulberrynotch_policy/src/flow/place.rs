//! Routing of a packet, or of a TCP flow that opens.

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

/// Maximum number of forwards of a packet, not counting those that advance along its preference
/// list.
pub const MAX_HOPS: u8 = 4;

/// Packet to route.
pub(super) struct Packet<'a> {
    pub(super) flow: flow::Flow,
    pub(super) service: id::Service,
    pub(super) from: Option<&'a str>,
    pub(super) hops_left: u8,
    /// Rank of the target in the preference list, from the header that the packet arrived with.
    pub(super) rank: Option<u8>,
    /// True when the sender routed by an older register.
    pub(super) has_older_register: bool,
}

impl Packet<'_> {
    /// Returns true when the sender chose the target at this position of the preference list, and
    /// not one that ranks before it and passed the packet on.
    fn is_addressed_to(&self, choice: &data::Choice) -> bool {
        matches!(choice, data::Choice::Rank(rank) if self.rank == Some(*rank))
    }
}

/// Outcome of routing a packet at one target.
pub(super) enum Step {
    /// The packet is delivered, forwarded or dropped.
    Final(Decision),
    /// The packet continues at this target.
    Next(id::Target, data::Choice),
}

impl Machine {
    /// Routes a packet whose target has not been chosen yet.
    pub(super) fn route_unassigned(&mut self, now: Duration, packet: &Packet<'_>) -> Decision {
        if let Some(entry) = self.valid_entry(&packet.flow, packet.service) {
            let target = self.table.target(entry);
            match entry.kind {
                Kind::Serving
                    if self.owned.contains_key(&target) && !self.holds_established_flows(now) =>
                {
                    return self.deliver(now, &packet.flow, target);
                }
                Kind::Hint if !self.holds_established_flows(now) => {
                    return self.route(now, packet, target, data::Choice::Hint);
                }
                // The owner of the first target decides on redirects; the copy of a backup may be
                // older.
                Kind::Serving | Kind::Passed | Kind::Redirect | Kind::Hint => {}
            }
        }
        match self.first_reachable(packet) {
            Some((target, rank)) => self.route(now, packet, target, data::Choice::Rank(rank)),
            None => Decision::Drop(Reason::NoCapacity),
        }
    }

    /// Routes a packet that a peer forwarded.
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
            has_older_register: header.revision < revision,
        };
        if is_usable(&self.view, header.target, header.service) {
            return self.route(now, &packet, header.target, header.choice.clone());
        }
        if header.revision == revision {
            return Decision::Drop(Reason::ZoneOut);
        }
        // The registers differ: use the preference list of this process's own register.
        packet.rank = None;
        self.route_unassigned(now, &packet)
    }

    /// Routes a packet along the preference list for as long as the process serves the targets.
    pub(super) fn route(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        mut target: id::Target,
        mut choice: data::Choice,
    ) -> Decision {
        loop {
            if let Some(reason) = self.block_reason(target) {
                return Decision::Drop(reason);
            }
            if !self.owned.contains_key(&target) {
                return self.forward(packet, target, choice, None);
            }
            match self.route_at(now, packet, target, choice) {
                Step::Final(decision) => return decision,
                Step::Next(to, next_choice) => {
                    target = to;
                    choice = next_choice;
                }
            }
        }
    }

    fn route_at(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        choice: data::Choice,
    ) -> Step {
        // The records of the process may be older than an outage of the zone.
        if self.holds_established_flows(now) {
            return Step::Final(Decision::Drop(Reason::Unconfirmed));
        }
        if let Some(entry) = self.valid_entry(&packet.flow, packet.service)
            && let Some(step) = self.follow_record(now, packet, target, &choice, entry)
        {
            return step;
        }
        let from = packet.from;
        match &self.owned[&target].phase {
            Phase::HandedOver { .. } => {
                return Step::Final(self.forward(packet, target, choice, None));
            }
            Phase::TakingOver(takeover)
                if matches!(choice, data::Choice::Rank(_))
                    && !(from == Some(&*takeover.from) && packet.is_addressed_to(&choice)) =>
            {
                let previous = takeover.from.clone();
                return Step::Final(self.forward(packet, target, choice, Some(previous)));
            }
            _ => {}
        }
        match choice {
            data::Choice::Hint | data::Choice::Redirect => self.adopt(now, packet, target, choice),
            data::Choice::Rank(rank) => self.admit_or_pass(now, packet, target, rank),
        }
    }

    /// Routes a packet by the record of its flow.
    fn follow_record(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        choice: &data::Choice,
        entry: Entry,
    ) -> Option<Step> {
        let to = self.table.target(entry);
        match entry.kind {
            Kind::Serving if self.owned.contains_key(&to) => {
                Some(Step::Final(self.deliver(now, &packet.flow, to)))
            }
            Kind::Redirect | Kind::Hint if to != target => {
                self.table.touch(&packet.flow, seconds(now));
                if let (data::Choice::Rank(_), Kind::Redirect) = (choice, entry.kind) {
                    self.send_hint(packet, to);
                }
                let next_choice = match entry.kind {
                    Kind::Redirect => data::Choice::Redirect,
                    _ => data::Choice::Hint,
                };
                Some(Step::Next(to, next_choice))
            }
            Kind::Passed => {
                self.table.touch(&packet.flow, seconds(now));
                let preferences = self.preferences(packet);
                let position = preferences
                    .iter()
                    .position(|&candidate| candidate == target)?;
                let next_position = preferences.iter().position(|&candidate| candidate == to)?;
                let has_accepting_target = preferences[next_position..]
                    .iter()
                    .any(|id| self.accepts_new_flows(*id));
                (next_position > position && has_accepting_target)
                    .then(|| Step::Next(to, data::Choice::Rank(rank(next_position))))
            }
            _ => None,
        }
    }

    /// Delivers a packet to a target of the process, unless nothing may be sent there.
    pub(super) fn deliver(
        &mut self,
        now: Duration,
        flow: &flow::Flow,
        target: id::Target,
    ) -> Decision {
        if let Some(reason) = self.block_reason(target) {
            return Decision::Drop(reason);
        }
        if self.is_address_reused(now, target) {
            return Decision::Drop(Reason::AddressReused);
        }
        self.table.touch(flow, seconds(now));
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.liveness.record_datagram(now, flow);
        }
        Decision::Deliver { target }
    }

    /// Returns the reason why no packet may be sent to a target, if any.
    fn block_reason(&self, target: id::Target) -> Option<Reason> {
        let Some(place) = self.view.locate(target) else {
            return Some(Reason::ZoneOut);
        };
        if place.out {
            return Some(Reason::ZoneOut);
        }
        // After a pause even the process's own zone may be out of service without the process
        // knowing.
        let zone = self.view.target(target).map(|entry| &entry.zone);
        let may_send = if zone == Some(&self.view.zone) {
            self.view.own_zone_ready
        } else {
            self.view.confirmed
        };
        (!may_send).then_some(Reason::Unconfirmed)
    }

    /// Returns true when `target` belongs to the service of the flow's address and its zone is in
    /// service.
    pub(super) fn is_valid(&self, flow: &flow::Flow, target: id::Target) -> bool {
        let service = self.view.service_at(flow.address);
        service.is_some_and(|(service, _)| is_usable(&self.view, target, service))
    }

    /// Forwards a packet to `to`, or to the owner of `target`.
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
        // Ranks grow along the preference list, which already bounds the number of these forwards.
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

    /// Returns the first reachable target of the preference list, and its rank.
    pub(super) fn first_reachable(&self, packet: &Packet<'_>) -> Option<(id::Target, u8)> {
        if self.view.unreachable_zones.is_empty() {
            let key = key(packet.service, &packet.flow);
            return preference::first(&self.view, packet.service, key).map(|target| (target, 0));
        }
        let preferences = self.preferences(packet);
        let position = preferences
            .iter()
            .position(|target| self.is_reachable(*target))?;
        Some((preferences[position], rank(position)))
    }

    /// Returns true when no reachable target follows `target` in the preference list of the flow.
    pub(super) fn is_last_reachable(
        &self,
        flow: &flow::Flow,
        service: id::Service,
        target: id::Target,
    ) -> bool {
        let preferences = preference::targets(&self.view, service, key(service, flow));
        let later = preferences
            .iter()
            .skip_while(|candidate| **candidate != target)
            .skip(1);
        !later
            .into_iter()
            .any(|candidate| self.is_reachable(*candidate))
    }

    pub(super) fn is_reachable(&self, target: id::Target) -> bool {
        self.view
            .target(target)
            .is_some_and(|entry| !self.view.unreachable_zones.contains(&entry.zone))
    }

    pub(super) fn preferences(&self, packet: &Packet<'_>) -> Vec<id::Target> {
        let key = key(packet.service, &packet.flow);
        preference::targets(&self.view, packet.service, key)
    }

    /// Returns the entry of a flow. An entry whose target left the service or is out of service is
    /// removed.
    pub(super) fn valid_entry(&mut self, flow: &flow::Flow, service: id::Service) -> Option<Entry> {
        let entry = self.table.get(flow)?;
        let target = self.table.target(entry);
        if is_usable(&self.view, target, service) {
            return Some(entry);
        }
        self.end_flow(flow, false);
        None
    }
}

/// Returns true when `target` belongs to `service` and its zone is in service.
pub(super) fn is_usable(view: &view::View, target: id::Target, service: id::Service) -> bool {
    view.locate(target)
        .is_some_and(|place| place.service == service && !place.out)
}

pub(super) fn rank(position: usize) -> u8 {
    u8::try_from(position).unwrap_or(u8::MAX)
}
