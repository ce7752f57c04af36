//! Choice of the target for a new flow: the least loaded one, near ones first.

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

/// Time in which the memory of a request fades to 1/e, in seconds.
const DECAY_S: f64 = 1.5;

/// Part of a target's slots in use up to which new flows stay in their zone. Above it requests begin
/// to queue, which costs callers more than the way to another zone; a flow across zones is lost when
/// they are cut off from each other.
const MAX_NEAR_UTILIZATION: f64 = 0.6;

mulberrynotch_macros::value! {
    /// What stands for or against a target as the choice for a new flow, best first.
    pub enum Standing {
        /// It is warm and believed to be well.
        Good,
        /// It is warm, and flows on it are failing.
        Doubtful,
        /// It has not answered an earlier opening packet of the same flow.
        Tried,
        /// It bears a trickle only.
        Cold,
        /// Packets do not arrive in its zone.
        Unreachable,
        /// It is believed to have ended.
        Dead,
        /// The register keeps new flows away from it.
        Excluded(catalog::Exclusion),
    }

    /// A target that is compared with others.
    pub struct Candidate {
        /// Identifier.
        pub id: record::Id,
        /// What stands for or against it.
        pub standing: Standing,
        /// Requests that the target runs at a time.
        pub slots: u32,
        /// True when the target is in the balancer's zone.
        pub near: bool,
    }
}

/// Place of a candidate among others.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    standing: Standing,
    /// True for a target of another zone, and for a near one that has no room.
    is_remote_or_full: bool,
    cost: f64,
}

impl Standing {
    /// True for a target that is chosen by its load; a cold one is chosen within its limit.
    pub fn is_warm(self) -> bool {
        self < Self::Cold
    }
}

/// Part of a new latency sample in the mean of a target.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Latency that a target is taken to have before the first answer, in seconds.
const INITIAL_LATENCY_S: f64 = 0.03;

/// Least latency that targets are told apart by, in seconds; below it, it is mostly the network's.
const MIN_LATENCY_S: f64 = 0.01;

/// Requests and their latencies at the targets, as this balancer saw them lately.
#[derive(Debug, Default)]
pub struct Load {
    targets: HashMap<record::Id, Target>,
}

#[derive(Clone, Copy, Debug)]
struct Target {
    /// Requests, fading.
    requests: f64,
    at: Duration,
    /// Mean time from a request to the beginning of its answer, in seconds.
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
    /// Notes a request to a target.
    pub fn note_request(&mut self, now: Duration, target: record::Id) {
        let target = self.targets.entry(target).or_insert(Target::new(now));
        target.requests = target.requests(now) + 1.0;
        target.at = now;
    }

    /// Notes how long a target took to begin an answer, or that it took at least so long.
    pub fn note_latency(&mut self, target: record::Id, latency: Duration) {
        if let Some(target) = self.targets.get_mut(&target) {
            let sample = latency.as_secs_f64();
            target.latency_s += (sample - target.latency_s) * SAMPLE_WEIGHT;
        }
    }

    /// Requests to a target lately, fading.
    pub fn recent_requests(&self, now: Duration, target: record::Id) -> f64 {
        self.targets.get(&target).map_or(0.0, |it| it.requests(now))
    }

    /// Mean latency of a target, in seconds.
    pub fn latency_s(&self, target: record::Id) -> f64 {
        let known = self.targets.get(&target);
        known.map_or(INITIAL_LATENCY_S, |it| it.latency_s)
    }

    /// Forgets targets that are no longer known.
    pub fn retain(&mut self, known: impl Fn(record::Id) -> bool) {
        self.targets.retain(|id, _| known(*id));
    }

    /// The candidate with the best standing; among those a near one with room before others, and then
    /// the one with the least cost. `random` decides between equal ones. `senders` balancers send as
    /// much to near targets as this one does.
    pub fn best(
        &self,
        now: Duration,
        candidates: impl Iterator<Item = Candidate>,
        senders: usize,
        random: u64,
    ) -> Option<record::Id> {
        let ranks = candidates.map(|it| {
            let tie_breaker = rendezvous::weight(random, it.id.0);
            (it.id, self.rank(now, &it, senders), tie_breaker)
        });
        let best = ranks.min_by(|(_, rank, tie_breaker), (_, other, other_tie_breaker)| {
            rank.compare(other).then(tie_breaker.cmp(other_tie_breaker))
        });
        best.map(|(id, ..)| id)
    }

    /// Place of a candidate among others.
    pub fn rank(&self, now: Duration, candidate: &Candidate, senders: usize) -> Rank {
        Rank {
            standing: candidate.standing,
            is_remote_or_full: !candidate.near
                || self.utilization(now, candidate, senders) > MAX_NEAR_UTILIZATION,
            cost: self.cost(now, candidate),
        }
    }

    /// Grows with the requests that went to a target and with the square of its latency: once for
    /// the time that each request occupies it, and once for the time that the caller waits.
    pub fn cost(&self, now: Duration, candidate: &Candidate) -> f64 {
        let latency = self.latency_s(candidate.id).max(MIN_LATENCY_S);
        (self.recent_requests(now, candidate.id) + 0.5) * latency * latency
            / f64::from(candidate.slots.max(1))
    }

    /// Part of a target's slots in use, if `senders` balancers send as much to it as this one does:
    /// the rate of the requests times the time that each of them takes.
    pub fn utilization(&self, now: Duration, candidate: &Candidate, senders: usize) -> f64 {
        let rate = self.recent_requests(now, candidate.id) / DECAY_S;
        let senders = f64::from(u32::try_from(senders).unwrap_or(u32::MAX));
        rate * self.latency_s(candidate.id) * senders / f64::from(candidate.slots.max(1))
    }
}

impl Rank {
    /// Compares two places; the better one comes first.
    pub fn compare(&self, other: &Self) -> cmp::Ordering {
        let by_standing = self.standing.cmp(&other.standing);
        by_standing
            .then(self.is_remote_or_full.cmp(&other.is_remote_or_full))
            .then(self.cost.total_cmp(&other.cost))
    }
}
