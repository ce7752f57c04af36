//! Prints tables of memory, processor time and traffic by the size of the fleet.
//!
//! Run `cargo run --release -p mulberrynotch_benches --example slopes -- SECTION`; sections are
//! `memory`, `time`, `traffic`, `handover`, `fleet`, `join`, `loss` and `register`.

mod count;
mod fleet;
mod handover;
mod memory;
mod time;
mod traffic;

// The simulation harness of the policy tests, included so that it is not duplicated.
#[path = "../../../crates/mulberrynotch_policy/tests/fixture/mod.rs"]
mod fixture;
#[path = "../../../crates/mulberrynotch_policy/tests/flow_fixture/mod.rs"]
mod flow_fixture;

fn main() {
    let section = std::env::args().nth(1).unwrap_or_default();
    match section.as_str() {
        "memory" => memory::print(),
        "time" => time::print(),
        "traffic" => traffic::print(),
        "handover" => handover::print(),
        "fleet" => fleet::print(),
        "join" => fleet::print_join(),
        "loss" => fleet::print_loss(),
        "register" => fleet::print_register(),
        _ => eprintln!(
            "give a section: memory, time, traffic, handover, fleet, join, loss or register"
        ),
    }
}
