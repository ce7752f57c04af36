//! Benchmarks of the steering machine: opening a flow, forwarding a packet, a tick and a target
//! change, by number of targets, with rendezvous hashing as baseline.

use std::{
    hint::black_box,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration, //
};

use criterion::{
    Criterion,
    criterion_group,
    criterion_main, //
};
use mulberrynotch_policy::rendezvous;
use mulberrynotch_steer::{
    cookie,
    machine,
    message,
    packet,
    record,
    revision, //
};

/// Numbers of targets and services.
const SITES: [(u64, u64); 3] = [(18, 2), (150, 2), (6_900, 880)];

const START: Duration = Duration::from_secs(3_600);

fn address(number: u64) -> SocketAddrV4 {
    let number = u32::try_from(number).unwrap_or(0);
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + number), 443)
}

fn service(number: u64) -> Arc<str> {
    Arc::from(format!("service-{number}"))
}

fn at(number: u64) -> revision::Revision {
    revision::Revision { era: 1, number }
}

fn target(id: u64, services: u64, revision: u64) -> record::Record {
    let target = record::Target {
        service: service(id % services),
        address: address(id),
        zone: Arc::from(format!("zone-{}", id % 11)),
        slots: 2,
        draining: false,
        cold_ms: 0,
        started_ms: 1,
    };
    record::Record {
        key: record::Key::Target(record::Id(id)),
        write: revision::Write::dated(at(revision)),
        body: Some(record::Body::Target(target)),
        removed_ms: None,
        unconfirmed_ms: None,
    }
}

fn configuration(services: u64) -> record::Record {
    let routes = (0..services).map(|number| record::Route {
        address: address(1_000_000 + number),
        shares: vec![record::Share {
            service: service(number),
            weight: 1,
        }],
    });
    let configuration = record::Configuration {
        version: 1,
        routes: routes.collect(),
        services: Vec::new(),
        idle_ms: 15_000,
    };
    record::Record {
        key: record::Key::Configuration,
        write: revision::Write::dated(at(1)),
        body: Some(record::Body::Configuration(Arc::new(configuration))),
        removed_ms: None,
        unconfirmed_ms: None,
    }
}

fn machine(targets: u64, services: u64) -> machine::Machine {
    let member = message::Member {
        address: address(0),
        zone: Arc::from("zone-0"),
        incarnation: 1,
        link_mbps: 1_000,
        silent_ms: 0,
    };
    let mut machine = machine::Machine::new(member, Vec::new(), 1);
    machine.tick(START);
    let mut records = vec![configuration(services)];
    records.extend((1..=targets).map(|id| target(id, services, id)));
    machine.listed(START, at(10_000), records);
    machine.take_actions();
    machine
}

fn packet(open: bool, target: u64, number: u32) -> packet::Packet {
    packet::Packet {
        flow: packet::Flow {
            client: SocketAddrV4::new(Ipv4Addr::from_bits(0x6440_0000 + number), 4_000),
            route: address(1_000_000),
        },
        flags: packet::Flags {
            open,
            ack: !open,
            finish: false,
            reset: false,
        },
        cookie: if open {
            cookie::NONE
        } else {
            cookie::of(target)
        },
        sequence: 0,
        acknowledged: 0,
        length: 0,
    }
}

fn steering(c: &mut Criterion) {
    let mut group = c.benchmark_group("steer");
    for (targets, services) in SITES {
        let mut machine = machine(targets, services);
        let mut number = 0;
        group.bench_function(format!("open, {targets} targets"), |b| {
            b.iter(|| {
                // A known flow would skip the selection of a target.
                number = (number + 1) % (1 << 22);
                let verdict = machine.packet(START, &packet(true, 0, number));
                machine.take_actions();
                black_box(verdict)
            });
        });
        group.bench_function(format!("carry, {targets} targets"), |b| {
            b.iter(|| {
                number = (number + 1) % 10_000;
                black_box(machine.packet(START, &packet(false, 7, number)))
            });
        });
        group.bench_function(format!("tick, {targets} targets"), |b| {
            b.iter(|| {
                machine.tick(START);
                machine.take_actions()
            });
        });
        let mut revision = 10_000;
        group.bench_function(format!("change of a target, {targets} targets"), |b| {
            b.iter(|| {
                revision += 1;
                let changed = vec![target(3, services, revision)];
                let [before, after] = [revision - 1, revision].map(at);
                machine.watched(START, before, after, changed);
                machine.take_actions()
            });
        });
        group.bench_function(format!("baseline rendezvous, {targets} targets"), |b| {
            let size = targets / services;
            b.iter(|| (0..size).max_by_key(|id| rendezvous::weight(black_box(number.into()), *id)));
        });
    }
    group.finish();
}

criterion_group!(benches, steering);
criterion_main!(benches);
