//! Runs experiment plans on the emulator, with `steer` and with plain hashing, and plots the
//! results:
//! `cargo run --release --example experiment -- examples/experiment/plans/targets-dark.jsonc`.

mod plot;

use std::{
    error,
    fs,
    path::PathBuf,
    time::Duration, //
};

use clap::Parser;
use mulberrynotch_standin::emulator::{
    self,
    plan,
    report, //
};

/// Runs experiment plans on the emulator.
#[derive(Debug, clap::Parser)]
struct Args {
    /// Experiment plans, JSON with comments.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Seed that replaces the one in the files.
    #[arg(long)]
    seed: Option<u64>,
    /// Directory to write the plots to.
    #[arg(long, default_value = "target/experiment")]
    plots: PathBuf,
}

fn main() -> Result<(), Box<dyn error::Error>> {
    let args = Args::parse();
    fs::create_dir_all(&args.plots)?;
    for file in &args.files {
        let text = fs::read_to_string(file)?;
        let mut plan: plan::Plan =
            jsonc_parser::parse_to_serde_value(&text, &Default::default())
                .map_err(|error| format!("{}: {error}; correct the file", file.display()))?;
        plan.seed = args.seed.unwrap_or(plan.seed);
        let steer = emulator::run(&plan, emulator::Method::Steer);
        let hash = emulator::run(&plan, emulator::Method::Hash);
        println!("{} (seed {})", plan.name, plan.seed);
        println!("{HEADER}");
        print_row("steer", &steer);
        print_row("hash", &hash);
        print_windows(&steer, &hash);
        print_control(&plan, &steer);
        print_paths(&plan, &steer);
        let name = file.with_extension("svg");
        let path = args
            .plots
            .join(name.file_name().ok_or("the file has no name")?);
        plot::draw(&path, &plan, &steer, &hash)?;
        println!("plot: {}\n", path.display());
    }
    Ok(())
}

const HEADER: &str = "method  requests  served  in aim  p50 ms  p99 ms  peak/mean  shed  moved  \
                    false resets  late openings  calls  messages";

fn print_row(name: &str, report: &report::Report) {
    println!(
        "{name:<6}  {:>8}  {:.4}  {:.4}  {:>6}  {:>6}  {:>9.2}  {:>4}  {:>5}  {:>12}  {:>13}  {:>5}  {:>8}",
        report.requests.len(),
        report.served(),
        report.in_aim(),
        report.latency(500).as_millis(),
        report.latency(990).as_millis(),
        report.peak_to_mean(),
        report.shed,
        report.misrouted_packets,
        report.false_resets,
        report.late_openings,
        report.store_calls,
        report.messages,
    );
}

/// Prints the mean control traffic of a balancer and the number of calls to the store.
fn print_control(plan: &plan::Plan, report: &report::Report) {
    let balancers = u64::try_from(plan.zones * plan.balancers).unwrap_or(u64::MAX);
    let seconds = (plan.seconds + WARMUP_SECONDS).max(1);
    let rate = |bytes: u64| bytes / balancers.max(1) / seconds;
    let total = report.control.values().map(|it| it.bytes).sum();
    println!(
        "control: {} B/s sent per balancer on average, {} calls to the store in {seconds} s by {balancers} balancers",
        rate(total),
        report.store_calls,
    );
    for (kind, volume) in &report.control {
        let mean = volume.bytes / volume.messages.max(1);
        println!(
            "  {kind}: {} B/s, {} messages of {mean} B",
            rate(volume.bytes),
            volume.messages
        );
    }
}

/// Prints the numbers of flows and probes, and the times in which balancers detected each partition
/// and its end.
fn print_paths(plan: &plan::Plan, report: &report::Report) {
    println!(
        "flows: {} opened, {} of them to another zone, {} broken, {} refused; {} probes, {} per second, {:.3} connections per flow",
        report.flows,
        report.cross_zone_flows,
        report.broken_flows,
        report.refused_flows,
        report.probes,
        report.probes / plan.seconds.max(1),
        report.connections_per_flow(),
    );
    for fault in &plan.faults {
        let plan::Fault::ZoneCut { at, zone, lasts } = fault else {
            continue;
        };
        for (cut, from) in [(true, *at), (false, at + lasts)] {
            let times = report.detection_times(*zone, cut, Duration::from_secs_f64(from));
            let millis = |index: usize| times.get(index).map_or(0, Duration::as_millis);
            println!(
                "zone {zone} {}: detected by {} balancers of other zones, median {} ms, last {} ms",
                if cut { "cut off" } else { "back" },
                times.len(),
                millis(times.len() / 2),
                millis(times.len().saturating_sub(1)),
            );
        }
    }
}

/// Time for which the balancers run before the load begins, in seconds.
const WARMUP_SECONDS: u64 = 2;

/// Prints the three seconds with the lowest share of requests answered in aim.
fn print_windows(steer: &report::Report, hash: &report::Report) {
    for (name, report) in [("steer", steer), ("hash", hash)] {
        let mut windows = report.windows();
        windows.sort_by(|a, b| a.in_aim().total_cmp(&b.in_aim()));
        let worst = windows.iter().take(3);
        let descriptions: Vec<_> = worst
            .map(|it| format!("second {} {:.3}", it.from, it.in_aim()))
            .collect();
        println!("worst with {name}: {}", descriptions.join(", "));
    }
}
