//! Memory per record, by counting allocations.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_benches::{
    flows,
    input,
    peers, //
};
use mulberrynotch_policy::{
    idempotency,
    view, //
};
use mulberrynotch_wire::{
    flow as wire,
    key, //
};

use crate::count;

const FLOW_COUNTS: [usize; 7] = [1_000, 5_000, 13_000, 50_000, 100_000, 200_000, 400_000];
const MEMBER_COUNTS: [usize; 9] = [3, 6, 9, 18, 36, 72, 144, 288, 860];

/// Numbers of targets and services.
const TARGETS: [(usize, usize); 6] = [
    (18, 2),
    (72, 9),
    (288, 36),
    (1_152, 144),
    (3_450, 440),
    (6_900, 880),
];

pub(crate) fn print() {
    println!("| records | flow record B | hint B | redirect B | key record B |");
    println!("| --- | --- | --- | --- | --- |");
    for count in FLOW_COUNTS {
        let per_record = |bytes: usize| bytes as f64 / count as f64;
        println!(
            "| {count} | {:.1} | {:.1} | {:.1} | {:.1} |",
            per_record(served_bytes(count)),
            per_record(hint_bytes(count)),
            per_record(redirect_bytes(count)),
            per_record(key_bytes(count)),
        );
    }
    println!();
    println!("| members | control machine kept B | peak B | kept B per member |");
    println!("| --- | --- | --- | --- |");
    for count in MEMBER_COUNTS {
        let register = Arc::new(input::register(&[], 11));
        let members = input::members(count, 11);
        let (_peers, kept, peak) =
            count::bytes(|| peers::Peers::new(members, register, Duration::from_secs(20)));
        println!("| {count} | {kept} | {peak} | {} |", kept / count);
    }
    println!();
    println!(
        "| targets | services | register B | View::new kept B, 860 members | peak B | kept B per target |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let members = input::members(860, 11);
    for (targets, services) in TARGETS {
        let sizes = input::even_sizes(targets, services);
        let (register, size, _) = count::bytes(|| Arc::new(input::register(&sizes, 11)));
        let (_view, kept, peak) = count::bytes(|| input::view(&register, &members));
        println!(
            "| {targets} | {services} | {size} | {kept} | {peak} | {} |",
            kept / targets
        );
    }
}

fn view(balancers: usize) -> Arc<view::View> {
    let register = Arc::new(input::register(&[14, 4], 3));
    Arc::new(input::view(&register, &input::members(balancers, 3)))
}

fn served_bytes(count: usize) -> usize {
    let view = view(1);
    let mut machine = flows::machine(&view);
    let all: Vec<wire::Flow> = flows::distributed(2, count).collect();
    let (served, kept, _) =
        count::bytes(|| flows::serve(&mut machine, &view, all.iter().copied()).len());
    assert_eq!(served, count);
    kept
}

fn hint_bytes(count: usize) -> usize {
    let view = view(9);
    let mut machine = flows::machine(&view);
    let others =
        flows::distributed(2, 4 * count).filter(|flow| !view.owns(flows::first(&view, flow)));
    let others: Vec<wire::Flow> = others.take(count).collect();
    count::bytes(|| flows::add_hints(&mut machine, &view, others.iter().copied()).len()).1
}

fn redirect_bytes(count: usize) -> usize {
    let view = view(3);
    let mut machine = flows::machine(&view);
    let own = flows::distributed(2, 8 * count).filter(|flow| view.owns(flows::first(&view, flow)));
    let own: Vec<wire::Flow> = own.take(count).collect();
    assert_eq!(own.len(), count);
    count::bytes(|| flows::add_redirects(&mut machine, &view, own.iter().copied()).len()).1
}

/// Returns the memory of key records at a backup, which keeps the same records as the home.
fn key_bytes(count: usize) -> usize {
    let view = view(9);
    let pairs = view.assignment.iter();
    let (home, pair) = pairs
        .min_by_key(|(target, pair)| (pair.backup != Some(view.me.clone()), target.0))
        .unwrap();
    let mut ledger = idempotency::Ledger::new(view.clone(), 1_000_000);
    let record = |index: usize| key::Record {
        key: key::Key(u128::try_from(index).unwrap().to_be_bytes()),
        home,
        request: 1,
        state: key::State::Done { status: 200 },
        age_ms: 0,
    };
    let (held, kept, _) = count::bytes(|| {
        for index in 0..count {
            let message = key::Message::Put {
                sequence: u32::try_from(index).unwrap(),
                fresh: false,
                records: vec![record(index)],
            };
            ledger.receive(flows::START, &pair.owner, message);
            while ledger.poll().is_some() {}
        }
        ledger.status(flows::START).done
    });
    assert_eq!(held, count);
    kept
}
