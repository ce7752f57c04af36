//! Command line entry point.

use std::process::ExitCode;

fn main() -> ExitCode {
    mulberrynotch::cli::run_from(std::env::args_os())
}
