//! Whether packets reach the targets of other zones: one belief for each zone, shared by the
//! balancers of the own one.
//!
//! A partition fails all targets behind it at once. Flows that fail there make the zone suspected;
//! then balancers of that zone are asked for an answer, and the silence of several of them together
//! with that of a target and of probes is taken for a cut. What is proven later than the cut began
//! ends it.
//!
//! Each cut has a number, one more than the last that its finder knew of. Among the words of peers a
//! higher number wins, and for one number the word that the path is open; so the order of messages
//! does not matter, and no word comes back. Times would not do: peers tell ages, and an age gets
//! younger with each message that passes it on. A finder whose peers prove that the path is open
//! goes on believing in the cut for itself, until it has proof of its own.

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

/// Pause between two questions to balancers of a suspected zone. A path inside a region passes a
/// question and its answer in less, and each tick of the driver, 30 ms, finds a question due.
const PING_PERIOD: Duration = Duration::from_millis(25);

/// Questions that stay unanswered before a zone is taken for cut off.
const MIN_UNANSWERED_PINGS: u32 = 4;

/// Targets and balancers of a zone that have to be silent together, one target at least.
const MIN_UNRESPONSIVE_NODES: usize = 3;

/// Time after which a suspicion that was not confirmed ends; another failure begins a new one.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);

/// Failed targets of a suspected zone that are told apart at most.
const MAX_FAILED_TARGETS: usize = 8;

/// Pause between two questions to a zone that is cut off.
const CUT_PING_PERIOD: Duration = Duration::from_millis(100);

/// Pause between two probes of targets in a zone that is cut off, which may live without a balancer
/// of their zone.
const CUT_PROBE_PERIOD: Duration = Duration::from_millis(600);

/// Time without suspicion after a target answered whose zone's balancers did not.
const FAILURE_HOLD_OFF: Duration = Duration::from_millis(1_000);

/// Time after peers disproved a cut in which another one is not told to them.
const DISPUTE_PERIOD: Duration = Duration::from_secs(5);

/// Time for which a former cut is told to peers, so that none goes on believing in it.
const REPORT_RETENTION: Duration = Duration::from_secs(20);

mulberrynotch_macros::value! {
    /// What is believed of the path to a zone.
    pub enum State {
        /// Packets arrive, as far as is known.
        Open,
        /// Flows fail, and balancers of the zone have been asked.
        Suspected,
        /// Nothing arrives.
        Cut,
    }
}

/// What a suspicion rests on.
#[derive(Clone, Debug)]
struct Suspicion {
    since: Duration,
    /// Targets that did not answer.
    targets: Vec<record::Id>,
    /// Questions sent, and the most balancers that one of them went to.
    pings: u32,
    max_pinged: usize,
    pinged_at: Option<Duration>,
    /// Other targets that are probed, and probes that failed.
    probes: Option<u32>,
    failed_probes: u32,
}

#[derive(Clone, Debug, Default)]
struct Path {
    /// Number of the latest cut, and whether it goes on.
    number: u64,
    shared: bool,
    /// True when this balancer found the latest cut itself.
    detected_here: bool,
    /// True while the cut holds for this balancer, although its peers proved that it does not for
    /// them.
    local: bool,
    /// Until when failures make no suspicion.
    hold_off_until: Duration,
    /// When peers disproved a cut that this balancer found.
    disputed_at: Option<Duration>,
    /// Latest time at which a packet is known to have arrived in the zone.
    proven_at: Option<Duration>,
    /// Latest time from which on nothing arrived.
    cut_at: Option<Duration>,
    suspicion: Option<Suspicion>,
    pinged_at: Option<Duration>,
    probed_at: Option<Duration>,
}

impl Path {
    fn is_cut(&self) -> bool {
        self.shared || self.local
    }

    /// Ends the belief in a cut; returns whether there was one.
    fn end_cut(&mut self) -> bool {
        let was_cut = self.is_cut();
        self.shared = false;
        self.local = false;
        was_cut
    }

    /// Place of the own word among those of others.
    fn precedence(&self) -> (u64, bool) {
        (self.number, !self.shared)
    }
}

mulberrynotch_macros::data! {
    /// What a balancer tells of a path.
    #[derive(Copy)]
    pub struct Report {
        /// Number of the latest cut.
        pub number: u64,
        /// True when that cut has ended.
        pub open: bool,
        /// When the cut began, or when a packet was known to arrive.
        pub at: Duration,
    }

    /// A changed belief.
    #[derive(Copy)]
    pub enum Change {
        /// Nothing arrives in the zone any more.
        Cut,
        /// Packets arrive again.
        Opened,
    }

    /// What a word of a peer led to.
    #[derive(Copy)]
    pub enum Merge {
        /// The belief changed.
        Changed(Change),
        /// It was known.
        Known,
        /// More recent proof speaks against it.
        Outdated,
    }

    /// What a belief rests on, for operators.
    pub struct Status {
        /// The zone.
        pub zone: Arc<str>,
        /// The belief.
        pub state: State,
        /// True when peers have proof that the path is open for them.
        pub local: bool,
        /// Time since a packet is known to have arrived.
        pub proven: Option<Duration>,
        /// Time since the latest cut began.
        pub cut: Option<Duration>,
        /// Targets whose silence a suspicion rests on.
        pub failed_targets: usize,
        /// Unanswered questions of a suspicion.
        pub pings: u32,
    }
}

/// Beliefs on the paths from the own zone.
#[derive(Debug, Default)]
pub struct Table {
    paths: BTreeMap<Arc<str>, Path>,
}

impl Table {
    /// The belief on the path to a zone.
    pub fn state(&self, zone: &str) -> State {
        match self.paths.get(zone) {
            Some(path) if path.is_cut() => State::Cut,
            Some(path) if path.suspicion.is_some() => State::Suspected,
            _ => State::Open,
        }
    }

    /// True while nothing arrives in a zone.
    pub fn is_cut(&self, zone: &str) -> bool {
        self.state(zone) == State::Cut
    }

    /// True while a cut holds for this balancer alone, which then looks for its end itself.
    pub fn is_local_cut(&self, zone: &str) -> bool {
        self.paths.get(zone).is_some_and(|it| it.local)
    }

    /// True while a path is suspected or cut.
    pub fn is_any_impaired(&self) -> bool {
        let mut paths = self.paths.values();
        paths.any(|it| it.is_cut() || it.suspicion.is_some())
    }

    /// Zones in which nothing arrives.
    pub fn cut_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.paths
            .iter()
            .filter(|(_, path)| path.is_cut())
            .map(|(zone, _)| zone)
    }

    /// When the latest cut of a zone began.
    pub fn last_cut_at(&self, zone: &str) -> Option<Duration> {
        self.paths.get(zone)?.cut_at
    }

    /// Notes that a probe of this balancer did not reach a target of a zone.
    pub fn probe_failed(&mut self, zone: &str) {
        let path = self.paths.get_mut(zone);
        if let Some(suspicion) = path.and_then(|it| it.suspicion.as_mut()) {
            suspicion.failed_probes = suspicion.failed_probes.saturating_add(1);
        }
    }

    /// Notes that a target of a zone accepted a probe that was sent at `at`. Where its balancers do
    /// not answer all the same, failures of single targets are no reason to ask them for a while.
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
        self.note_arrival(zone, at)
    }

    /// Suspected zones whose targets have not been probed.
    pub fn zones_to_probe(&self) -> Vec<Arc<str>> {
        self.suspected(|it| it.probes.is_none())
    }

    /// Notes that `count` targets of a suspected zone are being probed.
    pub fn note_probes_sent(&mut self, zone: &str, count: u32) {
        let path = self.paths.get_mut(zone);
        if let Some(suspicion) = path.and_then(|it| it.suspicion.as_mut()) {
            suspicion.probes = Some(count);
            suspicion.failed_probes = 0;
        }
    }

    /// Notes that a packet for a target of a zone, sent at `sent_at`, stayed unanswered.
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

    /// Notes that a packet sent at `at` has arrived in a zone.
    pub fn note_arrival(&mut self, zone: &Arc<str>, at: Duration) -> Option<Change> {
        let path = self.paths.entry(zone.clone()).or_default();
        path.proven_at = path.proven_at.max(Some(at));
        path.suspicion = path.suspicion.take().filter(|it| it.since > at);
        let disproves_cut = path.cut_at.is_none_or(|cut_at| at >= cut_at);
        (disproves_cut && path.end_cut()).then_some(Change::Opened)
    }

    /// Takes in the word of a peer of the own zone.
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
            // What this balancer found itself ends by its own proof only.
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

    /// What peers are told of the path to a zone; `None` while there was no cut.
    pub fn report(&self, now: Duration, own: &Arc<str>, zone: &Arc<str>) -> Option<message::Path> {
        let path = self.paths.get(zone).filter(|it| it.number > 0)?;
        let at = if path.shared {
            path.cut_at
        } else {
            path.proven_at
        };
        let age = now.saturating_sub(at.unwrap_or(now)).as_millis();
        Some(message::Path {
            from: own.clone(),
            to: zone.clone(),
            number: path.number,
            open: !path.shared,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// What heartbeats tell: the cuts, and those that ended lately.
    pub fn reports(&self, now: Duration, own: &Arc<str>) -> Vec<message::Path> {
        let recent = |path: &Path| {
            let cut_at = path.cut_at;
            path.is_cut() || cut_at.is_some_and(|at| now.saturating_sub(at) < REPORT_RETENTION)
        };
        let zones = self.paths.iter().filter(|(_, path)| recent(path));
        zones
            .filter_map(|(zone, _)| self.report(now, own, zone))
            .collect()
    }

    /// Zones of which balancers are to be asked now because they are suspected.
    pub fn zones_to_ping(&self, now: Duration) -> Vec<Arc<str>> {
        self.suspected(|it| {
            it.pings < MIN_UNANSWERED_PINGS && it.pinged_at.is_none_or(|at| now >= at + PING_PERIOD)
        })
    }

    /// Suspected zones whose suspicion is `due` for something.
    fn suspected(&self, due: impl Fn(&Suspicion) -> bool) -> Vec<Arc<str>> {
        let paths = self.paths.iter();
        paths
            .filter(|(_, path)| path.suspicion.as_ref().is_some_and(&due))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Notes that `count` balancers of a suspected zone were asked.
    pub fn note_pinged(&mut self, now: Duration, zone: &str, count: usize) {
        let path = self.paths.get_mut(zone);
        if let Some(suspicion) = path.and_then(|it| it.suspicion.as_mut()) {
            suspicion.pings += 1;
            suspicion.max_pinged = suspicion.max_pinged.max(count);
            suspicion.pinged_at = Some(now);
        }
    }

    /// Decides on suspicions whose questions stayed unanswered; `in_touch` is false when the link of
    /// this balancer may be what fails. Returns the zones that are taken for cut off.
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

    /// Ends all suspicions: after a pause of the VM, answers may have waited unread.
    pub fn drop_suspicions(&mut self) {
        for path in self.paths.values_mut() {
            path.suspicion = None;
        }
    }

    /// True when a balancer of a zone that is cut off is to be asked again; it counts as asked then.
    /// `lot` varies the pause.
    pub fn start_cut_ping(&mut self, now: Duration, zone: &str, jitter_seed: u64) -> bool {
        let path = self.paths.get_mut(zone).filter(|it| it.is_cut());
        path.is_some_and(|it| is_due(&mut it.pinged_at, now, CUT_PING_PERIOD, jitter_seed))
    }

    /// True when a target of a zone that is cut off is to be probed; it counts as probed then.
    pub fn start_cut_probe(&mut self, now: Duration, zone: &str, jitter_seed: u64) -> bool {
        let path = self.paths.get_mut(zone).filter(|it| it.is_cut());
        path.is_some_and(|it| is_due(&mut it.probed_at, now, CUT_PROBE_PERIOD, jitter_seed))
    }

    /// The beliefs and what they rest on.
    pub fn statuses(&self, now: Duration) -> Vec<Status> {
        let zones = self.paths.keys();
        zones.filter_map(|zone| self.status(now, zone)).collect()
    }

    /// The belief on the path to a zone and what it rests on; `None` where nothing was seen of it.
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
            probes: None,
            failed_probes: 0,
        }
    }

    fn is_confirmed(&self, now: Duration) -> bool {
        let waited = self.pinged_at.is_some_and(|at| now >= at + PING_PERIOD);
        let unresponsive = self.targets.len() + self.max_pinged;
        let probed = self
            .probes
            .is_some_and(|it| self.failed_probes >= it.max(1));
        self.pings >= MIN_UNANSWERED_PINGS
            && waited
            && probed
            && unresponsive >= MIN_UNRESPONSIVE_NODES
    }
}

/// True when a pause since `last` is over; it begins anew then.
fn is_due(last: &mut Option<Duration>, now: Duration, pause: Duration, jitter_seed: u64) -> bool {
    let due = last.is_none_or(|at| now >= at + pause + jitter::of(pause, jitter_seed));
    if due {
        *last = Some(now);
    }
    due
}
