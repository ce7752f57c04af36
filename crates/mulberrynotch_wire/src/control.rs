//! Membership and configuration messages.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_register::model;

mulberrynotch_macros::data! {
    /// What one process knows of a balancer.
    pub struct Member {
        /// Unique name of the VM.
        pub name: Arc<str>,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Address for peers, UDP and TCP.
        pub peer: SocketAddr,
        /// Raised by the member itself at each start and to refute a suspicion.
        pub incarnation: u64,
        /// State at that incarnation.
        pub state: State,
    }

    /// Revision and content of a register.
    #[derive(Copy, Default)]
    pub struct Version {
        /// Revision of the register.
        pub revision: u64,
        /// First 8 bytes of the digest of the register's content.
        pub digest: u64,
    }

    /// Sender's summary, part of every heartbeat.
    #[derive(Copy)]
    pub struct Summary {
        /// Version of the register in force.
        pub version: Version,
        /// Digest of the set of live members, for repair.
        pub members_digest: u64,
        /// Seconds since a reader that the sender knows of heard from the platform; 255 for never.
        pub platform_age_seconds: u8,
    }
}

mulberrynotch_macros::message! {
    /// State of a member; at the same incarnation a later variant overrides an earlier one.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum State {
        /// Answers heartbeats.
        Alive,
        /// Missed heartbeats; still counted as live.
        Suspect,
        /// In graceful shutdown: owns nothing new, still forwards.
        Leaving,
        /// Gone.
        Dead,
    }

    /// Membership and configuration messages.
    pub enum Message {
        /// Asks for an `Ack`.
        Ping {
            /// Echoed in the answer.
            sequence: u32,
            /// Sender itself.
            sender: Member,
            /// Sender's summary.
            summary: Summary,
            /// Changes of other members.
            updates: Vec<Member>,
        },
        /// Answers a `Ping`.
        Ack {
            /// From the `Ping`.
            sequence: u32,
            /// Sender itself.
            sender: Member,
            /// Sender's summary.
            summary: Summary,
            /// Changes of other members.
            updates: Vec<Member>,
        },
        /// Asks the receiver to ping `subject` and to pass the answer on.
        PingRequest {
            /// Echoed in the answer.
            sequence: u32,
            /// Member that did not answer the sender.
            subject: Arc<str>,
        },
        /// The sender starts a graceful shutdown, or has finished it.
        Leave {
            /// The sender, `Leaving` or `Dead`.
            sender: Member,
        },
        /// Asks for member entries; sent when digests differ.
        PullMembers {
            /// Digest of each bucket of the sender's table; entries of equal buckets stay out of
            /// the answer.
            buckets: Vec<u32>,
        },
        /// Answers `PullMembers`, in at most one datagram; the receiver does not spread it.
        Entries {
            /// Entries of the sender's table.
            members: Vec<Member>,
        },
        /// Changes of members, to be spread.
        Members {
            /// The changes.
            members: Vec<Member>,
        },
        /// The sender holds this version; a receiver that is behind pulls it.
        Revision {
            /// Version that the sender holds.
            version: Version,
        },
        /// A change from one revision to another.
        Delta(Delta),
        /// Asks for the change from `have` to the receiver's register.
        Pull {
            /// Version that the sender holds.
            have: Version,
        },
        /// The change is too large for datagrams: fetch it over TCP (`stream::Preface::Snapshot`).
        Offer {
            /// Version that can be fetched.
            version: Version,
        },
        /// Asks for the receiver's version, after a pause or a partition.
        Confirm {
            /// Echoed in the answer.
            nonce: u64,
            /// Version that the sender holds.
            have: Version,
        },
        /// Answers `Confirm`.
        Confirmed {
            /// From the `Confirm`.
            nonce: u64,
            /// Version that the sender holds.
            version: Version,
        },
        /// The sender reads for the zone and cannot reach the platform; the receiver reads in its
        /// place for a few seconds.
        Delegate,
    }

    /// A change from one revision to another.
    pub struct Delta {
        /// Version that the change applies to.
        pub base: Version,
        /// Version that it leads to.
        pub version: Version,
        /// Zones after the change, when any differs.
        pub zones: Option<Vec<model::Zone>>,
        /// Rules after the change, when any differs.
        pub rules: Option<Vec<model::Rule>>,
        /// Services that are new or differ.
        pub services: Vec<model::Service>,
        /// Names of services that are gone.
        pub removed: Vec<Arc<str>>,
        /// Order of all services after the change, when it differs from appending new ones.
        pub order: Option<Vec<Arc<str>>>,
    }
}
