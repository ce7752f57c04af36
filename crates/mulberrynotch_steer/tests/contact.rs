//! Balancers whose own link is saturated or loses packets: they must declare no target dead, and
//! must not be the reader that sends the register to its zone.

mod fixture;

use std::time::Duration;

use fixture::{
    at,
    data,
    entry,
    machine,
    ms,
    target, //
};
use mulberrynotch_steer::{
    contact::Contact,
    evidence::{
        Probe,
        Verdict, //
    },
    fleet,
    machine as steer,
    message,
    pacing::Pacer,
    record, //
};

const FAILED: record::Id = record::Id(7);

/// Time that probes and answers take on an unloaded link, in milliseconds.
const UNLOADED_LINK_MS: u64 = 2;

/// Runs a machine with one peer for a second from `start_ms` on. Two flows of a target fail, probes
/// of it are silent, and another target makes progress. The peer answers pings after `answer_ms`.
/// Returns the number of flows that were reset.
fn resets(start_ms: u64, answer_ms: Option<u64>) -> usize {
    let targets = [7, 8].map(|id| target(id, id, entry("a")));
    let mut machine = machine(targets.into());
    let peer = fixture::member(2, "a");
    let from = peer.address;
    for port in [7, 107] {
        machine.packet(at(start_ms), &data(port, 7, 10, 9, 10));
        machine.packet(at(start_ms + 1), &data(port, 7, 20, 19, 0));
        machine.packet(at(start_ms + 1_000), &data(port, 7, 90_000, 19, 10));
    }
    let mut count = 0;
    let mut answers = Vec::new();
    for step in (1_000..2_000).step_by(10) {
        let now = at(start_ms + step);
        // Messages from the peer arrive.
        let members = message::Message::Members(vec![peer.clone()]);
        machine.receive(now, from, members);
        let position = u32::try_from(step * 10).unwrap();
        machine.packet(now, &data(8, 8, position, position, 10));
        machine.packet(now, &data(8, 8, position + 10, position + 9, 0));
        for (_, pinged_ms) in answers.extract_if(.., |(due, _)| *due <= now) {
            machine.receive(now, from, message::Message::Pong(pinged_ms));
        }
        machine.tick(now);
        let mut actions = machine.take_actions();
        while let Some(action) = actions.pop() {
            match action {
                steer::Action::Reset { .. } => count += 1,
                steer::Action::Probe { target: FAILED, .. } => {
                    machine.probed(now, FAILED, Probe::Silent);
                    actions.extend(machine.take_actions());
                }
                steer::Action::Send {
                    message: message::Message::Ping(pinged_ms),
                    ..
                } => answers.extend(answer_ms.map(|delay| (now + ms(delay), pinged_ms))),
                _ => {}
            }
        }
    }
    let dead = machine.evidence().verdict(FAILED) == Verdict::Dead;
    assert_eq!(dead, count > 0);
    count
}

/// Guards against resets of flows of live targets by a balancer whose link is saturated. Balancers
/// that sent a large configuration over a low-bandwidth link, in a site of 90 VMs, queued their
/// packets and probes on it, while some packets still passed.
#[test]
fn a_balancer_whose_pings_are_not_answered_in_time_resets_no_flow() {
    assert_eq!(resets(0, None), 0);
    assert_eq!(resets(0, Some(200)), 0);
}

/// Guards against flows that hang on a dead target because the balancer waits for its peers.
#[test]
fn a_balancer_whose_pings_are_answered_resets_the_flows_of_a_dead_target() {
    assert_eq!(resets(0, Some(UNLOADED_LINK_MS)), 2);
}

/// Guards against an overflow of the time in a ping after 49 days, from which on no target would be
/// declared dead.
#[test]
fn a_process_that_runs_for_months_still_resets_the_flows_of_a_dead_target() {
    const SIXTY_DAYS_MS: u64 = 60 * 24 * 3_600 * 1_000;
    assert_eq!(resets(SIXTY_DAYS_MS, Some(UNLOADED_LINK_MS)), 2);
}

/// Guards against an old answer that counts for too long, and against peers that are pinged without
/// limit.
#[test]
fn an_answered_ping_counts_for_a_short_time() {
    let mut contact = Contact::default();
    assert!(contact.is_proven(at(0)), "no peer to ping");
    contact.set_without_peers(false);
    assert!(!contact.is_proven(at(0)));
    assert!(contact.start_ping(at(0)) && !contact.start_ping(at(50)));
    contact.pong_received(at(5), at(0));
    assert!(contact.is_proven(at(300)) && !contact.is_proven(at(500)));
    assert!(contact.start_ping(at(500)));
    contact.pong_received(at(700), at(500));
    assert!(!contact.is_proven(at(700)), "late");
}

/// Guards against a reader with a low-bandwidth link, which sends every change to all peers of its
/// zone.
#[test]
fn members_with_the_most_bandwidth_read_first() {
    let member = |last: u8, link_mbps| message::Member {
        link_mbps,
        ..fixture::member(last, "a")
    };
    let links = [10, 200, 10, 180, 50, 200, 10];
    let members: Vec<_> = (1..)
        .zip(links)
        .map(|(last, link)| member(last, link))
        .collect();
    let mut ranks: Vec<(usize, u32)> = Vec::new();
    for me in &members {
        let mut fleet = fleet::Fleet::new(me.clone(), Vec::new(), 1);
        members.iter().for_each(|it| fleet.merge_member(at(0), it));
        ranks.push((fleet.rank(at(0)), me.link_mbps));
    }
    ranks.sort_unstable();
    let (order, links): (Vec<_>, Vec<_>) = ranks.into_iter().unzip();
    assert_eq!(order, [0, 1, 2, 3, 4, 5, 6], "all agree on the order");
    assert!(links[..3].iter().all(|it| *it >= 180), "{links:?}");
    assert_eq!(links[3..], [50, 10, 10, 10]);
}

/// Guards against answers to peers that saturate the link, and against peers that wait for long
/// although they could pull from another balancer.
#[test]
fn answers_to_peers_leave_half_of_the_link() {
    const ANSWER: usize = 62_500;
    let mut pacer = Pacer::new(10);
    let now = at(0);
    let waits: Vec<_> = (0..22).map(|_| pacer.reserve(now, ANSWER)).collect();
    // Half of 10 Mbit/s carries ten answers of 62,500 bytes per second.
    for (number, wait) in waits.iter().enumerate() {
        let expected = u64::try_from(number * 100).unwrap();
        let expected = (expected <= 1_000).then(|| ms(expected));
        assert_eq!(*wait, expected);
    }
    assert_eq!(pacer.reserve(at(5_000), ANSWER), Some(Duration::ZERO));
}
