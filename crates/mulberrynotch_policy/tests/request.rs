//! Choice of targets, retries and admission of requests.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::{
    health,
    request::{
        self,
        Admission,
        Outcome,
        Step, //
    }, //
};
use mulberrynotch_register::model;
use mulberrynotch_wire::{
    control,
    flow, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

mod request_world;

use request_world::{
    CLASSES,
    Event,
    Mode,
    World,
    members,
    ms,
    register,
    service,
    view, //
};

const SEED: u64 = 20_261_204;
const FLEET: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn ingress(max_requests: usize) -> request::Ingress {
    let view = view(0, &members(&FLEET), &Arc::new(register(1)));
    request::Ingress::new(view, max_requests, SEED)
}

fn request(class: model::Class, idempotent: bool) -> request::Request {
    request::Request {
        service: service(),
        class,
        idempotent,
        deadline: ms(2_000),
    }
}

/// Fills the retry budget with earlier requests.
fn earn_retries(ingress: &mut request::Ingress) {
    for _ in 0..50 {
        let plan = ingress.begin(Duration::ZERO, request(model::Class::High, true));
        ingress.finish(Duration::ZERO, plan.unwrap());
    }
}

/// Guards against "not run" for a request that may have run in an earlier attempt, against a retry
/// of a non-idempotent request that may have run, against unbounded attempts, and against attempts
/// after the deadline, under random orders of outcomes.
#[test]
fn no_order_of_outcomes_breaks_the_retry_rules() {
    fn holds(idempotent: bool, events: Vec<(u8, u8)>) -> bool {
        let mut ingress = ingress(64);
        earn_retries(&mut ingress);
        let request = request(model::Class::Normal, idempotent);
        let mut plan = ingress.begin(Duration::ZERO, request).unwrap();
        let (mut now, mut last, mut tries, mut may_have_run) = (Duration::ZERO, None, 0, false);
        for (event, wait) in events {
            match ingress.next(now, &mut plan, last) {
                Step::Try { .. } => {
                    tries += 1;
                    if tries > 5 || now >= ms(2_000) || (may_have_run && !idempotent) {
                        return false;
                    }
                    now += ms(u64::from(wait) * 4);
                    last = Some(match event % 3 {
                        0 => Outcome::Unknown,
                        1 => Outcome::NotRun { busy: true },
                        _ => Outcome::NotRun { busy: false },
                    });
                    may_have_run |= last == Some(Outcome::Unknown);
                }
                Step::Wait { until } => {
                    if until <= now || until >= ms(2_000) {
                        return false;
                    }
                    (now, last) = (until, None);
                }
                Step::Refuse { retry_after } => return !may_have_run && retry_after >= ms(1_000),
                Step::Unknown => return may_have_run,
            }
        }
        true
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(2_000)
        .quickcheck(holds as fn(bool, Vec<(u8, u8)>) -> bool);
}

/// Guards against giving up an idempotent request long before its deadline: the connection of its
/// first attempt broke after more than the maximum waiting time, and the other targets are briefly
/// busy.
#[test]
fn a_request_that_lost_its_connection_waits_for_a_busy_target() {
    let mut ingress = ingress(64);
    earn_retries(&mut ingress);
    let request = request(model::Class::High, true);
    let mut plan = ingress.begin(Duration::ZERO, request).unwrap();
    let tries = |step: Step| matches!(step, Step::Try { .. });
    assert!(tries(ingress.next(Duration::ZERO, &mut plan, None)));
    let lost = ms(1_200);
    assert!(tries(ingress.next(lost, &mut plan, Some(Outcome::Unknown))));
    let busy = Some(Outcome::NotRun { busy: true });
    assert!(tries(ingress.next(lost + ms(1), &mut plan, busy)));
    let Step::Wait { until } = ingress.next(lost + ms(2), &mut plan, busy) else {
        panic!("given up with 0.8 s left");
    };
    assert!(tries(ingress.next(until, &mut plan, None)));
}

/// Guards against counting busy owners as failed attempts, which would leave an idempotent request
/// without a retry after its first failure.
#[test]
fn busy_owners_do_not_consume_retries() {
    let mut ingress = ingress(64);
    earn_retries(&mut ingress);
    let request = request(model::Class::High, true);
    let mut plan = ingress.begin(Duration::ZERO, request).unwrap();
    let busy = Some(Outcome::NotRun { busy: true });
    for last in [None, busy, busy] {
        let step = ingress.next(Duration::ZERO, &mut plan, last);
        assert!(matches!(step, Step::Try { .. }));
    }
    let step = ingress.next(ms(1_200), &mut plan, Some(Outcome::Unknown));
    let Step::Wait { until } = step else {
        panic!("given up after one failed attempt");
    };
    // The failed attempt was allowed to queue; so must be the next one.
    let step = ingress.next(until, &mut plan, None);
    assert!(matches!(step, Step::Try { queue: true, .. }));
}

/// Guards against a low class that uses all capacity of the process, and against a low class that
/// cannot use the capacity left by higher classes.
#[test]
fn classes_share_the_process() {
    let fill = |ingress: &mut request::Ingress, class| {
        let plans = std::iter::from_fn(|| ingress.begin(Duration::ZERO, request(class, true)));
        plans.count()
    };
    let mut one = ingress(100);
    assert_eq!(fill(&mut one, model::Class::Low), 55);
    assert_eq!(fill(&mut one, model::Class::Normal), 15);
    assert_eq!(fill(&mut one, model::Class::High), 30);
    let mut other = ingress(100);
    assert_eq!(fill(&mut other, model::Class::High), 100);
    assert_eq!(other.status().classes[2].refused, 0);
    assert_eq!(fill(&mut other, model::Class::Low), 0);
}

/// Guards against a false "not run" and against a second run, while targets die, stop responding
/// and return, messages are lost, and answers race timeouts. `World::end` checks each answer.
#[test]
fn answers_to_callers_are_correct_under_faults() {
    for seed in SEED..SEED + 4 {
        let mut world = World::new(6, seed, false);
        world.loss_percent = 5;
        world.arrivals(0, 10_000, [80, 80, 80], seed % 2 == 0);
        let ids: Vec<_> = world.targets.keys().copied().collect();
        for time in (500..9_500).step_by(250) {
            let id = ids[usize::try_from(world.random_below(14)).unwrap()];
            let mode = [Mode::Up, Mode::Down, Mode::Silent]
                [usize::try_from(world.random_below(3)).unwrap()];
            let cold = world.random_below(2) == 0;
            world.at(time, Event::Mode(id, mode, cold));
        }
        world.run(15_000);
        assert!(world.requests.iter().all(|one| one.end.is_some()));
    }
}

/// Guards against refusals that are delayed until the deadline of 2 s.
#[test]
fn refusals_are_prompt() {
    let mut world = World::new(6, SEED, false);
    world.arrivals(0, 4_000, [400, 400, 400], true);
    let ids: Vec<_> = world.targets.keys().copied().collect();
    ids.iter()
        .for_each(|id| world.at(2_000, Event::Mode(*id, Mode::Down, false)));
    world.run(8_000);
    let refused = |one: &request_world::Request| match one.end {
        Some((at, Some(false))) => Some(at - one.arrived),
        _ => None,
    };
    let longest = world.requests.iter().filter_map(refused).max().unwrap();
    println!("longest time until a refusal: {longest:?}");
    assert!(longest < ms(1_000), "{longest:?}");
}

/// Guards against two owners that both send to a ramping target during a change of owner.
#[test]
fn a_ramping_target_changes_owner() {
    let mut world = World::new(9, SEED, false);
    world.arrivals(0, 6_000, [100, 100, 100], true);
    let mut fleet = world.views[0].members.clone();
    fleet[4].state = control::State::Leaving;
    world.publish(1_000, &fleet, register(1));
    fleet[4].state = control::State::Alive;
    fleet[4].incarnation += 1;
    fleet[6].state = control::State::Leaving;
    world.publish(3_000, &fleet, register(1));
    world.run(8_000);
    let peak = world.targets.values().map(|target| target.peak_cold).max();
    assert_eq!(peak, Some(1));
}

/// Guards against new requests to leaving targets and to zones out of service, also from a retry or
/// a queue. `World::serve` checks each request.
#[test]
fn closed_targets_get_nothing() {
    let mut world = World::new(6, SEED, false);
    world.loss_percent = 3;
    world.arrivals(0, 6_000, [300, 300, 300], true);
    let fleet = world.views[0].members.clone();
    let mut closed = register(2);
    closed.zones[1].out = true;
    closed.services[0].targets[0].leaving = true;
    world.publish(3_000, &fleet, closed);
    world.run(3_400);
    let view = world.views[0].clone();
    let of_closed = |world: &World| {
        let closed = |id| view.locate(id).unwrap().out || view.target(id).unwrap().leaving;
        let targets = world.targets.iter().filter(|(id, _)| closed(**id));
        targets.map(|(_, target)| target.arrivals).sum::<u32>()
    };
    let before = of_closed(&world);
    world.run(9_000);
    assert!(before > 0);
    assert_eq!(of_closed(&world), before);
}

/// Returns an owner and one of its targets.
fn owner() -> (request::Owner, mulberrynotch_register::id::Target) {
    let view = view(0, &members(&FLEET), &Arc::new(register(1)));
    let target = (view.candidates(service()).iter())
        .map(|(target, _)| *target)
        .find(|target| view.owns(*target))
        .unwrap();
    (request::Owner::new(view), target)
}

/// Guards against a high class that waits behind a low one, and against an unbounded queue.
#[test]
fn the_queue_serves_the_high_class_first() {
    let (mut owner, target) = owner();
    let now = ms(1_000);
    let mut admit = |class, queue| owner.admit(now, target, class, ms(9_000), queue);
    let Admission::Run(first) = admit(model::Class::Low, false) else {
        panic!("the target is free");
    };
    let [high, normal, low] = CLASSES;
    let waits: Vec<_> = [low, normal, high].map(|class| admit(class, true)).into();
    let full = (0..20).map(|_| admit(low, true));
    assert!(
        full.last()
            .is_some_and(|last| matches!(last, Admission::Busy { .. }))
    );
    assert!(matches!(admit(high, true), Admission::Queued(_)));
    owner.finish(now, first, Outcome::Answered { status: 200 });
    let Admission::Queued(high) = waits[2] else {
        panic!("the queue has room");
    };
    assert_eq!(owner.poll(), Some(request::Action::Start(high)));
    assert_eq!(owner.poll(), None);
}

/// Guards against a new owner that ignores the limit or the running requests of the previous one.
#[test]
fn a_handover_carries_limit_and_requests() {
    let (mut owner, target) = owner();
    let admit = |owner: &mut request::Owner, now| {
        owner.admit(now, target, model::Class::High, now + ms(2_000), false)
    };
    assert!(matches!(admit(&mut owner, ms(10)), Admission::Busy { .. }));
    let load = flow::Load {
        slots: 2,
        requests: 1,
        connections: 0,
        settled: true,
    };
    owner.adopt(ms(20), target, load);
    assert!(matches!(admit(&mut owner, ms(30)), Admission::Run(_)));
    assert!(matches!(admit(&mut owner, ms(30)), Admission::Busy { .. }));
    // The request of the previous owner has ended.
    owner.adopt(
        ms(40),
        target,
        flow::Load {
            requests: 0,
            ..load
        },
    );
    assert!(matches!(admit(&mut owner, ms(50)), Admission::Run(_)));
}

/// Guards against full load on a target whose report shows a restart, and against new requests to
/// one that reports draining.
#[test]
fn reports_of_a_restart_and_of_draining_are_applied() {
    let (mut owner, target) = owner();
    let report = |boot, leaving| health::Observation::Report {
        load_percent: 0,
        boot,
        leaving,
    };
    owner.adopt(
        ms(0),
        target,
        flow::Load {
            slots: 2,
            requests: 0,
            connections: 0,
            settled: true,
        },
    );
    owner.observe(ms(1_000), target, report(1, false));
    owner.tick(ms(1_000));
    assert_eq!(owner.free_slots(target), 2);
    owner.observe(ms(1_100), target, report(2, false));
    assert_eq!(owner.free_slots(target), 1);
    owner.observe(ms(1_200), target, report(2, true));
    let admission = owner.admit(ms(1_200), target, model::Class::High, ms(9_000), true);
    assert_eq!(admission, Admission::NotOwner);
}

/// Guards against running a queued request after its caller disconnected.
#[test]
fn a_cancelled_request_does_not_run() {
    let (mut owner, target) = owner();
    let mut admit = || owner.admit(ms(1_000), target, model::Class::High, ms(9_000), true);
    let (Admission::Run(first), Admission::Queued(second)) = (admit(), admit()) else {
        panic!("one runs and one waits");
    };
    owner.finish(ms(1_050), first, Outcome::Answered { status: 200 });
    owner.cancel(ms(1_060), second);
    assert_eq!(owner.poll(), None);
    assert_eq!(owner.free_slots(target), 1);
}

/// Guards against a retry storm: while all attempts fail, retries are at most a tenth of the
/// requests.
#[test]
fn retries_of_an_ingress_stay_within_the_budget() {
    for outcome in [Outcome::Unknown, Outcome::NotRun { busy: false }] {
        let mut ingress = ingress(64);
        let mut tries = 0;
        for _ in 0..1_000 {
            let request = request(model::Class::High, true);
            let mut plan = ingress.begin(Duration::ZERO, request).unwrap();
            let mut last = None;
            while let Step::Try { .. } = ingress.next(Duration::ZERO, &mut plan, last) {
                tries += 1;
                last = Some(outcome);
            }
            ingress.finish(Duration::ZERO, plan);
        }
        assert!((1_000..=1_100).contains(&tries), "{tries} attempts");
    }
}

/// Guards against delayed refusals of queued requests, when their target leaves or when they wait
/// too long.
#[test]
fn queued_requests_are_refused_soon() {
    for leaves in [true, false] {
        let (mut owner, target) = owner();
        let mut admit = || owner.admit(ms(1_000), target, model::Class::High, ms(9_000), true);
        let (Admission::Run(_), Admission::Queued(ticket)) = (admit(), admit()) else {
            panic!("one runs and one waits");
        };
        if leaves {
            let mut register = register(2);
            let targets = &mut register.services[0].targets;
            targets.iter_mut().for_each(|target| target.leaving = true);
            let view = view(0, &members(&FLEET), &Arc::new(register));
            owner.set_view(ms(1_010), view);
        } else {
            owner.tick(ms(1_600));
        }
        assert_eq!(owner.poll(), Some(request::Action::Refuse(ticket)));
    }
}
