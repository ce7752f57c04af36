//! Which balancers probe a target in doubt, and how often.

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

/// Balancers of the zone besides the one under test.
const PEERS: u8 = 40;

/// Targets that are in doubt.
const TARGETS: u64 = 100;

fn in_a_large_zone() -> steer::Machine {
    let targets = (0..TARGETS)
        .map(|id| target(id, 2 + id, entry("b")))
        .collect();
    let mut machine = machine(targets);
    let peers = (2..2 + PEERS).map(|last| member(last, "a")).collect();
    machine.receive(at(2), address(2, 7_000), message::Message::Members(peers));
    machine.take_actions();
    machine
}

/// Tells of two failed flows and a failed probe of a target.
fn tell(machine: &mut steer::Machine, now: u64, id: u64) {
    let doubt = message::Failure {
        zone: Arc::from("a"),
        target: record::Id(id),
        failing_ms: 100,
        flows: vec![1, 2],
        probe_failed: true,
    };
    machine.receive(at(now), address(2, 7_000), message::Message::Failure(doubt));
}

/// Guards against probes of every balancer at every target that one of them doubts: their number
/// would grow with the product of both fleets.
#[test]
fn a_few_balancers_of_a_zone_probe_what_others_tell_of() {
    let mut machine = in_a_large_zone();
    (0..TARGETS).for_each(|id| tell(&mut machine, 10, id));
    let count = probes(&mut machine).len();
    // Three of 41 balancers probe each target: 7.3 of 100 on the mean.
    assert!((1..=20).contains(&count), "{count}");
}

/// Guards against open flows of a dark target that hang, since their balancer left its probes to
/// others.
#[test]
fn a_balancer_probes_the_targets_of_its_own_flows() {
    let mut machine = in_a_large_zone();
    for id in 0..TARGETS {
        let port = 2_000 + u16::try_from(id).unwrap();
        machine.packet(at(3), &data(port, id, 10, 10, 0));
    }
    machine.take_actions();
    (0..TARGETS).for_each(|id| tell(&mut machine, 10, id));
    let expected = usize::try_from(TARGETS).unwrap();
    assert_eq!(probes(&mut machine).len(), expected);
}

/// Guards against probes in step, and as often as those of the zone's probers: others step back.
#[test]
fn other_balancers_step_back_from_a_target_that_stays_silent() {
    let mut counts = Vec::new();
    for id in 0..TARGETS {
        let mut machine = machine(vec![target(id, 2, entry("a"))]);
        machine.packet(at(10), &opening(3_000, 0));
        let mut count = 0;
        for now in (20..10_000).step_by(30) {
            // The peers go on being heard of.
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
    // In 10 s a prober of the zone makes about six; others wait four times as long.
    assert!(middle <= 4, "{counts:?}");
    assert!(counts[counts.len() - 1] >= 5, "{counts:?}");
}
