//! Member table: states ordered by incarnation, tombstones and digests for repair.

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

/// Buckets with a digest each. A bucket of a table with 860 members fills a datagram.
pub(super) const BUCKETS: usize = 32;

/// Time that tombstones are kept; longer than the dissemination of a death takes. An older entry
/// still in circulation would otherwise bring the dead member back.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Interval between purges of old tombstones.
const PURGE_INTERVAL: Duration = Duration::from_secs(10);

/// Member and the time of its last change.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) member: Member,
    pub(super) changed_at: Duration,
}

/// Outcome of [`Table::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Not stored: the same entry or a newer one is held.
    Unchanged,
    /// Stored without an effect on the view.
    Stored,
    /// Stored with a change to the live members that the view shows.
    Visible,
}

/// Member table of a process, with its own entry.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Times at which suspects are declared dead.
    deadlines: BTreeMap<Arc<str>, Duration>,
    buckets: Vec<u32>,
    /// Members that are not dead, in the order of the hash of their names.
    ring: Vec<(u64, Arc<str>)>,
    ring_stale: bool,
    /// Time of the last change to the live members that the view shows.
    pub(super) changed_at: Duration,
    /// Time at which a member was last suspected or declared dead.
    pub(super) suspected_at: Option<Duration>,
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

    /// Returns the time at which a suspect is declared dead.
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

    /// Returns the suspects whose time to refute has passed.
    pub(super) fn expired_suspects(&self, now: Duration) -> Vec<Arc<str>> {
        let due = self.deadlines.iter().filter(|(_, at)| now >= **at);
        due.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the members that are not dead, the local one included, sorted by name.
    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.entries
            .values()
            .map(|entry| &entry.member)
            .filter(|member| member.state != State::Dead)
    }

    /// Returns the live members in the order of the hash of their names.
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

    /// Returns the next live member after `name` on the ring that is not suspected.
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

    /// Stores `member` when it is newer than the entry held.
    pub(super) fn apply(&mut self, now: Duration, member: &Member) -> Outcome {
        let old = self.entries.get(&member.name).map(|entry| &entry.member);
        let is_newer =
            old.is_none_or(|old| (member.incarnation, member.state) > (old.incarnation, old.state));
        if !is_newer {
            return Outcome::Unchanged;
        }
        let is_visible = match old {
            None => member.state != State::Dead,
            Some(old) => view_fields(old) != view_fields(member),
        };
        let old_hash = old.map_or(0, entry_hash);
        let bucket = bucket_index(&member.name);
        self.buckets[bucket] ^= old_hash ^ entry_hash(member);
        let entry = Entry {
            member: member.clone(),
            changed_at: now,
        };
        self.deadlines.remove(&member.name);
        if matches!(member.state, State::Suspect | State::Dead) {
            self.suspected_at = Some(now);
        }
        self.entries.insert(member.name.clone(), entry);
        if !is_visible {
            return Outcome::Stored;
        }
        self.ring_stale = true;
        self.changed_at = now;
        Outcome::Visible
    }

    /// Removes tombstones older than [`TOMBSTONE_RETENTION`].
    pub(super) fn purge(&mut self, now: Duration) {
        if now < self.next_purge {
            return;
        }
        self.next_purge = now + PURGE_INTERVAL;
        self.entries.retain(|_, entry| {
            entry.member.state != State::Dead || now < entry.changed_at + TOMBSTONE_RETENTION
        });
    }

    /// Returns the digest of each bucket.
    pub(super) fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Returns the hashes of the entries of members that are not dead.
    pub(super) fn entry_hashes(&self) -> impl Iterator<Item = [u8; 4]> {
        self.live().map(|member| entry_hash(member).to_le_bytes())
    }

    /// Returns the entries missing from a table with these hashes, and the dead members that it
    /// holds as live.
    pub(super) fn missing(&self, held: &[[u8; 4]]) -> Vec<Member> {
        let held: HashSet<&[u8; 4]> = held.iter().collect();
        let members = self.entries.values().map(|entry| &entry.member);
        let missing = members.filter(|member| {
            let dead = member.state == State::Dead;
            let state = if dead { State::Alive } else { member.state };
            let as_held = Member {
                state,
                ..(*member).clone()
            };
            held.contains(&entry_hash(&as_held).to_le_bytes()) == dead
        });
        // Suspects are returned as alive. Suspicions are left to dissemination, as every receiver
        // would start its own timeout.
        let entries = missing.cloned().map(|member| match member.state {
            State::Suspect => Member {
                state: State::Alive,
                ..member
            },
            _ => member,
        });
        entries.collect()
    }

    /// Returns the digest of the whole table.
    pub(super) fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |digest, bucket| {
            rendezvous::weight(digest, u64::from(*bucket))
        })
    }

    /// Returns the entries of a bucket, tombstones included.
    pub(super) fn bucket_entries(&self, index: usize) -> impl Iterator<Item = &Member> {
        self.entries
            .values()
            .map(|entry| &entry.member)
            .filter(move |member| bucket_index(&member.name) == index)
    }
}

/// Returns the fields of a member that the view depends on; a suspect counts as live.
fn view_fields(member: &Member) -> (bool, bool, &str, std::net::SocketAddr) {
    let dead = member.state == State::Dead;
    let leaving = member.state == State::Leaving;
    (dead, leaving, &member.zone, member.peer)
}

fn bucket_index(name: &str) -> usize {
    usize::try_from(rendezvous::hash_name(name) % 32).unwrap_or(0)
}

/// Returns the hash of an entry for digests. A suspicion does not change it, or else each one would
/// cause repairs across the fleet.
fn entry_hash(member: &Member) -> u32 {
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
