//! Decisions of a single control machine on individual messages.

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
        Platform, //
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

/// Runs the ticks from `from` to `to`, in milliseconds, and returns the actions.
fn run(machine: &mut Machine, from: u64, to: u64) -> Vec<Action> {
    let mut actions = Vec::new();
    for time in (from..=to).step_by(100) {
        machine.tick(ms(time));
        actions.extend(std::iter::from_fn(|| machine.poll()));
    }
    actions
}

/// Returns a machine at 3 s that has joined alone with revision 2, and a peer with the same
/// revision.
fn joined() -> (Machine, Member) {
    println!("seed {SEED}");
    let (me, peer) = (member("me", 1), member("peer", 2));
    let config = Config {
        me,
        seeds: Vec::new(),
    };
    let mut machine = Machine::new(config, SEED);
    run(&mut machine, 0, 2_500);
    machine.platform(ms(2_500), Platform::Register(Arc::new(register(2))));
    let ping = Message::Ping {
        sequence: 1,
        sender: peer.clone(),
        summary: Summary {
            version: delta::version(&register(2)),
            members_digest: 0,
            platform_age: 0,
        },
        updates: Vec::new(),
    };
    machine.receive(ms(2_900), "peer", peer.peer, ping);
    run(&mut machine, 3_000, 3_000);
    assert_eq!(machine.view().register.revision, 2);
    assert!(machine.view().confirmed && machine.view().member("peer").is_some());
    (machine, peer)
}

fn nonce(actions: &[Action]) -> u64 {
    let nonces = actions.iter().filter_map(|action| match action {
        Action::Send {
            message: Message::Confirm { nonce, .. },
            ..
        } => Some(*nonce),
        _ => None,
    });
    nonces
        .reduce(|_, nonce| nonce)
        .expect("asks for a confirmation")
}

/// Guards against confirming the view of a resumed process by a peer with another version, or by an
/// answer to a request from before the pause.
#[test]
fn only_a_fresh_answer_with_the_same_version_confirms() {
    let (mut machine, peer) = joined();
    machine.resumed(ms(3_100), ms(2_000));
    let old = nonce(&run(&mut machine, 3_100, 3_100));
    machine.resumed(ms(3_200), ms(2_000));
    let fresh = nonce(&run(&mut machine, 3_200, 3_200));
    let held = delta::version(&register(2));
    let behind = delta::version(&register(1));
    let other = Version {
        digest: held.digest + 1,
        ..held
    };
    for (nonce, version) in [(old, held), (fresh, behind), (fresh, other)] {
        let answer = Message::Confirmed { nonce, version };
        machine.receive(ms(3_300), "peer", peer.peer, answer);
        assert!(!machine.view().confirmed, "{version:?}");
    }
    let nonce = fresh;
    let answer = Message::Confirmed {
        nonce,
        version: held,
    };
    machine.receive(ms(3_300), "peer", peer.peer, answer);
    assert!(machine.view().confirmed);
}

/// Guards against missing a pause that shows only in the time of the next input.
#[test]
fn pause_is_detected_from_the_time_of_the_next_input() {
    let (mut machine, peer) = joined();
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
    assert_eq!(answers.count(), 0, "confirmed a view that is in doubt");
}

/// Guards against using a register between the revision in effect and the highest one seen.
#[test]
fn register_below_the_highest_revision_seen_is_not_used() {
    let (mut machine, peer) = joined();
    let version = delta::version(&register(5));
    machine.receive(ms(3_000), "peer", peer.peer, Message::Revision { version });
    machine.platform(ms(3_000), Platform::Register(Arc::new(register(4))));
    assert_eq!(machine.view().register.revision, 2);
    machine.platform(ms(3_000), Platform::Snapshot(Arc::new(register(5))));
    assert_eq!(machine.view().register.revision, 5);
}

/// Guards against a joining process that uses the register of the platform before its peers have
/// reported their revisions.
#[test]
fn joining_process_waits_for_its_peers_before_it_uses_the_platform() {
    println!("seed {SEED}");
    let config = Config {
        me: member("me", 1),
        seeds: vec![member("peer", 2).peer],
    };
    let mut machine = Machine::new(config, SEED);
    run(&mut machine, 0, 100);
    machine.platform(ms(150), Platform::Register(Arc::new(register(4))));
    run(&mut machine, 200, 1_900);
    assert_eq!(machine.view().register.revision, 0);
    run(&mut machine, 2_000, 2_100);
    assert_eq!(
        machine.view().register.revision,
        4,
        "nobody answered for 2 s"
    );
}

/// Guards against readers that receive the same invalid register repeatedly, which would delay the
/// next valid one.
#[test]
fn watch_waits_above_an_invalid_revision() {
    let (mut machine, _) = joined();
    let invalid = Platform::Invalid {
        revision: 7,
        reason: "line 1: unknown zone; declare it".into(),
    };
    machine.platform(ms(3_000), invalid);
    let actions = run(&mut machine, 3_100, 5_000);
    let watch = Action::WatchRegister { above: 7 };
    assert!(actions.contains(&watch), "{actions:?}");
}

/// Guards against declaring a suspect dead because this process itself was paused.
#[test]
fn pause_restarts_the_suspicion_timeouts() {
    let (mut machine, peer) = joined();
    let suspect = Member {
        state: State::Suspect,
        ..peer.clone()
    };
    let members = vec![suspect];
    machine.receive(ms(3_000), "other", peer.peer, Message::Members { members });
    run(&mut machine, 9_000, 11_500);
    assert!(machine.view().member("peer").is_some());
    run(&mut machine, 11_600, 12_500);
    assert!(machine.view().member("peer").is_none(), "it never refuted");
}

/// Guards against a dead member that returns through an old entry of another process.
#[test]
fn tombstone_keeps_a_dead_member_out() {
    let (mut machine, peer) = joined();
    let state = State::Dead;
    let members = vec![Member {
        state,
        ..peer.clone()
    }];
    machine.receive(ms(3_000), "other", peer.peer, Message::Members { members });
    assert!(machine.view().member("peer").is_none());
    run(&mut machine, 3_100, 60_000);
    let members = vec![peer.clone()];
    machine.receive(ms(60_000), "other", peer.peer, Message::Members { members });
    assert!(machine.view().member("peer").is_none());
}

/// Guards against a zone going out of service that waits behind an earlier change, and against
/// pushing each change of a burst separately.
#[test]
fn zone_out_is_pushed_at_once_and_other_bursts_as_one() {
    let (mut machine, _) = joined();
    let mut pushed = |time: u64, revision: u64, out: bool| {
        let mut register = register(revision);
        register.zones.push(model::Zone {
            name: "zone-1".into(),
            region: "".into(),
            out,
        });
        machine.platform(ms(time), Platform::Register(Arc::new(register)));
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
    assert_eq!(pushed(3_100, 3, false), [Priority::Configuration]);
    assert_eq!(pushed(3_200, 4, false), [], "pushed with the next one");
    assert_eq!(pushed(3_300, 5, true), [Priority::ZoneOut]);
    assert_eq!(pushed(3_400, 6, false), [Priority::ZoneOut], "returns");
    assert_eq!(pushed(3_500, 7, false), []);
}

/// Returns the request for member entries among `actions`.
fn member_request(actions: &[Action]) -> Option<(SocketAddr, Vec<[u8; 4]>)> {
    actions.iter().find_map(|action| match action {
        Action::FetchMembers { from, held, .. } => Some((*from, held.clone())),
        _ => None,
    })
}

/// Guards against a member table that is only completed by one datagram per second, against
/// transfers that never end, and against unbounded answers to transfers.
#[test]
fn joining_process_requests_missing_entries() {
    let (mut machine, peer) = joined();
    assert_eq!(
        member_request(&run(&mut machine, 3_100, 3_200)),
        None,
        "one at a time"
    );
    machine.platform(ms(3_200), Platform::EntriesFailed);
    let (from, held) =
        member_request(&run(&mut machine, 3_300, 4_500)).expect("the digests differ");
    assert_eq!(
        (from, held.len()),
        (peer.peer, 2),
        "its own entry and the peer's"
    );
    let (mut other, _) = joined();
    let members: Vec<Member> = (3..40)
        .map(|port| member(&format!("vm-{port}"), port))
        .collect();
    let entries = members.clone();
    other.receive(ms(3_100), "peer", peer.peer, Message::Entries { members });
    let (dead, entry) = (State::Dead, peer.clone());
    let members = vec![Member {
        state: dead,
        ..entry
    }];
    other.receive(ms(3_100), "other", peer.peer, Message::Entries { members });
    // Suspicions are not transferred: each receiver would declare the member dead by its own timer.
    let members = vec![Member {
        state: State::Suspect,
        ..entries[0].clone()
    }];
    other.receive(ms(3_100), "other", peer.peer, Message::Members { members });
    let new = member("new", 50);
    let answer = other.transfer_members(ms(3_200), &new, &held).unwrap();
    assert!(other.view().member("new").is_some(), "the sender is added");
    assert!(entries.iter().all(|entry| answer.contains(entry)));
    assert!(!answer.iter().any(|entry| &*entry.name == "me"), "held");
    // A dead member is transferred only if the requesting process still has it as live.
    assert!(answer.iter().any(|entry| entry.state == dead));
    machine.platform(ms(4_600), Platform::Entries(answer));
    assert_eq!(machine.view().members.len(), 1 + entries.len() + 1);
    let actions = run(&mut machine, 4_700, 6_500);
    let (_, held) = member_request(&actions).expect("many were new");
    assert_eq!(held.len(), entries.len() + 2);
    let most = (0..100).map_while(|_| other.transfer_members(ms(3_300), &new, &held));
    assert!(most.count() < 10, "answers in one second are bounded");
}
