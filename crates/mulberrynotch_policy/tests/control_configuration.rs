//! Propagation and acceptance of registers.

mod fixture;

use std::{
    sync::Arc,
    time::Duration, //
};

use fixture::{
    Fleet,
    register, //
};
use mulberrynotch_policy::control::Platform;
use mulberrynotch_register::model;

const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(4);

/// Returns a register whose delta is too large for a datagram.
fn large(revision: u64) -> model::Register {
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

/// Guards against slow propagation of a register while one reader is paused, a tenth of the control
/// messages is lost, and some are duplicated and reordered.
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
            assert!(time <= MAX_PROPAGATION_TIME);
            fleet.publish(large(3));
            let time = fleet.run_until(Duration::from_secs(8), |fleet| fleet.in_effect(3));
            println!("{count}: large change in effect after {time:?}");
            assert!(time <= MAX_PROPAGATION_TIME);
        }
    }
}

/// Guards against a change that is only carried by heartbeats: it is pushed, so that most processes
/// have it after two ticks.
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

/// Guards against a change that waits for fallback reads because no reader reaches the platform
/// although other processes do, in fleets of one zone and of three zones.
#[test]
fn change_is_in_effect_although_no_reader_reaches_the_platform() {
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
            assert!(time <= MAX_PROPAGATION_TIME);
        }
    }
}

/// Guards against a register that is never read because only one process reaches the platform and
/// it is not a reader.
#[test]
fn process_without_reports_of_readers_reads_the_platform() {
    let mut fleet = Fleet::converged(9, 3, 50);
    let outside = fleet.live().position(|(_, machine)| {
        let status = machine.status(fleet.now);
        !status.readers.contains(&machine.view().me)
    });
    let name = fleet.nodes[outside.unwrap()].me.name.clone();
    println!("only {name} reaches the platform");
    assert_eq!(&*name, "vm-4", "the cut below names the process");
    fleet.platform_up = |member| &*member.name == "vm-4";
    fleet.publish(register(2, 1));
    let time = fleet.run_until(Duration::from_secs(200), |fleet| fleet.in_effect(2));
    println!("in effect after {time:?}");
    assert!(time <= Duration::from_secs(120));
}

/// Guards against accepting an older revision after the platform restarts with an older state. The
/// fixture checks at every event that no process goes back to a lower revision.
#[test]
fn older_revision_is_refused_everywhere() {
    let mut fleet = Fleet::converged(9, 3, 60);
    fleet.publish(register(5, 1));
    assert!(
        fleet.run_until(MAX_PROPAGATION_TIME, |fleet| fleet.in_effect(5)) < MAX_PROPAGATION_TIME
    );
    fleet.register = Arc::new(register(3, 2));
    let now = fleet.now;
    for node in &mut fleet.nodes {
        let stale = Platform::Register(Arc::new(register(3, 2)));
        node.machine.as_mut().unwrap().platform(now, stale);
    }
    // A joining process reads the older revision from the platform and must not use it.
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
    assert!(
        fleet.run_until(MAX_PROPAGATION_TIME, |fleet| fleet.in_effect(6)) < MAX_PROPAGATION_TIME
    );
}

/// Guards against accepting a second content under the same revision: the first one stays in
/// effect, and the conflict is reported once.
#[test]
fn conflicting_content_is_refused_and_reported() {
    let mut fleet = Fleet::converged(6, 3, 70);
    fleet.publish(register(2, 1));
    assert!(
        fleet.run_until(MAX_PROPAGATION_TIME, |fleet| fleet.in_effect(2)) < MAX_PROPAGATION_TIME
    );
    let held: Vec<_> = fleet
        .live()
        .map(|(_, m)| m.view().register.clone())
        .collect();
    let now = fleet.now;
    let conflict = Platform::Register(Arc::new(register(2, 9)));
    let machine = fleet.nodes[0].machine.as_mut().unwrap();
    machine.platform(now, conflict.clone());
    machine.platform(now, conflict);
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

/// Guards against a joining process that uses an old register of a stale platform, and against one
/// that waits for an unavailable platform although its peers have the register.
#[test]
fn joining_process_uses_the_revision_of_its_peers() {
    let mut fleet = Fleet::converged(9, 3, 80);
    fleet.publish(large(4));
    assert!(
        fleet.run_until(MAX_PROPAGATION_TIME, |fleet| fleet.in_effect(4)) < MAX_PROPAGATION_TIME
    );
    fleet.platform_up = |_| false;
    fleet.add(9, 3);
    let time = fleet.run_until(Duration::from_secs(20), |fleet| {
        fleet.in_effect(4) && fleet.agree(10)
    });
    println!("joined after {time:?}");
    assert!(time <= Duration::from_secs(5));
    assert_eq!(
        fleet.nodes[9].revisions.len(),
        1,
        "only the current revision was used"
    );
}

/// Guards against a side of a partition that reverts the others to its older revision after the
/// heal.
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

/// Guards against an invalid register that ends the watches of the readers or takes effect.
#[test]
fn invalid_register_is_reported_and_the_next_one_taken() {
    let mut fleet = Fleet::converged(6, 3, 95);
    let now = fleet.now;
    let reader = fleet.reader_of("zone-0");
    let invalid = Platform::Invalid {
        revision: 2,
        reason: "line 1: unknown zone; declare it".into(),
    };
    fleet.nodes[reader]
        .machine
        .as_mut()
        .unwrap()
        .platform(now, invalid);
    fleet.run(Duration::from_secs(2));
    assert!(fleet.in_effect(1));
    assert_eq!(fleet.nodes[reader].refused, [2]);
    fleet.publish(register(3, 1));
    assert!(
        fleet.run_until(MAX_PROPAGATION_TIME, |fleet| fleet.in_effect(3)) < MAX_PROPAGATION_TIME
    );
}
