//! Detection of dead members, pauses, leaves and repair of the member table.

mod fixture;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use fixture::Fleet;
use mulberrynotch_wire::control;

/// Guards against a dead balancer that stays the owner of its targets.
#[test]
fn dead_member_is_detected_within_about_two_seconds() {
    for (count, seeds) in [(6, 0..20), (9, 20..40), (36, 40..60)] {
        let mut times = Vec::new();
        for seed in seeds {
            let mut fleet = Fleet::converged(count, 3, seed);
            fleet.kill(count - 1);
            let time = fleet.run_until(Duration::from_secs(10), |fleet| fleet.agree(count - 1));
            times.push(time);
        }
        times.sort_unstable();
        let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{count}: median {median:?}, max {most:?}");
        assert!(median <= Duration::from_millis(2_200));
        assert!(most <= Duration::from_secs(3));
    }
}

/// Guards against removing a member because of a short pause or lost heartbeats.
#[test]
fn short_pause_removes_nobody() {
    for seed in 100..120 {
        let mut fleet = Fleet::converged(9, 3, seed);
        fleet.loss = 5;
        let index = usize::try_from(seed % 9).unwrap();
        fleet.pause(index, Duration::from_millis(850));
        let lost = fleet.run_until(Duration::from_secs(8), |fleet| !fleet.agree(9));
        assert_eq!(lost, Duration::from_secs(8), "a member was removed");
    }
}

/// Guards against a resumed process that declares all others dead because it handles its timers
/// before the answers that are waiting in its socket.
#[test]
fn long_pause_removes_only_the_paused_member_and_it_returns() {
    for seed in 200..210 {
        let mut fleet = Fleet::converged(9, 3, seed);
        fleet.pause(4, Duration::from_secs(6));
        let time = fleet.run_until(Duration::from_secs(5), |fleet| fleet.agree(8));
        assert!(time < Duration::from_secs(3), "paused member still live");
        fleet.run_until(Duration::from_secs(5), |fleet| {
            fleet.now >= fleet.nodes[4].paused_until
        });
        let lost = fleet.run_until(Duration::from_millis(1), |_| false);
        let others = fleet.nodes[4]
            .machine
            .as_ref()
            .unwrap()
            .view()
            .members
            .len();
        assert!(others >= 9, "the paused process dropped a peer, {lost:?}");
        let time = fleet.run_until(Duration::from_secs(10), |fleet| fleet.agree(9));
        assert!(time <= Duration::from_secs(4), "back after {time:?}");
    }
}

/// Guards against treating a leave like a crash.
#[test]
fn leave_is_known_at_once_and_ends_in_a_tombstone() {
    let mut fleet = Fleet::converged(9, 3, 300);
    let now = fleet.now;
    fleet.nodes[2].machine.as_mut().unwrap().leave(now);
    let name = fleet.nodes[2].me.name.clone();
    let leaving = |fleet: &Fleet| {
        let state =
            |view: &mulberrynotch_policy::view::View| view.member(&name).map(|member| member.state);
        fleet
            .live()
            .all(|(_, machine)| state(machine.view()) == Some(control::State::Leaving))
    };
    let time = fleet.run_until(Duration::from_secs(5), leaving);
    assert!(time <= Duration::from_millis(500), "known after {time:?}");
    let now = fleet.now;
    fleet.nodes[2].machine.as_mut().unwrap().finish(now);
    fleet.run(Duration::from_millis(200));
    fleet.kill(2);
    fleet.run(Duration::from_millis(300));
    assert!(fleet.agree(8));
    // The platform's list still contains the member, which must not bring it back.
    let back = fleet.run_until(Duration::from_secs(90), |fleet| !fleet.agree(8));
    assert_eq!(back, Duration::from_secs(90));
}

/// Guards against trusting an outdated list of VMs: entries of VMs that do not exist must not
/// become members, and members missing from the list must stay.
#[test]
fn wrong_list_of_vms_changes_no_view() {
    let mut fleet = Fleet::converged(6, 3, 400);
    let mut ghost = fleet.nodes[0].me.clone();
    ghost.name = "vm-ghost".into();
    ghost.peer = "127.1.9.9:7000".parse().unwrap();
    fleet.listed = vec![ghost, fleet.nodes[1].me.clone()];
    let changed = fleet.run_until(Duration::from_secs(200), |fleet| !fleet.agree(6));
    assert_eq!(changed, Duration::from_secs(200));
}

/// Guards against parts of a fleet that stay separated after a partition, and against a process
/// that restarts under its old name and stays dead to the others.
#[test]
fn healed_partition_and_restart_converge() {
    let mut fleet = Fleet::converged(9, 3, 500);
    fleet.cut = |a, b| (&*a.zone == "zone-0") != (&*b.zone == "zone-0");
    fleet.run(Duration::from_secs(30));
    let sizes: BTreeSet<usize> = fleet.live().map(|(_, m)| m.view().members.len()).collect();
    assert_eq!(sizes, BTreeSet::from([3, 6]));
    fleet.cut = |_, _| false;
    let time = fleet.run_until(Duration::from_secs(30), |fleet| fleet.agree(9));
    println!("healed after {time:?}");
    assert!(time <= Duration::from_secs(10));
    fleet.kill(5);
    fleet.run(Duration::from_secs(5));
    assert!(fleet.agree(8));
    fleet.start(5);
    let time = fleet.run_until(Duration::from_secs(30), |fleet| fleet.agree(9));
    println!("restarted after {time:?}");
    assert!(time <= Duration::from_secs(8));
}

/// Guards against rebuilding views, and with them the assignments of all targets, without a change.
#[test]
fn idle_machines_build_no_views() {
    let mut fleet = Fleet::converged(9, 3, 600);
    fleet.loss = 5;
    let views: Vec<_> = fleet.live().map(|(_, m)| Arc::clone(m.view())).collect();
    fleet.run(Duration::from_secs(60));
    for ((_, machine), before) in fleet.live().zip(views) {
        assert!(Arc::ptr_eq(machine.view(), &before));
    }
}

/// Guards against a suspicion storm after the loss of a region: heartbeats that wait behind other
/// control traffic make live members suspects, which causes more traffic, and the fleet never
/// recovers.
#[test]
fn healed_region_recovers_without_suspicions() {
    let region = |member: &control::Member| ["zone-0", "zone-1"].contains(&&*member.zone);
    let suspicions = |fleet: &Fleet| -> u64 {
        let machines = fleet.live();
        machines
            .map(|(_, machine)| machine.status(fleet.now).counters.suspicions)
            .sum()
    };
    for seed in 700..703 {
        let mut fleet = Fleet::with_full_tables(66, 11, seed);
        fleet.cut = |a, b| {
            let inside = ["zone-0", "zone-1"];
            inside.contains(&&*a.zone) != inside.contains(&&*b.zone)
        };
        fleet.platform_up = |member| !["zone-0", "zone-1"].contains(&&*member.zone);
        fleet.run(Duration::from_secs(60));
        let sizes = |fleet: &Fleet| -> BTreeSet<(bool, usize)> {
            let size =
                |(node, machine): (&fixture::Node, &mulberrynotch_policy::control::Machine)| {
                    (region(&node.me), machine.view().members.len())
                };
            fleet.live().map(size).collect()
        };
        assert_eq!(sizes(&fleet), BTreeSet::from([(true, 12), (false, 54)]));
        let before = suspicions(&fleet);
        fleet.cut = |_, _| false;
        fleet.platform_up = |_| true;
        let time = fleet.run_until(Duration::from_secs(60), |fleet| fleet.agree(66));
        fleet.run(Duration::from_secs(10));
        let found = suspicions(&fleet) - before;
        println!("healed after {time:?}, {found} suspicions");
        assert!(time <= Duration::from_secs(30));
        assert!(found <= 6, "{found} suspicions of live members");
        assert!(
            fleet
                .live()
                .all(|(_, m)| m.view().unreachable_zones.is_empty())
        );
    }
}

/// Guards against removing live members when a tenth of the control messages is lost, which would
/// move their targets to other owners.
#[test]
fn loss_of_messages_removes_nobody() {
    for (count, seed) in [(9, 800), (9, 801), (36, 802), (36, 803)] {
        let mut fleet = Fleet::converged(count, 3, seed);
        fleet.loss = 10;
        let time = Duration::from_secs(120);
        assert_eq!(fleet.run_until(time, |fleet| !fleet.agree(count)), time);
    }
}
