//! Inputs shared by the benchmarks and the example `slopes`.

pub mod flows;
pub mod input;
pub mod peers;
