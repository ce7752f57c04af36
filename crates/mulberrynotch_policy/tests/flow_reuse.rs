//! Reuse of a target address by another service.

mod flow_fixture;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use flow_fixture::{
    Faults,
    Fleet,
    inventory, //
};

/// Time within which a change is in effect everywhere.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(4);

fn send_packets(fleet: &mut Fleet, seconds: usize) {
    for tick in 0..seconds * 10 {
        for service in 0..2 {
            for number in (0..300).skip(tick % 10).step_by(10) {
                fleet.packet(inventory::wire_flow(service, number));
            }
        }
        fleet.tick();
    }
}

/// Guards against packets of a service that reach an address after another service has begun to use
/// it. Two processes keep the old register for almost 4 s, each of them is paused in one of the
/// runs, and the frames that they forward arrive late.
#[test]
fn a_moved_target_address_serves_one_service_at_a_time() {
    for (seed, paused, through_an_unused_address) in [
        (8100, None, false),
        (8101, Some("b0"), true),
        (8102, Some("b3"), false),
    ] {
        let address = SocketAddr::from(([127, 2, 0, 1], 5_000));
        let mut register = inventory::register(&[3, 3], 1_000);
        register.services[0].targets[0].udp = Some(address);
        let faults = Faults {
            delay_ms: 50,
            late_data: 5,
            ..Faults::default()
        };
        let mut fleet = Fleet::new(6, register, faults, seed);
        send_packets(&mut fleet, 40);
        let (old, new) = (
            fleet.register.services[0].id(),
            fleet.register.services[1].id(),
        );
        assert!(fleet.reached.iter().any(|item| item.2 == Some(old)));
        let changed = fleet.now;
        let stale: Vec<Arc<str>> = ["b0", "b3"].map(Arc::from).to_vec();
        let pause = |fleet: &mut Fleet, paused_now| {
            if let Some(name) = paused {
                fleet.nodes.get_mut(name).unwrap().paused = paused_now;
            }
        };
        pause(&mut fleet, true);
        let names: Vec<Arc<str>> = fleet.nodes.keys().cloned().collect();
        fleet.register.services[0].targets[0].udp = None;
        fleet.register.revision += 1;
        if through_an_unused_address {
            let fresh = names.iter().filter(|name| !stale.contains(name));
            fresh.for_each(|name| fleet.publish_to(name, true));
            send_packets(&mut fleet, 1);
        }
        // The owner of the new target, in another zone, has the new register at once.
        fleet.register.services[1].targets[1].udp = Some(address);
        fleet.register.revision += 1;
        let fresh = names.iter().filter(|name| !stale.contains(name));
        fresh.for_each(|name| fleet.publish_to(name, true));
        let through = usize::from(through_an_unused_address);
        send_packets(&mut fleet, 2 - through);
        // The resumed process keeps the old register until its view is confirmed.
        pause(&mut fleet, false);
        fleet.run(Duration::from_millis(500));
        send_packets(&mut fleet, 1);
        assert!(fleet.now < changed + MAX_PROPAGATION_TIME);
        stale.iter().for_each(|name| fleet.publish_to(name, true));
        send_packets(&mut fleet, 30);
        let of = |service| {
            let deliveries = fleet.reached.iter();
            deliveries.filter(move |item| item.1 == address && item.2 == Some(service))
        };
        let last_old = of(old).map(|item| item.0).max().unwrap();
        let first_new = of(new)
            .map(|item| item.0)
            .min()
            .expect("the new service uses it");
        println!("last of the old {last_old:?}, first of the new {first_new:?}");
        assert!(last_old < first_new, "seed {seed}");
    }
}
