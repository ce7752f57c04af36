//! Passive health checks: whether targets answer, as seen in the packets of their clients.
//!
//! Targets answer clients directly, so a balancer sees only the clients' packets. A client that
//! acknowledges new bytes shows progress of its target. A client that repeats data or opening
//! packets shows a failure. A failure counts only if the target made no progress on any flow since
//! the packet was first sent; otherwise only the packet was lost.

mod state;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;
use state::{
    MIN_DEAD_FLOWS,
    MIN_DEAD_PROBES, //
    State,
};

use crate::{
    contact,
    jitter,
    record, //
};

/// Shortest time for which a failed target gets no new flows.
const MIN_DOUBTFUL_PERIOD: Duration = Duration::from_millis(300);

/// Longest interval between probes of a doubtful target.
const MAX_DOUBTFUL_PERIOD: Duration = Duration::from_millis(2_400);

/// Factor by which balancers that do not probe a target for their zone wait longer between probes.
const NON_PROBER_FACTOR: u32 = 4;

/// Lifetime of a peer's failure report with a failed probe; the peer repeats it after each probe.
const REPORTED_PROBE_PERIOD: Duration = Duration::from_millis(2_800);

/// Failed flows after each of which peers get a failure report; further ones add no evidence.
const MAX_REPORTED_FLOWS: usize = MIN_DEAD_FLOWS + 1;

/// Interval between reports that probes of a target fail, shorter than the time for which peers
/// count a failed probe as recent.
const REPORT_PAUSE: Duration = Duration::from_millis(1_500);

/// Tolerance when progress seen here is compared with a peer's failure: progress up to this much
/// later does not disprove the failure.
const MAX_PEER_DELAY: Duration = Duration::from_millis(20);

/// Time without progress after which a target can be dead; longer than a loss and one
/// retransmission.
const MIN_DEAD_SILENCE: Duration = Duration::from_millis(450);

/// Age up to which progress of other targets shows that this balancer is not cut off itself.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(500);

/// Targets with failed probes, while none answers, from which this balancer counts as isolated.
const MIN_ISOLATION_TARGETS: usize = 3;

mulberrynotch_macros::value! {
    /// Health of a target according to the evidence.
    pub enum Verdict {
        /// Takes new flows.
        Good,
        /// Takes no new flows until it answers.
        Doubtful,
        /// Has ended; its open flows are reset.
        Dead,
    }

    /// Outcome of a connection attempt to a target.
    pub enum Probe {
        /// The connection was accepted.
        Accepted,
        /// The connection was refused: nothing listens at the address.
        Refused,
        /// No answer arrived in time.
        Silent,
    }

    /// Actions that follow from new evidence.
    pub struct Response {
        /// True to probe the target now.
        pub probe: bool,
        /// True to send a failure report to the peers.
        pub report: bool,
        /// The new verdict, if it changed.
        pub changed: Option<Verdict>,
    }
}

/// Failure report of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// True when the peer uses the same network path to the target as this balancer, or is in the
    /// target's zone.
    pub same_path: bool,
    /// Time since the oldest packet that the target has not answered.
    pub failing_for: Duration,
    /// Hashes of the flows that failed.
    pub flows: &'a [u32],
    /// True when a probe by the peer failed.
    pub probe_failed: bool,
    /// True when this balancer carries flows of the target, or probes it for its zone.
    pub may_probe: bool,
}

/// Evidence on all targets.
#[derive(Debug, Default)]
pub struct Table {
    states: BTreeMap<record::Id, State>,
    /// The target with the latest progress and its time, and the latest progress of another target.
    latest: Option<(record::Id, Duration)>,
    second_latest: Option<(record::Id, Duration)>,
    /// Time at which a target last accepted a probe.
    accepted_at: Option<Duration>,
    contact: contact::Contact,
}

impl Table {
    /// Returns the state of the pings to peers.
    pub fn contact(&self) -> &contact::Contact {
        &self.contact
    }

    /// Returns the tracker of pings to peers, to record pings and answers.
    pub fn contact_mut(&mut self) -> &mut contact::Contact {
        &mut self.contact
    }

    /// Returns whether any target is doubtful.
    pub fn has_doubtful(&self) -> bool {
        self.states.values().any(|it| it.doubtful && !it.dead)
    }

    /// Returns the verdict on a target.
    pub fn verdict(&self, target: record::Id) -> Verdict {
        match self.states.get(&target) {
            Some(state) if state.dead => Verdict::Dead,
            Some(state) if state.doubtful => Verdict::Doubtful,
            _ => Verdict::Good,
        }
    }

    /// Returns the time since the last progress of a target, or since its first failure if it made
    /// none.
    pub fn silence(&self, now: Duration, target: record::Id) -> Duration {
        let state = self.states.get(&target);
        let at = state.and_then(|it| it.progress_at.or(it.created_at));
        now.saturating_sub(at.unwrap_or(now))
    }

    /// Returns the time since the oldest packet that the target has not answered.
    pub fn failing_for(&self, now: Duration, target: record::Id) -> Duration {
        let since = self.states.get(&target).and_then(|it| it.failing_since);
        now.saturating_sub(since.unwrap_or(now))
    }

    /// Returns the hashes of the flows of a target that failed since its last progress.
    pub fn failures(&self, target: record::Id) -> &[u32] {
        self.states.get(&target).map_or(&[], |it| &it.flows)
    }

    /// Returns whether a probe of the target failed recently.
    pub fn probe_failed(&self, now: Duration, target: record::Id) -> bool {
        self.states
            .get(&target)
            .is_some_and(|it| it.probe_failed(now))
    }

    /// Records progress of a target; returns the previous verdict if it was not good.
    pub fn progress(&mut self, now: Duration, target: record::Id) -> Option<Verdict> {
        self.update_latest(now, target);
        self.clear(now, target)
    }

    /// Records that a peer with the same network path to the target saw progress at `at`; returns
    /// the previous verdict if this cleared it.
    pub fn merge_progress(&mut self, target: record::Id, at: Duration) -> Option<Verdict> {
        let since = self.states.get(&target)?.failing_since?;
        (at > since).then(|| self.clear(at, target)).flatten()
    }

    fn clear(&mut self, at: Duration, target: record::Id) -> Option<Verdict> {
        let before = self.verdict(target);
        let state = self.states.entry(target).or_default();
        *state = State {
            progress_at: state.progress_at.max(Some(at)),
            probing: state.probing,
            ..State::default()
        };
        (before != Verdict::Good).then_some(before)
    }

    /// Records that a packet first sent at `sent_at` was not answered. If the target is not
    /// `reachable`, since its zone is cut off, it is probed only if that can decide the verdict.
    pub fn failed(
        &mut self,
        now: Duration,
        target: record::Id,
        sent_at: Duration,
        flow: u32,
        reachable: bool,
    ) -> Response {
        let before = self.verdict(target);
        let state = self.states.entry(target).or_default();
        if state.progress_at.is_some_and(|at| at > sent_at) {
            return Response::none();
        }
        let known_flows = state.flows.len();
        state.record_failure(now, sent_at, flow);
        let report = state.flows.len() > known_flows && state.flows.len() <= MAX_REPORTED_FLOWS;
        let first_failure = !state.failed_here;
        if first_failure {
            state.failed_here = true;
            state.doubtful = true;
            state.doubtful_period = MIN_DOUBTFUL_PERIOD;
            state.doubtful_until = state.doubtful_until.max(now + state.doubtful_period);
        }
        let probe = !state.probing && (first_failure && reachable || state.wants_probe());
        state.probing |= probe;
        self.update_verdict(now, target);
        self.response(target, before, probe, report)
    }

    /// Merges a failure report of a peer. Returns `None` when progress seen here contradicts it.
    pub fn merge_report(
        &mut self,
        now: Duration,
        target: record::Id,
        report: &Report<'_>,
    ) -> Option<Response> {
        let before = self.verdict(target);
        let state = self.states.entry(target).or_default();
        let since = now.saturating_sub(report.failing_for);
        if state
            .progress_at
            .is_some_and(|at| at > since + MAX_PEER_DELAY)
        {
            return None;
        }
        for flow in report.flows {
            state.record_failure(now, since, *flow);
        }
        // A peer with a different network path may merely be cut off from the target.
        if report.same_path {
            state.doubtful = true;
            let doubtful_period = if report.probe_failed {
                REPORTED_PROBE_PERIOD
            } else {
                MIN_DOUBTFUL_PERIOD
            };
            state.doubtful_until = state.doubtful_until.max(now + doubtful_period);
        }
        // Only this balancer's own probes can make a target dead.
        let probe = report.probe_failed && report.may_probe && state.wants_probe();
        state.probing |= probe;
        self.update_verdict(now, target);
        Some(self.response(target, before, probe, false))
    }

    /// Records the outcome of a probe.
    pub fn probed(&mut self, now: Duration, target: record::Id, outcome: Probe) -> Response {
        let before = self.verdict(target);
        let state = self.states.entry(target).or_default();
        state.probing = false;
        state.probed_at = Some(now);
        match outcome {
            Probe::Accepted => {
                self.accepted_at = Some(now);
                state.dead = false;
                state.failed_probes = 0;
                // A single lost packet does not keep the target doubtful for the whole period.
                if state.flows.len() <= 1 || now >= state.doubtful_until {
                    state.doubtful = false;
                    state.failed_here = false;
                }
            }
            Probe::Refused => state.failed_probes = MIN_DEAD_PROBES,
            Probe::Silent => state.failed_probes += 1,
        }
        if outcome != Probe::Accepted && state.flows.len() >= MIN_DEAD_FLOWS {
            state.doubtful = true;
            state.failed_here = true;
        }
        let probe = outcome != Probe::Accepted && state.doubtful && state.wants_probe();
        state.probing |= probe;
        self.update_verdict(now, target);
        let report = outcome != Probe::Accepted && self.should_report_probe(now, target);
        self.response(target, before, probe, report)
    }

    /// Returns whether to report a failed probe to peers: the verdict is not good, and the last
    /// report was sent longer ago than the pause between reports.
    fn should_report_probe(&mut self, now: Duration, target: record::Id) -> bool {
        let is_suspect = self.verdict(target) != Verdict::Good;
        let state = self.states.entry(target).or_default();
        let paused = state.reported_at.is_some_and(|at| now < at + REPORT_PAUSE);
        let should_report = is_suspect && !paused;
        if should_report {
            state.reported_at = Some(now);
        }
        should_report
    }

    fn response(&self, target: record::Id, before: Verdict, probe: bool, report: bool) -> Response {
        let after = self.verdict(target);
        Response {
            probe,
            report,
            changed: (after != before).then_some(after),
        }
    }

    /// Ends doubtful periods that rest on reports of peers only, and returns the targets whose own
    /// failures are due for another probe. Targets that are not `reachable` are left unchanged.
    /// Targets for which this balancer is no prober of its zone are probed less often.
    /// `jitter_seed` varies the intervals.
    pub fn probes_due(
        &mut self,
        now: Duration,
        reachable: impl Fn(record::Id) -> bool,
        is_prober: impl Fn(record::Id) -> bool,
        jitter_seed: u64,
    ) -> Vec<record::Id> {
        let expired =
            |state: &State| state.doubtful && !state.probing && now >= state.doubtful_until;
        let mut ids = Vec::new();
        let states = self.states.iter_mut();
        for (id, state) in states.filter(|(id, state)| expired(state) && reachable(**id)) {
            if !state.failed_here && !state.dead {
                state.doubtful = false;
                continue;
            }
            state.probing = true;
            state.doubtful_period =
                (state.doubtful_period * 2).clamp(MIN_DOUBTFUL_PERIOD, MAX_DOUBTFUL_PERIOD);
            let wait = match is_prober(*id) {
                true => state.doubtful_period,
                false => state.doubtful_period * NON_PROBER_FACTOR,
            };
            state.doubtful_until =
                now + wait + jitter::of(wait, rendezvous::weight(jitter_seed, id.0));
            ids.push(*id);
        }
        ids
    }

    /// Updates the verdicts on doubtful targets and returns those that have become dead.
    pub fn newly_dead(&mut self, now: Duration) -> Vec<record::Id> {
        let doubtful = self.states.iter().filter(|(_, it)| it.doubtful && !it.dead);
        let ids: Vec<_> = doubtful.map(|(id, _)| *id).collect();
        ids.into_iter()
            .filter(|id| {
                self.update_verdict(now, *id);
                self.verdict(*id) == Verdict::Dead
            })
            .collect()
    }

    /// Drops the evidence on a target that has restarted; returns the previous verdict if it was
    /// not good.
    pub fn remove(&mut self, target: record::Id) -> Option<Verdict> {
        let before = self.verdict(target);
        self.states.remove(&target);
        (before != Verdict::Good).then_some(before)
    }

    /// Drops the evidence against targets of `among` that began at `since` or later, because
    /// something other than these targets failed. Returns those whose verdict was not good.
    pub fn remove_since(
        &mut self,
        since: Duration,
        among: impl Fn(record::Id) -> bool,
    ) -> Vec<record::Id> {
        let is_affected = |state: &State| state.failing_since.is_some_and(|at| at >= since);
        let states = self.states.iter();
        let affected: Vec<_> = states
            .filter(|(id, state)| is_affected(state) && among(**id))
            .map(|(id, _)| *id)
            .collect();
        affected
            .into_iter()
            .filter(|id| self.remove(*id).is_some())
            .collect()
    }

    /// Returns whether this balancer is isolated: no recent progress or accepted probe shows that
    /// it reaches a target, and its probes of several `reachable` targets failed.
    pub fn is_isolated(&self, now: Duration, reachable: impl Fn(record::Id) -> bool) -> bool {
        let latest = [self.latest.map(|(_, at)| at), self.accepted_at];
        let reached = latest.into_iter().flatten().max();
        if reached.is_some_and(|at| now.saturating_sub(at) < MAX_CONTACT_AGE) {
            return false;
        }
        // A target that failed before another one answered has failed by itself.
        let unreached =
            |it: &State| it.failed_here && it.probe_failed(now) && it.failing_since > reached;
        let states = self.states.iter();
        let unreached = states.filter(|(id, state)| unreached(state) && reachable(**id));
        unreached.count() >= MIN_ISOLATION_TARGETS
    }

    /// Returns whether the link of this balancer works: peers answer pings in time or, without
    /// peers, targets for which `elsewhere` holds made progress recently.
    pub fn is_link_working(&self, now: Duration, elsewhere: impl Fn(record::Id) -> bool) -> bool {
        if !self.contact.is_without_peers() {
            return self.contact.is_proven(now);
        }
        let latest = [self.latest, self.second_latest].into_iter().flatten();
        let mut recent = latest.filter(|(_, at)| now.saturating_sub(*at) < MAX_CONTACT_AGE);
        recent.any(|(id, _)| elsewhere(id))
    }

    /// Drops the evidence on targets that are no longer known.
    pub fn retain(&mut self, known: impl Fn(record::Id) -> bool) {
        self.states.retain(|id, _| known(*id));
    }

    fn update_verdict(&mut self, now: Duration, target: record::Id) {
        let contact = self.latest_progress_of_others(target);
        let contact = contact.is_some_and(|at| now.saturating_sub(at) < MAX_CONTACT_AGE)
            && self.contact.is_proven(now);
        let silent = self.silence(now, target) >= MIN_DEAD_SILENCE;
        if let Some(state) = self.states.get_mut(&target) {
            let probed = state.probe_failed(now) && state.failed_probes >= MIN_DEAD_PROBES;
            let failed = state.flows.len() >= MIN_DEAD_FLOWS;
            state.dead |= contact && silent && probed && failed;
        }
    }

    /// Returns when a target other than this one last made progress.
    fn latest_progress_of_others(&self, target: record::Id) -> Option<Duration> {
        let other = [self.latest, self.second_latest].into_iter().flatten();
        other
            .filter(|(id, _)| *id != target)
            .map(|(_, at)| at)
            .max()
    }

    fn update_latest(&mut self, now: Duration, target: record::Id) {
        if self.latest.is_some_and(|(id, _)| id != target) {
            self.second_latest = self.latest;
        }
        self.latest = Some((target, now));
    }
}

impl Response {
    fn none() -> Self {
        Self {
            probe: false,
            report: false,
            changed: None,
        }
    }
}
