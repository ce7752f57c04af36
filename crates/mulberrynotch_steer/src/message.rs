//! Messages between balancers.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use crate::{
    patch,
    record, //
};

mulberrynotch_macros::message! {
    /// A message between balancers.
    pub enum Message {
        /// Sent to some members in every heartbeat period.
        Heartbeat(Heartbeat),
        /// Answer to a heartbeat of a process that has just started.
        Members(Vec<Member>),
        /// Records that changed.
        Push(Push),
        /// A target stopped making progress.
        Failure(Failure),
        /// A target makes progress.
        Alive(Alive),
        /// The path to a zone was cut, or works again.
        Path(Path),
        /// Asks for an [`Message::Pong`] at once; holds the sender's time, in milliseconds.
        Ping(u64),
        /// Answer to a question, with the time that it held.
        Pong(u64),
    }

    /// State of the sender.
    pub struct Heartbeat {
        /// Sender.
        pub sender: Member,
        /// True while the sender asks for the members.
        pub joining: bool,
        /// True while the sender stops.
        pub leaving: bool,
        /// Revision up to which the sender knows every change.
        pub as_of: u64,
        /// Time for which the sender remembers removed targets, in milliseconds.
        pub removal_history_ms: u32,
        /// Time since the sender's knowledge was known to be current, in milliseconds.
        pub confirmed_ms: u32,
        /// Time since a reader of the sender's zone was known to reach the store, in milliseconds.
        pub reader_ms: u32,
        /// Some members that the sender knows.
        pub members: Vec<Member>,
        /// Paths from the sender's zone that are cut, or were lately.
        pub paths: Vec<Path>,
    }

    /// What is believed of the path from one zone to another.
    pub struct Path {
        /// Availability zone of the sender.
        pub from: Arc<str>,
        /// Availability zone that the path leads to.
        pub to: Arc<str>,
        /// Number of the latest cut that the sender knows of.
        pub number: u64,
        /// True when that cut has ended.
        pub open: bool,
        /// Time since a packet was known to arrive, or since none does, in milliseconds.
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
        /// Time since the member was last heard of, in milliseconds.
        pub silent_ms: u32,
    }

    /// Changes on their way through a zone.
    pub struct Push {
        /// The changes.
        pub changes: Changes,
        /// Peers that the receiver passes them on to.
        pub relay: Vec<SocketAddrV4>,
    }

    /// Records that changed between two revisions.
    pub struct Changes {
        /// Every change after this revision is contained.
        pub since: u64,
        /// Every change up to this revision is contained.
        pub as_of: u64,
        /// The records.
        pub records: Vec<record::Record>,
        /// Change of the configuration, in place of its record.
        pub patch: Option<patch::Patch>,
    }

    /// Evidence against a target.
    pub struct Failure {
        /// Availability zone of the sender.
        pub zone: Arc<str>,
        /// The target.
        pub target: record::Id,
        /// Time since the oldest packet went out that the target has not answered, in milliseconds.
        pub failing_ms: u32,
        /// Hashes of the flows that failed.
        pub flows: Vec<u32>,
        /// True when a probe of the target has failed too.
        pub probe_failed: bool,
    }

    /// Evidence for a target.
    pub struct Alive {
        /// Availability zone of the sender.
        pub zone: Arc<str>,
        /// The target.
        pub target: record::Id,
        /// Time since the target last made progress at the sender, in milliseconds.
        pub silent_ms: u32,
    }

    /// Request for records over a stream.
    pub struct Pull {
        /// Revision up to which the caller knows every change.
        pub since: u64,
        /// True when targets that were removed before are asked for too.
        pub removed: bool,
    }

    /// How far a balancer's knowledge of removed targets reaches back.
    pub struct RemovalHistory {
        /// Revision from which every removal is known.
        pub complete_since: u64,
        /// Time since then, in milliseconds.
        pub length_ms: u32,
    }

    /// Answer to a [`Pull`].
    pub struct Pulled {
        /// True when the records are all that exist, not only changes.
        pub complete: bool,
        /// The records.
        pub changes: Changes,
        /// What the sender remembers, when it was asked for targets that were removed before.
        pub removal_history: Option<RemovalHistory>,
        /// Time since the sender's knowledge was known to be current, in milliseconds.
        pub confirmed_ms: u32,
    }
}
