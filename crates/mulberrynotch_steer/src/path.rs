//! Detection of network partitions: the state of the path to each other zone, shared by the
//! balancers of this zone.
//!
//! A partition makes all targets behind it fail at once. Failed flows make a path suspected. The
//! balancer then pings balancers of that zone and probes targets there. The zone is cut off when
//! several balancers and at least one target do not answer and the probes fail. A packet that
//! arrives after the start of the cut ends it.
//!
//! Each cut has a number, one more than the last number known to the balancer that detected it. Of
//! two reports the one with the higher number wins, and for equal numbers the one that the path is
//! open. The result is therefore independent of the order of messages, and an outdated report
//! cannot reinstate a cut. Timestamps do not work for this: peers exchange ages, and an age
//! decreases with each relay. A balancer that detected a cut, and whose peers report the path as
//! open, keeps the cut for itself until it has its own evidence that packets arrive.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use crate::{
    jitter,
    message,
    record, //
};

/// Interval between pings of a suspected zone. A ping and its answer take less time inside a
/// region, and each tick of the driver, every 30 ms, finds a ping due.
const PING_PERIOD: Duration = Duration::from_millis(25);

/// Unanswered pings before a zone counts as cut off.
const MIN_UNANSWERED_PINGS: u32 = 4;

/// Targets and balancers of a zone that must be unresponsive together, among them at least one
/// target.
const MIN_UNRESPONSIVE_NODES: usize = 3;

/// Time after which an unconfirmed suspicion ends; another failure starts a new one.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);

/// Failed targets that a suspicion keeps apart.
const MAX_FAILED_TARGETS: usize = 8;

/// Interval between pings of a zone that is cut off.
const CUT_PING_PERIOD: Duration = Duration::from_millis(100);

/// Interval between probes of targets in a zone that is cut off. The targets may work without any
/// balancer in their zone.
const CUT_PROBE_PERIOD: Duration = Duration::from_millis(600);

/// Time for which failures raise no suspicion after a target answered a probe although the
/// balancers of its zone did not answer.
const FAILURE_HOLD_OFF: Duration = Duration::from_millis(1_000);

/// Time after peers disproved a cut during which a new cut is not reported to them.
const DISPUTE_PERIOD: Duration = Duration::from_secs(5);

/// Time for which the end of a cut is reported to peers, so that none keeps the cut.
const REPORT_RETENTION: Duration = Duration::from_secs(20);

mulberrynotch_macros::value! {
    /// State of the path to a zone.
    pub enum State {
        /// Packets arrive, as far as known.
        Open,
        /// Flows fail; balancers of the zone are pinged.
        Suspected,
        /// No packets arrive.
        Cut,
    }
}

/// Evidence that a zone may be cut off.
#[derive(Clone, Debug)]
struct Suspicion {
    since: Duration,
    /// Targets that did not answer.
    targets: Vec<record::Id>,
    /// Pings sent, and the largest number of balancers that one of them went to.
    pings: u32,
    max_pinged: usize,
    pinged_at: Option<Duration>,
    /// Number of targets that are probed, and of probes that failed.
    probes_sent: Option<u32>,
    failed_probes: u32,
}

#[derive(Clone, Debug, Default)]
struct Path {
    /// Number of the latest cut, and whether the zone's balancers share it now.
    number: u64,
    shared: bool,
    /// True when this balancer detected the latest cut.
    detected_here: bool,
    /// True while this balancer keeps a cut that its peers disproved for themselves.
    local: bool,
    /// Time until which failures raise no suspicion.
    hold_off_until: Duration,
    /// Time at which peers disproved a cut that this balancer had detected.
    disputed_at: Option<Duration>,
    /// Latest time at which a packet is known to have arrived in the zone.
    proven_at: Option<Duration>,
    /// Start of the latest cut.
    cut_at: Option<Duration>,
    suspicion: Option<Suspicion>,
    pinged_at: Option<Duration>,
    probed_at: Option<Duration>,
}

impl Path {
    fn is_cut(&self) -> bool {
        self.shared || self.local
    }

    /// Marks the path as open; returns whether it was cut.
    fn end_cut(&mut self) -> bool {
        let was_cut = self.is_cut();
        self.shared = false;
        self.local = false;
        was_cut
    }

    /// Order of reports: the higher one replaces the lower one.
    fn precedence(&self) -> (u64, bool) {
        (self.number, !self.shared)
    }
}

mulberrynotch_macros::data! {
    /// Report of a peer on a path.
    #[derive(Copy)]
    pub struct Report {
        /// Number of the latest cut.
        pub number: u64,
        /// True when that cut has ended.
        pub open: bool,
        /// Start of the cut, or the time of the latest known arrival when the path is open.
        pub at: Duration,
    }

    /// Change of a path's state.
    #[derive(Copy)]
    pub enum Change {
        /// The zone is cut off.
        Cut,
        /// Packets arrive again.
        Opened,
    }

    /// Result of merging a peer's report.
    #[derive(Copy)]
    pub enum Merge {
        /// The state changed.
        Changed(Change),
        /// The report brought nothing new.
        Known,
        /// The report contradicts more recent evidence.
        Outdated,
    }

    /// State of a path and the evidence for it, for operators.
    pub struct Status {
        /// Zone that the path leads to.
        pub zone: Arc<str>,
        /// State of the path.
        pub state: State,
        /// True when the cut holds for this balancer only, since its peers reported the path as
        /// open.
        pub local: bool,
        /// Time since the latest known arrival of a packet.
        pub proven: Option<Duration>,
        /// Time since the latest cut began.
        pub cut: Option<Duration>,
        /// Number of unresponsive targets of a suspicion.
        pub failed_targets: usize,
        /// Number of pings of a suspicion.
        pub pings: u32,
    }
}

/// State of the paths from this zone to all others.
#[derive(Debug, Default)]
pub struct Table {
    paths: BTreeMap<Arc<str>, Path>,
}

impl Table {
    /// Returns the state of the path to a zone.
    pub fn state(&self, zone: &str) -> State {
        match self.paths.get(zone) {
            Some(path) if path.is_cut() => State::Cut,
            Some(path) if path.suspicion.is_some() => State::Suspected,
            _ => State::Open,
        }
    }

    /// Returns whether a zone is cut off.
    pub fn is_cut(&self, zone: &str) -> bool {
        self.state(zone) == State::Cut
    }

    /// Returns whether a cut holds for this balancer only, which then has to detect its end itself.
    pub fn is_local_cut(&self, zone: &str) -> bool {
        self.paths.get(zone).is_some_and(|it| it.local)
    }

    /// Returns whether any path is suspected or cut.
    pub fn is_any_impaired(&self) -> bool {
        let mut paths = self.paths.values();
        paths.any(|it| it.is_cut() || it.suspicion.is_some())
    }

    /// Returns the zones that are cut off.
    pub fn cut_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.paths
            .iter()
            .filter(|(_, path)| path.is_cut())
            .map(|(zone, _)| zone)
    }

    /// Returns when the latest cut of a zone began.
    pub fn last_cut_at(&self, zone: &str) -> Option<Duration> {
        self.paths.get(zone)?.cut_at
    }

    /// Records that a probe of this balancer did not reach a target of a zone.
    pub fn probe_failed(&mut self, zone: &str) {
        let path = self.paths.get_mut(zone);
        if let Some(suspicion) = path.and_then(|it| it.suspicion.as_mut()) {
            suspicion.failed_probes = suspicion.failed_probes.saturating_add(1);
        }
    }

    /// Records that a target of a zone accepted a probe sent at `at`. If the zone was suspected,
    /// failures raise no suspicion for a while: the balancers there do not answer, but the path
    /// works.
    pub fn probe_accepted(
        &mut self,
        now: Duration,
        zone: &Arc<str>,
        at: Duration,
    ) -> Option<Change> {
        let path = self.paths.entry(zone.clone()).or_default();
        if path.suspicion.take().is_some() {
            path.hold_off_until = now + FAILURE_HOLD_OFF;
        }
        self.record_arrival(zone, at)
    }

    /// Returns the suspected zones whose targets have not been probed yet.
    pub fn zones_to_probe(&self) -> Vec<Arc<str>> {
        self.zones_with_suspicion(|it| it.probes_sent.is_none())
    }

    /// Records that probes were sent to `count` targets of a suspected zone.
    pub fn record_probes_sent(&mut self, zone: &str, count: u32) {
        let path = self.paths.get_mut(zone);
        if let Some(suspicion) = path.and_then(|it| it.suspicion.as_mut()) {
            suspicion.probes_sent = Some(count);
            suspicion.failed_probes = 0;
        }
    }

    /// Records that a packet sent at `sent_at` to a target of a zone was not answered.
    pub fn failed(
        &mut self,
        now: Duration,
        zone: &Arc<str>,
        target: record::Id,
        sent_at: Duration,
    ) {
        let path = self.paths.entry(zone.clone()).or_default();
        let arrived = path.proven_at.is_some_and(|at| at > sent_at);
        if path.is_cut() || arrived || now < path.hold_off_until {
            return;
        }
        let suspicion = path.suspicion.get_or_insert_with(|| Suspicion::new(now));
        if suspicion.targets.len() < MAX_FAILED_TARGETS && !suspicion.targets.contains(&target) {
            suspicion.targets.push(target);
        }
    }

    /// Records that a packet sent at `at` arrived in a zone.
    pub fn record_arrival(&mut self, zone: &Arc<str>, at: Duration) -> Option<Change> {
        let path = self.paths.entry(zone.clone()).or_default();
        path.proven_at = path.proven_at.max(Some(at));
        path.suspicion = path.suspicion.take().filter(|it| it.since > at);
        let disproves_cut = path.cut_at.is_none_or(|cut_at| at >= cut_at);
        (disproves_cut && path.end_cut()).then_some(Change::Opened)
    }

    /// Merges a report of a peer in this zone.
    pub fn merge_report(&mut self, now: Duration, zone: &Arc<str>, report: Report) -> Merge {
        let path = self.paths.entry(zone.clone()).or_default();
        let (theirs, own) = ((report.number, report.open), path.precedence());
        if theirs <= own {
            let known = theirs == own;
            return if known { Merge::Known } else { Merge::Outdated };
        }
        let detected_here = path.detected_here && path.number == report.number;
        let was_cut = path.is_cut();
        path.number = report.number;
        path.detected_here = false;
        if report.open {
            path.suspicion = None;
            path.cut_at.get_or_insert(report.at);
            path.shared = false;
            if detected_here {
                path.local = true;
                path.disputed_at = Some(now);
            }
            // A cut that this balancer detected ends only by its own evidence.
            if !was_cut || path.local {
                return Merge::Known;
            }
            path.end_cut();
            return Merge::Changed(Change::Opened);
        }
        if path.proven_at > Some(report.at) {
            path.shared = false;
            path.cut_at = path.cut_at.max(Some(report.at));
            return Merge::Outdated;
        }
        path.shared = true;
        path.suspicion = None;
        path.cut_at = path.cut_at.max(Some(report.at));
        match was_cut {
            true => Merge::Known,
            false => Merge::Changed(Change::Cut),
        }
    }

    /// Returns the report on a zone for peers; `None` if there was no cut.
    pub fn report(
        &self,
        now: Duration,
        own_zone: &Arc<str>,
        zone: &Arc<str>,
    ) -> Option<message::Path> {
        let path = self.paths.get(zone).filter(|it| it.number > 0)?;
        let at = if path.shared {
            path.cut_at
        } else {
            path.proven_at
        };
        let age = now.saturating_sub(at.unwrap_or(now)).as_millis();
        Some(message::Path {
            from: own_zone.clone(),
            to: zone.clone(),
            number: path.number,
            open: !path.shared,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns the reports for heartbeats: present cuts, and those that ended recently.
    pub fn reports(&self, now: Duration, own_zone: &Arc<str>) -> Vec<message::Path> {
        let recent = |path: &Path| {
            let cut_at = path.cut_at;
            path.is_cut() || cut_at.is_some_and(|at| now.saturating_sub(at) < REPORT_RETENTION)
        };
        let zones = self.paths.iter().filter(|(_, path)| recent(path));
        zones
            .filter_map(|(zone, _)| self.report(now, own_zone, zone))
            .collect()
    }

    /// Returns the suspected zones whose balancers are due to be pinged.
    pub fn zones_to_ping(&self, now: Duration) -> Vec<Arc<str>> {
        self.zones_with_suspicion(|suspicion| {
            suspicion.pings < MIN_UNANSWERED_PINGS
                && suspicion.pinged_at.is_none_or(|at| now >= at + PING_PERIOD)
        })
    }

    /// Returns the zones whose suspicion satisfies `due`.
    fn zones_with_suspicion(&self, due: impl Fn(&Suspicion) -> bool) -> Vec<Arc<str>> {
        let paths = self.paths.iter();
        paths
            .filter(|(_, path)| path.suspicion.as_ref().is_some_and(&due))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Records that `count` balancers of a suspected zone were pinged.
    pub fn record_pings(&mut self, now: Duration, zone: &str, count: usize) {
        let path = self.paths.get_mut(zone);
        if let Some(suspicion) = path.and_then(|it| it.suspicion.as_mut()) {
            suspicion.pings += 1;
            suspicion.max_pinged = suspicion.max_pinged.max(count);
            suspicion.pinged_at = Some(now);
        }
    }

    /// Decides on suspicions whose pings were not answered, and returns the zones that are cut off
    /// from now on. With `link_works` false no zone is cut off, since the link of this balancer may
    /// be at fault.
    pub fn decide(&mut self, now: Duration, link_works: bool) -> Vec<Arc<str>> {
        let mut cut = Vec::new();
        for (zone, path) in &mut self.paths {
            let Some(suspicion) = &path.suspicion else {
                continue;
            };
            if link_works && suspicion.is_confirmed(now) {
                path.cut_at = Some(suspicion.since);
                path.suspicion = None;
                path.detected_here = true;
                let disputed = |at: Duration| now.saturating_sub(at) < DISPUTE_PERIOD;
                if path.disputed_at.is_some_and(disputed) {
                    path.local = true;
                } else {
                    path.number += 1;
                    path.shared = true;
                }
                cut.push(zone.clone());
            } else if now >= suspicion.since + SUSPICION_TIMEOUT {
                path.suspicion = None;
            }
        }
        cut
    }

    /// Drops all suspicions. After a pause of the VM, answers may be waiting in a buffer.
    pub fn drop_suspicions(&mut self) {
        for path in self.paths.values_mut() {
            path.suspicion = None;
        }
    }

    /// Returns whether balancers of a zone that is cut off are due to be pinged, and restarts the
    /// interval if so. `jitter_seed` varies the interval.
    pub fn start_cut_ping(&mut self, now: Duration, zone: &str, jitter_seed: u64) -> bool {
        let path = self.paths.get_mut(zone).filter(|it| it.is_cut());
        path.is_some_and(|it| is_due(&mut it.pinged_at, now, CUT_PING_PERIOD, jitter_seed))
    }

    /// Returns whether a target of a zone that is cut off is due to be probed, and restarts the
    /// interval if so.
    pub fn start_cut_probe(&mut self, now: Duration, zone: &str, jitter_seed: u64) -> bool {
        let path = self.paths.get_mut(zone).filter(|it| it.is_cut());
        path.is_some_and(|it| is_due(&mut it.probed_at, now, CUT_PROBE_PERIOD, jitter_seed))
    }

    /// Returns the status of all paths.
    pub fn statuses(&self, now: Duration) -> Vec<Status> {
        let zones = self.paths.keys();
        zones.filter_map(|zone| self.status(now, zone)).collect()
    }

    /// Returns the status of the path to a zone; `None` if nothing is known of it.
    pub fn status(&self, now: Duration, zone: &Arc<str>) -> Option<Status> {
        let path = self.paths.get(zone)?;
        let age = |at: Option<Duration>| at.map(|at| now.saturating_sub(at));
        Some(Status {
            zone: zone.clone(),
            state: self.state(zone),
            local: path.local,
            proven: age(path.proven_at),
            cut: age(path.cut_at),
            failed_targets: path.suspicion.as_ref().map_or(0, |it| it.targets.len()),
            pings: path.suspicion.as_ref().map_or(0, |it| it.pings),
        })
    }
}

impl Suspicion {
    fn new(now: Duration) -> Self {
        Self {
            since: now,
            targets: Vec::new(),
            pings: 0,
            max_pinged: 0,
            pinged_at: None,
            probes_sent: None,
            failed_probes: 0,
        }
    }

    fn is_confirmed(&self, now: Duration) -> bool {
        let waited = self.pinged_at.is_some_and(|at| now >= at + PING_PERIOD);
        let unresponsive = self.targets.len() + self.max_pinged;
        let probed = self
            .probes_sent
            .is_some_and(|it| self.failed_probes >= it.max(1));
        self.pings >= MIN_UNANSWERED_PINGS
            && waited
            && probed
            && unresponsive >= MIN_UNRESPONSIVE_NODES
    }
}

/// Returns whether the pause since `last` has passed, and restarts it if so.
fn is_due(last: &mut Option<Duration>, now: Duration, pause: Duration, jitter_seed: u64) -> bool {
    let due = last.is_none_or(|at| now >= at + pause + jitter::of(pause, jitter_seed));
    if due {
        *last = Some(now);
    }
    due
}
