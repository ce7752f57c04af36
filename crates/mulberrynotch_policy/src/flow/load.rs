//! Bounded load: flow counts of the targets of a service.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::flow;

use super::{
    Machine,
    owned::Phase, //
};
use crate::budget;

/// Shortest interval between two counts.
const INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two counts while they hardly change.
const LONG_INTERVAL: Duration = Duration::from_secs(5);

/// Counts older than this are not used.
const MAX_AGE: Duration = Duration::from_secs(15);

/// Largest share of the mean, in percent.
const SHARE_PERCENT: u64 = 125;

/// Flows above the mean that are always accepted; small counts vary more than the share.
const SLACK: u64 = 16;

/// Peers that get counts per interval.
const MAX_PEERS: usize = 16;

/// Last count that a peer sent of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known {
    pub(super) flows: u32,
    pub(super) at: Duration,
    warm: bool,
    /// Growth in flows per second.
    growth: u32,
}

impl Machine {
    pub(super) fn counts_received(&mut self, now: Duration, counts: &[flow::Count]) {
        for count in counts {
            if self.view.locate(count.target).is_none() {
                continue;
            }
            let old = self.counts.get(&count.target).copied();
            let growth = old.map_or(0, |old| growth(now, old, count.flows));
            let known = Known {
                flows: count.flows,
                at: now,
                warm: count.warm,
                growth,
            };
            self.counts.insert(count.target, known);
        }
    }

    /// Renews the bounds, and sends counts when they are due.
    pub(super) fn tick_counts(&mut self, now: Duration) {
        let targets: Vec<id::Target> = self.owned.keys().copied().collect();
        for target in &targets {
            let bound = self.bound(now, *target);
            if let Some(owned) = self.owned.get_mut(target) {
                owned.bound = bound;
            }
        }
        if now >= self.next_counts {
            self.next_counts = now + INTERVAL;
            let view = self.view.clone();
            self.counts
                .retain(|target, _| view.locate(*target).is_some());
            let has_moved = self.owned.values().any(|owned| owned.has_moved());
            if has_moved || now >= self.last_counts + LONG_INTERVAL {
                self.last_counts = now;
                self.send_counts(&targets);
            }
        }
    }

    fn bound(&self, now: Duration, target: id::Target) -> u32 {
        let Some(place) = self.view.locate(target) else {
            return 0;
        };
        let others = self.view.candidates(place.service).iter();
        let others = others
            .filter(|(other, _)| *other != target)
            .filter_map(|(other, _)| self.warm_flows(now, *other));
        let (sum, number) = others.fold((0, 0), |(sum, number), flows| (sum + flows, number + 1));
        if number == 0 {
            return u32::MAX;
        }
        let own = self
            .owned
            .get(&target)
            .map_or(0, |owned| u64::from(owned.flows));
        let mean = (sum + own) / (number + 1);
        let bound = (mean * SHARE_PERCENT / 100).max(mean + SLACK);
        u32::try_from(bound).unwrap_or(u32::MAX)
    }

    /// Flows on a target that takes new flows without a ramp, extrapolated to now.
    pub(super) fn warm_flows(&self, now: Duration, target: id::Target) -> Option<u64> {
        let entry = self.view.target(target).filter(|entry| !entry.leaving)?;
        if let Some(owned) = self.owned.get(&target) {
            let is_warm = owned.ramp.is_warm(entry.connections) && !owned.liveness.is_dead();
            return is_warm.then_some(u64::from(owned.flows));
        }
        let known = self.counts.get(&target)?;
        let age = now.saturating_sub(known.at);
        let is_usable = known.warm && age < MAX_AGE;
        // Growth is only known to continue for about one interval.
        let age = age.min(INTERVAL * 2);
        let grown = u128::from(known.growth) * age.as_millis() / 1_000;
        is_usable.then(|| u64::from(known.flows) + u64::try_from(grown).unwrap_or(0))
    }

    fn send_counts(&mut self, targets: &[id::Target]) {
        let mut per_peer: BTreeMap<Arc<str>, Vec<flow::Count>> = BTreeMap::new();
        let view = self.view.clone();
        for target in targets {
            let (Some(owned), Some(entry)) = (self.owned.get_mut(target), view.target(*target))
            else {
                continue;
            };
            if !matches!(owned.phase, Phase::Active) {
                continue;
            }
            owned.reported = owned.flows;
            let count = flow::Count {
                target: *target,
                flows: owned.flows,
                warm: owned.ramp.is_warm(entry.connections)
                    && !owned.ramp.says_leaving
                    && !owned.liveness.is_dead(),
            };
            for peer in self.interested(*target) {
                let counts = per_peer.entry(peer).or_default();
                if !counts.contains(&count) {
                    counts.push(count);
                }
            }
        }
        for (to, counts) in per_peer {
            let message = flow::Message::Counts { counts };
            self.send(&to, budget::Priority::Load, message);
        }
    }

    /// The backup of a target and the owners of the service's other targets.
    fn interested(&self, target: id::Target) -> Vec<Arc<str>> {
        let Some(place) = self.view.locate(target) else {
            return Vec::new();
        };
        let assignment = &self.view.assignment;
        let ranked = self.view.candidates(place.service).iter();
        let owners = ranked.filter_map(|(other, _)| assignment.owner(*other));
        let mut peers: Vec<Arc<str>> = Vec::new();
        for peer in assignment.backup(target).into_iter().chain(owners) {
            if *peer != self.view.me && !peers.contains(peer) && peers.len() < MAX_PEERS {
                peers.push(peer.clone());
            }
        }
        peers
    }
}

fn growth(now: Duration, old: Known, flows: u32) -> u32 {
    let millis = now.saturating_sub(old.at).as_millis().max(100);
    let grown = u128::from(flows.saturating_sub(old.flows));
    u32::try_from(grown * 1_000 / millis).unwrap_or(u32::MAX)
}
