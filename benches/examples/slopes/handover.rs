//! Cost of a planned stop of a balancer, and of the simultaneous loss of several, with open flows.

use std::sync::Arc;

use mulberrynotch_wire::control;

use crate::traffic::{
    Churn,
    OPENED_PER_SECOND, //
};

/// Ticks in which the rate of new flows rises, so that no cold target gets the full load.
const RAMP_TICKS: usize = 600;

pub(crate) fn print() {
    println!(
        "| balancers | change | flows handed over | seconds until drained | bytes sent by the leaver | B per flow | broken | packets dropped |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (balancers, opened) in [
        (9, 10),
        (9, 40),
        (9, OPENED_PER_SECOND),
        (18, OPENED_PER_SECOND),
    ] {
        leave(balancers, opened);
    }
    println!();
    println!(
        "| balancers | lost at once | flows of the lost | broken in 60 s | packets dropped in 60 s | sent B/s each in 10 s | most sent B/s in 10 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (balancers, lost) in [(9, 1), (18, 2), (36, 4)] {
        lose(balancers, lost);
    }
}

fn leave(balancers: usize, opened: usize) {
    let mut churn = Churn::new(
        balancers,
        opened,
        RAMP_TICKS,
        5_000 + u64::try_from(balancers).unwrap(),
    );
    churn.run(200);
    let name: Arc<str> = Arc::from("b1");
    let (broken, lost) = (churn.fleet.broken_flows, churn.fleet.lost_packets);
    let flows = churn.fleet.nodes[&name].machine.status().flows;
    let before = churn.fleet.nodes[&name].budget.sent_bytes;
    let members = &mut churn.fleet.members;
    let member = members.iter_mut().find(|member| member.name == name);
    member.unwrap().state = control::State::Leaving;
    churn.fleet.publish();
    let mut seconds = 1;
    churn.run(1);
    while !churn.fleet.nodes[&name].machine.is_drained() && seconds < 300 {
        churn.run(1);
        seconds += 1;
    }
    let bytes = churn.fleet.nodes[&name].budget.sent_bytes - before;
    println!(
        "| {balancers} | one leaves, {opened} new flows/s each | {flows} | {seconds} | {bytes} | {:.1} | {} | {} |",
        bytes as f64 / flows as f64,
        churn.fleet.broken_flows - broken,
        churn.fleet.lost_packets - lost,
    );
}

/// Kills processes of different zones at once; the other processes get the new view after 2 s.
fn lose(balancers: usize, count: usize) {
    let mut churn = Churn::new(
        balancers,
        OPENED_PER_SECOND,
        RAMP_TICKS,
        6_000 + u64::try_from(balancers).unwrap(),
    );
    churn.run(200);
    let (broken, lost) = (churn.fleet.broken_flows, churn.fleet.lost_packets);
    let mut flows = 0;
    let dead: Vec<Arc<str>> = (0..count).map(|i| Arc::from(format!("b{i}"))).collect();
    for name in &dead {
        let node = churn.fleet.nodes.get_mut(name).unwrap();
        node.alive = false;
        flows += node.machine.status().flows;
    }
    churn.run(2);
    churn
        .fleet
        .members
        .retain(|member| !dead.contains(&member.name));
    churn.fleet.publish();
    let before = churn.sent();
    churn.run(10);
    let sent: Vec<u64> = churn
        .sent()
        .iter()
        .zip(&before)
        .map(|(a, b)| a - b)
        .collect();
    churn.run(48);
    let sum: u64 = sent.iter().sum();
    println!(
        "| {balancers} | {count} | {flows} | {} | {} | {:.0} | {:.0} |",
        churn.fleet.broken_flows - broken,
        churn.fleet.lost_packets - lost,
        sum as f64 / (balancers - count) as f64 / 10.0,
        sent.iter().max().copied().unwrap_or(0) as f64 / 10.0,
    );
}
