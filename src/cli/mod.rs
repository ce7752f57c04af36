//! Command line.

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

/// Exit code for wrong arguments and for refused settings.
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
    /// Runs a balancer whose flows carry their target in each packet, until SIGTERM.
    Steer(steer::Args),
    /// Prints the story of a flow over the logs of several balancers.
    Explain(explain::Args),
    /// Validates settings or a register.
    Check(check::Args),
    /// Prints the state of a running process.
    Dump(dump::Args),
    /// Explains where a flow goes.
    Route(route::Args),
    /// Says what publishing a register over another one does.
    Diff(diff::Args),
}

/// Runs the command that `arguments` name; the first one is the program itself.
pub fn run_from(arguments: impl IntoIterator<Item = impl Into<OsString> + Clone>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            // Printing fails only when the terminal is gone.
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
