//! Time per tick, message and view: minimum and median of several rounds.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use mulberrynotch_benches::{
    flows,
    input,
    peers, //
};
use mulberrynotch_wire::flow as wire;

const MEMBER_COUNTS: [usize; 9] = [3, 6, 9, 18, 36, 72, 144, 288, 860];
const FLOW_COUNTS: [usize; 7] = [1_000, 5_000, 13_000, 50_000, 100_000, 200_000, 400_000];

/// Numbers of targets and services of a register, and of balancers.
const FLEETS: [(usize, usize, usize); 6] = [
    (18, 2, 9),
    (72, 9, 9),
    (288, 36, 36),
    (1_152, 144, 144),
    (2_304, 288, 288),
    (6_900, 880, 860),
];

const ROUNDS: usize = 15;

/// Returns the minimum and median time of one call of `work`, in microseconds.
fn time_micros(calls: u32, mut work: impl FnMut()) -> String {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..calls {
                work();
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    format!("{:.2} / {:.2}", times[0], times[ROUNDS / 2])
}

pub(crate) fn print() {
    println!("least / median of {ROUNDS} rounds, in microseconds of wall time");
    print_by_members();
    print_by_flows();
    print_by_fleet();
}

fn print_by_members() {
    println!("| members | tick with answers | receive Ping | register |");
    println!("| --- | --- | --- | --- |");
    for count in MEMBER_COUNTS {
        // The register has eight targets for each member, as at the design scale.
        let register = input::register(&input::even_sizes(8 * count, count), 11);
        let members = input::members(count, 11);
        let mut peers = peers::Peers::new(members, Arc::new(register), Duration::from_secs(20));
        let tick = time_micros(200, || peers.step());
        let ping = peers.ping(1);
        let ping = time_micros(200, || peers.receive(1, ping.clone()));
        println!("| {count} | {tick} | {ping} | {} targets |", 8 * count);
    }
    println!();
}

fn print_by_flows() {
    println!("| flows | flow tick | set_view, same register | decision as owner |");
    println!("| --- | --- | --- | --- |");
    let register = Arc::new(input::register(&[14, 4], 3));
    let view = Arc::new(input::view(&register, &input::members(1, 3)));
    for count in FLOW_COUNTS {
        let mut machine = flows::machine(&view);
        let served = flows::serve(&mut machine, &view, flows::distributed(2, count));
        let tick = time_micros(64, || {
            machine.tick(flows::START);
            flows::discard_actions(&mut machine);
        });
        let set = time_micros(1, || machine.set_view(flows::START, view.clone()));
        let mut next = 0;
        let decide = time_micros(1_000, || {
            let flow: &wire::Flow = &served[next % served.len()];
            next += 1;
            machine.arrive(flows::START, flow.caller, flow.address);
        });
        println!("| {count} | {tick} | {set} | {decide} |");
    }
    println!();
}

fn print_by_fleet() {
    println!(
        "| targets | services | balancers | owned | View::new | flow tick, 13,000 flows | set_view, a member fewer | forward decision |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (targets, services, balancers) in FLEETS {
        let register = Arc::new(input::register(&input::even_sizes(targets, services), 11));
        let members = input::members(balancers, 11);
        let build = time_micros(1, || drop(input::view(&register, &members)));
        let view = Arc::new(input::view(&register, &members));
        let fewer = Arc::new(input::view(&register, &members[..balancers - 1]));
        let owned = view.assignment.iter();
        let owned = owned.filter(|(_, pair)| pair.owner == view.me).count();
        let mut machine = flows::machine(&view);
        let owned_flows = flows::distributed(services, 13_000 * balancers * 2);
        let owned_flows = owned_flows.filter(|flow| view.owns(flows::first(&view, flow)));
        let owned_flows: Vec<wire::Flow> = owned_flows.take(13_000).collect();
        flows::serve(&mut machine, &view, owned_flows.into_iter());
        let tick = time_micros(64, || {
            machine.tick(flows::START);
            flows::discard_actions(&mut machine);
        });
        let flow = flows::distributed(services, 1_000)
            .find(|flow| !view.owns(flows::first(&view, flow)))
            .expect("others own targets");
        let forward = time_micros(1_000, || {
            machine.arrive(flows::START, flow.caller, flow.address);
        });
        let set = time_micros(1, || {
            machine.set_view(flows::START, fewer.clone());
            machine.set_view(flows::START, view.clone());
            flows::discard_actions(&mut machine);
        });
        println!(
            "| {targets} | {services} | {balancers} | {owned} | {build} | {tick} | {set} (two calls) | {forward} |"
        );
    }
}
