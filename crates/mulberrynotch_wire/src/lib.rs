//! Frames exchanged between balancer processes.
//!
//! Each datagram is a [`frame::Frame`] in an authenticated [`envelope`]; each TCP connection starts
//! with a [`stream::Preface`] in an envelope. Both are encoded with `postcard`.

mod compact;
pub mod control;
pub mod data;
pub mod envelope;
pub mod flow;
pub mod frame;
mod grouped;
pub mod key;
pub mod stream;

/// Re-exports the commonly used modules of this crate.
pub mod prelude {
    pub use crate::control;
    pub use crate::data;
    pub use crate::flow;
    pub use crate::frame;
    pub use crate::key;
    pub use crate::stream;
}
