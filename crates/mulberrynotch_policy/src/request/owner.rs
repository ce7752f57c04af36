//! Admission of requests to the targets that this process owns.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::flow;

use super::{
    Action,
    Admission,
    Outcome,
    queue,
    target::{
        self,
        Target, //
    }, //
};
use crate::{
    health,
    limit,
    view, //
};

/// Time for which a process with an unconfirmed view waits before it serves its own zone.
pub(super) const CONFIRM_WAIT: Duration = Duration::from_millis(500);

/// Maximum time in the queue, so that a request is refused early and not at its deadline.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);

/// Snapshot of an owned target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct TargetStatus {
    /// The target.
    pub target: id::Target,
    /// Limit, phase and counters.
    pub limit: limit::Status,
    /// Requests in the queue of the target.
    pub queued: usize,
    /// Requests refused because the target was busy.
    pub refused: u64,
}

/// Admits, queues and refuses requests for the targets that this process owns.
#[derive(Debug)]
pub struct Owner {
    view: Arc<view::View>,
    unconfirmed_since: Duration,
    targets: BTreeMap<id::Target, Target>,
    running: HashMap<u64, (id::Target, Duration)>,
    queued: HashMap<u64, id::Target>,
    actions: VecDeque<Action>,
    next_ticket: u64,
    /// Time of the last event.
    last_event_at: Duration,
}

impl Owner {
    /// Creates the admission state with all targets cold.
    pub fn new(view: Arc<view::View>) -> Self {
        let mut owner = Self {
            view: view.clone(),
            unconfirmed_since: Duration::ZERO,
            targets: BTreeMap::new(),
            running: HashMap::new(),
            queued: HashMap::new(),
            actions: VecDeque::new(),
            next_ticket: 0,
            last_event_at: Duration::ZERO,
        };
        owner.set_view(Duration::ZERO, view.clone());
        // A joining process takes its targets over from balancers that still send to them.
        if view.members.len() > 1 {
            for state in owner.targets.values_mut() {
                state.closed_until = target::MAX_HANDOVER_TIME;
            }
        }
        owner
    }

    /// Replaces the view; targets that this process did not own before start cold.
    pub fn set_view(&mut self, now: Duration, view: Arc<view::View>) {
        self.last_event_at = now;
        let before = std::mem::replace(&mut self.view, view.clone());
        if before.confirmed && !view.confirmed {
            self.unconfirmed_since = now;
        }
        for (target, pair) in view.assignment.iter() {
            let Some(entry) = view.target(target).filter(|_| pair.owner == view.me) else {
                continue;
            };
            let previous = before.assignment.owner(target);
            let state = self
                .targets
                .entry(target)
                .or_insert_with(|| Target::new(now, entry.slots));
            state.slots = entry.slots;
            state.limit.set_slots(entry.slots);
            if let Some(previous) = previous.filter(|previous| **previous != view.me) {
                let live = view.member(previous).is_some();
                state.restart(now, live);
            }
        }
        self.refuse_unusable(now);
        self.drop_idle_targets(now);
    }

    /// Adopts the limit and the requests in progress that the previous owner of `target` reports.
    /// The previous owner may report again, so that slots become free as soon as its requests end.
    pub fn adopt(&mut self, now: Duration, target: id::Target, load: flow::Load) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        state.adopt(now, load, deadline(&self.view, target));
        self.start_waiting(now, target);
    }

    /// Returns the limit and the requests in progress of `target` for a handover, without its
    /// connections.
    pub fn load(&self, now: Duration, target: id::Target) -> flow::Load {
        let state = self.targets.get(&target);
        flow::Load {
            slots: state.map_or(limit::COLD_LIMIT, |state| state.limit.limit()),
            requests: state.map_or(0, |state| state.limit.used(now)),
            connections: 0,
            settled: true,
        }
    }

    /// Decides whether a request for `target` runs, is queued or is refused.
    pub fn admit(
        &mut self,
        now: Duration,
        target: id::Target,
        class: model::Class,
        deadline: Duration,
        queue: bool,
    ) -> Admission {
        self.last_event_at = now;
        if !self.accepts_new_work(now, target) {
            return Admission::NotOwner;
        }
        let Some(state) = self.targets.get_mut(&target) else {
            return Admission::NotOwner;
        };
        let latest_start = deadline.min(now + MAX_QUEUE_TIME);
        if latest_start <= now + state.expected_wait(now, class) {
            return state.refuse(now);
        }
        if state.free_slots(now) > 0 && state.queue.len_ahead(class) == 0 {
            return Admission::Run(self.start(now, target));
        }
        if !queue || !state.queue.has_room(class, state.slots) {
            return state.refuse(now);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let waiting = queue::Waiting {
            ticket,
            deadline: latest_start,
        };
        state.queue.push(class, waiting);
        self.queued.insert(ticket, target);
        Admission::Queued(ticket)
    }

    /// Records the outcome of a request that was sent to its target.
    pub fn finish(&mut self, now: Duration, ticket: u64, outcome: Outcome) {
        self.last_event_at = now;
        let Some((target, sent)) = self.running.remove(&ticket) else {
            return;
        };
        if let Some(state) = self.targets.get_mut(&target) {
            match outcome {
                Outcome::Answered { .. } => state.limit.success(now, sent),
                Outcome::NotRun { busy: true } => state.limit.shed(now, sent),
                Outcome::NotRun { busy: false } => state.limit.unreachable(now, true),
                Outcome::Unknown => state.limit.timeout(now, sent),
            }
        }
        self.start_waiting(now, target);
    }

    /// Ends a request that was sent and then cancelled by its caller before the deadline. This says
    /// nothing about the target, so the limit stays.
    pub fn abandon(&mut self, now: Duration, ticket: u64) {
        self.last_event_at = now;
        let Some((target, _)) = self.running.remove(&ticket) else {
            return;
        };
        if let Some(state) = self.targets.get_mut(&target) {
            state.limit.cancel();
        }
        self.start_waiting(now, target);
    }

    /// Drops a queued request whose caller disconnected.
    pub fn cancel(&mut self, now: Duration, ticket: u64) {
        if let Some(target) = self.queued.remove(&ticket) {
            if let Some(state) = self.targets.get_mut(&target) {
                state.queue.remove(ticket);
            }
            return;
        }
        // The driver has not polled the start of this request yet, so it was not sent.
        if self.actions.contains(&Action::Start(ticket)) {
            self.actions
                .retain(|action| *action != Action::Start(ticket));
            if let Some((target, _)) = self.running.remove(&ticket) {
                if let Some(state) = self.targets.get_mut(&target) {
                    state.limit.cancel();
                }
                self.start_waiting(now, target);
            }
        }
    }

    /// Returns the free slots of an owned target, for the report that goes with an answer.
    pub fn free_slots(&self, target: id::Target) -> u32 {
        self.targets.get(&target).map_or(0, |state| {
            let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
            state.free_slots(self.last_event_at).saturating_sub(waiting)
        })
    }

    /// Handles a health signal of an owned target.
    pub fn observe(&mut self, now: Duration, target: id::Target, observation: health::Observation) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        match observation {
            health::Observation::Report { boot, leaving, .. } => {
                state.limit.observe_boot(now, boot);
                state.leaving = leaving;
            }
            health::Observation::Unreachable | health::Observation::IcmpError => {
                state.limit.unreachable(now, false)
            }
            health::Observation::Shed => state.limit.record_shed(now, now),
            // Answers and timeouts of requests are reported through `finish`; those of flows say
            // nothing about slots.
            health::Observation::NoReport
            | health::Observation::Answered
            | health::Observation::TimedOut => {}
        }
        self.refuse_unusable(now);
    }

    /// Expires and starts queued requests; called every 100 ms.
    pub fn tick(&mut self, now: Duration) {
        self.last_event_at = now;
        let targets: Vec<id::Target> = self.targets.keys().copied().collect();
        for target in targets {
            let Some(state) = self.targets.get_mut(&target) else {
                continue;
            };
            for ticket in state.queue.expire(now) {
                self.refuse(ticket);
            }
            self.start_waiting(now, target);
        }
        self.drop_idle_targets(now);
    }

    /// Returns the next action, if any.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns a snapshot for the state dump.
    pub fn status(&self, now: Duration) -> Vec<TargetStatus> {
        self.targets
            .iter()
            .filter(|(target, _)| self.view.owns(**target))
            .map(|(target, state)| TargetStatus {
                target: *target,
                limit: state.limit.status(now),
                queued: state.queue.len(),
                refused: state.refused,
            })
            .collect()
    }

    /// Returns true if this process owns `target` and may send new work to it.
    fn accepts_new_work(&self, now: Duration, target: id::Target) -> bool {
        let view = &self.view;
        let in_service = view.locate(target).is_some_and(|entry| !entry.out);
        let Some(entry) = view.target(target).filter(|_| in_service) else {
            return false;
        };
        let reports_leaving = self.targets.get(&target).is_some_and(|state| state.leaving);
        if !view.owns(target) || entry.leaving || reports_leaving {
            return false;
        }
        if entry.zone == view.zone {
            return view.confirmed || now >= self.unconfirmed_since + CONFIRM_WAIT;
        }
        // The balancers of the zone may still serve it on the other side of a partition.
        let is_vacant = view.vacant_zones.contains(&entry.zone);
        view.confirmed && (is_vacant || !view.unreachable_zones.contains(&entry.zone))
    }

    fn start(&mut self, now: Duration, target: id::Target) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.run(now, ticket, target);
        ticket
    }

    fn run(&mut self, now: Duration, ticket: u64, target: id::Target) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.limit.start(now);
            self.running.insert(ticket, (target, now));
        }
    }

    fn start_waiting(&mut self, now: Duration, target: id::Target) {
        if !self.accepts_new_work(now, target) {
            return;
        }
        while let Some(state) = self.targets.get_mut(&target) {
            if state.free_slots(now) == 0 {
                break;
            }
            let Some(waiting) = state.queue.pop() else {
                break;
            };
            if waiting.deadline <= now {
                self.refuse(waiting.ticket);
                continue;
            }
            self.queued.remove(&waiting.ticket);
            self.run(now, waiting.ticket, target);
            self.actions.push_back(Action::Start(waiting.ticket));
        }
    }

    fn refuse(&mut self, ticket: u64) {
        self.queued.remove(&ticket);
        self.actions.push_back(Action::Refuse(ticket));
    }

    /// Refuses the requests queued for targets that may not get new work.
    fn refuse_unusable(&mut self, now: Duration) {
        let unusable: Vec<id::Target> = self
            .targets
            .keys()
            .copied()
            .filter(|target| !self.accepts_new_work(now, *target))
            .collect();
        for target in unusable {
            while let Some(waiting) = self
                .targets
                .get_mut(&target)
                .and_then(|state| state.queue.pop())
            {
                self.refuse(waiting.ticket);
            }
        }
    }

    /// Drops the state of targets that have another owner and neither run nor queue requests here.
    fn drop_idle_targets(&mut self, now: Duration) {
        let view = &self.view;
        self.targets.retain(|target, state| {
            view.owns(*target) || state.limit.used(now) > 0 || state.queue.len() > 0
        });
    }
}

fn deadline(view: &view::View, target: id::Target) -> Duration {
    let service = view
        .locate(target)
        .and_then(|entry| view.service(entry.service));
    Duration::from_millis(
        service
            .map_or(0, |service| service.request_deadline_ms)
            .into(),
    )
}
