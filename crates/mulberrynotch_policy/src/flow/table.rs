//! What a process knows of each flow: one compact entry per flow.
//!
//! An entry takes 16 bytes for an IPv4 caller and 28 bytes for an IPv6 caller, plus the control
//! byte and the free space of the hash map: 20 to 39 bytes and 33 to 67 bytes. The table is split into shards, so that a tick visits
//! a few of them only.

use std::{
    collections::{
        HashMap,
        hash_map, //
    },
    hash::{
        BuildHasherDefault,
        Hasher, //
    },
    net::{
        IpAddr,
        Ipv4Addr,
        Ipv6Addr,
        SocketAddr, //
    },
};

use mulberrynotch_register::id;
use mulberrynotch_wire::flow;

use crate::rendezvous;

/// Number of shards.
pub(super) const SHARDS: usize = 256;

/// How a process knows the target of a flow, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// Learnt from a peer; only saves a hop.
    Hint,
    /// The process passed the flow on to this target of the chain.
    Passed,
    /// The owner that serves the flow confirmed it.
    Redirect,
    /// The process serves the flow on a target that it owns.
    Serving,
}

/// Entry of a flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    target: u32,
    /// Second of the last use, modulo 2^16.
    pub(super) seen: u16,
    pub(super) kind: Kind,
    /// True once the target answered.
    pub(super) answered: bool,
}

/// Mixes the integers of a key that is already spread by the seed of the table.
#[derive(Default)]
pub(super) struct Mix(u64);

impl Hasher for Mix {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxhash_rust::xxh3::xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = rendezvous::weight(value, self.0 ^ 1);
    }

    fn write_u32(&mut self, value: u32) {
        self.write_u64(u64::from(value));
    }
}

type Map<K> = HashMap<K, Entry, BuildHasherDefault<Mix>>;
type Wide = (u32, [u8; 16]);

const _: () = assert!(size_of::<(u64, Entry)>() == 16 && size_of::<(Wide, Entry)>() == 28);

#[derive(Debug, Default)]
struct Shard {
    narrow: Map<u64>,
    wide: Map<Wide>,
}

enum Key {
    Narrow(u64),
    Wide(Wide),
}

/// Entries of all flows that a process knows.
#[derive(Debug)]
pub(super) struct Table {
    shards: Vec<Shard>,
    seed: u64,
    targets: Vec<id::Target>,
    target_index: HashMap<id::Target, u32>,
    addresses: Vec<SocketAddr>,
    address_index: HashMap<SocketAddr, u16>,
    counts: [usize; 4],
}

impl Table {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
            seed,
            targets: Vec::new(),
            target_index: HashMap::new(),
            addresses: Vec::new(),
            address_index: HashMap::new(),
            counts: [0; 4],
        }
    }

    /// Entries of a kind.
    pub(super) fn count(&self, kind: Kind) -> usize {
        self.counts[kind as usize]
    }

    /// Target that an entry names.
    pub(super) fn target(&self, entry: Entry) -> id::Target {
        self.targets[entry.target as usize]
    }

    pub(super) fn get(&self, flow: &flow::Flow) -> Option<Entry> {
        let shard = &self.shards[self.shard(flow)];
        match self.key(flow)? {
            Key::Narrow(key) => shard.narrow.get(&key).copied(),
            Key::Wide(key) => shard.wide.get(&key).copied(),
        }
    }

    /// Sets the entry of a flow; does nothing when no more service addresses can be numbered.
    pub(super) fn put(&mut self, flow: &flow::Flow, target: id::Target, kind: Kind, now: u16) {
        let old = self.remove(flow);
        if !self.number_address(flow.address) {
            return;
        }
        let target = self.number_target(target);
        let answered =
            old.is_some_and(|old| old.kind == kind && old.target == target && old.answered);
        let entry = Entry {
            target,
            seen: now,
            kind,
            answered,
        };
        self.counts[kind as usize] += 1;
        let index = self.shard(flow);
        match self.key(flow) {
            Some(Key::Narrow(key)) => self.shards[index].narrow.insert(key, entry),
            Some(Key::Wide(key)) => self.shards[index].wide.insert(key, entry),
            None => None,
        };
    }

    /// Changes the entry of a flow in place, but for its kind and target.
    pub(super) fn touch(&mut self, flow: &flow::Flow, now: u16) -> Option<&mut Entry> {
        let index = self.shard(flow);
        let entry = match self.key(flow)? {
            Key::Narrow(key) => self.shards[index].narrow.get_mut(&key)?,
            Key::Wide(key) => self.shards[index].wide.get_mut(&key)?,
        };
        entry.seen = now;
        Some(entry)
    }

    pub(super) fn remove(&mut self, flow: &flow::Flow) -> Option<Entry> {
        let index = self.shard(flow);
        let old = match self.key(flow)? {
            Key::Narrow(key) => self.shards[index].narrow.remove(&key)?,
            Key::Wide(key) => self.shards[index].wide.remove(&key)?,
        };
        self.counts[old.kind as usize] -= 1;
        Some(old)
    }

    /// Removes one hint of the shard of `flow`, to make room.
    pub(super) fn evict_hint(&mut self, flow: &flow::Flow) -> bool {
        let index = self.shard(flow);
        let victim = self
            .shard_entries(index)
            .find(|(_, entry)| entry.kind == Kind::Hint);
        let victim = victim.map(|(flow, _)| flow);
        victim.is_some_and(|flow| self.remove(&flow).is_some())
    }

    /// Entries of one shard.
    pub(super) fn shard_entries(
        &self,
        index: usize,
    ) -> impl Iterator<Item = (flow::Flow, Entry)> + '_ {
        let shard = &self.shards[index];
        let narrow: hash_map::Iter<'_, u64, Entry> = shard.narrow.iter();
        narrow
            .map(|(key, entry)| (self.narrow(*key), *entry))
            .chain(
                shard
                    .wide
                    .iter()
                    .map(|(key, entry)| (self.wide(key), *entry)),
            )
    }

    /// Entries of all shards, for rare events.
    pub(super) fn entries(&self) -> impl Iterator<Item = (flow::Flow, Entry)> + '_ {
        (0..SHARDS).flat_map(|index| self.shard_entries(index))
    }

    fn number_target(&mut self, target: id::Target) -> u32 {
        let next = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
        let index = *self.target_index.entry(target).or_insert(next);
        if index == next {
            self.targets.push(target);
        }
        index
    }

    fn number_address(&mut self, address: SocketAddr) -> bool {
        if self.address_index.contains_key(&address) {
            return true;
        }
        let Ok(next) = u16::try_from(self.addresses.len()) else {
            return false;
        };
        self.address_index.insert(address, next);
        self.addresses.push(address);
        true
    }

    fn shard(&self, flow: &flow::Flow) -> usize {
        let hash = rendezvous::hash_address(flow.caller, self.seed);
        usize::try_from(hash % SHARDS as u64).unwrap_or(0)
    }

    fn key(&self, flow: &flow::Flow) -> Option<Key> {
        let address = u64::from(*self.address_index.get(&flow.address)?);
        let port = u64::from(flow.caller.port());
        Some(match flow.caller.ip() {
            IpAddr::V4(ip) => Key::Narrow((u64::from(ip.to_bits()) << 32) | (port << 16) | address),
            IpAddr::V6(ip) => {
                let low = u32::try_from((port << 16) | address).unwrap_or(0);
                Key::Wide((low, ip.octets()))
            }
        })
    }

    fn narrow(&self, key: u64) -> flow::Flow {
        let [a, b, c, d, e, f, g, h] = key.to_be_bytes();
        flow::Flow {
            caller: SocketAddr::from((Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([e, f]))),
            address: self.addresses[usize::from(u16::from_be_bytes([g, h]))],
        }
    }

    fn wide(&self, key: &Wide) -> flow::Flow {
        let [e, f, g, h] = key.0.to_be_bytes();
        flow::Flow {
            caller: SocketAddr::from((Ipv6Addr::from(key.1), u16::from_be_bytes([e, f]))),
            address: self.addresses[usize::from(u16::from_be_bytes([g, h]))],
        }
    }
}
