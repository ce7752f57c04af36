//! Decisions and changes of state, for the log.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use crate::{
    catalog,
    evidence,
    packet,
    path,
    record,
    revision, //
};

mulberrynotch_macros::value! {
    /// Why an opening packet was not forwarded.
    pub enum Reason {
        /// No route has the address, but the register may be out of date.
        RouteUncertain,
        /// No route has the address.
        NoRoute,
        /// The service has no target that takes new flows.
        NoTarget,
        /// No target of the service is reachable from this zone. The balancer has withdrawn from
        /// the rotation, and the routers are about to send retransmissions of the packet to another
        /// one.
        SteppedAside,
    }
}

mulberrynotch_macros::data! {
    /// A decision or a change of state.
    pub enum Event {
        /// An opening packet was forwarded to a target.
        Opened {
            /// The flow.
            flow: packet::Flow,
            /// Number of earlier transmissions of the packet.
            copy: u32,
            /// The target.
            target: record::Id,
            /// Number of candidates that were compared.
            candidates: usize,
            /// True when the target is in another zone.
            far: bool,
            /// Version of the configuration.
            version: u64,
            /// Age of the register.
            age: Option<Duration>,
        },
        /// An opening packet was answered with a reset, or not at all.
        Refused {
            /// The flow.
            flow: packet::Flow,
            /// Why it was refused.
            reason: Reason,
            /// Version of the configuration.
            version: u64,
            /// Age of the register.
            age: Option<Duration>,
        },
        /// No packet followed the opening packet of a flow in time.
        Unanswered {
            /// The flow.
            flow: packet::Flow,
            /// The target.
            target: record::Id,
            /// Time since the target's last progress.
            silence: Duration,
        },
        /// The client of a flow repeated its data.
        Repeated {
            /// The flow.
            flow: packet::Flow,
            /// The target.
            target: record::Id,
            /// Time since the data was first sent.
            waited: Duration,
            /// Time since the target's last progress.
            silence: Duration,
        },
        /// An open flow was reset because its target has ended.
        Reset {
            /// The flow.
            flow: packet::Flow,
            /// The target.
            target: record::Id,
            /// Time since the target's last progress.
            silence: Duration,
            /// Failed flows since then.
            failures: usize,
        },
        /// A packet carries a cookie of no known target.
        Unknown {
            /// The flow.
            flow: packet::Flow,
            /// The cookie.
            cookie: u32,
        },
        /// The verdict on a target changed.
        Verdict {
            /// The target.
            target: record::Id,
            /// The new verdict.
            verdict: evidence::Verdict,
            /// Time since the target's last progress.
            silence: Duration,
            /// Failed flows since then.
            failures: usize,
            /// True when a probe failed recently.
            probe_failed: bool,
            /// Time since the latest ping to a peer that was answered in time.
            contact: Option<Duration>,
        },
        /// The state of the path to a zone changed.
        Path {
            /// The zone.
            zone: Arc<str>,
            /// The new state.
            state: path::State,
            /// Peer that reported it; `None` when this balancer detected it.
            reported_by: Option<SocketAddrV4>,
            /// Time since the latest known arrival of a packet in the zone.
            proven: Option<Duration>,
            /// Time since the latest cut began.
            cut: Option<Duration>,
            /// Time since the latest ping to a peer of this zone that was answered in time.
            contact: Option<Duration>,
        },
        /// The balancer withdrew from the rotation, or returned.
        Rotation {
            /// True when it is in rotation.
            ready: bool,
            /// True when it reaches no target.
            isolated: bool,
            /// Zones that are cut off.
            cut: Vec<Arc<str>>,
            /// Number of targets that take no new flows according to the register.
            excluded: usize,
            /// Number of targets that are dead according to the evidence.
            dead: usize,
        },
        /// The register changed.
        Changed {
            /// What changed.
            change: catalog::Change,
            /// Revision up to which every change is known.
            as_of: revision::Revision,
        },
        /// Calls to the store began to fail.
        StoreLost {
            /// Age of the register.
            age: Option<Duration>,
        },
        /// The store answers again.
        StoreRegained,
        /// This process began or ceased to read the store for its zone.
        Reader {
            /// True when it reads.
            reads: bool,
            /// Its rank in the order of readers; 0 is the first.
            rank: usize,
            /// Time since the store last answered another reader of the zone.
            reader_age: Duration,
        },
        /// The store no longer has the history that a watch needs; all records are read again.
        HistoryLost {
            /// Revision up to which every change was known.
            as_of: revision::Revision,
            /// Era of the store.
            era: u64,
        },
        /// The changes that the store has are too long for one answer; all records are read again.
        ChangesTooLong {
            /// Revision up to which every change was known.
            as_of: revision::Revision,
        },
        /// All records were read from the store.
        Listed {
            /// Revision up to which every change was known before.
            before: revision::Revision,
            /// Revision as of which the records are current.
            as_of: revision::Revision,
            /// Number of records.
            records: usize,
        },
        /// No peer of this zone supplied in time what a peer of another zone has, so it is fetched
        /// there.
        ZoneBehind {
            /// Peer of the other zone.
            from: SocketAddrV4,
            /// Revision up to which it had every change.
            as_of: revision::Revision,
        },
        /// Records were fetched from a peer.
        Pulled {
            /// Peer address.
            from: SocketAddrV4,
            /// Revision up to which every change is known.
            as_of: revision::Revision,
        },
        /// A member became live, or is no longer live.
        Member {
            /// Peer address.
            address: SocketAddrV4,
            /// Its zone.
            zone: Arc<str>,
            /// True when it became live.
            live: bool,
        },
        /// The VM was suspended.
        Paused {
            /// Length of the suspension.
            length: Duration,
        },
        /// The register was confirmed after a pause, or the wait for the confirmation timed out.
        Resumed {
            /// True when it was confirmed.
            confirmed: bool,
        },
    }
}
