//! Membership: which balancers are alive, learnt from heartbeats that carry samples of members.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;

use crate::message;

/// Members of the own zone up to which every one gets each heartbeat.
const FULL_MESH: usize = 8;

/// Members of the own zone that get each heartbeat in a larger zone.
const FANOUT: usize = 2;

/// Heartbeats of which one also goes to a member of another zone.
const FAR_PERIOD: u64 = 2;

/// Heartbeats of which one also goes to an address that may be dead or cut off.
const SILENT_PERIOD: u64 = 4;

/// Members of the own zone that one heartbeat carries at least, and at most.
const NEAR_SAMPLE: (usize, usize) = (5, 12);

/// Members of the own zone for each one that a heartbeat carries.
const SAMPLED_PART: usize = 8;

/// Members of other zones that one heartbeat carries.
const FAR_SAMPLE: usize = 1;

/// Time that news takes to pass through a zone in which not all hear each other.
const RELAY: Duration = Duration::from_millis(1_200);

/// Members that an answer to a joining process carries.
const INTRODUCTION: usize = 40;

/// Silence after which a member is taken for dead, in a zone where all hear each other.
const DEAD_AFTER: Duration = Duration::from_millis(1_400);

/// Silence after which a member is taken for dead that is heard of through others, in a zone of up
/// to [`LARGE_ZONE`] members. News of a member comes more rarely in a larger one.
const DEAD_AFTER_RELAYED: Duration = Duration::from_millis(4_500);

/// Members of a zone from which on the silence of a live one grows with their number.
const LARGE_ZONE: usize = 32;

/// Longest silence of a live member.
const LONGEST_SILENCE: Duration = Duration::from_secs(12);

/// Silence after which a member is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Members held at most.
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

/// The members that a balancer knows.
#[derive(Debug)]
pub struct Fleet {
    me: message::Member,
    seeds: Vec<SocketAddrV4>,
    members: BTreeMap<SocketAddrV4, Member>,
    random: u64,
    /// Heartbeats sent.
    beats: u64,
}

impl Fleet {
    /// Knows only `me`; `seeds` are contacted until others are known.
    pub fn new(me: message::Member, seeds: Vec<SocketAddrV4>, random: u64) -> Self {
        let mut fleet = Self {
            me,
            seeds: Vec::new(),
            members: BTreeMap::new(),
            random,
            beats: 0,
        };
        fleet.set_seeds(seeds);
        fleet
    }

    /// The process itself.
    pub fn me(&self) -> &message::Member {
        &self.me
    }

    /// Replaces the peers that are contacted first.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        let me = self.me.address;
        self.seeds = seeds.into_iter().filter(|it| *it != me).collect();
    }

    /// Takes in a heartbeat.
    pub fn heard(&mut self, now: Duration, heartbeat: &message::Heartbeat) {
        self.learn(now, &heartbeat.sender);
        for member in &heartbeat.members {
            self.learn(now, member);
        }
        if let Some(sender) = self.members.get_mut(&heartbeat.sender.address) {
            sender.left = heartbeat.leaving;
        }
    }

    /// Takes in a member that a peer told of.
    pub fn learn(&mut self, now: Duration, told: &message::Member) {
        let silent = Duration::from_millis(told.silent_ms.into());
        if told.address == self.me.address || silent >= FORGOTTEN_AFTER {
            return;
        }
        let heard_at = now.saturating_sub(silent);
        if let Some(known) = self.members.get_mut(&told.address) {
            if told.incarnation > known.incarnation {
                known.incarnation = told.incarnation;
                known.link_mbps = told.link_mbps;
                known.left = false;
            }
            if told.incarnation == known.incarnation {
                known.heard_at = known.heard_at.max(heard_at);
            }
        } else if self.members.len() < MAX_MEMBERS {
            let member = Member {
                zone: told.zone.clone(),
                incarnation: told.incarnation,
                link_mbps: told.link_mbps,
                heard_at,
                left: false,
            };
            self.members.insert(told.address, member);
        }
    }

    /// Forgets members that have been silent for long.
    pub fn expire(&mut self, now: Duration) {
        self.members
            .retain(|_, it| now.saturating_sub(it.heard_at) < FORGOTTEN_AFTER);
    }

    /// Live members of a zone, without the process itself.
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

    /// Live members of the own zone, those heard of last first: they are the most likely to live.
    pub fn freshest(&self, now: Duration) -> Vec<SocketAddrV4> {
        let mut members: Vec<_> = self.live(now, &self.me.zone).collect();
        members.sort_by_key(|it| {
            let heard_at = self.members.get(it).map(|member| member.heard_at);
            std::cmp::Reverse(heard_at)
        });
        members
    }

    /// Live members of all zones, without the process itself.
    pub fn live_anywhere(&self, now: Duration) -> impl Iterator<Item = SocketAddrV4> {
        let limit = DEAD_AFTER_RELAYED;
        self.members
            .iter()
            .filter(move |(_, it)| !it.left && now.saturating_sub(it.heard_at) < limit)
            .map(|(address, _)| *address)
    }

    /// Zone of a member.
    pub fn zone_of(&self, address: SocketAddrV4) -> Option<&Arc<str>> {
        self.members.get(&address).map(|it| &it.zone)
    }

    /// At most `most` members of another zone, drawn at random from the live ones; from all known
    /// ones where none is live, since a partition makes them look dead.
    pub fn sample_of(&mut self, now: Duration, zone: &str, most: usize) -> Vec<SocketAddrV4> {
        let mut members: Vec<_> = self.live(now, zone).collect();
        if members.is_empty() {
            let known = self.members.iter().filter(|(_, it)| *it.zone == *zone);
            members = known.map(|(address, _)| *address).collect();
        }
        self.sample(members, most)
    }

    /// At most `most` live members of the own zone, drawn at random.
    pub fn sample_near(&mut self, now: Duration, most: usize) -> Vec<SocketAddrV4> {
        let own_zone = self.me.zone.clone();
        let near = self.live(now, &own_zone).collect();
        self.sample(near, most)
    }

    /// True when the process is among the first `count` live members of its zone in the order that
    /// `key` draws. Members with the same view agree without a message.
    pub fn is_among(&self, now: Duration, key: u64, count: usize) -> bool {
        let weight = |address: SocketAddrV4| rendezvous::hash_address(address.into(), key);
        let mine = weight(self.me.address);
        let before = self
            .live(now, &self.me.zone)
            .filter(|it| weight(*it) > mine);
        before.take(count).count() < count
    }

    /// Place of the process among the live members of its zone, 0 for the one that reads the store
    /// for the others. Whoever reads also sends what it read to the zone: on a thin link that
    /// would delay the packets of clients for seconds, so members with more bandwidth come first.
    pub fn rank(&self, now: Duration) -> usize {
        let order = |address: SocketAddrV4, link_mbps: u32| {
            let weight = rendezvous::hash_address(address.into(), 0);
            (link_mbps.checked_ilog2(), weight)
        };
        let mine = order(self.me.address, self.me.link_mbps);
        let links = self.live(now, &self.me.zone).filter_map(|address| {
            let member = self.members.get(&address)?;
            Some(order(address, member.link_mbps))
        });
        links.filter(|it| *it > mine).count()
    }

    /// All balancers heard of lately, dead ones and the process itself included: those that could
    /// be sending to a target.
    pub fn possible_senders(&self) -> usize {
        self.members.len() + 1
    }

    /// Number of known members of the own zone.
    fn zone_size(&self) -> usize {
        let zone = &self.me.zone;
        self.members.values().filter(|it| it.zone == *zone).count()
    }

    fn dead_after(&self, zone: &str) -> Duration {
        match self.zone_size() {
            _ if *zone != *self.me.zone => DEAD_AFTER_RELAYED,
            size if size <= FULL_MESH => DEAD_AFTER,
            size if size <= LARGE_ZONE => DEAD_AFTER_RELAYED,
            size => {
                let size = u32::try_from(size).unwrap_or(u32::MAX);
                let large = u32::try_from(LARGE_ZONE).unwrap_or(1);
                let silence = DEAD_AFTER_RELAYED.saturating_mul(size) / large;
                silence.min(LONGEST_SILENCE)
            }
        }
    }

    /// Time that news takes to reach the whole zone through heartbeats.
    pub fn relay_delay(&self) -> Duration {
        if self.zone_size() <= FULL_MESH {
            Duration::ZERO
        } else {
            RELAY
        }
    }

    /// True while the process knows no live member and has seeds to ask.
    pub fn is_alone(&self, now: Duration) -> bool {
        !self.seeds.is_empty() && self.live_anywhere(now).next().is_none()
    }

    /// Who gets the next heartbeat.
    pub fn recipients(&mut self, now: Duration) -> Vec<SocketAddrV4> {
        self.beats += 1;
        let own_zone = self.me.zone.clone();
        let mut chosen: Vec<_> = self.live(now, &own_zone).collect();
        if chosen.len() > FULL_MESH {
            chosen = self.sample(chosen, FANOUT);
        }
        if self.beats.is_multiple_of(FAR_PERIOD) || chosen.is_empty() {
            let far = self.live_elsewhere(now);
            chosen.extend(self.sample(far, 1));
        }
        if chosen.is_empty() {
            chosen = self.others(&[]);
        } else if self.beats.is_multiple_of(SILENT_PERIOD) {
            // Two sides that lost each other find each other again.
            let others = self.others(&chosen);
            chosen.extend(self.sample(others, 1));
        }
        chosen
    }

    /// Seeds and known members, dead ones included, that are not among `chosen`.
    fn others(&self, chosen: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let mut others = self.seeds.clone();
        others.extend(self.members.keys());
        others.sort_unstable();
        others.dedup();
        others.retain(|it| !chosen.contains(it));
        others
    }

    fn live_elsewhere(&self, now: Duration) -> Vec<SocketAddrV4> {
        let own_zone = &self.me.zone;
        let elsewhere =
            |it: &SocketAddrV4| self.members.get(it).is_some_and(|it| it.zone != *own_zone);
        self.live_anywhere(now).filter(elsewhere).collect()
    }

    /// Members to tell a joining process of.
    pub fn introduction(&mut self, now: Duration) -> Vec<message::Member> {
        let members = self.live_anywhere(now).collect();
        self.told(now, members, INTRODUCTION)
    }

    /// Members that a heartbeat carries.
    pub fn gossip(&mut self, now: Duration) -> Vec<message::Member> {
        let own_zone = self.me.zone.clone();
        let near: Vec<_> = self.live(now, &own_zone).collect();
        let far = self.live_elsewhere(now);
        let (least, most) = NEAR_SAMPLE;
        let sample = (near.len() / SAMPLED_PART).clamp(least, most);
        let mut told = self.told(now, near, sample);
        told.extend(self.told(now, far, FAR_SAMPLE));
        told
    }

    fn told(
        &mut self,
        now: Duration,
        addresses: Vec<SocketAddrV4>,
        most: usize,
    ) -> Vec<message::Member> {
        let chosen = self.sample(addresses, most);
        let told = chosen.iter().filter_map(|address| {
            let member = self.members.get(address)?;
            let silent = now.saturating_sub(member.heard_at).as_millis();
            Some(message::Member {
                address: *address,
                zone: member.zone.clone(),
                incarnation: member.incarnation,
                link_mbps: member.link_mbps,
                silent_ms: u32::try_from(silent).unwrap_or(u32::MAX),
            })
        });
        told.collect()
    }

    /// Draws `most` items at random.
    fn sample(&mut self, mut items: Vec<SocketAddrV4>, most: usize) -> Vec<SocketAddrV4> {
        if items.len() <= most {
            return items;
        }
        for position in 0..most {
            let rest = items.len() - position;
            let other = position + self.draw(rest);
            items.swap(position, other);
        }
        items.truncate(most);
        items
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random = rendezvous::weight(self.random, 1);
        let below = u64::try_from(below).unwrap_or(u64::MAX).max(1);
        usize::try_from(self.random % below).unwrap_or(0)
    }
}
