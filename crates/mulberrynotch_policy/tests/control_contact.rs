//! Pauses of a process and its isolation from zones.

mod fixture;

use std::{
    sync::Arc,
    time::Duration, //
};

use fixture::{
    Fleet,
    register, //
};
use mulberrynotch_policy::view;

fn view(fleet: &Fleet, index: usize) -> &view::View {
    fleet.nodes[index].machine.as_ref().unwrap().view()
}

/// Guards against a resumed process that routes to other zones with a view that lacks a change.
#[test]
fn resumed_process_is_unconfirmed_until_a_peer_answers() {
    for seed in 0..10 {
        let mut fleet = Fleet::converged(9, 3, seed);
        assert!(view(&fleet, 0).confirmed);
        fleet.pause(0, Duration::from_secs(3));
        fleet.run(Duration::from_millis(500));
        fleet.publish(register(2, 1));
        let resumed_and_confirmed = |fleet: &Fleet| {
            fleet.now >= fleet.nodes[0].paused_until && view(fleet, 0).accepts_new_work("zone-1")
        };
        fleet.run(Duration::from_millis(2_499));
        let time = fleet.run_until(Duration::from_secs(5), |fleet| {
            fleet.nodes[0]
                .machine
                .as_ref()
                .unwrap()
                .status(fleet.now)
                .counters
                .pauses
                == 1
                && resumed_and_confirmed(fleet)
        });
        println!("confirmed after {time:?}");
        assert!(time <= Duration::from_secs(1));
        assert_eq!(
            view(&fleet, 0).register.revision,
            2,
            "routed with the old revision"
        );
    }
}

/// Guards against an isolated process that stops serving its own zone, or that serves other zones.
#[test]
fn isolated_process_serves_its_own_zone_after_half_a_second() {
    let mut fleet = Fleet::converged(9, 3, 20);
    fleet.pause(0, Duration::from_secs(2));
    fleet.run(Duration::from_millis(1_000));
    fleet.cut = |a, b| &*a.name == "vm-0" || &*b.name == "vm-0";
    fleet.platform_up = |member| &*member.name != "vm-0";
    fleet.run(Duration::from_millis(1_200));
    assert!(!view(&fleet, 0).accepts_new_work("zone-0"));
    let time = fleet.run_until(Duration::from_secs(5), |fleet| {
        view(fleet, 0).accepts_new_work("zone-0")
    });
    assert!(time <= Duration::from_millis(500), "{time:?}");
    let other = fleet.run_until(Duration::from_secs(60), |fleet| {
        view(fleet, 0).accepts_new_work("zone-1")
    });
    assert_eq!(other, Duration::from_secs(60));
    fleet.cut = |_, _| false;
    let time = fleet.run_until(Duration::from_secs(60), |fleet| {
        view(fleet, 0).accepts_new_work("zone-1") && view(fleet, 0).accepts_new_work("zone-2")
    });
    println!("confirmed {time:?} after the isolation");
    assert!(time <= Duration::from_secs(12));
}

/// Guards against new work for a zone that is cut off and may have been taken out of service.
#[test]
fn zone_that_is_cut_off_is_unreachable_until_it_confirms() {
    for seed in 30..35 {
        let mut fleet = Fleet::converged(9, 3, seed);
        fleet.platform_up = |_| false;
        fleet.cut = |a, b| (&*a.zone == "zone-0") != (&*b.zone == "zone-0");
        let lost = |fleet: &Fleet| {
            fleet.live().all(|(node, machine)| match &*node.me.zone {
                "zone-0" => machine.view().unreachable_zones.len() == 2,
                _ => machine.view().unreachable_zones == ["zone-0".into()],
            })
        };
        let time = fleet.run_until(Duration::from_secs(10), lost);
        println!("lost after {time:?}");
        assert!(time <= Duration::from_secs(4));
        assert!(
            fleet
                .live()
                .all(|(node, m)| m.view().accepts_new_work(&node.me.zone))
        );
        fleet.cut = |_, _| false;
        let time = fleet.run_until(Duration::from_secs(20), |fleet| {
            fleet
                .live()
                .all(|(_, m)| m.view().unreachable_zones.is_empty())
        });
        println!("back after {time:?}");
        assert!(time <= Duration::from_secs(3));
        // Operators see each loss and each return once.
        let transitions = |name: &str| [(Arc::from(name), false), (Arc::from(name), true)];
        let logged = |index: usize| fleet.nodes[index].zones.as_slice();
        assert_eq!(logged(1), transitions("zone-0"));
        assert_eq!(logged(2), transitions("zone-0"));
    }
}

/// Guards against a zone whose balancers are all dead and whose targets are never served again.
#[test]
fn zone_without_balancers_is_served_once_the_platform_confirms() {
    let mut fleet = Fleet::converged(6, 3, 40);
    fleet.kill(1);
    fleet.kill(4);
    let time = fleet.run_until(Duration::from_secs(30), |fleet| {
        fleet.agrees(4)
            && fleet
                .live()
                .all(|(_, m)| m.view().accepts_new_work("zone-1"))
    });
    println!("served after {time:?}");
    assert!(time <= Duration::from_secs(10));
}

/// Guards against processes that start together and place flows by views in which each is alone;
/// such flows land on several targets.
#[test]
fn processes_that_start_together_know_each_other_before_they_serve() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(6, 3, seed);
        for _ in 0..100 {
            fleet.run(Duration::from_millis(50));
            for (node, machine) in fleet.live() {
                let view = machine.view();
                let serves = view.register.revision > 0 && view.accepts_new_work(&node.me.zone);
                assert!(!serves || view.members.len() == 6, "seed {seed}");
            }
        }
        assert!(fleet.in_effect(1), "seed {seed}");
    }
}

/// Guards against a joining process that serves before it knows the other members and considers
/// itself the owner of their targets.
#[test]
fn joining_process_knows_all_members_before_it_serves() {
    for seed in 40..50 {
        let mut fleet = Fleet::converged(9, 3, seed);
        fleet.add(9, 3);
        for _ in 0..100 {
            fleet.run(Duration::from_millis(50));
            let view = view(&fleet, 9);
            let serves = view.register.revision > 0 && view.accepts_new_work(&view.zone);
            assert!(!serves || view.members.len() == 10, "seed {seed}");
        }
        assert!(view(&fleet, 9).accepts_new_work("zone-0"), "seed {seed}");
    }
}
