//! Runs a single stand-in as a process, for example a platform:
//!
//! `cargo run -p mulberrynotch_standin --example standin -- '{"role":"platform","address":"127.0.0.1:8000"}'`
//!
//! The process ends when its standard input ends.

use std::process::ExitCode;

fn main() -> ExitCode {
    let json = std::env::args().nth(1).unwrap_or_default();
    match mulberrynotch_standin::role::run(&json) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{json}: {error}; pass the role of a stand-in as JSON");
            ExitCode::FAILURE
        }
    }
}
