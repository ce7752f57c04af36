//! Benchmarks of the control machine, the ownership assignment and the view, by fleet size.

use std::{
    hint::black_box,
    sync::Arc,
    time::Duration, //
};

use criterion::{
    Criterion,
    criterion_group,
    criterion_main, //
};
use mulberrynotch_benches::{
    input,
    peers, //
};
use mulberrynotch_policy::{
    ownership,
    rendezvous, //
};
use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::control;

/// Numbers of members, zones, targets and services.
const FLEETS: [(usize, usize, usize, usize); 3] =
    [(9, 3, 18, 2), (100, 11, 800, 100), (860, 11, 6_900, 880)];

fn heartbeats(c: &mut Criterion) {
    let mut group = c.benchmark_group("control");
    for (members, zones, targets, services) in FLEETS {
        let register = Arc::new(input::register(
            &input::even_sizes(targets, services),
            zones,
        ));
        let members = input::members(members, zones);
        let count = members.len();
        let mut peers = peers::Peers::new(members, register, Duration::from_secs(20));
        let ping = peers.ping(1);
        group.bench_function(format!("ping, {count} members"), |b| {
            b.iter(|| peers.receive(1, black_box(ping.clone())));
        });
        let pings: Vec<control::Message> = (1..count).map(|index| peers.ping(index)).collect();
        group.bench_function(
            format!("baseline one ping of each peer, {count} members"),
            |b| {
                b.iter(|| {
                    for (index, ping) in pings.iter().enumerate() {
                        peers.receive(index + 1, black_box(ping.clone()));
                    }
                });
            },
        );
        group.bench_function(format!("tick with answers, {count} members"), |b| {
            b.iter(|| peers.step());
        });
    }
    group.finish();
}

/// Baseline of the assignment: plain rendezvous hashing over all members, without zones, load bound
/// and backups.
fn rendezvous_owners(
    register: &model::Register,
    members: &[control::Member],
) -> Vec<(id::Target, usize)> {
    let names: Vec<u64> = members
        .iter()
        .map(|m| rendezvous::hash_name(&m.name))
        .collect();
    let mut owners = Vec::new();
    for service in &register.services {
        let id = service.id();
        for target in service.targets.iter().map(|target| target.id(id)) {
            let heaviest =
                (0..names.len()).max_by_key(|&at| rendezvous::weight(target.0, names[at]));
            owners.extend(heaviest.map(|owner| (target, owner)));
        }
    }
    owners
}

fn views(c: &mut Criterion) {
    let mut group = c.benchmark_group("view");
    for (members, zones, targets, services) in FLEETS {
        let register = Arc::new(input::register(
            &input::even_sizes(targets, services),
            zones,
        ));
        let members = input::members(members, zones);
        let size = format!("{} balancers, {targets} targets", members.len());
        group.bench_function(format!("baseline unbounded assignment, {size}"), |b| {
            b.iter(|| rendezvous_owners(black_box(&register), &members));
        });
        group.bench_function(format!("assignment, {size}"), |b| {
            b.iter(|| ownership::Assignment::new(black_box(&register), &members));
        });
        group.bench_function(format!("View::new, {size}"), |b| {
            b.iter(|| input::view(black_box(&register), &members));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = heartbeats, views
}
criterion_main!(benches);
