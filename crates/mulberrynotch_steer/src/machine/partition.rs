//! Detection of cut paths to other zones: pings, decisions, reports and their consequences.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;

use super::{
    Event,
    Machine, //
};
use crate::{
    catalog,
    evidence,
    message,
    path,
    record, //
};

/// Number of balancers of another zone that receive each ping.
const PINGED_BALANCERS: usize = 2;

/// Targets of a suspected zone that are probed.
const PROBED_TARGETS: usize = 2;

/// Balancers of this zone that check whether a cut has ended.
const PROBERS: usize = 2;

/// Peers of this zone to which each balancer reports a change of state. Each of them reports it
/// further when its own state changes, so a report reaches a zone of any size after a few steps.
const REPORT_FANOUT: usize = 4;

/// Time before the start of a cut in which failures are attributed to it.
const EXPLAINED_BEFORE_CUT: Duration = Duration::from_millis(700);

/// Shortest cut to which failures behind it are attributed.
const MIN_EXPLAINING_CUT: Duration = Duration::from_millis(1_000);

/// Timeout of a connection attempt; an accepted one arrived within this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

impl Machine {
    /// Records an unanswered packet as a failure of the path to its target's zone.
    pub(super) fn record_path_failure(
        &mut self,
        now: Duration,
        target: record::Id,
        sent_at: Duration,
    ) {
        if let Some(zone) = self.other_zone_of(target) {
            self.paths.failed(now, &zone, target, sent_at);
        }
    }

    /// Applies the outcome of a probe to the path to the target's zone.
    pub(super) fn apply_probe_to_path(
        &mut self,
        now: Duration,
        target: record::Id,
        outcome: evidence::Probe,
    ) {
        let Some(zone) = self.other_zone_of(target) else {
            return;
        };
        let sent_at = now.saturating_sub(PROBE_TIMEOUT);
        match outcome {
            evidence::Probe::Accepted => {
                if let Some(change) = self.paths.probe_accepted(now, &zone, sent_at) {
                    self.path_changed(now, &zone, change, None);
                }
            }
            evidence::Probe::Silent => {
                self.paths.failed(now, &zone, target, sent_at);
                self.paths.probe_failed(&zone);
                self.decide_paths(now);
            }
            // The refusal may come from the target's VM, or from the network at the edge of a
            // partition.
            evidence::Probe::Refused => self.paths.probe_failed(&zone),
        }
    }

    /// Records that a packet sent at `at` arrived in a zone.
    pub(super) fn record_arrival(&mut self, now: Duration, zone: &Arc<str>, at: Duration) {
        if *zone == self.fleet.me().zone {
            return;
        }
        if let Some(change) = self.paths.record_arrival(zone, at) {
            self.path_changed(now, zone, change, None);
        }
    }

    /// Handles the answer to a ping that was sent at `pinged_at`.
    pub(super) fn handle_pong(&mut self, now: Duration, from: SocketAddrV4, pinged_at: Duration) {
        let Some(zone) = self.fleet.zone_of(from).cloned() else {
            return;
        };
        if zone == self.fleet.me().zone {
            self.evidence.contact_mut().pong_received(now, pinged_at);
        } else if pinged_at <= now {
            // The message carries whole milliseconds, rounded down.
            let at = now.min(pinged_at + Duration::from_millis(1));
            self.record_arrival(now, &zone, at);
        }
    }

    /// Merges a path report of a peer in this zone. Reports from other zones are ignored, since
    /// they describe other paths.
    pub(super) fn handle_path(&mut self, now: Duration, from: SocketAddrV4, path: &message::Path) {
        let own_zone = self.fleet.me().zone.clone();
        if path.from != own_zone || path.to == own_zone {
            return;
        }
        let report = path::Report {
            number: path.number,
            open: path.open,
            at: now.saturating_sub(Duration::from_millis(path.age_ms.into())),
        };
        match self.paths.merge_report(now, &path.to, report) {
            path::Merge::Changed(change) => self.path_changed(now, &path.to, change, Some(from)),
            path::Merge::Outdated => self.send_path(now, vec![from], &path.to),
            path::Merge::Known => {}
        }
    }

    /// Pings the sender of a heartbeat from a zone that is cut off, since the cut may have ended.
    pub(super) fn ping_if_cut(&mut self, now: Duration, from: SocketAddrV4, zone: &Arc<str>) {
        if self.paths.is_cut(zone) && self.paths.start_cut_ping(now, zone, 0) {
            self.ping(now, vec![from]);
        }
    }

    /// Sends pings and probes for suspected paths, decides on them, and checks whether cuts have
    /// ended.
    pub(super) fn check_paths(&mut self, now: Duration) {
        if !self.paths.is_any_impaired() {
            return;
        }
        for zone in self.paths.zones_to_ping(now) {
            let members = self.fleet.sample_zone(now, &zone, PINGED_BALANCERS);
            self.paths.record_pings(now, &zone, members.len());
            self.ping(now, members);
        }
        for zone in self.paths.zones_to_probe() {
            let count = self.probe_targets_in(now, &zone, PROBED_TARGETS);
            self.paths.record_probes_sent(&zone, count);
        }
        self.decide_paths(now);
        let cut: Vec<_> = self.paths.cut_zones().cloned().collect();
        for zone in cut {
            self.check_cut_end(now, &zone);
        }
    }

    /// Decides on suspected paths.
    fn decide_paths(&mut self, now: Duration) {
        let (catalog, paths) = (&self.catalog, &self.paths);
        let open = |id: record::Id| {
            let target = catalog.target(id);
            target.is_some_and(|it| paths.state(&it.entry.zone) == path::State::Open)
        };
        let link_works = self.evidence.is_link_working(now, open);
        for zone in self.paths.decide(now, link_works) {
            self.path_changed(now, &zone, path::Change::Cut, None);
        }
    }

    fn check_cut_end(&mut self, now: Duration, zone: &Arc<str>) {
        let is_prober = self
            .fleet
            .is_selected(now, rendezvous::hash_name(zone), PROBERS);
        if !is_prober && !self.paths.is_local_cut(zone) {
            return;
        }
        let seed = self.next_random();
        if self.paths.start_cut_ping(now, zone, seed) {
            let members = self.fleet.sample_zone(now, zone, PINGED_BALANCERS);
            self.ping(now, members);
        }
        if self.paths.start_cut_probe(now, zone, seed) {
            self.probe_targets_in(now, zone, 1);
        }
    }

    /// Probes up to `max_count` random targets of a zone; returns the number of probes.
    pub(super) fn probe_targets_in(&mut self, now: Duration, zone: &str, max_count: usize) -> u32 {
        let seed = self.next_random();
        let in_zone = self.catalog.targets().filter(|it| *it.entry.zone == *zone);
        let usable = in_zone.filter(|it| self.catalog.is_running(now, it));
        let mut ids: Vec<_> = usable.map(|it| it.id).collect();
        ids.sort_unstable_by_key(|id| rendezvous::weight(seed, id.0));
        ids.truncate(max_count);
        ids.iter().for_each(|id| self.probe(*id));
        u32::try_from(ids.len()).unwrap_or(u32::MAX)
    }

    fn ping(&mut self, now: Duration, to: Vec<SocketAddrV4>) {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        if !to.is_empty() {
            self.send(to, message::Message::Ping(now_ms));
        }
    }

    fn path_changed(
        &mut self,
        now: Duration,
        zone: &Arc<str>,
        change: path::Change,
        reported_by: Option<SocketAddrV4>,
    ) {
        self.log_path(now, zone, reported_by);
        let peers = self.fleet.sample_own_zone(now, REPORT_FANOUT);
        self.send_path(now, peers, zone);
        if change == path::Change::Opened {
            self.clear_explained_failures(now, zone);
        }
        self.check_rotation_now(now);
    }

    fn send_path(&mut self, now: Duration, to: Vec<SocketAddrV4>, zone: &Arc<str>) {
        let own_zone = self.fleet.me().zone.clone();
        if let Some(report) = self.paths.report(now, &own_zone, zone) {
            self.send(to, message::Message::Path(report));
        }
    }

    /// Drops the evidence against targets of a zone whose cut has ended, as far as the cut explains
    /// it. A short cut explains nothing: its targets may have failed independently.
    fn clear_explained_failures(&mut self, now: Duration, zone: &Arc<str>) {
        let is_long_enough = |at: &Duration| now.saturating_sub(*at) >= MIN_EXPLAINING_CUT;
        let Some(cut_at) = self.paths.last_cut_at(zone).filter(is_long_enough) else {
            return;
        };
        let catalog = &self.catalog;
        let in_zone = |id| is_target_in(catalog, zone, id);
        let since = cut_at.saturating_sub(EXPLAINED_BEFORE_CUT);
        for target in self.evidence.remove_since(since, in_zone) {
            self.log_verdict(now, target);
        }
    }

    fn log_path(&mut self, now: Duration, zone: &Arc<str>, reported_by: Option<SocketAddrV4>) {
        if let Some(status) = self.paths.status(now, zone) {
            self.log(Event::Path {
                zone: zone.clone(),
                state: status.state,
                reported_by,
                proven: status.proven,
                cut: status.cut,
                contact: self.evidence.contact().age(now),
            });
        }
    }

    /// Returns whether the path to a target's zone is not cut.
    pub(super) fn is_reachable(&self, target: record::Id) -> bool {
        is_reachable(&self.catalog, &self.paths, target)
    }

    /// Returns the zone of a target unless it is this balancer's zone.
    fn other_zone_of(&self, target: record::Id) -> Option<Arc<str>> {
        let zone = &self.catalog.target(target)?.entry.zone;
        (*zone != self.fleet.me().zone).then(|| zone.clone())
    }
}

fn is_target_in(catalog: &catalog::Catalog, zone: &str, target: record::Id) -> bool {
    let target = catalog.target(target);
    target.is_some_and(|it| *it.entry.zone == *zone)
}

/// Returns whether the path to a target's zone is not cut.
pub(super) fn is_reachable(
    catalog: &catalog::Catalog,
    paths: &path::Table,
    target: record::Id,
) -> bool {
    let target = catalog.target(target);
    target.is_none_or(|it| !paths.is_cut(&it.entry.zone))
}
