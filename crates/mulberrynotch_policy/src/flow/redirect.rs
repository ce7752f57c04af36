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
    preference, //
};

/// Redirects or ended flows in one message.
const BATCH: usize = 40;

/// Redirects that wait at most per lane; the oldest is dropped and renewed later.
const MAX_WAITING: usize = 16_384;

/// First and longest wait for an acknowledgement. A batch may wait for about a second in the
/// control budget; an earlier repetition would only fill it.
const RETRY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));

/// Longest time that the end of a flow waits for others to share its message.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// Hints that an owner teaches per tick, to spare the control budget.
const LESSONS: u32 = 2;

/// Receiver of redirects: the owner or the backup of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane {
    target: id::Target,
    backup: bool,
}

impl Lane {
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
    pub(super) fn announce(&mut self, flow: &flow::Flow, service: id::Service, target: id::Target) {
        let redirect = flow::Redirect {
            flow: *flow,
            to: target,
        };
        let chain = preference::targets(&self.view, service, key(service, flow));
        let before = chain.into_iter().take_while(|item| *item != target);
        for (position, target) in before.enumerate() {
            self.queue(Lane::owner(target), redirect);
            if position == 0 {
                let backup = true;
                self.queue(Lane { target, backup }, redirect);
            }
        }
    }

    /// Queues a redirect and returns its number in the lane.
    pub(super) fn queue(&mut self, lane: Lane, redirect: flow::Redirect) -> u64 {
        let queue = self.outbox.entry(lane).or_default();
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

    pub(super) fn is_acknowledged(&self, lane: Lane, mark: u64) -> bool {
        self.outbox
            .get(&lane)
            .is_none_or(|queue| queue.acked >= mark)
    }

    /// Sends what waits, and repeats what was not acknowledged.
    pub(super) fn tick_outbox(&mut self, now: Duration) {
        let view = self.view.clone();
        self.outbox
            .retain(|lane, _| view.locate(lane.target).is_some());
        let lanes: Vec<Lane> = self.outbox.keys().copied().collect();
        for lane in lanes {
            let receiver = if lane.backup {
                view.assignment.backup(lane.target)
            } else {
                view.assignment.owner(lane.target)
            };
            let receiver = receiver.filter(|name| **name != view.me).cloned();
            match receiver {
                Some(to) => self.send_batch(now, lane, &to),
                // This process serves the flow and owns the target: its record is enough.
                None => self.discard(lane),
            }
        }
        self.send_forgets(now);
    }

    fn discard(&mut self, lane: Lane) {
        if let Some(queue) = self.outbox.get_mut(&lane) {
            queue.acked = queue.queued;
            queue.waiting.clear();
            queue.sent = None;
        }
    }

    fn send_batch(&mut self, now: Duration, lane: Lane, to: &Arc<str>) {
        let Some(queue) = self.outbox.get_mut(&lane) else {
            return;
        };
        if queue.sent.is_none() && !queue.waiting.is_empty() {
            let size = queue.waiting.len().min(BATCH);
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
        let Some(queue) = self.outbox.get_mut(&lane) else {
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
            target: lane.target,
            redirects: batch.redirects.clone(),
            sequence: batch.sequence,
            revision: self.view.register.revision,
        };
        queue.sent = Some(batch);
        self.send(to, budget::Priority::Redirect, message);
    }

    pub(super) fn redirects_acked(&mut self, sequence: u32) {
        for queue in self.outbox.values_mut() {
            let batch = queue.sent.take_if(|batch| batch.sequence == sequence);
            queue.acked += batch.map_or(0, |batch| batch.redirects.len() as u64);
        }
    }

    /// Stores redirects for a target that the process owns, hands over or backs up.
    pub(super) fn redirected(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        redirects: &[flow::Redirect],
        (sequence, revision): (u32, u64),
    ) {
        self.still_sending(now, target, from);
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
        let is_old = revision < self.view.register.revision;
        if is_old || !is_known || !(is_backup || self.owned.contains_key(&target)) {
            return;
        }
        for redirect in redirects {
            self.store(now, redirect);
            self.claim_back(from, target, redirect);
        }
        if let Some(Phase::HandingOver(handover)) =
            self.owned.get_mut(&target).map(|owned| &mut owned.phase)
        {
            handover.redirects.extend_from_slice(redirects);
        }
        let message = flow::Message::RedirectsAck { sequence };
        self.send(&Arc::from(from), budget::Priority::Redirect, message);
    }

    pub(super) fn store(&mut self, now: Duration, redirect: &flow::Redirect) {
        let is_ours = self.is_valid(&redirect.flow, redirect.to);
        let kind = self.table.get(&redirect.flow).map(|entry| entry.kind);
        let held = self.table.count(Kind::Serving) + self.table.count(Kind::Redirect);
        if is_ours && kind != Some(Kind::Serving) && held < self.config.max_flows {
            self.table
                .put(&redirect.flow, redirect.to, Kind::Redirect, seconds(now));
        }
    }

    /// Tells another owner that a flow of which it sent a redirect is served here, on the target
    /// that ranks before.
    fn claim_back(&mut self, from: &str, target: id::Target, redirect: &flow::Redirect) {
        if self.is_serving(&redirect.flow, target) {
            let message = flow::Message::Learn {
                flow: redirect.flow,
                target,
                revision: self.view.register.revision,
            };
            self.send(&Arc::from(from), budget::Priority::Redirect, message);
        }
    }

    /// Tells the ingress balancer of a displaced flow where it is served.
    pub(super) fn teach(&mut self, packet: &place::Packet<'_>, target: id::Target) {
        if self.lessons < LESSONS
            && packet.rank == Some(0)
            && let Some(from) = packet.from
        {
            self.lessons += 1;
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

    pub(super) fn learn(
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
        let is_ours = self.is_valid(flow, target);
        if is_ours {
            self.yield_to(from, flow, target);
        }
        let kind = self.table.get(flow).map(|entry| entry.kind);
        let is_full = self.table.count(Kind::Hint) >= self.config.max_hints;
        let fits = kind == Some(Kind::Hint) || !is_full || self.table.evict_hint(flow);
        if is_ours && kind.is_none_or(|kind| kind == Kind::Hint) && fits {
            self.table.put(flow, target, Kind::Hint, seconds(now));
        }
    }

    /// Gives a flow up that the owner of a target before serves too, after a partition; the owner
    /// of a target behind is told to give it up.
    fn yield_to(&mut self, from: &str, flow: &flow::Flow, target: id::Target) {
        let Some(entry) = self.table.get(flow).filter(|e| e.kind == Kind::Serving) else {
            return;
        };
        let owner = self.view.assignment.owner(target);
        let is_owner = owner.is_some_and(|owner| **owner == *from);
        let mine = self.table.target(entry);
        if is_owner && self.precedes(flow, target, mine) {
            self.end(flow, false);
        } else if mine != target {
            let redirect = flow::Redirect {
                flow: *flow,
                to: target,
            };
            self.claim_back(from, mine, &redirect);
        }
    }

    /// Queues the end of a displaced flow for the owners that hold its redirect.
    pub(super) fn forget(
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
        let chain = preference::targets(&self.view, service, key);
        for before in chain.into_iter().take_while(|item| *item != target) {
            let flows = self.forgets.entry((before, priority)).or_default();
            // Redirects that nobody ends run out with their lease.
            if flows.len() < MAX_WAITING {
                flows.push(*flow);
            }
        }
    }

    /// Sends full batches at once and others once a second: in messages of one flow each, the ends
    /// of flows would fill the control budget.
    fn send_forgets(&mut self, now: Duration) {
        let view = self.view.clone();
        let is_due = now >= self.next_forgets;
        if is_due {
            self.next_forgets = now + FORGET_INTERVAL;
        }
        let lanes = self.forgets.iter();
        let lanes: Vec<(id::Target, budget::Priority)> = lanes
            .filter(|(_, flows)| is_due || flows.len() >= BATCH)
            .map(|(lane, _)| *lane)
            .collect();
        for (target, priority) in lanes {
            let Some(queue) = self.forgets.get_mut(&(target, priority)) else {
                continue;
            };
            let rest = queue.len().saturating_sub(BATCH);
            let flows = queue.split_off(rest);
            if rest == 0 {
                self.forgets.remove(&(target, priority));
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

    pub(super) fn forgotten(&mut self, from: &str, flows: &[flow::Flow]) {
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
