//! Header of client traffic that one balancer forwards to another.

use std::net::SocketAddr;

use mulberrynotch_register::id;

mulberrynotch_macros::message! {
    /// Precedes a datagram or byte stream of a caller that is forwarded between balancers.
    pub struct Header {
        /// Revision of the register by which the sender chose the target.
        pub revision: u64,
        /// Service that the caller addresses.
        pub service: id::Service,
        /// Target that the sender has chosen.
        pub target: id::Target,
        /// Source of the choice of target.
        pub choice: Choice,
        /// Remaining number of forwards before the packet is dropped.
        pub hops_left: u8,
        /// Address of the caller.
        pub caller: SocketAddr,
        /// Service address that the caller sent to.
        pub address: SocketAddr,
    }

    /// Source of the choice of a target.
    pub enum Choice {
        /// Position in the preference list of the flow.
        Rank(u8),
        /// A hint, received for an earlier packet of the flow.
        Hint,
        /// A redirect, stored by the owner of the first target of the flow's preference list.
        Redirect,
    }
}
