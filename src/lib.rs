//! Layer-4 load balancer.
//!
//! The library contains the command line, so that tests and benchmarks can run a process.
//!
//! ```
//! let code = mulberrynotch::cli::run_from(["mulberrynotch", "--help"]);
//! assert_eq!(code, std::process::ExitCode::SUCCESS);
//! ```

pub mod cli;
pub mod log;
