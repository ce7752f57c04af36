//! Handover of a target to its next owner.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::flow;

use super::{
    Machine, key,
    owned::{
        Handover,
        Part,
        Phase, //
    },
    seconds,
    table::Kind,
};
use crate::{
    budget,
    preference, //
};

/// Encoded size of the flows and redirects in one part; with the envelope it fits into one
/// datagram.
const PART_BYTES: usize = 960;

/// Encoded size that a redirect adds to its flow when few redirects share a target.
const REDIRECT_BYTES: usize = 4;

/// First and longest wait for the acknowledgement of a part. A part may wait for about a second in
/// the control budget; an earlier retransmission would only use up the budget.
const RETRY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));

/// Time after the last transmission of a part before a claim repeats it.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Longest time that the first part waits for a claim. A next owner with an older view drops the
/// part and would receive it again only after [`RETRY`]; its claim shows that it has the view.
const CLAIM_WAIT: Duration = Duration::from_millis(600);

/// Longest time that the last part waits for a takeover of the same target that was still in
/// progress.
const LAST_PART_HOLD: Duration = Duration::from_secs(3);

/// State of a target that its next owner needs.
#[derive(Default)]
struct State {
    flows: Vec<flow::Flow>,
    redirects: Vec<flow::Redirect>,
    passed: Vec<flow::Redirect>,
}

impl Handover {
    /// Returns true when every record has been sent in a part.
    fn is_empty(&self) -> bool {
        self.flows.is_empty() && self.redirects.is_empty() && self.passed.is_empty()
    }
}

impl Machine {
    /// Starts the handover of targets that the view assigns to other processes, or changes its
    /// receiver.
    pub(super) fn start_handovers(&mut self, now: Duration) {
        let view = self.view.clone();
        let reassigned = self.owned.keys().filter(|target| !view.owns(**target));
        let reassigned: Vec<id::Target> = reassigned.copied().collect();
        for target in reassigned {
            let to = view.assignment.owner(target);
            let hold = match self.owned.get(&target).map(|owned| &owned.phase) {
                Some(Phase::HandingOver(handover)) if handover.to.as_ref() == to => continue,
                Some(Phase::HandedOver { .. }) | None => continue,
                Some(Phase::TakingOver(_)) => now + LAST_PART_HOLD,
                Some(_) => Duration::ZERO,
            };
            self.begin_handover(now, target, to.cloned(), hold);
        }
    }

    fn begin_handover(
        &mut self,
        now: Duration,
        target: id::Target,
        to: Option<Arc<str>>,
        hold_last_until: Duration,
    ) {
        let state = self.handover_state(target);
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.phase = Phase::HandingOver(Handover {
                to,
                flows: state.flows,
                redirects: state.redirects,
                passed: state.passed,
                unacked_part: None,
                acked_parts: 0,
                hold_last_until,
                first_part_at: now + CLAIM_WAIT,
            });
        }
        self.send_part(now, target);
    }

    /// Returns the flows on a target, and the flows that the target passes on to others.
    fn handover_state(&self, target: id::Target) -> State {
        let mut state = State::default();
        for (flow, entry) in self.table.entries() {
            let to = self.table.target(entry);
            match entry.kind {
                Kind::Serving if to == target && !self.is_tcp(&flow) => state.flows.push(flow),
                Kind::Serving | Kind::Redirect if self.ranks_before(&flow, target, to) => {
                    state.redirects.push(flow::Redirect { flow, to });
                }
                Kind::Passed if self.ranks_before(&flow, target, to) => {
                    state.passed.push(flow::Redirect { flow, to });
                }
                _ => {}
            }
        }
        state
    }

    /// Returns true when `target` ranks before `other` in the preference list of the flow.
    pub(super) fn ranks_before(
        &self,
        flow: &flow::Flow,
        target: id::Target,
        other: id::Target,
    ) -> bool {
        let service = self
            .view
            .service_at(flow.address)
            .map(|(service, _)| service);
        let place = self.view.locate(target);
        let (Some(service), Some(place)) = (service, place) else {
            return false;
        };
        if place.service != service || target == other {
            return false;
        }
        let preferences = preference::targets(&self.view, service, key(service, flow));
        let first = preferences
            .iter()
            .find(|&&candidate| candidate == target || candidate == other);
        first == Some(&target)
    }

    /// Sends the next part, unless the last one has not been acknowledged.
    fn send_part(&mut self, now: Duration, target: id::Target) {
        let number = self.last_part.wrapping_add(1);
        let mut part_flows = Vec::new();
        let Some(Phase::HandingOver(handover)) =
            self.owned.get_mut(&target).map(|owned| &mut owned.phase)
        else {
            return;
        };
        if handover.unacked_part.is_some() || now < handover.first_part_at {
            return;
        }
        let Some(to) = handover.to.clone() else {
            return;
        };
        let mut space = PART_BYTES;
        let mut redirects = Vec::new();
        let mut passed = Vec::new();
        while let Some(flow) = handover
            .flows
            .pop_if(|flow| reserve(&mut space, encoded_len(flow)))
        {
            part_flows.push(flow);
        }
        while let Some(redirect) = handover
            .redirects
            .pop_if(|redirect| reserve(&mut space, encoded_len(&redirect.flow) + REDIRECT_BYTES))
        {
            redirects.push(redirect);
        }
        while let Some(redirect) = handover
            .passed
            .pop_if(|redirect| reserve(&mut space, encoded_len(&redirect.flow) + REDIRECT_BYTES))
        {
            passed.push(redirect);
        }
        let is_empty = handover.is_empty();
        let last = is_empty && now >= handover.hold_last_until;
        if part_flows.is_empty() && redirects.is_empty() && passed.is_empty() && !last {
            return;
        }
        part_flows.retain(|flow| self.is_serving(flow, target));
        let message = flow::Message::Handover {
            target,
            part: number,
            last,
            load: self.handover_load(target),
            flows: part_flows,
            redirects,
            passed,
        };
        self.last_part = number;
        let part = Part {
            number,
            last,
            message: message.clone(),
            sent_at: now,
            backoff: RETRY.0,
        };
        if let Some(Phase::HandingOver(handover)) =
            self.owned.get_mut(&target).map(|owned| &mut owned.phase)
        {
            handover.unacked_part = Some(part);
        }
        self.send(&to, budget::Priority::Handover, message);
    }

    fn handover_load(&self, target: id::Target) -> flow::Load {
        let owned = self.owned.get(&target);
        flow::Load {
            slots: 0,
            requests: 0,
            connections: owned.map_or(0, |owned| owned.ramp.allowance),
            settled: owned.is_none_or(|owned| !owned.is_settling()),
        }
    }

    /// Handles the claim of a new owner.
    pub(super) fn receive_claim(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        next_part: u16,
    ) {
        match self.owned.get_mut(&target).map(|owned| &mut owned.phase) {
            Some(Phase::HandingOver(handover)) if handover.to.as_deref() == Some(from) => {
                if next_part == 0 && handover.acked_parts > 0 {
                    // The claimant restarted and lost the parts that it had acknowledged.
                    let hold = handover.hold_last_until;
                    let to = handover.to.clone();
                    self.begin_handover(now, target, to, hold);
                }
                self.answer_claim(now, target);
            }
            Some(Phase::HandedOver { to }) if **to == *from => self.send_empty(from, target),
            None if self
                .view
                .assignment
                .owner(target)
                .is_some_and(|owner| **owner == *from) =>
            {
                self.send_empty(from, target);
            }
            // The views differ; the claimant repeats its claim until they agree.
            _ => {}
        }
    }

    /// Sends the part that the next owner, which has the same view, waits for.
    fn answer_claim(&mut self, now: Duration, target: id::Target) {
        let phase = self.owned.get_mut(&target).map(|owned| &mut owned.phase);
        let Some(Phase::HandingOver(handover)) = phase else {
            return;
        };
        handover.first_part_at = handover.first_part_at.min(now);
        if handover.unacked_part.is_some() {
            self.repeat_part(now, target, MIN_REPEAT_INTERVAL);
        } else {
            self.send_part(now, target);
        }
    }

    /// Sends an empty last part: the process has no state of the target for its next owner.
    fn send_empty(&mut self, from: &str, target: id::Target) {
        self.last_part = self.last_part.wrapping_add(1);
        let message = flow::Message::Handover {
            target,
            part: self.last_part,
            last: true,
            load: self.handover_load(target),
            flows: Vec::new(),
            redirects: Vec::new(),
            passed: Vec::new(),
        };
        self.send(&Arc::from(from), budget::Priority::Handover, message);
    }

    pub(super) fn receive_part_ack(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        number: u16,
    ) {
        let Some(Phase::HandingOver(handover)) =
            self.owned.get_mut(&target).map(|owned| &mut owned.phase)
        else {
            return;
        };
        let is_expected = handover.to.as_deref() == Some(from)
            && handover
                .unacked_part
                .as_ref()
                .is_some_and(|part| part.number == number);
        if !is_expected {
            return;
        }
        handover.acked_parts = handover.acked_parts.saturating_add(1);
        let was_last = handover.unacked_part.take().is_some_and(|part| part.last);
        if was_last && handover.is_empty() {
            self.complete_handover(now, target, &Arc::from(from));
        } else {
            self.send_part(now, target);
        }
    }

    /// Replaces the records of the target's datagram flows with hints, which forward late packets.
    fn complete_handover(&mut self, now: Duration, target: id::Target, to: &Arc<str>) {
        let flows: Vec<flow::Flow> = self
            .table
            .entries()
            .filter(|(flow, entry)| {
                entry.kind == Kind::Serving
                    && self.table.target(*entry) == target
                    && !self.is_tcp(flow)
            })
            .map(|(flow, _)| flow)
            .collect();
        for flow in flows {
            self.remove_record(&flow);
            if self.table.count(Kind::Hint) < self.config.max_hints {
                self.table.put(&flow, target, Kind::Hint, seconds(now));
            }
        }
        let is_empty = self.owned.get(&target).is_none_or(|owned| owned.flows == 0);
        if is_empty {
            self.owned.remove(&target);
        } else if let Some(owned) = self.owned.get_mut(&target) {
            owned.phase = Phase::HandedOver { to: to.clone() };
        }
    }

    /// Retransmits the unacknowledged part when it was sent at least `wait` ago.
    fn repeat_part(&mut self, now: Duration, target: id::Target, wait: Duration) {
        let Some(Phase::HandingOver(handover)) =
            self.owned.get_mut(&target).map(|owned| &mut owned.phase)
        else {
            return;
        };
        let (Some(to), Some(part)) = (handover.to.clone(), &mut handover.unacked_part) else {
            return;
        };
        if now < part.sent_at + wait {
            return;
        }
        part.sent_at = now;
        let message = part.message.clone();
        self.send(&to, budget::Priority::Handover, message);
    }

    pub(super) fn tick_handovers(&mut self, now: Duration) {
        let targets: Vec<id::Target> = self.owned.keys().copied().collect();
        for target in targets {
            let Some(owned) = self.owned.get_mut(&target) else {
                continue;
            };
            match &mut owned.phase {
                Phase::HandingOver(Handover {
                    unacked_part: Some(part),
                    ..
                }) => {
                    let wait = part.backoff;
                    if now >= part.sent_at + wait {
                        part.backoff = (wait * 2).min(RETRY.1);
                    }
                    self.repeat_part(now, target, wait);
                }
                Phase::HandingOver(_) => self.send_part(now, target),
                Phase::HandedOver { .. } if owned.flows == 0 => {
                    self.owned.remove(&target);
                }
                _ => {}
            }
        }
    }
}

/// Returns an upper bound on the encoded size of a flow in a group that shares its service address.
fn encoded_len(flow: &flow::Flow) -> usize {
    if flow.caller.is_ipv4() { 9 } else { 21 }
}

/// Subtracts `bytes` from the space left in a part; returns false when they do not fit.
fn reserve(space: &mut usize, bytes: usize) -> bool {
    let rest = space.checked_sub(bytes);
    *space = rest.unwrap_or(*space);
    rest.is_some()
}
