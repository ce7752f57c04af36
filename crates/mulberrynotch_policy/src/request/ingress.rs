//! Choice of targets at the ingress balancer.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{
        Rng,
        SeedableRng, //
    }, //
};

use super::{
    Outcome,
    Request,
    Status,
    Step,
    capacity::{
        CLASSES,
        Capacity, //
    },
    owner, //
};
use crate::{
    retry,
    view, //
};

/// Owners that are asked before a request waits or is refused.
const MAX_ATTEMPTS: usize = 3;

/// Attempts that may follow one that failed. Owners that were busy do not count: they say that a
/// request waits, not that it fails.
const MAX_RETRIES: u32 = 2;

/// Rounds of waiting at the ingress balancer; each ends with one more attempt.
const MAX_ROUNDS: u32 = 2;

/// Time between two rounds, by class.
const ROUND: [Duration; CLASSES] = [
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(80),
];

/// A request starts no further round this long after it arrived, or after an attempt of it ended
/// without an answer: a caller that is refused is told soon, not at its deadline. One whose request
/// may have run has no use for an early answer.
const WAIT_TIME: Duration = Duration::from_millis(700);

/// Requests of one class that wait at the ingress balancer at most.
const MAX_WAITING: usize = 256;

/// Known free slots are trusted for this long.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// Shortest and longest time that a refused caller is told to stay away, in milliseconds; spread,
/// so that refused callers do not return together.
const RETRY_AFTER_MS: [u64; 2] = [1_000, 3_000];

/// Attempts of one request.
#[derive(Debug)]
pub struct Plan {
    request: Request,
    /// When the request arrived, or its last attempt ended without an answer.
    waits_since: Duration,
    tried: Vec<id::Target>,
    /// Attempts that ended without an answer and without a busy owner.
    failed: u32,
    /// True after an attempt that could wait in the queue of an owner.
    queued: bool,
    rounds: u32,
    waiting: bool,
    /// True after an attempt that ended without proof that the request was not run.
    may_have_run: bool,
}

impl Plan {
    /// The request that is planned.
    pub fn request(&self) -> &Request {
        &self.request
    }
}

/// Choice of targets at the ingress balancer.
#[derive(Debug)]
pub struct Ingress {
    view: Arc<view::View>,
    unconfirmed_since: Duration,
    capacity: Capacity,
    waiting: [usize; CLASSES],
    budget: retry::Budget,
    /// Free slots of targets as owners reported them, and when.
    loads: HashMap<id::Target, (u32, Duration)>,
    random: ChaCha8Rng,
}

impl Ingress {
    /// Takes `max_requests` at a time, with a share reserved for the higher classes.
    pub fn new(view: Arc<view::View>, max_requests: usize, seed: u64) -> Self {
        Self {
            view,
            unconfirmed_since: Duration::ZERO,
            capacity: Capacity::new(max_requests),
            waiting: [0; CLASSES],
            budget: retry::Budget::default(),
            loads: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes over a new view.
    pub fn set_view(&mut self, now: Duration, view: Arc<view::View>) {
        if self.view.confirmed && !view.confirmed {
            self.unconfirmed_since = now;
        }
        self.loads
            .retain(|target, _| view.locate(*target).is_some());
        self.view = view;
    }

    /// Admits a request into the process; `None` when its class has no capacity left.
    pub fn begin(&mut self, now: Duration, request: Request) -> Option<Plan> {
        if !self.capacity.take(request.class) {
            return None;
        }
        self.budget.record_request();
        Some(Plan {
            request,
            waits_since: now,
            tried: Vec::new(),
            failed: 0,
            queued: false,
            rounds: 0,
            waiting: false,
            may_have_run: false,
        })
    }

    /// The next step of a request, after the outcome of the last attempt.
    ///
    /// After `Outcome::Answered` nothing is left to do; the step is `Unknown`, because the request
    /// ran. After `Step::Wait` the driver passes `None`.
    pub fn next(&mut self, now: Duration, plan: &mut Plan, last: Option<Outcome>) -> Step {
        self.stop_waiting(plan);
        self.note(now, plan, last);
        let allowed = match last {
            Some(Outcome::Answered { .. }) => false,
            // A request that may have run is sent again only if running twice does no harm.
            Some(Outcome::Unknown) => plan.request.idempotent && self.may_retry(now, plan),
            // A refused connection counts against the budget, or an outage of all targets would
            // multiply the attempts.
            Some(Outcome::NotRun { busy: false }) => self.may_retry(now, plan),
            Some(Outcome::NotRun { busy: true }) | None => true,
        };
        if allowed && now < plan.request.deadline {
            self.attempt(now, plan)
        } else {
            self.give_up(plan)
        }
    }

    /// Notes the load that an owner reported with an answer: free slots of a target.
    pub fn record_load(&mut self, now: Duration, target: id::Target, free: u32) {
        if self.view.locate(target).is_some() {
            self.loads.insert(target, (free, now));
        }
    }

    /// Ends a request.
    pub fn finish(&mut self, now: Duration, mut plan: Plan) {
        let _ = now;
        self.stop_waiting(&mut plan);
        self.capacity.release(plan.request.class);
    }

    /// Snapshot for the state dump.
    pub fn status(&self) -> Status {
        Status {
            classes: self.capacity.status(self.waiting),
            retries: self.budget.status(),
        }
    }

    fn note(&mut self, now: Duration, plan: &mut Plan, last: Option<Outcome>) {
        let failed = matches!(
            last,
            Some(Outcome::Unknown | Outcome::NotRun { busy: false })
        );
        plan.failed += u32::from(failed);
        match (last, plan.tried.last()) {
            (Some(Outcome::NotRun { .. }), Some(target)) => {
                self.loads.insert(*target, (0, now));
            }
            (Some(Outcome::Answered { .. } | Outcome::Unknown), _) => {
                plan.may_have_run = true;
                // A retry may wait like a first attempt, in the queue of an owner too.
                plan.waits_since = now;
                plan.queued = false;
            }
            _ => {}
        }
    }

    fn may_retry(&mut self, now: Duration, plan: &Plan) -> bool {
        now < plan.request.deadline && plan.failed <= MAX_RETRIES && self.budget.try_take()
    }

    /// Tries another target, or waits, or gives up.
    fn attempt(&mut self, now: Duration, plan: &mut Plan) -> Step {
        let limit = MAX_ATTEMPTS + usize::try_from(plan.rounds).unwrap_or(0);
        let yields = plan.rounds > 0 && self.higher_waits(plan);
        if plan.tried.len() < limit
            && !yields
            && let Some(step) = self.choose(now, plan)
        {
            return step;
        }
        match self.wait(now, plan) {
            Some(step) => step,
            None => self.give_up(plan),
        }
    }

    /// The final answer; "not run" only if every attempt ended with proof.
    fn give_up(&mut self, plan: &Plan) -> Step {
        if plan.may_have_run {
            Step::Unknown
        } else {
            self.refuse()
        }
    }

    fn choose(&mut self, now: Duration, plan: &mut Plan) -> Option<Step> {
        let mut eligible = self.eligible(now, plan, true);
        if eligible.is_empty() && plan.rounds > 0 {
            eligible = self.eligible(now, plan, false);
        }
        let target = self.better_of_two(now, &eligible)?;
        let owner = self.view.assignment.owner(target)?.clone();
        plan.tried.push(target);
        let last = plan.tried.len() >= MAX_ATTEMPTS || eligible.len() == 1;
        let queue = last && !plan.queued;
        plan.queued |= queue;
        Some(Step::Try {
            target,
            owner,
            queue,
        })
    }

    /// Targets that may get the request under the view of this moment.
    fn eligible(&self, now: Duration, plan: &Plan, untried: bool) -> Vec<id::Target> {
        let view = &self.view;
        let settled = view.confirmed || now >= self.unconfirmed_since + owner::CONFIRM_TIME;
        view.candidates(plan.request.service)
            .iter()
            .map(|(target, _)| *target)
            .filter(|target| !untried || !plan.tried.contains(target))
            .filter(|target| {
                view.target(*target).is_some_and(|entry| {
                    let own = entry.zone == view.zone;
                    let reachable = !view.unreachable_zones.contains(&entry.zone);
                    !entry.leaving && settled && (own || (view.confirmed && reachable))
                })
            })
            .collect()
    }

    fn better_of_two(&mut self, now: Duration, eligible: &[id::Target]) -> Option<id::Target> {
        let one = self.pick(eligible)?;
        let other = self.pick(eligible)?;
        let best = if self.free_slots(now, other) > self.free_slots(now, one) {
            other
        } else {
            one
        };
        Some(best)
    }

    fn pick(&mut self, eligible: &[id::Target]) -> Option<id::Target> {
        let count = u64::try_from(eligible.len()).ok().filter(|&n| n > 0)?;
        let index = self.random.next_u64() % count;
        eligible.get(usize::try_from(index).ok()?).copied()
    }

    /// Free slots of a target; one when nothing recent is known.
    fn free_slots(&self, now: Duration, target: id::Target) -> u32 {
        match self.loads.get(&target) {
            Some((free, at)) if now < *at + LOAD_TIME => *free,
            _ => 1,
        }
    }

    fn wait(&mut self, now: Duration, plan: &mut Plan) -> Option<Step> {
        let class = plan.request.class as usize;
        let until = now + ROUND[class];
        // A round that ends at the deadline would only delay the refusal.
        let end = plan.request.deadline.min(plan.waits_since + WAIT_TIME);
        let useful = until + ROUND[class] <= end;
        if plan.rounds >= MAX_ROUNDS || !useful || self.waiting[class] >= MAX_WAITING {
            return None;
        }
        plan.rounds += 1;
        plan.waiting = true;
        self.waiting[class] += 1;
        Some(Step::Wait { until })
    }

    fn stop_waiting(&mut self, plan: &mut Plan) {
        if std::mem::take(&mut plan.waiting) {
            let waiting = &mut self.waiting[plan.request.class as usize];
            *waiting = waiting.saturating_sub(1);
        }
    }

    fn higher_waits(&self, plan: &Plan) -> bool {
        self.waiting[..plan.request.class as usize]
            .iter()
            .any(|&waiting| waiting > 0)
    }

    fn refuse(&mut self) -> Step {
        let [min, max] = RETRY_AFTER_MS;
        let retry_after = min + self.random.next_u64() % (max - min);
        Step::Refuse {
            retry_after: Duration::from_millis(retry_after),
        }
    }
}
