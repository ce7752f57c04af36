//! Decisions of a single control machine in answer to single inputs.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::{
    budget::Priority,
    control::{
        Action,
        Config,
        Machine,
        Response, //
    },
    delta, //
};
use mulberrynotch_register::model;
use mulberrynotch_wire::control::{
    Member,
    Message,
    State,
    Summary,
    Version, //
};

const SEED: u64 = 1;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn member(name: &str, port: u16) -> Member {
    Member {
        name: name.into(),
        zone: "zone-0".into(),
        peer: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation: 1,
        state: State::Alive,
    }
}

fn register(revision: u64) -> model::Register {
    model::Register {
        revision,
        ..model::Register::empty()
    }
}

/// Runs the ticks from `from` to `to` in milliseconds and returns the actions.
fn run_ticks(machine: &mut Machine, from: u64, to: u64) -> Vec<Action> {
    let mut actions = Vec::new();
    for time in (from..=to).step_by(100) {
        machine.tick(ms(time));
        actions.extend(std::iter::from_fn(|| machine.poll()));
    }
    actions
}

/// Returns a machine that joined without peers, holds revision 2 and knows one peer with the same
/// revision, at 3 s.
fn joined_machine() -> (Machine, Member) {
    println!("seed {SEED}");
    let (me, peer) = (member("me", 1), member("peer", 2));
    let config = Config {
        me,
        seeds: Vec::new(),
    };
    let mut machine = Machine::new(config, SEED);
    run_ticks(&mut machine, 0, 2_500);
    machine.handle_response(ms(2_500), Response::Register(Arc::new(register(2))));
    let ping = Message::Ping {
        sequence: 1,
        sender: peer.clone(),
        summary: Summary {
            version: delta::version(&register(2)),
            members_digest: 0,
            platform_age_seconds: 0,
        },
        updates: Vec::new(),
    };
    machine.receive(ms(2_900), "peer", peer.peer, ping);
    run_ticks(&mut machine, 3_000, 3_000);
    assert_eq!(machine.view().register.revision, 2);
    assert!(machine.view().confirmed && machine.view().member("peer").is_some());
    (machine, peer)
}

fn latest_nonce(actions: &[Action]) -> u64 {
    let nonces = actions.iter().filter_map(|action| match action {
        Action::Send {
            message: Message::Confirm { nonce, .. },
            ..
        } => Some(*nonce),
        _ => None,
    });
    nonces
        .reduce(|_, nonce| nonce)
        .expect("no confirmation request")
}

/// Guards against a resumed process whose view is confirmed by a peer that is behind, or by an
/// answer to a request sent before the pause.
#[test]
fn only_a_fresh_answer_with_the_same_version_confirms() {
    let (mut machine, peer) = joined_machine();
    machine.handle_late_timer(ms(3_100), ms(2_000));
    let outdated = latest_nonce(&run_ticks(&mut machine, 3_100, 3_100));
    machine.handle_late_timer(ms(3_200), ms(2_000));
    let current = latest_nonce(&run_ticks(&mut machine, 3_200, 3_200));
    let held = delta::version(&register(2));
    let behind = delta::version(&register(1));
    let other = Version {
        digest: held.digest + 1,
        ..held
    };
    for (nonce, version) in [(outdated, held), (current, behind), (current, other)] {
        let answer = Message::Confirmed { nonce, version };
        machine.receive(ms(3_300), "peer", peer.peer, answer);
        assert!(!machine.view().confirmed, "{version:?}");
    }
    let nonce = current;
    let answer = Message::Confirmed {
        nonce,
        version: held,
    };
    machine.receive(ms(3_300), "peer", peer.peer, answer);
    assert!(machine.view().confirmed);
}

/// Guards against a process that starts after the platform returned from a copy, and serves by a
/// register that its peers refuse because they have another one of the same revision.
#[test]
fn a_joining_process_takes_the_register_of_its_peers_under_a_revision_given_out_twice() {
    println!("seed {SEED}");
    let peer = member("peer", 2);
    let config = Config {
        me: member("me", 1),
        seeds: vec![peer.peer],
    };
    let mut machine = Machine::new(config, SEED);
    run_ticks(&mut machine, 0, 100);
    let held = delta::version(&register(2));
    let ping = Message::Ping {
        sequence: 1,
        sender: peer.clone(),
        summary: Summary {
            version: held,
            members_digest: 0,
            platform_age_seconds: 0,
        },
        updates: Vec::new(),
    };
    machine.receive(ms(200), "peer", peer.peer, ping);
    let mut again = register(2);
    again.zones.push(model::Zone {
        name: "zone-9".into(),
        region: "".into(),
        out: false,
    });
    machine.handle_response(ms(300), Response::Register(Arc::new(again)));
    run_ticks(&mut machine, 300, 3_000);
    assert!(
        machine.view().register.zones.is_empty(),
        "serves by the other one"
    );
    assert_eq!(machine.status(ms(3_000)).refused.len(), 1);
}

/// Guards against a valid register that no watch returns, because a higher invalid one was published
/// before the platform returned from a copy, and against a return that nobody is told of.
#[test]
fn a_platform_that_returned_from_a_copy_is_reported_and_watched_from_the_held_revision() {
    let (mut machine, _) = joined_machine();
    let invalid = Response::Invalid {
        revision: 9,
        reason: "no zones".into(),
    };
    machine.handle_response(ms(3_050), invalid);
    let published = Some(1);
    machine.handle_response(ms(3_100), Response::Unchanged { published });
    let watched = run_ticks(&mut machine, 3_100, 9_000);
    let above = watched.iter().filter_map(|it| match it {
        Action::WatchRegister { above } => Some(*above),
        _ => None,
    });
    assert_eq!(above.max(), Some(2));
    let reasons = machine.status(ms(9_000)).refused;
    let is_reported = |it: &mulberrynotch_policy::control::Refusal| it.revision == 1;
    assert!(reasons.iter().any(is_reported), "{reasons:?}");
}

/// Guards against a pause that shows only in the time of the next input and goes undetected.
#[test]
fn pause_is_detected_from_the_time_of_the_next_input() {
    let (mut machine, peer) = joined_machine();
    let have = delta::version(&register(2));
    let message = Message::Confirm { nonce: 1, have };
    machine.receive(ms(4_500), "peer", peer.peer, message);
    assert!(!machine.view().confirmed);
    let answers = std::iter::from_fn(|| machine.poll()).filter(|action| {
        matches!(
            action,
            Action::Send {
                message: Message::Confirmed { .. },
                ..
            }
        )
    });
    assert_eq!(answers.count(), 0, "answered with an unconfirmed view");
}

/// Guards against accepting a register between the one in effect and the highest revision seen.
#[test]
fn register_below_the_highest_revision_seen_is_refused() {
    let (mut machine, peer) = joined_machine();
    let version = delta::version(&register(5));
    machine.receive(ms(3_000), "peer", peer.peer, Message::Revision { version });
    machine.handle_response(ms(3_000), Response::Register(Arc::new(register(4))));
    assert_eq!(machine.view().register.revision, 2);
    machine.handle_response(ms(3_000), Response::Snapshot(Arc::new(register(5))));
    assert_eq!(machine.view().register.revision, 5);
}

/// Guards against a joining process that serves from the platform's register before its peers have
/// reported their revision.
#[test]
fn joining_process_waits_for_peers_before_it_uses_the_platform() {
    println!("seed {SEED}");
    let config = Config {
        me: member("me", 1),
        seeds: vec![member("peer", 2).peer],
    };
    let mut machine = Machine::new(config, SEED);
    run_ticks(&mut machine, 0, 100);
    machine.handle_response(ms(150), Response::Register(Arc::new(register(4))));
    run_ticks(&mut machine, 200, 1_900);
    assert_eq!(machine.view().register.revision, 0);
    run_ticks(&mut machine, 2_000, 2_100);
    assert_eq!(
        machine.view().register.revision,
        4,
        "no peer answered for 2 s"
    );
}

/// Guards against readers whose watches return the same invalid register repeatedly, which delays
/// the next register.
#[test]
fn watch_waits_above_an_invalid_revision() {
    let (mut machine, _) = joined_machine();
    let invalid = Response::Invalid {
        revision: 7,
        reason: "line 1: unknown zone; declare it".into(),
    };
    machine.handle_response(ms(3_000), invalid);
    let actions = run_ticks(&mut machine, 3_100, 5_000);
    let watch = Action::WatchRegister { above: 7 };
    assert!(actions.contains(&watch), "{actions:?}");
}

/// Guards against declaring a suspect dead because this process paused and could not receive the
/// refutation.
#[test]
fn pause_restarts_the_timeouts_of_suspects() {
    let (mut machine, peer) = joined_machine();
    let suspect = Member {
        state: State::Suspect,
        ..peer.clone()
    };
    let members = vec![suspect];
    machine.receive(ms(3_000), "other", peer.peer, Message::Members { members });
    run_ticks(&mut machine, 9_000, 11_500);
    assert!(machine.view().member("peer").is_some());
    run_ticks(&mut machine, 11_600, 12_500);
    assert!(machine.view().member("peer").is_none(), "no refutation");
}

/// Guards against an old entry of another process that brings back a dead member.
#[test]
fn tombstone_rejects_older_entries() {
    let (mut machine, peer) = joined_machine();
    let state = State::Dead;
    let members = vec![Member {
        state,
        ..peer.clone()
    }];
    machine.receive(ms(3_000), "other", peer.peer, Message::Members { members });
    assert!(machine.view().member("peer").is_none());
    run_ticks(&mut machine, 3_100, 60_000);
    let members = vec![peer.clone()];
    machine.receive(ms(60_000), "other", peer.peer, Message::Members { members });
    assert!(machine.view().member("peer").is_none());
}

/// Guards against a zone taken out of service whose push waits behind an earlier change, and
/// against pushing each change of a burst separately.
#[test]
fn zone_out_is_pushed_immediately_and_other_changes_are_batched() {
    let (mut machine, _) = joined_machine();
    let mut pushed_priorities = |time: u64, revision: u64, out: bool| {
        let mut register = register(revision);
        register.zones.push(model::Zone {
            name: "zone-1".into(),
            region: "".into(),
            out,
        });
        machine.handle_response(ms(time), Response::Register(Arc::new(register)));
        let pushes = std::iter::from_fn(|| machine.poll()).filter_map(|action| match action {
            Action::Send {
                priority,
                message: Message::Delta(_) | Message::Revision { .. },
                ..
            } => Some(priority),
            _ => None,
        });
        pushes.collect::<Vec<_>>()
    };
    assert_eq!(
        pushed_priorities(3_100, 3, false),
        [Priority::Configuration]
    );
    assert_eq!(
        pushed_priorities(3_200, 4, false),
        [],
        "pushed with the next one"
    );
    assert_eq!(pushed_priorities(3_300, 5, true), [Priority::ZoneOut]);
    assert_eq!(
        pushed_priorities(3_400, 6, false),
        [Priority::ZoneOut],
        "zone returns"
    );
    assert_eq!(pushed_priorities(3_500, 7, false), []);
}

/// Returns the peer and the hashes of the member request among `actions`.
fn member_request(actions: &[Action]) -> Option<(SocketAddr, Vec<[u8; 4]>)> {
    actions.iter().find_map(|action| match action {
        Action::FetchMembers { from, held, .. } => Some((*from, held.clone())),
        _ => None,
    })
}

/// Guards against a member table that is completed only by datagrams, one per second, and against
/// transfers that never end or are answered without a limit.
#[test]
fn joining_process_requests_missing_entries() {
    let (mut machine, peer) = joined_machine();
    assert_eq!(
        member_request(&run_ticks(&mut machine, 3_100, 3_200)),
        None,
        "one at a time"
    );
    machine.handle_response(ms(3_200), Response::EntriesFailed);
    let (from, held) =
        member_request(&run_ticks(&mut machine, 3_300, 4_500)).expect("digests differ");
    assert_eq!((from, held.len()), (peer.peer, 2), "itself and the peer");
    let (mut other, _) = joined_machine();
    let members: Vec<Member> = (3..40)
        .map(|port| member(&format!("vm-{port}"), port))
        .collect();
    let entries = members.clone();
    other.receive(ms(3_100), "peer", peer.peer, Message::Entries { members });
    let (dead, gone) = (State::Dead, peer.clone());
    let members = vec![Member {
        state: dead,
        ..gone
    }];
    other.receive(ms(3_100), "other", peer.peer, Message::Entries { members });
    // Each receiver of a suspicion would declare the member dead by its own timeout.
    let members = vec![Member {
        state: State::Suspect,
        ..entries[0].clone()
    }];
    other.receive(ms(3_100), "other", peer.peer, Message::Members { members });
    let new = member("new", 50);
    let answer = other.transfer_members(ms(3_200), &new, &held).unwrap();
    assert!(other.view().member("new").is_some(), "sender not merged");
    assert!(entries.iter().all(|entry| answer.contains(entry)));
    assert!(
        !answer.iter().any(|entry| &*entry.name == "me"),
        "already held"
    );
    // The answer reports the death of a member that the sender holds as live.
    assert!(answer.iter().any(|entry| entry.state == dead));
    machine.handle_response(ms(4_600), Response::Entries(answer));
    assert_eq!(machine.view().members.len(), 1 + entries.len() + 1);
    let actions = run_ticks(&mut machine, 4_700, 6_500);
    let (_, held) = member_request(&actions).expect("many entries were new");
    assert_eq!(held.len(), entries.len() + 2);
    let answers = (0..100).map_while(|_| other.transfer_members(ms(3_300), &new, &held));
    assert!(answers.count() < 10, "answers in one second are bounded");
}
