//! Benchmarks of packet decisions and of opening flows, with stateless hashing as baseline.

use std::{
    collections::HashMap,
    hint::black_box,
    sync::Arc,
    time::Duration, //
};

use criterion::{
    BenchmarkGroup,
    Criterion,
    Throughput,
    criterion_group,
    criterion_main,
    measurement::WallTime, //
};
use mulberrynotch_benches::{
    flows,
    input, //
};
use mulberrynotch_policy::{
    flow,
    preference,
    view, //
};
use mulberrynotch_register::id;
use mulberrynotch_wire::{
    data,
    flow as wire, //
};

const SIZES: [usize; 2] = [14, 4];
const FLOWS: usize = 100_000;
const ZONES: usize = 3;

/// Number of concurrently open flows in the benchmark that opens and closes flows.
const OPEN_FLOWS: usize = 100_000;

/// Machine time between the openings of two flows.
const OPEN_INTERVAL: Duration = Duration::from_micros(100);

fn view(balancers: usize) -> Arc<view::View> {
    let register = Arc::new(input::register(&SIZES, ZONES));
    Arc::new(input::view(&register, &input::members(balancers, ZONES)))
}

fn flows_to_service(service: usize) -> impl Iterator<Item = wire::Flow> {
    (0..FLOWS).map(move |index| input::flow(service, index))
}

/// Benchmarks `decide` with one flow per iteration, in turn.
fn bench_each(
    group: &mut BenchmarkGroup<'_, WallTime>,
    name: &str,
    flows: &[wire::Flow],
    mut decide: impl FnMut(&wire::Flow),
) {
    let mut next = 0;
    group.bench_function(name, |b| {
        b.iter(|| {
            decide(&flows[next]);
            next = (next + 1) % flows.len();
        });
    });
}

fn baselines(group: &mut BenchmarkGroup<'_, WallTime>, service: usize) {
    let view = view(1);
    let flows: Vec<wire::Flow> = flows_to_service(service).collect();
    let id = view.register.services[service].id();
    let targets: Vec<id::Target> = view
        .candidates(id)
        .iter()
        .map(|(target, _)| *target)
        .collect();
    bench_each(group, "baseline modulo hashing", &flows, |flow| {
        let index = usize::try_from(flow::key(id, black_box(flow))).unwrap() % targets.len();
        black_box(targets[index]);
    });
    bench_each(group, "baseline rendezvous hashing", &flows, |flow| {
        black_box(preference::first(&view, id, flow::key(id, black_box(flow))));
    });
}

fn decisions(c: &mut Criterion) {
    for (service, size) in SIZES.iter().enumerate() {
        let mut group = c.benchmark_group(format!("decision, {size} targets"));
        baselines(&mut group, service);
        let alone = view(1);
        let mut machine = flows::machine(&alone);
        let served = flows::serve(&mut machine, &alone, flows_to_service(service));
        bench_each(&mut group, "arrive as owner", &served, |flow| {
            black_box(machine.arrive(flows::START, flow.caller, flow.address));
        });
        let shared = view(9);
        let others =
            flows_to_service(service).filter(|flow| !shared.owns(flows::first(&shared, flow)));
        let others: Vec<wire::Flow> = others.collect();
        let mut machine = flows::machine(&shared);
        bench_each(&mut group, "arrive and forward", &others, |flow| {
            black_box(machine.arrive(flows::START, flow.caller, flow.address));
        });
        let hinted = flows::add_hints(&mut machine, &shared, flows_to_service(service));
        bench_each(&mut group, "arrive with hint", &hinted, |flow| {
            black_box(machine.arrive(flows::START, flow.caller, flow.address));
        });
        let mut machine = flows::machine(&alone);
        let served = flows::serve(&mut machine, &alone, flows_to_service(service));
        bench_each(&mut group, "forwarded by rank", &served, |flow| {
            let target = flows::first(&alone, flow);
            let header = flows::header(&alone, flow, target, data::Choice::Rank(0));
            black_box(machine.forwarded(flows::START, "vm-1", &header));
        });
        let shared = view(3);
        let mut machine = flows::machine(&shared);
        let redirected = flows::add_redirects(&mut machine, &shared, flows_to_service(service));
        bench_each(&mut group, "arrive with redirect", &redirected, |flow| {
            black_box(machine.arrive(flows::START, flow.caller, flow.address));
            flows::discard_actions(&mut machine);
        });
        group.finish();
    }
}

/// Benchmarks opening, answering and closing flows in one machine, with a tick every 1,000 flows.
fn opening(c: &mut Criterion) {
    let mut group = c.benchmark_group("flow from open to close");
    group.throughput(Throughput::Elements(1));
    let view = view(1);
    let mut table: HashMap<wire::Flow, id::Target> = HashMap::new();
    let id = view.register.services[0].id();
    let mut next = 0;
    group.bench_function("baseline hash map", |b| {
        b.iter(|| {
            let flow = input::flow(0, next);
            let target = preference::first(&view, id, flow::key(id, &flow)).unwrap();
            table.insert(flow, target);
            if next >= OPEN_FLOWS {
                table.remove(&input::flow(0, next - OPEN_FLOWS));
            }
            next += 1;
        });
    });
    let mut machine = flows::machine(&view);
    // Targets become warm after enough answered flows in each round. Refused flows stay in the
    // table for some time, so each round opens only few more flows than the targets accept.
    let mut now = flows::START;
    let mut warmup_index = 10_000_000;
    for round in 0..16 {
        now += Duration::from_secs(1);
        machine.tick(now);
        for _ in 0..(28_usize << round).min(60_000) {
            warmup_index += 1;
            let flow = input::flow(0, warmup_index);
            if let Some(target) = flows::open(&mut machine, now, &flow) {
                machine.closed(now, target, &flow);
            }
        }
        flows::discard_actions(&mut machine);
    }
    let mut next = 0;
    let mut refused = 0_usize;
    let mut targets = vec![None; OPEN_FLOWS];
    group.bench_function("machine", |b| {
        b.iter(|| {
            now += OPEN_INTERVAL;
            let flow = input::flow(0, next);
            if let Some(target) = targets[next % OPEN_FLOWS] {
                machine.closed(now, target, &input::flow(0, next - OPEN_FLOWS));
            }
            targets[next % OPEN_FLOWS] = flows::open(&mut machine, now, &flow);
            refused += usize::from(targets[next % OPEN_FLOWS].is_none());
            next += 1;
            if next.is_multiple_of(1_000) {
                machine.tick(now);
                flows::discard_actions(&mut machine);
            }
        });
    });
    assert!(refused * 100 < next, "{refused} of {next} flows refused");
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = decisions, opening
}
criterion_main!(benches);
