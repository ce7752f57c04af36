//! Decisions of a balancer as state machines without input or output.
//!
//! Every input carries the time of the event, as a `Duration` since the start of the process, and
//! every output is a decision or an action that the driver carries out. The same inputs and the
//! same seed give the same outputs.

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

/// The modules that most users of this crate import.
pub mod prelude {
    pub use crate::control;
    pub use crate::flow;
    pub use crate::request;
    pub use crate::view;
}
