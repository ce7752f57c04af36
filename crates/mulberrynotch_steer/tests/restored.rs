//! Return of the store from an older copy of itself.

mod fixture;

use std::sync::Arc;

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
use mulberrynotch_steer::{
    catalog,
    machine,
    reader,
    record, //
};

/// Time after which what nobody has written again no longer counts: 60 s for zones, and 4 s for the
/// balancers that do not read the store.
const ALL_DOUBTS_MS: u64 = 66_000;

/// Bandwidth of the slowest link, 10 Mbit/s, in bytes per second.
const MIN_LINK_BYTES_PER_SECOND: usize = 1_250_000;

fn key(id: u64) -> record::Key {
    record::Key::Target(record::Id(id))
}

fn zone(name: &str) -> record::Key {
    record::Key::ZoneOut(Arc::from(name))
}

fn draining() -> record::Target {
    record::Target {
        draining: true,
        ..entry("a")
    }
}

fn at_address(last: u8, started_ms: u64) -> record::Target {
    record::Target {
        address: address(last, 8_000),
        started_ms,
        ..entry("a")
    }
}

/// Returns eight machines that know the records of the store.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(8);
    fleet.run(3_000);
    fleet
}

fn restarted(mut fleet: Fleet) -> Fleet {
    fleet.restore();
    fleet
}

/// Returns how many machines know the target in this state.
fn count(fleet: &Fleet, id: u64, state: catalog::State) -> usize {
    let has_state = |it: &&machine::Machine| {
        let target = it.catalog().target(record::Id(id));
        target.map(|it| it.state(fleet.now)) == Some(state)
    };
    fleet.machines.values().filter(has_state).count()
}

fn count_out(fleet: &Fleet, name: &str) -> usize {
    let is_out = |it: &&machine::Machine| it.catalog().is_zone_out(name);
    fleet.machines.values().filter(is_out).count()
}

/// Guards against a change that is taken for a known one, because the returned store gives it a
/// revision number that another change had before.
#[test]
fn a_change_after_the_return_of_the_store_reaches_every_balancer() {
    let mut fleet = fleet();
    fleet.publish(configuration(2, 3, &[route()]));
    fleet.run(500);
    fleet.copy();
    fleet.publish(configuration(3, 4, &[route()]));
    fleet.publish(configuration(4, 5, &[route()]));
    fleet.run(500);
    fleet.restore();
    fleet.publish(configuration(4, 4, &[route()]));
    fleet.run(3_000);
    fleet.publish(configuration(5, 5, &[route()]));
    fleet.run(3_000);
    assert_eq!(fleet.versions(), vec![5; 8]);
}

/// Guards against peers that learn of a new era only from heartbeats, or fetch everything.
#[test]
fn one_reader_tells_its_zone_of_the_new_era() {
    let mut fleet = fleet();
    fleet.copy();
    for id in 20..30 {
        fleet.write(target(id, 0, at_address(20 + u8::try_from(id).unwrap(), 1)));
    }
    fleet.run(500);
    fleet.lists = 0;
    fleet.pulls = 0;
    fleet.restore();
    fleet.run(300);
    let eras = fleet.machines.values().map(|it| it.catalog().as_of().era);
    assert_eq!(eras.collect::<Vec<_>>(), vec![2; 8]);
    assert_eq!((fleet.lists, fleet.pulls), (1, 0));
}

/// Guards against a cost of the return that grows with the zone: complete reads, fetches of
/// everything, or more than a thin link bears. 78 balancers are a zone of the design scale.
#[test]
fn a_return_costs_a_zone_one_complete_read_whatever_its_size() {
    for size in [10, 78, 100] {
        let mut fleet = Fleet::new(size);
        for id in 100..2_100 {
            fleet.publish(target(id, id, entry("a")));
        }
        fleet.run(5_000);
        fleet.copy();
        for id in 3_000..3_020 {
            let last = u8::try_from(id - 2_900).unwrap();
            fleet.write(target(id, 0, at_address(last, id)));
        }
        fleet.run(1_000);
        fleet.sent.clear();
        (fleet.lists, fleet.complete_pulls) = (0, 0);
        fleet.restore();
        fleet.run(1_000);
        let eras = fleet.machines.values().map(|it| it.catalog().as_of().era);
        assert!(eras.into_iter().all(|era| era == 2), "{size} balancers");
        assert_eq!(
            (fleet.lists, fleet.complete_pulls),
            (1, 0),
            "{size} balancers"
        );
        let busiest = fleet.sent.values().max().copied().unwrap();
        let total: usize = fleet.sent.values().sum();
        println!("{size} balancers: {busiest} bytes from the busiest, {total} in all, in 1 s");
        assert!(
            busiest <= MIN_LINK_BYTES_PER_SECOND,
            "{busiest} bytes from one balancer"
        );
    }
}

/// Guards against a storm of complete reads when the store answers no watch.
#[test]
fn a_store_that_refuses_every_watch_is_read_with_pauses() {
    let mut fleet = fleet();
    fleet.without_history = true;
    fleet.lists = 0;
    fleet.run(12_000);
    // One read every 1.2 s by each of at most two readers, and the first ones with shorter pauses.
    assert!(fleet.lists <= 30, "{} complete reads in 12 s", fleet.lists);
    fleet.without_history = false;
    fleet.write(configuration(2, 0, &[route()]));
    fleet.run(2_000);
    assert_eq!(fleet.versions(), vec![2; 8]);
}

/// Guards against a draining target that gets new flows again because the copy shows it ready, or
/// because the copy's entry is written once more.
#[test]
fn a_lost_drain_stays_in_effect() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.write(target(7, 0, draining()));
    fleet.run(500);
    let mut fleet = restarted(fleet);
    fleet.run(1_000);
    assert_eq!(count(&fleet, 7, catalog::State::Draining), 8);
    fleet.write(target(7, 0, entry("a")));
    fleet.run(500);
    assert_eq!(count(&fleet, 7, catalog::State::Draining), 8);
    fleet.run(ALL_DOUBTS_MS);
    assert_eq!(count(&fleet, 7, catalog::State::Draining), 8);
}

/// Guards against a drain that is ignored because its number in the new era is below the known one.
#[test]
fn a_drain_written_before_the_first_read_counts() {
    let mut fleet = fleet();
    fleet.copy();
    for _ in 0..5 {
        fleet.write(target(7, 0, entry("a")));
    }
    fleet.run(500);
    fleet.restore();
    fleet.write(target(7, 0, draining()));
    fleet.run(500);
    assert_eq!(count(&fleet, 7, catalog::State::Draining), 8);
}

/// Guards against a target that lives and is dropped because the copy lacks it, and against one that
/// died meanwhile and stays for good.
#[test]
fn a_lost_target_stays_until_its_time_to_register_is_over() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.write(target(8, 0, at_address(108, 1)));
    fleet.write(target(9, 0, at_address(109, 1)));
    fleet.run(500);
    let mut fleet = restarted(fleet);
    fleet.run(1_000);
    fleet.write(target(8, 0, at_address(108, 1)));
    fleet.run(4_000);
    for id in [8, 9] {
        assert_eq!(count(&fleet, id, catalog::State::Ready), 8, "target {id}");
    }
    fleet.run(10_000);
    assert_eq!(count(&fleet, 8, catalog::State::Ready), 8);
    assert_eq!(count(&fleet, 9, catalog::State::Removed), 8);
}

/// Guards against a target that only some balancers of the zone had heard of, and that they keep
/// for good though it died and the store has lost it.
#[test]
fn a_lost_target_that_the_reader_never_knew_is_dropped() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.run(100);
    let lost = target(9, 3, at_address(109, 1));
    let (before, as_of) = (fixture::dated(1, 2), fixture::dated(1, 3));
    let lost = record::Record {
        write: mulberrynotch_steer::revision::Write::dated(as_of),
        ..lost
    };
    let last = *fleet.machines.keys().next_back().unwrap();
    let now = fleet.now;
    let machine = fleet.machines.get_mut(&last).unwrap();
    machine.receive(
        now,
        address(9, 7_000),
        fixture::push(before, as_of, vec![lost]),
    );
    assert_eq!(count(&fleet, 9, catalog::State::Ready), 1);
    let mut fleet = restarted(fleet);
    fleet.write(configuration(2, 0, &[route()]));
    fleet.run(10_000);
    assert_eq!(count(&fleet, 9, catalog::State::Ready), 0);
    assert!(count(&fleet, 9, catalog::State::Removed) >= 1);
}

/// Guards against a target that is gone and gets flows again because the copy still has it.
#[test]
fn a_target_that_left_does_not_return_with_the_copy() {
    let mut fleet = fleet();
    fleet.write(target(8, 0, at_address(108, 1)));
    fleet.run(500);
    fleet.copy();
    let leaving = record::Target {
        draining: true,
        ..at_address(108, 1)
    };
    fleet.write(target(8, 0, leaving));
    fleet.run(500);
    fleet.write(removal(key(8), 0));
    fleet.run(500);
    assert_eq!(count(&fleet, 8, catalog::State::Removed), 8);
    let mut fleet = restarted(fleet);
    fleet.run(5_000);
    assert_eq!(count(&fleet, 8, catalog::State::Removed), 8);
    fleet.run(ALL_DOUBTS_MS);
    assert_eq!(count(&fleet, 8, catalog::State::Removed), 8);
}

/// Guards against a target that expired before the drill, lives, and is never used again.
#[test]
fn a_target_that_expired_and_lives_returns_when_the_doubt_is_over() {
    let mut fleet = fleet();
    fleet.write(target(8, 0, at_address(108, 1)));
    fleet.run(500);
    fleet.copy();
    fleet.write(removal(key(8), 0));
    fleet.run(500);
    let mut fleet = restarted(fleet);
    fleet.run(3_000);
    assert_eq!(count(&fleet, 8, catalog::State::Removed), 8);
    fleet.run(10_000);
    assert_eq!(count(&fleet, 8, catalog::State::Ready), 8);
}

/// Guards against flows that are sent to the former holder of an address.
#[test]
fn an_address_stays_with_its_latest_holder() {
    let mut fleet = fleet();
    fleet.write(target(8, 0, at_address(108, 1)));
    fleet.run(500);
    fleet.copy();
    fleet.write(removal(key(8), 0));
    fleet.write(target(9, 0, at_address(108, 2)));
    fleet.run(500);
    let mut fleet = restarted(fleet);
    fleet.run(1_000);
    assert_eq!(count(&fleet, 8, catalog::State::Ready), 0);
    assert_eq!(count(&fleet, 9, catalog::State::Ready), 8);
    fleet.write(target(9, 0, at_address(108, 2)));
    fleet.run(10_000);
    assert_eq!(count(&fleet, 8, catalog::State::Ready), 0);
    assert_eq!(count(&fleet, 9, catalog::State::Ready), 8);
}

/// Guards against a zone that gets new flows although an operator took it out of service, and
/// against one that stays out because the copy shows it so.
#[test]
fn zones_stay_as_the_operators_last_left_them() {
    let mut fleet = fleet();
    fleet.write(zone_out("b", 0));
    fleet.run(500);
    fleet.copy();
    fleet.write(removal(zone("b"), 0));
    fleet.write(zone_out("c", 0));
    fleet.run(500);
    let mut fleet = restarted(fleet);
    fleet.run(5_000);
    assert_eq!((count_out(&fleet, "b"), count_out(&fleet, "c")), (0, 8));
    fleet.write(removal(zone("b"), 0));
    fleet.write(zone_out("c", 0));
    fleet.run(500);
    assert_eq!((count_out(&fleet, "b"), count_out(&fleet, "c")), (0, 8));
    fleet.run(ALL_DOUBTS_MS);
    assert_eq!((count_out(&fleet, "b"), count_out(&fleet, "c")), (0, 8));
}

/// Guards against a zone that goes out of service at once after the return of the store, and is
/// taken for the older state in which it was out before.
#[test]
fn a_zone_that_goes_out_again_is_out() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.write(zone_out("b", 0));
    fleet.write(removal(zone("b"), 0));
    fleet.write(target(7, 0, entry("a")));
    fleet.run(500);
    fleet.restore();
    fleet.write(target(7, 0, entry("a")));
    fleet.write(zone_out("b", 0));
    fleet.run(500);
    assert_eq!(count_out(&fleet, "b"), 8);
}

/// Guards against a zone that stays out of service for good though nobody wrote it again.
#[test]
fn a_lost_zone_out_that_nobody_writes_again_ends() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.write(zone_out("c", 0));
    fleet.run(500);
    let mut fleet = restarted(fleet);
    fleet.run(50_000);
    assert_eq!(count_out(&fleet, "c"), 8);
    fleet.run(ALL_DOUBTS_MS - 50_000);
    assert_eq!(count_out(&fleet, "c"), 0);
}

/// Guards against a process that starts between the return of the store and the writes that repeat
/// what it lost, and that serves by the copy for as long as nobody writes.
#[test]
fn a_process_that_starts_meanwhile_learns_what_was_lost_from_its_peers() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.write(configuration(3, 0, &[route()]));
    fleet.write(target(7, 0, draining()));
    fleet.write(target(8, 0, at_address(108, 1)));
    fleet.write(zone_out("c", 0));
    fleet.run(500);
    let mut fleet = restarted(fleet);
    fleet.run(500);
    fleet.restart(5);
    fleet.run(3_000);
    assert_eq!(fleet.versions(), vec![3; 8]);
    assert_eq!(count(&fleet, 7, catalog::State::Draining), 8);
    assert_eq!(count(&fleet, 8, catalog::State::Ready), 8);
    assert_eq!(count_out(&fleet, "c"), 8);
}

/// Guards against the same when the process reads the store before it hears of a peer.
#[test]
fn a_process_that_read_the_copy_first_learns_what_was_lost_from_its_peers() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.write(configuration(3, 0, &[route()]));
    fleet.write(target(7, 0, draining()));
    fleet.write(zone_out("c", 0));
    fleet.run(500);
    let mut fleet = restarted(fleet);
    fleet.run(500);
    fleet.restart(5);
    let (stale, short) = (true, true);
    fleet.call(address(5, 7_000), reader::Call::List { stale, short });
    fleet.run(3_000);
    assert_eq!(fleet.versions(), vec![3; 8]);
    assert_eq!(count(&fleet, 7, catalog::State::Draining), 8);
    assert_eq!(count_out(&fleet, "c"), 8);
}

/// Guards against processes that keep different configurations under one version.
#[test]
fn a_version_that_is_written_again_with_other_content_takes_effect() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.write(configuration(3, 0, &[route()]));
    fleet.run(500);
    fleet.restore();
    let routes = [route(), address(201, 443)];
    fleet.write(configuration(3, 0, &routes));
    fleet.run(1_000);
    let has_route = |it: &&machine::Machine| it.catalog().route(routes[1]).is_some();
    assert_eq!(fleet.machines.values().filter(has_route).count(), 8);
    fleet.write(configuration(4, 0, &[route(), address(202, 443)]));
    fleet.run(1_000);
    assert_eq!(fleet.versions(), vec![4; 8]);
    assert_eq!(fleet.machines.values().filter(has_route).count(), 0);
}

/// Guards against a configuration with two routes for one address, from the store or a peer.
#[test]
fn an_invalid_configuration_is_refused_wherever_it_comes_from() {
    let mut fleet = fleet();
    fleet.write(configuration(3, 0, &[route(), route()]));
    fleet.run(1_000);
    assert_eq!(fleet.versions(), vec![1; 8]);
    fleet.write(configuration(4, 0, &[route()]));
    fleet.run(1_000);
    assert_eq!(fleet.versions(), vec![4; 8]);
}

/// Guards against a balancer that the store turns away and that stays in the previous era.
#[test]
fn a_balancer_that_the_store_refuses_follows_its_peers() {
    let mut fleet = fleet();
    fleet.refused = vec![address(1, 7_000), address(2, 7_000), address(3, 7_000)];
    fleet.copy();
    fleet.write(configuration(3, 0, &[route()]));
    fleet.run(500);
    fleet.restore();
    fleet.write(configuration(3, 0, &[route()]));
    fleet.run(3_000);
    fleet.write(configuration(5, 0, &[route()]));
    fleet.write(target(7, 0, draining()));
    fleet.run(1_000);
    assert_eq!(fleet.versions(), vec![5; 8]);
    assert_eq!(count(&fleet, 7, catalog::State::Draining), 8);
}

/// Guards against a second return, from a copy made before the first.
#[test]
fn a_second_return_within_the_doubt_loses_nothing() {
    let mut fleet = fleet();
    fleet.copy();
    fleet.write(configuration(3, 0, &[route()]));
    fleet.write(target(7, 0, draining()));
    fleet.write(zone_out("c", 0));
    fleet.run(500);
    fleet.restore();
    fleet.write(configuration(3, 0, &[route()]));
    fleet.run(700);
    let mut fleet = restarted(fleet);
    fleet.run(2_000);
    assert_eq!(fleet.versions(), vec![3; 8]);
    assert_eq!(count(&fleet, 7, catalog::State::Draining), 8);
    assert_eq!(count_out(&fleet, "c"), 8);
    fleet.write(configuration(4, 0, &[route()]));
    fleet.run(500);
    assert_eq!(fleet.versions(), vec![4; 8]);
}
