//! Redirects, hints, and the sweep that ends idle flows.

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
    chain, //
};

/// Redirects or ended flows in one message.
const MAX_BATCH: usize = 40;

/// Redirects that wait at most per lane; the oldest is dropped and renewed later.
const MAX_WAITING: usize = 16_384;

/// First and longest wait for an acknowledgement. A batch may wait for about a second in the
/// control budget; an earlier repetition would only fill it.
const RETRY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));

/// Longest time that the end of a flow waits for others to share its message.
const FLOW_END_INTERVAL: Duration = Duration::from_secs(1);

/// Hints that an owner teaches per tick, to spare the control budget.
const MAX_HINTS_PER_TICK: u32 = 2;

/// Receiver of redirects: the owner or the backup of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Destination {
    target: id::Target,
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

/// Redirects on their way to one receiver; one batch at a time.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<flow::Redirect>,
    sent: Option<Batch>,
    queued: u64,
    acked: u64,
}

#[derive(Debug)]
struct Batch {
    sequence: u32,
    redirects: Vec<flow::Redirect>,
    due: Duration,
    backoff: Duration,
}

impl Machine {
    /// Tells the owners of the targets that rank before `target` where the flow is served.
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
        let preferences = chain::targets(&self.view, service, key(service, flow));
        let before = preferences.into_iter().take_while(|item| *item != target);
        for (position, target) in before.enumerate() {
            self.queue_redirect(Destination::owner(target), redirect);
            if position == 0 {
                let backup = true;
                self.queue_redirect(Destination { target, backup }, redirect);
            }
        }
    }

    /// Queues a redirect and returns its number in the lane.
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

    /// Redirects that wait for a receiver.
    pub(super) fn waiting_redirects(&self) -> usize {
        let queues = self.outbox.values();
        queues
            .map(|queue| queue.waiting.len() + queue.sent.as_ref().map_or(0, |b| b.redirects.len()))
            .sum()
    }

    pub(super) fn is_acknowledged(&self, destination: Destination, number: u64) -> bool {
        self.outbox
            .get(&destination)
            .is_none_or(|queue| queue.acked >= number)
    }

    /// Sends what waits, and repeats what was not acknowledged.
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
                // This process serves the flow and owns the target: its record is enough.
                None => self.discard_queue(destination),
            }
        }
        self.send_flow_ends(now);
    }

    fn discard_queue(&mut self, destination: Destination) {
        if let Some(queue) = self.outbox.get_mut(&destination) {
            queue.acked = queue.queued;
            queue.waiting.clear();
            queue.sent = None;
        }
    }

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
                due: now,
                backoff: RETRY.0,
            });
        }
        let Some(mut batch) = queue.sent.take() else {
            return;
        };
        // A flow that ended or moved while the batch waited must not be announced any more.
        let before = batch.redirects.len();
        let is_current = |item: &flow::Redirect| self.is_serving(&item.flow, item.to);
        batch.redirects.retain(is_current);
        let ended = before - batch.redirects.len();
        let Some(queue) = self.outbox.get_mut(&destination) else {
            return;
        };
        queue.acked += ended as u64;
        if batch.redirects.is_empty() {
            return;
        }
        if now < batch.due {
            queue.sent = Some(batch);
            return;
        }
        batch.due = now + batch.backoff;
        batch.backoff = (batch.backoff * 2).min(RETRY.1);
        let message = flow::Message::Redirects {
            target: destination.target,
            redirects: batch.redirects.clone(),
            sequence: batch.sequence,
            revision: self.view.register.revision,
        };
        queue.sent = Some(batch);
        self.send(to, budget::Priority::Exception, message);
    }

    pub(super) fn receive_redirects_ack(&mut self, sequence: u32) {
        for queue in self.outbox.values_mut() {
            let batch = queue.sent.take_if(|batch| batch.sequence == sequence);
            queue.acked += batch.map_or(0, |batch| batch.redirects.len() as u64);
        }
    }

    /// Stores redirects for a target that the process owns, hands over or backs up.
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
        // A message that waited while a zone went out and returned names targets that lost the
        // flows. Without an acknowledgement the sender tries again with what it serves then.
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
        self.send(&Arc::from(from), budget::Priority::Exception, message);
    }

    pub(super) fn store_redirect(&mut self, now: Duration, redirect: &flow::Redirect) {
        let is_valid = self.is_valid(&redirect.flow, redirect.to);
        let kind = self.table.get(&redirect.flow).map(|entry| entry.kind);
        let held = self.table.count(Kind::Serving) + self.table.count(Kind::Redirect);
        if is_valid && kind != Some(Kind::Serving) && held < self.config.max_flows {
            self.table
                .put(&redirect.flow, redirect.to, Kind::Redirect, seconds(now));
        }
    }

    /// Tells another owner that a flow of which it sent a redirect is served here, on the target
    /// that ranks before.
    fn claim_flow(&mut self, from: &str, target: id::Target, redirect: &flow::Redirect) {
        if self.is_serving(&redirect.flow, target) {
            let message = flow::Message::Learn {
                flow: redirect.flow,
                target,
                revision: self.view.register.revision,
            };
            self.send(&Arc::from(from), budget::Priority::Exception, message);
        }
    }

    /// Tells the ingress balancer of a displaced flow where it is served.
    pub(super) fn send_hint(&mut self, packet: &place::Packet<'_>, target: id::Target) {
        if self.hints_sent < MAX_HINTS_PER_TICK
            && packet.rank == Some(0)
            && let Some(from) = packet.from
        {
            self.hints_sent += 1;
            let flow = packet.flow;
            let revision = self.view.register.revision;
            let message = flow::Message::Learn {
                flow,
                target,
                revision,
            };
            self.send(&Arc::from(from), budget::Priority::Load, message);
        }
    }

    pub(super) fn receive_hint(
        &mut self,
        now: Duration,
        from: &str,
        flow: &flow::Flow,
        (target, revision): (id::Target, u64),
    ) {
        // At the lowest priority a message may wait longer than a zone is out.
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

    /// Gives a flow up that the owner of a target before serves too, after a partition; the owner
    /// of a target behind is told to give it up.
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
        if chain::first(&self.view, service, key) == Some(target) {
            return;
        }
        let preferences = chain::targets(&self.view, service, key);
        for before in preferences.into_iter().take_while(|item| *item != target) {
            let flows = self.flow_ends.entry((before, priority)).or_default();
            // Redirects that nobody ends run out with their lease.
            if flows.len() < MAX_WAITING {
                flows.push(*flow);
            }
        }
    }

    /// Sends full batches at once and others once a second: in messages of one flow each, the ends
    /// of flows would fill the control budget.
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
                let message = flow::Message::Forget { target, flows };
                self.send(to, priority, message);
            }
        }
    }

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
