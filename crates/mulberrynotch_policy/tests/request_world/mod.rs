//! Several balancers and targets, driven by a seeded event loop.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::{
    request::{
        self,
        Outcome, //
    },
    view, //
};
use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::control;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{
        Rng,
        SeedableRng, //
    }, //
};

/// Answers after which a target is warm; an overload of a cold target restarts the count.
const WARM_ANSWERS: u32 = 20;

pub(crate) const CLASSES: [model::Class; 3] =
    [model::Class::High, model::Class::Normal, model::Class::Low];

pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub(crate) fn service() -> id::Service {
    id::Service::new("s")
}

/// Returns a register of three zones with 14 targets of two slots, assigned to the zones in turn.
pub(crate) fn register(revision: u64) -> model::Register {
    let target = |n| {
        let (name, zone) = (format!("t{n}"), format!("z{}", n % 3));
        serde_json::json!({"name": name, "zone": zone, "slots": 2, "connections": 100})
    };
    let targets: Vec<_> = (0..14).map(target).collect();
    serde_json::from_value(serde_json::json!({
        "revision": revision,
        "zones": [{"name": "z0"}, {"name": "z1"}, {"name": "z2"}],
        "services": [{"name": "s", "addresses": [], "targets": targets}],
    }))
    .expect("the register is valid")
}

pub(crate) fn member(n: usize) -> control::Member {
    control::Member {
        name: format!("b{n}").into(),
        zone: format!("z{}", n % 3).into(),
        peer: ([127, 0, 0, 1], 4_000).into(),
        incarnation: 1,
        state: control::State::Alive,
    }
}

pub(crate) fn members(live: &[usize]) -> Vec<control::Member> {
    live.iter().map(|&n| member(n)).collect()
}

pub(crate) fn view(
    me: usize,
    members: &[control::Member],
    register: &Arc<model::Register>,
) -> Arc<view::View> {
    let view = view::View::new(&member(me), register.clone(), members.to_vec(), true);
    Arc::new(view)
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub(crate) enum Mode {
    #[default]
    Up,
    Down,
    Silent,
}

#[derive(Default)]
pub(crate) struct Target {
    mode: Mode,
    cold: u32,
    running: u32,
    pub(crate) peak_cold: u32,
    pub(crate) refused_cold: u32,
    pub(crate) arrivals: u32,
}

pub(crate) struct Request {
    node: usize,
    request: request::Request,
    pub(crate) arrived: Duration,
    runs: u32,
    attempts: u32,
    /// End time, and the outcome: answered (true), not run (false) or unknown (`None`).
    pub(crate) end: Option<(Duration, Option<bool>)>,
    plan: Option<request::Plan>,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    id: usize,
    number: u32,
    target: id::Target,
    at: usize,
    ticket: Option<u64>,
}

pub(crate) enum Event {
    Arrive(usize),
    AtOwner(Attempt, bool),
    Served(Attempt, Outcome),
    Reply(Attempt, u32, Outcome),
    Wake(usize),
    Tick(usize),
    View(usize, Arc<view::View>),
    Mode(id::Target, Mode, bool),
}

pub(crate) struct World {
    pub(crate) now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    pub(crate) ingresses: Vec<request::Ingress>,
    pub(crate) owners: Vec<request::Owner>,
    pub(crate) views: Vec<Arc<view::View>>,
    pub(crate) targets: BTreeMap<id::Target, Target>,
    pub(crate) requests: Vec<Request>,
    random: ChaCha8Rng,
    pub(crate) loss_percent: u64,
    waiting: HashMap<(usize, u64), Attempt>,
    /// Requests in progress by balancer and target; only for the baseline.
    shares: Option<HashMap<(usize, id::Target), u32>>,
    sequence: u64,
}

impl World {
    pub(crate) fn new(balancers: usize, seed: u64, baseline: bool) -> Self {
        println!("seed {seed}, {balancers} balancers, baseline {baseline}");
        let live: Vec<usize> = (0..balancers).collect();
        let register = Arc::new(register(1));
        let new_view = |&n: &usize| view(n, &members(&live), &register);
        let views: Vec<_> = live.iter().map(new_view).collect();
        let cold = |&(id, _): &(id::Target, u64)| {
            let target = Target {
                cold: WARM_ANSWERS,
                ..Target::default()
            };
            (id, target)
        };
        let ingress =
            |(view, seed): (&Arc<_>, _)| request::Ingress::new(Arc::clone(view), 512, seed);
        let mut world = Self {
            now: Duration::ZERO,
            events: BTreeMap::new(),
            ingresses: views.iter().zip(seed..).map(ingress).collect(),
            owners: views.iter().cloned().map(request::Owner::new).collect(),
            targets: views[0].candidates(service()).iter().map(cold).collect(),
            views,
            requests: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss_percent: 0,
            waiting: HashMap::new(),
            shares: baseline.then(HashMap::new),
            sequence: 0,
        };
        live.iter().for_each(|&n| world.at(100, Event::Tick(n)));
        world
    }

    pub(crate) fn at(&mut self, time_ms: u64, event: Event) {
        self.after(ms(time_ms).saturating_sub(self.now), event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    pub(crate) fn random_below(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    /// Schedules requests at random times, at `rates` per second by class.
    pub(crate) fn arrivals(&mut self, from: u64, until: u64, rates: [u64; 3], idempotent: bool) {
        for (class, rate) in CLASSES.into_iter().zip(rates) {
            for _ in 0..rate * (until - from) / 1_000 {
                let arrived =
                    ms(from) + Duration::from_micros(self.random_below((until - from) * 1_000));
                let node = usize::try_from(self.random_below(self.ingresses.len() as u64)).unwrap();
                let request = request::Request {
                    service: service(),
                    class,
                    idempotent,
                    deadline: arrived + ms(2_000),
                };
                let (runs, attempts, end, plan) = (0, 0, None, None);
                let record = Request {
                    node,
                    request,
                    arrived,
                    runs,
                    attempts,
                    end,
                    plan,
                };
                self.requests.push(record);
                self.after(arrived - self.now, Event::Arrive(self.requests.len() - 1));
            }
        }
    }

    /// Sends each member its view of the members and a register, after up to 300 ms.
    pub(crate) fn publish(
        &mut self,
        time_ms: u64,
        members: &[control::Member],
        register: model::Register,
    ) {
        let register = Arc::new(register);
        for n in 0..members.len() {
            let delay = self.random_below(300);
            let view = view(n, members, &register);
            self.at(time_ms + delay, Event::View(n, view));
        }
    }

    pub(crate) fn run(&mut self, until_ms: u64) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= ms(until_ms)
        {
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive(id) => {
                let record = &mut self.requests[id];
                record.plan = self.ingresses[record.node].begin(now, record.request.clone());
                let admitted = record.plan.is_some();
                if admitted {
                    self.step(id, None)
                } else {
                    self.end(id, Some(false))
                }
            }
            Event::Wake(id) => self.step(id, None),
            Event::AtOwner(attempt, queue) => self.admit(attempt, queue),
            Event::Served(attempt, outcome) => {
                let target = self.targets.get_mut(&attempt.target).unwrap();
                target.running -= 1;
                target.cold -= u32::from(target.cold > 0 && outcome != Outcome::Unknown);
                self.finish_attempt(attempt, outcome);
            }
            Event::Reply(attempt, free, outcome) => {
                let record = &self.requests[attempt.id];
                if record.attempts == attempt.number && record.end.is_none() {
                    let shares = self.shares.as_mut();
                    if let Some(used) =
                        shares.and_then(|s| s.get_mut(&(record.node, attempt.target)))
                    {
                        *used -= 1;
                    }
                    self.ingresses[record.node].record_load(now, attempt.target, free);
                    self.step(attempt.id, Some(outcome));
                }
            }
            Event::Tick(n) => {
                self.owners[n].tick(now);
                self.drain(n);
                self.after(ms(100), Event::Tick(n));
            }
            Event::View(n, view) => {
                self.ingresses[n].set_view(now, view.clone());
                self.owners[n].set_view(now, view.clone());
                self.views[n] = view;
                self.drain(n);
            }
            Event::Mode(target, mode, cold) => {
                let target = self.targets.get_mut(&target).unwrap();
                target.mode = mode;
                target.cold = if cold { WARM_ANSWERS } else { target.cold };
            }
        }
    }

    fn step(&mut self, id: usize, last: Option<Outcome>) {
        if matches!(last, Some(Outcome::Answered { .. })) {
            return self.end(id, Some(true));
        }
        let node = self.requests[id].node;
        let mut plan = self.requests[id].plan.take().unwrap();
        let step = match self.shares {
            Some(_) => self.baseline_step(id, last),
            None => self.ingresses[node].next(self.now, &mut plan, last),
        };
        self.requests[id].plan = Some(plan);
        match step {
            request::Step::Try {
                target,
                owner,
                queue,
            } => {
                self.requests[id].attempts += 1;
                let number = self.requests[id].attempts;
                let (at, ticket) = (owner[1..].parse().unwrap(), None);
                let attempt = Attempt {
                    id,
                    number,
                    target,
                    at,
                    ticket,
                };
                self.send(Event::AtOwner(attempt, queue));
                // The attempt times out after 400 ms, or 900 ms if the owner may queue it.
                let timeout = ms(if queue { 900 } else { 400 });
                self.after(timeout, Event::Reply(attempt, 0, Outcome::Unknown));
            }
            request::Step::Wait { until } => self.after(until - self.now, Event::Wake(id)),
            request::Step::Refuse { .. } => self.end(id, Some(false)),
            request::Step::Unknown => self.end(id, None),
        }
    }

    /// Baseline: equal share of each limit, no memory of failures, three attempts without a budget.
    fn baseline_step(&mut self, id: usize, last: Option<Outcome>) -> request::Step {
        let (record, view) = (&self.requests[id], &self.views[self.requests[id].node]);
        let share = (2 / u32::try_from(self.ingresses.len()).unwrap()).max(1);
        let shares = self.shares.as_mut().unwrap();
        let used = |target| shares.get(&(record.node, target)).copied().unwrap_or(0);
        let targets = view.candidates(service()).iter().map(|&(target, _)| target);
        let open: Vec<_> = targets.filter(|&target| used(target) < share).collect();
        if open.is_empty() || record.attempts == 3 {
            let retry_after = ms(1_000);
            return match last {
                Some(Outcome::Unknown) => request::Step::Unknown,
                _ => request::Step::Refuse { retry_after },
            };
        }
        let target = open[usize::try_from(self.random.next_u64()).unwrap() % open.len()];
        *shares.entry((record.node, target)).or_default() += 1;
        let (owner, queue) = (view.me.clone(), false);
        request::Step::Try {
            target,
            owner,
            queue,
        }
    }

    fn admit(&mut self, mut attempt: Attempt, queue: bool) {
        if self.shares.is_some() {
            return self.serve(attempt);
        }
        let request = &self.requests[attempt.id].request;
        let (class, deadline) = (request.class, request.deadline);
        let owner = &mut self.owners[attempt.at];
        match owner.admit(self.now, attempt.target, class, deadline, queue) {
            request::Admission::Run(ticket) => {
                attempt.ticket = Some(ticket);
                self.serve(attempt);
            }
            request::Admission::Queued(ticket) => {
                attempt.ticket = Some(ticket);
                self.waiting.insert((attempt.at, ticket), attempt);
            }
            _ => self.reply(attempt, Outcome::NotRun { busy: true }),
        }
    }

    fn serve(&mut self, attempt: Attempt) {
        let (view, id) = (&self.views[attempt.at], attempt.target);
        let closed = view.locate(id).unwrap().out || view.target(id).unwrap().leaving;
        assert!(
            !closed || self.shares.is_some(),
            "a closed target got a request"
        );
        let target = self.targets.get_mut(&id).unwrap();
        target.arrivals += 1;
        let is_cold = target.cold > 0;
        if is_cold {
            target.peak_cold = target.peak_cold.max(target.running + 1);
        }
        let (delay, outcome) = match target.mode {
            Mode::Down => return self.finish_attempt(attempt, Outcome::NotRun { busy: false }),
            Mode::Up if target.running >= if is_cold { 1 } else { 2 } => {
                target.refused_cold += u32::from(is_cold);
                target.cold = if is_cold { WARM_ANSWERS } else { 0 };
                return self.finish_attempt(attempt, Outcome::NotRun { busy: true });
            }
            Mode::Silent => (300, Outcome::Unknown),
            Mode::Up => (
                if is_cold { 80 } else { 40 },
                Outcome::Answered { status: 200 },
            ),
        };
        target.running += 1;
        self.requests[attempt.id].runs += 1;
        self.after(ms(delay), Event::Served(attempt, outcome));
    }

    fn finish_attempt(&mut self, attempt: Attempt, outcome: Outcome) {
        if let Some(ticket) = attempt.ticket {
            self.owners[attempt.at].finish(self.now, ticket, outcome);
        }
        self.reply(attempt, outcome);
        self.drain(attempt.at);
    }

    fn reply(&mut self, attempt: Attempt, outcome: Outcome) {
        let free = self.owners[attempt.at].free_slots(attempt.target);
        self.send(Event::Reply(attempt, free, outcome));
    }

    /// Delivers a message after 1 to 3 ms, so that messages are reordered, or loses it.
    fn send(&mut self, event: Event) {
        let delay = Duration::from_micros(1_000 + self.random_below(2_000));
        if self.random_below(100) >= self.loss_percent {
            self.after(delay, event);
        }
    }

    fn drain(&mut self, n: usize) {
        while let Some(action) = self.owners[n].poll() {
            let (request::Action::Start(ticket) | request::Action::Refuse(ticket)) = action;
            let attempt = self.waiting.remove(&(n, ticket)).unwrap();
            match action {
                request::Action::Start(_) => self.serve(attempt),
                request::Action::Refuse(_) => self.reply(attempt, Outcome::NotRun { busy: true }),
            }
        }
    }

    /// Ends a request and checks the answer to the caller.
    fn end(&mut self, id: usize, outcome: Option<bool>) {
        let record = &mut self.requests[id];
        record.end = Some((self.now, outcome));
        let ours = self.shares.is_none();
        assert!(
            !ours || record.request.idempotent || record.runs <= 1,
            "request {id} ran twice"
        );
        assert!(
            !ours || outcome != Some(false) || record.runs == 0,
            "\"not run\" is false for {id}"
        );
        if let Some(plan) = record.plan.take() {
            self.ingresses[record.node].finish(self.now, plan);
        }
    }

    /// Returns the percentage of answered requests by class, for requests that arrived between
    /// `from` and `until`.
    pub(crate) fn shares(&self, from: u64, until: u64) -> Vec<usize> {
        let share = |class| {
            let arrived = ms(from)..ms(until);
            let of: Vec<_> = (self.requests.iter())
                .filter(|record| record.request.class == class && arrived.contains(&record.arrived))
                .collect();
            let answered = |record: &&&Request| record.end.is_some_and(|end| end.1 == Some(true));
            of.iter().filter(answered).count() * 100 / of.len().max(1)
        };
        CLASSES.map(share).to_vec()
    }

    pub(crate) fn sum(&self, count: impl Fn(&Target) -> u32) -> usize {
        self.targets.values().map(count).sum::<u32>() as usize
    }
}
