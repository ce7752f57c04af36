//! Records of idempotency keys.

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
mod custody;
mod former;
mod handover;
mod outgoing;
mod record;
mod ticket;
mod uuid;

pub use uuid::created_at;

/// A caller may resend a request with the same key for this long.
pub const WINDOW: Duration = Duration::from_secs(120);

/// A process with an unconfirmed view waits this long before it takes new keys.
const CONFIRM_TIME: Duration = Duration::from_millis(500);

/// Clocks of callers differ from ours by less than this, and a former home that does not know of
/// the change takes no new keys for longer.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(10);

mulberrynotch_macros::data! {
    /// What to do with a request that carries a key.
    pub enum Begin {
        /// Wait for `Action::Ready`, `Action::Refuse` or `Action::Again` with this ticket.
        Pending(u64),
        /// The request runs already: wait for its outcome. If it runs through another process, ask
        /// again until it is known.
        Running,
        /// The request ran before; the driver holds the answer, or tells that it ran.
        Done {
            /// HTTP status of the answer.
            status: u16,
        },
        /// Whether the request ran is not known, and will not be.
        Unknown,
        /// The process is not the key's home: ask this balancer.
        Forward(Arc<str>),
        /// No copy of the request ran, and this one does not: the home knows all of the key's past
        /// and has no room.
        NotRun,
        /// This copy does not run here, and whether another copy ran is not known here, because the
        /// home of the key cannot be reached or is not certain. The caller may send the request again
        /// with the same key.
        Retry,
        /// Another request used the same key.
        Mismatch,
    }

    /// What the driver has to do.
    pub enum Action {
        /// Send a message to a peer.
        Send {
            /// Name of the peer.
            to: Arc<str>,
            /// The message.
            message: key::Message,
        },
        /// The record is stored: send the request.
        Ready(u64),
        /// The record could not be stored: answer as for `Begin::Retry`. A backup that does not
        /// acknowledge may serve another home that ran the key.
        Refuse(u64),
        /// Records arrived or the home changed while the ticket waited: call `begin` again.
        Restart(u64),
        /// The record expired: drop the answer that is held for it.
        Expired(key::Key),
    }
}

/// Snapshot of a [`Ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// Records of requests in progress.
    pub running: usize,
    /// Records of requests that were proven not to have run.
    pub not_run: usize,
    /// Records of requests that ran.
    pub done: usize,
    /// Records of requests whose outcome is unknown.
    pub unknown: usize,
    /// Targets whose keys the process is home of and knows.
    pub whole: usize,
    /// Targets whose keys the process is home of and does not know yet.
    pub partial: usize,
    /// Requests that wait for records or for the backup.
    pub pending: usize,
    /// Messages without an acknowledgement.
    pub unacknowledged: usize,
}

/// Records of the keys that the process is home or backup of.
#[derive(Debug)]
pub struct Ledger {
    view: Arc<view::View>,
    unconfirmed_since: Duration,
    max_records: usize,
    records: HashMap<key::Key, record::Record>,
    custody: BTreeMap<id::Target, custody::Custody>,
    /// Chains of services before a revision changed them.
    formers: Vec<former::Former>,
    /// Owners that said, under a revision, that the process as their backup holds all records.
    vouched: HashMap<id::Target, (Arc<str>, u64)>,
    handovers: handover::Handovers,
    outgoing: outgoing::Outgoing,
    tickets: BTreeMap<u64, ticket::Ticket>,
    next_ticket: u64,
    knew_others: bool,
    actions: VecDeque<Action>,
}

impl Ledger {
    /// Holds no records.
    pub fn new(view: Arc<view::View>, max_records: usize) -> Self {
        let mut ledger = Self {
            view: view.clone(),
            unconfirmed_since: Duration::ZERO,
            max_records,
            records: HashMap::new(),
            custody: BTreeMap::new(),
            formers: Vec::new(),
            vouched: HashMap::new(),
            handovers: handover::Handovers::default(),
            outgoing: outgoing::Outgoing::default(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            knew_others: false,
            actions: VecDeque::new(),
        };
        ledger.start(&view);
        ledger
    }

    /// The balancer that is home of `key`, and the first target of the key's chain.
    ///
    /// `None` for a target of the process whose zone has balancers that the process does not see:
    /// they may run the key on the other side of a partition. Another owner decides it by itself.
    pub fn home(&self, service: id::Service, key: key::Key) -> Option<(Arc<str>, id::Target)> {
        let view = &self.view;
        let target = preference::first(view, service, hash(key))?;
        let owner = view.assignment.owner(target)?;
        (*owner != view.me || self.serves(target)).then(|| (owner.clone(), target))
    }

    /// True when the zone of `target` is the process's own or has no balancers.
    fn serves(&self, target: id::Target) -> bool {
        let view = &self.view;
        let zone = view.target(target).map(|target| &target.zone);
        zone.is_some_and(|zone| *zone == view.zone || view.vacant_zones.contains(zone))
    }

    /// Starts a request; `request` is the digest of method, path and body.
    pub fn begin(
        &mut self,
        now: Duration,
        service: id::Service,
        key: key::Key,
        request: u64,
    ) -> Begin {
        self.begin_created(now, service, key, request, None)
    }

    /// Starts a request whose key was made at `made`, on the clock of the process.
    ///
    /// A home that took over without records cannot tell a fresh key from a resend. Running it
    /// would break at-most-once, and refusing all keys for the resend window would stop the
    /// service of a third of the keys for two minutes after a rack is lost. A key that is a UUID of
    /// version 7 carries the time of its creation: if that is later than the takeover by more than
    /// [`CLOCK_MARGIN`], no former home has seen the key, and it runs. A time more than the margin
    /// ahead of our own clock shows a wrong clock and proves nothing. All other keys are answered
    /// `Unknown` until the resend window has passed.
    pub fn begin_created(
        &mut self,
        now: Duration,
        service: id::Service,
        key: key::Key,
        request: u64,
        made: Option<Duration>,
    ) -> Begin {
        let Some((owner, home)) = self.home(service, key) else {
            return Begin::Retry;
        };
        if owner != self.view.me {
            return self.elsewhere(owner);
        }
        if let Some(successor) = self.ceded_to(home) {
            return Begin::Forward(successor);
        }
        if let Some(known) = self.known(now, key, request) {
            return known;
        }
        if self.is_doubtful(now) {
            return Begin::Retry;
        }

        // Records are not evicted early: a resend of an evicted key would run again.
        let room = self.has_room(key);
        match self.coverage(now, service, key, home) {
            custody::Coverage::Whole if room => self.store(now, home, key, request),
            custody::Coverage::Whole => Begin::NotRun,
            custody::Coverage::Since(at) if is_newer(now, at, made) => match room {
                true => self.store(now, home, key, request),
                // The clock of the caller lets a key run, but is no proof for others.
                false => Begin::Retry,
            },
            custody::Coverage::Collecting(target) => {
                Begin::Pending(self.ticket(key, target, false))
            }
            custody::Coverage::Since(_) => Begin::Unknown,
        }
    }

    /// Notes the outcome of a request that ran or did not.
    pub fn finish(&mut self, now: Duration, key: key::Key, state: key::State) {
        if let Some(record) = self.records.get_mut(&key) {
            // A final report of another process about the key stands against "not run".
            if record.local || state != key::State::NotRun {
                record.set(now, state);
            }
            self.report(now, key);
        }
    }

    /// Handles a message of the peer `from`.
    pub fn receive(&mut self, now: Duration, from: &str, message: key::Message) {
        match message {
            key::Message::Put {
                sequence,
                fresh,
                records,
            } => self.take(now, from, (sequence, fresh), records),
            key::Message::PutAck { sequence } => self.acknowledged(now, from, sequence),
            key::Message::Pull {
                home,
                after,
                revision,
                claim,
            } => self.hand_over(now, from, home, after, (revision, claim)),
            key::Message::Records {
                home,
                after,
                last,
                complete,
                records,
            } => self.collect(now, from, home, after, (last, complete), records),
            key::Message::Synced {
                sequence,
                home,
                revision,
            } => self.vouch(from, sequence, home, revision),
        }
    }

    /// True when nothing is left to hand over after a leave.
    pub fn drained(&self) -> bool {
        let view = &self.view;
        let owed = self.records.values().any(|record| {
            let successor = view.assignment.owner(record.home);
            let lives = successor.is_some_and(|name| view.member(name).is_some());
            let mine = self.custody.contains_key(&record.home);
            mine && lives && !self.handovers.is_delivered(record.home)
        });
        let runs = self.records.values().any(|record| record.local);
        !owed && !runs && self.tickets.is_empty() && self.outgoing.len() == 0
    }

    /// Runs what is due; called every 100 ms.
    pub fn tick(&mut self, now: Duration) {
        for key in record::expire(&mut self.records, now) {
            self.actions.push_back(Action::Expired(key));
        }
        self.refuse_late(now);
        for (to, message) in self.outgoing.due(now) {
            self.actions.push_back(Action::Send { to, message });
        }
        self.pull_due(now);
    }

    /// Next action, if any.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Snapshot for the state dump.
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
        for (_, custody) in self.custody.iter().filter(|(id, _)| self.view.owns(**id)) {
            let whole = custody.is_whole(now);
            status.whole += usize::from(whole);
            status.partial += usize::from(!whole);
        }
        status
    }

    fn elsewhere(&self, owner: Arc<str>) -> Begin {
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

    /// The answer from a record, if it proves anything but that the request did not run.
    fn known(&self, now: Duration, key: key::Key, request: u64) -> Option<Begin> {
        let record = self.records.get(&key)?;
        if record.request != request && now < record.made + WINDOW {
            return Some(Begin::Mismatch);
        }
        match record.state {
            key::State::Running => Some(Begin::Running),
            key::State::Done { status } => Some(Begin::Done { status }),
            key::State::Unknown => Some(Begin::Unknown),
            key::State::NotRun => None,
        }
    }

    /// True while others may have taken over without the process knowing it.
    fn is_doubtful(&self, now: Duration) -> bool {
        let view = &self.view;
        let paused = !view.confirmed && now < self.unconfirmed_since + CONFIRM_TIME;
        // Without a backup the record has one copy. If no other balancer answers at all, it is
        // more likely that this process is cut off than that all others died.
        let alone = view
            .members
            .iter()
            .all(|member| member.name == view.me || view.unreachable_zones.contains(&member.zone));
        paused || (alone && self.knew_others)
    }
}

fn hash(key: key::Key) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = key.0;
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}

/// True when a key was made after `since`, by any clock within the margin.
fn is_newer(now: Duration, since: Duration, made: Option<Duration>) -> bool {
    made.is_some_and(|made| made > since + CLOCK_MARGIN && made <= now + CLOCK_MARGIN)
}
