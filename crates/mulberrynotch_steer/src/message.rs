//! Wire messages between balancers.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use crate::{
    patch,
    record,
    revision, //
};

mulberrynotch_macros::message! {
    /// A message from one balancer to another.
    pub enum Message {
        /// Membership and state of the sender, sent to some members in every heartbeat period.
        Heartbeat(Heartbeat),
        /// Members known to the sender, in answer to a heartbeat with `joining` set.
        Members(Vec<Member>),
        /// Changed records of the register.
        Push(Push),
        /// Failure report: a target stopped making progress.
        Failure(Failure),
        /// Progress report: a target makes progress.
        Alive(Alive),
        /// Path report: the path to a zone was cut, or works again.
        Path(Path),
        /// Requests a [`Message::Pong`] at once; holds the sender's time, in milliseconds.
        Ping(u64),
        /// Answers a [`Message::Ping`] with the time that it held, in milliseconds.
        Pong(u64),
    }

    /// State of the sender.
    pub struct Heartbeat {
        /// Sender.
        pub sender: Member,
        /// True while the sender knows no live member and requests a list of them.
        pub joining: bool,
        /// True while the sender shuts down.
        pub leaving: bool,
        /// Revision up to which the sender has every change of the register.
        pub as_of: revision::Revision,
        /// Version of the sender's configuration.
        pub version: u64,
        /// Time for which the sender has recorded removed targets, in milliseconds.
        pub removal_history_ms: u32,
        /// Time since the sender's register was last confirmed as current, in milliseconds.
        pub confirmed_ms: u32,
        /// Time since the store last answered a reader in the sender's zone, in milliseconds;
        /// `u32::MAX` when the sender cannot tell.
        pub reader_ms: u32,
        /// Sample of the members that the sender knows.
        pub members: Vec<Member>,
        /// Paths from the sender's zone that are cut, or whose cut ended recently.
        pub paths: Vec<Path>,
    }

    /// State of the path from one zone to another.
    pub struct Path {
        /// Availability zone of the sender.
        pub from: Arc<str>,
        /// Availability zone that the path leads to.
        pub to: Arc<str>,
        /// Sequence number of the latest cut that the sender knows.
        pub number: u64,
        /// True when that cut has ended.
        pub open: bool,
        /// Time since a packet last arrived in the zone while the path is open, or since the cut
        /// began, in milliseconds.
        pub age_ms: u32,
    }

    /// A balancer.
    pub struct Member {
        /// Peer address.
        pub address: SocketAddrV4,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Start of the process, in milliseconds since the Unix epoch.
        pub incarnation: u64,
        /// Bandwidth of the VM's link, in Mbit/s.
        pub link_mbps: u32,
        /// Time since the latest sign of life of the member, in milliseconds.
        pub silent_ms: u32,
    }

    /// Changes that are propagated through a zone.
    pub struct Push {
        /// The changes.
        pub changes: Changes,
        /// Peers to which the receiver relays the changes.
        pub relay: Vec<SocketAddrV4>,
    }

    /// Changes of the register between two revisions.
    pub struct Changes {
        /// Revision after which every change is contained.
        pub since: revision::Revision,
        /// Revision up to which every change is contained.
        pub as_of: revision::Revision,
        /// The records.
        pub records: Vec<record::Record>,
        /// Change of the configuration, sent in place of its record.
        pub patch: Option<patch::Patch>,
    }

    /// Evidence that a target failed.
    pub struct Failure {
        /// Availability zone of the sender.
        pub zone: Arc<str>,
        /// The target.
        pub target: record::Id,
        /// Time since the oldest packet that the target has not answered, in milliseconds.
        pub failing_ms: u32,
        /// Hashes of the flows that failed.
        pub flows: Vec<u32>,
        /// True when a probe of the target failed as well.
        pub probe_failed: bool,
    }

    /// Evidence that a target works.
    pub struct Alive {
        /// Availability zone of the sender.
        pub zone: Arc<str>,
        /// The target.
        pub target: record::Id,
        /// Time since the sender last saw progress of the target, in milliseconds.
        pub silent_ms: u32,
    }

    /// Request for records, sent over a stream.
    pub struct Pull {
        /// Revision up to which the caller has every change.
        pub since: revision::Revision,
        /// Version of the caller's configuration.
        pub version: u64,
        /// True to include targets that were removed up to `since`.
        pub removed: bool,
    }

    /// How far back a balancer knows removed targets.
    pub struct RemovalHistory {
        /// Revision from which every removal is known.
        pub complete_since: revision::Revision,
        /// Time for which removals have been recorded, in milliseconds.
        pub length_ms: u32,
    }

    /// Answer to a [`Pull`].
    pub struct Pulled {
        /// True when `changes` holds all present records rather than the changes since the
        /// requested revision.
        pub complete: bool,
        /// Records that the caller lacks.
        pub changes: Changes,
        /// Extent of the sender's knowledge of removed targets, when removed targets were
        /// requested.
        pub removal_history: Option<RemovalHistory>,
        /// Time since the sender's register was last confirmed as current, in milliseconds.
        pub confirmed_ms: u32,
    }
}
