//! Runs the fault soak manually:
//! `cargo build --release && cargo run --release --example soak -- --help`.

use std::{
    io,
    path::PathBuf,
    process::ExitCode,
    time::Duration, //
};

use clap::Parser;
use mulberrynotch_platform_standin::soak;
use tokio::{
    signal::unix,
    task::JoinSet, //
};

/// Runs seeds of the fault soak and prints the findings of each.
#[derive(Debug, clap::Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of seeds that run concurrently.
    #[arg(long, default_value_t = 1)]
    parallel: u64,
    /// Time during which faults are injected, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of balancers in each of the two zones.
    #[arg(long, default_value_t = 3)]
    balancers: u8,
    /// Number of targets in each of the two zones.
    #[arg(long, default_value_t = 4)]
    targets: u8,
    /// Directory for settings and logs, with one folder per seed.
    #[arg(long, default_value = "target/soak")]
    directory: PathBuf,
}

fn main() -> io::Result<ExitCode> {
    let args = Args::parse();
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        // Dropping the sites stops their balancers; a signal without a handler would leave them
        // running.
        tokio::select! {
            outcome = run_seeds(&args) => outcome,
            _ = terminate.recv() => Ok(ExitCode::FAILURE),
            _ = tokio::signal::ctrl_c() => Ok(ExitCode::FAILURE),
        }
    })
}

async fn run_seeds(args: &Args) -> io::Result<ExitCode> {
    let mut next = args.first;
    let end = args.first + args.seeds;
    let mut running = JoinSet::new();
    let mut failed = 0;
    let mut free_blocks: Vec<u8> = (0..args.parallel)
        .filter_map(|it| u8::try_from(20 + it).ok())
        .collect();
    loop {
        while let Some(block) = (next < end).then(|| free_blocks.pop()).flatten() {
            let plan = plan(args, next, block)?;
            running.spawn(async move { (block, soak::run(plan).await) });
            next += 1;
        }
        let Some(finished) = running.join_next().await else {
            break;
        };
        let (block, report) = finished.map_err(io::Error::other)?;
        free_blocks.push(block);
        let report = report?;
        failed += usize::from(!report.violations.is_empty());
        println!("{}", report.summary());
        if !report.violations.is_empty() {
            println!("  faults: {}", report.faults.join("; "));
        }
    }
    println!("{} seeds, {failed} with a violation", args.seeds);
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn plan(args: &Args, seed: u64, block: u8) -> io::Result<soak::Plan> {
    let directory = args.directory.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&directory)?;
    // Cargo puts examples one directory below the binaries.
    let example = std::env::current_exe()?;
    let programs = example.parent().and_then(|it| it.parent());
    let programs =
        programs.ok_or_else(|| io::Error::other("the example has no directory above it"))?;
    Ok(soak::Plan {
        seed,
        length: Duration::from_secs(args.seconds),
        balancers: args.balancers,
        targets: args.targets,
        program: programs.join("mulberrynotch"),
        directory,
        block,
    })
}
