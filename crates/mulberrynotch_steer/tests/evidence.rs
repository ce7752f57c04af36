//! Targets that stop answering, as seen in packets, and what must not be taken for it.

mod fixture;

use std::time::Duration;

use fixture::{
    at,
    data,
    entry,
    forwarded,
    machine,
    ms,
    opening,
    probes,
    target, //
};
use mulberrynotch_steer::{
    evidence::{
        Probe,
        Verdict, //
    },
    machine as steer,
    message,
    record, //
};

const DARK: record::Id = record::Id(7);

/// A machine with a long flow on each of the targets 7 to 10, on client ports equal to their ids.
fn with_flows() -> steer::Machine {
    let mut machine = machine((7..11).map(|id| target(id, id, entry("a"))).collect());
    for id in 7..11_u16 {
        progress(&mut machine, at(0), id);
    }
    machine.take_actions();
    machine
}

/// A request and its answer on the flow of a target.
fn progress(machine: &mut steer::Machine, now: Duration, id: u16) {
    let position = u32::try_from((now - fixture::START).as_millis()).unwrap();
    let request = data(id, id.into(), position * 10, position * 10, 10);
    machine.packet(now, &request);
    let answered = data(id, id.into(), position * 10 + 10, position * 10 + 9, 0);
    machine.packet(now + ms(1), &answered);
}

/// Requests on three flows of a target from `from` on, which stay without an answer.
fn requests(machine: &mut steer::Machine, from: u64) {
    for port in [7, 107, 207] {
        machine.packet(at(from), &data(port, 7, 90_000, 9, 10));
    }
}

/// Lets time pass up to `until`; the other targets go on answering, and probes of 7 end so.
/// Returns the number of flows that were reset.
fn pass(machine: &mut steer::Machine, from: u64, until: u64, outcome: Probe) -> usize {
    let mut count = 0;
    for now in (from..until).step_by(30) {
        progress(machine, at(now), 8);
        progress(machine, at(now), 9);
        machine.tick(at(now));
        let mut actions = machine.take_actions();
        while let Some(action) = actions.pop() {
            match action {
                steer::Action::Reset { .. } => count += 1,
                steer::Action::Probe { target: DARK, .. } => {
                    machine.probed(at(now + 20), DARK, outcome);
                    actions.extend(machine.take_actions());
                }
                _ => {}
            }
        }
    }
    count
}

/// Guards against new flows for a target that went dark until its entry lapses, seconds later.
#[test]
fn an_unanswered_opening_keeps_new_flows_away_within_300_ms() {
    let mut machine = with_flows();
    let mut dark = Vec::new();
    for port in 1_000..1_040_u16 {
        let now = at(1_000 + u64::from(port - 1_000) * 10);
        let chosen = forwarded(machine.packet(now, &opening(port, 0))).unwrap();
        if chosen == 7 {
            dark.push(now);
        } else {
            machine.packet(now + ms(5), &data(port, chosen, 1, 1, 0));
        }
        machine.tick(now + ms(8));
        if !probes(&mut machine).is_empty() {
            machine.probed(now + ms(9), DARK, Probe::Silent);
        }
    }
    let first = *dark.first().expect("the dark target was chosen once");
    assert!(dark.iter().all(|it| *it < first + ms(300)));
    assert!(machine.evidence().verdict(DARK) != Verdict::Good);
}

/// Guards against open flows that hang until their time limit on a target that has ended.
#[test]
fn the_flows_of_a_dead_target_are_reset_within_a_second() {
    let mut machine = with_flows();
    requests(&mut machine, 1_000);
    let count = pass(&mut machine, 1_000, 2_000, Probe::Silent);
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Dead);
    assert_eq!(count, 3);
}

/// Guards against a new flow that waits for its time limit on a target that is known to have ended.
#[test]
fn a_flow_is_refused_when_all_targets_are_dead() {
    let mut machine = machine(vec![target(7, 7, entry("a")), target(8, 8, entry("c"))]);
    for id in [7, 8] {
        progress(&mut machine, at(0), id);
    }
    requests(&mut machine, 1_000);
    pass(&mut machine, 1_000, 2_000, Probe::Silent);
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Dead);
    let gone = fixture::removal(record::Key::Target(record::Id(8)), 101);
    machine.watched(at(2_000), 100, 101, vec![gone]);
    assert_eq!(
        machine.packet(at(2_001), &opening(9, 0)),
        steer::Verdict::Reset
    );
}

/// Guards against a target that has started anew and stays without flows until it is probed, while
/// balancers that learn of it at different times reset each other's flows there.
#[test]
fn a_target_that_started_anew_takes_flows_at_once() {
    let mut machine = with_flows();
    requests(&mut machine, 1_000);
    pass(&mut machine, 1_000, 2_000, Probe::Silent);
    let again = mulberrynotch_steer::record::Target {
        started_ms: 2,
        ..entry("a")
    };
    machine.watched(at(2_000), 100, 101, vec![target(7, 101, entry("a"))]);
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Dead);
    machine.watched(at(2_010), 101, 102, vec![target(7, 102, again)]);
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Good);
    let opened_elsewhere = data(300, 7, 1, 1, 10);
    let verdict = machine.packet(at(2_020), &opened_elsewhere);
    assert_eq!(fixture::forwarded(verdict), Some(7));
}

/// Guards against a balancer whose own links are bad and that condemns a live target, while the peers
/// of its zone that see the target answer are not asked.
#[test]
fn a_doubt_reaches_every_peer_of_the_zone_first() {
    let mut machine = with_flows();
    for last in 2..90 {
        let zone = if last < 65 { "b" } else { "a" };
        let members = vec![fixture::member(last, zone)];
        let message = message::Message::Members(members);
        machine.receive(at(900), fixture::address(2, 7_000), message);
    }
    machine.take_actions();
    requests(&mut machine, 1_000);
    machine.tick(at(1_300));
    let actions = machine.take_actions().into_iter();
    let told = actions.flat_map(|action| match action {
        steer::Action::Send {
            to,
            message: message::Message::Failure(_),
        } => to,
        _ => Vec::new(),
    });
    let told: std::collections::BTreeSet<_> = told.collect();
    for last in 65..90 {
        let near = fixture::address(last, 7_000);
        assert!(told.contains(&near), "{near} is not told");
    }
}

/// Guards against doubts that fill the control traffic of a balancer while one target is dark.
#[test]
fn doubts_about_a_dark_target_fit_into_the_control_traffic() {
    const SECONDS: usize = 3;
    const CONTROL_BYTES: usize = 2_048;
    let mut machine = with_flows();
    for last in 2..42 {
        let members = vec![fixture::member(last, "b")];
        machine.receive(
            at(0),
            fixture::address(2, 7_000),
            message::Message::Members(members),
        );
    }
    let mut bytes = 0;
    for now in (1_000..4_000).step_by(30) {
        progress(&mut machine, at(now), 8);
        progress(&mut machine, at(now), 9);
        // A request on another flow of the dark target every 150 ms.
        if now % 150 == 100 {
            let port = u16::try_from(now).unwrap();
            machine.packet(at(now), &data(port, 7, 90_000, 9, 10));
        }
        machine.tick(at(now));
        let mut actions = machine.take_actions();
        while let Some(action) = actions.pop() {
            match action {
                steer::Action::Send { to, message } => {
                    let doubt = matches!(message, message::Message::Failure(_));
                    let length = postcard::to_stdvec(&message).unwrap().len();
                    bytes += length * to.len() * usize::from(doubt);
                }
                steer::Action::Probe { target: DARK, .. } => {
                    machine.probed(at(now + 20), DARK, Probe::Silent);
                    actions.extend(machine.take_actions());
                }
                _ => {}
            }
        }
    }
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Dead);
    assert!(
        bytes / SECONDS < CONTROL_BYTES,
        "{bytes} bytes in {SECONDS} s"
    );
}

/// Guards against resets of flows whose target is only slow: it accepts connections.
#[test]
fn a_slow_target_that_accepts_connections_is_not_dead() {
    let mut machine = with_flows();
    requests(&mut machine, 1_000);
    assert_eq!(pass(&mut machine, 1_000, 4_000, Probe::Accepted), 0);
    assert_ne!(machine.evidence().verdict(DARK), Verdict::Dead);
}

/// Guards against a verdict on the word of one flow, whose packets alone may be lost.
#[test]
fn one_flow_that_repeats_its_data_kills_no_target() {
    let mut machine = with_flows();
    let request = data(7, 7, 90_000, 9, 10);
    machine.packet(at(1_000), &request);
    machine.packet(at(1_200), &request);
    machine.packet(at(1_600), &request);
    assert_eq!(pass(&mut machine, 1_600, 4_000, Probe::Silent), 0);
    assert_ne!(machine.evidence().verdict(DARK), Verdict::Dead);
}

/// Guards against resets while the target still makes progress on other flows.
#[test]
fn progress_on_another_flow_clears_the_doubt() {
    let mut machine = with_flows();
    requests(&mut machine, 1_000);
    machine.tick(at(1_260));
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Doubtful);
    progress(&mut machine, at(1_270), 7);
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Good);
}

/// Guards against a balancer that is cut off itself and takes every target for dead.
#[test]
fn a_balancer_without_progress_anywhere_condemns_nobody() {
    let mut machine = with_flows();
    for id in 7..11_u16 {
        for port in [id, id + 100] {
            machine.packet(at(2_000), &data(port, id.into(), 90_000, 9, 10));
        }
    }
    for now in (2_000..5_000).step_by(30) {
        machine.tick(at(now));
        for probed in probes(&mut machine) {
            machine.probed(at(now + 20), probed, Probe::Silent);
        }
    }
    for id in 7..11 {
        assert_ne!(machine.evidence().verdict(record::Id(id)), Verdict::Dead);
    }
}

fn doubt(zone: &str, flows: Vec<u32>) -> message::Message {
    message::Message::Failure(message::Failure {
        zone: zone.into(),
        target: DARK,
        failing_ms: 600,
        flows,
        probe_failed: true,
    })
}

/// Guards against the fault seen on 75 VMs: one slow flow, told by one peer again and again, made
/// others reset the flows of a live target.
#[test]
fn what_a_peer_tells_of_one_flow_counts_once() {
    let mut machine = with_flows();
    for now in [2_000, 2_200, 2_400, 2_800] {
        machine.receive(at(now), fixture::address(2, 7_000), doubt("a", vec![5]));
    }
    assert_eq!(pass(&mut machine, 2_800, 5_000, Probe::Silent), 0);
    assert_ne!(machine.evidence().verdict(DARK), Verdict::Dead);
}

/// Guards against a peer that keeps a doubt which others can disprove.
#[test]
fn progress_here_answers_a_peers_doubt() {
    let mut machine = with_flows();
    progress(&mut machine, at(2_000), 7);
    let peer = fixture::address(2, 7_000);
    machine.take_actions();
    machine.receive(at(2_010), peer, doubt("a", vec![5, 6]));
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Good);
    let answers = machine.take_actions().into_iter();
    let told = answers.filter(|action| {
        matches!(action, steer::Action::Send { to, message: message::Message::Alive(_) } if *to == [peer])
    });
    assert_eq!(told.count(), 1);
}

/// Guards against a zone whose balancers are cut off from a target and make others avoid it.
#[test]
fn a_doubt_from_another_way_to_the_target_needs_own_probes() {
    let mut machine = with_flows();
    let peer = fixture::address(2, 7_000);
    machine.receive(at(2_000), peer, doubt("b", vec![5, 6]));
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Good);
    assert_eq!(pass(&mut machine, 2_000, 3_000, Probe::Accepted), 0);
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Good);
}

/// Guards against flows that hang on a dead target at a balancer that has only one of them, while
/// balancers of other zones know better.
#[test]
fn flows_that_failed_elsewhere_and_own_probes_condemn_a_target() {
    let mut machine = with_flows();
    machine.packet(at(1_500), &data(7, 7, 90_000, 9, 10));
    let peer = fixture::address(2, 7_000);
    machine.receive(at(2_100), peer, doubt("b", vec![5, 6]));
    assert_eq!(pass(&mut machine, 2_100, 2_600, Probe::Silent), 1);
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Dead);
}

/// Guards against requests of several packets, whose parts arrive out of order, as repeated data.
#[test]
fn data_out_of_order_is_not_repeated_data() {
    let mut machine = with_flows();
    machine.packet(at(1_000), &data(300, 7, 1_200, 1, 300));
    machine.packet(at(1_000), &data(300, 7, 0, 1, 1_200));
    machine.tick(at(1_030));
    assert_eq!(machine.evidence().verdict(DARK), Verdict::Good);
}

/// Guards against new flows for a target that is several times slower than the others.
#[test]
fn a_slow_target_gets_a_fraction_of_the_new_flows() {
    let mut machine = with_flows();
    let mut chosen = [0; 11];
    for step in 0..400_u16 {
        let now = at(1_000 + u64::from(step) * 20);
        let port = 2_000 + step;
        let id = forwarded(machine.packet(now, &opening(port, 0))).unwrap();
        chosen[usize::try_from(id).unwrap()] += 1;
        let latency = if id == 7 { 120 } else { 25 };
        machine.packet(now + ms(1), &data(port, id, 1, 1, 10));
        machine.packet(now + ms(latency), &data(port, id, 11, 500, 0));
        machine.tick(now + ms(2));
    }
    assert!(chosen[7] * 4 < chosen[8], "{chosen:?}");
}
