//! Table of all flows that the process knows, with one compact entry per flow.
//!
//! An entry takes 16 bytes for an IPv4 caller and 28 bytes for an IPv6 caller. With the control
//! byte and the free space of the hash map this is 20 to 39 bytes and 33 to 67 bytes. The table is
//! split into shards, so that a tick visits only a few of them.

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

/// How the process knows the target of a flow, in ascending order of authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// Cached target, reported by a peer or kept after a handover; only saves a hop.
    Hint,
    /// The process passed the flow on to this target of the preference list.
    Passed,
    /// The owner of the target that serves the flow confirmed it.
    Redirect,
    /// The process owns the target that serves the flow.
    Serving,
}

/// Entry of one flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    target: u32,
    /// Time of the last use in seconds, modulo 2^16.
    pub(super) last_used_s: u16,
    pub(super) kind: Kind,
    /// True once the target has answered on the flow.
    pub(super) answered: bool,
}

/// Hasher for integer keys. It needs no seed of its own, because the shard of a key depends on the
/// random seed of the table.
#[derive(Default)]
pub(super) struct KeyHasher(u64);

impl Hasher for KeyHasher {
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

type Map<K> = HashMap<K, Entry, BuildHasherDefault<KeyHasher>>;
/// Caller port and index of the service address, then the IPv6 address of the caller.
type KeyV6 = (u32, [u8; 16]);

const _: () = assert!(size_of::<(u64, Entry)>() == 16 && size_of::<(KeyV6, Entry)>() == 28);

#[derive(Debug, Default)]
struct Shard {
    v4: Map<u64>,
    v6: Map<KeyV6>,
}

enum Key {
    V4(u64),
    V6(KeyV6),
}

/// Sharded table of flow entries, with interned targets and service addresses.
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

    /// Returns the number of entries of a kind.
    pub(super) fn count(&self, kind: Kind) -> usize {
        self.counts[kind as usize]
    }

    /// Returns the target of an entry.
    pub(super) fn target(&self, entry: Entry) -> id::Target {
        self.targets[entry.target as usize]
    }

    pub(super) fn get(&self, flow: &flow::Flow) -> Option<Entry> {
        let shard = &self.shards[self.shard_index(flow)];
        match self.key(flow)? {
            Key::V4(key) => shard.v4.get(&key).copied(),
            Key::V6(key) => shard.v6.get(&key).copied(),
        }
    }

    /// Inserts or replaces the entry of a flow; does nothing when all 65,536 indexes of service
    /// addresses are in use.
    pub(super) fn put(&mut self, flow: &flow::Flow, target: id::Target, kind: Kind, now: u16) {
        let old = self.remove(flow);
        if !self.intern_address(flow.address) {
            return;
        }
        let target = self.intern_target(target);
        let answered =
            old.is_some_and(|old| old.kind == kind && old.target == target && old.answered);
        let entry = Entry {
            target,
            last_used_s: now,
            kind,
            answered,
        };
        self.counts[kind as usize] += 1;
        let index = self.shard_index(flow);
        match self.key(flow) {
            Some(Key::V4(key)) => self.shards[index].v4.insert(key, entry),
            Some(Key::V6(key)) => self.shards[index].v6.insert(key, entry),
            None => None,
        };
    }

    /// Renews the time of last use and returns the entry, whose kind and target must not be changed
    /// in place.
    pub(super) fn touch(&mut self, flow: &flow::Flow, now: u16) -> Option<&mut Entry> {
        let index = self.shard_index(flow);
        let entry = match self.key(flow)? {
            Key::V4(key) => self.shards[index].v4.get_mut(&key)?,
            Key::V6(key) => self.shards[index].v6.get_mut(&key)?,
        };
        entry.last_used_s = now;
        Some(entry)
    }

    pub(super) fn remove(&mut self, flow: &flow::Flow) -> Option<Entry> {
        let index = self.shard_index(flow);
        let old = match self.key(flow)? {
            Key::V4(key) => self.shards[index].v4.remove(&key)?,
            Key::V6(key) => self.shards[index].v6.remove(&key)?,
        };
        self.counts[old.kind as usize] -= 1;
        Some(old)
    }

    /// Removes one hint from the shard of `flow` and returns true if there was one.
    pub(super) fn evict_hint(&mut self, flow: &flow::Flow) -> bool {
        let index = self.shard_index(flow);
        let victim = self
            .shard_entries(index)
            .find(|(_, entry)| entry.kind == Kind::Hint);
        let victim = victim.map(|(flow, _)| flow);
        victim.is_some_and(|flow| self.remove(&flow).is_some())
    }

    /// Returns the entries of one shard.
    pub(super) fn shard_entries(
        &self,
        index: usize,
    ) -> impl Iterator<Item = (flow::Flow, Entry)> + '_ {
        let shard = &self.shards[index];
        let v4: hash_map::Iter<'_, u64, Entry> = shard.v4.iter();
        v4.map(|(key, entry)| (self.flow_v4(*key), *entry)).chain(
            shard
                .v6
                .iter()
                .map(|(key, entry)| (self.flow_v6(key), *entry)),
        )
    }

    /// Returns the entries of all shards; takes time linear in the table, so only rare events use
    /// it.
    pub(super) fn entries(&self) -> impl Iterator<Item = (flow::Flow, Entry)> + '_ {
        (0..SHARDS).flat_map(|index| self.shard_entries(index))
    }

    fn intern_target(&mut self, target: id::Target) -> u32 {
        let next = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
        let index = *self.target_index.entry(target).or_insert(next);
        if index == next {
            self.targets.push(target);
        }
        index
    }

    /// Assigns an index to a service address; returns false when no index is left.
    fn intern_address(&mut self, address: SocketAddr) -> bool {
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

    fn shard_index(&self, flow: &flow::Flow) -> usize {
        let hash = rendezvous::hash_address(flow.caller, self.seed);
        usize::try_from(hash % SHARDS as u64).unwrap_or(0)
    }

    fn key(&self, flow: &flow::Flow) -> Option<Key> {
        let address = u64::from(*self.address_index.get(&flow.address)?);
        let port = u64::from(flow.caller.port());
        Some(match flow.caller.ip() {
            IpAddr::V4(ip) => Key::V4((u64::from(ip.to_bits()) << 32) | (port << 16) | address),
            IpAddr::V6(ip) => {
                let low = u32::try_from((port << 16) | address).unwrap_or(0);
                Key::V6((low, ip.octets()))
            }
        })
    }

    fn flow_v4(&self, key: u64) -> flow::Flow {
        let [a, b, c, d, e, f, g, h] = key.to_be_bytes();
        flow::Flow {
            caller: SocketAddr::from((Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([e, f]))),
            address: self.addresses[usize::from(u16::from_be_bytes([g, h]))],
        }
    }

    fn flow_v6(&self, key: &KeyV6) -> flow::Flow {
        let [e, f, g, h] = key.0.to_be_bytes();
        flow::Flow {
            caller: SocketAddr::from((Ipv6Addr::from(key.1), u16::from_be_bytes([e, f]))),
            address: self.addresses[usize::from(u16::from_be_bytes([g, h]))],
        }
    }
}
