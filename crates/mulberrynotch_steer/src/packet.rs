//! Headers of the packets of flows, as far as routing decisions depend on them.

use std::net::SocketAddrV4;

mulberrynotch_macros::value! {
    /// Addresses of the two ends of a flow, which identify it.
    pub struct Flow {
        /// Source address of the client.
        pub client: SocketAddrV4,
        /// Address of the route, to which the client sends.
        pub route: SocketAddrV4,
    }

    /// Flags of a packet.
    pub struct Flags {
        /// Opens the flow, as SYN does.
        pub open: bool,
        /// Acknowledges data or the opening packet.
        pub ack: bool,
        /// Closes the sender's direction of the flow, as FIN does.
        pub finish: bool,
        /// Aborts the flow.
        pub reset: bool,
    }

    /// Header of a packet from a client.
    pub struct Packet {
        /// Flow that the packet belongs to.
        pub flow: Flow,
        /// Flags of the packet.
        pub flags: Flags,
        /// Cookie of the flow's target; [`crate::cookie::NONE`] while the flow has none.
        pub cookie: u32,
        /// Position of the first data byte in the client's stream.
        pub sequence: u32,
        /// Position up to which the client has received the target's stream. In an opening packet,
        /// the number of earlier transmissions of it.
        pub acknowledged: u32,
        /// Length of the data, in bytes.
        pub length: u16,
    }
}

impl Packet {
    /// Returns whether the packet opens a flow and has no other flag set.
    pub fn opens(&self) -> bool {
        let Flags {
            open,
            ack,
            finish,
            reset,
        } = self.flags;
        open && !ack && !finish && !reset
    }

    /// Returns whether the flags contradict each other; clients send no such combination.
    pub fn is_malformed(&self) -> bool {
        self.flags.open && !self.opens()
    }
}
