//! Distribution of new flows between zones, by the utilization of near targets.

mod fixture;

use std::time::Duration;

use fixture::{
    at,
    ms, //
};
use mulberrynotch_steer::{
    choice::{
        Candidate,
        Load,
        Standing, //
    },
    record::Id, //
};

/// Balancers of the zone.
const SENDERS: usize = 3;

/// Targets of each zone; those below are near.
const TARGETS: u64 = 5;

fn candidates(standing: impl Fn(u64) -> Standing) -> Vec<Candidate> {
    (0..2 * TARGETS)
        .map(|id| Candidate {
            id: Id(id),
            standing: standing(id),
            slots: 2,
            near: id < TARGETS,
        })
        .collect()
}

/// Sends requests at `rate` per second for ten seconds, each answered after `latency`; returns the
/// fraction that went to the other zone.
fn far_part(
    rate: u64,
    standing: impl Fn(u64) -> Standing,
    latency: impl Fn(u64) -> Duration,
) -> f64 {
    let mut load = Load::default();
    let candidates = candidates(standing);
    let count = rate * 10;
    let mut far = 0_u32;
    for number in 0..count {
        let now =
            at(0) + ms(10_000) * u32::try_from(number).unwrap() / u32::try_from(count).unwrap();
        let chosen = load.best(now, candidates.iter().copied(), SENDERS, number);
        let chosen = chosen.unwrap();
        load.record_request(now, chosen);
        load.record_latency(chosen, latency(chosen.0));
        far += u32::from(chosen.0 >= TARGETS);
    }
    f64::from(far) / f64::from(u32::try_from(count).unwrap())
}

fn good(_: u64) -> Standing {
    Standing::Good
}

fn quick(_: u64) -> Duration {
    ms(25)
}

/// Guards against flows that cross zones without need and are lost in a partition between the
/// zones. A third of the near slots is in use here.
#[test]
fn flows_stay_in_a_zone_with_free_capacity() {
    let part = far_part(44, good, quick);
    assert!(part < 0.01, "{part}");
}

/// Guards against a zone that queues requests while others have free slots, as when clients of
/// other zones move to it. All of these requests would need 1.5 times the near slots.
#[test]
fn excess_flows_go_to_other_zones() {
    let part = far_part(200, good, quick);
    assert!((0.45..0.85).contains(&part), "{part}");
}

/// Guards against callers that wait for slow near targets while fast targets of other zones are
/// idle.
#[test]
fn slow_near_targets_get_fewer_flows_than_other_zones() {
    let part = far_part(44, good, |id| ms(if id < TARGETS { 150 } else { 25 }));
    assert!(part > 0.5, "{part}");
}

/// Guards against flows for failing near targets while targets of other zones are healthy.
#[test]
fn a_doubtful_near_target_comes_after_a_good_far_one() {
    let standing = |id| match id < TARGETS {
        true => Standing::Doubtful,
        false => Standing::Good,
    };
    assert!(far_part(44, standing, quick) > 0.99);
}
