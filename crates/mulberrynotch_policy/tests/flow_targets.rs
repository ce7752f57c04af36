//! New flows on targets that join, turn cold, leave or exceed their share.

mod flow_fixture;

use flow_fixture::{
    Faults,
    established::{
        numbered_flows,
        traffic,
        warm_fleet, //
    },
    inventory, //
};
use mulberrynotch_policy::{
    flow,
    health, //
    preference,
};
use mulberrynotch_wire::flow as wire;

/// Guards against too many new flows on a target that just joined, whether targets answer or not.
#[test]
fn a_joined_target_is_ramped() {
    for answers in [true, false] {
        let flows = numbered_flows(2, 600);
        let mut fleet = warm_fleet(
            6,
            Faults {
                delay_ms: 5,
                ..Faults::default()
            },
            &flows,
            61,
        );
        fleet.change_register(|register| {
            let target = inventory::target("new".into(), 0, 1_000);
            register.services[0].targets.push(target);
        });
        fleet.targets_answer = answers;
        let service = &fleet.register.services[0];
        let target = service.targets.last().unwrap().id(service.id());
        let mut number = 10_000;
        let mut per_second = Vec::new();
        for _ in 0..15 {
            fleet.placed.clear();
            for _ in 0..10 {
                // 300 new flows a second, of which a seventh ranks the target first.
                for _ in 0..30 {
                    number += 1;
                    fleet.send_packet(inventory::wire_flow(0, number));
                }
                fleet.tick();
            }
            per_second.push(fleet.placed.get(&target).copied().unwrap_or(0));
        }
        println!("answers {answers}: new flows per second {per_second:?}");
        let mut allowed = u64::from(flow::COLD_FLOWS);
        for placed in per_second.iter().skip_while(|placed| **placed == 0) {
            // One second of the test may span two rounds, the second with the next allowance.
            let next = if answers { 2 * allowed } else { allowed };
            assert!(*placed <= allowed + next, "{per_second:?}");
            allowed = next;
        }
        assert!(per_second.iter().sum::<u64>() > 0, "the target gets flows");
    }
}

/// Guards against full load on a target that turned cold because it restarted, could not be reached
/// or shed flows.
#[test]
fn a_cold_target_drops_to_the_cold_limit_at_once() {
    let report = |boot| health::Observation::Report {
        load_percent: 1,
        boot,
        leaving: false,
    };
    let cases = [
        vec![report(1), report(2)],
        vec![health::Observation::Unreachable],
        vec![health::Observation::Shed; 3],
    ];
    for case in cases {
        let flows = numbered_flows(2, 600);
        let mut fleet = warm_fleet(6, Faults::default(), &flows, 71);
        let target = fleet.register.services[0].targets[0].id(fleet.register.services[0].id());
        let now = fleet.now;
        for node in fleet.nodes.values_mut() {
            case.iter()
                .for_each(|seen| node.machine.observe(now, target, *seen));
        }
        fleet.placed.clear();
        let new: Vec<_> = (5_000..6_000).map(|n| inventory::wire_flow(0, n)).collect();
        new.iter().for_each(|flow| fleet.send_packet(*flow));
        let placed = fleet.placed.get(&target).copied().unwrap_or(0);
        assert!(
            placed <= u64::from(flow::COLD_FLOWS),
            "{placed} after {case:?}"
        );
        traffic(&mut fleet, &flows, 4);
        assert_eq!(fleet.broken_flows, 0, "existing flows stay");
    }
}

/// Guards against a target that gets far more than its share because many flows rank it first.
#[test]
fn a_target_above_its_share_passes_new_flows_on() {
    let flows = numbered_flows(2, 900);
    let mut fleet = warm_fleet(6, Faults::default(), &flows, 76);
    let view = fleet.view(&fleet.members[0], true);
    let service = fleet.register.services[0].id();
    let target = fleet.register.services[0].targets[0].id(service);
    let ranks_first = |flow: &wire::Flow| {
        preference::first(&view, service, flow::key(service, flow)) == Some(target)
    };
    let new = (5_000..9_000).map(|number| inventory::wire_flow(0, number));
    for (number, flow) in new.filter(ranks_first).take(300).enumerate() {
        fleet.send_packet(flow);
        if number % 10 == 0 {
            fleet.tick();
        }
    }
    let loads = fleet.loads();
    let number = fleet.register.services[0].targets.len() as u64;
    let ids = fleet.register.services[0]
        .targets
        .iter()
        .map(|item| item.id(service));
    let mean = ids.map(|id| loads[&id]).sum::<u64>() / number;
    assert!(
        loads[&target] <= mean * 5 / 4 + 1,
        "{} of mean {mean}",
        loads[&target]
    );
    assert_eq!(fleet.broken_flows, 0);
}

/// Guards against new flows on a leaving target, and against moving its existing flows.
#[test]
fn a_leaving_target_keeps_only_its_flows() {
    let flows = numbered_flows(2, 900);
    let mut fleet = warm_fleet(6, Faults::default(), &flows, 81);
    fleet.change_register(|register| register.services[0].targets[0].leaving = true);
    let target = fleet.register.services[0].targets[0].id(fleet.register.services[0].id());
    fleet.tick();
    fleet.placed.clear();
    fleet.delivered.clear();
    let new: Vec<_> = (5_000..6_000).map(|n| inventory::wire_flow(0, n)).collect();
    traffic(&mut fleet, &new, 10);
    assert_eq!(fleet.placed.get(&target), None);
    traffic(&mut fleet, &flows, 10);
    assert!(fleet.delivered.contains_key(&target));
    assert_eq!(fleet.broken_flows, 0);
}
