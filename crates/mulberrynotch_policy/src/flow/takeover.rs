//! Changes of the view: targets that the process comes to own, and takeover from their previous
//! owners.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::flow;

use super::{
    Action, Machine,
    liveness::Liveness,
    owned::{
        Owned,
        Phase,
        Takeover, //
    },
    seconds,
    table::Kind,
};
use crate::{
    budget,
    ownership,
    view, //
};

/// Time without progress after which a takeover treats the previous owner as dead. A dead owner
/// leaves the view within seconds. For a live one, several retransmissions of a part, 3 to 8 s
/// apart, must have been lost before the takeover is abandoned.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the death of an owner in which unknown flows that rank the target first are adopted
/// as established; most flows send a packet within it.
const GRACE_PERIOD: Duration = Duration::from_secs(60);

/// Grace period when the flow count of the dead owner is not known.
const UNKNOWN_COUNT_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// Age from which the flow counts of a dead owner are ignored.
const MAX_COUNT_AGE: Duration = Duration::from_secs(60);

/// Flows by which a small count may be too low.
const COUNT_SLACK_FLOWS: u32 = 16;

/// First and longest interval between two claims.
const CLAIM_INTERVAL: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

impl Machine {
    /// Adapts ownership and flow records to the view that replaced `old`.
    pub(super) fn apply_view(&mut self, now: Duration, old: Option<&view::View>) {
        let view = self.view.clone();
        self.has_been_ready |= view.own_zone_ready;
        self.remove_unusable_targets(old);
        self.start_handovers(now);
        let joined_members: Vec<&str> = old.map_or(Vec::new(), |old| new_members(old, &view));
        if old.is_some_and(|old| has_healed(old, &view)) {
            self.schedule_renewals();
        }
        let was_unconfirmed = self.update_confirmation(now);
        let mut assignment_without_me = None;
        let assigned = view.assignment.iter();
        let assigned = assigned.filter(|(_, pair)| pair.owner == view.me);
        let is_out = |target| view.locate(target).is_none_or(|place| place.out);
        let assigned = assigned.filter(|(target, _)| !is_out(*target));
        for (target, pair) in assigned {
            let mut owner_without_me = || {
                let without =
                    assignment_without_me.get_or_insert_with(|| assignment_without(&view));
                without.owner(target).cloned()
            };
            match self.owned.get(&target).map(|owned| &owned.phase) {
                // A process that is still joining knows too few members to own targets.
                None if !self.has_been_ready => {}
                None => {
                    let old = old.and_then(|old| old.assignment.owner(target).cloned());
                    let previous = old.filter(|owner| *owner != view.me);
                    self.take_ownership(now, target, previous.or_else(owner_without_me));
                }
                Some(Phase::HandingOver(handover)) => {
                    let to = handover.to.clone();
                    self.start_takeover(now, target, to);
                }
                Some(Phase::HandedOver { to }) => {
                    let to = Some(to.clone());
                    self.start_takeover(now, target, to);
                }
                Some(Phase::Active) if was_unconfirmed => {
                    // Peers may have taken over from the process while it was paused.
                    self.start_takeover(now, target, pair.backup.clone());
                    self.collect(now, target, false);
                }
                Some(Phase::Active) if !joined_members.is_empty() => {
                    let other =
                        owner_without_me().filter(|other| joined_members.contains(&&**other));
                    if other.is_some() {
                        self.start_takeover(now, target, other);
                    }
                }
                Some(_) => {}
            }
            if old.is_some_and(|old| has_joined(old, &view, target)) {
                self.prepare_joined(now, target);
            }
        }
    }

    /// Tracks since when the view is unconfirmed; returns true when it has just become confirmed.
    fn update_confirmation(&mut self, now: Duration) -> bool {
        if self.view.confirmed {
            return self.unconfirmed_since.take().is_some();
        }
        self.unconfirmed_since.get_or_insert(now);
        false
    }

    /// Takes ownership of a target from its previous owner, dead or alive.
    fn take_ownership(&mut self, now: Duration, target: id::Target, previous: Option<Arc<str>>) {
        self.owned.insert(target, Owned::new(now, Phase::Active));
        match previous {
            Some(owner) if self.view.member(&owner).is_some() => {
                self.start_takeover(now, target, Some(owner));
            }
            Some(_) => self.replace_dead_owner(now, target),
            None => {}
        }
    }

    /// Requests the state of an owned target from `from`; without such a live peer the target
    /// becomes active at once.
    fn start_takeover(&mut self, now: Duration, target: id::Target, from: Option<Arc<str>>) {
        let from = from.filter(|from| self.view.member(from).is_some() && *from != self.view.me);
        let phase = from.map_or(Phase::Active, |from| {
            Phase::TakingOver(Takeover {
                from,
                deadline: now + TAKEOVER_TIMEOUT,
                next_claim: now,
                backoff: CLAIM_INTERVAL.0,
                received_parts: 0,
            })
        });
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.phase = phase;
        }
    }

    /// Makes a target active without a handover, because its previous owner died.
    fn replace_dead_owner(&mut self, now: Duration, target: id::Target) {
        let known = self.peer_counts.get(&target);
        let known = known.filter(|known| now < known.received_at + MAX_COUNT_AGE);
        // The target is known to sustain the flows that the dead owner served; more than that is
        // ramped. Counts are reported when they change by more than 5%, so the last one may be too
        // low by that much.
        let (expected_flows, grace) =
            known.map_or((u32::MAX, UNKNOWN_COUNT_GRACE_PERIOD), |known| {
                (
                    known.flows + known.flows / 10 + COUNT_SLACK_FLOWS,
                    GRACE_PERIOD,
                )
            });
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.phase = Phase::Active;
            if !owned.is_settling() {
                owned.grace_until = now + grace;
                owned.grace_flows = expected_flows;
                self.collect(now, target, false);
            }
        }
    }

    /// Prepares a target that joined the preference lists: it starts cold, and passes unknown flows
    /// on until its redirects are collected.
    fn prepare_joined(&mut self, now: Duration, target: id::Target) {
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.ramp.reset_to_cold(now);
            owned.liveness = Liveness::default();
            owned.release = None;
            owned.grace_until = Duration::ZERO;
        }
        self.collect(now, target, true);
    }

    /// Repeats the claims of unfinished takeovers, and ends those whose previous owner left the
    /// view or made no progress in time.
    pub(super) fn tick_takeovers(&mut self, now: Duration) {
        let mut claims = Vec::new();
        let mut failed = Vec::new();
        for (target, owned) in &mut self.owned {
            let Phase::TakingOver(takeover) = &mut owned.phase else {
                continue;
            };
            if now >= takeover.deadline || self.view.member(&takeover.from).is_none() {
                failed.push(*target);
            } else if now >= takeover.next_claim {
                takeover.next_claim = now + takeover.backoff;
                takeover.backoff = (takeover.backoff * 2).min(CLAIM_INTERVAL.1);
                claims.push((takeover.from.clone(), *target, takeover.received_parts));
            }
        }
        for target in failed {
            self.replace_dead_owner(now, target);
        }
        for (to, target, next_part) in claims {
            let message = flow::Message::Claim { target, next_part };
            self.send(&to, budget::Priority::Handover, message);
        }
    }

    /// Stores a handover part of a target.
    #[allow(clippy::too_many_arguments)] // the fields of one message
    pub(super) fn receive_part(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        (part, last): (u16, bool),
        load: flow::Load,
        flows: &[flow::Flow],
        redirects: &[flow::Redirect],
        passed: &[flow::Redirect],
    ) {
        // The views of the two processes differ; the sender retransmits the part, or learns about
        // the next owner.
        if !self.view.owns(target) || !self.owned.contains_key(&target) {
            return;
        }
        for flow in flows {
            self.store_flow(now, target, flow);
        }
        for redirect in redirects {
            self.store_redirect(now, redirect);
        }
        for redirect in passed {
            self.store_passed(now, redirect);
        }
        let to = Arc::from(from);
        let message = flow::Message::HandoverAck { target, part };
        self.send(&to, budget::Priority::Handover, message);
        self.advance_takeover(now, from, target, last, load);
    }

    /// Stores that the previous owner passed a flow on. Without this record the flow would be
    /// admitted a second time before the redirect of the owner that serves it arrives.
    fn store_passed(&mut self, now: Duration, passed: &flow::Redirect) {
        let is_valid = self.is_valid(&passed.flow, passed.to);
        let advances = self.table.get(&passed.flow).is_none_or(|entry| {
            let known = self.table.target(entry);
            entry.kind == Kind::Passed && self.ranks_before(&passed.flow, known, passed.to)
        });
        if is_valid && advances {
            self.table
                .put(&passed.flow, passed.to, Kind::Passed, seconds(now));
        }
    }

    /// Records an established flow that the previous owner handed over.
    fn store_flow(&mut self, now: Duration, target: id::Target, flow: &flow::Flow) {
        let is_valid = self.is_valid(flow, target);
        if is_valid && !self.is_serving(flow, target) {
            self.report_conflict(flow, target);
            self.add_record(now, flow, target, true);
            let flow = *flow;
            self.actions.push_back(Action::Repoint { target, flow });
        }
    }

    /// Informs the owner of the target in a redirect or hint that the flow is served here; after a
    /// partition both may have a record of the flow.
    fn report_conflict(&mut self, flow: &flow::Flow, target: id::Target) {
        let Some(entry) = self
            .table
            .get(flow)
            .filter(|entry| entry.kind != Kind::Serving)
        else {
            return;
        };
        let other = self.table.target(entry);
        let owner = self.view.assignment.owner(other).cloned();
        if let Some(to) = owner.filter(|to| other != target && *to != self.view.me) {
            let message = flow::Message::Hint {
                flow: *flow,
                target,
                revision: self.view.register.revision,
            };
            self.send(&to, budget::Priority::Handover, message);
        }
    }

    /// Records a received part, and completes the takeover with the last one.
    fn advance_takeover(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        last: bool,
        load: flow::Load,
    ) {
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let Phase::TakingOver(takeover) = &mut owned.phase else {
            return;
        };
        if *takeover.from != *from {
            return;
        }
        takeover.received_parts = takeover.received_parts.saturating_add(1);
        takeover.deadline = now + TAKEOVER_TIMEOUT;
        takeover.next_claim = now + takeover.backoff;
        if load.connections > 0 && !owned.is_settling() {
            owned.ramp.allowance = owned.ramp.allowance.max(load.connections);
        }
        if !last {
            return;
        }
        owned.phase = Phase::Active;
        if owned.collection.is_none() && (load.connections == 0 || !load.settled) {
            self.collect(now, target, load.connections > 0);
        }
    }

    /// Ends the flows of targets that left the register or whose zone is out of service, and
    /// removes all other entries that name them: the zone may return before the sweep has visited
    /// all entries.
    fn remove_unusable_targets(&mut self, old: Option<&view::View>) {
        let view = self.view.clone();
        let is_unusable = |target| view.locate(target).is_none_or(|place| place.out);
        let changed = old.is_some_and(|old| !Arc::ptr_eq(&old.register, &view.register));
        if !changed {
            return;
        }
        let flows: Vec<flow::Flow> = self
            .table
            .entries()
            .filter(|(_, entry)| is_unusable(self.table.target(*entry)))
            .map(|(flow, _)| flow)
            .collect();
        for flow in flows {
            self.end_flow(&flow, false);
        }
        self.owned.retain(|target, _| !is_unusable(*target));
    }
}

/// Returns the names of the members in `view` that are not in `old`.
fn new_members<'a>(old: &view::View, view: &'a view::View) -> Vec<&'a str> {
    let names = view.members.iter().map(|member| &*member.name);
    names.filter(|name| old.member(name).is_none()).collect()
}

/// Returns true when a zone without known members has members again, which means that a partition
/// healed.
fn has_healed(old: &view::View, view: &view::View) -> bool {
    let was_known = |zone: &str| old.members.iter().any(|member| *member.zone == *zone);
    view.members.iter().any(|member| !was_known(&member.zone))
}

/// Returns the assignment without this process. It names the owners that hand targets over to this
/// process when it joins.
fn assignment_without(view: &view::View) -> ownership::Assignment {
    let others = view.members.iter().filter(|member| member.name != view.me);
    let others: Vec<_> = others.cloned().collect();
    ownership::Assignment::new(&view.register, &others)
}

/// Returns true when the target came into service, or is no longer leaving: other targets may serve
/// flows that rank it first.
fn has_joined(old: &view::View, view: &view::View, target: id::Target) -> bool {
    let is_leaving = |view: &view::View| view.target(target).is_some_and(|entry| entry.leaving);
    let is_in_service = view.locate(target).is_some_and(|place| !place.out);
    let was_in_service = old.locate(target).is_some_and(|place| !place.out);
    let is_leave_cancelled = is_leaving(old) && !is_leaving(view);
    old.register.revision > 0 && is_in_service && (!was_in_service || is_leave_cancelled)
}
