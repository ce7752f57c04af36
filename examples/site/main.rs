//! Runs a small site on loopback as real processes and checks the guarantees:
//! `cargo run --release --example site`.
//!
//! Three zones, six balancers, two services with 14 and 4 targets. Flows and requests run while a
//! balancer is replaced, a target is rolled, and a zone goes out of service and returns. The exit
//! status is 0 when all guarantees held.

mod load;
mod plan;
mod table;

use std::{
    env,
    io,
    path::PathBuf,
    process::ExitCode, //
    thread,
};

use mulberrynotch_standin::{
    role,
    site, //
};

/// First argument that makes this program run as a balancer.
const BALANCER: &str = "--balancer";
/// First argument that makes this program run as a stand-in.
const STANDIN: &str = "--stand-in";
/// Seed of the fabric.
const SEED: u64 = 1;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    match (arguments.next().as_deref(), arguments.next()) {
        (Some(BALANCER), Some(settings)) => run_balancer(&settings),
        (Some(STANDIN), Some(json)) => exit_code(role::run(&json).map(|()| true)),
        _ => exit_code(run_site()),
    }
}

fn exit_code(result: io::Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a balancer through the entry point of the binary. Exits when standard input ends, which
/// happens when the parent process exits.
fn run_balancer(settings: &str) -> ExitCode {
    thread::spawn(|| {
        let _ = role::wait_for_stdin_end();
        std::process::exit(1);
    });
    mulberrynotch::cli::run_from(["mulberrynotch", "run", "--settings", settings])
}

fn run_site() -> io::Result<bool> {
    println!("seed {SEED}");
    let path = env::current_exe()?;
    let program = |argument: &str| site::Program {
        path: path.clone(),
        arguments: vec![argument.into()],
    };
    let keep = env::var_os("KEEP_FOLDER").is_some();
    let folder: PathBuf = env::temp_dir().join(format!("mulberrynotch-{}", std::process::id()));
    if keep {
        println!("logs in {}", folder.display());
    }
    let config = site::Config {
        layout: site::Layout { a: 1, b: 1 },
        balancer: program(BALANCER),
        standin: Some(program(STANDIN)),
        seed: SEED,
        folder,
        keep_folder: keep,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(plan::run(config))
}
