//! Random choice of peers, addresses and jitter.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_wire::control::{
    Member,
    State, //
};
use rand_chacha::rand_core::Rng;

use super::Machine;

impl Machine {
    /// Returns up to `count` random live peers that match `predicate`, without suspects.
    pub(super) fn sample(
        &mut self,
        count: usize,
        predicate: impl Fn(&Member) -> bool,
    ) -> Vec<Member> {
        let me = &self.config.me.name;
        let mut pool: Vec<&Member> = self
            .table
            .live()
            .filter(|member| member.name != *me && member.state != State::Suspect)
            .filter(|member| predicate(member))
            .collect();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !pool.is_empty() {
            let index = uniform_below(&mut self.rng, pool.len());
            chosen.push(pool.swap_remove(index).clone());
        }
        chosen
    }

    /// Returns up to `count` random elements of `pool`.
    pub(super) fn pick<T>(&mut self, mut pool: Vec<T>, count: usize) -> Vec<T> {
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !pool.is_empty() {
            let index = uniform_below(&mut self.rng, pool.len());
            chosen.push(pool.swap_remove(index));
        }
        chosen
    }

    /// Returns up to `count` random addresses without a live member: seeds, entries of the
    /// platform's list and tombstones.
    pub(super) fn candidate_addresses(&mut self, count: usize) -> Vec<SocketAddr> {
        let live: BTreeSet<SocketAddr> = self.table.live().map(|member| member.peer).collect();
        let addresses = self.addresses().into_iter();
        let candidates = addresses.filter(|address| !live.contains(address));
        self.pick(candidates.collect(), count)
    }

    /// Returns up to `count` random addresses of any peers.
    pub(super) fn peer_addresses(&mut self, count: usize) -> Vec<SocketAddr> {
        self.pick(self.addresses().into_iter().collect(), count)
    }

    /// Returns the seeds and the addresses of the platform's list and of known members, without the
    /// local one.
    fn addresses(&self) -> BTreeSet<SocketAddr> {
        let seeds = self.config.seeds.iter().copied();
        let listed = self.calls.listed.iter().map(|member| member.peer);
        let known = self.table.entries().map(|entry| entry.member.peer);
        let me = self.config.me.peer;
        let all = seeds.chain(listed).chain(known);
        all.filter(|address| *address != me).collect()
    }

    /// Returns the zones of live members, without the local zone.
    pub(super) fn find_other_zones(&self) -> BTreeSet<Arc<str>> {
        let members = self.table.live().map(|member| &member.zone);
        members
            .filter(|zone| **zone != self.config.me.zone)
            .cloned()
            .collect()
    }

    pub(super) fn random_below(&mut self, limit: usize) -> usize {
        uniform_below(&mut self.rng, limit)
    }

    pub(super) fn random_u64(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Returns a random duration up to `within`.
    pub(super) fn jitter(&mut self, within: Duration) -> Duration {
        within.mul_f64(f64::from(self.rng.next_u32()) / f64::from(u32::MAX))
    }
}

fn uniform_below(rng: &mut impl Rng, limit: usize) -> usize {
    let limit = u64::try_from(limit.max(1)).unwrap_or(1);
    usize::try_from(rng.next_u64() % limit).unwrap_or(0)
}
