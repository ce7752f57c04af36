//! Sans-I/O state machines for the decisions of a balancer.
//!
//! Every input carries its time as a `Duration` since the start of the process, and every output is
//! a decision or an action for the driver to execute. The machines are deterministic: the same
//! inputs and the same seed produce the same outputs.

pub mod budget;
pub mod control;
pub mod delta;
pub mod flow;
pub mod health;
pub mod idempotency;
pub mod limit;
pub mod ownership;
pub mod preference;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod view;

/// The most commonly used modules.
pub mod prelude {
    pub use crate::control;
    pub use crate::flow;
    pub use crate::request;
    pub use crate::view;
}
