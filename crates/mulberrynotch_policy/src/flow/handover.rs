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
    chain, //
};

/// Size of the flows and redirects of one part, in bytes; with its envelope it fits one datagram.
const PART_BYTES: usize = 960;

/// Bytes that a redirect adds to its flow, when few share the target.
const REDIRECT_BYTES: usize = 4;

/// First and longest wait for the acknowledgement of a part. A part may wait for about a second
/// in the control budget; an earlier repetition would only fill it.
const RETRY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));

/// A claim repeats a part only when it was sent longer ago than this.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// The first part waits so long for a claim. A next owner whose view is older drops it, and would
/// get it again only after [`RETRY`]; its claim shows that it has the view.
const CLAIM_WAIT: Duration = Duration::from_millis(600);

/// The last part waits so long for a takeover that was still in progress.
const LAST_PART_HOLD: Duration = Duration::from_secs(3);

/// What a target's next owner has to know.
#[derive(Default)]
struct State {
    flows: Vec<flow::Flow>,
    redirects: Vec<flow::Redirect>,
    passed: Vec<flow::Redirect>,
}

impl Handover {
    /// True when every record is in a part that was sent.
    fn is_empty(&self) -> bool {
        self.flows.is_empty() && self.redirects.is_empty() && self.passed.is_empty()
    }
}

impl Machine {
    /// Starts or redirects the handover of targets that the view assigns to others.
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

    /// Flows on a target, and flows that the target has to pass on.
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

    /// True when `target` ranks before `other` for the flow.
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
        let preferences = chain::targets(&self.view, service, key(service, flow));
        let first = preferences
            .iter()
            .find(|&&candidate| candidate == target || candidate == other);
        first == Some(&target)
    }

    /// Sends the next part, unless one waits for its acknowledgement.
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

    /// Answers the claim of a new owner.
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
            // The views differ: the claimant asks again until they agree.
            _ => {}
        }
    }

    /// Sends the part that a next owner with the same view waits for.
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

    /// Keeps only what forwards late packets.
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

    /// Sends the part again that waits for its acknowledgement.
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

/// Encoded size of a flow in a group that shares the service address, at most.
fn encoded_len(flow: &flow::Flow) -> usize {
    if flow.caller.is_ipv4() { 9 } else { 21 }
}

fn reserve(space: &mut usize, bytes: usize) -> bool {
    let rest = space.checked_sub(bytes);
    *space = rest.unwrap_or(*space);
    rest.is_some()
}
