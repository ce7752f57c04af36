//! Admission of a flow by the owner of a target, or its way to the next one.

use std::time::Duration;

use mulberrynotch_register::id;
use mulberrynotch_wire::data;

use super::{
    Decision,
    Machine,
    Reason,
    key,
    place::{
        Packet,
        Verdict,
        rank, //
    },
    seconds,
    table::Kind, //
};
use crate::{
    budget,
    preference, //
};

/// A process waits so long for a confirmation before it takes new flows in its own zone.
const CONFIRM_WAIT: Duration = Duration::from_millis(500);

/// Ends of flows that packets repeat per tick, to spare the control budget.
const LATE_FORGETS: u32 = 1;

/// Why a target takes no new flow.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Refusal {
    Leaving,
    Dead,
    Reused,
    Settling,
    Full,
    Cold,
    Load,
}

impl Machine {
    /// Takes a flow that is known to be established on the target.
    pub(super) fn adopt(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        choice: data::Choice,
    ) -> Verdict {
        if self.owned[&target].liveness.is_dead() {
            return self.leave_dead(now, packet, target, &choice);
        }
        let limit = self
            .view
            .target(target)
            .map_or(0, |entry| entry.connections);
        if self.owned[&target].flows >= limit || !self.has_space() {
            return Verdict::Final(Decision::Drop(Reason::NoCapacity));
        }
        self.record(now, &packet.flow, target, true);
        Verdict::Final(self.deliver(now, &packet.flow, target))
    }

    /// Places a flow anew whose packets are still sent to a dead target.
    fn leave_dead(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        choice: &data::Choice,
    ) -> Verdict {
        if !self.is_last(&packet.flow, packet.service, target) {
            return self.pass(now, packet, target, Refusal::Dead);
        }
        // Targets before may take the flow, once their redirects are gone.
        if let (data::Choice::Hint, Some((first, rank))) = (choice, self.first(packet))
            && first != target
        {
            return Verdict::Next(first, data::Choice::Rank(rank));
        }
        // The release has told them once; packets repeat it in case that message was lost.
        if self.late_forgets < LATE_FORGETS {
            self.late_forgets += 1;
            self.forget(&packet.flow, target, budget::Priority::Redirect);
        }
        Verdict::Final(Decision::Drop(Reason::NoCapacity))
    }

    /// Admits an unknown flow or passes it on.
    pub(super) fn consider(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        rank: u8,
    ) -> Verdict {
        if self.awaits_confirmation(now) {
            return Verdict::Final(Decision::Drop(Reason::Unconfirmed));
        }
        let first = preference::first(
            &self.view,
            packet.service,
            key(packet.service, &packet.flow),
        );
        // A sender with an older register did not ask the targets that joined since.
        if packet.older && rank == 0 && first != Some(target) {
            let rerouted = match first {
                Some(first) => (first, data::Choice::Rank(0)),
                None => return Verdict::Final(Decision::Drop(Reason::NoCapacity)),
            };
            return Verdict::Next(rerouted.0, rerouted.1);
        }
        let is_first = first == Some(target);
        if is_first && self.in_grace(now, target) {
            self.record(now, &packet.flow, target, true);
            return Verdict::Final(self.deliver(now, &packet.flow, target));
        }
        match self.refusal(now, target) {
            None => self.admit(now, packet, target, is_first),
            Some(refusal) => self.pass(now, packet, target, refusal),
        }
    }

    fn admit(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        is_first: bool,
    ) -> Verdict {
        self.record(now, &packet.flow, target, false);
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.ramp.admit();
            owned.liveness.admit(now);
        }
        if !is_first {
            self.announce(&packet.flow, packet.service, target);
        }
        Verdict::Final(self.deliver(now, &packet.flow, target))
    }

    fn pass(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        refusal: Refusal,
    ) -> Verdict {
        let chain = self.chain(packet);
        let here = chain.iter().position(|&candidate| candidate == target);
        let mut rest = chain
            .iter()
            .enumerate()
            .skip(here.map_or(0, |here| here + 1))
            .filter(|(_, candidate)| self.is_reachable(**candidate));
        let next = rest.next();
        let is_last = !next
            .into_iter()
            .chain(rest)
            .any(|(_, id)| self.takes_new(*id));
        // Above its share the last of the chain that takes new flows is still better than none.
        if is_last && refusal == Refusal::Load {
            return self.admit(now, packet, target, false);
        }
        let Some((position, &next)) = next else {
            return Verdict::Final(Decision::Drop(Reason::NoCapacity));
        };
        // A leaving target refuses for good: behind it the flow would be dropped forever.
        if refusal != Refusal::Leaving && !is_last && self.has_space() {
            self.table
                .put(&packet.flow, next, Kind::Passed, seconds(now));
        }
        Verdict::Next(next, data::Choice::Rank(rank(position)))
    }

    /// False for a target that the register marks as leaving.
    pub(super) fn takes_new(&self, target: id::Target) -> bool {
        self.view.target(target).is_some_and(|entry| !entry.leaving)
    }

    /// Why the target takes no new flow.
    fn refusal(&self, now: Duration, target: id::Target) -> Option<Refusal> {
        let owned = &self.owned[&target];
        let entry = self.view.target(target)?;
        if entry.leaving || owned.ramp.says_leaving {
            return Some(Refusal::Leaving);
        }
        if !owned.liveness.has_room(now) {
            return Some(Refusal::Dead);
        }
        if self.is_reused(now, target) {
            return Some(Refusal::Reused);
        }
        if owned.is_settling() {
            return Some(Refusal::Settling);
        }
        if owned.flows >= entry.connections || !self.has_space() {
            return Some(Refusal::Full);
        }
        if !owned.ramp.has_room(now, entry.connections) {
            return Some(Refusal::Cold);
        }
        (owned.flows >= owned.bound).then_some(Refusal::Load)
    }

    /// True while unknown first-ranked flows may be flows that the dead owner served.
    fn in_grace(&self, now: Duration, target: id::Target) -> bool {
        let owned = &self.owned[&target];
        let limit = self
            .view
            .target(target)
            .map_or(0, |entry| entry.connections);
        now < owned.grace_until
            && owned.flows < owned.grace_flows.min(limit)
            && !owned.is_settling()
            && !self.is_reused(now, target)
            && self.has_space()
    }

    /// True while processes with an older register may send packets of another service to the
    /// address of the target.
    pub(super) fn is_reused(&self, now: Duration, target: id::Target) -> bool {
        let place = self.view.locate(target);
        let entry = self.view.target(target);
        place
            .zip(entry)
            .is_some_and(|(place, entry)| self.former.bars(now, place.service, entry))
    }

    fn has_space(&self) -> bool {
        let held = [Kind::Serving, Kind::Redirect, Kind::Passed].map(|kind| self.table.count(kind));
        held.iter().sum::<usize>() < self.config.max_flows
    }

    fn awaits_confirmation(&self, now: Duration) -> bool {
        self.unconfirmed_since
            .is_some_and(|since| now < since + CONFIRM_WAIT)
    }
}
