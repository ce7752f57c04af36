//! Changes of owners right after a start, while most targets are cold and pass flows on.

mod flow_fixture;

use std::time::Duration;

use flow_fixture::{
    Faults,
    Fleet,
    inventory, //
};
use mulberrynotch_wire::{
    control,
    flow as wire, //
};

/// Time for which a stopping process still accepts new work for its targets.
const LATE_TRAFFIC_TIME: Duration = Duration::from_secs(2);

/// Ticks of 100 ms in ten seconds, the shortest drain limit in the example settings.
const DRAIN_TICKS: usize = 100;

/// Returns six balancers with cold targets, and flows that none of them has seen.
fn started_cold(seed: u64) -> (Fleet, Vec<wire::Flow>) {
    let faults = Faults {
        view_delay_ms: 100,
        ..Faults::default()
    };
    let fleet = Fleet::new(6, inventory::register(&[14, 4], 2_000), faults, seed);
    let flows = (0..280).map(|n| inventory::wire_flow(0, n)).collect();
    (fleet, flows)
}

/// Runs for one tick while half of the flows send a packet.
fn send_packets(fleet: &mut Fleet, flows: &[wire::Flow], step: usize) {
    for flow in flows.iter().skip(step % 2).step_by(2) {
        fleet.packet(*flow);
    }
    fleet.tick();
}

/// Guards against flows that a cold target passed on and that its next owner admits a second time,
/// because their redirects still wait for the control budget of the other owners.
#[test]
fn replacement_right_after_a_start_breaks_no_flow() {
    for seed in 7_100..7_104 {
        let (mut fleet, flows) = started_cold(seed);
        for step in 0..400 {
            if step == 40 {
                let joining = inventory::member(6);
                fleet.members.push(joining.clone());
                fleet.start(&joining);
                fleet.publish();
            }
            if step == 42 {
                fleet.members[1].state = control::State::Leaving;
                fleet.publish();
            }
            send_packets(&mut fleet, &flows, step);
        }
        assert_eq!(fleet.broken, 0, "seed {seed}");
        assert_eq!(fleet.flows.len(), flows.len(), "seed {seed}");
    }
}

/// Guards against a stop that exceeds its drain limit because flow records wait behind the
/// redirects of the start in the control budget.
#[test]
fn a_replacement_right_after_a_start_drains_within_its_limit() {
    for seed in 7_400..7_404 {
        let (mut fleet, _) = started_cold(seed);
        let flows: Vec<_> = (0..1_000).map(|n| inventory::wire_flow(0, n)).collect();
        for step in 0..20 {
            send_packets(&mut fleet, &flows, step);
        }
        let leaving = fleet.members[1].name.clone();
        fleet.members[1].state = control::State::Leaving;
        fleet.publish();
        let drained = (0..DRAIN_TICKS).find(|step| {
            send_packets(&mut fleet, &flows, *step);
            fleet.nodes[&leaving].machine.drained()
        });
        println!("seed {seed} drained after {drained:?} ticks");
        assert!(drained.is_some(), "seed {seed}");
        assert_eq!(fleet.broken, 0, "seed {seed}");
    }
}

/// Guards against a handover that fails at a process with an older view and is retried only seconds
/// later. The next owner waits for a handover for one second only, and then sends requests in
/// addition to those still running at the target.
#[test]
fn a_handover_to_a_process_with_an_older_view_is_in_time() {
    for seed in 7_200..7_212 {
        let register = inventory::register(&[14, 4], 2_000);
        let mut fleet = Fleet::new(6, register, Faults::default(), seed);
        let flows: Vec<wire::Flow> = (0..60).map(|n| inventory::wire_flow(0, n)).collect();
        for _ in 0..60 {
            flows.iter().for_each(|flow| fleet.packet(*flow));
            fleet.tick();
        }
        let leaving = fleet.members[1].name.clone();
        fleet.members[1].state = control::State::Leaving;
        fleet.publish_to(&leaving, true);
        fleet.run(Duration::from_millis(200));
        fleet.publish();
        fleet.run(LATE_TRAFFIC_TIME - Duration::from_millis(200));
        let drained = fleet.nodes[&leaving].machine.drained();
        assert!(drained, "not handed over in time, seed {seed}");
    }
}

/// Guards against flows that move when a balancer is replaced by one that has just started. The new
/// one receives the members after the leave, when the others receive the leave and its join, and
/// may consider a wrong process the previous owner.
#[test]
fn replacement_by_a_process_that_knows_no_peers_yet_breaks_no_flow() {
    for seed in 7_300..7_304 {
        let (mut fleet, flows) = started_cold(seed);
        for step in 0..400 {
            match step {
                40 => fleet.start_alone(&inventory::member(6)),
                42 => {
                    fleet.members[1].state = control::State::Leaving;
                    let leaving = fleet.members[1].name.clone();
                    fleet.publish_to(&leaving, true);
                }
                44 => {
                    fleet.members.push(inventory::member(6));
                    fleet.publish();
                }
                _ => {}
            }
            send_packets(&mut fleet, &flows, step);
        }
        println!("seed {seed} broken {}", fleet.broken);
        assert_eq!(fleet.broken, 0, "seed {seed}");
    }
}
