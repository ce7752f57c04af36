//! Member table: states by incarnation, tombstones, digests for repair.

use std::{
    collections::{
        BTreeMap,
        HashSet, //
    },
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_wire::control::{
    Member,
    State, //
};

use crate::rendezvous;

/// Buckets of the table that digests are exchanged for; a bucket of 860 members fills a datagram.
pub(super) const BUCKETS: usize = 32;

/// Tombstones outlive the spread of a death; older entries would bring dead members back.
const TOMBSTONE: Duration = Duration::from_secs(600);

/// Time between two searches for old tombstones.
const PURGE_INTERVAL: Duration = Duration::from_secs(10);

/// A member and when it last changed.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) member: Member,
    pub(super) changed_at: Duration,
}

/// What `Table::apply` did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Known already, or older.
    Nothing,
    /// Stored; the set of live members is the same.
    Stored,
    /// Stored, and the set of live members, or one of them, differs for the view.
    Visible,
}

/// Member table of a process, itself included.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: BTreeMap<Arc<str>, Entry>,
    /// When suspects are declared dead.
    deadlines: BTreeMap<Arc<str>, Duration>,
    buckets: Vec<u32>,
    /// Members that are not dead, in the order of the hash of their names.
    ring: Vec<(u64, Arc<str>)>,
    ring_stale: bool,
    /// When the set of live members last changed.
    pub(super) changed_at: Duration,
    /// When a member was last suspected or declared dead.
    pub(super) missed_at: Option<Duration>,
    next_purge: Duration,
}

impl Table {
    pub(super) fn new(me: &Member) -> Self {
        let mut table = Self {
            buckets: vec![0; BUCKETS],
            ..Self::default()
        };
        table.apply(Duration::ZERO, me);
        table
    }

    pub(super) fn get(&self, name: &str) -> Option<&Member> {
        self.entries.get(name).map(|entry| &entry.member)
    }

    /// When a suspect is declared dead.
    pub(super) fn deadline(&self, name: &str) -> Option<Duration> {
        self.deadlines.get(name).copied()
    }

    pub(super) fn set_deadline(&mut self, name: &str, deadline: Duration) {
        if let Some(entry) = self.entries.get(name) {
            let name = entry.member.name.clone();
            self.deadlines.insert(name, deadline);
        }
    }

    pub(super) fn clear_deadline(&mut self, name: &str) {
        self.deadlines.remove(name);
    }

    /// Suspects whose time to refute has passed.
    pub(super) fn due(&self, now: Duration) -> Vec<Arc<str>> {
        let due = self.deadlines.iter().filter(|(_, at)| now >= **at);
        due.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Members that are not dead, the process itself included, sorted by name.
    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.entries
            .values()
            .map(|entry| &entry.member)
            .filter(|member| member.state != State::Dead)
    }

    /// Live members in the order of the hash of their names.
    pub(super) fn ring(&mut self) -> &[(u64, Arc<str>)] {
        if self.ring_stale {
            let mut ring: Vec<(u64, Arc<str>)> = self
                .live()
                .map(|member| (rendezvous::hash_name(&member.name), member.name.clone()))
                .collect();
            ring.sort_unstable();
            self.ring = ring;
            self.ring_stale = false;
        }
        &self.ring
    }

    /// Next live and unsuspected member after `name` on the ring.
    pub(super) fn successor(&mut self, name: &str) -> Option<Arc<str>> {
        let hash = rendezvous::hash_name(name);
        let ring = self.ring();
        let start = ring.partition_point(|(other, _)| *other <= hash);
        let candidates = ring[start..].iter().chain(&ring[..start]).cloned();
        let candidates: Vec<Arc<str>> = candidates.map(|(_, name)| name).take(64).collect();
        candidates.into_iter().find(|candidate| {
            &**candidate != name
                && self.get(candidate).map(|member| member.state) != Some(State::Suspect)
        })
    }

    /// Stores `member` when it is newer than what the table holds.
    pub(super) fn apply(&mut self, now: Duration, member: &Member) -> Outcome {
        let old = self.entries.get(&member.name).map(|entry| &entry.member);
        let newer =
            old.is_none_or(|old| (member.incarnation, member.state) > (old.incarnation, old.state));
        if !newer {
            return Outcome::Nothing;
        }
        let visible = match old {
            None => member.state != State::Dead,
            Some(old) => seen(old) != seen(member),
        };
        let old_hash = old.map_or(0, hash);
        let bucket = bucket(&member.name);
        self.buckets[bucket] ^= old_hash ^ hash(member);
        let entry = Entry {
            member: member.clone(),
            changed_at: now,
        };
        self.deadlines.remove(&member.name);
        if matches!(member.state, State::Suspect | State::Dead) {
            self.missed_at = Some(now);
        }
        self.entries.insert(member.name.clone(), entry);
        if !visible {
            return Outcome::Stored;
        }
        self.ring_stale = true;
        self.changed_at = now;
        Outcome::Visible
    }

    /// Forgets tombstones that are old enough.
    pub(super) fn purge(&mut self, now: Duration) {
        if now < self.next_purge {
            return;
        }
        self.next_purge = now + PURGE_INTERVAL;
        self.entries.retain(|_, entry| {
            entry.member.state != State::Dead || now < entry.changed_at + TOMBSTONE
        });
    }

    /// Digest of each bucket.
    pub(super) fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Hashes of the entries of members that are not dead.
    pub(super) fn hashes(&self) -> impl Iterator<Item = [u8; 4]> {
        self.live().map(|member| hash(member).to_le_bytes())
    }

    /// Entries that a process with these hashes does not hold, and members that it takes for
    /// live and that are dead.
    pub(super) fn missing(&self, held: &[[u8; 4]]) -> Vec<Member> {
        let held: HashSet<&[u8; 4]> = held.iter().collect();
        let members = self.entries.values().map(|entry| &entry.member);
        let missing = members.filter(|member| {
            let dead = member.state == State::Dead;
            let state = if dead { State::Alive } else { member.state };
            let shown = Member {
                state,
                ..(*member).clone()
            };
            held.contains(&hash(&shown).to_le_bytes()) == dead
        });
        // A suspicion is for those who spread it: every receiver would start its own timer.
        let shown = missing.cloned().map(|member| match member.state {
            State::Suspect => Member {
                state: State::Alive,
                ..member
            },
            _ => member,
        });
        shown.collect()
    }

    /// Digest over all buckets.
    pub(super) fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |digest, bucket| {
            rendezvous::weight(digest, u64::from(*bucket))
        })
    }

    /// Entries of a bucket, tombstones included.
    pub(super) fn bucket(&self, wanted: usize) -> impl Iterator<Item = &Member> {
        self.entries
            .values()
            .map(|entry| &entry.member)
            .filter(move |member| bucket(&member.name) == wanted)
    }
}

/// What the view shows of a member; suspects count as live.
fn seen(member: &Member) -> (bool, bool, &str, std::net::SocketAddr) {
    let dead = member.state == State::Dead;
    let leaving = member.state == State::Leaving;
    (dead, leaving, &member.zone, member.peer)
}

fn bucket(name: &str) -> usize {
    usize::try_from(rendezvous::hash_name(name) % 32).unwrap_or(0)
}

/// A suspicion does not change the digest, or each one would cause repairs all over the fleet.
fn hash(member: &Member) -> u32 {
    if member.state == State::Dead {
        return 0;
    }
    let state = u64::from(member.state == State::Leaving);
    let mixed = rendezvous::weight(
        rendezvous::hash_name(&member.name) ^ state,
        member.incarnation,
    );
    u32::try_from(mixed >> 32).unwrap_or(0)
}
