//! Calls to the platform: readers' watches, fallback reads and the list of VMs.

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
    Platform,
    vacancy, //
};
use crate::rendezvous;

/// Time that the driver lets the platform hold a watch. A reader whose watch no answer ends notices
/// only then that it is cut off; 22 readers at the design scale make 22 calls a second.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);

/// A watch without an answer for so long shows that the platform is out of reach.
const WATCH_OVERDUE: Duration = Duration::from_millis(1_500);

/// Time between two requests of a reader that cannot reach the platform to others to read instead,
/// and how long such a request holds.
const DELEGATE_INTERVAL: Duration = Duration::from_secs(1);
const DELEGATED: Duration = Duration::from_secs(5);

/// Members of a zone, in the order of readers, that may be asked to read. Bounds the calls while
/// the platform is down for all.
const DELEGATES: usize = 6;

/// Readers per zone.
const READERS: usize = 2;

/// A process that has just joined sees few members and would take itself for a reader.
const READER_DELAY: Duration = Duration::from_millis(1_500);

/// Backoff of failed calls: first and longest. A platform that is back has to be heard by some
/// reader within the 4 s that a change may take.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// Backoff of reads by processes that are not readers: first and longest. 860 processes make at
/// most about 20 calls a second while the platform is down.
const FALLBACK_BACKOFF: (Duration, Duration) = (Duration::from_secs(15), Duration::from_secs(90));

/// A process that has heard for so long of no reader with an answer of the platform reads itself;
/// above the time that the age of an answer takes to reach all, rounded up at each hop.
const FALLBACK_AFTER: Duration = Duration::from_secs(15);

/// A call without an answer for so long is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// Time between reads of the list of VMs; a process without peers reads it more often.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(60);
const MEMBERS_INTERVAL_ALONE: Duration = Duration::from_secs(2);

/// Spread of the first read of the list of VMs by processes that have seeds to join by, so that a
/// whole fleet that starts at once does not read in one second.
const FIRST_MEMBERS_WITHIN: Duration = Duration::from_secs(5);

/// State of the calls to the platform.
#[derive(Debug, Default)]
pub(super) struct Calls {
    pending_since: Option<Duration>,
    reader_since: Option<Duration>,
    next: Duration,
    failures: u32,
    next_fallback: Option<Duration>,
    next_delegate: Duration,
    /// Until when the process reads in place of a reader.
    delegated_until: Option<Duration>,
    next_members: Duration,
    /// Latest answer of the platform to a reader, as far as is known.
    pub(super) fresh_at: Option<Duration>,
    /// Reads that other parts of the machine wait for.
    wanted_at: Option<Duration>,
    /// Highest revision that failed validation; watches wait for a later one.
    invalid: u64,
    pub(super) listed: Vec<Member>,
    pub(super) vacancy: vacancy::Vacancy,
}

impl Machine {
    /// True when the process is a reader of its zone.
    pub(super) fn find_reader(&self) -> bool {
        let readers = self.readers(&self.config.me.zone);
        readers.contains(&self.config.me.name)
    }

    /// True when the process is a reader of its zone, or reads in place of one.
    pub(super) fn reads(&self, now: Duration) -> bool {
        self.reader || self.calls.delegated_until.is_some_and(|until| now < until)
    }

    /// Readers of a zone.
    pub(super) fn readers(&self, zone: &str) -> Vec<Arc<str>> {
        let mut ranked = self.ranked_readers(zone);
        ranked.truncate(READERS);
        ranked
    }

    /// Members of a zone in the order in which they become readers.
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

    /// Asks for one read of the register, spread over `within`.
    pub(super) fn want_read(&mut self, now: Duration, within: Duration) {
        if self.calls.wanted_at.is_none() {
            self.calls.wanted_at = Some(now + self.jitter(within));
        }
    }

    /// Drops a read that nothing waits for any more.
    pub(super) fn forget_read(&mut self) {
        self.calls.wanted_at = None;
    }

    /// Reads in place of a reader of the own zone that cannot reach the platform.
    pub(super) fn take_delegation(&mut self, now: Duration, from: &str) {
        let own = self
            .table
            .get(from)
            .is_some_and(|member| member.zone == self.config.me.zone);
        if own && self.joined {
            if !self.reads(now) {
                self.calls.next = now;
            }
            self.calls.delegated_until = Some(now + DELEGATED);
        }
    }

    /// Asks the next two members of the zone to read, while the platform is out of reach.
    fn delegate(&mut self, now: Duration) {
        let calls = &self.calls;
        let overdue = |since: Duration| now >= since + WATCH_OVERDUE;
        let failing = calls.failures > 0 || calls.pending_since.is_some_and(overdue);
        if !failing || now < calls.next_delegate {
            return;
        }
        self.calls.next_delegate = now + DELEGATE_INTERVAL;
        let mut ranked = self.ranked_readers(&self.config.me.zone);
        ranked.truncate(DELEGATES);
        let own = ranked.iter().position(|name| *name == self.config.me.name);
        let next = ranked
            .iter()
            .skip(own.map_or(DELEGATES, |own| own + 1))
            .take(READERS);
        let members = next.filter_map(|name| self.table.get(name));
        let peers: Vec<SocketAddr> = members.map(|member| member.peer).collect();
        for peer in peers {
            self.send(peer, Message::Delegate);
        }
    }

    /// Starts the calls that are due.
    pub(super) fn call(&mut self, now: Duration) {
        self.call_members(now);
        let calls = &mut self.calls;
        if calls
            .pending_since
            .is_some_and(|since| now >= since + CALL_TIMEOUT)
        {
            calls.pending_since = None;
        }
        let wanted = calls.wanted_at.is_some_and(|at| now >= at);
        // A watch that waits does not keep a process from asking what is in effect now.
        if wanted && now >= calls.next {
            calls.wanted_at = None;
            calls.next = now + BACKOFF.0;
            self.start_call(Action::ReadRegister);
            return;
        }
        if !self.joined {
            return;
        }
        let reads = self.reads(now);
        if reads {
            self.delegate(now);
        }
        if self.calls.pending_since.is_some() {
            return;
        }
        if reads {
            let since = *self.calls.reader_since.get_or_insert(now);
            let delay = if self.reader {
                READER_DELAY
            } else {
                Duration::ZERO
            };
            if now >= self.calls.next.max(since + delay) {
                self.calls.pending_since = Some(now);
                let above = self.configuration.version.revision.max(self.calls.invalid);
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

    /// True when no reader was heard of for long enough; then the next time is set.
    fn fallback_due(&mut self, now: Duration) -> bool {
        let fresh_at = self.calls.fresh_at.unwrap_or(self.started);
        if now < fresh_at + FALLBACK_AFTER {
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

    fn call_members(&mut self, now: Duration) {
        if self.calls.next_members == Duration::ZERO {
            let alone = self.config.seeds.is_empty();
            let within = if alone {
                Duration::ZERO
            } else {
                FIRST_MEMBERS_WITHIN
            };
            self.calls.next_members = now + self.jitter(within);
        }
        if self.calls.vacancy.waits(now, CALL_TIMEOUT) {
            return;
        }
        if now < self.calls.next_members {
            if self.vacancy_read_due(now) {
                self.read_members(now);
            }
            return;
        }
        let alone = self.table.live().count() == 1;
        let interval = if alone {
            MEMBERS_INTERVAL_ALONE
        } else {
            MEMBERS_INTERVAL
        };
        self.calls.next_members = now + interval / 2 + self.jitter(interval);
        self.read_members(now);
    }

    fn read_members(&mut self, now: Duration) {
        self.calls.vacancy.asked(now);
        self.start_call(Action::ReadMembers);
    }

    fn start_call(&mut self, action: Action) {
        self.counters.platform_calls += 1;
        self.actions.push_back(action);
    }

    /// Handles an answer of the platform.
    pub(super) fn answered(&mut self, now: Duration, answer: Platform) {
        match answer {
            Platform::Register(register) => self.answered_register(now, register),
            Platform::Invalid { revision, reason } => {
                self.calls.invalid = self.calls.invalid.max(revision);
                self.call_ended(now, revision > 0);
                let version = mulberrynotch_wire::control::Version {
                    revision,
                    digest: 0,
                };
                self.refuse(now, version, reason);
            }
            Platform::Unchanged => {
                self.calls.fresh_at = Some(now);
                self.call_ended(now, true);
            }
            Platform::Failed => self.call_ended(now, false),
            Platform::Members(members) => {
                self.note_listed(&members);
                let me = &self.config.me.name;
                self.calls.listed = members.into_iter().filter(|m| m.name != *me).collect();
            }
            Platform::MembersFailed => self.calls.vacancy.failed(),
            Platform::Snapshot(register) => self.fetched(now, Some(register)),
            Platform::SnapshotFailed => self.fetched(now, None),
            Platform::Entries(members) => self.transferred(now, Some(&members)),
            Platform::EntriesFailed => self.transferred(now, None),
        }
    }

    fn answered_register(&mut self, now: Duration, register: Arc<model::Register>) {
        let highest = self.configuration.highest;
        let revision = register.revision;
        if self.joined {
            self.offer(now, register.clone());
        } else {
            self.hold(now, register.clone());
        }
        // An answer below what is known comes from a stale platform: backs off, confirms nothing.
        let current = revision >= highest;
        if current {
            self.calls.fresh_at = Some(now);
            self.confirmed_by_platform(now, &register);
        }
        self.call_ended(now, current);
    }

    fn call_ended(&mut self, now: Duration, succeeded: bool) {
        self.calls.pending_since = None;
        if succeeded {
            self.calls.failures = 0;
            self.calls.next = now + Duration::from_millis(100);
            return;
        }
        let wait = backoff(BACKOFF, self.calls.failures);
        self.calls.failures = self.calls.failures.saturating_add(1);
        self.calls.next = now + wait / 2 + self.jitter(wait);
    }

    /// Seconds since the latest known answer of the platform to a reader, rounded up: rounding
    /// down would keep the age near zero while it passes from peer to peer.
    pub(super) fn platform_age(&self, now: Duration) -> u8 {
        let Some(fresh_at) = self.calls.fresh_at else {
            return u8::MAX;
        };
        let age = now.saturating_sub(fresh_at).as_millis().div_ceil(1_000);
        u8::try_from(age).unwrap_or(u8::MAX)
    }

    /// Takes note of the age that a peer knows.
    pub(super) fn note_platform_age(&mut self, now: Duration, age: u8) {
        if age < u8::MAX {
            let fresh_at = now.checked_sub(Duration::from_secs(age.into()));
            self.calls.fresh_at = self.calls.fresh_at.max(fresh_at);
        }
    }
}

fn backoff((first, longest): (Duration, Duration), failures: u32) -> Duration {
    (first * 2_u32.pow(failures.min(8))).min(longest)
}
