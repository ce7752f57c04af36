//! Propagation of records from the reader of a zone to its peers.

mod fixture;

use fixture::{
    at,
    configuration,
    entry,
    fleet::Fleet,
    removal,
    rev,
    route,
    target, //
};
use mulberrynotch_steer::{
    catalog,
    message,
    patch,
    record,
    revision, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const SEED: u64 = 20_261_204;

/// Limit of the control traffic that a balancer sends, in bytes per second.
const MAX_CONTROL_BYTES_PER_SECOND: usize = 2_048;

/// Bandwidth of the slowest link, 10 Mbit/s, in bytes per second.
const MIN_LINK_BYTES_PER_SECOND: usize = 1_250_000;

/// Guards against a change that waits for the next watch, or is lost on the way to the peers.
#[test]
fn a_change_reaches_every_balancer_within_half_a_second() {
    let mut fleet = Fleet::new(8);
    fleet.run(3_000);
    fleet.publish(configuration(9, 50, &[route()]));
    fleet.run(500);
    assert_eq!(fleet.versions(), vec![9; 8]);
}

/// Guards against peers that fetch all records from the reader when many targets change at once.
#[test]
fn many_changes_at_once_reach_the_peers_without_a_fetch() {
    let mut fleet = Fleet::new(4);
    fleet.run(3_000);
    fleet.pulls = 0;
    for id in 100..160 {
        fleet.publish(target(id, id, entry("a")));
    }
    fleet.publish(configuration(
        9,
        200,
        &[route(), fixture::address(201, 443)],
    ));
    fleet.run(300);
    assert_eq!(fleet.versions(), vec![9; 4]);
    assert!(
        fleet
            .machines
            .values()
            .all(|it| it.catalog().targets().count() == 61)
    );
    assert_eq!(fleet.pulls, 0);
}

/// Guards against a version that decreases, or a drained target that gets a new flow, for any order
/// of two changes at two processes. All interleavings are tested.
#[test]
fn no_order_of_changes_reverts_a_process() {
    let mut draining = entry("a");
    draining.draining = true;
    let steps = [
        configuration(2, 10, &[route()]),
        configuration(3, 11, &[route()]),
        target(7, 12, draining),
        removal(record::Key::Target(record::Id(7)), 13),
        target(7, 14, entry("a")),
    ];
    for order in orders(steps.len()) {
        let mut catalog = catalog::Catalog::default();
        let base = vec![configuration(1, 1, &[route()]), target(7, 2, entry("a"))];
        catalog.replace(at(0), rev(5), base);
        let (mut version, mut revision) = (1, rev(2));
        for step in &order {
            let record = steps[*step].clone();
            catalog.apply_changes(at(10), rev(5), record.write.at, vec![record]);
            let now_version = catalog.configuration().version;
            let now_revision = catalog.target(record::Id(7)).unwrap().write.at;
            assert!(
                now_version >= version && now_revision >= revision,
                "{order:?}"
            );
            (version, revision) = (now_version, now_revision);
        }
        assert_eq!((version, revision), (3, rev(14)), "{order:?}");
        let available = catalog
            .targets_of("feed")
            .filter(|it| catalog.exclusion(at(20), it).is_none());
        assert_eq!(available.count(), 1, "{order:?}");
    }
}

/// Guards against a target that is gone for a process that has just read the store, and that returns
/// with the answer of a peer that lags behind.
#[test]
fn a_peer_that_lags_behind_brings_nothing_back() {
    let mut fleet = Fleet::new(1);
    fleet.run(100);
    let now = fleet.now;
    let machine = fleet.machines.values_mut().next().unwrap();
    let complete_since = machine.catalog().complete_since();
    let as_of = revision::Revision {
        number: 1,
        ..complete_since
    };
    let gone = target(9, 1, entry("a"));
    let pulled = message::Pulled {
        complete: true,
        changes: message::Changes {
            since: revision::Revision::START,
            as_of,
            records: vec![gone],
            patch: None,
        },
        removal_history: Some(message::RemovalHistory {
            complete_since: revision::Revision::START,
            length_ms: 10_000,
        }),
        confirmed_ms: 0,
    };
    machine.pulled(now, fixture::address(2, 7_000), now, pulled);
    assert!(machine.catalog().target(record::Id(9)).is_none());
    let unknown = "removals between both are unknown";
    assert_eq!(
        machine.catalog().complete_since(),
        complete_since,
        "{unknown}"
    );
}

fn orders(count: usize) -> Vec<Vec<usize>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let shorter = orders(count - 1);
    let longer = shorter.iter().flat_map(|order| {
        (0..count).map(move |position| {
            let mut order = order.clone();
            order.insert(position, count - 1);
            order
        })
    });
    longer.collect()
}

/// Guards against catalogs that differ after a fetch.
#[test]
fn a_fetch_from_a_peer_gives_what_the_peer_has() {
    fn holds(changes: Vec<(u8, bool)>, known: u8) -> bool {
        let mut peer = catalog::Catalog::default();
        peer.replace(at(0), rev(1), vec![configuration(1, 1, &[route()])]);
        let mut behind = catalog::Catalog::default();
        behind.replace(at(0), rev(1), vec![configuration(1, 1, &[route()])]);
        for (step, (id, present)) in changes.into_iter().enumerate() {
            let revision = 2 + u64::try_from(step).unwrap();
            let record = if present {
                target(u64::from(id % 6), revision, entry("a"))
            } else {
                removal(record::Key::Target(record::Id(u64::from(id % 6))), revision)
            };
            peer.apply_changes(
                at(1),
                rev(revision - 1),
                rev(revision),
                vec![record.clone()],
            );
            if step < usize::from(known) {
                behind.apply_changes(at(1), rev(revision - 1), rev(revision), vec![record]);
            }
        }
        let since = behind.as_of();
        behind.apply_changes(at(2), since, peer.as_of(), peer.records_since(at(2), since));
        let states = |catalog: &catalog::Catalog| {
            let states = (0..6).map(|id| catalog.target(record::Id(id)).map(|it| it.state(at(3))));
            states.collect::<Vec<_>>()
        };
        behind.as_of() == peer.as_of() && states(&behind) == states(&peer)
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, bool)>, u8) -> bool);
}

/// Guards against a configuration that differs from the published one after a patch.
#[test]
fn a_patch_leads_from_one_configuration_to_the_next() {
    fn holds(before: Vec<u8>, after: Vec<u8>) -> bool {
        let make = |version, ports: &[u8]| {
            let mut ports = ports.to_vec();
            ports.sort_unstable();
            ports.dedup();
            let routes: Vec<_> = ports
                .iter()
                .map(|it| fixture::address(200, (*it).into()))
                .collect();
            match configuration(version, 1, &routes).body {
                Some(record::Body::Configuration(made)) => made,
                _ => unreachable!("a configuration"),
            }
        };
        let (base, next) = (make(3, &before), make(5, &after));
        let patch = patch::Patch::between(&base, &next, Default::default());
        let other = make(4, &before);
        patch.apply(&base).as_ref() == Some(&*next) && patch.apply(&other).is_none()
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against messages that crash a process.
#[test]
fn random_messages_are_refused_or_merged() {
    fn holds(bytes: Vec<u8>) -> bool {
        let mut machine = fixture::machine(vec![target(7, 2, entry("a"))]);
        if let Ok(message) = postcard::from_bytes::<message::Message>(&bytes) {
            machine.receive(at(10), fixture::address(2, 7_000), message);
        }
        if let Ok(pulled) = postcard::from_bytes::<message::Pulled>(&bytes) {
            machine.pulled(at(10), fixture::address(2, 7_000), at(9), pulled);
        }
        machine.tick(at(20));
        true
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// Guards against live members that count as dead in a large zone, where heartbeats mention each
/// member rarely: they get no changes, and several of them act as the first reader.
#[test]
fn balancers_of_a_large_zone_know_each_other() {
    let mut fleet = Fleet::new(100);
    fleet.run(10_000);
    for _ in 0..5 {
        fleet.sent.clear();
        fleet.run(2_000);
        let known = fleet.machines.values();
        let known = known.map(|it| it.fleet().freshest(fleet.now).len());
        let least = known.min().unwrap();
        assert!(least >= 90, "a balancer knows {least} of 99");
        let sent: usize = fleet.sent.values().sum();
        let per_second = sent / fleet.machines.len() / 2;
        assert!(
            per_second < MAX_CONTROL_BYTES_PER_SECOND,
            "{per_second} bytes per second"
        );
    }
}

/// Guards against a reader whose link is saturated when everything changes in a large zone, so that
/// changes are late at most of its peers.
#[test]
fn no_balancer_of_a_large_zone_sends_more_than_a_thin_link_bears() {
    let mut fleet = Fleet::new(100);
    fleet.run(5_000);
    fleet.sent.clear();
    for id in 100..3_100 {
        fleet.publish(target(id, id, entry("a")));
    }
    let routes: Vec<_> = (1..500).map(|port| fixture::address(201, port)).collect();
    fleet.publish(configuration(9, 4_000, &routes));
    fleet.run(1_000);
    let busiest = fleet.sent.values().max().copied().unwrap();
    assert!(
        busiest <= MIN_LINK_BYTES_PER_SECOND,
        "{busiest} bytes from one balancer"
    );
    let behind = fleet
        .machines
        .values()
        .filter(|it| it.catalog().as_of().number < 4_000);
    assert_eq!(behind.count(), 0, "balancers that lack changes after 1 s");
}
