//! Passive health checks: which packets and probes make a target doubtful or dead, and which must
//! not.

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
    rev,
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

const FAILED: record::Id = record::Id(7);

/// Returns a machine with a long flow on each of the targets 7 to 10, on client ports equal to
/// their identifiers.
fn machine_with_flows() -> steer::Machine {
    let mut machine = machine((7..11).map(|id| target(id, id, entry("a"))).collect());
    for id in 7..11_u16 {
        make_progress(&mut machine, at(0), id);
    }
    machine.take_actions();
    machine
}

/// Sends a request and its acknowledged answer on the flow of a target.
fn make_progress(machine: &mut steer::Machine, now: Duration, id: u16) {
    let position = u32::try_from((now - fixture::START).as_millis()).unwrap();
    let request = data(id, id.into(), position * 10, position * 10, 10);
    machine.packet(now, &request);
    let answered = data(id, id.into(), position * 10 + 10, position * 10 + 9, 0);
    machine.packet(now + ms(1), &answered);
}

/// Sends requests on three flows of target 7 that are never answered.
fn send_requests(machine: &mut steer::Machine, from: u64) {
    for port in [7, 107, 207] {
        machine.packet(at(from), &data(port, 7, 90_000, 9, 10));
    }
}

/// Runs the machine until `until`. Targets 8 and 9 make progress, and probes of target 7 have this
/// outcome. Returns the number of flows that were reset.
fn run(machine: &mut steer::Machine, from: u64, until: u64, outcome: Probe) -> usize {
    let mut count = 0;
    for now in (from..until).step_by(30) {
        make_progress(machine, at(now), 8);
        make_progress(machine, at(now), 9);
        machine.tick(at(now));
        let mut actions = machine.take_actions();
        while let Some(action) = actions.pop() {
            match action {
                steer::Action::Reset { .. } => count += 1,
                steer::Action::Probe { target: FAILED, .. } => {
                    machine.probed(at(now + 20), FAILED, outcome);
                    actions.extend(machine.take_actions());
                }
                _ => {}
            }
        }
    }
    count
}

/// Guards against new flows for a target that stopped responding, until its entry expires seconds
/// later.
#[test]
fn an_unanswered_opening_keeps_new_flows_away_within_300_ms() {
    let mut machine = machine_with_flows();
    let mut failed = Vec::new();
    for port in 1_000..1_040_u16 {
        let now = at(1_000 + u64::from(port - 1_000) * 10);
        let chosen = forwarded(machine.packet(now, &opening(port, 0))).unwrap();
        if chosen == 7 {
            failed.push(now);
        } else {
            machine.packet(now + ms(5), &data(port, chosen, 1, 1, 0));
        }
        machine.tick(now + ms(8));
        if !probes(&mut machine).is_empty() {
            machine.probed(now + ms(9), FAILED, Probe::Silent);
        }
    }
    let first = *failed.first().expect("the failed target was chosen once");
    assert!(failed.iter().all(|it| *it < first + ms(300)));
    assert!(machine.evidence().verdict(FAILED) != Verdict::Good);
}

/// Guards against open flows that hang until their timeout on a target that has ended.
#[test]
fn the_flows_of_a_dead_target_are_reset_within_a_second() {
    let mut machine = machine_with_flows();
    send_requests(&mut machine, 1_000);
    let count = run(&mut machine, 1_000, 2_000, Probe::Silent);
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Dead);
    assert_eq!(count, 3);
}

/// Guards against a new flow that waits for its timeout on a target that is known to have ended.
#[test]
fn a_flow_is_refused_when_all_targets_are_dead() {
    let mut machine = machine(vec![target(7, 7, entry("a")), target(8, 8, entry("c"))]);
    for id in [7, 8] {
        make_progress(&mut machine, at(0), id);
    }
    send_requests(&mut machine, 1_000);
    run(&mut machine, 1_000, 2_000, Probe::Silent);
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Dead);
    let removed = fixture::removal(record::Key::Target(record::Id(8)), 101);
    machine.watched(at(2_000), rev(100), rev(101), vec![removed]);
    assert_eq!(
        machine.packet(at(2_001), &opening(9, 0)),
        steer::Verdict::Reset
    );
}

/// Guards against a restarted target that gets no flows until it is probed, while balancers that
/// learn of the restart at different times reset each other's flows there.
#[test]
fn a_restarted_target_takes_flows_at_once() {
    let mut machine = machine_with_flows();
    send_requests(&mut machine, 1_000);
    run(&mut machine, 1_000, 2_000, Probe::Silent);
    let again = mulberrynotch_steer::record::Target {
        started_ms: 2,
        ..entry("a")
    };
    machine.watched(
        at(2_000),
        rev(100),
        rev(101),
        vec![target(7, 101, entry("a"))],
    );
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Dead);
    machine.watched(at(2_010), rev(101), rev(102), vec![target(7, 102, again)]);
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Good);
    let opened_elsewhere = data(300, 7, 1, 1, 10);
    let verdict = machine.packet(at(2_020), &opened_elsewhere);
    assert_eq!(fixture::forwarded(verdict), Some(7));
}

/// Guards against a balancer with a faulty link that declares a live target dead because peers of
/// its zone, which see the target answer, do not get its failure report.
#[test]
fn a_failure_report_reaches_every_peer_of_the_zone_first() {
    let mut machine = machine_with_flows();
    for last in 2..90 {
        let zone = if last < 65 { "b" } else { "a" };
        let members = vec![fixture::member(last, zone)];
        let message = message::Message::Members(members);
        machine.receive(at(900), fixture::address(2, 7_000), message);
    }
    machine.take_actions();
    send_requests(&mut machine, 1_000);
    machine.tick(at(1_300));
    let actions = machine.take_actions().into_iter();
    let recipients = actions.flat_map(|action| match action {
        steer::Action::Send {
            to,
            message: message::Message::Failure(_),
        } => to,
        _ => Vec::new(),
    });
    let recipients: std::collections::BTreeSet<_> = recipients.collect();
    for last in 65..90 {
        let near = fixture::address(last, 7_000);
        assert!(recipients.contains(&near), "{near} gets no report");
    }
}

/// Guards against failure reports that exceed the control bandwidth of a balancer while one target
/// does not respond.
#[test]
fn failure_reports_on_one_target_fit_into_the_control_bandwidth() {
    const SECONDS: usize = 3;
    const MAX_CONTROL_BYTES_PER_SECOND: usize = 2_048;
    let mut machine = machine_with_flows();
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
        make_progress(&mut machine, at(now), 8);
        make_progress(&mut machine, at(now), 9);
        // Every 150 ms, another flow of the failed target sends a request.
        if now % 150 == 100 {
            let port = u16::try_from(now).unwrap();
            machine.packet(at(now), &data(port, 7, 90_000, 9, 10));
        }
        machine.tick(at(now));
        let mut actions = machine.take_actions();
        while let Some(action) = actions.pop() {
            match action {
                steer::Action::Send { to, message } => {
                    let failure = matches!(message, message::Message::Failure(_));
                    let length = postcard::to_stdvec(&message).unwrap().len();
                    bytes += length * to.len() * usize::from(failure);
                }
                steer::Action::Probe { target: FAILED, .. } => {
                    machine.probed(at(now + 20), FAILED, Probe::Silent);
                    actions.extend(machine.take_actions());
                }
                _ => {}
            }
        }
    }
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Dead);
    assert!(
        bytes / SECONDS < MAX_CONTROL_BYTES_PER_SECOND,
        "{bytes} bytes in {SECONDS} s"
    );
}

/// Guards against resets of the flows of a target that is slow but accepts connections.
#[test]
fn a_slow_target_that_accepts_connections_is_not_dead() {
    let mut machine = machine_with_flows();
    send_requests(&mut machine, 1_000);
    assert_eq!(run(&mut machine, 1_000, 4_000, Probe::Accepted), 0);
    assert_ne!(machine.evidence().verdict(FAILED), Verdict::Dead);
}

/// Guards against a verdict based on a single flow, whose packets alone may be lost.
#[test]
fn one_flow_that_repeats_its_data_makes_no_target_dead() {
    let mut machine = machine_with_flows();
    let request = data(7, 7, 90_000, 9, 10);
    machine.packet(at(1_000), &request);
    machine.packet(at(1_200), &request);
    machine.packet(at(1_600), &request);
    assert_eq!(run(&mut machine, 1_600, 4_000, Probe::Silent), 0);
    assert_ne!(machine.evidence().verdict(FAILED), Verdict::Dead);
}

/// Guards against resets while the target still makes progress on other flows.
#[test]
fn progress_on_another_flow_clears_the_doubtful_state() {
    let mut machine = machine_with_flows();
    send_requests(&mut machine, 1_000);
    machine.tick(at(1_260));
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Doubtful);
    make_progress(&mut machine, at(1_270), 7);
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Good);
}

/// Guards against an isolated balancer that declares all targets dead.
#[test]
fn an_isolated_balancer_declares_no_target_dead() {
    let mut machine = machine_with_flows();
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

fn failure(zone: &str, flows: Vec<u32>) -> message::Message {
    message::Message::Failure(message::Failure {
        zone: zone.into(),
        target: FAILED,
        failing_ms: 600,
        flows,
        probe_failed: true,
    })
}

/// Guards against resets of the flows of a live target because one peer reports the same slow flow
/// repeatedly, as seen in a site of 75 VMs.
#[test]
fn repeated_reports_on_one_flow_count_once() {
    let mut machine = machine_with_flows();
    for now in [2_000, 2_200, 2_400, 2_800] {
        machine.receive(at(now), fixture::address(2, 7_000), failure("a", vec![5]));
    }
    assert_eq!(run(&mut machine, 2_800, 5_000, Probe::Silent), 0);
    assert_ne!(machine.evidence().verdict(FAILED), Verdict::Dead);
}

/// Guards against a peer that keeps a target doubtful although another balancer can disprove it.
#[test]
fn local_progress_answers_a_failure_report() {
    let mut machine = machine_with_flows();
    make_progress(&mut machine, at(2_000), 7);
    let peer = fixture::address(2, 7_000);
    machine.take_actions();
    machine.receive(at(2_010), peer, failure("a", vec![5, 6]));
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Good);
    let answers = machine.take_actions().into_iter();
    let reports = answers.filter(|action| {
        matches!(action, steer::Action::Send { to, message: message::Message::Alive(_) } if *to == [peer])
    });
    assert_eq!(reports.count(), 1);
}

/// Guards against a zone that is cut off from a target and makes other zones avoid it.
#[test]
fn a_failure_report_from_another_path_needs_own_probes() {
    let mut machine = machine_with_flows();
    let peer = fixture::address(2, 7_000);
    machine.receive(at(2_000), peer, failure("b", vec![5, 6]));
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Good);
    assert_eq!(run(&mut machine, 2_000, 3_000, Probe::Accepted), 0);
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Good);
}

/// Guards against flows that hang on a dead target at a balancer with a single flow, although
/// balancers of other zones saw more flows fail.
#[test]
fn flows_that_failed_elsewhere_and_own_probes_make_a_target_dead() {
    let mut machine = machine_with_flows();
    machine.packet(at(1_500), &data(7, 7, 90_000, 9, 10));
    let peer = fixture::address(2, 7_000);
    machine.receive(at(2_100), peer, failure("b", vec![5, 6]));
    assert_eq!(run(&mut machine, 2_100, 2_600, Probe::Silent), 1);
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Dead);
}

/// Guards against requests of several packets that arrive out of order and are counted as repeated
/// data.
#[test]
fn data_out_of_order_is_not_repeated_data() {
    let mut machine = machine_with_flows();
    machine.packet(at(1_000), &data(300, 7, 1_200, 1, 300));
    machine.packet(at(1_000), &data(300, 7, 0, 1, 1_200));
    machine.tick(at(1_030));
    assert_eq!(machine.evidence().verdict(FAILED), Verdict::Good);
}

/// Guards against an equal share of new flows for a target that is several times slower than the
/// others.
#[test]
fn a_slow_target_gets_a_fraction_of_the_new_flows() {
    let mut machine = machine_with_flows();
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
