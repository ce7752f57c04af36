//! Selection of the balancers that probe a doubtful target, and the rate of their probes.

mod fixture;

use std::sync::Arc;

use fixture::{
    address,
    at,
    data,
    entry,
    machine,
    member,
    opening,
    probes,
    target, //
};
use mulberrynotch_steer::{
    evidence,
    machine as steer,
    message,
    record, //
};

/// Balancers of the zone except the one under test.
const PEERS: u8 = 40;

/// Doubtful targets.
const TARGETS: u64 = 100;

fn machine_in_large_zone() -> steer::Machine {
    let targets = (0..TARGETS)
        .map(|id| target(id, 2 + id, entry("b")))
        .collect();
    let mut machine = machine(targets);
    let peers = (2..2 + PEERS).map(|last| member(last, "a")).collect();
    machine.receive(at(2), address(2, 7_000), message::Message::Members(peers));
    machine.take_actions();
    machine
}

/// Reports two failed flows and a failed probe of a target.
fn report_failure(machine: &mut steer::Machine, now: u64, id: u64) {
    let failure = message::Failure {
        zone: Arc::from("a"),
        target: record::Id(id),
        failing_ms: 100,
        flows: vec![1, 2],
        probe_failed: true,
    };
    machine.receive(
        at(now),
        address(2, 7_000),
        message::Message::Failure(failure),
    );
}

/// Guards against probes of every balancer at every target that one of them reports: their number
/// would grow with the product of both fleets.
#[test]
fn a_few_balancers_of_a_zone_probe_reported_targets() {
    let mut machine = machine_in_large_zone();
    (0..TARGETS).for_each(|id| report_failure(&mut machine, 10, id));
    let count = probes(&mut machine).len();
    // Three of 41 balancers probe each target, which is 7.3 of 100 targets on average.
    assert!((1..=20).contains(&count), "{count}");
}

/// Guards against open flows that hang on a failed target because their balancer leaves its probes
/// to others.
#[test]
fn a_balancer_probes_the_targets_of_its_own_flows() {
    let mut machine = machine_in_large_zone();
    for id in 0..TARGETS {
        let port = 2_000 + u16::try_from(id).unwrap();
        machine.packet(at(3), &data(port, id, 10, 10, 0));
    }
    machine.take_actions();
    (0..TARGETS).for_each(|id| report_failure(&mut machine, 10, id));
    let expected = usize::try_from(TARGETS).unwrap();
    assert_eq!(probes(&mut machine).len(), expected);
}

/// Guards against simultaneous probes, and against balancers that probe as often as the probers of
/// the zone.
#[test]
fn other_balancers_probe_an_unresponsive_target_less_often() {
    let mut counts = Vec::new();
    for id in 0..TARGETS {
        let mut machine = machine(vec![target(id, 2, entry("a"))]);
        machine.packet(at(10), &opening(3_000, 0));
        let mut count = 0;
        for now in (20..10_000).step_by(30) {
            // The peers remain live.
            let peers = (2..2 + PEERS).map(|last| member(last, "a")).collect();
            machine.receive(at(now), address(2, 7_000), message::Message::Members(peers));
            machine.tick(at(now));
            for probed in probes(&mut machine) {
                count += 1;
                machine.probed(at(now), probed, evidence::Probe::Silent);
            }
        }
        counts.push(count);
    }
    counts.sort_unstable();
    let middle = counts[counts.len() / 2];
    // A prober of the zone sends about six probes in 10 s; others wait four times as long.
    assert!(middle <= 4, "{counts:?}");
    assert!(counts[counts.len() - 1] >= 5, "{counts:?}");
}
