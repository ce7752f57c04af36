//! Dissemination and acceptance of registers.

mod fixture;

use std::{
    sync::Arc,
    time::Duration, //
};

use fixture::{
    Fleet,
    register, //
};
use mulberrynotch_policy::control::Response;
use mulberrynotch_register::model;

const IN_EFFECT_WITHIN: Duration = Duration::from_secs(4);

/// Returns a register whose delta is too large for a datagram.
fn large_register(revision: u64) -> model::Register {
    let mut register = register(revision, 0);
    let service = register.services[0].clone();
    register.services = (0..200)
        .map(|index| model::Service {
            name: Arc::from(format!("service-{index}")),
            request_deadline_ms: u32::try_from(revision).unwrap(),
            ..service.clone()
        })
        .collect();
    register
}

/// Guards against a register that takes effect late on some process when a reader pauses, 10 % of
/// the control messages are lost, and some are duplicated and reordered.
#[test]
fn configuration_is_in_effect_within_four_seconds() {
    for (count, seeds) in [(9, 0..10), (36, 10..14)] {
        for seed in seeds {
            let mut fleet = Fleet::converged(count, 3, seed);
            (fleet.loss, fleet.duplicate, fleet.delay_ms) = (10, 10, (1, 60));
            let reader = fleet.reader_of("zone-1");
            fleet.pause(reader, Duration::from_secs(8));
            fleet.publish(register(2, 1));
            let time = fleet.run_until(Duration::from_secs(8), |fleet| fleet.in_effect(2));
            println!("{count}: in effect after {time:?}");
            assert!(time <= IN_EFFECT_WITHIN);
            fleet.publish(large_register(3));
            let time = fleet.run_until(Duration::from_secs(8), |fleet| fleet.in_effect(3));
            println!("{count}: large change in effect after {time:?}");
            assert!(time <= IN_EFFECT_WITHIN);
        }
    }
}

/// Guards against a change that waits for heartbeats: it is pushed, so that most processes hold it
/// after two ticks.
#[test]
fn configuration_is_pushed() {
    for seed in 30..34 {
        let mut fleet = Fleet::converged(72, 3, seed);
        fleet.publish(register(2, 1));
        fleet.run(Duration::from_millis(200));
        let held = fleet
            .live()
            .filter(|(_, m)| m.view().register.revision == 2);
        let held = held.count();
        println!("{held} of 72 after 200 ms");
        assert!(held >= 54);
    }
}

/// Guards against a change that waits for fallback reads because the readers of a single zone, or
/// of all zones, cannot reach the platform while other processes can.
#[test]
fn change_takes_effect_when_no_reader_reaches_the_platform() {
    for (zones, seeds) in [(1, 40..45), (3, 45..50)] {
        for seed in seeds {
            let mut fleet = Fleet::converged(36, zones, seed);
            let mut readers = std::collections::BTreeSet::new();
            for (_, machine) in fleet.live() {
                readers.extend(machine.status(fleet.now).readers);
            }
            assert_eq!(readers.len(), 2 * zones);
            fleet.without_platform = readers;
            fleet.publish(register(2, 1));
            let time = fleet.run_until(Duration::from_secs(60), |fleet| fleet.in_effect(2));
            println!("in effect after {time:?}");
            assert!(time <= IN_EFFECT_WITHIN);
        }
    }
}

/// Guards against losing all contact with the platform when only a process that is not a reader can
/// reach it.
#[test]
fn process_without_a_working_reader_reads_the_platform() {
    let mut fleet = Fleet::converged(9, 3, 50);
    let non_reader = fleet.live().position(|(_, machine)| {
        let status = machine.status(fleet.now);
        !status.readers.contains(&machine.view().me)
    });
    let name = fleet.nodes[non_reader.unwrap()].me.name.clone();
    println!("only {name} reaches the platform");
    assert_eq!(&*name, "vm-4", "the filter below names the VM");
    fleet.platform_up = |member| &*member.name == "vm-4";
    fleet.publish(register(2, 1));
    let time = fleet.run_until(Duration::from_secs(200), |fleet| fleet.in_effect(2));
    println!("in effect after {time:?}");
    assert!(time <= Duration::from_secs(120));
}

/// Guards against a platform that restarts with an older state. The fixture checks after every
/// input that no process returns to a lower revision.
#[test]
fn older_revision_is_refused_everywhere() {
    let mut fleet = Fleet::converged(9, 3, 60);
    fleet.publish(register(5, 1));
    assert!(fleet.run_until(IN_EFFECT_WITHIN, |fleet| fleet.in_effect(5)) < IN_EFFECT_WITHIN);
    fleet.register = Arc::new(register(3, 2));
    let now = fleet.now;
    for node in &mut fleet.nodes {
        let stale = Response::Register(Arc::new(register(3, 2)));
        node.machine.as_mut().unwrap().handle_response(now, stale);
    }
    // A joining process gets the older revision from the platform and must not use it.
    fleet.add(9, 3);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.in_effect(5));
    assert!(
        fleet.nodes[9]
            .revisions
            .iter()
            .all(|(_, revision)| *revision == 5)
    );
    assert!(fleet.nodes[..9].iter().all(|node| node.refused == [3]));
    fleet.publish(register(6, 3));
    assert!(fleet.run_until(IN_EFFECT_WITHIN, |fleet| fleet.in_effect(6)) < IN_EFFECT_WITHIN);
}

/// Guards against two contents of the same revision: the first one accepted stays in effect, and
/// both sides report the other.
#[test]
fn conflicting_content_is_refused_and_reported() {
    let mut fleet = Fleet::converged(6, 3, 70);
    fleet.publish(register(2, 1));
    assert!(fleet.run_until(IN_EFFECT_WITHIN, |fleet| fleet.in_effect(2)) < IN_EFFECT_WITHIN);
    let held: Vec<_> = fleet
        .live()
        .map(|(_, m)| m.view().register.clone())
        .collect();
    let now = fleet.now;
    let conflict = Response::Register(Arc::new(register(2, 9)));
    let machine = fleet.nodes[0].machine.as_mut().unwrap();
    machine.handle_response(now, conflict.clone());
    machine.handle_response(now, conflict);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.nodes[0].refused, [2], "reported once");
    for ((_, machine), before) in fleet.live().zip(held) {
        assert_eq!(machine.view().register, before);
    }
    let status = fleet.nodes[0].machine.as_ref().unwrap().status(fleet.now);
    assert!(
        status.refused[0]
            .reason
            .contains("publish with a higher revision")
    );
}

/// Guards against a joining process that serves an old register of a stale platform, or waits for a
/// platform that is down although its peers hold the register.
#[test]
fn joining_process_adopts_the_revision_of_its_peers() {
    let mut fleet = Fleet::converged(9, 3, 80);
    fleet.publish(large_register(4));
    assert!(fleet.run_until(IN_EFFECT_WITHIN, |fleet| fleet.in_effect(4)) < IN_EFFECT_WITHIN);
    fleet.platform_up = |_| false;
    fleet.add(9, 3);
    let time = fleet.run_until(Duration::from_secs(20), |fleet| {
        fleet.in_effect(4) && fleet.agrees(10)
    });
    println!("joined after {time:?}");
    assert!(time <= Duration::from_secs(5));
    assert_eq!(
        fleet.nodes[9].revisions.len(),
        1,
        "only the current revision was used"
    );
}

/// Guards against one side of a partition that brings back its older revision after the partition
/// heals.
#[test]
fn higher_revision_wins_after_a_partition() {
    let mut fleet = Fleet::converged(9, 3, 90);
    fleet.cut = |a, b| (&*a.zone == "zone-0") != (&*b.zone == "zone-0");
    fleet.platform_up = |member| &*member.zone != "zone-0";
    fleet.run(Duration::from_secs(5));
    fleet.publish(register(2, 1));
    fleet.run(Duration::from_secs(20));
    let old = fleet
        .live()
        .filter(|(_, m)| m.view().register.revision == 1);
    assert_eq!(old.count(), 3);
    fleet.cut = |_, _| false;
    let time = fleet.run_until(Duration::from_secs(20), |fleet| fleet.in_effect(2));
    println!("healed after {time:?}");
    assert!(time <= Duration::from_secs(6));
}

/// Guards against an invalid register that ends the readers' watches or reaches a view.
#[test]
fn invalid_register_is_reported_and_the_next_one_accepted() {
    let mut fleet = Fleet::converged(6, 3, 95);
    let now = fleet.now;
    let reader = fleet.reader_of("zone-0");
    let invalid = Response::Invalid {
        revision: 2,
        reason: "line 1: unknown zone; declare it".into(),
    };
    fleet.nodes[reader]
        .machine
        .as_mut()
        .unwrap()
        .handle_response(now, invalid);
    fleet.run(Duration::from_secs(2));
    assert!(fleet.in_effect(1));
    assert_eq!(fleet.nodes[reader].refused, [2]);
    fleet.publish(register(3, 1));
    assert!(fleet.run_until(IN_EFFECT_WITHIN, |fleet| fleet.in_effect(3)) < IN_EFFECT_WITHIN);
}
