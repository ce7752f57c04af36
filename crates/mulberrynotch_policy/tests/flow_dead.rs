//! Flows of dead targets.

mod flow_fixture;

use flow_fixture::{
    Faults,
    Fleet,
    inventory, //
};
use mulberrynotch_policy::{
    flow,
    health, //
};
use mulberrynotch_register::id;
use mulberrynotch_wire::flow as wire;

const REPORT: health::Observation = health::Observation::Report {
    load_percent: 1,
    boot: 1,
    leaving: false,
};

/// Health signals of the observed target per second.
type Observations<'a> = &'a [health::Observation];

struct Case {
    fleet: Fleet,
    all: Vec<wire::Flow>,
    target: id::Target,
    ticks: usize,
}

impl Case {
    /// Returns a fleet with established flows, about 150 of them on the observed target.
    fn new(answers: bool, seed: u64) -> Self {
        let register = inventory::register(&[6], 1_000);
        let faults = Faults {
            delay_ms: 5,
            ..Faults::default()
        };
        let mut fleet = Fleet::new(6, register, faults, seed);
        fleet.answers = answers;
        let service = &fleet.register.services[0];
        let target = service.targets[0].id(service.id());
        // Without answers the targets stay cold and accept 4 flows per second each.
        let count = if answers { 900 } else { 300 };
        let all = (0..count).map(|n| inventory::wire_flow(0, n)).collect();
        let mut case = Self {
            fleet,
            all,
            target,
            ticks: 0,
        };
        case.run(60, &[REPORT]);
        assert_eq!(case.fleet.flows.len(), case.all.len());
        assert_eq!(case.fleet.broken, 0);
        assert!(case.load() > 20, "{} flows", case.load());
        case
    }

    /// Runs for `seconds` while each flow sends a packet every two seconds.
    fn run(&mut self, seconds: usize, observations: Observations<'_>) {
        for _ in 0..seconds * 10 {
            self.tick(observations);
        }
    }

    fn tick(&mut self, observations: Observations<'_>) {
        self.ticks += 1;
        if self.ticks % 10 == 5 {
            for item in observations {
                self.fleet.observe(self.target, *item);
            }
        }
        for flow in self.all.iter().skip(self.ticks % 20).step_by(20) {
            self.fleet.packet(*flow);
        }
        self.fleet.tick();
    }

    fn load(&self) -> u64 {
        self.fleet.loads().get(&self.target).copied().unwrap_or(0)
    }

    fn released(&self) -> u64 {
        let nodes = self.fleet.nodes.values();
        nodes
            .map(|node| node.machine.status().broken_by_target)
            .sum()
    }
}

/// Guards against flows that stay on a dead target as long as their callers send, whether the
/// target causes ICMP errors or its load report is missing, and against other broken flows.
#[test]
fn flows_of_a_dead_target_are_placed_anew() {
    for (seed, observation) in [
        (7100, health::Observation::NoReport),
        (7101, health::Observation::IcmpError),
    ] {
        let mut case = Case::new(true, seed);
        let load = case.load();
        case.fleet.unresponsive.insert(case.target);
        for _ in 0..200 {
            let released = case.released();
            case.tick(&[observation]);
            let released = case.released() - released;
            // Half of the flows that five warm targets with 1,000 connections accept per tick.
            assert!(released <= 32, "{released} flows released in a tick");
        }
        println!(
            "{observation:?}: {load} flows, {} released, {} broken",
            case.released(),
            case.fleet.broken
        );
        assert!(case.load() <= 2, "{} of {load} flows stay", case.load());
        assert!(case.fleet.broken >= load - 2);
        assert!(case.released() >= case.fleet.broken);
        assert!(case.fleet.broken <= load + 2);
        // Apart from trial flows, the placement is stable from here on.
        let broken = case.fleet.broken;
        case.run(60, &[observation]);
        assert!(case.fleet.broken <= broken + 8, "{}", case.fleet.broken);
    }
}

/// Guards against flows that move because of a short outage.
#[test]
fn a_short_outage_moves_no_flow() {
    for observation in [
        health::Observation::NoReport,
        health::Observation::IcmpError,
    ] {
        let mut case = Case::new(true, 7200);
        for _ in 0..3 {
            case.fleet.unresponsive.insert(case.target);
            case.run(4, &[observation]);
            case.fleet.unresponsive.clear();
            case.run(6, &[REPORT]);
        }
        assert_eq!(case.released(), 0, "{observation:?}");
        assert_eq!(case.fleet.broken, 0);
    }
}

/// Guards against declaring a target dead that may still serve its flows: one that answers without
/// a load report, one that reports without answering, and one with one-way traffic whose report
/// fails.
#[test]
fn a_missing_report_or_missing_answers_alone_move_no_flow() {
    let mut case = Case::new(true, 7300);
    case.run(30, &[health::Observation::NoReport]);
    assert_eq!((case.released(), case.fleet.broken), (0, 0), "no report");
    let mut case = Case::new(true, 7301);
    case.fleet.unresponsive.insert(case.target);
    case.run(30, &[REPORT]);
    assert_eq!((case.released(), case.fleet.broken), (0, 0), "silent");
    // The report fails long after the last answer.
    case.run(30, &[health::Observation::NoReport]);
    assert_eq!((case.released(), case.fleet.broken), (0, 0), "later");
    let mut case = Case::new(false, 7302);
    case.run(30, &[health::Observation::NoReport]);
    assert_eq!((case.released(), case.fleet.broken), (0, 0), "one-way");
}

/// Guards against treating a failed connection as proof of death: a target may close its listener
/// and keep its flows.
#[test]
fn a_closed_listener_moves_no_flow() {
    let mut case = Case::new(false, 7310);
    case.run(30, &[health::Observation::Unreachable]);
    assert_eq!((case.released(), case.fleet.broken), (0, 0));
}

/// Guards against released flows that overload cold targets, and against releasing flows when there
/// is no other target.
#[test]
fn released_flows_wait_for_the_ramps_of_the_others() {
    let mut case = Case::new(true, 7400);
    let service = case.fleet.register.services[0].id();
    let others: Vec<id::Target> = case.fleet.register.services[0].targets[1..]
        .iter()
        .map(|other| other.id(service))
        .collect();
    case.fleet.unresponsive.insert(case.target);
    let before = case.fleet.loads();
    for second in 1..=15 {
        // The other targets stay cold.
        for other in &others {
            for _ in 0..3 {
                case.fleet.observe(*other, health::Observation::Shed);
            }
        }
        case.run(1, &[health::Observation::NoReport]);
        let most = (second + 1) * u64::from(flow::COLD_FLOWS);
        let now = case.fleet.loads();
        for other in &others {
            assert!(now[other] - before[other] <= most, "second {second}");
        }
    }
    assert!(case.released() > 0);
    case.fleet.register.services[0].targets.truncate(1);
    case.fleet.change(|_| {});
    case.run(1, &[health::Observation::NoReport]);
    let released = case.released();
    case.run(10, &[health::Observation::NoReport]);
    assert_eq!(case.released(), released, "no other target");
}

/// Guards against new flows on a dead target, and against full load on one that returns.
#[test]
fn a_dead_target_starts_cold_after_it_returns() {
    let mut case = Case::new(true, 7500);
    case.fleet.unresponsive.insert(case.target);
    case.run(12, &[health::Observation::NoReport]);
    case.fleet.placed.clear();
    let mut number = 10_000;
    let mut open = |case: &mut Case, observation| {
        case.fleet.placed.clear();
        for _ in 0..10 {
            for _ in 0..20 {
                number += 1;
                case.fleet.packet(inventory::wire_flow(0, number));
            }
            case.fleet.tick();
        }
        case.fleet.observe(case.target, observation);
        case.fleet.placed.get(&case.target).copied().unwrap_or(0)
    };
    let dead: u64 = (0..30)
        .map(|_| open(&mut case, health::Observation::NoReport))
        .sum();
    assert!(dead <= 3, "{dead} trials in 30 s");
    case.fleet.unresponsive.clear();
    let placed: Vec<u64> = (0..12).map(|_| open(&mut case, REPORT)).collect();
    println!("after the return: {placed:?}");
    let mut allowed = u64::from(flow::COLD_FLOWS);
    for placed in placed.iter().skip_while(|placed| **placed == 0) {
        assert!(*placed <= 3 * allowed + 1, "{placed} above {allowed}");
        allowed *= 2;
    }
    assert!(placed.iter().sum::<u64>() > 20, "it gets flows again");
}
