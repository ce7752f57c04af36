//! Benchmarks of register parsing, envelopes and frame encoding.

use std::{
    hint::black_box,
    sync::Arc,
    time::Duration, //
};

use criterion::{
    Criterion,
    Throughput,
    criterion_group,
    criterion_main, //
};
use mulberrynotch_benches::{
    flows,
    input,
    peers, //
};
use mulberrynotch_register::parse;
use mulberrynotch_wire::{
    data,
    envelope,
    flow,
    frame, //
};

/// Number of targets whose register is about 1 MB of JSON.
const TARGETS: usize = 5_600;
const SERVICES: usize = 700;

fn parsing(c: &mut Criterion) {
    let register = input::register(&input::even_sizes(TARGETS, SERVICES), 11);
    let text = serde_json::to_string(&register).expect("the model encodes");
    println!("register of {} bytes", text.len());
    let mut group = c.benchmark_group("parse");
    group.throughput(Throughput::Bytes(text.len().try_into().unwrap()));
    group.bench_function("baseline serde_json value", |b| {
        b.iter(|| serde_json::from_str::<serde_json::Value>(black_box(&text)).unwrap());
    });
    group.bench_function("register", |b| {
        b.iter(|| parse::register(black_box(&text)).unwrap());
    });
    group.finish();
}

fn sealing(c: &mut Criterion) {
    let secret = envelope::Secret {
        id: 1,
        key: [7; 32],
    };
    let keyring = envelope::Keyring::new([secret]);
    let mut group = c.benchmark_group("envelope");
    for size in [100, 1_100] {
        let content = vec![5; size];
        let sealed = keyring.seal("vm-1", &content);
        group.bench_function(format!("baseline copy, {size} bytes"), |b| {
            b.iter(|| black_box(&content).clone());
        });
        group.bench_function(format!("seal, {size} bytes"), |b| {
            b.iter(|| keyring.seal("vm-1", black_box(&content)));
        });
        group.bench_function(format!("open, {size} bytes"), |b| {
            b.iter(|| keyring.open(black_box(&sealed)).unwrap().1.len());
        });
    }
    group.finish();
}

/// Returns the most frequent frames and a full part of a handover.
fn frames() -> Vec<(&'static str, frame::Frame)> {
    let register = Arc::new(input::register(&[14, 4], 3));
    let members = input::members(9, 3);
    let view = input::view(&register, &members);
    let flow = input::flow(0, 1);
    let target = flows::first(&view, &flow);
    let header = flows::header(&view, &flow, target, data::Choice::Rank(0));
    let ping = peers::Peers::new(members, register, Duration::from_secs(5)).ping(1);
    let handover = flow::Message::Handover {
        target,
        part: 1,
        last: false,
        load: flow::Load {
            slots: 0,
            requests: 0,
            connections: 4,
            settled: true,
        },
        flows: (0..106).map(|index| input::flow(0, index)).collect(),
        redirects: Vec::new(),
        passed: Vec::new(),
    };
    vec![
        ("data header", frame::Frame::Data(header)),
        ("ping", frame::Frame::Control(ping)),
        ("handover of 106 flows", frame::Frame::Flow(handover)),
    ]
}

fn encoding(c: &mut Criterion) {
    let mut group = c.benchmark_group("postcard");
    for (name, frame) in frames() {
        let bytes = postcard::to_stdvec(&frame).unwrap();
        println!("{name}: {} bytes", bytes.len());
        group.bench_function(format!("baseline encode as JSON, {name}"), |b| {
            b.iter(|| serde_json::to_vec(black_box(&frame)).ok());
        });
        group.bench_function(format!("encode, {name}"), |b| {
            b.iter(|| postcard::to_stdvec(black_box(&frame)).unwrap());
        });
        group.bench_function(format!("decode, {name}"), |b| {
            b.iter(|| postcard::from_bytes::<frame::Frame>(black_box(&bytes)).unwrap());
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = parsing, sealing, encoding
}
criterion_main!(benches);
