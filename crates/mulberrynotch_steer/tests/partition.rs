//! Zones that lose each other: what the balancers of each believe, where new flows go, and who
//! steps aside.

mod fixture;

use fixture::{
    address,
    zones::World, //
};

/// Time within which a cut is known in a zone, and its end, in milliseconds.
const KNOWN: u64 = 300;

/// Time in which heartbeats and flows make the members known, in milliseconds.
const SETTLED: u64 = 3_000;

fn world(balancers: u8) -> World {
    let mut world = World::new(balancers);
    world.run(SETTLED);
    world
}

/// Guards against flows that are sent into a cut for seconds, and a return that takes as long.
#[test]
fn a_cut_and_its_end_are_known_in_every_zone_within_300_ms() {
    let mut world = world(3);
    // Clients of zone `a` are sent to the others, so flows cross the cut.
    world.set_out("a", true);
    world.run(500);
    world.set_cut("a", true);
    world.run(KNOWN);
    assert_eq!(
        (world.believers("a", "b"), world.believers("a", "c")),
        (3, 3)
    );
    assert_eq!(
        (world.believers("b", "c"), world.believers("c", "b")),
        (0, 0)
    );
    world.run(3_000);
    world.set_cut("a", false);
    world.run(KNOWN);
    assert_eq!(
        (world.believers("a", "b"), world.believers("a", "c")),
        (0, 0)
    );
}

/// Guards against clients that are sent for seconds to balancers without a target.
#[test]
fn a_zone_that_is_out_of_service_and_cut_off_steps_aside_whole() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(1_000);
    assert_eq!(world.ready("a"), 3, "others serve its clients");
    world.set_cut("a", true);
    world.run(KNOWN + 100);
    assert_eq!(
        (world.ready("a"), world.ready("b"), world.ready("c")),
        (0, 3, 3)
    );
    world.run(3_000);
    world.set_cut("a", false);
    world.run(KNOWN + 500);
    assert_eq!(world.ready("a"), 3);
}

/// Guards against open flows that are lost because their zone steps aside without need: with targets
/// of its own it stays.
#[test]
fn a_zone_that_is_only_cut_off_goes_on_serving() {
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
fn not_all_zones_step_aside_while_one_can_serve() {
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

/// Guards against open flows that are lost because every balancer steps aside, as when the entries of
/// all targets lapse: without a target for new flows anywhere, nobody can take over.
#[test]
fn balancers_stay_while_no_target_takes_new_flows_anywhere() {
    let mut world = world(2);
    for zone in ["a", "b", "c"] {
        world.set_out(zone, true);
    }
    world.run(1_000);
    let ready = (world.ready("a"), world.ready("b"), world.ready("c"));
    assert_eq!(ready, (2, 2, 2));
}

/// Guards against flows that wait in silence, and against ones that are refused while the routers
/// are about to send their next packet to a zone that serves them.
#[test]
fn new_flows_are_refused_once_the_routers_must_have_noticed() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(500);
    world.set_cut("a", true);
    world.run(1_200);
    assert_eq!(world.refused, 0);
    world.run(2_000);
    assert!(world.refused > 0);
}

/// Guards against the word of a zone that is taken for one's own: a third zone that reaches both
/// does not believe in the cut between two others.
#[test]
fn two_zones_that_lose_each_other_are_both_served_by_the_third() {
    let mut world = world(3);
    world.broken.extend([("a", "b"), ("b", "a")]);
    world.run(2_500);
    assert_eq!(
        (world.believers("c", "a"), world.believers("c", "b")),
        (0, 0)
    );
    assert_eq!(
        (world.believers("a", "c"), world.believers("b", "c")),
        (0, 0)
    );
    assert_eq!(
        (world.ready("a"), world.ready("b"), world.ready("c")),
        (3, 3, 3)
    );
}

/// Guards against a link that carries packets one way only and is taken for whole, since the other
/// zone is still heard.
#[test]
fn a_link_that_carries_nothing_towards_a_zone_is_cut_for_those_before_it() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(500);
    world.broken.insert(("a", "b"));
    world.run(KNOWN + 200);
    assert_eq!(world.believers("a", "b"), 3);
    assert_eq!(world.ready("a"), 3, "zone c is reached");
}

/// Guards against a zone that is avoided although its targets get every packet and answer the
/// clients directly: only answers to balancers are lost.
#[test]
fn a_link_that_carries_nothing_back_is_open() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(500);
    world.broken.insert(("b", "a"));
    let refused = world.refused;
    world.run(3_000);
    assert_eq!(world.believers("a", "b"), 0);
    assert_eq!(world.refused, refused);
}

/// Guards against links that lose a third of the packets and are taken for cut: what passes serves.
#[test]
fn a_lossy_link_is_open() {
    let mut world = world(3);
    world.set_out("a", true);
    world.run(500);
    world.loss = 30;
    let mut believed = 0;
    for _ in 0..50 {
        world.run(100);
        believed += usize::from(world.believers("a", "b") + world.believers("a", "c") > 0);
    }
    assert!(believed <= 5, "{believed} of 50 times");
    assert_eq!(world.ready("a"), 3);
}

/// Guards against a zone that is avoided because its balancers have ended, while its targets live.
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
        (world.believers("a", "b"), world.believers("c", "b")),
        (0, 0)
    );
    assert!(world.opened > opened + 350, "{}", world.opened - opened);
}

/// Guards against a balancer with a bad link that speaks for its zone, and one that stays in
/// rotation although it reaches nothing.
#[test]
fn a_balancer_whose_own_link_fails_steps_aside_alone() {
    let mut world = world(3);
    world.unlinked.insert(address(0, 7_000));
    world.run(2_000);
    assert_eq!(
        (world.believers("a", "b"), world.believers("a", "c")),
        (0, 0)
    );
    assert_eq!(world.ready("a"), 2);
    world.unlinked.clear();
    // Without packets of clients, its own probes have to find the end.
    world.flows = false;
    world.run(1_000);
    assert_eq!(world.ready("a"), 3);
}

/// Guards against probes of every balancer at every target behind a cut, and against a storm of
/// them when it ends: on any day at most 1.1 connections to targets for each flow that opens.
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

/// Guards against resets of open flows on a belief about their zone: it has no balancer, and all its
/// targets for new flows have ended, so it looks cut off; the flows of one that drains go on.
#[test]
fn a_cut_resets_no_flow_of_a_target_that_lives() {
    let mut world = world(6);
    world.set_out("a", true);
    world.set_out("c", true);
    world
        .dead
        .extend((0..6).map(|place| address(40 + place, 7_000)));
    world.dark.extend([10, 11, 12]);
    world.drain(13);
    world.deaf.insert(13);
    world.run(1_500);
    world.request_through_all(13);
    assert_eq!(world.resets_of_living, 0);
}

/// Guards against a zone that is avoided by turns, because its balancers are gone and half of its
/// targets too, while the others answer.
#[test]
fn a_zone_with_half_of_its_targets_and_no_balancer_stays_open() {
    let mut world = world(6);
    world
        .dead
        .extend((0..6).map(|place| address(40 + place, 7_000)));
    world.dark.extend([10, 11]);
    world.set_out("a", true);
    world.set_out("c", true);
    let mut believed = 0;
    for _ in 0..40 {
        world.run(50);
        believed += usize::from(world.believers("a", "b") + world.believers("c", "b") > 0);
    }
    assert!(believed <= 4, "{believed} of 40 times");
}

/// Guards against words that chase each other through a zone when some of its balancers reach
/// another zone and others do not: each finder believes for itself.
#[test]
fn balancers_that_see_different_things_do_not_flap() {
    let mut world = world(12);
    world.set_out("a", true);
    world.run(500);
    for place in 0..4 {
        world.unreached.insert((address(place, 7_000), "b"));
    }
    world.run(1_000);
    let told = world.told;
    let refused = world.refused;
    world.run(4_000);
    assert!(world.told - told <= 100, "{}", world.told - told);
    assert_eq!(world.believers("a", "b"), 4);
    assert_eq!(world.refused, refused);
    world.unreached.clear();
    world.run(KNOWN);
    assert_eq!(world.believers("a", "b"), 0);
}

/// Guards against words that grow with the square of the zone.
#[test]
fn each_balancer_tells_a_few_peers_of_a_change() {
    let mut world = world(12);
    world.set_out("a", true);
    world.run(500);
    world.set_cut("a", true);
    world.run(1_000);
    // Each of 12 balancers changes its mind on two paths and tells four peers; some answers more.
    assert!(world.told <= 12 * 2 * 4 + 24, "{}", world.told);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Cut,
    Heal,
    Out,
    Back,
}

/// Guards against beliefs that do not follow the links, and balancers that stay away or stay in
/// rotation wrongly, whatever the order of cut, heal, out of service and back, and whichever message
/// is lost.
#[test]
fn every_order_of_cut_and_out_of_service_ends_in_the_truth() {
    let steps = [Step::Cut, Step::Heal, Step::Out, Step::Back];
    for order in orders(&steps) {
        for lost in [None, Some(1), Some(2), Some(3), Some(4), Some(6)] {
            let mut world = world(2);
            world.lost = lost;
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
                    let believers = world.believers("a", "b") + world.believers("b", "a");
                    assert_eq!(believers, 0, "{order:?} {step:?} {lost:?}");
                }
                if cut && out {
                    let believers = world.believers("a", "b") + world.believers("a", "c");
                    assert_eq!(believers, 4, "{order:?} {step:?} {lost:?}");
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
