//! Fleets with established flows.

use mulberrynotch_register::id;
use mulberrynotch_wire::flow as wire;

use super::{
    Faults,
    Fleet,
    inventory, //
};

pub const FAULTS: Faults = Faults {
    loss: 10,
    duplicate: 5,
    late_data: 2,
    delay_ms: 200,
    view_delay_ms: 1_500,
};

pub fn flows(services: usize, count: u32) -> Vec<wire::Flow> {
    let numbers = (0..services).flat_map(|service| (0..count).map(move |n| (service, n)));
    numbers
        .map(|(service, number)| inventory::wire_flow(service, number))
        .collect()
}

/// Runs for `seconds` while each flow sends a packet every two seconds.
pub fn traffic(fleet: &mut Fleet, flows: &[wire::Flow], seconds: usize) {
    for tick in 0..seconds * 10 {
        for flow in flows.iter().skip(tick % 20).step_by(20) {
            fleet.packet(*flow);
        }
        fleet.tick();
    }
}

/// Returns a fleet with established flows and warm targets.
pub fn warm(balancers: usize, faults: Faults, all: &[wire::Flow], seed: u64) -> Fleet {
    let register = inventory::register(&[6, 3], 1_000);
    let mut fleet = Fleet::new(
        balancers,
        register,
        Faults {
            view_delay_ms: 1,
            ..Faults::default()
        },
        seed,
    );
    traffic(&mut fleet, all, 60);
    assert_eq!(fleet.flows.len(), all.len());
    assert_eq!(fleet.broken, 0);
    fleet.faults = faults;
    fleet
}

pub fn in_zone(fleet: &Fleet, zone: &str) -> Vec<id::Target> {
    let services = fleet.register.services.iter();
    let targets = services.flat_map(|service| {
        let targets = service
            .targets
            .iter()
            .filter(|target| &*target.zone == zone);
        targets.map(|target| target.id(service.id()))
    });
    targets.collect()
}
