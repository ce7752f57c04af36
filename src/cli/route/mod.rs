//! `mulberrynotch route`: explains which target a flow is routed to.

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
    /// Register by which to explain the routing of `run`.
    #[arg(
        long,
        value_name = "FILE",
        requires = "service",
        required_unless_present = "admin",
        conflicts_with = "admin"
    )]
    register: Option<PathBuf>,
    /// Name of the service in the register.
    #[arg(long, value_name = "NAME", requires = "register")]
    service: Option<Arc<str>>,
    /// Live balancer and its zone; may be repeated. Without one, the assignment rule is shown instead
    /// of the owner.
    #[arg(long = "member", value_name = "NAME@ZONE", requires = "register")]
    members: Vec<register::Member>,
    /// Admin address of a running `steer` process that explains the routing of a packet.
    #[arg(long, value_name = "IP:PORT", requires = "address")]
    admin: Option<SocketAddr>,
    /// Service address that the caller sends to.
    #[arg(long, value_name = "IP:PORT", requires = "admin")]
    address: Option<SocketAddr>,
    /// Cookie of the packet; a packet without one opens a flow.
    #[arg(long, value_name = "NUMBER", requires = "admin")]
    cookie: Option<u32>,
    /// Address of the caller.
    #[arg(long, value_name = "IP:PORT")]
    caller: SocketAddr,
    /// Output format for the answer of a running process.
    #[arg(long, value_enum, default_value_t = dump::Format::Text)]
    format: dump::Format,
}

/// Prints the target of a flow and the reasons for the choice.
pub fn execute(args: &Args) -> ExitCode {
    match (&args.register, &args.service, args.admin, args.address) {
        (Some(path), Some(service), ..) => explain_by_register(args, path, service),
        (_, _, Some(admin), Some(address)) => explain_by_process(args, admin, address),
        _ => {
            eprintln!("give --register and --service, or --admin and --address");
            ExitCode::from(super::EXIT_REFUSED)
        }
    }
}

fn explain_by_register(args: &Args, path: &Path, service: &str) -> ExitCode {
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

fn explain_by_process(args: &Args, admin: SocketAddr, address: SocketAddr) -> ExitCode {
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
