//! Membership and configuration messages.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_register::model;

mulberrynotch_macros::data! {
    /// Membership entry of a balancer, as one process knows it.
    pub struct Member {
        /// Unique name of the VM.
        pub name: Arc<str>,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Address for traffic between balancers, over UDP and TCP.
        pub peer: SocketAddr,
        /// Number that the member raises at each start and to refute a suspicion.
        pub incarnation: u64,
        /// State of the member in this incarnation.
        pub state: State,
    }

    /// Identifies a register by its revision and a digest of its content.
    #[derive(Copy, Default)]
    pub struct Version {
        /// Revision number of the register.
        pub revision: u64,
        /// First 8 bytes of the digest of the register's content.
        pub digest: u64,
    }

    /// Summary of the sender's state, part of each heartbeat.
    #[derive(Copy)]
    pub struct Summary {
        /// Version of the register in effect.
        pub version: Version,
        /// Digest of the set of live members; a difference starts a repair.
        pub members_digest: u64,
        /// Seconds since the last contact of any reader known to the sender with the platform; 255
        /// for never.
        pub platform_age_seconds: u8,
    }
}

mulberrynotch_macros::message! {
    /// State of a member; within an incarnation a later variant overrides an earlier one.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum State {
        /// Answers heartbeats.
        Alive,
        /// Has missed heartbeats; still counts as live.
        Suspect,
        /// Shuts down gracefully: takes no new ownership, still forwards.
        Leaving,
        /// Has left the fleet or failed.
        Dead,
    }

    /// Membership and configuration messages.
    pub enum Message {
        /// Requests an `Ack`.
        Ping {
            /// Echoed in the answer.
            sequence: u32,
            /// Membership entry of the sender.
            sender: Member,
            /// Summary of the sender's state.
            summary: Summary,
            /// Changed entries of other members.
            updates: Vec<Member>,
        },
        /// Answers a `Ping`.
        Ack {
            /// Echoed from the `Ping`.
            sequence: u32,
            /// Membership entry of the sender.
            sender: Member,
            /// Summary of the sender's state.
            summary: Summary,
            /// Changed entries of other members.
            updates: Vec<Member>,
        },
        /// Requests that the receiver ping `subject` and forward the answer.
        PingRequest {
            /// Echoed in the answer.
            sequence: u32,
            /// Member that did not answer the sender.
            subject: Arc<str>,
        },
        /// Announces that the sender starts or has finished a graceful shutdown.
        Leave {
            /// Membership entry of the sender, in state `Leaving` or `Dead`.
            sender: Member,
        },
        /// Requests membership entries; sent when the digests of two tables differ.
        PullMembers {
            /// Digest of each bucket of the sender's table; the answer omits entries of buckets with
            /// equal digests.
            buckets: Vec<u32>,
        },
        /// Answers `PullMembers` in at most one datagram; the receiver does not propagate the entries.
        Entries {
            /// Entries of the sender's table.
            members: Vec<Member>,
        },
        /// Carries membership changes, which the receiver propagates.
        Members {
            /// Changed entries.
            members: Vec<Member>,
        },
        /// Announces the sender's version; a receiver with an older one pulls it.
        Revision {
            /// Version that the sender holds.
            version: Version,
        },
        /// Carries the change from one version to another.
        Delta(Delta),
        /// Requests the change from `have` to the receiver's version.
        Pull {
            /// Version that the sender holds.
            have: Version,
        },
        /// Answers `Pull` when the change is too large for datagrams; the register is then fetched
        /// over TCP (`stream::Preface::Snapshot`).
        Offer {
            /// Version that can be fetched.
            version: Version,
        },
        /// Requests the receiver's version after a pause or a partition.
        Confirm {
            /// Echoed in the answer.
            nonce: u64,
            /// Version that the sender holds.
            have: Version,
        },
        /// Answers `Confirm`.
        Confirmed {
            /// Echoed from the `Confirm`.
            nonce: u64,
            /// Version that the sender holds.
            version: Version,
        },
        /// Sent by the reader of the zone when it cannot reach the platform; the receiver reads in its
        /// place for a few seconds.
        Delegate,
    }

    /// Difference between two versions of the register.
    pub struct Delta {
        /// Version that the change applies to.
        pub base: Version,
        /// Version that the change results in.
        pub version: Version,
        /// All zones after the change, if any differs.
        pub zones: Option<Vec<model::Zone>>,
        /// All rules after the change, if any differs.
        pub rules: Option<Vec<model::Rule>>,
        /// New and changed services.
        pub services: Vec<model::Service>,
        /// Names of removed services.
        pub removed: Vec<Arc<str>>,
        /// Names of all services in order, if appending the new ones gives another order.
        pub order: Option<Vec<Arc<str>>>,
    }
}
