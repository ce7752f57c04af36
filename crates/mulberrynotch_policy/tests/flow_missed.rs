//! Processes that miss revisions of the register.

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

/// Start time of all processes.
const STARTED: Duration = Duration::from_secs(1);

/// Runs the fleet while each flow sends a packet every two seconds.
fn traffic(fleet: &mut Fleet, flows: &[wire::Flow], seconds: usize) {
    for tick in 0..seconds * 10 {
        for flow in flows.iter().skip(tick % 20).step_by(20) {
            fleet.send_packet(*flow);
        }
        fleet.tick();
    }
}

/// Publishes the next revision to all processes but `paused`.
fn publish_to_others(fleet: &mut Fleet, paused: &str) {
    fleet.register.revision += 1;
    let names: Vec<Arc<str>> = fleet.nodes.keys().cloned().collect();
    for name in names.iter().filter(|name| &***name != paused) {
        fleet.publish_to(name, true);
    }
}

/// Guards against outdated records of a process that missed the outage of a zone. As owner in the
/// zone it would take back flows that other targets serve now; as ingress balancer it would send
/// them there because of an outdated hint.
#[test]
fn a_process_that_missed_a_zone_out_moves_no_flow() {
    // The process owns targets in the zone, or is only an ingress balancer for it.
    for (seed, paused) in [(9100, "b1"), (9101, "b4"), (9102, "b0")] {
        let flows: Vec<wire::Flow> = (0..900).map(|n| inventory::wire_flow(0, n)).collect();
        let faults = Faults {
            delay_ms: 5,
            ..Faults::default()
        };
        let mut fleet = Fleet::new(6, inventory::register(&[6], 1_000), faults, seed);
        traffic(&mut fleet, &flows, 60);
        let service = &fleet.register.services[0];
        let zone_targets: Vec<id::Target> = service
            .targets
            .iter()
            .filter(|target| &*target.zone == "z1")
            .map(|target| target.id(service.id()))
            .collect();
        fleet.nodes.get_mut(paused).unwrap().paused = true;
        fleet.register.zones[1].out = true;
        publish_to_others(&mut fleet, paused);
        fleet.tick();
        fleet
            .flows
            .retain(|_, target| !zone_targets.contains(target));
        traffic(&mut fleet, &flows, 30);
        fleet.register.zones[1].out = false;
        publish_to_others(&mut fleet, paused);
        traffic(&mut fleet, &flows, 2);
        let broken = fleet.broken_flows;
        // The process resumes and gets only the last revision, before any packet.
        let member = fleet.members.iter().find(|it| &*it.name == paused);
        let view = Arc::new(fleet.view(&member.unwrap().clone(), false));
        let now = fleet.now - STARTED;
        let node = fleet.nodes.get_mut(paused).unwrap();
        node.machine.set_view(now, view);
        node.paused = false;
        // Packets arrive before the answers of peers.
        flows.iter().for_each(|flow| fleet.send_packet(*flow));
        fleet.tick();
        let name = Arc::from(paused);
        fleet.publish_to(&name, true);
        fleet.tick();
        traffic(&mut fleet, &flows, 90);
        println!(
            "{paused} misses both: {} broken",
            fleet.broken_flows - broken
        );
        assert_eq!(fleet.broken_flows - broken, 0, "seed {seed}");
    }
}
