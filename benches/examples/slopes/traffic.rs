//! Control traffic of the flow machines while flows open and end.

use std::time::Duration;

use mulberrynotch_wire::flow as wire;

use crate::flow_fixture::{
    Faults,
    Fleet,
    inventory, //
};

/// Number of targets of each service; there is one service per balancer, as at the design scale.
const TARGETS: usize = 8;

/// Connection limit of each target.
const CONNECTIONS: u32 = 2_000;

/// New flows per second and balancer at the design scale: 82,000 flows/s over 860 balancers.
pub(crate) const OPENED_PER_SECOND: usize = 95;

/// Ticks after its opening at which a flow sends a packet. A flow ends 60 s after its last packet,
/// so that a record lives 134 s and a balancer holds 12,700 records.
const PACKET_TICKS: [usize; 5] = [0, 200, 400, 600, 740];

/// A fleet in which flows open and end, at a rate that is constant after a ramp.
pub(crate) struct Churn {
    pub(crate) fleet: Fleet,
    pub(crate) balancers: usize,
    per_tick: usize,
    /// Ticks in which the rate of new flows rises from zero.
    ramp_ticks: usize,
    tick: usize,
    /// Total number of flows opened before each tick.
    opened: Vec<usize>,
}

impl Churn {
    pub(crate) fn new(
        balancers: usize,
        opened_per_second: usize,
        ramp_ticks: usize,
        seed: u64,
    ) -> Self {
        let faults = Faults {
            delay_ms: 5,
            view_delay_ms: 800,
            ..Faults::default()
        };
        let register = inventory::register(&vec![TARGETS; balancers], CONNECTIONS);
        Self {
            fleet: Fleet::new(balancers, register, faults, seed),
            balancers,
            per_tick: balancers * opened_per_second / 10,
            ramp_ticks,
            tick: 0,
            opened: vec![0],
        }
    }

    fn flow(&self, index: usize) -> wire::Flow {
        let number = u32::try_from(index / self.balancers).unwrap();
        inventory::wire_flow(index % self.balancers, number)
    }

    /// Opens flows and sends packets on open flows for `seconds`.
    pub(crate) fn run(&mut self, seconds: usize) {
        for _ in 0..seconds * 10 {
            let share = (self.tick + 1).min(self.ramp_ticks.max(1));
            let opens = self.per_tick * share / self.ramp_ticks.max(1);
            self.opened.push(self.opened[self.tick] + opens);
            for offset in PACKET_TICKS {
                let Some(opened) = self.tick.checked_sub(offset) else {
                    continue;
                };
                for index in self.opened[opened]..self.opened[opened + 1] {
                    let flow = self.flow(index);
                    self.fleet.send_packet(flow);
                }
            }
            self.fleet.tick();
            self.tick += 1;
        }
    }

    /// Returns the bytes that each process has sent.
    pub(crate) fn sent(&self) -> Vec<u64> {
        let nodes = self.fleet.nodes.values();
        nodes.map(|node| node.budget.sent_bytes).collect()
    }
}

pub(crate) fn print() {
    println!(
        "| balancers | new flows/s each | rise s | flows each | redirects each | hints each | sent B/s each | most sent B/s | waiting messages, most | broken | packets dropped |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (balancers, opened, ramp_ticks) in [
        (9, 10, 0),
        (9, 40, 0),
        (9, OPENED_PER_SECOND, 0),
        (9, OPENED_PER_SECOND, 600),
        (18, OPENED_PER_SECOND, 600),
        (36, OPENED_PER_SECOND, 600),
    ] {
        print_row(balancers, opened, ramp_ticks);
    }
}

fn print_row(balancers: usize, opened: usize, ramp_ticks: usize) {
    const MEASURED_SECONDS: usize = 60;
    let seed = 4_000 + u64::try_from(balancers).unwrap();
    let mut churn = Churn::new(balancers, opened, ramp_ticks, seed);
    churn.run(200);
    let before = churn.sent();
    let lost_before = churn.fleet.lost_packets;
    churn.run(MEASURED_SECONDS);
    let sent: Vec<u64> = churn
        .sent()
        .iter()
        .zip(&before)
        .map(|(a, b)| a - b)
        .collect();
    let highest = sent.iter().max().copied().unwrap_or(0);
    let sum: u64 = sent.iter().sum();
    let status: Vec<_> = churn
        .fleet
        .nodes
        .values()
        .map(|node| node.machine.status())
        .collect();
    let mean = |total: usize| total / balancers;
    let waiting = churn.fleet.nodes.values().map(|node| node.budget.len());
    println!(
        "| {balancers} | {opened} | {} | {} | {} | {} | {:.0} | {:.0} | {} | {} | {} |",
        ramp_ticks / 10,
        mean(status.iter().map(|s| s.flows).sum()),
        mean(status.iter().map(|s| s.redirects + s.passed).sum()),
        mean(status.iter().map(|s| s.hints).sum()),
        sum as f64 / balancers as f64 / MEASURED_SECONDS as f64,
        highest as f64 / MEASURED_SECONDS as f64,
        waiting.max().unwrap_or(0),
        churn.fleet.broken_flows,
        churn.fleet.lost_packets - lost_before,
    );
    assert!(churn.fleet.now > Duration::from_secs(200));
}
