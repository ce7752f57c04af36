//! Explanations of routing decisions for operators.

mod fixture;

use fixture::{
    at,
    configuration,
    data,
    entry,
    flow,
    machine,
    opening,
    rev,
    route,
    target,
    zone_out, //
};
use mulberrynotch_steer::{
    catalog,
    choice,
    cookie,
    machine as steer,
    record, //
};
use quickcheck::{
    Gen,
    QuickCheck,
    TestResult, //
};

const SEED: u64 = 17;

const TARGETS: u64 = 6;

fn check(property: fn(Vec<(u8, u8)>) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
        .quickcheck(property);
}

/// Returns a machine after a random history of opening packets, data, changed entries and time
/// steps.
fn machine_after(history: &[(u8, u8)]) -> (steer::Machine, u64) {
    let targets =
        (1..=TARGETS).map(|id| target(id, id + 1, entry(if id % 2 == 0 { "a" } else { "b" })));
    let mut machine = machine(targets.collect());
    let mut now = 10;
    for (step, (kind, value)) in history.iter().enumerate() {
        let revision = 101 + u64::try_from(step).unwrap();
        let id = 1 + u64::from(*value) % TARGETS;
        let port = 5_000 + u16::from(*value);
        now += u64::from(*value) * 3;
        match kind % 6 {
            0 | 1 => drop(machine.packet(at(now), &opening(port, 0))),
            2 => drop(machine.packet(at(now), &data(port, id, 1, 1, 100))),
            3 => {
                let draining = record::Target {
                    draining: true,
                    ..entry("a")
                };
                let changed = vec![target(id, revision, draining)];
                machine.watched(at(now), rev(revision - 1), rev(revision), changed);
            }
            4 => {
                let out = vec![zone_out("b", revision)];
                machine.watched(at(now), rev(revision - 1), rev(revision), out);
            }
            _ => machine.tick(at(now)),
        }
        machine.watched(at(now), rev(revision), rev(revision), Vec::new());
    }
    (machine, now)
}

/// Guards against an explanation that differs from the balancer's decision.
#[test]
fn the_explanation_matches_the_decision() {
    check(|history| {
        let (mut machine, now) = machine_after(&history);
        let explained = machine.explain(at(now), &flow(9_000), cookie::NONE).outcome;
        let actual = machine.packet(at(now), &opening(9_000, 0));
        let agrees = match (explained, actual) {
            (
                steer::Outcome::Opened(id) | steer::Outcome::OpenedCold(id),
                steer::Verdict::Forward { target, .. },
            ) => id == target,
            (steer::Outcome::Refused(_), steer::Verdict::Reset | steer::Verdict::Drop)
            | (steer::Outcome::Held, steer::Verdict::Hold) => true,
            _ => false,
        };
        if !agrees {
            return TestResult::error(format!("explained {explained:?}, actual {actual:?}"));
        }
        for id in 1..=TARGETS {
            let explained = machine
                .explain(at(now), &flow(9_001), cookie::of(id))
                .outcome;
            let actual = machine.packet(at(now), &data(9_001, id, 1, 1, 10));
            let agrees = match (explained, actual) {
                (steer::Outcome::Carried(id), steer::Verdict::Forward { target, .. }) => {
                    id == target
                }
                (steer::Outcome::Reset(_), steer::Verdict::Reset) => true,
                _ => false,
            };
            if !agrees {
                return TestResult::error(format!(
                    "cookie of {id}: explained {explained:?}, actual {actual:?}"
                ));
            }
        }
        TestResult::passed()
    });
}

/// Guards against a target that gets no flows for a reason that the explanation does not show.
#[test]
fn each_target_is_listed_with_its_standing() {
    let draining = record::Target {
        draining: true,
        ..entry("a")
    };
    let cold = record::Target {
        cold_ms: 60_000,
        ..entry("a")
    };
    let mut machine = machine(vec![
        target(1, 2, entry("a")),
        target(2, 3, entry("b")),
        target(3, 4, draining),
        target(4, 5, cold),
        target(5, 6, entry("c")),
        zone_out("c", 7),
    ]);
    let explanation = machine.explain(at(10), &flow(9_000), cookie::NONE);
    let standings: Vec<_> = explanation
        .candidates
        .iter()
        .map(|it| (it.id.0, it.standing))
        .collect();
    let excluded = choice::Standing::Excluded;
    let expected = [
        (1, choice::Standing::Good),
        (2, choice::Standing::Good),
        (4, choice::Standing::Cold),
        (3, excluded(catalog::Exclusion::Draining)),
        (5, excluded(catalog::Exclusion::ZoneOut)),
    ];
    assert_eq!(standings, expected);
    assert_eq!(explanation.service.as_deref(), Some("feed"));
    assert_eq!((explanation.version, explanation.as_of), (1, rev(100)));
    let verdict = machine.packet(at(10), &opening(9_000, 0));
    assert_eq!(
        fixture::forwarded(verdict),
        Some(1),
        "the near one is preferred"
    );
}

/// Guards against an explanation for a route that is not in the configuration.
#[test]
fn a_missing_route_is_named_as_the_reason() {
    let mut machine = machine(vec![target(1, 2, entry("a"))]);
    machine.watched(at(5), rev(100), rev(101), vec![configuration(2, 101, &[])]);
    let explanation = machine.explain(at(10), &flow(9_000), cookie::NONE);
    let refused = steer::Outcome::Refused(steer::Reason::NoRoute);
    assert_eq!(explanation.outcome, refused, "{:?}", route());
    assert!(explanation.candidates.is_empty());
    let stranger = machine.explain(at(10), &flow(9_000), 0x1234_5678);
    assert_eq!(stranger.outcome, steer::Outcome::CookieUnknown);
}
