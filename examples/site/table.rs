//! Table of the results, and evaluation of the guarantees.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    io,
    time::Instant, //
};

use mulberrynotch_standin::{
    caller::{
        Break, Cause,
        requests::{
            Outcome,
            Report, //
        },
    },
    site, //
};

use crate::load::Load;

/// Measurements taken during the sequence of events.
#[derive(Default)]
pub(crate) struct Findings {
    /// Start time of the site.
    pub(crate) started: Option<Instant>,
    /// Instance of each UDP flow before the first change.
    pub(crate) placement: BTreeMap<usize, String>,
    /// True when the replaced balancer ended with status 0.
    pub(crate) is_graceful_stop: bool,
    /// Number of flows and requests that a leaving target accepted after its publication had taken
    /// effect.
    pub(crate) work_while_leaving: u64,
    /// Targets of the zone that went out of service.
    pub(crate) out_targets: BTreeSet<String>,
    /// Time at which the zone went out of service.
    pub(crate) out_since: Option<Instant>,
    /// Datagrams, bytes, flows and requests to the zone after its removal had taken effect.
    pub(crate) traffic_after_out: u64,
}

impl Findings {
    /// Returns true for a flow that was abandoned because its zone went out of service.
    fn is_abandoned(&self, broken: &Break) -> bool {
        let name = broken.instance.split('#').next().unwrap_or("");
        self.out_targets.contains(name) && self.out_since.is_some_and(|from| broken.at >= from)
    }
}

/// Runs of orders by id, and requests that failed at cold targets, summed over all targets.
struct Runs {
    orders: BTreeMap<String, u32>,
    collapsed: u64,
}

/// Prints the table of results; returns false when a guarantee was violated.
pub(crate) async fn print_results(
    site: &site::Site,
    load: &Load,
    findings: &Findings,
) -> io::Result<bool> {
    let (udp, tcp) = (load.udp.report(), load.tcp.report());
    let runs = collect_runs(site).await?;
    let is_unexpected = |broken: &&Break| !findings.is_abandoned(broken);
    let count_flows = |breaks: Vec<&Break>| -> usize {
        let flows: BTreeSet<usize> = breaks.iter().map(|broken| broken.flow).collect();
        flows.len()
    };
    let broken = count_flows(udp.breaks.iter().filter(is_unexpected).collect());
    let abandoned = count_flows(udp.breaks.iter().filter(|it| !is_unexpected(it)).collect());
    let tcp_broken = count_flows(tcp.breaks.iter().filter(is_unexpected).collect());
    println!();
    print_row("UDP flows established", &udp.established);
    print_row("UDP flows broken", &broken);
    print_row("UDP flows abandoned with the zone", &abandoned);
    print_row(
        "breaks of UDP flows",
        &describe_breaks(&udp.breaks, findings),
    );
    print_row("TCP flows established", &tcp.established);
    print_row("TCP flows broken", &tcp_broken);
    print_row(
        "breaks of TCP flows",
        &describe_breaks(&tcp.breaks, findings),
    );
    let peak = peak_to_mean(&findings.placement);
    print_row(
        "peak to mean load, UDP flows per target",
        &format!("{peak:.2}"),
    );
    let (mut wrong, mut false_refusals, mut duplicates, mut unserved) = (0, 0, 0, 0);
    for (name, workers) in &load.requests {
        let report = workers.report();
        print_row(&format!("requests, {name}"), &describe_attempts(&report));
        wrong += report.attempts.get(&Outcome::Wrong).copied().unwrap_or(0);
        unserved += usize::from(!report.attempts.contains_key(&Outcome::Answered));
        false_refusals += count_false_refusals(&report, &runs);
        if name.starts_with("orders") {
            let ran = report
                .orders
                .keys()
                .filter_map(|order| runs.orders.get(order));
            duplicates += ran.filter(|runs| **runs > 1).count();
        }
    }
    print_row(
        "packets to the zone after it went out",
        &findings.traffic_after_out,
    );
    print_row(
        "new work of the leaving target",
        &findings.work_while_leaving,
    );
    print_row("requests that overloaded a cold target", &runs.collapsed);
    print_row("duplicates of non-idempotent requests", &duplicates);
    println!();
    let guarantees = [
        (
            broken == 0 && udp.established > 0,
            "P1: an established flow broke",
        ),
        (
            tcp_broken == 0 && tcp.established > 0,
            "P1: an established TCP flow broke",
        ),
        (runs.collapsed == 0, "P3: a cold target was overloaded"),
        (
            findings.traffic_after_out == 0,
            "P4: the zone still got packets",
        ),
        (
            wrong == 0,
            "P2 or P5: a response belonged to another request or service",
        ),
        (
            false_refusals == 0,
            "P6: a request that was refused as not run did run",
        ),
        (duplicates == 0, "P7: a non-idempotent request ran twice"),
        (
            findings.work_while_leaving == 0,
            "P8: the leaving target got new work",
        ),
        (unserved == 0, "service: no request of a kind was answered"),
        (
            findings.is_graceful_stop,
            "P9: the replaced balancer did not end gracefully",
        ),
    ];
    let failed = guarantees.iter().filter(|(held, _)| !held);
    let failed: Vec<&str> = failed.map(|(_, text)| *text).collect();
    for text in &failed {
        println!("FAILED {text}");
    }
    if failed.is_empty() {
        println!("all guarantees held");
    }
    Ok(failed.is_empty())
}

/// Describes unexpected breaks: the numbers by cause, and the times of the first and the last.
fn describe_breaks(breaks: &[Break], findings: &Findings) -> String {
    let unexpected = || breaks.iter().filter(|it| !findings.is_abandoned(it));
    let moved = unexpected().filter(|it| it.cause == Cause::Moved).count();
    let silent = unexpected().filter(|it| it.cause == Cause::Silent).count();
    let times = unexpected().map(|it| it.at);
    let seconds = |at: Option<Instant>| match (at, findings.started) {
        (Some(at), Some(started)) => format!("{:.1}", at.duration_since(started).as_secs_f64()),
        _ => "-".into(),
    };
    let (first, last) = (seconds(times.clone().min()), seconds(times.max()));
    format!("moved {moved}, silent {silent}, first at {first} s, last at {last} s")
}

fn print_row(name: &str, value: &dyn std::fmt::Display) {
    println!("{name:<46} {value}");
}

async fn collect_runs(site: &site::Site) -> io::Result<Runs> {
    let mut runs = Runs {
        orders: BTreeMap::new(),
        collapsed: 0,
    };
    for name in site.targets.keys() {
        let counts = site.counts(name).await?;
        runs.collapsed += counts.collapsed;
        for (order, count) in counts.orders {
            *runs.orders.entry(order).or_default() += count;
        }
    }
    Ok(runs)
}

fn describe_attempts(report: &Report) -> String {
    let counts: Vec<String> = report
        .attempts
        .iter()
        .map(|(outcome, count)| format!("{outcome:?} {count}"))
        .collect();
    format!("{}, slowest {:.1?}", counts.join(", "), report.slowest)
}

/// Returns the number of orders that ran although all their attempts were refused as not run.
fn count_false_refusals(report: &Report, runs: &Runs) -> usize {
    let orders = report.orders.iter();
    orders
        .filter(|(_, outcomes)| outcomes.iter().all(|it| *it == Outcome::NotRun))
        .filter(|(order, _)| runs.orders.contains_key(*order))
        .count()
}

fn peak_to_mean(placement: &BTreeMap<usize, String>) -> f64 {
    let mut flows: BTreeMap<&str, u32> = BTreeMap::new();
    for instance in placement.values() {
        *flows.entry(instance).or_default() += 1;
    }
    let peak = flows.values().max().copied().unwrap_or(0);
    let total: u32 = flows.values().sum();
    f64::from(peak) * f64::from(14u8) / f64::from(total.max(1))
}
