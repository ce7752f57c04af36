//! Redirects and hints, which inform peers where a displaced flow is served, and their end.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::flow;

use super::{Machine, key, owned::Phase, place, seconds, table::Kind};
use crate::{
    budget,
    preference, //
};

/// Maximum number of redirects or ended flows in one message.
const MAX_BATCH: usize = 40;

/// Maximum number of redirects that wait for one receiver. When it is reached, the oldest is
/// dropped; a later renewal sends it again.
const MAX_WAITING: usize = 16_384;

/// First and longest wait for an acknowledgement. A batch may wait for about a second in the
/// control budget; an earlier retransmission would only use up the budget.
const RETRY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));

/// Longest time that the end of a flow waits for others to share its message.
const FLOW_END_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of hints sent per tick, to save control budget.
const MAX_HINTS_PER_TICK: u32 = 2;

/// Receiver of redirects: the owner or the backup of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Destination {
    target: id::Target,
    /// True for the backup, false for the owner.
    backup: bool,
}

impl Destination {
    pub(super) fn owner(target: id::Target) -> Self {
        Self {
            target,
            backup: false,
        }
    }
}

/// Redirects to one receiver, with at most one batch in flight.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<flow::Redirect>,
    /// Batch that has not been acknowledged.
    sent: Option<Batch>,
    /// Redirects queued since the queue was created.
    queued: u64,
    /// Redirects acknowledged or dropped since the queue was created.
    acked: u64,
}

#[derive(Debug)]
struct Batch {
    sequence: u32,
    redirects: Vec<flow::Redirect>,
    next_send: Duration,
    backoff: Duration,
}

impl Machine {
    /// Queues a redirect to the owners of the targets that rank before `target`, which serves the
    /// flow, and to the backup of the first of them.
    pub(super) fn queue_redirects(
        &mut self,
        flow: &flow::Flow,
        service: id::Service,
        target: id::Target,
    ) {
        let redirect = flow::Redirect {
            flow: *flow,
            to: target,
        };
        let preferences = preference::targets(&self.view, service, key(service, flow));
        let before = preferences
            .into_iter()
            .take_while(|candidate| *candidate != target);
        for (position, target) in before.enumerate() {
            self.queue_redirect(Destination::owner(target), redirect);
            if position == 0 {
                let backup = true;
                self.queue_redirect(Destination { target, backup }, redirect);
            }
        }
    }

    /// Queues a redirect and returns its number in the queue of the receiver.
    pub(super) fn queue_redirect(
        &mut self,
        destination: Destination,
        redirect: flow::Redirect,
    ) -> u64 {
        let queue = self.outbox.entry(destination).or_default();
        if queue.waiting.len() >= MAX_WAITING {
            queue.waiting.pop_front();
            queue.acked += 1;
        }
        queue.waiting.push_back(redirect);
        queue.queued += 1;
        queue.queued
    }

    /// Returns the number of redirects that have not been acknowledged.
    pub(super) fn waiting_redirects(&self) -> usize {
        let queues = self.outbox.values();
        queues
            .map(|queue| queue.waiting.len() + queue.sent.as_ref().map_or(0, |b| b.redirects.len()))
            .sum()
    }

    /// Returns true when all redirects up to `number` have been acknowledged or dropped.
    pub(super) fn is_acknowledged(&self, destination: Destination, number: u64) -> bool {
        self.outbox
            .get(&destination)
            .is_none_or(|queue| queue.acked >= number)
    }

    /// Sends waiting redirects and ended flows, and retransmits unacknowledged batches.
    pub(super) fn tick_outbox(&mut self, now: Duration) {
        let view = self.view.clone();
        self.outbox
            .retain(|destination, _| view.locate(destination.target).is_some());
        let destinations: Vec<Destination> = self.outbox.keys().copied().collect();
        for destination in destinations {
            let receiver = if destination.backup {
                view.assignment.backup(destination.target)
            } else {
                view.assignment.owner(destination.target)
            };
            let receiver = receiver.filter(|name| **name != view.me).cloned();
            match receiver {
                Some(to) => self.send_batch(now, destination, &to),
                // The receiver is this process, which already has the record of the flow, or no
                // process at all.
                None => self.discard_queue(destination),
            }
        }
        self.send_flow_ends(now);
    }

    /// Drops all redirects to a receiver and counts them as acknowledged.
    fn discard_queue(&mut self, destination: Destination) {
        if let Some(queue) = self.outbox.get_mut(&destination) {
            queue.acked = queue.queued;
            queue.waiting.clear();
            queue.sent = None;
        }
    }

    /// Sends the next batch of redirects, or retransmits the unacknowledged one when it is due.
    fn send_batch(&mut self, now: Duration, destination: Destination, to: &Arc<str>) {
        let Some(queue) = self.outbox.get_mut(&destination) else {
            return;
        };
        if queue.sent.is_none() && !queue.waiting.is_empty() {
            let size = queue.waiting.len().min(MAX_BATCH);
            self.sequence = self.sequence.wrapping_add(1);
            queue.sent = Some(Batch {
                sequence: self.sequence,
                redirects: queue.waiting.drain(..size).collect(),
                next_send: now,
                backoff: RETRY.0,
            });
        }
        let Some(mut batch) = queue.sent.take() else {
            return;
        };
        // A flow that ended or moved while the batch waited must not be announced.
        let before = batch.redirects.len();
        let is_current = |redirect: &flow::Redirect| self.is_serving(&redirect.flow, redirect.to);
        batch.redirects.retain(is_current);
        let ended = before - batch.redirects.len();
        let Some(queue) = self.outbox.get_mut(&destination) else {
            return;
        };
        queue.acked += ended as u64;
        if batch.redirects.is_empty() {
            return;
        }
        if now < batch.next_send {
            queue.sent = Some(batch);
            return;
        }
        batch.next_send = now + batch.backoff;
        batch.backoff = (batch.backoff * 2).min(RETRY.1);
        let message = flow::Message::Redirects {
            target: destination.target,
            redirects: batch.redirects.clone(),
            sequence: batch.sequence,
            revision: self.view.register.revision,
        };
        queue.sent = Some(batch);
        self.send(to, budget::Priority::Redirect, message);
    }

    pub(super) fn receive_redirects_ack(&mut self, sequence: u32) {
        for queue in self.outbox.values_mut() {
            let batch = queue.sent.take_if(|batch| batch.sequence == sequence);
            queue.acked += batch.map_or(0, |batch| batch.redirects.len() as u64);
        }
    }

    /// Stores redirects for a target that the process owns, hands over or is the backup of.
    pub(super) fn receive_redirects(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        redirects: &[flow::Redirect],
        (sequence, revision): (u32, u64),
    ) {
        self.extend_request_deadline(now, target, from);
        if redirects.is_empty() {
            return;
        }
        let me = &self.view.me;
        let is_backup = self.view.assignment.backup(target) == Some(me);
        let is_known = redirects
            .iter()
            .all(|redirect| self.view.locate(redirect.to).is_some());
        // A message that was delayed while a zone went out of service and returned may name targets
        // that no longer serve the flows. Without an acknowledgement the sender retries with its
        // current records.
        let is_outdated = revision < self.view.register.revision;
        if is_outdated || !is_known || !(is_backup || self.owned.contains_key(&target)) {
            return;
        }
        for redirect in redirects {
            self.store_redirect(now, redirect);
            self.claim_flow(from, target, redirect);
        }
        if let Some(Phase::HandingOver(handover)) =
            self.owned.get_mut(&target).map(|owned| &mut owned.phase)
        {
            handover.redirects.extend_from_slice(redirects);
        }
        let message = flow::Message::RedirectsAck { sequence };
        self.send(&Arc::from(from), budget::Priority::Redirect, message);
    }

    /// Stores a redirect, unless the process serves the flow itself or the table has no room.
    pub(super) fn store_redirect(&mut self, now: Duration, redirect: &flow::Redirect) {
        let is_valid = self.is_valid(&redirect.flow, redirect.to);
        let kind = self.table.get(&redirect.flow).map(|entry| entry.kind);
        let held = self.table.count(Kind::Serving) + self.table.count(Kind::Redirect);
        if is_valid && kind != Some(Kind::Serving) && held < self.config.max_flows {
            self.table
                .put(&redirect.flow, redirect.to, Kind::Redirect, seconds(now));
        }
    }

    /// Informs the peer that sent a redirect that this process serves the flow on `target`, which
    /// ranks before.
    fn claim_flow(&mut self, from: &str, target: id::Target, redirect: &flow::Redirect) {
        if self.is_serving(&redirect.flow, target) {
            let message = flow::Message::Hint {
                flow: redirect.flow,
                target,
                revision: self.view.register.revision,
            };
            self.send(&Arc::from(from), budget::Priority::Redirect, message);
        }
    }

    /// Sends the ingress balancer of a displaced flow a hint where it is served.
    pub(super) fn send_hint(&mut self, packet: &place::Packet<'_>, target: id::Target) {
        if self.hints_sent < MAX_HINTS_PER_TICK
            && packet.rank == Some(0)
            && let Some(from) = packet.from
        {
            self.hints_sent += 1;
            let flow = packet.flow;
            let revision = self.view.register.revision;
            let message = flow::Message::Hint {
                flow,
                target,
                revision,
            };
            self.send(&Arc::from(from), budget::Priority::Load, message);
        }
    }

    /// Stores a hint of the current register revision. When the process serves the flow itself, the
    /// conflict is resolved first.
    pub(super) fn receive_hint(
        &mut self,
        now: Duration,
        from: &str,
        flow: &flow::Flow,
        (target, revision): (id::Target, u64),
    ) {
        // At the lowest priority a message may be delayed for longer than a zone is out of service.
        if revision != self.view.register.revision {
            return;
        }
        let is_valid = self.is_valid(flow, target);
        if is_valid {
            self.resolve_conflict(from, flow, target);
        }
        let kind = self.table.get(flow).map(|entry| entry.kind);
        let is_full = self.table.count(Kind::Hint) >= self.config.max_hints;
        let fits = kind == Some(Kind::Hint) || !is_full || self.table.evict_hint(flow);
        if is_valid && kind.is_none_or(|kind| kind == Kind::Hint) && fits {
            self.table.put(flow, target, Kind::Hint, seconds(now));
        }
    }

    /// Ends a flow that the owner of a target that ranks before serves too, after a partition. An
    /// owner of a target that ranks later is notified to end it instead.
    fn resolve_conflict(&mut self, from: &str, flow: &flow::Flow, target: id::Target) {
        let Some(entry) = self
            .table
            .get(flow)
            .filter(|entry| entry.kind == Kind::Serving)
        else {
            return;
        };
        let owner = self.view.assignment.owner(target);
        let is_owner = owner.is_some_and(|owner| **owner == *from);
        let served_on = self.table.target(entry);
        if is_owner && self.ranks_before(flow, target, served_on) {
            self.end_flow(flow, false);
        } else if served_on != target {
            let redirect = flow::Redirect {
                flow: *flow,
                to: target,
            };
            self.claim_flow(from, served_on, &redirect);
        }
    }

    /// Queues the end of a displaced flow for the owners that hold its redirect.
    pub(super) fn queue_flow_end(
        &mut self,
        flow: &flow::Flow,
        target: id::Target,
        priority: budget::Priority,
    ) {
        let Some((service, _)) = self.view.service_at(flow.address) else {
            return;
        };
        let key = key(service, flow);
        if preference::first(&self.view, service, key) == Some(target) {
            return;
        }
        let preferences = preference::targets(&self.view, service, key);
        for before in preferences
            .into_iter()
            .take_while(|candidate| *candidate != target)
        {
            let flows = self.flow_ends.entry((before, priority)).or_default();
            // Redirects whose end is not reported expire with their lease.
            if flows.len() < MAX_WAITING {
                flows.push(*flow);
            }
        }
    }

    /// Sends full batches at once and others once a second. With one message per flow, ended flows
    /// would use up the control budget.
    fn send_flow_ends(&mut self, now: Duration) {
        let view = self.view.clone();
        let is_due = now >= self.next_flow_ends;
        if is_due {
            self.next_flow_ends = now + FLOW_END_INTERVAL;
        }
        let destinations = self.flow_ends.iter();
        let destinations: Vec<(id::Target, budget::Priority)> = destinations
            .filter(|(_, flows)| is_due || flows.len() >= MAX_BATCH)
            .map(|(destination, _)| *destination)
            .collect();
        for (target, priority) in destinations {
            let Some(queue) = self.flow_ends.get_mut(&(target, priority)) else {
                continue;
            };
            let rest = queue.len().saturating_sub(MAX_BATCH);
            let flows = queue.split_off(rest);
            if rest == 0 {
                self.flow_ends.remove(&(target, priority));
            }
            let pair = [
                view.assignment.owner(target),
                view.assignment.backup(target),
            ];
            for to in pair.into_iter().flatten().filter(|to| **to != view.me) {
                let flows = flows.clone();
                let message = flow::Message::FlowsEnded { target, flows };
                self.send(to, priority, message);
            }
        }
    }

    /// Removes the redirects and hints of flows that ended on targets of `from`.
    pub(super) fn receive_flow_ends(&mut self, from: &str, flows: &[flow::Flow]) {
        for flow in flows {
            let Some(entry) = self.table.get(flow) else {
                continue;
            };
            let owner = self.view.assignment.owner(self.table.target(entry));
            if entry.kind != Kind::Serving && owner.is_some_and(|owner| **owner == *from) {
                self.table.remove(flow);
            }
        }
    }
}
