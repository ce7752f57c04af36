//! `mulberrynotch route`: explains where a flow goes.

pub mod process;
pub mod register;

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    sync::Arc, //
};

use mulberrynotch_wire::control;

use super::{
    admin,
    document,
    dump,
    snapshot, //
};

/// Arguments of `route`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// A register, to explain a flow of `run` by it.
    #[arg(
        long,
        value_name = "FILE",
        requires = "service",
        required_unless_present = "admin",
        conflicts_with = "admin"
    )]
    register: Option<PathBuf>,
    /// Name of a service of the register.
    #[arg(long, value_name = "NAME", requires = "register")]
    service: Option<Arc<str>>,
    /// A live balancer and its zone; may be repeated. Without any, the rule is shown instead of the
    /// owner.
    #[arg(long = "member", value_name = "NAME@ZONE", requires = "register")]
    members: Vec<register::Member>,
    /// Admin address of a running `steer`, to ask it for a packet of a flow.
    #[arg(long, value_name = "IP:PORT", requires = "address")]
    admin: Option<SocketAddr>,
    /// Address that the caller sends to.
    #[arg(long, value_name = "IP:PORT", requires = "admin")]
    address: Option<SocketAddr>,
    /// Cookie in the packet; without one, the packet opens the flow.
    #[arg(long, value_name = "NUMBER", requires = "admin")]
    cookie: Option<u32>,
    /// Address of the caller.
    #[arg(long, value_name = "IP:PORT")]
    caller: SocketAddr,
    /// Form of the answer of a running process.
    #[arg(long, value_enum, default_value_t = dump::Format::Text)]
    format: dump::Format,
}

/// Prints where a flow goes and why.
pub fn execute(args: &Args) -> ExitCode {
    match (&args.register, &args.service, args.admin, args.address) {
        (Some(path), Some(service), ..) => by_register(args, path, service),
        (_, _, Some(admin), Some(address)) => by_process(args, admin, address),
        _ => {
            eprintln!("name a --register and its --service, or --admin and --address");
            ExitCode::from(super::EXIT_REFUSED)
        }
    }
}

fn by_register(args: &Args, path: &Path, service: &str) -> ExitCode {
    let register = match document::register(path) {
        Ok(register) => register,
        Err(code) => return code,
    };
    let members: Vec<control::Member> = args
        .members
        .iter()
        .map(|member| snapshot::member(&member.name, &member.zone))
        .collect();
    match register::explain(register, service, args.caller, &members) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => document::refuse(path, &error),
    }
}

fn by_process(args: &Args, admin: SocketAddr, address: SocketAddr) -> ExitCode {
    match admin::get(admin, &process::path(args.caller, address, args.cookie)) {
        Ok(answer) if args.format == dump::Format::Json => {
            println!("{answer:#}");
            ExitCode::SUCCESS
        }
        Ok(answer) => {
            print!("{}", process::render(&answer));
            ExitCode::SUCCESS
        }
        Err(error) => admin::fail(admin, &error),
    }
}
