//! Readers that hear nothing from the store, and when their zones learn what they miss.

mod fixture;

use std::net::SocketAddrV4;

use fixture::{
    address,
    configuration,
    entry,
    fleet::Fleet,
    removal,
    route,
    target,
    zone_out, //
};
use mulberrynotch_steer::record;

/// Half of the shortest time that the platform allows for a change to take effect, in milliseconds.
const AIM_MS: u64 = 1_500;

/// The shortest time that the platform allows for a change to take effect, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// The shortest time that the platform allows on sites with zones of more than eight balancers, in
/// milliseconds.
const LARGE_BOUND_MS: u64 = 5_000;

/// Longest time between a watch and the next one, in milliseconds.
const MAX_GAP_MS: u64 = 100;

/// The changes that have to take effect in time: a drain, a configuration, an evacuation, and the
/// removal of a target whose address may be reused.
fn news() -> Vec<record::Record> {
    let draining = record::Target {
        draining: true,
        ..entry("a")
    };
    vec![
        target(7, 50, draining),
        configuration(9, 50, &[route()]),
        zone_out("a", 50),
        removal(record::Key::Target(record::Id(7)), 50),
    ]
}

fn readers(fleet: &Fleet) -> Vec<SocketAddrV4> {
    fleet.watches.iter().map(|(from, ..)| *from).collect()
}

/// Cuts machines off from the store in silence and publishes a record. Returns the time until every
/// machine has it, in milliseconds.
fn age_of_news(fleet: &mut Fleet, silent: Vec<SocketAddrV4>, record: record::Record) -> u64 {
    fleet.silence(silent);
    fleet.publish(record);
    let started = fleet.now;
    for _ in 0..1_000 {
        let revision = fleet.revision;
        let mut machines = fleet.machines.values();
        if machines.all(|it| it.catalog().as_of().number >= revision) {
            break;
        }
        fleet.run(10);
    }
    u64::try_from((fleet.now - started).as_millis()).unwrap()
}

/// Guards against a zone whose reader is cut off from the store in silence, and which acts on what
/// it knew for longer than a drain may take.
#[test]
fn a_zone_with_a_silent_reader_learns_in_time() {
    for (size, record) in [3, 8]
        .iter()
        .flat_map(|size| news().into_iter().map(move |it| (*size, it)))
    {
        // The cut begins at each moment of a watch.
        for moment in (0..2_200).step_by(100) {
            let mut fleet = Fleet::new(size);
            fleet.run(3_000 + moment);
            let silent = readers(&fleet);
            let age = age_of_news(&mut fleet, silent, record.clone());
            assert!(
                age <= AIM_MS,
                "{age} ms, cut at {moment} ms, {size} balancers, {:?}",
                record.key
            );
        }
    }
}

/// Guards against a large zone, where the state of the reader is relayed, that acts on old news for
/// longer than a drain may take there. 25 and 65 balancers are zones of sites with 75 and 195.
#[test]
fn a_large_zone_with_a_silent_reader_learns_in_time() {
    for (size, moment) in [25, 65]
        .into_iter()
        .flat_map(|size| (0..2_200).step_by(400).map(move |it| (size, it)))
    {
        let mut fleet = Fleet::new(size);
        fleet.run(3_000 + moment);
        let silent = readers(&fleet);
        let age = age_of_news(&mut fleet, silent, configuration(9, 50, &[route()]));
        assert!(
            age < LARGE_BOUND_MS,
            "{age} ms, cut at {moment} ms, {size} balancers"
        );
    }
}

/// Guards against zones that learn nothing in time when the readers of all of them are silent, and
/// another balancer of each still reaches the store.
#[test]
fn zones_whose_readers_are_all_silent_learn_in_time() {
    for moment in (0..2_200).step_by(100) {
        let mut fleet = Fleet::in_zones(9, &["a", "b", "c"]);
        fleet.run(3_000 + moment);
        let silent = readers(&fleet);
        assert_eq!(silent.len(), 3);
        let age = age_of_news(&mut fleet, silent, configuration(9, 50, &[route()]));
        assert!(age <= AIM_MS, "{age} ms, cut at {moment} ms");
    }
}

/// Guards against a zone in which only the last in the order of readers reaches the store.
#[test]
fn a_zone_of_which_one_balancer_reaches_the_store_learns_in_time() {
    for (size, moment) in [3, 5, 8]
        .into_iter()
        .flat_map(|size| (0..2_200).step_by(300).map(move |it| (size, it)))
    {
        for last in 1..=size {
            let mut fleet = Fleet::new(size);
            fleet.run(3_000 + moment);
            let others = (1..=size).filter(|it| *it != last);
            let silent = others.map(|it| address(it, 7_000)).collect();
            let age = age_of_news(&mut fleet, silent, configuration(9, 50, &[route()]));
            assert!(
                age < BOUND_MS,
                "{age} ms, cut at {moment} ms, {last} of {size}"
            );
        }
    }
}

/// Guards against a zone that the store turns away as a whole and that fetches nothing from another
/// zone, because its own balancers are all equally behind.
#[test]
fn a_silent_zone_learns_from_another_one() {
    for (size, moment) in [6, 9, 24]
        .into_iter()
        .flat_map(|size| (0..2_200).step_by(200).map(move |it| (size, it)))
    {
        let mut fleet = Fleet::in_zones(size, &["a", "b"]);
        fleet.run(3_000 + moment);
        let silent = (1..=size / 2).map(|it| address(2 * it, 7_000)).collect();
        let age = age_of_news(&mut fleet, silent, configuration(9, 50, &[route()]));
        assert!(
            age < BOUND_MS,
            "{age} ms, cut at {moment} ms, {size} balancers"
        );
    }
}

/// Guards against a zone that goes back and forth between readers, with gaps, while its first
/// reader is silent.
#[test]
fn the_balancer_that_took_over_keeps_reading() {
    let mut fleet = Fleet::new(3);
    fleet.run(3_000);
    let silent = readers(&fleet);
    fleet.silence(silent);
    fleet.run(2_000);
    let (mut gap, mut longest) = (0, 0);
    for _ in 0..1_000 {
        fleet.run(10);
        let readers = readers(&fleet).len();
        assert!(readers <= 1, "{readers} readers");
        gap = if readers == 0 { gap + 10 } else { 0 };
        longest = longest.max(gap);
    }
    assert!(longest <= MAX_GAP_MS, "{longest} ms without a watch");
}
