//! Membership of the balancers, collected from heartbeats that carry samples of members.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;

use crate::message;

/// Largest number of members of this zone that all get each heartbeat.
const MAX_FULL_MESH_MEMBERS: usize = 8;

/// Members of this zone that get each heartbeat in a larger zone.
const FANOUT: usize = 2;

/// Every this many heartbeats, one also goes to a member of another zone.
const FAR_HEARTBEAT_INTERVAL: u64 = 2;

/// Every this many heartbeats, one also goes to an address that may be dead or cut off.
const SILENT_HEARTBEAT_INTERVAL: u64 = 4;

/// Smallest and largest number of members of this zone that a heartbeat carries.
const NEAR_SAMPLE_RANGE: (usize, usize) = (5, 12);

/// Fraction of the members of this zone that a heartbeat carries: one in this many.
const NEAR_SAMPLE_DIVISOR: usize = 8;

/// Members of other zones that a heartbeat carries.
const FAR_SAMPLE_SIZE: usize = 1;

/// Time for a state to propagate through a zone in which not all members hear each other.
const RELAY_DELAY: Duration = Duration::from_millis(1_700);

/// Members in the answer to a joining process.
const MAX_INTRODUCTION_MEMBERS: usize = 40;

/// Silence after which a member counts as dead in a zone whose members all hear each other.
const DEAD_AFTER: Duration = Duration::from_millis(1_400);

/// Silence after which a member counts as dead that is heard of through others, in a zone of up to
/// [`LARGE_ZONE`] members. In a larger zone, heartbeats mention each member less often.
const DEAD_AFTER_RELAYED: Duration = Duration::from_millis(4_500);

/// Zone size above which the silence that a live member may show grows with the number of members.
const LARGE_ZONE: usize = 32;

/// Limit of the silence after which a member of a large zone counts as dead.
const MAX_SILENCE: Duration = Duration::from_secs(12);

/// Silence after which a member is dropped.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Largest number of members that are held.
const MAX_MEMBERS: usize = 2_048;

/// A known balancer.
#[derive(Clone, Debug)]
struct Member {
    zone: Arc<str>,
    incarnation: u64,
    link_mbps: u32,
    heard_at: Duration,
    left: bool,
}

/// View of the members.
#[derive(Debug)]
pub struct Fleet {
    me: message::Member,
    seeds: Vec<SocketAddrV4>,
    members: BTreeMap<SocketAddrV4, Member>,
    random_seed: u64,
    heartbeats_sent: u64,
}

impl Fleet {
    /// Creates a view of `me` only; `seeds` are contacted until other members are known.
    pub fn new(me: message::Member, seeds: Vec<SocketAddrV4>, random_seed: u64) -> Self {
        let mut fleet = Self {
            me,
            seeds: Vec::new(),
            members: BTreeMap::new(),
            random_seed,
            heartbeats_sent: 0,
        };
        fleet.set_seeds(seeds);
        fleet
    }

    /// Returns the member entry of this process.
    pub fn me(&self) -> &message::Member {
        &self.me
    }

    /// Replaces the peers that are contacted first.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        let me = self.me.address;
        self.seeds = seeds.into_iter().filter(|it| *it != me).collect();
    }

    /// Merges the sender and the members of a heartbeat.
    pub fn merge_heartbeat(&mut self, now: Duration, heartbeat: &message::Heartbeat) {
        self.merge_member(now, &heartbeat.sender);
        for member in &heartbeat.members {
            self.merge_member(now, member);
        }
        if let Some(sender) = self.members.get_mut(&heartbeat.sender.address) {
            sender.left = heartbeat.leaving;
        }
    }

    /// Merges a member that a peer reported.
    pub fn merge_member(&mut self, now: Duration, reported: &message::Member) {
        let silence = Duration::from_millis(reported.silent_ms.into());
        if reported.address == self.me.address || silence >= FORGOTTEN_AFTER {
            return;
        }
        let heard_at = now.saturating_sub(silence);
        if let Some(known) = self.members.get_mut(&reported.address) {
            if reported.incarnation > known.incarnation {
                known.incarnation = reported.incarnation;
                known.link_mbps = reported.link_mbps;
                known.left = false;
            }
            if reported.incarnation == known.incarnation {
                known.heard_at = known.heard_at.max(heard_at);
            }
        } else if self.members.len() < MAX_MEMBERS {
            let member = Member {
                zone: reported.zone.clone(),
                incarnation: reported.incarnation,
                link_mbps: reported.link_mbps,
                heard_at,
                left: false,
            };
            self.members.insert(reported.address, member);
        }
    }

    /// Drops members that have been silent for too long.
    pub fn expire(&mut self, now: Duration) {
        self.members
            .retain(|_, it| now.saturating_sub(it.heard_at) < FORGOTTEN_AFTER);
    }

    /// Returns the live members of a zone, except this process.
    pub fn live<'a>(
        &'a self,
        now: Duration,
        zone: &'a str,
    ) -> impl Iterator<Item = SocketAddrV4> + 'a {
        let limit = self.dead_after(zone);
        self.members
            .iter()
            .filter(move |(_, it)| *it.zone == *zone)
            .filter(move |(_, it)| !it.left && now.saturating_sub(it.heard_at) < limit)
            .map(|(address, _)| *address)
    }

    /// Returns the live members of this zone, those heard of last first, since they are most likely
    /// to be alive.
    pub fn freshest(&self, now: Duration) -> Vec<SocketAddrV4> {
        let mut members: Vec<_> = self.live(now, &self.me.zone).collect();
        members.sort_by_key(|address| {
            let heard_at = self.members.get(address).map(|member| member.heard_at);
            std::cmp::Reverse(heard_at)
        });
        members
    }

    /// Returns the live members of all zones, except this process.
    pub fn live_anywhere(&self, now: Duration) -> impl Iterator<Item = SocketAddrV4> {
        let limit = DEAD_AFTER_RELAYED;
        self.members
            .iter()
            .filter(move |(_, it)| !it.left && now.saturating_sub(it.heard_at) < limit)
            .map(|(address, _)| *address)
    }

    /// Returns the zone of a member.
    pub fn zone_of(&self, address: SocketAddrV4) -> Option<&Arc<str>> {
        self.members.get(&address).map(|it| &it.zone)
    }

    /// Returns at most `max_count` random live members of another zone. If none is live, samples all
    /// known ones, since a partition makes them look dead.
    pub fn sample_zone(
        &mut self,
        now: Duration,
        zone: &str,
        max_count: usize,
    ) -> Vec<SocketAddrV4> {
        let mut members: Vec<_> = self.live(now, zone).collect();
        if members.is_empty() {
            let known = self.members.iter().filter(|(_, it)| *it.zone == *zone);
            members = known.map(|(address, _)| *address).collect();
        }
        self.sample(members, max_count)
    }

    /// Returns at most `max_count` random live members of this zone.
    pub fn sample_own_zone(&mut self, now: Duration, max_count: usize) -> Vec<SocketAddrV4> {
        let own_zone = self.me.zone.clone();
        let near = self.live(now, &own_zone).collect();
        self.sample(near, max_count)
    }

    /// Returns whether this process is among the first `count` live members of its zone in the
    /// order given by `key`. Members with the same view agree without exchanging messages.
    pub fn is_selected(&self, now: Duration, key: u64, count: usize) -> bool {
        let weight = |address: SocketAddrV4| rendezvous::hash_address(address.into(), key);
        let own = weight(self.me.address);
        let ranked_higher = self.live(now, &self.me.zone).filter(|it| weight(*it) > own);
        ranked_higher.take(count).count() < count
    }

    /// Returns the rank of this process among the live members of its zone; rank 0 reads the store
    /// for the zone. The reader also sends all changes to the zone, which would delay client
    /// packets for seconds on a low-bandwidth link, so members with more bandwidth come first.
    pub fn rank(&self, now: Duration) -> usize {
        let order = |address: SocketAddrV4, link_mbps: u32| {
            let weight = rendezvous::hash_address(address.into(), 0);
            (link_mbps.checked_ilog2(), weight)
        };
        let own = order(self.me.address, self.me.link_mbps);
        let links = self.live(now, &self.me.zone).filter_map(|address| {
            let member = self.members.get(&address)?;
            Some(order(address, member.link_mbps))
        });
        links.filter(|it| *it > own).count()
    }

    /// Returns the number of balancers that may be sending to a target: all known ones, including
    /// dead ones and this process.
    pub fn possible_senders(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns the number of known members of this zone.
    fn zone_size(&self) -> usize {
        let zone = &self.me.zone;
        self.members.values().filter(|it| it.zone == *zone).count()
    }

    fn dead_after(&self, zone: &str) -> Duration {
        match self.zone_size() {
            _ if *zone != *self.me.zone => DEAD_AFTER_RELAYED,
            size if size <= MAX_FULL_MESH_MEMBERS => DEAD_AFTER,
            size if size <= LARGE_ZONE => DEAD_AFTER_RELAYED,
            size => {
                let size = u32::try_from(size).unwrap_or(u32::MAX);
                let large = u32::try_from(LARGE_ZONE).unwrap_or(1);
                let silence = DEAD_AFTER_RELAYED.saturating_mul(size) / large;
                silence.min(MAX_SILENCE)
            }
        }
    }

    /// Returns the time for a state to propagate through the whole zone by heartbeats.
    pub fn relay_delay(&self) -> Duration {
        if self.zone_size() <= MAX_FULL_MESH_MEMBERS {
            Duration::ZERO
        } else {
            RELAY_DELAY
        }
    }

    /// Returns whether this process knows no live member but has seeds to contact.
    pub fn is_joining(&self, now: Duration) -> bool {
        !self.seeds.is_empty() && self.live_anywhere(now).next().is_none()
    }

    /// Returns the recipients of the next heartbeat.
    pub fn recipients(&mut self, now: Duration) -> Vec<SocketAddrV4> {
        self.heartbeats_sent += 1;
        let own_zone = self.me.zone.clone();
        let mut chosen: Vec<_> = self.live(now, &own_zone).collect();
        if chosen.len() > MAX_FULL_MESH_MEMBERS {
            chosen = self.sample(chosen, FANOUT);
        }
        if self.heartbeats_sent.is_multiple_of(FAR_HEARTBEAT_INTERVAL) || chosen.is_empty() {
            let far = self.live_elsewhere(now);
            chosen.extend(self.sample(far, 1));
        }
        if chosen.is_empty() {
            chosen = self.other_addresses(&[]);
        } else if self
            .heartbeats_sent
            .is_multiple_of(SILENT_HEARTBEAT_INTERVAL)
        {
            // Contact with addresses that look dead lets the sides of a healed partition find each
            // other.
            let other_addresses = self.other_addresses(&chosen);
            chosen.extend(self.sample(other_addresses, 1));
        }
        chosen
    }

    /// Returns the seeds and known members, including dead ones, that are not among `chosen`.
    fn other_addresses(&self, chosen: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let mut other_addresses = self.seeds.clone();
        other_addresses.extend(self.members.keys());
        other_addresses.sort_unstable();
        other_addresses.dedup();
        other_addresses.retain(|it| !chosen.contains(it));
        other_addresses
    }

    fn live_elsewhere(&self, now: Duration) -> Vec<SocketAddrV4> {
        let own_zone = &self.me.zone;
        let elsewhere =
            |it: &SocketAddrV4| self.members.get(it).is_some_and(|it| it.zone != *own_zone);
        self.live_anywhere(now).filter(elsewhere).collect()
    }

    /// Returns the members for an answer to a joining process.
    pub fn introduction(&mut self, now: Duration) -> Vec<message::Member> {
        let members = self.live_anywhere(now).collect();
        self.sample_entries(now, members, MAX_INTRODUCTION_MEMBERS)
    }

    /// Returns the members for a heartbeat.
    pub fn gossip(&mut self, now: Duration) -> Vec<message::Member> {
        let own_zone = self.me.zone.clone();
        let near: Vec<_> = self.live(now, &own_zone).collect();
        let far = self.live_elsewhere(now);
        let (min, max) = NEAR_SAMPLE_RANGE;
        let sample = (near.len() / NEAR_SAMPLE_DIVISOR).clamp(min, max);
        let mut entries = self.sample_entries(now, near, sample);
        entries.extend(self.sample_entries(now, far, FAR_SAMPLE_SIZE));
        entries
    }

    fn sample_entries(
        &mut self,
        now: Duration,
        addresses: Vec<SocketAddrV4>,
        max_count: usize,
    ) -> Vec<message::Member> {
        let chosen = self.sample(addresses, max_count);
        let entries = chosen.iter().filter_map(|address| {
            let member = self.members.get(address)?;
            let silence = now.saturating_sub(member.heard_at).as_millis();
            Some(message::Member {
                address: *address,
                zone: member.zone.clone(),
                incarnation: member.incarnation,
                link_mbps: member.link_mbps,
                silent_ms: u32::try_from(silence).unwrap_or(u32::MAX),
            })
        });
        entries.collect()
    }

    /// Returns at most `max_count` random items.
    fn sample(&mut self, mut items: Vec<SocketAddrV4>, max_count: usize) -> Vec<SocketAddrV4> {
        if items.len() <= max_count {
            return items;
        }
        for position in 0..max_count {
            let rest = items.len() - position;
            let other = position + self.random_below(rest);
            items.swap(position, other);
        }
        items.truncate(max_count);
        items
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.random_seed = rendezvous::weight(self.random_seed, 1);
        let below = u64::try_from(below).unwrap_or(u64::MAX).max(1);
        usize::try_from(self.random_seed % below).unwrap_or(0)
    }
}
