//! Entries of other writers, which name no target to use.

mod fixture;

use std::{
    collections::HashMap,
    sync::Arc, //
};

use fixture::{
    at,
    configuration,
    data,
    entry,
    forwarded,
    machine,
    opening,
    removal,
    rev,
    route,
    target, //
};
use mulberrynotch_steer::{
    catalog,
    cookie,
    machine::{
        Action,
        Event, //
    },
    record, //
};

/// Service that the configuration of the fixture does not name.
const UNNAMED: &str = "stocktaking";

/// Returns an entry of a service that the configuration does not name.
fn unnamed(id: u64, revision: u64, started_ms: u64) -> record::Record {
    let entry = record::Target {
        service: Arc::from(UNNAMED),
        started_ms,
        ..entry("a")
    };
    target(id, revision, entry)
}

/// Returns a configuration that names [`UNNAMED`] as well.
fn naming(version: u64, revision: u64) -> record::Record {
    let mut published = configuration(version, revision, &[route()]);
    if let Some(record::Body::Configuration(body)) = &mut published.body {
        Arc::make_mut(body).services.push(record::Service {
            name: Arc::from(UNNAMED),
            cold_per_second_milli: 0,
            cold_ms: 0,
        });
    }
    published
}

fn resets(actions: &[Action]) -> usize {
    let is_reset = |it: &&Action| matches!(it, Action::Reset { .. });
    actions.iter().filter(is_reset).count()
}

/// Guards against open flows of a live target that are reset because another writer's entry, of a
/// service that nobody configured, has its address.
#[test]
fn an_entry_of_an_unnamed_service_ends_no_target_at_its_address() {
    let mut machine = machine(vec![target(7, 7, entry("a"))]);
    machine.packet(at(10), &data(1, 7, 1, 1, 10));
    machine.take_actions();
    machine.watched(at(20), rev(100), rev(101), vec![unnamed(9, 101, 60)]);
    assert_eq!(resets(&machine.take_actions()), 0);
    let carried = machine.packet(at(30), &data(1, 7, 11, 1, 10));
    assert_eq!(forwarded(carried), Some(7));
    assert_eq!(forwarded(machine.packet(at(40), &opening(2, 0))), Some(7));
}

/// Guards against an address that was reused by a target of a new service, and whose earlier flows
/// are not reset because its entry came before the configuration.
#[test]
fn an_entry_takes_effect_when_the_configuration_names_its_service() {
    let mut machine = machine(vec![target(7, 7, entry("a"))]);
    machine.packet(at(10), &data(1, 7, 1, 1, 10));
    machine.watched(at(20), rev(100), rev(101), vec![unnamed(9, 101, 60)]);
    machine.take_actions();
    machine.watched(at(30), rev(101), rev(102), vec![naming(2, 102)]);
    let actions = machine.take_actions();
    assert_eq!(resets(&actions), 1);
    let is_shown = |it: &Action| {
        matches!(
            it,
            Action::Log(Event::Changed {
                change: catalog::Change::Target {
                    id: record::Id(9),
                    state: catalog::State::Ready,
                    ..
                },
                ..
            })
        )
    };
    assert!(
        actions.iter().any(is_shown),
        "the entry takes effect unseen"
    );
    let state = |id| {
        machine
            .catalog()
            .target(record::Id(id))
            .unwrap()
            .state(at(40))
    };
    assert_eq!(state(7), catalog::State::Ended);
    assert_eq!(state(9), catalog::State::Ready);
}

/// Guards against flows that lose their target when a configuration no longer names its service.
#[test]
fn a_target_keeps_its_flows_when_its_service_is_no_longer_named() {
    let mut machine = machine(vec![unnamed(9, 9, 1)]);
    machine.watched(at(10), rev(100), rev(101), vec![naming(2, 101)]);
    let later = configuration(3, 102, &[route()]);
    machine.watched(at(20), rev(101), rev(102), vec![later, unnamed(9, 102, 1)]);
    let carried = machine.packet(at(30), &data(1, 9, 1, 1, 10));
    assert_eq!(forwarded(carried), Some(9));
}

/// Guards against a live target that takes no flows because an entry of an unnamed service has the
/// same cookie.
#[test]
fn an_entry_of_an_unnamed_service_shares_no_cookie() {
    let mut seen = HashMap::new();
    let shared = (1..1_000_000).find_map(|id| {
        let other = seen.insert(cookie::of(id), id)?;
        Some((id, other))
    });
    let (id, other) = shared.expect("two identifiers with the same cookie");
    let mut machine = machine(vec![target(id, 7, entry("a")), unnamed(other, 8, 60)]);
    assert_eq!(forwarded(machine.packet(at(10), &opening(2, 0))), Some(id));
    let carried = machine.packet(at(20), &data(1, id, 1, 1, 10));
    assert_eq!(forwarded(carried), Some(id));
}

/// Guards against removed entries of unnamed services that make the removal of a target look like a
/// fault of the store, so that it stays in use.
#[test]
fn removed_entries_of_an_unnamed_service_are_no_mass_removal() {
    let others = [11, 12, 13];
    let mut entries = vec![target(7, 7, entry("a"))];
    entries.extend((20..30).map(|id| target(id, id, entry("a"))));
    entries.extend(others.map(|id| unnamed(id, id, 1)));
    let mut machine = machine(entries);
    let gone = others.into_iter().chain([7, 20]);
    let gone = gone
        .zip(101..)
        .map(|(id, at)| removal(record::Key::Target(record::Id(id)), at));
    machine.watched(at(10), rev(100), rev(105), gone.collect());
    let removed = machine.catalog().target(record::Id(7)).unwrap();
    let exclusion = machine.catalog().exclusion(at(11), removed);
    assert_eq!(exclusion, Some(catalog::Exclusion::Removed));
}
