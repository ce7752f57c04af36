//! Stateless steering: decisions of a balancer whose packets name the target of their flow.
//!
//! A balancer writes the cookie of the chosen target into the packet that opens a flow, and both
//! ends of the flow repeat it. Every later packet names its target, so any balancer can forward it
//! without a record of the flow.
//!
//! The crate does no I/O. Every input carries the time of its event, as a `Duration` since the start
//! of the process, and every output is a decision or an action for the driver to execute.
//!
//! ```
//! use mulberrynotch_steer::cookie;
//!
//! assert_eq!(cookie::of(7), cookie::of(7));
//! assert_ne!(cookie::of(7), cookie::of(8));
//! ```

pub mod broadcast;
pub mod catalog;
pub mod choice;
pub mod contact;
pub mod cookie;
pub mod evidence;
pub mod fleet;
pub mod flow;
pub mod jitter;
pub mod machine;
pub mod message;
pub mod pacing;
pub mod packet;
pub mod patch;
pub mod path;
pub mod pause;
pub mod ramp;
pub mod reader;
pub mod record;
pub mod revision;
pub mod rotation;

/// Modules that most users of this crate import.
pub mod prelude {
    pub use crate::machine;
    pub use crate::packet;
    pub use crate::record;
}
