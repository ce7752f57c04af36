//! Comparison with a baseline in which each balancer has an equal share of each limit, no memory of
//! failures, and three attempts without a retry budget.

mod request_world;

use request_world::{
    Event,
    Mode,
    World,
    register, //
};

const SEED: u64 = 20_261_204;

/// Runs a scenario with the policy and with the baseline, for fleets of 6 and 9 balancers.
fn compare(title: &str, scenario: impl Fn(&mut World) -> Vec<usize>) -> [[Vec<usize>; 2]; 2] {
    let run = |count, baseline| scenario(&mut World::new(count, SEED, baseline));
    let table = [6, 9].map(|count| [run(count, false), run(count, true)]);
    println!("| scenario | balancers | mulberrynotch | baseline |");
    for (balancers, [ours, baseline]) in [6, 9].into_iter().zip(&table) {
        println!("| {title} | {balancers} | {ours:?} | {baseline:?} |");
    }
    table
}

/// Sets the mode of all targets.
fn set_all(world: &mut World, time_ms: u64, mode: Mode, cold: bool) {
    let ids: Vec<_> = world.targets.keys().copied().collect();
    ids.iter()
        .for_each(|id| world.at(time_ms, Event::Mode(*id, mode, cold)));
}

/// Guards against more concurrent requests to a starting target than it sustains.
#[test]
fn peak_concurrency_at_a_cold_target() {
    let title = "14 targets start: peak at a cold target, refusals by cold targets";
    let table = compare(title, |world| {
        world.arrivals(0, 6_000, [100, 100, 100], true);
        world.run(7_000);
        let peak = world.targets.values().map(|target| target.peak_cold).max();
        vec![
            peak.unwrap() as usize,
            world.sum(|target| target.refused_cold),
        ]
    });
    for [ours, baseline] in table {
        assert_eq!(ours, [1, 0]);
        assert!(baseline[0] > 1);
    }
}

/// Guards against full load on targets that become cold without notice: after the first refused
/// request, a target gets one request at a time.
#[test]
fn refusals_by_targets_that_turn_cold() {
    let table = compare("14 targets turn cold: refusals by cold targets", |world| {
        world.arrivals(0, 12_000, [150, 150, 150], true);
        set_all(world, 5_000, Mode::Up, true);
        world.run(4_999);
        let before = world.sum(|target| target.refused_cold);
        world.run(13_000);
        vec![world.sum(|target| target.refused_cold) - before]
    });
    for [ours, baseline] in table {
        assert!(ours[0] <= 14, "{ours:?}");
        assert!(ours[0] * 5 < baseline[0]);
    }
}

/// Guards against a low class that displaces a high one, and against a low class that gets none of
/// the remaining capacity.
#[test]
fn answered_share_by_class_under_overload() {
    let title = "1.5 times the capacity: answered % of high, normal, low";
    let table = compare(title, |world| {
        world.arrivals(0, 4_000, [60, 60, 60], true);
        world.arrivals(4_000, 10_000, [300, 300, 450], true);
        world.run(13_000);
        world.shares(4_000, 10_000)
    });
    for [ours, baseline] in table {
        assert!(ours[0] >= 99 && ours[2] > 0, "{ours:?}");
        assert!(baseline[0] < ours[0]);
    }
}

/// Guards against failed requests while a zone with a third of the targets goes out of service and
/// returns with cold targets.
#[test]
fn answered_share_while_a_zone_leaves_and_returns() {
    let title = "a zone is out and returns cold: answered % of high, normal, low";
    let table = compare(title, |world| {
        let live = world.views[0].members.clone();
        world.arrivals(0, 3_000, [60, 60, 60], true);
        world.arrivals(3_000, 14_000, [150, 150, 150], true);
        let mut out = register(2);
        out.zones[1].out = true;
        world.publish(5_000, &live, out);
        let view = world.views[0].clone();
        let ids = world.targets.keys().copied();
        let left = ids.filter(|id| &*view.target(*id).unwrap().zone == "z1");
        for id in left.collect::<Vec<_>>() {
            world.at(8_900, Event::Mode(id, Mode::Up, true));
        }
        world.publish(9_000, &live, register(3));
        world.run(17_000);
        world.shares(5_000, 14_000)
    });
    for [ours, baseline] in table {
        assert!(ours[0] >= 99, "{ours:?}");
        assert!(baseline[0] <= ours[0]);
    }
}

/// Guards against a retry storm while no target responds.
#[test]
fn attempts_per_request_while_all_targets_are_out() {
    for mode in [Mode::Down, Mode::Silent] {
        let title = format!("all targets {mode:?}: attempts at targets per 100 requests");
        let table = compare(&title, |world| {
            world.arrivals(0, 8_000, [100, 100, 100], true);
            set_all(world, 3_000, mode, false);
            world.run(2_999);
            let before = world.sum(|target| target.arrivals);
            world.run(11_000);
            vec![(world.sum(|target| target.arrivals) - before) * 100 / 1_500]
        });
        for [ours, baseline] in table {
            assert!(ours[0] <= 110, "{ours:?}");
            assert!(ours[0] < baseline[0], "{ours:?} {baseline:?}");
        }
    }
}
