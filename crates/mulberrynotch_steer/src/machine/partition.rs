//! Paths to other zones: questions, decisions, and what follows from them.

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

/// Balancers of another zone that one question goes to.
const ASKED: usize = 2;

/// Targets of a suspected zone that are probed.
const PROBED_TARGETS: usize = 2;

/// Balancers of a zone that look whether a cut has ended.
const PROBERS: usize = 2;

/// Peers of the own zone that each balancer tells of a changed belief. Each of them passes it on as
/// its own belief changes, so a zone of any size knows after a few steps.
const TOLD_PEERS: usize = 4;

/// Time before a suspicion in which the failures that it explains began.
const EXPLAINED: Duration = Duration::from_millis(700);

/// Length of a cut from which on it explains failures behind it.
const EXPLAINS: Duration = Duration::from_millis(1_000);

/// Time of a connection attempt; what is accepted arrived within it.
const PROBE_TIME: Duration = Duration::from_millis(100);

impl Machine {
    /// Counts a packet that stayed unanswered against the path to its target's zone.
    pub(super) fn note_failure_on_path(
        &mut self,
        now: Duration,
        target: record::Id,
        sent_at: Duration,
    ) {
        if let Some(zone) = self.zone_elsewhere(target) {
            self.paths.failed(now, &zone, target, sent_at);
        }
    }

    /// Takes in a probe of a target as evidence on the path to it.
    pub(super) fn note_probe_on_path(
        &mut self,
        now: Duration,
        target: record::Id,
        outcome: evidence::Probe,
    ) {
        let Some(zone) = self.zone_elsewhere(target) else {
            return;
        };
        let sent_at = now.saturating_sub(PROBE_TIME);
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
            // The target's VM may have refused it, or the network at the edge of a partition.
            evidence::Probe::Refused => self.paths.probe_failed(&zone),
        }
    }

    /// Notes that a packet sent at `at` has arrived in a zone.
    pub(super) fn note_arrival(&mut self, now: Duration, zone: &Arc<str>, at: Duration) {
        if *zone == self.fleet.me().zone {
            return;
        }
        if let Some(change) = self.paths.proven(zone, at) {
            self.path_changed(now, zone, change, None);
        }
    }

    /// Takes in an answer to a question.
    pub(super) fn take_answer(&mut self, now: Duration, from: SocketAddrV4, asked_at: Duration) {
        let Some(zone) = self.fleet.zone_of(from).cloned() else {
            return;
        };
        if zone == self.fleet.me().zone {
            self.evidence.contact_mut().answered(now, asked_at);
        } else if asked_at <= now {
            // The message holds whole milliseconds, rounded down.
            let at = now.min(asked_at + Duration::from_millis(1));
            self.note_arrival(now, &zone, at);
        }
    }

    /// Takes in the belief of a peer of the own zone; one of another zone has other paths.
    pub(super) fn take_path(&mut self, now: Duration, from: SocketAddrV4, told: &message::Path) {
        let own = self.fleet.me().zone.clone();
        if told.from != own || told.to == own {
            return;
        }
        let word = path::Word {
            number: told.number,
            open: told.open,
            at: now.saturating_sub(Duration::from_millis(told.age_ms.into())),
        };
        match self.paths.told(now, &told.to, word) {
            path::Merge::Changed(change) => self.path_changed(now, &told.to, change, Some(from)),
            path::Merge::Outdated => self.send_path(now, vec![from], &told.to),
            path::Merge::Known => {}
        }
    }

    /// Asks a balancer of a zone that is cut off and was heard of: the cut may have ended.
    pub(super) fn ask_back(&mut self, now: Duration, from: SocketAddrV4, zone: &Arc<str>) {
        if self.paths.is_cut(zone) && self.paths.ask_cut(now, zone, 0) {
            self.ask(now, vec![from]);
        }
    }

    /// Asks about suspected paths, decides on them, and looks whether cuts have ended.
    pub(super) fn check_paths(&mut self, now: Duration) {
        if !self.paths.is_troubled() {
            return;
        }
        for zone in self.paths.questions(now) {
            let members = self.fleet.sample_of(now, &zone, ASKED);
            self.paths.asked(now, &zone, members.len());
            self.ask(now, members);
        }
        for zone in self.paths.unprobed() {
            let count = self.probe_in(now, &zone, PROBED_TARGETS);
            self.paths.probed(&zone, count);
        }
        self.decide_paths(now);
        let cut: Vec<_> = self.paths.cut().cloned().collect();
        for zone in cut {
            self.look_for_end(now, &zone);
        }
    }

    /// Decides on suspicions.
    fn decide_paths(&mut self, now: Duration) {
        let (catalog, paths) = (&self.catalog, &self.paths);
        let open = |id: record::Id| {
            let target = catalog.target(id);
            target.is_some_and(|it| paths.state(&it.entry.zone) == path::State::Open)
        };
        let in_touch = self.evidence.is_in_touch(now, open);
        for zone in self.paths.decide(now, in_touch) {
            self.path_changed(now, &zone, path::Change::Cut, None);
        }
    }

    fn look_for_end(&mut self, now: Duration, zone: &Arc<str>) {
        let prober = self
            .fleet
            .is_among(now, rendezvous::hash_name(zone), PROBERS);
        if !prober && !self.paths.is_alone(zone) {
            return;
        }
        let lot = self.draw();
        if self.paths.ask_cut(now, zone, lot) {
            let members = self.fleet.sample_of(now, zone, ASKED);
            self.ask(now, members);
        }
        if self.paths.probe_cut(now, zone, lot) {
            self.probe_in(now, zone, 1);
        }
    }

    /// Probes targets of a zone, drawn at random; returns how many.
    pub(super) fn probe_in(&mut self, now: Duration, zone: &str, most: usize) -> u32 {
        let lot = self.draw();
        let inside = self.catalog.targets().filter(|it| *it.entry.zone == *zone);
        let usable = inside.filter(|it| self.catalog.target_lives(now, it));
        let mut ids: Vec<_> = usable.map(|it| it.id).collect();
        ids.sort_unstable_by_key(|id| rendezvous::weight(lot, id.0));
        ids.truncate(most);
        ids.iter().for_each(|id| self.probe(*id));
        u32::try_from(ids.len()).unwrap_or(u32::MAX)
    }

    fn ask(&mut self, now: Duration, to: Vec<SocketAddrV4>) {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        if !to.is_empty() {
            self.send(to, message::Message::Ask(now_ms));
        }
    }

    fn path_changed(
        &mut self,
        now: Duration,
        zone: &Arc<str>,
        change: path::Change,
        told_by: Option<SocketAddrV4>,
    ) {
        self.log_path(now, zone, told_by);
        let peers = self.fleet.sample_near(now, TOLD_PEERS);
        self.send_path(now, peers, zone);
        if change == path::Change::Opened {
            self.excuse_targets(now, zone);
        }
        self.check_rotation_now(now);
    }

    fn send_path(&mut self, now: Duration, to: Vec<SocketAddrV4>, zone: &Arc<str>) {
        let own = self.fleet.me().zone.clone();
        if let Some(word) = self.paths.word(now, &own, zone) {
            self.send(to, message::Message::Path(word));
        }
    }

    /// Drops the evidence against targets that a cut explains, now that it has ended. One that was
    /// disproved soon explains nothing: its targets may have ended.
    fn excuse_targets(&mut self, now: Duration, zone: &Arc<str>) {
        let lasted = |at: &Duration| now.saturating_sub(*at) >= EXPLAINS;
        let Some(cut_at) = self.paths.last_cut(zone).filter(lasted) else {
            return;
        };
        let catalog = &self.catalog;
        let inside = |id| is_in(catalog, zone, id);
        let since = cut_at.saturating_sub(EXPLAINED);
        for target in self.evidence.forget_since(since, inside) {
            self.log_verdict(now, target);
        }
    }

    fn log_path(&mut self, now: Duration, zone: &Arc<str>, told_by: Option<SocketAddrV4>) {
        if let Some(belief) = self.paths.belief(now, zone) {
            self.log(Event::Path {
                zone: zone.clone(),
                state: belief.state,
                told_by,
                proven: belief.proven,
                cut: belief.cut,
                contact: self.evidence.contact().age(now),
            });
        }
    }

    /// True unless the path to a target's zone is cut.
    pub(super) fn is_reached(&self, target: record::Id) -> bool {
        is_reached(&self.catalog, &self.paths, target)
    }

    /// Zone of a target, if it is another one than this balancer's.
    fn zone_elsewhere(&self, target: record::Id) -> Option<Arc<str>> {
        let zone = &self.catalog.target(target)?.entry.zone;
        (*zone != self.fleet.me().zone).then(|| zone.clone())
    }
}

fn is_in(catalog: &catalog::Catalog, zone: &str, target: record::Id) -> bool {
    let target = catalog.target(target);
    target.is_some_and(|it| *it.entry.zone == *zone)
}

/// True unless the path to a target's zone is cut.
pub(super) fn is_reached(
    catalog: &catalog::Catalog,
    paths: &path::Table,
    target: record::Id,
) -> bool {
    let target = catalog.target(target);
    target.is_none_or(|it| !paths.is_cut(&it.entry.zone))
}
