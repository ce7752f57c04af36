//! Stand-ins for the systems around a balancer, used by tests and examples.
//!
//! Each stand-in has an asynchronous handle that stops it on drop, and can run as a separate
//! process that is controlled over loopback HTTP ([`role`]). Releases do not include this crate.

pub mod caller;
pub mod emulator;
pub mod fabric;
pub mod fault;
pub mod http;
pub mod platform;
pub mod proxy;
pub mod role;
pub mod seed;
pub mod site;
pub mod target;
pub mod task;

/// Modules that most users of this crate import.
pub mod prelude {
    pub use crate::caller;
    pub use crate::fabric;
    pub use crate::fault;
    pub use crate::platform;
    pub use crate::site;
    pub use crate::target;
}
