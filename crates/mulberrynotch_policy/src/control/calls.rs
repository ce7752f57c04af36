//! Calls to the platform: watches of readers, fallback reads and reads of the list of VMs.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::control::{
    Member,
    Message,
    State, //
};

use super::{
    Action,
    Machine,
    Response,
    vacancy, //
};
use crate::rendezvous;

/// Time that the platform may hold a watch. A reader that has lost the platform may detect this
/// only at the end of its watch. At the design scale, 22 readers make 22 calls per second.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time without an answer to a watch after which the platform counts as unreachable.
const WATCH_OVERDUE: Duration = Duration::from_millis(1_500);

/// Interval between delegations of a reader that cannot reach the platform, and the time that a
/// delegation lasts.
const DELEGATE_INTERVAL: Duration = Duration::from_secs(1);
const DELEGATION_PERIOD: Duration = Duration::from_secs(5);

/// Members of a zone, in reader order, that a read may be delegated to. Bounds the calls while the
/// platform is unreachable for all.
const MAX_DELEGATION_RANK: usize = 6;

/// Readers per zone.
const READERS_PER_ZONE: usize = 2;

/// Delay before a new reader starts its first watch. A process that has just joined knows few
/// members and would consider itself a reader.
const READER_DELAY: Duration = Duration::from_millis(1_500);

/// Initial and maximum backoff of failed calls. After the platform recovers, some reader must reach
/// it within the 4 s in which a change has to take effect.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// Initial and maximum backoff of reads by processes that are not readers. 860 processes make at
/// most about 20 calls per second while the platform is down.
const FALLBACK_BACKOFF: (Duration, Duration) = (Duration::from_secs(15), Duration::from_secs(90));

/// Age of the latest known platform answer after which a process reads for itself. Above the time
/// in which the age, rounded up at each hop, reaches all processes.
const FALLBACK_AFTER: Duration = Duration::from_secs(15);

/// Time after which an unanswered call is abandoned.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// Mean interval between reads of the list of VMs, with and without live peers.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(60);
const MEMBERS_INTERVAL_ALONE: Duration = Duration::from_secs(2);

/// Jitter of the first read of the list of VMs by processes that have seeds, so that a fleet that
/// starts at once does not read within one second.
const FIRST_MEMBERS_JITTER: Duration = Duration::from_secs(5);

/// State of the calls to the platform.
#[derive(Debug, Default)]
pub(super) struct Calls {
    pending_since: Option<Duration>,
    reader_since: Option<Duration>,
    next_call: Duration,
    failures: u32,
    next_fallback: Option<Duration>,
    next_delegate: Duration,
    /// End of the time in which this process reads in place of a reader.
    delegated_until: Option<Duration>,
    next_members: Duration,
    /// Latest known time at which the platform answered any process.
    pub(super) answered_at: Option<Duration>,
    /// Time of a read that was scheduled apart from watches and fallback reads.
    read_at: Option<Duration>,
    /// Highest revision that failed validation; watches wait for a higher one.
    highest_invalid: u64,
    pub(super) listed: Vec<Member>,
    pub(super) vacancy: vacancy::Vacancy,
}

impl Machine {
    /// Returns true when this process is one of the readers of its zone.
    pub(super) fn is_zone_reader(&self) -> bool {
        let readers = self.readers(&self.config.me.zone);
        readers.contains(&self.config.me.name)
    }

    /// Returns true when this process is a reader of its zone or a delegate of one.
    pub(super) fn watches_platform(&self, now: Duration) -> bool {
        self.is_reader || self.calls.delegated_until.is_some_and(|until| now < until)
    }

    /// Returns the readers of a zone.
    pub(super) fn readers(&self, zone: &str) -> Vec<Arc<str>> {
        let mut ranked = self.ranked_readers(zone);
        ranked.truncate(READERS_PER_ZONE);
        ranked
    }

    /// Returns the members of a zone in the order in which they become readers.
    fn ranked_readers(&self, zone: &str) -> Vec<Arc<str>> {
        let key = rendezvous::hash_name(zone);
        let members = self.table.live();
        let mut ranked: Vec<(u64, Arc<str>)> = members
            .filter(|member| &*member.zone == zone && member.state < State::Leaving)
            .map(|member| {
                let weight = rendezvous::weight(key, rendezvous::hash_name(&member.name));
                (weight, member.name.clone())
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, name)| name).collect()
    }

    /// Schedules one read of the register at a random time within `within`, unless one is
    /// scheduled.
    pub(super) fn schedule_read(&mut self, now: Duration, within: Duration) {
        if self.calls.read_at.is_none() {
            self.calls.read_at = Some(now + self.jitter(within));
        }
    }

    /// Cancels the scheduled read.
    pub(super) fn cancel_read(&mut self) {
        self.calls.read_at = None;
    }

    /// Starts reading in place of a reader of the same zone that cannot reach the platform.
    pub(super) fn handle_delegation(&mut self, now: Duration, from: &str) {
        let same_zone = self
            .table
            .get(from)
            .is_some_and(|member| member.zone == self.config.me.zone);
        if same_zone && self.joined {
            if !self.watches_platform(now) {
                self.calls.next_call = now;
            }
            self.calls.delegated_until = Some(now + DELEGATION_PERIOD);
        }
    }

    /// Delegates to the next two members of the zone while the platform is unreachable.
    fn delegate(&mut self, now: Duration) {
        let calls = &self.calls;
        let overdue = |since: Duration| now >= since + WATCH_OVERDUE;
        let failing = calls.failures > 0 || calls.pending_since.is_some_and(overdue);
        if !failing || now < calls.next_delegate {
            return;
        }
        self.calls.next_delegate = now + DELEGATE_INTERVAL;
        let mut ranked = self.ranked_readers(&self.config.me.zone);
        ranked.truncate(MAX_DELEGATION_RANK);
        let own_rank = ranked.iter().position(|name| *name == self.config.me.name);
        let next = ranked
            .iter()
            .skip(own_rank.map_or(MAX_DELEGATION_RANK, |rank| rank + 1))
            .take(READERS_PER_ZONE);
        let members = next.filter_map(|name| self.table.get(name));
        let peers: Vec<SocketAddr> = members.map(|member| member.peer).collect();
        for peer in peers {
            self.send(peer, Message::Delegate);
        }
    }

    /// Starts the calls that are due.
    pub(super) fn start_due_calls(&mut self, now: Duration) {
        self.read_members_if_due(now);
        let calls = &mut self.calls;
        if calls
            .pending_since
            .is_some_and(|since| now >= since + CALL_TIMEOUT)
        {
            calls.pending_since = None;
        }
        let read_due = calls.read_at.is_some_and(|at| now >= at);
        // A pending watch does not delay a scheduled read of the current register.
        if read_due && now >= calls.next_call {
            calls.read_at = None;
            calls.next_call = now + BACKOFF.0;
            self.start_call(Action::ReadRegister);
            return;
        }
        if !self.joined {
            return;
        }
        let watches = self.watches_platform(now);
        if watches {
            self.delegate(now);
        }
        if self.calls.pending_since.is_some() {
            return;
        }
        if watches {
            let since = *self.calls.reader_since.get_or_insert(now);
            let delay = if self.is_reader {
                READER_DELAY
            } else {
                Duration::ZERO
            };
            if now >= self.calls.next_call.max(since + delay) {
                self.calls.pending_since = Some(now);
                let above = self
                    .configuration
                    .version
                    .revision
                    .max(self.calls.highest_invalid);
                self.start_call(Action::WatchRegister { above });
            }
            return;
        }
        self.calls.reader_since = None;
        if self.fallback_due(now) {
            self.calls.pending_since = Some(now);
            self.start_call(Action::ReadRegister);
        }
    }

    /// Returns true when a fallback read is due, and schedules the next one.
    fn fallback_due(&mut self, now: Duration) -> bool {
        let answered_at = self.calls.answered_at.unwrap_or(self.started_at);
        if now < answered_at + FALLBACK_AFTER {
            self.calls.next_fallback = None;
            return false;
        }
        let Some(at) = self.calls.next_fallback else {
            self.calls.next_fallback = Some(now + self.jitter(FALLBACK_BACKOFF.0));
            return false;
        };
        if now < at {
            return false;
        }
        let wait = backoff(FALLBACK_BACKOFF, self.calls.failures);
        self.calls.next_fallback = Some(now + wait / 2 + self.jitter(wait));
        true
    }

    fn read_members_if_due(&mut self, now: Duration) {
        if self.calls.next_members == Duration::ZERO {
            let has_no_seeds = self.config.seeds.is_empty();
            let within = if has_no_seeds {
                Duration::ZERO
            } else {
                FIRST_MEMBERS_JITTER
            };
            self.calls.next_members = now + self.jitter(within);
        }
        if self.calls.vacancy.read_pending(now, CALL_TIMEOUT) {
            return;
        }
        if now < self.calls.next_members {
            if self.vacancy_read_due(now) {
                self.read_members(now);
            }
            return;
        }
        let has_no_peers = self.table.live().count() == 1;
        let interval = if has_no_peers {
            MEMBERS_INTERVAL_ALONE
        } else {
            MEMBERS_INTERVAL
        };
        self.calls.next_members = now + interval / 2 + self.jitter(interval);
        self.read_members(now);
    }

    fn read_members(&mut self, now: Duration) {
        self.calls.vacancy.read_started(now);
        self.start_call(Action::ReadMembers);
    }

    fn start_call(&mut self, action: Action) {
        self.counters.platform_calls += 1;
        self.actions.push_back(action);
    }

    /// Handles the result of a platform call or of a fetch from a peer.
    pub(super) fn apply_response(&mut self, now: Duration, response: Response) {
        match response {
            Response::Register(register) => self.apply_register(now, register),
            Response::Invalid { revision, reason } => {
                self.calls.highest_invalid = self.calls.highest_invalid.max(revision);
                self.end_call(now, revision > 0);
                let version = mulberrynotch_wire::control::Version {
                    revision,
                    digest: 0,
                };
                self.refuse(now, version, reason);
            }
            Response::Unchanged { published } => {
                self.calls.answered_at = Some(now);
                self.end_call(now, true);
                self.check_published(now, published);
            }
            Response::RegisterFailed => self.end_call(now, false),
            Response::Members(members) => {
                self.apply_vm_list(&members);
                let me = &self.config.me.name;
                self.calls.listed = members.into_iter().filter(|m| m.name != *me).collect();
            }
            Response::MembersFailed => self.calls.vacancy.read_failed(),
            Response::Snapshot(register) => self.finish_fetch(now, Some(register)),
            Response::SnapshotFailed => self.finish_fetch(now, None),
            Response::Entries(members) => self.finish_transfer(now, Some(&members)),
            Response::EntriesFailed => self.finish_transfer(now, None),
        }
    }

    /// Handles the revision that the platform has while it has no higher one. A lower one shows that
    /// the platform lags behind, or returned from a copy: then watches never return what is published
    /// with a revision up to the one in effect.
    fn check_published(&mut self, now: Duration, published: Option<u64>) {
        let Some(revision) = published else {
            return;
        };
        if revision < self.calls.highest_invalid {
            self.calls.highest_invalid = 0;
        }
        let seen = self.configuration.latest.revision;
        if revision < seen {
            let reason = format!(
                "the platform is behind revision {seen}; if it stays so, publish a higher revision"
            );
            let version = mulberrynotch_wire::control::Version {
                revision,
                digest: 0,
            };
            self.refuse(now, version, reason);
        }
    }

    fn apply_register(&mut self, now: Duration, register: Arc<model::Register>) {
        let highest_revision = self.configuration.latest.revision;
        let revision = register.revision;
        if self.joined {
            self.accept_if_newer(now, register.clone());
        } else {
            self.hold_register(now, register.clone());
        }
        // A revision below the highest one seen comes from a stale platform: it confirms nothing
        // and backs off.
        let current = revision >= highest_revision;
        if current {
            self.calls.answered_at = Some(now);
            self.confirm_from_platform(now, &register);
        }
        self.end_call(now, current);
    }

    fn end_call(&mut self, now: Duration, succeeded: bool) {
        self.calls.pending_since = None;
        if succeeded {
            self.calls.failures = 0;
            self.calls.next_call = now + Duration::from_millis(100);
            return;
        }
        let wait = backoff(BACKOFF, self.calls.failures);
        self.calls.failures = self.calls.failures.saturating_add(1);
        self.calls.next_call = now + wait / 2 + self.jitter(wait);
    }

    /// Returns the seconds since the latest known platform answer; 255 for none. Rounded up,
    /// because rounding down would keep the age near zero as it passes from peer to peer.
    pub(super) fn platform_age(&self, now: Duration) -> u8 {
        let Some(answered_at) = self.calls.answered_at else {
            return u8::MAX;
        };
        let age = now.saturating_sub(answered_at).as_millis().div_ceil(1_000);
        u8::try_from(age).unwrap_or(u8::MAX)
    }

    /// Updates the latest known platform answer from the age reported by a peer.
    pub(super) fn update_platform_age(&mut self, now: Duration, age: u8) {
        if age < u8::MAX {
            let answered_at = now.checked_sub(Duration::from_secs(age.into()));
            self.calls.answered_at = self.calls.answered_at.max(answered_at);
        }
    }
}

fn backoff((initial, max): (Duration, Duration), failures: u32) -> Duration {
    (initial * 2_u32.pow(failures.min(8))).min(max)
}
