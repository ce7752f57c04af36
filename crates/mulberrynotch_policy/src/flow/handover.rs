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

/// Size of the flows and redirects of one part, in bytes; with its envelope it fits one datagram.
const PART_BYTES: usize = 960;

/// Bytes that a redirect adds to its flow, when few share the target.
const REDIRECT_BYTES: usize = 4;

/// First and longest wait for the acknowledgement of a part. A part may wait for about a second
/// in the control budget; an earlier repetition would only fill it.
const RETRY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));

/// A claim repeats a part only when it was sent longer ago than this.
const RECENT: Duration = Duration::from_millis(1_500);

/// The first part waits so long for a claim. A next owner whose view is older drops it, and would
/// get it again only after [`RETRY`]; its claim shows that it has the view.
const CLAIM_WAIT: Duration = Duration::from_millis(600);

/// The last part waits so long for a takeover that was still in progress.
const HOLD_LAST: Duration = Duration::from_secs(3);

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
    pub(super) fn lose(&mut self, now: Duration) {
        let view = self.view.clone();
        let lost = self.owned.keys().filter(|target| !view.owns(**target));
        let lost: Vec<id::Target> = lost.copied().collect();
        for target in lost {
            let to = view.assignment.owner(target);
            let hold = match self.owned.get(&target).map(|owned| &owned.phase) {
                Some(Phase::HandingOver(handover)) if handover.to.as_ref() == to => continue,
                Some(Phase::HandedOver { .. }) | None => continue,
                Some(Phase::TakingOver(_)) => now + HOLD_LAST,
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
        let state = self.state_of(target);
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.phase = Phase::HandingOver(Handover {
                to,
                flows: state.flows,
                redirects: state.redirects,
                passed: state.passed,
                sent: None,
                acked: 0,
                hold_last_until,
                claimed_at: now + CLAIM_WAIT,
            });
        }
        self.send_part(now, target);
    }

    /// Flows on a target, and flows that the target has to pass on.
    fn state_of(&self, target: id::Target) -> State {
        let mut state = State::default();
        for (flow, entry) in self.table.entries() {
            let to = self.table.target(entry);
            match entry.kind {
                Kind::Serving if to == target && !self.is_tcp(&flow) => state.flows.push(flow),
                Kind::Serving | Kind::Redirect if self.precedes(&flow, target, to) => {
                    state.redirects.push(flow::Redirect { flow, to });
                }
                Kind::Passed if self.precedes(&flow, target, to) => {
                    state.passed.push(flow::Redirect { flow, to });
                }
                _ => {}
            }
        }
        state
    }

    /// True when `target` ranks before `other` for the flow.
    pub(super) fn precedes(
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
        let chain = preference::targets(&self.view, service, key(service, flow));
        let first = chain.iter().find(|&&item| item == target || item == other);
        first == Some(&target)
    }

    /// Sends the next part, unless one waits for its acknowledgement.
    fn send_part(&mut self, now: Duration, target: id::Target) {
        let number = self.part.wrapping_add(1);
        let mut kept = Vec::new();
        let Some(Phase::HandingOver(handover)) =
            self.owned.get_mut(&target).map(|owned| &mut owned.phase)
        else {
            return;
        };
        if handover.sent.is_some() || now < handover.claimed_at {
            return;
        }
        let Some(to) = handover.to.clone() else {
            return;
        };
        let mut space = PART_BYTES;
        let mut redirects = Vec::new();
        let mut passed = Vec::new();
        while let Some(flow) = handover.flows.pop_if(|flow| take(&mut space, bytes(flow))) {
            kept.push(flow);
        }
        while let Some(redirect) = handover
            .redirects
            .pop_if(|redirect| take(&mut space, bytes(&redirect.flow) + REDIRECT_BYTES))
        {
            redirects.push(redirect);
        }
        while let Some(redirect) = handover
            .passed
            .pop_if(|redirect| take(&mut space, bytes(&redirect.flow) + REDIRECT_BYTES))
        {
            passed.push(redirect);
        }
        let is_empty = handover.is_empty();
        let last = is_empty && now >= handover.hold_last_until;
        if kept.is_empty() && redirects.is_empty() && passed.is_empty() && !last {
            return;
        }
        kept.retain(|flow| self.is_serving(flow, target));
        let message = flow::Message::Handover {
            target,
            part: number,
            last,
            load: self.load(target),
            flows: kept,
            redirects,
            passed,
        };
        self.part = number;
        let part = Part {
            number,
            last,
            message: message.clone(),
            at: now,
            backoff: RETRY.0,
        };
        if let Some(Phase::HandingOver(handover)) =
            self.owned.get_mut(&target).map(|owned| &mut owned.phase)
        {
            handover.sent = Some(part);
        }
        self.send(&to, budget::Priority::Handover, message);
    }

    fn load(&self, target: id::Target) -> flow::Load {
        let owned = self.owned.get(&target);
        flow::Load {
            slots: 0,
            requests: 0,
            connections: owned.map_or(0, |owned| owned.ramp.allowance),
            settled: owned.is_none_or(|owned| !owned.is_settling()),
        }
    }

    /// Answers the claim of a new owner.
    pub(super) fn claimed(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        next_part: u16,
    ) {
        match self.owned.get_mut(&target).map(|owned| &mut owned.phase) {
            Some(Phase::HandingOver(handover)) if handover.to.as_deref() == Some(from) => {
                if next_part == 0 && handover.acked > 0 {
                    // The claimant restarted and lost the parts that it had acknowledged.
                    let hold = handover.hold_last_until;
                    let to = handover.to.clone();
                    self.begin_handover(now, target, to, hold);
                }
                self.answer_claim(now, target);
            }
            Some(Phase::HandedOver { to }) if **to == *from => self.hand_nothing(from, target),
            None if self
                .view
                .assignment
                .owner(target)
                .is_some_and(|o| **o == *from) =>
            {
                self.hand_nothing(from, target);
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
        handover.claimed_at = handover.claimed_at.min(now);
        if handover.sent.is_some() {
            self.repeat_part(now, target, RECENT);
        } else {
            self.send_part(now, target);
        }
    }

    fn hand_nothing(&mut self, from: &str, target: id::Target) {
        self.part = self.part.wrapping_add(1);
        let message = flow::Message::Handover {
            target,
            part: self.part,
            last: true,
            load: self.load(target),
            flows: Vec::new(),
            redirects: Vec::new(),
            passed: Vec::new(),
        };
        self.send(&Arc::from(from), budget::Priority::Handover, message);
    }

    pub(super) fn part_acked(
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
                .sent
                .as_ref()
                .is_some_and(|part| part.number == number);
        if !is_expected {
            return;
        }
        handover.acked = handover.acked.saturating_add(1);
        let was_last = handover.sent.take().is_some_and(|part| part.last);
        if was_last && handover.is_empty() {
            self.complete(now, target, &Arc::from(from));
        } else {
            self.send_part(now, target);
        }
    }

    /// Keeps only what forwards late packets.
    fn complete(&mut self, now: Duration, target: id::Target, to: &Arc<str>) {
        let moved: Vec<flow::Flow> = self
            .table
            .entries()
            .filter(|(flow, entry)| {
                entry.kind == Kind::Serving
                    && self.table.target(*entry) == target
                    && !self.is_tcp(flow)
            })
            .map(|(flow, _)| flow)
            .collect();
        for flow in moved {
            self.release(&flow);
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
        let (Some(to), Some(part)) = (handover.to.clone(), &mut handover.sent) else {
            return;
        };
        if now < part.at + wait {
            return;
        }
        part.at = now;
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
                    sent: Some(part), ..
                }) => {
                    let wait = part.backoff;
                    if now >= part.at + wait {
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
fn bytes(flow: &flow::Flow) -> usize {
    if flow.caller.is_ipv4() { 9 } else { 21 }
}

fn take(space: &mut usize, bytes: usize) -> bool {
    let rest = space.checked_sub(bytes);
    *space = rest.unwrap_or(*space);
    rest.is_some()
}
