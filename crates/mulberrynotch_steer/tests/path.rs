//! Beliefs on the paths to other zones: what makes and ends them, and what must not.

mod fixture;

use std::sync::Arc;

use fixture::{
    at,
    ms, //
};
use mulberrynotch_steer::{
    path::{
        Change,
        Merge,
        Report, //
        State,
        Table,
    },
    record::Id, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const SEED: u64 = 20_261_204;

/// Time within which a cut is to be known, and its end.
const LIMIT_MS: u64 = 300;

fn zone() -> Arc<str> {
    Arc::from("b")
}

/// The word that the cut with a number began, or ended, at a time.
fn report(number: u64, open: bool, millis: u64) -> Report {
    Report {
        number,
        open,
        at: at(millis),
    }
}

/// Fails one target at 60 ms, then asks `balancers` of the zone as often as the table wants to,
/// until `until`; returns when the zone was taken for cut off.
fn suspect(table: &mut Table, balancers: usize, link_works: bool, until: u64) -> Option<u64> {
    table.failed(at(60), &zone(), Id(7), at(0));
    for now in (60..until).step_by(30) {
        answer_nothing(table, now, balancers);
        if !table.decide(at(now), link_works).is_empty() {
            return Some(now);
        }
    }
    None
}

/// Asks what is due; nobody answers, and the probes of two targets fail.
fn answer_nothing(table: &mut Table, now: u64, balancers: usize) {
    for pinged in table.zones_to_ping(at(now)) {
        table.note_pinged(at(now), &pinged, balancers);
    }
    for zone in table.zones_to_probe() {
        table.note_probes_sent(&zone, 2);
        table.probe_failed(&zone);
        table.probe_failed(&zone);
    }
}

/// A table that believes in a cut.
fn cut() -> Table {
    let mut table = Table::default();
    assert!(suspect(&mut table, 2, true, 1_000).is_some());
    table
}

/// Guards against flows that go on being sent into a cut for seconds.
#[test]
fn silent_balancers_and_a_silent_target_are_a_cut_within_300_ms() {
    let mut table = Table::default();
    let known = suspect(&mut table, 2, true, 1_000);
    assert!(known.is_some_and(|it| it <= LIMIT_MS), "{known:?}");
    assert!(table.is_cut("b") && !table.is_cut("c"));
}

/// Guards against a lost packet that is taken for a cut.
#[test]
fn one_answer_ends_a_suspicion() {
    let mut table = Table::default();
    table.failed(at(60), &zone(), Id(7), at(0));
    assert_eq!(table.state("b"), State::Suspected);
    table.note_arrival(&zone(), at(60));
    assert_eq!(table.state("b"), State::Open);
    assert!(table.zones_to_ping(at(70)).is_empty());
}

/// Guards against a failure that is older than the last proof: the packet was lost alone.
#[test]
fn a_failure_before_the_last_proof_is_none() {
    let mut table = Table::default();
    table.note_arrival(&zone(), at(50));
    table.failed(at(60), &zone(), Id(7), at(0));
    assert_eq!(table.state("b"), State::Open);
}

/// Guards against a balancer with a bad link that speaks for its zone.
#[test]
fn a_balancer_that_is_not_in_touch_decides_nothing() {
    let mut table = Table::default();
    assert_eq!(suspect(&mut table, 2, false, 1_000), None);
    assert_eq!(table.state("b"), State::Open);
}

/// Guards against a single dark target that closes a zone of which no balancer is known.
#[test]
fn without_balancers_several_targets_have_to_be_silent() {
    let mut table = Table::default();
    assert_eq!(suspect(&mut table, 0, true, 1_000), None);
    let mut table = Table::default();
    for id in [8, 9] {
        table.failed(at(60), &zone(), Id(id), at(0));
    }
    assert!(suspect(&mut table, 0, true, 1_000).is_some());
}

/// Guards against a zone whose balancers have ended while its targets live: progress of one of them
/// opens the path.
#[test]
fn a_target_that_answers_disproves_a_cut() {
    let mut table = cut();
    assert_eq!(table.note_arrival(&zone(), at(60)), Some(Change::Opened));
    assert_eq!(table.state("b"), State::Open);
}

/// Guards against a zone that is taken for cut off again and again, since its balancers are silent
/// and some of its targets have ended while others answer.
#[test]
fn an_accepted_probe_ends_a_suspicion_for_a_while() {
    let mut table = Table::default();
    table.failed(at(60), &zone(), Id(7), at(0));
    for pinged in table.zones_to_ping(at(60)) {
        table.note_pinged(at(60), &pinged, 2);
    }
    assert_eq!(table.zones_to_probe(), [zone()]);
    table.note_probes_sent("b", 2);
    table.probe_accepted(at(95), &zone(), at(90));
    assert_eq!(table.state("b"), State::Open);
    table.failed(at(200), &zone(), Id(8), at(140));
    assert_eq!(table.state("b"), State::Open, "other targets answer");
    table.failed(at(1_200), &zone(), Id(8), at(1_140));
    assert_eq!(table.state("b"), State::Suspected);
}

/// Guards against a late word of a peer that brings back a cut which has ended, however young it
/// looks after it was passed on.
#[test]
fn an_outdated_word_changes_nothing() {
    let mut table = cut();
    table.note_arrival(&zone(), at(500));
    let merged = table.merge_report(at(900), &zone(), report(1, false, 900));
    assert_eq!((merged, table.state("b")), (Merge::Outdated, State::Open));
    let merged = table.merge_report(at(900), &zone(), report(2, false, 600));
    assert_eq!(merged, Merge::Changed(Change::Cut));
    let merged = table.merge_report(at(950), &zone(), report(1, true, 950));
    assert_eq!((merged, table.state("b")), (Merge::Outdated, State::Cut));
}

/// Guards against a cut that is taken over although this balancer knows better.
#[test]
fn later_proof_disproves_the_word_of_a_peer() {
    let mut table = Table::default();
    table.note_arrival(&zone(), at(500));
    let merged = table.merge_report(at(600), &zone(), report(1, false, 400));
    assert_eq!((merged, table.state("b")), (Merge::Outdated, State::Open));
    let own = Arc::from("a");
    let report = table.report(at(600), &own, &zone()).unwrap();
    assert!(report.open && report.number == 1);
}

/// Guards against flapping where a path is cut for some balancers of a zone only: a finder keeps its
/// belief for itself, and does not tell it again.
#[test]
fn a_disputed_cut_holds_for_its_finder_alone() {
    let mut table = cut();
    let merged = table.merge_report(at(300), &zone(), report(1, true, 290));
    assert_eq!((merged, table.state("b")), (Merge::Known, State::Cut));
    assert!(table.is_local_cut("b"));
    let own = Arc::from("a");
    assert!(table.report(at(300), &own, &zone()).unwrap().open);
    assert_eq!(table.note_arrival(&zone(), at(1_000)), Some(Change::Opened));
    table.failed(at(1_100), &zone(), Id(7), at(1_040));
    for now in (1_100..1_400).step_by(30) {
        answer_nothing(&mut table, now, 2);
        table.decide(at(now), true);
    }
    assert!(table.is_local_cut("b"));
    assert_eq!(table.report(at(1_400), &own, &zone()).unwrap().number, 1);
}

/// Guards against balancers that disagree after they heard the same words in another order.
#[test]
fn the_order_of_words_does_not_matter() {
    fn holds(reports: Vec<(u8, bool)>, swaps: Vec<(u8, u8)>) -> bool {
        let mut shuffled = reports.clone();
        for (one, other) in swaps {
            if !shuffled.is_empty() {
                let length = shuffled.len();
                shuffled.swap(usize::from(one) % length, usize::from(other) % length);
            }
        }
        let state = |reports: &[(u8, bool)]| {
            let mut table = Table::default();
            for (number, open) in reports {
                let number = u64::from(number % 8) + 1;
                table.merge_report(at(100), &zone(), report(number, *open, 50));
            }
            (
                table.is_cut("b"),
                table
                    .report(at(200), &Arc::from("a"), &zone())
                    .map(|it| it.number),
            )
        };
        state(&reports) == state(&shuffled)
    }
    let generator = Gen::from_size_and_seed(40, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, bool)>, Vec<(u8, u8)>) -> bool);
}

/// Guards against questions at the pace of the clock, and probers that act in step.
#[test]
fn a_cut_is_looked_at_in_steps_that_vary() {
    let pinged = |jitter_seed: u64| {
        let mut table = cut();
        let times = (1_000..2_000).filter(|now| table.start_cut_ping(at(*now), "b", jitter_seed));
        times.collect::<Vec<_>>()
    };
    assert!(pinged(0).len() <= 10, "{:?}", pinged(0));
    assert!(pinged(99).len() >= 7, "{:?}", pinged(99));
    assert_ne!(pinged(0), pinged(99));
}

/// Guards against a process that joins and believes in a cut that its peers know to be over: both
/// words are told for a while.
#[test]
fn a_former_cut_is_told_for_a_while() {
    let own = Arc::from("a");
    let mut table = cut();
    assert!(!table.reports(at(1_000), &own)[0].open);
    table.note_arrival(&zone(), at(2_000));
    let reports = table.reports(at(2_500), &own);
    assert!(reports[0].open && reports[0].age_ms == 500);
    assert!(table.reports(at(2_000) + ms(60_000), &own).is_empty());
}
