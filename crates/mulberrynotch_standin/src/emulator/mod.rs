//! Discrete-event simulation of clients, routers, targets, store and network links around
//! `mulberrynotch_steer`. Runs are deterministic: the same plan and seed give the same report.

mod client;
mod fault;
mod link;
pub mod plan;
pub mod report;
mod store;
mod target;
mod world;

use self::{
    plan::Plan,
    report::Report,
    world::World, //
};

/// Forwarding method of the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Forwarding by the state machine of `mulberrynotch_steer`.
    Steer,
    /// Stateless rendezvous hashing of the flow over the targets listed in the store.
    Hash,
}

/// Simulates a plan and returns what clients and targets observed.
pub fn run(plan: &Plan, method: Method) -> Report {
    World::new(plan, method).run()
}
