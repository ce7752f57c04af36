//! Commands of the program and their arguments.

mod admin;
pub mod check;
pub mod diff;
mod document;
pub mod dump;
pub mod explain;
pub mod route;
pub mod run;
mod snapshot;
pub mod steer;

use std::{
    ffi::OsString,
    process::ExitCode, //
};

use clap::Parser;

/// Exit code for invalid arguments and for rejected settings.
pub const EXIT_REFUSED: u8 = 2;

/// Layer-4 load balancer.
#[derive(Debug, clap::Parser)]
#[command(name = "mulberrynotch", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Runs a balancer until SIGTERM.
    Run(run::Arguments),
    /// Runs a balancer that routes packets by a cookie of the target in each packet, until SIGTERM.
    Steer(steer::Args),
    /// Prints the history of a flow from the logs of several balancers.
    Explain(explain::Args),
    /// Validates settings or a register.
    Check(check::Args),
    /// Prints the state of a running process.
    Dump(dump::Args),
    /// Explains which target a flow is routed to.
    Route(route::Args),
    /// Describes the effect of publishing a register that replaces another one.
    Diff(diff::Args),
}

/// Runs the command given by `arguments`, whose first element is the name of the program.
pub fn run_from(arguments: impl IntoIterator<Item = impl Into<OsString> + Clone>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            // Printing fails only if the standard streams are closed.
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(EXIT_REFUSED));
        }
    };
    match arguments.command {
        Command::Run(arguments) => run::run(&arguments),
        Command::Steer(args) => steer::execute(&args),
        Command::Explain(args) => explain::execute(&args),
        Command::Check(args) => check::execute(&args),
        Command::Dump(args) => dump::execute(&args),
        Command::Route(args) => route::execute(&args),
        Command::Diff(args) => diff::execute(&args),
    }
}
