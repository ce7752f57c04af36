//! Control traffic and convergence of a fleet during joins, losses of racks and zones, partitions
//! of regions, and register changes.

use std::time::Duration;

use mulberrynotch_benches::input;
use mulberrynotch_wire::control;

use crate::fixture::{
    Fleet,
    register, //
};

const ZONES: usize = 11;
const SECOND: Duration = Duration::from_secs(1);

/// Sizes of the fleet; the last one is the design scale.
const SIZES: [usize; 3] = [99, 288, 860];

/// Fleet sizes, and the numbers of processes of one zone that are lost at once.
const LOSSES: [(usize, usize); 10] = [
    (33, 3),
    (99, 1),
    (99, 3),
    (99, 9),
    (288, 3),
    (288, 6),
    (288, 26),
    (860, 3),
    (860, 20),
    (860, 78),
];

fn zone_number(member: &control::Member) -> usize {
    let number = member.zone.trim_start_matches("zone-");
    number.parse().unwrap_or(0)
}

/// Returns true for members of different regions: three regions of four, four and three zones.
fn regions_apart(a: &control::Member, b: &control::Member) -> bool {
    zone_number(a) / 4 != zone_number(b) / 4
}

/// Runs the fleet until `done` or `limit`. Returns the elapsed time, the most bytes that one
/// process sent in a second, the highest mean over the processes in a second, and the platform
/// calls.
fn measure_until(
    fleet: &mut Fleet,
    limit: Duration,
    done: impl Fn(&Fleet) -> bool,
) -> (Duration, u64, f64, u64) {
    let (mut highest, mut mean): (u64, f64) = (0, 0.0);
    let (start, calls) = (fleet.now, fleet.calls);
    while fleet.now < start + limit {
        let before: Vec<u64> = fleet.nodes.iter().map(|node| node.sent.0).collect();
        let ran = fleet.run_until(SECOND, |fleet| done(fleet));
        let sent = fleet.nodes.iter().zip(&before);
        let sent: Vec<u64> = sent.map(|(node, before)| node.sent.0 - before).collect();
        if ran == SECOND {
            highest = highest.max(sent.iter().max().copied().unwrap_or(0));
            let sum: u64 = sent.iter().sum();
            mean = mean.max(sum as f64 / sent.len() as f64);
        }
        if ran < SECOND || done(fleet) {
            break;
        }
    }
    (fleet.now - start, highest, mean, fleet.calls - calls)
}

fn print_row(
    name: &str,
    size: usize,
    (time, most, mean, calls): (Duration, u64, f64, u64),
    done: bool,
) {
    let end = if done { "" } else { ", not reached" };
    println!(
        "| {size} | {name} | {:.1}{end} | {mean:.0} | {most} | {calls} |",
        time.as_secs_f64()
    );
}

pub(crate) fn print() {
    println!(
        "| processes | event | s until all agree | most mean sent B/s in a second | most sent by one in a second | platform calls |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for size in SIZES {
        print_events(size);
    }
}

/// Prints the least and most members that a process sees, and the number of suspicions.
fn print_members_seen(fleet: &Fleet, when: &str) {
    let sizes: Vec<usize> = fleet
        .live()
        .map(|(_, machine)| machine.view().members.len())
        .collect();
    let (least, most) = (sizes.iter().min(), sizes.iter().max());
    println!(
        "{when}: {} processes see {} to {} members, {} suspicions so far",
        sizes.len(),
        least.unwrap_or(&0),
        most.unwrap_or(&0),
        suspicions(fleet)
    );
}

fn print_events(size: usize) {
    let seed = 7_000 + u64::try_from(size).unwrap();
    let limit = Duration::from_secs(60);
    let mut fleet = Fleet::with_complete_tables(size, ZONES, seed);
    let idle = measure_until(&mut fleet, Duration::from_secs(20), |_| false);
    print_row("idle for 20 s", size, idle, true);
    fleet.add(size, ZONES);
    let all = size + 1;
    let cost = measure_until(&mut fleet, limit, |fleet| fleet.agrees(all));
    print_row("one process joins", size, cost, fleet.agrees(all));
    print_members_seen(&fleet, "after the join");
    // A rack holds one process in 43, all of the same zone.
    let rack = (size / 43).max(2);
    for index in (0..rack).map(|item| 5 + item * ZONES) {
        fleet.kill(index);
    }
    let live = all - rack;
    let cost = measure_until(&mut fleet, limit, |fleet| fleet.agrees(live));
    let name = format!("rack of {rack} lost");
    print_row(&name, size, cost, fleet.agrees(live));
    print_members_seen(&fleet, "after the rack");
    let mut live = live;
    for index in (3..all).step_by(ZONES) {
        live -= usize::from(fleet.nodes[index].machine.is_some());
        fleet.kill(index);
    }
    let cost = measure_until(&mut fleet, limit, |fleet| fleet.agrees(live));
    let name = format!("zone lost, {live} are left");
    print_row(&name, size, cost, fleet.agrees(live));
    print_members_seen(&fleet, "after the zone");
    fleet.cut = regions_apart;
    let cost = measure_until(&mut fleet, Duration::from_secs(300), |_| false);
    print_row("regions apart for 300 s", size, cost, true);
    fleet.publish(register(2, 1));
    let cost = measure_until(&mut fleet, limit, |fleet| fleet.in_effect(2));
    print_row("change while apart", size, cost, fleet.in_effect(2));
    fleet.cut = |_, _| false;
    let limit = Duration::from_secs(300);
    let cost = measure_until(&mut fleet, limit, |fleet| fleet.agrees(live));
    print_row("regions joined again", size, cost, fleet.agrees(live));
}

/// Returns the number of suspicions that the live processes have raised.
fn suspicions(fleet: &Fleet) -> u64 {
    let machines = fleet.live();
    let counts = machines.map(|(_, machine)| machine.status(fleet.now).counters.suspicions);
    counts.sum()
}

/// Prints the convergence after the loss of several processes of one zone, for several seeds.
pub(crate) fn print_loss() {
    println!(
        "| processes | lost | seed | s until all agree | members seen, least and most | suspicions | most mean sent B/s in a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (size, lost) in LOSSES {
        for seed in 0..2 {
            print_loss_of(size, lost, seed);
        }
    }
}

fn print_loss_of(size: usize, lost: usize, seed: u64) {
    let mut fleet = Fleet::with_complete_tables(size, ZONES, seed);
    let before = suspicions(&fleet);
    for index in (0..lost).map(|item| 3 + item * ZONES) {
        fleet.kill(index);
    }
    let live = size - lost;
    let limit = Duration::from_secs(60);
    let (time, _, mean, _) = measure_until(&mut fleet, limit, |fleet| fleet.agrees(live));
    let seen: Vec<usize> = fleet
        .live()
        .map(|(_, machine)| machine.view().members.len())
        .collect();
    let (least, most) = (seen.iter().min(), seen.iter().max());
    let end = if fleet.agrees(live) {
        ""
    } else {
        ", not reached"
    };
    println!(
        "| {size} | {lost} | {seed} | {:.1}{end} | {} to {} | {} | {mean:.0} |",
        time.as_secs_f64(),
        least.unwrap_or(&0),
        most.unwrap_or(&0),
        suspicions(&fleet) - before,
    );
}

/// Prints how many members a joining process sees over time, and how many others see all members.
pub(crate) fn print_join() {
    println!(
        "| processes | s after the start | members that the joiner sees | others that see all |"
    );
    println!("| --- | --- | --- | --- |");
    for size in SIZES {
        let mut fleet = Fleet::with_complete_tables(size, ZONES, 9_000);
        fleet.add(size, ZONES);
        let start = fleet.now;
        for seconds in [2, 5, 10, 20, 60, 120] {
            let at = start + Duration::from_secs(seconds);
            fleet.run(at - fleet.now);
            let sees = |index: usize| {
                let machine = fleet.nodes[index].machine.as_ref();
                machine.map_or(0, |machine| machine.view().members.len())
            };
            let others = (0..size).filter(|&index| sees(index) == size + 1).count();
            println!("| {size} | {seconds} | {} | {others} |", sees(size));
        }
    }
}

/// Prints the propagation of register changes, with services and targets in the proportions of the
/// design scale.
pub(crate) fn print_register() {
    println!(
        "| processes | targets | event | s until in effect | most mean sent B/s in a second | most sent by one in a second | platform calls |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (size, targets, services) in [(99, 800, 100), (288, 2_304, 294), (860, 6_900, 880)] {
        print_changes(size, targets, services);
    }
}

fn print_changes(size: usize, targets: usize, services: usize) {
    let seed = 8_000 + u64::try_from(size).unwrap();
    let mut fleet = Fleet::with_complete_tables(size, ZONES, seed);
    let mut register = input::register(&input::even_sizes(targets, services), ZONES);
    let encoded = serde_json::to_string(&register).expect("the model encodes");
    let cells = format!("{targets} | JSON of {} bytes, fetched whole", encoded.len());
    let limit = Duration::from_secs(60);
    let mut revision = 2;
    register.revision = revision;
    fleet.publish(register.clone());
    let cost = measure_until(&mut fleet, limit, |fleet| fleet.in_effect(2));
    print_row(&cells, size, cost, fleet.in_effect(2));
    fleet.run(Duration::from_secs(10));
    for round in 0..3 {
        revision += 1;
        register.revision = revision;
        register.services[round * 7].targets[1].leaving = true;
        fleet.publish(register.clone());
        let cost = measure_until(&mut fleet, limit, |fleet| fleet.in_effect(revision));
        let cells = format!("{targets} | one target leaves");
        print_row(&cells, size, cost, fleet.in_effect(revision));
        fleet.run(Duration::from_secs(20));
    }
    revision += 1;
    register.revision = revision;
    register.zones[2].out = true;
    fleet.publish(register);
    let cost = measure_until(&mut fleet, limit, |fleet| fleet.in_effect(revision));
    let cells = format!("{targets} | a zone goes out of service");
    print_row(&cells, size, cost, fleet.in_effect(revision));
}
