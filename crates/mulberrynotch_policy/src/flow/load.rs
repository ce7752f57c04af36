//! Bounded load: exchange of flow counts among the owners of the targets of a service.

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

/// Minimum interval between two reports of flow counts.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval between two reports, used while the counts hardly change.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Age from which a reported count is ignored.
const MAX_COUNT_AGE: Duration = Duration::from_secs(15);

/// Bound on the flows of a target, in percent of the mean of the service.
const MAX_SHARE_PERCENT: u64 = 125;

/// Flows above the mean that are always accepted, because small counts vary by more than the bound.
const SLACK_FLOWS: u64 = 16;

/// Maximum number of peers that receive the count of a target.
const MAX_RECEIVERS: usize = 16;

/// Last flow count of a target that a peer reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerCount {
    pub(super) flows: u32,
    pub(super) received_at: Duration,
    warm: bool,
    /// Growth in flows per second.
    growth: u32,
}

impl Machine {
    pub(super) fn receive_counts(&mut self, now: Duration, counts: &[flow::Count]) {
        for count in counts {
            if self.view.locate(count.target).is_none() {
                continue;
            }
            let old = self.peer_counts.get(&count.target).copied();
            let growth = old.map_or(0, |old| growth_per_second(now, old, count.flows));
            let known = PeerCount {
                flows: count.flows,
                received_at: now,
                warm: count.warm,
                growth,
            };
            self.peer_counts.insert(count.target, known);
        }
    }

    /// Updates the load bounds, and sends flow counts when they are due.
    pub(super) fn tick_counts(&mut self, now: Duration) {
        let targets: Vec<id::Target> = self.owned.keys().copied().collect();
        for target in &targets {
            let bound = self.bound(now, *target);
            if let Some(owned) = self.owned.get_mut(target) {
                owned.bound = bound;
            }
        }
        if now >= self.next_counts {
            self.next_counts = now + MIN_INTERVAL;
            let view = self.view.clone();
            self.peer_counts
                .retain(|target, _| view.locate(*target).is_some());
            let has_count_changed = self.owned.values().any(|owned| owned.has_count_changed());
            if has_count_changed || now >= self.last_counts + MAX_INTERVAL {
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
        let (sum, count) = others.fold((0, 0), |(sum, count), flows| (sum + flows, count + 1));
        if count == 0 {
            return u32::MAX;
        }
        let own_flows = self
            .owned
            .get(&target)
            .map_or(0, |owned| u64::from(owned.flows));
        let mean = (sum + own_flows) / (count + 1);
        let bound = (mean * MAX_SHARE_PERCENT / 100).max(mean + SLACK_FLOWS);
        u32::try_from(bound).unwrap_or(u32::MAX)
    }

    /// Returns the flows on a warm target, extrapolated to now; `None` while the target is cold,
    /// leaving, dead or without a recent report.
    pub(super) fn warm_flows(&self, now: Duration, target: id::Target) -> Option<u64> {
        let entry = self.view.target(target).filter(|entry| !entry.leaving)?;
        if let Some(owned) = self.owned.get(&target) {
            let is_warm = owned.ramp.is_warm(entry.connections) && !owned.liveness.is_dead();
            return is_warm.then_some(u64::from(owned.flows));
        }
        let known = self.peer_counts.get(&target)?;
        let age = now.saturating_sub(known.received_at);
        let is_usable = known.warm && age < MAX_COUNT_AGE;
        // The growth rate is extrapolated over at most two report intervals.
        let age = age.min(MIN_INTERVAL * 2);
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
            owned.reported_flows = owned.flows;
            let count = flow::Count {
                target: *target,
                flows: owned.flows,
                warm: owned.ramp.is_warm(entry.connections)
                    && !owned.ramp.reports_leaving
                    && !owned.liveness.is_dead(),
            };
            for peer in self.count_receivers(*target) {
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

    /// Returns the backup of a target and the owners of the other targets of its service.
    fn count_receivers(&self, target: id::Target) -> Vec<Arc<str>> {
        let Some(place) = self.view.locate(target) else {
            return Vec::new();
        };
        let assignment = &self.view.assignment;
        let ranked = self.view.candidates(place.service).iter();
        let owners = ranked.filter_map(|(other, _)| assignment.owner(*other));
        let mut peers: Vec<Arc<str>> = Vec::new();
        for peer in assignment.backup(target).into_iter().chain(owners) {
            if *peer != self.view.me && !peers.contains(peer) && peers.len() < MAX_RECEIVERS {
                peers.push(peer.clone());
            }
        }
        peers
    }
}

fn growth_per_second(now: Duration, old: PeerCount, flows: u32) -> u32 {
    let millis = now.saturating_sub(old.received_at).as_millis().max(100);
    let grown = u128::from(flows.saturating_sub(old.flows));
    u32::try_from(grown * 1_000 / millis).unwrap_or(u32::MAX)
}
