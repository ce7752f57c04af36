//! Flows of targets that die.

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

/// What the owner of the watched target sees in a second.
type Seen<'a> = &'a [health::Observation];

struct Case {
    fleet: Fleet,
    all: Vec<wire::Flow>,
    target: id::Target,
    ticks: usize,
}

impl Case {
    /// Established flows, of which about 150 are on the watched target.
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
        // Without answers the targets stay cold and take 4 flows a second each.
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
        assert_eq!(case.fleet.broken_flows, 0);
        assert!(case.load() > 20, "{} flows", case.load());
        case
    }

    /// Each flow sends a packet every two seconds.
    fn run(&mut self, seconds: usize, seen: Seen<'_>) {
        for _ in 0..seconds * 10 {
            self.tick(seen);
        }
    }

    fn tick(&mut self, seen: Seen<'_>) {
        self.ticks += 1;
        if self.ticks % 10 == 5 {
            for item in seen {
                self.fleet.observe(self.target, *item);
            }
        }
        for flow in self.all.iter().skip(self.ticks % 20).step_by(20) {
            self.fleet.send_packet(*flow);
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

/// Guards against flows that stay on a dead target as long as their callers send, whether ICMP
/// errors or a missing report come with the silence, and against any other broken flow.
#[test]
fn flows_of_a_dead_target_are_placed_anew() {
    for (seed, seen) in [
        (7100, health::Observation::NoReport),
        (7101, health::Observation::IcmpError),
    ] {
        let mut case = Case::new(true, seed);
        let load = case.load();
        case.fleet.silent.insert(case.target);
        for _ in 0..200 {
            let released = case.released();
            case.tick(&[seen]);
            let released = case.released() - released;
            // Half of what five warm targets with 1,000 connections take per tick.
            assert!(released <= 32, "{released} flows released in a tick");
        }
        println!(
            "{seen:?}: {load} flows, {} released, {} broken",
            case.released(),
            case.fleet.broken_flows
        );
        assert!(case.load() <= 2, "{} of {load} flows stay", case.load());
        assert!(case.fleet.broken_flows >= load - 2);
        assert!(case.released() >= case.fleet.broken_flows);
        assert!(case.fleet.broken_flows <= load + 2);
        // Trial flows aside, the placement is stable from here on.
        let broken = case.fleet.broken_flows;
        case.run(60, &[seen]);
        assert!(
            case.fleet.broken_flows <= broken + 8,
            "{}",
            case.fleet.broken_flows
        );
    }
}

/// Guards against flows that a short outage moves.
#[test]
fn a_short_outage_moves_no_flow() {
    for seen in [
        health::Observation::NoReport,
        health::Observation::IcmpError,
    ] {
        let mut case = Case::new(true, 7200);
        for _ in 0..3 {
            case.fleet.silent.insert(case.target);
            case.run(4, &[seen]);
            case.fleet.silent.clear();
            case.run(6, &[REPORT]);
        }
        assert_eq!(case.released(), 0, "{seen:?}");
        assert_eq!(case.fleet.broken_flows, 0);
    }
}

/// Guards against a target that is declared dead although it serves its flows: without a report
/// it answers, with a report it is silent, and one that never answers lost its report too.
#[test]
fn a_report_or_silence_alone_moves_no_flow() {
    let mut case = Case::new(true, 7300);
    case.run(30, &[health::Observation::NoReport]);
    assert_eq!(
        (case.released(), case.fleet.broken_flows),
        (0, 0),
        "no report"
    );
    let mut case = Case::new(true, 7301);
    case.fleet.silent.insert(case.target);
    case.run(30, &[REPORT]);
    assert_eq!((case.released(), case.fleet.broken_flows), (0, 0), "silent");
    // The report fails long after the answers ended.
    case.run(30, &[health::Observation::NoReport]);
    assert_eq!((case.released(), case.fleet.broken_flows), (0, 0), "later");
    let mut case = Case::new(false, 7302);
    case.run(30, &[health::Observation::NoReport]);
    assert_eq!(
        (case.released(), case.fleet.broken_flows),
        (0, 0),
        "one-way"
    );
}

/// Guards against a failed connection that counts as proof: a target may close its listener and
/// keep its flows.
#[test]
fn a_closed_listener_moves_no_flow() {
    let mut case = Case::new(false, 7310);
    case.run(30, &[health::Observation::Unreachable]);
    assert_eq!((case.released(), case.fleet.broken_flows), (0, 0));
}

/// Guards against released flows that overload cold targets, and against a release without
/// another target.
#[test]
fn released_flows_wait_for_the_ramps_of_the_others() {
    let mut case = Case::new(true, 7400);
    let service = case.fleet.register.services[0].id();
    let others: Vec<id::Target> = case.fleet.register.services[0].targets[1..]
        .iter()
        .map(|other| other.id(service))
        .collect();
    case.fleet.silent.insert(case.target);
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

/// Guards against new flows on a dead target, and against full load on one that comes back.
#[test]
fn a_dead_target_starts_cold_after_it_proved_itself() {
    let mut case = Case::new(true, 7500);
    case.fleet.silent.insert(case.target);
    case.run(12, &[health::Observation::NoReport]);
    case.fleet.placed.clear();
    let mut number = 10_000;
    let mut open = |case: &mut Case, seen| {
        case.fleet.placed.clear();
        for _ in 0..10 {
            for _ in 0..20 {
                number += 1;
                case.fleet.send_packet(inventory::wire_flow(0, number));
            }
            case.fleet.tick();
        }
        case.fleet.observe(case.target, seen);
        case.fleet.placed.get(&case.target).copied().unwrap_or(0)
    };
    let dead: u64 = (0..30)
        .map(|_| open(&mut case, health::Observation::NoReport))
        .sum();
    assert!(dead <= 3, "{dead} trials in 30 s");
    case.fleet.silent.clear();
    let placed: Vec<u64> = (0..12).map(|_| open(&mut case, REPORT)).collect();
    println!("after the return: {placed:?}");
    let mut allowed = u64::from(flow::COLD_FLOWS);
    for placed in placed.iter().skip_while(|placed| **placed == 0) {
        assert!(*placed <= 3 * allowed + 1, "{placed} above {allowed}");
        allowed *= 2;
    }
    assert!(placed.iter().sum::<u64>() > 20, "it gets flows again");
}
