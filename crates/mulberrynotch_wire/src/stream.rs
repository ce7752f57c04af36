//! First frame of a TCP connection between balancers.

use std::sync::Arc;

use crate::{
    control,
    data, //
};

mulberrynotch_macros::message! {
    /// States the purpose of a TCP connection between two balancers.
    pub enum Preface {
        /// Carries one TCP flow; the receiver sends an `Answer`, then raw bytes follow.
        Flow(data::Header),
        /// Carries HTTP/2 requests with the sender as client.
        Requests {
            /// Name of the balancer that opened the connection.
            sender: Arc<str>,
        },
        /// Requests the register; the receiver sends it as `postcard` and closes the connection.
        Snapshot,
        /// Requests the membership entries that the sender does not hold; the receiver sends them as
        /// `postcard` and closes the connection.
        Members {
            /// Membership entry of the sender.
            sender: control::Member,
            /// Hashes of the entries that the sender holds.
            held: Vec<[u8; 4]>,
        },
    }

    /// Answer of the owner of a target to `Preface::Flow`.
    pub enum Answer {
        /// The flow is admitted and the target is connected.
        Admitted,
        /// The flow belongs to another target, named by the header.
        Forward(data::Header),
        /// The flow is refused; no byte of it reached a target.
        Refused,
    }
}
