//! Periodic checks, clean-up, pauses and shutdown.

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;

use super::{
    CLEAN_UP_PERIOD,
    CONFIRMATION_TIMEOUT,
    Event,
    Machine,
    failure,
    partition, //
};
use crate::record;

impl Machine {
    /// Runs the periodic checks; the driver calls it every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        self.check_unanswered(now);
        self.check_contact(now);
        self.check_paths(now);
        self.check_targets(now);
        self.check_rotation(now);
        self.check_confirmation(now);
        self.call_store(now);
        self.catch_up(now);
        if now >= self.heartbeat_at {
            self.send_heartbeats(now);
        }
        if now >= self.cleaned_at + CLEAN_UP_PERIOD {
            self.clean(now);
        }
    }

    pub(super) fn check_targets(&mut self, now: Duration) {
        // Targets behind a cut are not probed repeatedly, since the cut explains their failures.
        let seed = self.next_random();
        let (catalog, paths, fleet) = (&self.catalog, &self.paths, &self.fleet);
        let reachable = |id| partition::is_reachable(catalog, paths, id);
        let is_prober = |id| failure::probes_for_zone(fleet, now, id);
        let due = self.evidence.probes_due(now, reachable, is_prober, seed);
        let newly_dead = self.evidence.newly_dead(now);
        for target in due {
            self.probe(target);
        }
        for target in newly_dead {
            self.log_verdict(now, target);
            self.reset_flows(now, target);
        }
    }

    pub(super) fn check_confirmation(&mut self, now: Duration) {
        if self
            .resumed_at
            .is_some_and(|at| now >= at + CONFIRMATION_TIMEOUT)
        {
            self.resumed_at = None;
            self.log(Event::Resumed { confirmed: false });
        }
    }

    pub(super) fn clean(&mut self, now: Duration) {
        self.cleaned_at = now;
        self.catalog.expire(now);
        self.check_doubts(now);
        let idle = self.catalog.configuration().idle_ms;
        self.flows.expire(now, Duration::from_millis(idle.into()));
        self.fleet.expire(now);
        let catalog = &self.catalog;
        let known = |id: record::Id| catalog.target(id).is_some();
        self.evidence.retain(known);
        self.load.retain(known);
        let targets = catalog.targets().filter(|it| self.is_cold(now, it));
        let cold: BTreeSet<_> = targets.map(|it| it.id).collect();
        self.ramp.retain(|id| cold.contains(&id));
        self.log_members(now);
    }

    /// Resolves doubts about what the store lost when it returned from a copy. A reader reads the
    /// store once more. Another balancer that has not heard of the result fetches everything from a
    /// peer.
    fn check_doubts(&mut self, now: Duration) {
        if self.catalog.is_doubt_over(now) && self.reader.is_healthy(now) {
            self.reader.list_instead_of_watch();
        }
        if self.catalog.is_doubt_overdue(now) {
            let seed = self.next_random();
            let weight = |it: &SocketAddrV4| rendezvous::hash_address((*it).into(), seed);
            let peer = self.fleet.live_anywhere(now).max_by_key(weight);
            peer.into_iter().for_each(|peer| self.pull_all(now, peer));
        }
    }

    /// Logs the members of this zone that joined or left since the last clean-up.
    fn log_members(&mut self, now: Duration) {
        let zone = self.fleet.me().zone.clone();
        let live: BTreeSet<_> = self.fleet.live(now, &zone).collect();
        let previous = std::mem::replace(&mut self.live_peers, live.clone());
        let joined = live.difference(&previous).map(|it| (*it, true));
        let left = previous.difference(&live).map(|it| (*it, false));
        for (address, live) in joined.chain(left) {
            let zone = zone.clone();
            self.log(Event::Member {
                address,
                zone,
                live,
            });
        }
    }

    /// Starts the shutdown: notifies the peers and makes no more calls to the store.
    pub fn leave(&mut self, now: Duration) {
        self.leaving = true;
        self.send_heartbeats(now);
    }

    /// Handles a suspension of the VM that lasted for `length`.
    pub fn paused(&mut self, now: Duration, length: Duration) {
        self.resumed_at = Some(now);
        self.reader.invalidate();
        self.paths.drop_suspicions();
        self.log(Event::Paused { length });
        let peer = self.fleet.live_anywhere(now).next();
        if let Some(peer) = peer {
            self.pull(now, peer);
        }
    }
}
