//! Choice of targets and retries at the ingress balancer.

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

/// Maximum attempts before a request waits or is refused.
const MAX_ATTEMPTS: usize = 3;

/// Maximum retries after failed attempts. Attempts refused because the owner or the target was busy
/// are not failures and do not count.
const MAX_RETRIES: u32 = 2;

/// Maximum rounds of waiting at the ingress balancer; each allows one more attempt.
const MAX_ROUNDS: u32 = 2;

/// Length of a waiting round by class, `High` first.
const ROUND_TIME: [Duration; CLASSES] = [
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(80),
];

/// Maximum time from the arrival of a request to the end of its last round, so that a caller is
/// refused early and not at its deadline. The time starts anew when an attempt ends with an unknown
/// outcome, because an early answer is of no use to a caller whose request may have run.
const MAX_WAIT_TIME: Duration = Duration::from_millis(700);

/// Maximum number of waiting requests per class.
const MAX_WAITING: usize = 256;

/// Maximum age of a reported number of free slots.
const LOAD_MAX_AGE: Duration = Duration::from_secs(1);

/// Range of the random retry delay for refused callers; random, so that they do not retry at the
/// same time.
const RETRY_AFTER_MS: [u64; 2] = [1_000, 3_000];

/// State of one request and its attempts.
#[derive(Debug)]
pub struct Plan {
    request: Request,
    /// When the request arrived, or when its last attempt with an unknown outcome ended.
    wait_started_at: Duration,
    tried: Vec<id::Target>,
    /// Attempts that ended without a complete answer, other than those refused as busy.
    failed: u32,
    /// True after an attempt that was allowed to wait in the queue of an owner.
    queued: bool,
    rounds: u32,
    waiting: bool,
    /// True after an attempt with an unknown outcome or an answer.
    may_have_run: bool,
}

impl Plan {
    /// Returns the request.
    pub fn request(&self) -> &Request {
        &self.request
    }
}

/// Admits requests into the process and chooses their targets.
#[derive(Debug)]
pub struct Ingress {
    view: Arc<view::View>,
    unconfirmed_since: Duration,
    capacity: Capacity,
    waiting: [usize; CLASSES],
    budget: retry::Budget,
    /// Free slots of targets as last reported by their owners, and when.
    loads: HashMap<id::Target, (u32, Duration)>,
    random: ChaCha8Rng,
}

impl Ingress {
    /// Admits up to `max_requests` at a time, with shares reserved for the higher classes.
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

    /// Replaces the view.
    pub fn set_view(&mut self, now: Duration, view: Arc<view::View>) {
        if self.view.confirmed && !view.confirmed {
            self.unconfirmed_since = now;
        }
        self.loads
            .retain(|target, _| view.locate(*target).is_some());
        self.view = view;
    }

    /// Admits a request into the process; returns `None` if its class has no capacity left.
    pub fn begin(&mut self, now: Duration, request: Request) -> Option<Plan> {
        if !self.capacity.try_acquire(request.class) {
            return None;
        }
        self.budget.record_request();
        Some(Plan {
            request,
            wait_started_at: now,
            tried: Vec::new(),
            failed: 0,
            queued: false,
            rounds: 0,
            waiting: false,
            may_have_run: false,
        })
    }

    /// Returns the next step of a request after the outcome of its last attempt.
    ///
    /// The driver passes `None` at first and after `Step::Wait`. A request needs no further step
    /// after `Outcome::Answered`; the step is then `Unknown`, because the request ran.
    pub fn next(&mut self, now: Duration, plan: &mut Plan, last: Option<Outcome>) -> Step {
        self.stop_waiting(plan);
        self.record_outcome(now, plan, last);
        let allowed = match last {
            Some(Outcome::Answered { .. }) => false,
            // A request that may have run is retried only if it is idempotent.
            Some(Outcome::Unknown) => plan.request.idempotent && self.may_retry(now, plan),
            // A failed connection spends retry budget too; otherwise an outage of all targets would
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

    /// Records the free slots of a target that its owner reported with an answer.
    pub fn record_load(&mut self, now: Duration, target: id::Target, free: u32) {
        if self.view.locate(target).is_some() {
            self.loads.insert(target, (free, now));
        }
    }

    /// Ends a request and frees its capacity.
    pub fn finish(&mut self, now: Duration, mut plan: Plan) {
        let _ = now;
        self.stop_waiting(&mut plan);
        self.capacity.release(plan.request.class);
    }

    /// Returns a snapshot for the state dump.
    pub fn status(&self) -> Status {
        Status {
            classes: self.capacity.status(self.waiting),
            retries: self.budget.status(),
        }
    }

    fn record_outcome(&mut self, now: Duration, plan: &mut Plan, last: Option<Outcome>) {
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
                // A retry may wait as long as a first attempt, also in the queue of an owner.
                plan.wait_started_at = now;
                plan.queued = false;
            }
            _ => {}
        }
    }

    fn may_retry(&mut self, now: Duration, plan: &Plan) -> bool {
        now < plan.request.deadline && plan.failed <= MAX_RETRIES && self.budget.try_take()
    }

    /// Tries another target, waits for the next round, or gives up.
    fn attempt(&mut self, now: Duration, plan: &mut Plan) -> Step {
        let max_tried = MAX_ATTEMPTS + usize::try_from(plan.rounds).unwrap_or(0);
        let must_yield = plan.rounds > 0 && self.higher_class_waits(plan);
        if plan.tried.len() < max_tried
            && !must_yield
            && let Some(step) = self.choose(now, plan)
        {
            return step;
        }
        match self.wait(now, plan) {
            Some(step) => step,
            None => self.give_up(plan),
        }
    }

    /// Returns the final step: `Refuse` only if the request provably did not run in any attempt.
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
        let target = self.best_of_two(now, &eligible)?;
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

    /// Returns the targets that may get the request under the current view.
    fn eligible(&self, now: Duration, plan: &Plan, untried: bool) -> Vec<id::Target> {
        let view = &self.view;
        let own_zone_ready = view.confirmed || now >= self.unconfirmed_since + owner::CONFIRM_WAIT;
        view.candidates(plan.request.service)
            .iter()
            .map(|(target, _)| *target)
            .filter(|target| !untried || !plan.tried.contains(target))
            .filter(|target| {
                view.target(*target).is_some_and(|entry| {
                    let own = entry.zone == view.zone;
                    let is_reachable = !view.unreachable_zones.contains(&entry.zone);
                    !entry.leaving && own_zone_ready && (own || (view.confirmed && is_reachable))
                })
            })
            .collect()
    }

    fn best_of_two(&mut self, now: Duration, eligible: &[id::Target]) -> Option<id::Target> {
        let first = self.pick(eligible)?;
        let second = self.pick(eligible)?;
        let best = if self.free_slots(now, second) > self.free_slots(now, first) {
            second
        } else {
            first
        };
        Some(best)
    }

    fn pick(&mut self, eligible: &[id::Target]) -> Option<id::Target> {
        let count = u64::try_from(eligible.len()).ok().filter(|&n| n > 0)?;
        let index = self.random.next_u64() % count;
        eligible.get(usize::try_from(index).ok()?).copied()
    }

    /// Returns the free slots of a target, or 1 without a recent report.
    fn free_slots(&self, now: Duration, target: id::Target) -> u32 {
        match self.loads.get(&target) {
            Some((free, at)) if now < *at + LOAD_MAX_AGE => *free,
            _ => 1,
        }
    }

    fn wait(&mut self, now: Duration, plan: &mut Plan) -> Option<Step> {
        let class = plan.request.class as usize;
        let until = now + ROUND_TIME[class];
        // A round that leaves no time for another attempt would only delay the refusal.
        let wait_end = plan
            .request
            .deadline
            .min(plan.wait_started_at + MAX_WAIT_TIME);
        let fits = until + ROUND_TIME[class] <= wait_end;
        if plan.rounds >= MAX_ROUNDS || !fits || self.waiting[class] >= MAX_WAITING {
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

    fn higher_class_waits(&self, plan: &Plan) -> bool {
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
