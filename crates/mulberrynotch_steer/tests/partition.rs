//! Network partitions between zones: the state of paths at each balancer, the targets of new flows,
//! and withdrawals from the rotation.

mod fixture;

use fixture::{
    address,
    zones::World, //
};

/// Time within which a cut, and its end, is known in a zone, in milliseconds.
const DETECTION_MS: u64 = 300;

/// Time for heartbeats and flows to make all members known, in milliseconds.
const SETTLING_MS: u64 = 3_000;

fn world(balancers: u8) -> World {
    let mut world = World::new(balancers);
    world.run(SETTLING_MS);
    world
}

/// Guards against flows that are sent into a cut for seconds, and against a recovery that takes as
/// long.
#[test]
fn a_cut_and_its_end_are_known_in_every_zone_within_300_ms() {
    let mut world = world(3);
    // Clients of zone `a` go to targets of other zones, so flows cross the cut.
    world.set_out("a", true);
    world.run(500);
    world.set_cut("a", true);
    world.run(DETECTION_MS);
    assert_eq!(
        (
            world.balancers_with_cut("a", "b"),
            world.balancers_with_cut("a", "c")
        ),
        (3, 3)
    );
    assert_eq!(
        (
            world.balancers_with_cut("b", "c"),
            world.balancers_with_cut("c", "b")
        ),
        (0, 0)
    );
    world.run(3_000);
    world.set_cut("a", false);
    world.run(DETECTION_MS);
    assert_eq!(
        (
            world.balancers_with_cut("a", "b"),
            world.balancers_with_cut("a", "c")
        ),
        (0, 0)
    );
}

/// Guards against clients that are sent for seconds to balancers without a target.
#[test]
fn all_balancers_of_a_zone_that_is_out_of_service_and_cut_off_withdraw() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(1_000);
    assert_eq!(world.ready("a"), 3, "others serve its clients");
    world.set_cut("a", true);
    world.run(DETECTION_MS + 100);
    assert_eq!(
        (world.ready("a"), world.ready("b"), world.ready("c")),
        (0, 3, 3)
    );
    world.run(3_000);
    world.set_cut("a", false);
    world.run(DETECTION_MS + 500);
    assert_eq!(world.ready("a"), 3);
}

/// Guards against open flows that are lost because their zone withdraws without need: a zone with
/// its own targets stays in rotation.
#[test]
fn a_zone_that_is_only_cut_off_stays_in_rotation() {
    let mut world = world(3);
    world.set_cut("a", true);
    world.run(2_000);
    assert_eq!(world.ready("a"), 3);
    let (opened, refused) = (world.opened, world.refused);
    world.run(1_000);
    assert!(world.opened > opened + 200, "{}", world.opened - opened);
    assert_eq!(world.refused, refused);
}

/// Guards against a site without any balancer in rotation.
#[test]
fn not_all_zones_withdraw_while_one_can_serve() {
    let mut world = world(2);
    for zone in ["a", "b"] {
        world.set_out(zone, true);
    }
    world.set_cut("a", true);
    world.run(2_000);
    assert_eq!(
        (world.ready("a"), world.ready("b"), world.ready("c")),
        (0, 2, 2)
    );
}

/// Guards against open flows that are lost because every balancer withdraws, as when the entries of
/// all targets expire. When no target takes new flows, no other balancer can serve them.
#[test]
fn balancers_stay_in_rotation_while_no_target_takes_new_flows() {
    let mut world = world(2);
    for zone in ["a", "b", "c"] {
        world.set_out(zone, true);
    }
    world.run(1_000);
    let ready = (world.ready("a"), world.ready("b"), world.ready("c"));
    assert_eq!(ready, (2, 2, 2));
}

/// Guards against flows that are dropped without an answer for too long, and against flows that are
/// refused while the routers are about to send their next packet to a zone that can serve them.
#[test]
fn new_flows_are_refused_once_the_routers_have_noticed_the_withdrawal() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(500);
    world.set_cut("a", true);
    world.run(1_200);
    assert_eq!(world.refused, 0);
    world.run(2_000);
    assert!(world.refused > 0);
}

/// Guards against a report of another zone that is applied to this zone's paths: a third zone that
/// reaches both others does not adopt the cut between them.
#[test]
fn a_third_zone_reaches_two_zones_that_are_cut_off_from_each_other() {
    let mut world = world(3);
    world.broken.extend([("a", "b"), ("b", "a")]);
    world.run(2_500);
    assert_eq!(
        (
            world.balancers_with_cut("c", "a"),
            world.balancers_with_cut("c", "b")
        ),
        (0, 0)
    );
    assert_eq!(
        (
            world.balancers_with_cut("a", "c"),
            world.balancers_with_cut("b", "c")
        ),
        (0, 0)
    );
    assert_eq!(
        (world.ready("a"), world.ready("b"), world.ready("c")),
        (3, 3, 3)
    );
}

/// Guards against a link that carries packets in one direction only and counts as open because the
/// other zone is still heard.
#[test]
fn a_link_that_carries_no_packets_to_a_zone_is_cut() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(500);
    world.broken.insert(("a", "b"));
    world.run(DETECTION_MS + 200);
    assert_eq!(world.balancers_with_cut("a", "b"), 3);
    assert_eq!(world.ready("a"), 3, "zone c is reached");
}

/// Guards against a zone that is avoided although its targets get all packets and answer the
/// clients directly: only answers to balancers are lost.
#[test]
fn a_link_that_carries_no_packets_back_is_open() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(500);
    world.broken.insert(("b", "a"));
    let refused = world.refused;
    world.run(3_000);
    assert_eq!(world.balancers_with_cut("a", "b"), 0);
    assert_eq!(world.refused, refused);
}

/// Guards against links that lose a third of the packets and count as cut, although the remaining
/// packets are useful.
#[test]
fn a_lossy_link_is_open() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(500);
    world.loss_percent = 30;
    let mut times_cut = 0;
    for _ in 0..50 {
        world.run(100);
        times_cut += usize::from(
            world.balancers_with_cut("a", "b") + world.balancers_with_cut("a", "c") > 0,
        );
    }
    assert!(times_cut <= 5, "{times_cut} of 50 times");
    assert_eq!(world.ready("a"), 3);
}

/// Guards against a zone that is avoided because its balancers have ended, although its targets
/// work.
#[test]
fn a_zone_without_balancers_is_reached_through_its_targets() {
    let mut world = world(3);
    world
        .dead
        .extend((0..3).map(|place| address(40 + place, 7_000)));
    world.set_out("a", true);
    world.set_out("c", true);
    let opened = world.opened;
    world.run(3_000);
    assert_eq!(
        (
            world.balancers_with_cut("a", "b"),
            world.balancers_with_cut("c", "b")
        ),
        (0, 0)
    );
    assert!(world.opened > opened + 350, "{}", world.opened - opened);
}

/// Guards against a balancer with a faulty link that reports a cut for its zone, and against one
/// that stays in rotation although it reaches nothing.
#[test]
fn only_the_balancer_whose_own_link_fails_withdraws() {
    let mut world = world(3);
    world.disconnected.insert(address(0, 7_000));
    world.run(2_000);
    assert_eq!(
        (
            world.balancers_with_cut("a", "b"),
            world.balancers_with_cut("a", "c")
        ),
        (0, 0)
    );
    assert_eq!(world.ready("a"), 2);
    world.disconnected.clear();
    // Without client packets, the balancer's own probes must detect the recovery.
    world.flows_enabled = false;
    world.run(1_000);
    assert_eq!(world.ready("a"), 3);
}

/// Guards against probes of every balancer at every target behind a cut, and against a burst of
/// them at its end. The limit is 1.1 connections to targets for each opened flow on any day.
#[test]
fn a_cut_costs_few_probes_and_its_end_none() {
    let mut world = world(12);
    world.set_out("a", true);
    world.run(500);
    let (probes, opened) = (world.probes, world.opened);
    world.set_cut("a", true);
    world.run(5_000);
    let (probed, flows) = (world.probes - probes, world.opened - opened);
    assert!(probed * 10 <= flows, "{probed} probes, {flows} flows");
    world.set_cut("a", false);
    let (probes, opened) = (world.probes, world.opened);
    world.run(1_000);
    let (probed, flows) = (world.probes - probes, world.opened - opened);
    assert!(probed * 10 <= flows, "{probed} probes, {flows} flows");
}

/// Guards against resets of open flows because of the state of their zone. The zone has no
/// balancer, and all its targets for new flows have ended, so it looks cut off; flows of its
/// draining target must continue.
#[test]
fn a_cut_resets_no_flow_of_a_live_target() {
    let mut world = world(6);
    world.set_out("a", true);
    world.set_out("c", true);
    world
        .dead
        .extend((0..6).map(|place| address(40 + place, 7_000)));
    world.failed.extend([10, 11, 12]);
    world.drain(13);
    world.unconnectable.insert(13);
    world.run(1_500);
    world.request_through_all(13);
    assert_eq!(world.resets_of_live, 0);
}

/// Guards against a zone that is avoided intermittently because its balancers and half of its
/// targets have ended while the other targets answer.
#[test]
fn a_zone_with_half_of_its_targets_and_no_balancer_stays_open() {
    let mut world = world(6);
    world
        .dead
        .extend((0..6).map(|place| address(40 + place, 7_000)));
    world.failed.extend([10, 11]);
    world.set_out("a", true);
    world.set_out("c", true);
    let mut times_cut = 0;
    for _ in 0..40 {
        world.run(50);
        times_cut += usize::from(
            world.balancers_with_cut("a", "b") + world.balancers_with_cut("c", "b") > 0,
        );
    }
    assert!(times_cut <= 4, "{times_cut} of 40 times");
}

/// Guards against contradicting reports that circulate in a zone when some of its balancers reach
/// another zone and others do not. Each balancer that detects the cut keeps it for itself.
#[test]
fn balancers_with_different_reachability_do_not_flap() {
    let mut world = world(12);
    world.set_out("a", true);
    world.run(500);
    for place in 0..4 {
        world.unreachable_zones.insert((address(place, 7_000), "b"));
    }
    world.run(1_000);
    let path_reports_before = world.path_reports;
    let refused = world.refused;
    world.run(4_000);
    assert!(
        world.path_reports - path_reports_before <= 100,
        "{}",
        world.path_reports - path_reports_before
    );
    assert_eq!(world.balancers_with_cut("a", "b"), 4);
    assert_eq!(world.refused, refused);
    world.unreachable_zones.clear();
    world.run(DETECTION_MS);
    assert_eq!(world.balancers_with_cut("a", "b"), 0);
}

/// Guards against a number of reports that grows with the square of the zone's size.
#[test]
fn each_balancer_reports_a_change_to_a_few_peers() {
    let mut world = world(12);
    world.set_out("a", true);
    world.run(500);
    world.set_cut("a", true);
    world.run(1_000);
    // Each of 12 balancers changes the state of two paths and reports it to four peers; some
    // answers are added.
    assert!(
        world.path_reports <= 12 * 2 * 4 + 24,
        "{}",
        world.path_reports
    );
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Cut,
    Heal,
    Out,
    Back,
}

/// Guards against states of paths that do not follow the links, and against balancers that withdraw
/// or stay in rotation wrongly, for every order of cut, heal, out of service and back, and for a
/// lost message.
#[test]
fn every_order_of_cut_and_out_of_service_ends_in_the_right_state() {
    let steps = [Step::Cut, Step::Heal, Step::Out, Step::Back];
    for order in orders(&steps) {
        for lost in [None, Some(1), Some(2), Some(3), Some(4), Some(6)] {
            let mut world = world(2);
            world.lost_report = lost;
            let (mut cut, mut out) = (false, false);
            for step in &order {
                match step {
                    Step::Cut => cut = true,
                    Step::Heal => cut = false,
                    Step::Out => out = true,
                    Step::Back => out = false,
                }
                world.set_cut("a", cut);
                world.set_out("a", out);
                world.run(1_500);
                let ready = if cut && out { 0 } else { 2 };
                assert_eq!(world.ready("a"), ready, "{order:?} {step:?} {lost:?}");
                assert_eq!((world.ready("b"), world.ready("c")), (2, 2), "{order:?}");
                if !cut {
                    let balancers_with_cut =
                        world.balancers_with_cut("a", "b") + world.balancers_with_cut("b", "a");
                    assert_eq!(balancers_with_cut, 0, "{order:?} {step:?} {lost:?}");
                }
                if cut && out {
                    let balancers_with_cut =
                        world.balancers_with_cut("a", "b") + world.balancers_with_cut("a", "c");
                    assert_eq!(balancers_with_cut, 4, "{order:?} {step:?} {lost:?}");
                }
            }
        }
    }
}

fn orders(steps: &[Step]) -> Vec<Vec<Step>> {
    let Some((first, rest)) = steps.split_first() else {
        return vec![Vec::new()];
    };
    let shorter = orders(rest);
    let longer = shorter.iter().flat_map(|order| {
        (0..=order.len()).map(|place| {
            let mut order = order.clone();
            order.insert(place, *first);
            order
        })
    });
    longer.collect()
}
