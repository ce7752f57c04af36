//! Processes that miss a revision of the register.

mod flow_fixture;

use std::{
    sync::Arc,
    time::Duration, //
};

use flow_fixture::{
    Faults,
    Fleet,
    inventory, //
};
use mulberrynotch_register::id;
use mulberrynotch_wire::flow as wire;

/// Time at which all processes start.
const STARTED: Duration = Duration::from_secs(1);

/// Runs for `seconds` while each flow sends a packet every two seconds.
fn traffic(fleet: &mut Fleet, all: &[wire::Flow], seconds: usize) {
    for tick in 0..seconds * 10 {
        for flow in all.iter().skip(tick % 20).step_by(20) {
            fleet.packet(*flow);
        }
        fleet.tick();
    }
}

fn publish_to_others(fleet: &mut Fleet, missing: &str) {
    fleet.register.revision += 1;
    let names: Vec<Arc<str>> = fleet.nodes.keys().cloned().collect();
    for name in names.iter().filter(|name| &***name != missing) {
        fleet.publish_to(name, true);
    }
}

/// Guards against old records of a process that missed a zone going out of service: as an owner in
/// the zone it would take back flows that others serve by now, and as an ingress balancer it would
/// send them there by an old hint.
#[test]
fn a_process_that_missed_a_zone_out_moves_no_flow() {
    // The process is an owner in the zone, or only an ingress balancer for it.
    for (seed, missing) in [(9100, "b1"), (9101, "b4"), (9102, "b0")] {
        let all: Vec<wire::Flow> = (0..900).map(|n| inventory::wire_flow(0, n)).collect();
        let faults = Faults {
            delay_ms: 5,
            ..Faults::default()
        };
        let mut fleet = Fleet::new(6, inventory::register(&[6], 1_000), faults, seed);
        traffic(&mut fleet, &all, 60);
        let service = &fleet.register.services[0];
        let zone_targets: Vec<id::Target> = service
            .targets
            .iter()
            .filter(|target| &*target.zone == "z1")
            .map(|target| target.id(service.id()))
            .collect();
        fleet.nodes.get_mut(missing).unwrap().paused = true;
        fleet.register.zones[1].out = true;
        publish_to_others(&mut fleet, missing);
        fleet.tick();
        fleet
            .flows
            .retain(|_, target| !zone_targets.contains(target));
        traffic(&mut fleet, &all, 30);
        fleet.register.zones[1].out = false;
        publish_to_others(&mut fleet, missing);
        traffic(&mut fleet, &all, 2);
        let broken = fleet.broken;
        // The process resumes and receives only the last revision, before any packet.
        let member = fleet.members.iter().find(|member| &*member.name == missing);
        let view = Arc::new(fleet.view(&member.unwrap().clone(), false));
        let now = fleet.now - STARTED;
        let node = fleet.nodes.get_mut(missing).unwrap();
        node.machine.set_view(now, view);
        node.paused = false;
        // Packets arrive before any answer of a peer.
        all.iter().for_each(|flow| fleet.packet(*flow));
        fleet.tick();
        let name = Arc::from(missing);
        fleet.publish_to(&name, true);
        fleet.tick();
        traffic(&mut fleet, &all, 90);
        println!("{missing} misses both: {} broken", fleet.broken - broken);
        assert_eq!(fleet.broken - broken, 0, "seed {seed}");
    }
}
