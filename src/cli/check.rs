//! `mulberrynotch check`: validates settings or a register.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

use mulberrynotch_register::{
    model,
    parse,
    settings,
    steering, //
};

use super::{
    EXIT_REFUSED,
    document, //
};

/// Arguments of `check`.
#[derive(Debug, clap::Args)]
#[group(required = true, multiple = false)]
pub struct Args {
    /// Settings of a `run` process.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Settings of a `steer` process.
    #[arg(long, value_name = "FILE")]
    steering: Option<PathBuf>,
    /// Register.
    #[arg(long, value_name = "FILE")]
    register: Option<PathBuf>,
}

/// Prints a summary of a valid document; for an invalid one prints all problems and returns exit
/// status 2.
pub fn execute(args: &Args) -> ExitCode {
    let summary = match (&args.settings, &args.steering, &args.register) {
        (Some(path), ..) => document::read(path, parse::settings).map(|it| (path, process(&it))),
        (_, Some(path), _) => document::read(path, parse::steering).map(|it| (path, steered(&it))),
        (.., Some(path)) => document::register(path).map(|it| (path, inventory(&it))),
        (None, None, None) => return ExitCode::from(EXIT_REFUSED),
    };
    match summary {
        Ok((path, summary)) => print_valid(path, &summary),
        Err(code) => code,
    }
}

fn print_valid(path: &Path, summary: &str) -> ExitCode {
    println!("{}: valid: {summary}", path.display());
    ExitCode::SUCCESS
}

/// Summarizes the settings of a `run` process.
fn process(settings: &settings::Settings) -> String {
    let ingress = match settings.ingress {
        settings::Ingress::Direct => "direct",
        settings::Ingress::Proxy { .. } => "proxy",
    };
    format!(
        "name {}, zone {}, ingress {ingress}, {} seeds, {} secrets",
        settings.name,
        settings.zone,
        settings.seeds.len(),
        settings.secrets.len()
    )
}

/// Summarizes the settings of a `steer` process.
fn steered(settings: &steering::Settings) -> String {
    format!(
        "name {}, zone {}, packets at {}, {} seeds",
        settings.name,
        settings.zone,
        settings.packet_address,
        settings.seeds.len()
    )
}

/// Summarizes a register.
fn inventory(register: &model::Register) -> String {
    let targets: usize = register.services.iter().map(|it| it.targets.len()).sum();
    let addresses: usize = register.services.iter().map(|it| it.addresses.len()).sum();
    format!(
        "revision {}, {} zones ({} out of service), {} services, {addresses} addresses, \
         {targets} targets, {} rules",
        register.revision,
        register.zones.len(),
        register.zones.iter().filter(|zone| zone.out).count(),
        register.services.len(),
        register.rules.len()
    )
}
