//! What a balancer decided or came to believe, for the log.

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
    record, //
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
        /// The service has no target that can be reached from this zone, and the routers are about
        /// to send the copies of the packet to another one.
        SteppedAside,
    }
}

mulberrynotch_macros::data! {
    /// A decision or a changed belief.
    pub enum Event {
        /// An opening packet went to a target.
        Opened {
            /// The flow.
            flow: packet::Flow,
            /// How many copies of the packet went before.
            copy: u32,
            /// The target.
            target: record::Id,
            /// Candidates that were compared.
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
            /// Why.
            reason: Reason,
            /// Version of the configuration.
            version: u64,
            /// Age of the register.
            age: Option<Duration>,
        },
        /// The opening packet of a flow stayed unanswered.
        Unanswered {
            /// The flow.
            flow: packet::Flow,
            /// The target.
            target: record::Id,
            /// Time since the target's last progress.
            silence: Duration,
        },
        /// The client of a flow sent the same data again.
        Repeated {
            /// The flow.
            flow: packet::Flow,
            /// The target.
            target: record::Id,
            /// Time since the data went out first.
            waited: Duration,
            /// Time since the target's last progress.
            silence: Duration,
        },
        /// An open flow was reset, since its target has ended.
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
        /// A packet carries a cookie that no known target has.
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
            /// True when a probe failed.
            probe_failed: bool,
            /// Time since the latest question to a peer that was answered in time.
            contact: Option<Duration>,
        },
        /// The belief on the path to a zone changed.
        Path {
            /// The zone.
            zone: Arc<str>,
            /// The new belief.
            state: path::State,
            /// Who told it; `None` for what this balancer found itself.
            reported_by: Option<SocketAddrV4>,
            /// Time since a packet was known to arrive there.
            proven: Option<Duration>,
            /// Time since the latest cut began.
            cut: Option<Duration>,
            /// Time since the latest question to a peer of the own zone that was answered in time.
            contact: Option<Duration>,
        },
        /// The balancer stepped aside, or returned.
        Rotation {
            /// True when it asks the routers for packets.
            ready: bool,
            /// True when it reaches no target itself.
            isolated: bool,
            /// Zones in which nothing arrives.
            cut: Vec<Arc<str>>,
            /// Number of targets that the register keeps new flows away from.
            excluded: usize,
            /// Number of targets that have ended by the evidence.
            dead: usize,
        },
        /// The register changed.
        Changed {
            /// What changed.
            change: catalog::Change,
            /// Revision up to which every change is known.
            as_of: u64,
        },
        /// Calls to the store began to fail.
        StoreLost {
            /// Age of the register.
            age: Option<Duration>,
        },
        /// The store answers again.
        StoreRegained,
        /// The history that a watch needs is gone; everything is read again.
        HistoryLost {
            /// Revision up to which every change was known.
            as_of: u64,
        },
        /// Records came from a peer.
        Pulled {
            /// Peer address.
            from: SocketAddrV4,
            /// Revision up to which every change is known.
            as_of: u64,
        },
        /// A member came or went.
        Member {
            /// Peer address.
            address: SocketAddrV4,
            /// Its zone.
            zone: Arc<str>,
            /// True when it came.
            live: bool,
        },
        /// The VM was suspended.
        Paused {
            /// For how long.
            length: Duration,
        },
        /// The register was confirmed after a pause, or is used without.
        Resumed {
            /// True when it was confirmed.
            confirmed: bool,
        },
    }
}
