//! Numbers of broken flows per change, compared with rendezvous hashing without flow records.

mod flow_fixture;

use std::collections::HashMap;

use flow_fixture::{
    Faults,
    Fleet,
    inventory, //
};
use mulberrynotch_policy::{
    flow,
    preference,
    view, //
};
use mulberrynotch_register::id;
use mulberrynotch_wire::{
    control,
    flow as wire, //
};

const FLOWS_PER_TARGET: u32 = 2_000;
const SIZES: [usize; 2] = [14, 4];

/// Target of a flow in the baseline: the first target of the preference list that is not leaving.
fn baseline(view: &view::View, flow: &wire::Flow) -> Option<id::Target> {
    let (service, _) = view.service_at(flow.address)?;
    preference::targets(view, service, flow::key(service, flow))
        .into_iter()
        .find(|target| view.target(*target).is_some_and(|entry| !entry.leaving))
}

struct Run {
    fleet: Fleet,
    flows: Vec<wire::Flow>,
    opened: usize,
    baseline_targets: HashMap<wire::Flow, id::Target>,
    balancers: usize,
    rows: Vec<(&'static str, u64, u64, u64)>,
}

impl Run {
    fn new(balancers: usize, seed: u64) -> Self {
        let register = inventory::register(&SIZES, 2 * FLOWS_PER_TARGET);
        let faults = Faults {
            delay_ms: 5,
            view_delay_ms: 800,
            ..Faults::default()
        };
        let fleet = Fleet::new(balancers, register, faults, seed);
        let mut flows = Vec::new();
        for (service, size) in SIZES.iter().enumerate() {
            let count = u32::try_from(*size).unwrap() * FLOWS_PER_TARGET;
            flows.extend((0..count).map(|number| inventory::wire_flow(service, number)));
        }
        Self {
            fleet,
            flows,
            opened: 0,
            baseline_targets: HashMap::new(),
            balancers,
            rows: Vec::new(),
        }
    }

    /// Runs the fleet while each open flow sends a packet about every ten seconds.
    fn traffic(&mut self, seconds: u64) {
        for tick in 0..seconds * 10 {
            let slice = usize::try_from(tick % 100).unwrap();
            // All flows open within 100 s.
            self.opened = (self.opened + self.flows.len() / 1_000).min(self.flows.len());
            for index in (slice..self.opened).step_by(100) {
                self.fleet.send_packet(self.flows[index]);
            }
            self.fleet.tick();
        }
    }

    /// Counts the flows that a change breaks, in the fleet and in the baseline.
    fn measure(&mut self, name: &'static str, seconds: u64, change: impl FnOnce(&mut Self)) {
        let view = self.fleet.view(&self.fleet.members[0], true);
        let flows = self.flows.iter();
        self.baseline_targets = flows
            .filter_map(|flow| Some((*flow, baseline(&view, flow)?)))
            .collect();
        let broken = self.fleet.broken_flows;
        let lost = self.fleet.lost_packets;
        change(self);
        self.traffic(seconds);
        let view = self.fleet.view(&self.fleet.members[0], true);
        let moved = self.baseline_targets.iter();
        let moved = moved.filter(|(flow, old)| baseline(&view, flow) != Some(**old));
        let row = (
            name,
            self.fleet.broken_flows - broken,
            moved.count() as u64,
            self.fleet.lost_packets - lost,
        );
        self.rows.push(row);
    }

    fn set_state(&mut self, name: &str, state: control::State) {
        let found = self.fleet.members.iter_mut().find(|m| &*m.name == name);
        found.unwrap().state = state;
        self.fleet.publish();
    }

    /// Takes a zone out of service. Its flows are placed again and do not count as broken.
    fn zone_out(&mut self, zone: &str) {
        let register = &mut self.fleet.register;
        register
            .zones
            .iter_mut()
            .find(|z| &*z.name == zone)
            .unwrap()
            .out = true;
        let mut zone_targets = Vec::new();
        for service in &register.services {
            let targets = service.targets.iter().filter(|t| &*t.zone == zone);
            zone_targets.extend(targets.map(|t| t.id(service.id())));
        }
        self.fleet
            .flows
            .retain(|_, target| !zone_targets.contains(target));
        self.baseline_targets
            .retain(|_, target| !zone_targets.contains(target));
        self.fleet.change_register(|_| {});
        // Flows whose packets are delivered before the last process has the change do not count
        // either.
        for _ in 0..10 {
            self.fleet.tick();
        }
    }

    fn peak_to_mean(&self) -> f64 {
        let loads = self.fleet.loads();
        let mut worst: f64 = 0.0;
        for service in &self.fleet.register.services {
            let warm = service.targets.iter().filter(|target| !target.leaving);
            let loads: Vec<u64> = warm
                .map(|target| loads.get(&target.id(service.id())).copied().unwrap_or(0))
                .collect();
            let mean = loads.iter().sum::<u64>() as f64 / loads.len() as f64;
            worst = worst.max(*loads.iter().max().unwrap() as f64 / mean);
        }
        worst
    }

    fn run_changes(&mut self) {
        self.traffic(130);
        assert_eq!(
            self.fleet.flows.len(),
            self.flows.len(),
            "all flows are placed"
        );
        assert_eq!(
            self.fleet.broken_flows, 0,
            "nothing breaks without a change"
        );
        let peak = self.peak_to_mean();
        println!("| steady state | peak to mean {peak:.3} | | |");
        assert!(peak <= 1.25, "peak to mean load {peak}");
        let next = self.balancers;
        self.measure("balancer joins", 60, |run| {
            let member = inventory::member(next);
            run.fleet.members.push(member.clone());
            run.fleet.start(&member);
            run.fleet.publish();
        });
        self.measure("balancer leaves", 60, |run| {
            run.set_state("b1", control::State::Leaving);
            run.traffic(50);
            assert!(
                run.fleet.nodes["b1"].machine.is_drained(),
                "handover is complete"
            );
            run.fleet.nodes.get_mut("b1").unwrap().alive = false;
            run.fleet.members.retain(|member| &*member.name != "b1");
            run.fleet.publish();
        });
        self.measure("target joins", 60, |run| {
            run.fleet.change_register(|register| {
                for service in &mut register.services {
                    let target = inventory::target("new".into(), 0, 2 * FLOWS_PER_TARGET);
                    service.targets.push(target);
                }
            });
        });
        self.measure("target leaving", 30, |run| {
            run.fleet.change_register(|register| {
                for service in &mut register.services {
                    service.targets[1].leaving = true;
                }
            });
        });
        self.measure("zone goes out", 30, |run| run.zone_out("z2"));
        self.measure("zone returns", 60, |run| {
            run.fleet
                .change_register(|register| register.zones[2].out = false);
        });
        self.measure("balancer dies", 30, |run| {
            run.fleet.nodes.get_mut("b0").unwrap().alive = false;
            run.traffic(2);
            run.fleet.members.retain(|member| &*member.name != "b0");
            run.fleet.publish();
        });
    }
}

fn check(balancers: usize, seed: u64) {
    let mut run = Run::new(balancers, seed);
    run.run_changes();
    println!(
        "| {balancers} balancers, 14 + 4 targets, 36,000 flows | broken | baseline | packets lost |"
    );
    println!("| --- | --- | --- | --- |");
    for (name, broken, baseline, lost) in &run.rows {
        println!("| {name} | {broken} | {baseline} | {lost} |");
    }
    let sent = run.fleet.nodes.values().map(|node| node.budget.sent_bytes);
    println!(
        "control bytes sent per process, most: {}",
        sent.max().unwrap()
    );
    for node in run.fleet.nodes.values() {
        let status = node.machine.status();
        println!(
            "{} {:?}",
            node.name,
            (status.flows, status.redirects, status.hints, status.drops)
        );
    }
    assert_eq!(run.fleet.wrong_service, 0);
    for (name, broken, _, _) in &run.rows {
        if *name != "balancer dies" {
            assert_eq!(*broken, 0, "{name} is planned and breaks no flow");
        }
    }
}

/// Guards against planned changes that move established flows, and against uneven placement.
#[test]
fn six_balancers_break_no_flow_in_planned_changes() {
    check(6, 61);
}

/// The same checks with three balancers per zone.
#[test]
fn nine_balancers_break_no_flow_in_planned_changes() {
    check(9, 91);
}
