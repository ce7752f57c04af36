//! Ownership of targets and exceptions of flows.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_register::id;

use crate::grouped;

mulberrynotch_macros::message! {
    /// A flow as its caller and service address; the service is known from the target.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct Flow {
        /// Address of the caller.
        pub caller: SocketAddr,
        /// Service address that the caller uses.
        pub address: SocketAddr,
    }

    /// A flow that is not served by the target its packets arrive for.
    #[derive(Copy)]
    pub struct Redirect {
        /// The flow.
        pub flow: Flow,
        /// Target that serves it.
        pub to: id::Target,
    }

    /// State of a target that moves from one owner to the next.
    #[derive(Copy)]
    pub struct Load {
        /// Requests that the target may run at a time, as the old owner learnt it.
        pub slots: u32,
        /// Requests in progress through the old owner.
        pub requests: u32,
        /// New flows that the target may take per second, as the old owner ramped it; 0 when the
        /// sender knows nothing of the target.
        pub connections: u32,
        /// False when the sender was still collecting redirects for the target.
        pub settled: bool,
    }

    /// Flows on one target.
    #[derive(Copy)]
    pub struct Count {
        /// The target.
        pub target: id::Target,
        /// Flows that it serves.
        pub flows: u32,
        /// True while the target takes new flows without a ramp.
        pub warm: bool,
    }

    /// Ownership and exception messages.
    pub enum Message {
        /// The sender became owner of `target` and asks the receiver for its state.
        Claim {
            /// The target.
            target: id::Target,
            /// Number of parts that the sender already has.
            next_part: u16,
        },
        /// A part of the state of a target.
        Handover {
            /// The target.
            target: id::Target,
            /// Number of this part, not used again by the sender for a long time.
            part: u16,
            /// True for the last part.
            last: bool,
            /// Limits and counts.
            load: Load,
            /// Flows that the target serves.
            #[serde(with = "grouped::flows")]
            flows: Vec<Flow>,
            /// Flows that rank the target first and are served elsewhere.
            #[serde(with = "grouped::redirects")]
            redirects: Vec<Redirect>,
            /// Flows that the target passed on, to the next target of their chain.
            #[serde(with = "grouped::redirects")]
            passed: Vec<Redirect>,
        },
        /// The receiver of a part has stored it.
        HandoverAck {
            /// The target.
            target: id::Target,
            /// Number of the part.
            part: u16,
        },
        /// Flows that rank `target` first and are served elsewhere; to its owner or backup.
        Redirects {
            /// First-ranked target.
            target: id::Target,
            /// The flows.
            #[serde(with = "grouped::redirects")]
            redirects: Vec<Redirect>,
            /// Echoed in `RedirectsAck`.
            sequence: u32,
            /// Revision of the sender's register; a receiver with a newer one waits for the sender.
            revision: u64,
        },
        /// The receiver of redirects has stored them.
        RedirectsAck {
            /// From `Redirects`.
            sequence: u32,
        },
        /// The sender has sent all redirects for `joined` that `from` gives rise to.
        Settled {
            /// Target that joined the chain.
            joined: id::Target,
            /// Target whose records were walked.
            from: id::Target,
            /// Revision that the records were walked under.
            revision: u64,
        },
        /// Asks the owner of `from` to walk its records for `joined`.
        Settle {
            /// Target that joined the chain.
            joined: id::Target,
            /// Target whose records are to be walked.
            from: id::Target,
            /// Revision that adds the target.
            revision: u64,
        },
        /// Tells an entry which target serves a flow.
        Hint {
            /// The flow.
            flow: Flow,
            /// Target that serves it.
            target: id::Target,
            /// Revision of the sender's register; at another revision the message is too old.
            revision: u64,
        },
        /// Flows on targets of the sender, for bounded load and for the backups.
        Counts {
            /// The counts.
            counts: Vec<Count>,
        },
        /// Flows that rank `target` first and have ended elsewhere.
        FlowsEnded {
            /// First-ranked target.
            target: id::Target,
            /// The flows.
            #[serde(with = "grouped::flows")]
            flows: Vec<Flow>,
        },
        /// Asks which zones returned to service after a revision; the sender missed some.
        PullZoneReturns {
            /// Last revision that the sender had in effect before.
            since: u64,
        },
        /// Answers `PullZoneReturns`.
        ZoneReturns {
            /// Echoed from `PullZoneReturns`.
            since: u64,
            /// Revision of the sender's register.
            revision: u64,
            /// Zones that the sender saw return after `since`.
            zones: Vec<Arc<str>>,
        },
    }
}
