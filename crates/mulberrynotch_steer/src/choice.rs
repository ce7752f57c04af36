//! Selection of the target for a new flow: the least loaded one, with a preference for this zone.

use std::{
    cmp,
    collections::HashMap,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;

use crate::{
    catalog,
    record, //
};

/// Time constant of the exponential decay of a request's weight, in seconds.
const DECAY_S: f64 = 1.5;

/// Utilization of near targets up to which new flows stay in their zone. Above it, requests begin
/// to queue, which costs callers more than the latency to another zone. Below it, a flow across
/// zones would be at risk without need: it is lost when the zones are cut off from each other.
const MAX_NEAR_UTILIZATION: f64 = 0.6;

mulberrynotch_macros::value! {
    /// Standing of a target as a candidate for a new flow, best first.
    pub enum Standing {
        /// It is warm and healthy.
        Good,
        /// It is warm, but flows on it fail.
        Doubtful,
        /// It has not answered an earlier opening packet of the same flow.
        Tried,
        /// It is cold and sustains a low rate only.
        Cold,
        /// Its zone is cut off.
        Unreachable,
        /// It has ended according to the evidence.
        Dead,
        /// It takes no new flows according to the register.
        Excluded(catalog::Exclusion),
    }

    /// A target that is compared with others.
    pub struct Candidate {
        /// Identifier.
        pub id: record::Id,
        /// Standing of the target.
        pub standing: Standing,
        /// Requests that the target processes concurrently.
        pub slots: u32,
        /// True when the target is in this balancer's zone.
        pub near: bool,
    }
}

/// Sort key of a candidate.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    standing: Standing,
    /// True for a target of another zone, and for a near one above [`MAX_NEAR_UTILIZATION`].
    is_remote_or_full: bool,
    cost: f64,
}

impl Standing {
    /// Returns whether a target is selected by its load; a cold one is selected within its rate
    /// limit.
    pub fn is_warm(self) -> bool {
        self < Self::Cold
    }
}

/// Weight of a new latency sample in the moving average of a target.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Latency assumed for a target before its first answer, in seconds.
const INITIAL_LATENCY_S: f64 = 0.03;

/// Latency below which targets are not distinguished, in seconds; it is mostly that of the network.
const MIN_LATENCY_S: f64 = 0.01;

/// Recent requests to the targets and their latencies, as seen by this balancer.
#[derive(Debug, Default)]
pub struct Load {
    targets: HashMap<record::Id, Target>,
}

#[derive(Clone, Copy, Debug)]
struct Target {
    /// Exponentially decaying number of requests, as of `at`.
    requests: f64,
    at: Duration,
    /// Moving average of the time from a request to the start of its answer, in seconds.
    latency_s: f64,
}

impl Target {
    fn new(now: Duration) -> Self {
        Self {
            requests: 0.0,
            at: now,
            latency_s: INITIAL_LATENCY_S,
        }
    }

    fn requests(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.requests * (-age / DECAY_S).exp()
    }
}

impl Load {
    /// Records a request to a target.
    pub fn record_request(&mut self, now: Duration, target: record::Id) {
        let target = self.targets.entry(target).or_insert(Target::new(now));
        target.requests = target.requests(now) + 1.0;
        target.at = now;
    }

    /// Records the time that a target took to start an answer, or a lower bound of it.
    pub fn record_latency(&mut self, target: record::Id, latency: Duration) {
        if let Some(target) = self.targets.get_mut(&target) {
            let sample = latency.as_secs_f64();
            target.latency_s += (sample - target.latency_s) * SAMPLE_WEIGHT;
        }
    }

    /// Returns the exponentially decaying number of requests to a target.
    pub fn recent_requests(&self, now: Duration, target: record::Id) -> f64 {
        self.targets.get(&target).map_or(0.0, |it| it.requests(now))
    }

    /// Returns the average latency of a target, in seconds.
    pub fn latency_s(&self, target: record::Id) -> f64 {
        let known = self.targets.get(&target);
        known.map_or(INITIAL_LATENCY_S, |it| it.latency_s)
    }

    /// Drops targets that are no longer known.
    pub fn retain(&mut self, known: impl Fn(record::Id) -> bool) {
        self.targets.retain(|id, _| known(*id));
    }

    /// Returns the candidate with the best standing. Among equals, near ones with free capacity
    /// come first, and then the one with the least cost; `seed` breaks ties. `senders` balancers
    /// send as many requests to near targets as this one.
    pub fn best(
        &self,
        now: Duration,
        candidates: impl Iterator<Item = Candidate>,
        senders: usize,
        seed: u64,
    ) -> Option<record::Id> {
        let ranks = candidates.map(|candidate| {
            let tie_breaker = rendezvous::weight(seed, candidate.id.0);
            (
                candidate.id,
                self.rank(now, &candidate, senders),
                tie_breaker,
            )
        });
        let best = ranks.min_by(|(_, rank, tie_breaker), (_, other, other_tie_breaker)| {
            rank.compare(other).then(tie_breaker.cmp(other_tie_breaker))
        });
        best.map(|(id, ..)| id)
    }

    /// Returns the sort key of a candidate.
    pub fn rank(&self, now: Duration, candidate: &Candidate, senders: usize) -> Rank {
        Rank {
            standing: candidate.standing,
            is_remote_or_full: !candidate.near
                || self.utilization(now, candidate, senders) > MAX_NEAR_UTILIZATION,
            cost: self.cost(now, candidate),
        }
    }

    /// Returns the cost of a target, which grows with its requests and with the square of its
    /// latency: one factor for the time for which a request occupies the target, and one for the
    /// time for which the caller waits.
    pub fn cost(&self, now: Duration, candidate: &Candidate) -> f64 {
        let latency = self.latency_s(candidate.id).max(MIN_LATENCY_S);
        (self.recent_requests(now, candidate.id) + 0.5) * latency * latency
            / f64::from(candidate.slots.max(1))
    }

    /// Returns the used fraction of a target's slots, as the rate of requests times their latency.
    /// `senders` balancers are assumed to send as many requests as this one.
    pub fn utilization(&self, now: Duration, candidate: &Candidate, senders: usize) -> f64 {
        let rate = self.recent_requests(now, candidate.id) / DECAY_S;
        let senders = f64::from(u32::try_from(senders).unwrap_or(u32::MAX));
        rate * self.latency_s(candidate.id) * senders / f64::from(candidate.slots.max(1))
    }
}

impl Rank {
    /// Orders two candidates; the better one comes first.
    pub fn compare(&self, other: &Self) -> cmp::Ordering {
        let by_standing = self.standing.cmp(&other.standing);
        by_standing
            .then(self.is_remote_or_full.cmp(&other.is_remote_or_full))
            .then(self.cost.total_cmp(&other.cost))
    }
}
