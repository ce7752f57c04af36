//! Adaptive concurrency limit and retry budget.

use std::time::Duration;

use mulberrynotch_policy::{
    limit,
    retry, //
};
use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};

const SEED: u64 = 20_261_204;

fn check(property: impl Testable) {
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(500)
        .quickcheck(property);
}

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Runs one request at a time until the limit reaches `slots`; returns the time that this takes.
fn warm_up(limit: &mut limit::Limit, slots: u32) -> Duration {
    let mut now = Duration::ZERO;
    for _ in 0..200 {
        limit.start(now);
        let sent = now;
        now += ms(50);
        limit.success(now, sent);
        if limit.limit() == slots {
            return now;
        }
    }
    panic!("the limit stays at {}", limit.limit());
}

/// Guards against full load on a cold target after its first answer.
#[test]
fn a_cold_target_gets_one_request_until_it_has_answered_several() {
    let mut limit = limit::Limit::new(Duration::ZERO, 8);
    assert_eq!(limit.free_slots(Duration::ZERO), limit::COLD_LIMIT);
    limit.start(Duration::ZERO);
    assert_eq!(limit.free_slots(Duration::ZERO), 0);
    limit.success(ms(50), Duration::ZERO);
    assert_eq!(limit.free_slots(ms(50)), limit::COLD_LIMIT);
    assert!(warm_up(&mut limit, 8) > ms(2_000));
    assert_eq!(limit.status(ms(0)).phase, limit::Phase::Warm);
}

/// Guards against a ramp that is too slow, which would waste most of the capacity of warm targets.
#[test]
fn slow_start_doubles() {
    let mut limit = limit::Limit::new(Duration::ZERO, 64);
    let warm = warm_up(&mut limit, 64);
    assert!(warm <= ms(5_000), "took {warm:?}");
}

/// Guards against full load on a target that became cold while its health endpoint reports no
/// fault.
#[test]
fn signs_of_a_cold_target_drop_the_limit_at_once() {
    type Sign = fn(&mut limit::Limit, Duration);
    let signs: [(&str, Sign); 3] = [
        ("refused connection", |limit, now| {
            limit.unreachable(now, false);
        }),
        ("new boot id", |limit, now| limit.observe_boot(now, 2)),
        ("burst of sheds", |limit, now| {
            limit.record_shed(now, now);
            limit.record_shed(now, now);
        }),
    ];
    for (name, sign) in signs {
        let mut limit = limit::Limit::new(Duration::ZERO, 8);
        limit.observe_boot(Duration::ZERO, 1);
        let now = warm_up(&mut limit, 8);
        limit.observe_boot(now, 1);
        assert_eq!(limit.limit(), 8, "an unchanged report is only advice");
        sign(&mut limit, now);
        assert_eq!(limit.limit(), limit::COLD_LIMIT, "{name}");
        assert_eq!(limit.status(now).cold_drops, 1, "{name}");
    }
}

/// Guards against a limit that does not react to sheds, timeouts and slow answers.
#[test]
fn sheds_timeouts_and_rising_latency_lower_the_limit() {
    let mut limit = limit::Limit::new(Duration::ZERO, 8);
    let now = warm_up(&mut limit, 8);
    limit.start(now);
    limit.shed(now + ms(10), now);
    assert_eq!(limit.limit(), 4);

    let mut limit = limit::Limit::new(Duration::ZERO, 8);
    let now = warm_up(&mut limit, 8);
    limit.start(now);
    limit.timeout(now + ms(10), now);
    assert_eq!(limit.limit(), 4);

    let mut limit = limit::Limit::new(Duration::ZERO, 8);
    let mut now = warm_up(&mut limit, 8);
    for _ in 0..10 {
        limit.start(now);
        limit.success(now + ms(400), now);
        now += ms(400);
    }
    assert!(limit.limit() < 8, "limit {}", limit.limit());
}

/// Guards against a second request on a slot whose request was cancelled but may still run.
#[test]
fn a_slot_without_an_answer_stays_reserved() {
    let mut limit = limit::Limit::new(Duration::ZERO, 2);
    limit.start(Duration::ZERO);
    limit.timeout(ms(10), Duration::ZERO);
    assert_eq!(limit.free_slots(ms(11)), 0);
    assert_eq!(limit.free_slots(ms(1_000)), limit::COLD_LIMIT);
}

/// Guards against two concurrent requests to a target that became cold while it was idle.
#[test]
fn an_idle_target_is_limited_until_its_next_success() {
    let mut limit = limit::Limit::new(Duration::ZERO, 2);
    let now = warm_up(&mut limit, 2);
    assert_eq!(limit.free_slots(now), 2);
    let later = now + ms(11_000);
    assert_eq!(limit.free_slots(later), limit::COLD_LIMIT);
    limit.start(later);
    limit.success(later + ms(20), later);
    assert_eq!(limit.free_slots(later + ms(20)), 2);
}

/// Guards against a limit out of bounds and against leaked slots, under random orders of events.
#[test]
fn the_limit_stays_within_its_bounds() {
    fn holds(slots: u8, events: Vec<(u8, u16)>) -> bool {
        let slots = u32::from(slots % 16) + 1;
        let mut limit = limit::Limit::new(Duration::ZERO, slots);
        let mut now = Duration::ZERO;
        let mut sent = Vec::new();
        let mut within = true;
        for (event, wait) in events {
            now += ms(u64::from(wait % 1_000));
            match (event % 7, sent.pop()) {
                (0 | 1, Some(at)) => limit.success(now, at),
                (2, Some(at)) => limit.shed(now, at),
                (3, Some(at)) => limit.timeout(now, at),
                (4, Some(_)) => limit.unreachable(now, true),
                (5, popped) => {
                    sent.extend(popped);
                    limit.observe_boot(now, u64::from(wait % 3));
                }
                (_, popped) => {
                    sent.extend(popped);
                    if limit.free_slots(now) > 0 {
                        limit.start(now);
                        sent.push(now);
                    }
                }
            }
            let limit_now = limit.limit();
            within &= (limit::COLD_LIMIT..=slots).contains(&limit_now);
            within &= limit.used(now) >= u32::try_from(sent.len()).unwrap();
            within &= limit.free_slots(now) + limit.used(now) <= slots.max(limit.used(now));
        }
        for at in sent.drain(..) {
            limit.success(now, at);
        }
        within && limit.used(now + ms(1_000)) == 0
    }
    check(holds as fn(u8, Vec<(u8, u16)>) -> bool);
}

/// Guards against a retry storm: retries never exceed a tenth of the requests.
#[test]
fn retries_stay_within_the_budget() {
    fn holds(events: Vec<bool>) -> bool {
        let mut budget = retry::Budget::default();
        for is_request in events {
            if is_request {
                budget.record_request();
            } else {
                budget.try_take();
            }
        }
        let status = budget.status();
        status.retries * 10 <= status.requests
    }
    check(holds as fn(Vec<bool>) -> bool);
}
