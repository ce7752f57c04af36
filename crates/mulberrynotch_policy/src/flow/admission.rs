//! Admission of new flows by the owner of a target, which otherwise passes them on to the next
//! target.

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
        Step,
        rank, //
    },
    seconds,
    table::Kind, //
};
use crate::{
    budget,
    preference, //
};

/// Longest time that a process waits for a confirmation of its view before it accepts new flows for
/// targets of its zone without one.
const CONFIRM_WAIT: Duration = Duration::from_millis(500);

/// Maximum number of ended flows per tick that are reported again because packets still arrive for
/// them, to save control budget.
const MAX_REPEATED_ENDS_PER_TICK: u32 = 1;

/// Reason why a target accepts no new flow.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Refusal {
    Leaving,
    Dead,
    AddressReused,
    Settling,
    Full,
    Cold,
    AboveBound,
}

impl Machine {
    /// Admits a flow that a redirect or hint reports as established on the target.
    pub(super) fn adopt(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        choice: data::Choice,
    ) -> Step {
        if self.owned[&target].liveness.is_dead() {
            return self.route_past_dead(now, packet, target, &choice);
        }
        let limit = self
            .view
            .target(target)
            .map_or(0, |entry| entry.connections);
        if self.owned[&target].flows >= limit || !self.has_space() {
            return Step::Final(Decision::Drop(Reason::NoCapacity));
        }
        self.add_record(now, &packet.flow, target, true);
        Step::Final(self.deliver(now, &packet.flow, target))
    }

    /// Routes a packet of a flow that was released from a dead target.
    fn route_past_dead(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        choice: &data::Choice,
    ) -> Step {
        if !self.is_last_reachable(&packet.flow, packet.service, target) {
            return self.pass_on(now, packet, target, Refusal::Dead);
        }
        // Targets that rank before may admit the flow, once their redirects are removed.
        if let (data::Choice::Hint, Some((first, rank))) = (choice, self.first_reachable(packet))
            && first != target
        {
            return Step::Next(first, data::Choice::Rank(rank));
        }
        // The release has reported the end of the flow once; packets repeat the report in case that
        // message was lost.
        if self.repeated_ends < MAX_REPEATED_ENDS_PER_TICK {
            self.repeated_ends += 1;
            self.queue_flow_end(&packet.flow, target, budget::Priority::Redirect);
        }
        Step::Final(Decision::Drop(Reason::NoCapacity))
    }

    /// Admits an unknown flow, or passes it on to the next target.
    pub(super) fn admit_or_pass(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        rank: u8,
    ) -> Step {
        if self.awaits_confirmation(now) {
            return Step::Final(Decision::Drop(Reason::Unconfirmed));
        }
        let first = preference::first(
            &self.view,
            packet.service,
            key(packet.service, &packet.flow),
        );
        // A sender with an older register did not try the targets that joined since.
        if packet.has_older_register && rank == 0 && first != Some(target) {
            let next = match first {
                Some(first) => (first, data::Choice::Rank(0)),
                None => return Step::Final(Decision::Drop(Reason::NoCapacity)),
            };
            return Step::Next(next.0, next.1);
        }
        let is_first = first == Some(target);
        if is_first && self.is_in_grace_period(now, target) {
            self.add_record(now, &packet.flow, target, true);
            return Step::Final(self.deliver(now, &packet.flow, target));
        }
        match self.refusal(now, target) {
            None => self.admit(now, packet, target, is_first),
            Some(refusal) => self.pass_on(now, packet, target, refusal),
        }
    }

    /// Admits a new flow under the ramp of the target.
    fn admit(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        is_first: bool,
    ) -> Step {
        self.add_record(now, &packet.flow, target, false);
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.ramp.record_admission();
            owned.liveness.record_admission(now);
        }
        if !is_first {
            self.queue_redirects(&packet.flow, packet.service, target);
        }
        Step::Final(self.deliver(now, &packet.flow, target))
    }

    /// Passes a flow on to the next reachable target of its preference list.
    fn pass_on(
        &mut self,
        now: Duration,
        packet: &Packet<'_>,
        target: id::Target,
        refusal: Refusal,
    ) -> Step {
        let preferences = self.preferences(packet);
        let own_position = preferences
            .iter()
            .position(|&candidate| candidate == target);
        let mut rest = preferences
            .iter()
            .enumerate()
            .skip(own_position.map_or(0, |position| position + 1))
            .filter(|(_, candidate)| self.is_reachable(**candidate));
        let next = rest.next();
        let is_last = !next
            .into_iter()
            .chain(rest)
            .any(|(_, id)| self.accepts_new_flows(*id));
        // When no later target accepts new flows, exceeding the bound is better than refusing the
        // flow.
        if is_last && refusal == Refusal::AboveBound {
            return self.admit(now, packet, target, false);
        }
        let Some((position, &next)) = next else {
            return Step::Final(Decision::Drop(Reason::NoCapacity));
        };
        // Without a later target that accepts new flows, no record is kept: it would send every
        // packet of the flow to a leaving target, which drops it for good.
        if refusal != Refusal::Leaving && !is_last && self.has_space() {
            self.table
                .put(&packet.flow, next, Kind::Passed, seconds(now));
        }
        Step::Next(next, data::Choice::Rank(rank(position)))
    }

    /// Returns false for a target that is unknown or that the register marks as leaving.
    pub(super) fn accepts_new_flows(&self, target: id::Target) -> bool {
        self.view.target(target).is_some_and(|entry| !entry.leaving)
    }

    /// Returns the reason why the target accepts no new flow, if any.
    fn refusal(&self, now: Duration, target: id::Target) -> Option<Refusal> {
        let owned = &self.owned[&target];
        let entry = self.view.target(target)?;
        if entry.leaving || owned.ramp.reports_leaving {
            return Some(Refusal::Leaving);
        }
        if !owned.liveness.has_room(now) {
            return Some(Refusal::Dead);
        }
        if self.is_address_reused(now, target) {
            return Some(Refusal::AddressReused);
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
        (owned.flows >= owned.bound).then_some(Refusal::AboveBound)
    }

    /// Returns true while unknown flows that rank the target first may have been served by its dead
    /// owner.
    fn is_in_grace_period(&self, now: Duration, target: id::Target) -> bool {
        let owned = &self.owned[&target];
        let limit = self
            .view
            .target(target)
            .map_or(0, |entry| entry.connections);
        now < owned.grace_until
            && owned.flows < owned.grace_flows.min(limit)
            && !owned.is_settling()
            && !self.is_address_reused(now, target)
            && self.has_space()
    }

    /// Returns true while processes with an older register may send packets of another service to
    /// the address of the target.
    pub(super) fn is_address_reused(&self, now: Duration, target: id::Target) -> bool {
        let place = self.view.locate(target);
        let entry = self.view.target(target);
        place
            .zip(entry)
            .is_some_and(|(place, entry)| self.quarantine.holds(now, place.service, entry))
    }

    /// Returns true while the table has room for another flow record; hints do not count.
    fn has_space(&self) -> bool {
        let held = [Kind::Serving, Kind::Redirect, Kind::Passed].map(|kind| self.table.count(kind));
        held.iter().sum::<usize>() < self.config.max_flows
    }

    fn awaits_confirmation(&self, now: Duration) -> bool {
        self.unconfirmed_since
            .is_some_and(|since| now < since + CONFIRM_WAIT)
    }
}
