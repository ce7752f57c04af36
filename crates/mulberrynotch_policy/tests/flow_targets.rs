//! New flows on targets that join, become cold, leave or exceed their share.

mod flow_fixture;

use flow_fixture::{
    Faults,
    established::{
        flows,
        traffic,
        warm, //
    },
    inventory, //
};
use mulberrynotch_policy::{
    flow,
    health, //
    preference,
};
use mulberrynotch_wire::flow as wire;

/// Guards against a flood of new flows on a target that has just joined, with and without answers.
#[test]
fn a_joined_target_is_ramped() {
    for answers in [true, false] {
        let all = flows(2, 600);
        let mut fleet = warm(
            6,
            Faults {
                delay_ms: 5,
                ..Faults::default()
            },
            &all,
            61,
        );
        fleet.change(|register| {
            let target = inventory::target("new".into(), 0, 1_000);
            register.services[0].targets.push(target);
        });
        fleet.answers = answers;
        let service = &fleet.register.services[0];
        let target = service.targets.last().unwrap().id(service.id());
        let mut number = 10_000;
        let mut per_second = Vec::new();
        for _ in 0..15 {
            fleet.placed.clear();
            for _ in 0..10 {
                // 300 new flows per second; one in seven prefers the new target.
                for _ in 0..30 {
                    number += 1;
                    fleet.packet(inventory::wire_flow(0, number));
                }
                fleet.tick();
            }
            per_second.push(fleet.placed.get(&target).copied().unwrap_or(0));
        }
        println!("answers {answers}: new flows per second {per_second:?}");
        let mut allowed = u64::from(flow::COLD_FLOWS);
        for placed in per_second.iter().skip_while(|placed| **placed == 0) {
            // A second of the test may overlap two rounds of the ramp, the later one with up to the
            // next allowance.
            let next = if answers { 2 * allowed } else { allowed };
            assert!(*placed <= allowed + next, "{per_second:?}");
            allowed = next;
        }
        assert!(per_second.iter().sum::<u64>() > 0, "the target gets flows");
    }
}

/// Guards against full load on a target that became cold: restarted, unreachable or shedding.
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
        let all = flows(2, 600);
        let mut fleet = warm(6, Faults::default(), &all, 71);
        let target = fleet.register.services[0].targets[0].id(fleet.register.services[0].id());
        let now = fleet.now;
        for node in fleet.nodes.values_mut() {
            case.iter()
                .for_each(|seen| node.machine.observe(now, target, *seen));
        }
        fleet.placed.clear();
        let new: Vec<_> = (5_000..6_000).map(|n| inventory::wire_flow(0, n)).collect();
        new.iter().for_each(|flow| fleet.packet(*flow));
        let placed = fleet.placed.get(&target).copied().unwrap_or(0);
        assert!(
            placed <= u64::from(flow::COLD_FLOWS),
            "{placed} after {case:?}"
        );
        traffic(&mut fleet, &all, 4);
        assert_eq!(fleet.broken, 0, "existing flows stay");
    }
}

/// Guards against a target that gets far more than its share because many flows prefer it.
#[test]
fn a_target_above_its_share_passes_new_flows_on() {
    let all = flows(2, 900);
    let mut fleet = warm(6, Faults::default(), &all, 76);
    let view = fleet.view(&fleet.members[0], true);
    let service = fleet.register.services[0].id();
    let id = fleet.register.services[0].targets[0].id(service);
    let ranks_first =
        |flow: &wire::Flow| preference::first(&view, service, flow::key(service, flow)) == Some(id);
    let new = (5_000..9_000).map(|number| inventory::wire_flow(0, number));
    for (number, flow) in new.filter(ranks_first).take(300).enumerate() {
        fleet.packet(flow);
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
        loads[&id] <= mean * 5 / 4 + 1,
        "{} of mean {mean}",
        loads[&id]
    );
    assert_eq!(fleet.broken, 0);
}

/// Guards against new flows on a leaving target, and against moving its existing flows.
#[test]
fn a_leaving_target_keeps_only_its_flows() {
    let all = flows(2, 900);
    let mut fleet = warm(6, Faults::default(), &all, 81);
    fleet.change(|register| register.services[0].targets[0].leaving = true);
    let target = fleet.register.services[0].targets[0].id(fleet.register.services[0].id());
    fleet.tick();
    fleet.placed.clear();
    fleet.delivered.clear();
    let new: Vec<_> = (5_000..6_000).map(|n| inventory::wire_flow(0, n)).collect();
    traffic(&mut fleet, &new, 10);
    assert_eq!(fleet.placed.get(&target), None);
    traffic(&mut fleet, &all, 10);
    assert!(fleet.delivered.contains_key(&target));
    assert_eq!(fleet.broken, 0);
}
