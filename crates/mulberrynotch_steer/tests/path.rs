//! State of the paths to other zones: which evidence makes and ends a cut, and which must not.

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

/// Time within which a cut must be known, in milliseconds.
const LIMIT_MS: u64 = 300;

fn zone() -> Arc<str> {
    Arc::from("b")
}

/// Returns the report that a cut began, or ended, at a time.
fn report(number: u64, open: bool, millis: u64) -> Report {
    Report {
        number,
        open,
        at: at(millis),
    }
}

/// Fails one target at 60 ms, then runs the table until `until` with `balancers` pinged balancers
/// that do not answer. Returns the time at which the zone was cut off.
fn suspect(table: &mut Table, balancers: usize, link_works: bool, until: u64) -> Option<u64> {
    table.failed(at(60), &zone(), Id(7), at(0));
    for now in (60..until).step_by(30) {
        send_unanswered(table, now, balancers);
        if !table.decide(at(now), link_works).is_empty() {
            return Some(now);
        }
    }
    None
}

/// Sends all due pings and probes; no ping is answered, and the probes of two targets fail.
fn send_unanswered(table: &mut Table, now: u64, balancers: usize) {
    for pinged in table.zones_to_ping(at(now)) {
        table.record_pings(at(now), &pinged, balancers);
    }
    for zone in table.zones_to_probe() {
        table.record_probes_sent(&zone, 2);
        table.probe_failed(&zone);
        table.probe_failed(&zone);
    }
}

/// Returns a table in which the zone is cut off.
fn cut_table() -> Table {
    let mut table = Table::default();
    assert!(suspect(&mut table, 2, true, 1_000).is_some());
    table
}

/// Guards against flows that are sent into a cut for seconds.
#[test]
fn unresponsive_balancers_and_a_failed_target_are_a_cut_within_300_ms() {
    let mut table = Table::default();
    let known = suspect(&mut table, 2, true, 1_000);
    assert!(known.is_some_and(|it| it <= LIMIT_MS), "{known:?}");
    assert!(table.is_cut("b") && !table.is_cut("c"));
}

/// Guards against a cut that results from a lost packet.
#[test]
fn one_answer_ends_a_suspicion() {
    let mut table = Table::default();
    table.failed(at(60), &zone(), Id(7), at(0));
    assert_eq!(table.state("b"), State::Suspected);
    table.record_arrival(&zone(), at(60));
    assert_eq!(table.state("b"), State::Open);
    assert!(table.zones_to_ping(at(70)).is_empty());
}

/// Guards against a suspicion from a failure that is older than the last known arrival: only that
/// packet was lost.
#[test]
fn a_failure_before_the_last_arrival_is_ignored() {
    let mut table = Table::default();
    table.record_arrival(&zone(), at(50));
    table.failed(at(60), &zone(), Id(7), at(0));
    assert_eq!(table.state("b"), State::Open);
}

/// Guards against a balancer with a faulty link that reports a cut for its zone.
#[test]
fn a_balancer_with_a_faulty_link_detects_no_cut() {
    let mut table = Table::default();
    assert_eq!(suspect(&mut table, 2, false, 1_000), None);
    assert_eq!(table.state("b"), State::Open);
}

/// Guards against a single failed target that cuts off a zone without known balancers.
#[test]
fn a_cut_without_balancers_needs_several_failed_targets() {
    let mut table = Table::default();
    assert_eq!(suspect(&mut table, 0, true, 1_000), None);
    let mut table = Table::default();
    for id in [8, 9] {
        table.failed(at(60), &zone(), Id(id), at(0));
    }
    assert!(suspect(&mut table, 0, true, 1_000).is_some());
}

/// Guards against a zone that counts as cut off because its balancers have ended: progress of one
/// of its targets opens the path.
#[test]
fn a_target_that_answers_disproves_a_cut() {
    let mut table = cut_table();
    assert_eq!(table.record_arrival(&zone(), at(60)), Some(Change::Opened));
    assert_eq!(table.state("b"), State::Open);
}

/// Guards against a zone that is cut off repeatedly because its balancers and some of its targets
/// have ended while other targets answer.
#[test]
fn an_accepted_probe_ends_a_suspicion_for_a_while() {
    let mut table = Table::default();
    table.failed(at(60), &zone(), Id(7), at(0));
    for pinged in table.zones_to_ping(at(60)) {
        table.record_pings(at(60), &pinged, 2);
    }
    assert_eq!(table.zones_to_probe(), [zone()]);
    table.record_probes_sent("b", 2);
    table.probe_accepted(at(95), &zone(), at(90));
    assert_eq!(table.state("b"), State::Open);
    table.failed(at(200), &zone(), Id(8), at(140));
    assert_eq!(table.state("b"), State::Open, "other targets answer");
    table.failed(at(1_200), &zone(), Id(8), at(1_140));
    assert_eq!(table.state("b"), State::Suspected);
}

/// Guards against a delayed report that reinstates a cut which has ended, however recent the
/// relayed report appears.
#[test]
fn an_outdated_report_changes_nothing() {
    let mut table = cut_table();
    table.record_arrival(&zone(), at(500));
    let merged = table.merge_report(at(900), &zone(), report(1, false, 900));
    assert_eq!((merged, table.state("b")), (Merge::Outdated, State::Open));
    let merged = table.merge_report(at(900), &zone(), report(2, false, 600));
    assert_eq!(merged, Merge::Changed(Change::Cut));
    let merged = table.merge_report(at(950), &zone(), report(1, true, 950));
    assert_eq!((merged, table.state("b")), (Merge::Outdated, State::Cut));
}

/// Guards against a reported cut that replaces more recent evidence of this balancer.
#[test]
fn a_later_arrival_disproves_the_report_of_a_peer() {
    let mut table = Table::default();
    table.record_arrival(&zone(), at(500));
    let merged = table.merge_report(at(600), &zone(), report(1, false, 400));
    assert_eq!((merged, table.state("b")), (Merge::Outdated, State::Open));
    let own = Arc::from("a");
    let report = table.report(at(600), &own, &zone()).unwrap();
    assert!(report.open && report.number == 1);
}

/// Guards against flapping where a path is cut for some balancers of a zone only: a balancer that
/// detected the cut keeps it for itself and does not report it again.
#[test]
fn a_disputed_cut_holds_only_where_it_was_detected() {
    let mut table = cut_table();
    let merged = table.merge_report(at(300), &zone(), report(1, true, 290));
    assert_eq!((merged, table.state("b")), (Merge::Known, State::Cut));
    assert!(table.is_local_cut("b"));
    let own = Arc::from("a");
    assert!(table.report(at(300), &own, &zone()).unwrap().open);
    assert_eq!(
        table.record_arrival(&zone(), at(1_000)),
        Some(Change::Opened)
    );
    table.failed(at(1_100), &zone(), Id(7), at(1_040));
    for now in (1_100..1_400).step_by(30) {
        send_unanswered(&mut table, now, 2);
        table.decide(at(now), true);
    }
    assert!(table.is_local_cut("b"));
    assert_eq!(table.report(at(1_400), &own, &zone()).unwrap().number, 1);
}

/// Guards against balancers that disagree after they got the same reports in another order.
#[test]
fn the_order_of_reports_does_not_matter() {
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

/// Guards against pings at every tick, and against balancers that act simultaneously.
#[test]
fn a_cut_is_pinged_at_varying_intervals() {
    let pinged = |jitter_seed: u64| {
        let mut table = cut_table();
        let times = (1_000..2_000).filter(|now| table.start_cut_ping(at(*now), "b", jitter_seed));
        times.collect::<Vec<_>>()
    };
    assert!(pinged(0).len() <= 10, "{:?}", pinged(0));
    assert!(pinged(99).len() >= 7, "{:?}", pinged(99));
    assert_ne!(pinged(0), pinged(99));
}

/// Guards against a joining process that keeps a cut which its peers know to have ended: both the
/// cut and its end are reported for a while.
#[test]
fn an_ended_cut_is_reported_for_a_while() {
    let own = Arc::from("a");
    let mut table = cut_table();
    assert!(!table.reports(at(1_000), &own)[0].open);
    table.record_arrival(&zone(), at(2_000));
    let reports = table.reports(at(2_500), &own);
    assert!(reports[0].open && reports[0].age_ms == 500);
    assert!(table.reports(at(2_000) + ms(60_000), &own).is_empty());
}
