//! Whether a target still answers, as seen in the packets of its clients.
//!
//! Targets answer clients directly, so a balancer sees only what clients send. A client that
//! acknowledges new bytes shows progress of its target; one that sends the same bytes again, or
//! goes on sending opening packets, shows a failure. A failure counts only if the target made no
//! progress on any flow since the packet was first sent, since then the packet was lost alone.

mod case;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use case::{
    Case,
    DEAD_FLOWS,
    DEAD_PROBES, //
};
use mulberrynotch_policy::rendezvous;

use crate::{
    contact,
    jitter,
    record, //
};

/// First time for which a target that failed gets no new flows.
const FIRST_DOUBT: Duration = Duration::from_millis(300);

/// Longest time between two probes of a target in doubt.
const LONGEST_DOUBT: Duration = Duration::from_millis(2_400);

/// How much longer a balancer waits with another probe that does not probe the target for its zone.
const LEFT_TO_OTHERS: u32 = 4;

/// How long a doubt of a peer lasts whose probe failed; the peer repeats it after each probe.
const PROBED_DOUBT: Duration = Duration::from_millis(2_800);

/// Failed flows of a target that peers are told of one by one; further ones add nothing.
const TOLD_FLOWS: usize = DEAD_FLOWS + 1;

/// Pause before peers are told again that probes of a target fail; they hold a failed
/// probe for recent for longer.
const TELL_PAUSE: Duration = Duration::from_millis(1_500);

/// Time within which a peer may see progress of a target before the failure here comes later.
const PEER_DELAY: Duration = Duration::from_millis(20);

/// Silence from which a target can be dead; longer than a loss and one retransmission.
const DEAD_SILENCE: Duration = Duration::from_millis(450);

/// Age up to which progress of other targets shows that this balancer is not cut off itself.
const OWN_CONTACT: Duration = Duration::from_millis(500);

/// Targets whose probes are silent while none answers, from which this balancer is cut off itself.
const ISOLATED: usize = 3;

mulberrynotch_macros::value! {
    /// What the evidence says of a target.
    pub enum Verdict {
        /// Takes new flows.
        Good,
        /// Takes no new flows until it has answered.
        Doubtful,
        /// Has ended; its open flows are reset.
        Dead,
    }

    /// Outcome of a connection attempt to a target.
    pub enum Probe {
        /// The target accepted it.
        Accepted,
        /// Nothing listens there.
        Refused,
        /// No answer in time.
        Silent,
    }

    /// What follows from a failure.
    pub struct Response {
        /// Probe the target now.
        pub probe: bool,
        /// Tell the peers.
        pub tell: bool,
        /// The verdict changed.
        pub changed: Option<Verdict>,
    }
}

/// Evidence of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Told<'a> {
    /// True when the peer has the same way to the target as this balancer, or is near the target.
    pub same_way: bool,
    /// Time since the oldest packet went out that the target has not answered.
    pub failing: Duration,
    /// Hashes of the flows that failed.
    pub flows: &'a [u32],
    /// True when a probe of the peer failed.
    pub probe_failed: bool,
    /// True when this balancer carries flows of the target, or probes it for its zone.
    pub concerned: bool,
}

/// Evidence on all targets.
#[derive(Debug, Default)]
pub struct Table {
    cases: BTreeMap<record::Id, Case>,
    /// The target with the latest progress, and when; and the latest one of another target.
    latest: Option<(record::Id, Duration)>,
    second: Option<(record::Id, Duration)>,
    /// When a target last accepted a probe.
    accepted_at: Option<Duration>,
    contact: contact::Contact,
}

impl Table {
    /// What is known of the ways to the peers.
    pub fn contact(&self) -> &contact::Contact {
        &self.contact
    }

    /// Takes in questions to peers and their answers.
    pub fn contact_mut(&mut self) -> &mut contact::Contact {
        &mut self.contact
    }

    /// True while a target is in doubt.
    pub fn is_undecided(&self) -> bool {
        self.cases.values().any(|it| it.doubtful && !it.dead)
    }

    /// The verdict on a target.
    pub fn verdict(&self, target: record::Id) -> Verdict {
        match self.cases.get(&target) {
            Some(case) if case.dead => Verdict::Dead,
            Some(case) if case.doubtful => Verdict::Doubtful,
            _ => Verdict::Good,
        }
    }

    /// Time since the last progress of a target, or since its first failure when there was none.
    pub fn silence(&self, now: Duration, target: record::Id) -> Duration {
        let case = self.cases.get(&target);
        let at = case.and_then(|it| it.progress_at.or(it.created_at));
        now.saturating_sub(at.unwrap_or(now))
    }

    /// Time since the oldest packet went out that the target has not answered.
    pub fn failing(&self, now: Duration, target: record::Id) -> Duration {
        let since = self.cases.get(&target).and_then(|it| it.failing_since);
        now.saturating_sub(since.unwrap_or(now))
    }

    /// Hashes of the flows of a target that failed since its last progress.
    pub fn failures(&self, target: record::Id) -> &[u32] {
        self.cases.get(&target).map_or(&[], |it| &it.flows)
    }

    /// True when a probe of the target has failed lately.
    pub fn probe_failed(&self, now: Duration, target: record::Id) -> bool {
        self.cases
            .get(&target)
            .is_some_and(|it| it.probe_failed(now))
    }

    /// Notes progress of a target; returns the former verdict if it was not good.
    pub fn progress(&mut self, now: Duration, target: record::Id) -> Option<Verdict> {
        self.note_latest(now, target);
        self.clear(now, target)
    }

    /// Notes that a peer with the same way to the target saw progress at `at`.
    pub fn alive(&mut self, target: record::Id, at: Duration) -> Option<Verdict> {
        let since = self.cases.get(&target)?.failing_since?;
        (at > since).then(|| self.clear(at, target)).flatten()
    }

    fn clear(&mut self, at: Duration, target: record::Id) -> Option<Verdict> {
        let before = self.verdict(target);
        let case = self.cases.entry(target).or_default();
        *case = Case {
            progress_at: case.progress_at.max(Some(at)),
            probing: case.probing,
            ..Case::default()
        };
        (before != Verdict::Good).then_some(before)
    }

    /// Notes that a packet of a flow that was first sent at `sent_at` was not answered. While the path
    /// to its zone is cut, so that it is not `reached`, only the verdict on it is worth a probe.
    pub fn failed(
        &mut self,
        now: Duration,
        target: record::Id,
        sent_at: Duration,
        flow: u32,
        reached: bool,
    ) -> Response {
        let before = self.verdict(target);
        let case = self.cases.entry(target).or_default();
        if case.progress_at.is_some_and(|at| at > sent_at) {
            return Response::none();
        }
        let known = case.flows.len();
        case.note_failure(now, sent_at, flow);
        let more = case.flows.len() > known && case.flows.len() <= TOLD_FLOWS;
        let first = !case.own;
        if first {
            case.own = true;
            case.doubtful = true;
            case.doubt = FIRST_DOUBT;
            case.doubt_ends = case.doubt_ends.max(now + case.doubt);
        }
        let probe = !case.probing && (first && reached || case.wants_probe());
        case.probing |= probe;
        self.judge(now, target);
        self.response(target, before, probe, more)
    }

    /// Notes that a peer saw flows of a target fail. Returns `None` when progress here speaks
    /// against it.
    pub fn told(&mut self, now: Duration, target: record::Id, told: &Told<'_>) -> Option<Response> {
        let before = self.verdict(target);
        let case = self.cases.entry(target).or_default();
        let since = now.saturating_sub(told.failing);
        if case.progress_at.is_some_and(|at| at > since + PEER_DELAY) {
            return None;
        }
        for flow in told.flows {
            case.note_failure(now, since, *flow);
        }
        // A peer with another way to the target may only be cut off from it.
        if told.same_way {
            case.doubtful = true;
            let doubt = if told.probe_failed {
                PROBED_DOUBT
            } else {
                FIRST_DOUBT
            };
            case.doubt_ends = case.doubt_ends.max(now + doubt);
        }
        // The verdict that a target is dead rests on own probes only.
        let probe = told.probe_failed && told.concerned && case.wants_probe();
        case.probing |= probe;
        self.judge(now, target);
        Some(self.response(target, before, probe, false))
    }

    /// Notes the outcome of a probe.
    pub fn probed(&mut self, now: Duration, target: record::Id, outcome: Probe) -> Response {
        let before = self.verdict(target);
        let case = self.cases.entry(target).or_default();
        case.probing = false;
        case.probed_at = Some(now);
        match outcome {
            Probe::Accepted => {
                self.accepted_at = Some(now);
                case.dead = false;
                case.failed_probes = 0;
                // One lost packet is no reason to wait for the end of the doubt.
                if case.flows.len() <= 1 || now >= case.doubt_ends {
                    case.doubtful = false;
                    case.own = false;
                }
            }
            Probe::Refused => case.failed_probes = DEAD_PROBES,
            Probe::Silent => case.failed_probes += 1,
        }
        if outcome != Probe::Accepted && case.flows.len() >= DEAD_FLOWS {
            case.doubtful = true;
            case.own = true;
        }
        let probe = outcome != Probe::Accepted && case.doubtful && case.wants_probe();
        case.probing |= probe;
        self.judge(now, target);
        let tell = outcome != Probe::Accepted && self.is_news(now, target);
        self.response(target, before, probe, tell)
    }

    /// True when peers are to be told that a probe of the target failed: the verdict is not good,
    /// and they were not told a moment ago.
    fn is_news(&mut self, now: Duration, target: record::Id) -> bool {
        let doubted = self.verdict(target) != Verdict::Good;
        let case = self.cases.entry(target).or_default();
        let paused = case.told_at.is_some_and(|at| now < at + TELL_PAUSE);
        let news = doubted && !paused;
        if news {
            case.told_at = Some(now);
        }
        news
    }

    fn response(&self, target: record::Id, before: Verdict, probe: bool, tell: bool) -> Response {
        let after = self.verdict(target);
        Response {
            probe,
            tell,
            changed: (after != before).then_some(after),
        }
    }

    /// Ends the doubts of peers whose time is over, and returns the targets whose own failures are
    /// due for another probe. Targets that are not `judged` stay as they are. Targets that this
    /// balancer does not `probe` for its zone are left to those that do for longer, by a time that
    /// `lot` varies.
    pub fn due(
        &mut self,
        now: Duration,
        judged: impl Fn(record::Id) -> bool,
        probes: impl Fn(record::Id) -> bool,
        lot: u64,
    ) -> Vec<record::Id> {
        let over = |case: &Case| case.doubtful && !case.probing && now >= case.doubt_ends;
        let mut ids = Vec::new();
        let cases = self.cases.iter_mut();
        for (id, case) in cases.filter(|(id, case)| over(case) && judged(**id)) {
            if !case.own && !case.dead {
                case.doubtful = false;
                continue;
            }
            case.probing = true;
            case.doubt = (case.doubt * 2).clamp(FIRST_DOUBT, LONGEST_DOUBT);
            let wait = match probes(*id) {
                true => case.doubt,
                false => case.doubt * LEFT_TO_OTHERS,
            };
            case.doubt_ends = now + wait + jitter::of(wait, rendezvous::weight(lot, id.0));
            ids.push(*id);
        }
        ids
    }

    /// Targets in doubt whose silence has become long enough for the verdict that they are dead.
    pub fn ripen(&mut self, now: Duration) -> Vec<record::Id> {
        let doubtful = self.cases.iter().filter(|(_, it)| it.doubtful && !it.dead);
        let ids: Vec<_> = doubtful.map(|(id, _)| *id).collect();
        ids.into_iter()
            .filter(|id| {
                self.judge(now, *id);
                self.verdict(*id) == Verdict::Dead
            })
            .collect()
    }

    /// Forgets what is known of a target, since it has started anew; returns the former verdict if
    /// it was not good.
    pub fn forget(&mut self, target: record::Id) -> Option<Verdict> {
        let before = self.verdict(target);
        self.cases.remove(&target);
        (before != Verdict::Good).then_some(before)
    }

    /// Forgets the evidence against targets of `among` that began at `since` or later, and returns
    /// those whose verdict was not good: something else than these targets failed.
    pub fn forget_since(
        &mut self,
        since: Duration,
        among: impl Fn(record::Id) -> bool,
    ) -> Vec<record::Id> {
        let began = |case: &Case| case.failing_since.is_some_and(|at| at >= since);
        let cases = self.cases.iter();
        let excused: Vec<_> = cases
            .filter(|(id, case)| began(case) && among(**id))
            .map(|(id, _)| *id)
            .collect();
        excused
            .into_iter()
            .filter(|id| self.forget(*id).is_some())
            .collect()
    }

    /// True when nothing shows that this balancer reaches any target, and probes of several that are
    /// `judged` show that it does not.
    pub fn is_isolated(&self, now: Duration, judged: impl Fn(record::Id) -> bool) -> bool {
        let latest = [self.latest.map(|(_, at)| at), self.accepted_at];
        let reached = latest.into_iter().flatten().max();
        if reached.is_some_and(|at| now.saturating_sub(at) < OWN_CONTACT) {
            return false;
        }
        // Targets that failed before others answered have ended themselves.
        let unreached =
            |case: &Case| case.own && case.probe_failed(now) && case.failing_since > reached;
        let cases = self.cases.iter();
        let unreached = cases.filter(|(id, case)| unreached(case) && judged(**id));
        unreached.count() >= ISOLATED
    }

    /// True when the link of this balancer works: peers answer at once, or targets outside of a
    /// zone do where there is no peer.
    pub fn is_in_touch(&self, now: Duration, elsewhere: impl Fn(record::Id) -> bool) -> bool {
        if !self.contact.is_alone() {
            return self.contact.is_proven(now);
        }
        let latest = [self.latest, self.second].into_iter().flatten();
        let mut recent = latest.filter(|(_, at)| now.saturating_sub(*at) < OWN_CONTACT);
        recent.any(|(id, _)| elsewhere(id))
    }

    /// Forgets targets that are no longer known.
    pub fn retain(&mut self, known: impl Fn(record::Id) -> bool) {
        self.cases.retain(|id, _| known(*id));
    }

    fn judge(&mut self, now: Duration, target: record::Id) {
        let contact = self.others_progress(target);
        let contact = contact.is_some_and(|at| now.saturating_sub(at) < OWN_CONTACT)
            && self.contact.is_proven(now);
        let silent = self.silence(now, target) >= DEAD_SILENCE;
        if let Some(case) = self.cases.get_mut(&target) {
            let probed = case.probe_failed(now) && case.failed_probes >= DEAD_PROBES;
            let failed = case.flows.len() >= DEAD_FLOWS;
            case.dead |= contact && silent && probed && failed;
        }
    }

    /// When another target than this one last made progress.
    fn others_progress(&self, target: record::Id) -> Option<Duration> {
        let other = [self.latest, self.second].into_iter().flatten();
        other
            .filter(|(id, _)| *id != target)
            .map(|(_, at)| at)
            .max()
    }

    fn note_latest(&mut self, now: Duration, target: record::Id) {
        if self.latest.is_some_and(|(id, _)| id != target) {
            self.second = self.latest;
        }
        self.latest = Some((target, now));
    }
}

impl Response {
    fn none() -> Self {
        Self {
            probe: false,
            tell: false,
            changed: None,
        }
    }
}
