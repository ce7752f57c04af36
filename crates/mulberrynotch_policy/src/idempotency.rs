//! Records of idempotency keys, which let a request run at most once per key.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::key;

use crate::{
    preference,
    view, //
};

mod collect;
mod handover;
mod home;
mod outgoing;
mod previous;
mod record;
mod ticket;
mod uuid;

pub use uuid::created_at;

/// Time for which a caller may resend a request with the same key.
pub const WINDOW: Duration = Duration::from_secs(120);

/// Time for which a process with an unconfirmed view waits before it accepts new keys.
const CONFIRM_WAIT: Duration = Duration::from_millis(500);

/// Upper bound on the clock difference to callers, and on the time for which a previous home that
/// does not know of its replacement accepts new keys.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(10);

mulberrynotch_macros::data! {
    /// Decision about a request that carries an idempotency key.
    pub enum Begin {
        /// Wait for `Action::Ready`, `Action::Refuse` or `Action::Restart` with this ticket.
        Pending(u64),
        /// The request is already running: wait for its outcome. If it runs through another
        /// process, call `begin` again until the outcome is known.
        Running,
        /// The request ran before. The driver replies with the stored answer if it has one, and
        /// otherwise reports that the request ran.
        Done {
            /// HTTP status of the answer.
            status: u16,
        },
        /// It is unknown whether the request ran, and will stay unknown.
        Unknown,
        /// Another balancer is the home of the key: forward the request to it.
        Forward(Arc<str>),
        /// No copy of the request ran, and this one does not run either: the home has a complete
        /// history of the key but no room for a record.
        NotRun,
        /// This copy does not run. Whether another copy ran is unknown, because the home of the key
        /// is unreachable or uncertain. The caller may resend the request with the same key.
        Retry,
        /// Another request used the same key.
        Mismatch,
    }

    /// Action for the driver.
    pub enum Action {
        /// Send a message to a peer.
        Send {
            /// Name of the peer.
            to: Arc<str>,
            /// The message.
            message: key::Message,
        },
        /// The record is stored; the request may be sent.
        Ready(u64),
        /// The record could not be stored; reply as for `Begin::Retry`. A backup that does not
        /// acknowledge may be the backup of another home that ran the key.
        Refuse(u64),
        /// Records arrived or the home changed in the meantime; call `begin` again.
        Restart(u64),
        /// The record has expired; drop the answer stored for it.
        Expired(key::Key),
    }
}

/// Snapshot of a [`Ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// Records of requests in progress.
    pub running: usize,
    /// Records of requests that provably did not run.
    pub not_run: usize,
    /// Records of requests that ran.
    pub done: usize,
    /// Records of requests whose outcome is unknown.
    pub unknown: usize,
    /// Targets that this process is the home of, with complete records.
    pub whole: usize,
    /// Targets that this process is the home of, with records still missing.
    pub partial: usize,
    /// Requests waiting for records or for an acknowledgement of the backup.
    pub pending: usize,
    /// Messages that have not been acknowledged.
    pub unacknowledged: usize,
}

/// Records of the keys that this process is the home or the backup of.
#[derive(Debug)]
pub struct Ledger {
    view: Arc<view::View>,
    unconfirmed_since: Duration,
    max_records: usize,
    records: HashMap<key::Key, record::Record>,
    homes: BTreeMap<id::Target, home::State>,
    /// Preference lists of services before a revision changed them.
    previous: Vec<previous::Preference>,
    /// Owners that reported, with the revision, that this process as their backup has all records.
    synced_owners: HashMap<id::Target, (Arc<str>, u64)>,
    handovers: handover::Handovers,
    outgoing: outgoing::Outgoing,
    tickets: BTreeMap<u64, ticket::Ticket>,
    next_ticket: u64,
    has_seen_peers: bool,
    actions: VecDeque<Action>,
}

impl Ledger {
    /// Creates a ledger without records.
    pub fn new(view: Arc<view::View>, max_records: usize) -> Self {
        let mut ledger = Self {
            view: view.clone(),
            unconfirmed_since: Duration::ZERO,
            max_records,
            records: HashMap::new(),
            homes: BTreeMap::new(),
            previous: Vec::new(),
            synced_owners: HashMap::new(),
            handovers: handover::Handovers::default(),
            outgoing: outgoing::Outgoing::default(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            has_seen_peers: false,
            actions: VecDeque::new(),
        };
        ledger.init(&view);
        ledger
    }

    /// Returns the balancer that is the home of `key`, and the most preferred target of the key.
    ///
    /// Returns `None` if this process owns the target but the target's zone has balancers that this
    /// process does not see: they may run the key on the other side of a partition. If another
    /// process owns the target, that process makes this check.
    pub fn home(&self, service: id::Service, key: key::Key) -> Option<(Arc<str>, id::Target)> {
        let view = &self.view;
        let target = preference::first(view, service, hash(key))?;
        let owner = view.assignment.owner(target)?;
        (*owner != view.me || self.may_serve(target)).then(|| (owner.clone(), target))
    }

    /// Returns true if the zone of `target` is the own one or has no balancers.
    fn may_serve(&self, target: id::Target) -> bool {
        let view = &self.view;
        let zone = view.target(target).map(|target| &target.zone);
        zone.is_some_and(|zone| *zone == view.zone || view.vacant_zones.contains(zone))
    }

    /// Begins a request; `request` is the digest of its method, path and body.
    pub fn begin(
        &mut self,
        now: Duration,
        service: id::Service,
        key: key::Key,
        request: u64,
    ) -> Begin {
        self.begin_created(now, service, key, request, None)
    }

    /// Begins a request whose key was created at `created`, on the clock of the process.
    ///
    /// A home that took over without records cannot distinguish a new key from a resend. Running
    /// all keys would violate at-most-once execution, and refusing all keys for the resend window
    /// would stop service for a third of the keys for two minutes after the loss of a rack. A UUID
    /// of version 7 contains its creation time: if that is later than the takeover by more than
    /// [`CLOCK_MARGIN`], no previous home has seen the key, and the request runs. A creation time
    /// ahead of the own clock by more than the margin indicates a wrong clock and is not accepted
    /// as proof. All other keys are answered with `Unknown` until the resend window has passed.
    pub fn begin_created(
        &mut self,
        now: Duration,
        service: id::Service,
        key: key::Key,
        request: u64,
        created: Option<Duration>,
    ) -> Begin {
        let Some((owner, home)) = self.home(service, key) else {
            return Begin::Retry;
        };
        if owner != self.view.me {
            return self.forward_to(owner);
        }
        if let Some(successor) = self.successor_of(home) {
            return Begin::Forward(successor);
        }
        if let Some(answer) = self.recorded_answer(now, key, request) {
            return answer;
        }
        if self.may_be_isolated(now) {
            return Begin::Retry;
        }

        // Records are not evicted before they expire: a resend of an evicted key would run again.
        let has_room = self.has_room(key);
        match self.coverage(now, service, key, home) {
            home::Coverage::Complete if has_room => self.store(now, home, key, request),
            home::Coverage::Complete => Begin::NotRun,
            home::Coverage::Since(at) if is_created_after(now, at, created) => match has_room {
                true => self.store(now, home, key, request),
                // The creation time allows this copy to run, but does not prove that no other copy
                // ran.
                false => Begin::Retry,
            },
            home::Coverage::Collecting(target) => {
                Begin::Pending(self.new_ticket(key, target, false))
            }
            home::Coverage::Since(_) => Begin::Unknown,
        }
    }

    /// Records the outcome of a request.
    pub fn finish(&mut self, now: Duration, key: key::Key, state: key::State) {
        if let Some(record) = self.records.get_mut(&key) {
            // A final state reported by another process prevails over "not run".
            if record.local || state != key::State::NotRun {
                record.set(now, state);
            }
            self.replicate(now, key);
        }
    }

    /// Handles a message from the peer `from`.
    pub fn receive(&mut self, now: Duration, from: &str, message: key::Message) {
        match message {
            key::Message::Put {
                sequence,
                fresh,
                records,
            } => self.handle_put(now, from, (sequence, fresh), records),
            key::Message::PutAck { sequence } => self.handle_ack(now, from, sequence),
            key::Message::Pull {
                home,
                after,
                revision,
                claim,
            } => self.handle_pull(now, from, home, after, (revision, claim)),
            key::Message::Records {
                home,
                after,
                last,
                complete,
                records,
            } => self.handle_records(now, from, home, after, (last, complete), records),
            key::Message::Synced {
                sequence,
                home,
                revision,
            } => self.handle_synced(from, sequence, home, revision),
        }
    }

    /// Returns true if a leaving process has nothing left to hand over or to finish.
    pub fn is_drained(&self) -> bool {
        let view = &self.view;
        let is_undelivered = self.records.values().any(|record| {
            let successor = view.assignment.owner(record.home);
            let is_live = successor.is_some_and(|name| view.member(name).is_some());
            let is_home = self.homes.contains_key(&record.home);
            is_home && is_live && !self.handovers.is_delivered(record.home)
        });
        let is_running = self.records.values().any(|record| record.local);
        !is_undelivered && !is_running && self.tickets.is_empty() && self.outgoing.len() == 0
    }

    /// Expires records and resends messages that are due; called every 100 ms.
    pub fn tick(&mut self, now: Duration) {
        for key in record::expire(&mut self.records, now) {
            self.actions.push_back(Action::Expired(key));
        }
        self.refuse_overdue(now);
        for (to, message) in self.outgoing.due(now) {
            self.actions.push_back(Action::Send { to, message });
        }
        self.pull_due(now);
    }

    /// Returns the next action, if any.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns a snapshot for the state dump.
    pub fn status(&self, now: Duration) -> Status {
        let mut status = Status {
            pending: self.tickets.len(),
            unacknowledged: self.outgoing.len(),
            ..Status::default()
        };
        for record in self.records.values() {
            match record.state {
                key::State::Running => status.running += 1,
                key::State::NotRun => status.not_run += 1,
                key::State::Done { .. } => status.done += 1,
                key::State::Unknown => status.unknown += 1,
            }
        }
        for (_, state) in self.homes.iter().filter(|(id, _)| self.view.owns(**id)) {
            let complete = state.is_complete(now);
            status.whole += usize::from(complete);
            status.partial += usize::from(!complete);
        }
        status
    }

    fn forward_to(&self, owner: Arc<str>) -> Begin {
        let view = &self.view;
        let reachable = view.member(&owner).is_some_and(|member| {
            let own = member.zone == view.zone;
            own || (view.confirmed && !view.unreachable_zones.contains(&member.zone))
        });
        if reachable {
            Begin::Forward(owner)
        } else {
            Begin::Retry
        }
    }

    /// Returns the decision that follows from the record of a key; `None` without a record, or if
    /// the request did not run.
    fn recorded_answer(&self, now: Duration, key: key::Key, request: u64) -> Option<Begin> {
        let record = self.records.get(&key)?;
        if record.request != request && now < record.created_at + WINDOW {
            return Some(Begin::Mismatch);
        }
        match record.state {
            key::State::Running => Some(Begin::Running),
            key::State::Done { status } => Some(Begin::Done { status }),
            key::State::Unknown => Some(Begin::Unknown),
            key::State::NotRun => None,
        }
    }

    /// Returns true while other balancers may have taken over without the knowledge of this
    /// process.
    fn may_be_isolated(&self, now: Duration) -> bool {
        let view = &self.view;
        let paused = !view.confirmed && now < self.unconfirmed_since + CONFIRM_WAIT;
        // Without a backup there is only one copy of the record. If no other balancer can be
        // reached at all, this process is more likely to be cut off than all others are to be dead.
        let alone = view
            .members
            .iter()
            .all(|member| member.name == view.me || view.unreachable_zones.contains(&member.zone));
        paused || (alone && self.has_seen_peers)
    }
}

fn hash(key: key::Key) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = key.0;
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}

/// Returns true if a key was created after `since`, by any clock within the margin.
fn is_created_after(now: Duration, since: Duration, created: Option<Duration>) -> bool {
    created.is_some_and(|created| created > since + CLOCK_MARGIN && created <= now + CLOCK_MARGIN)
}
