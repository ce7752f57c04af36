//! Messages on the ownership of targets and on flows that another target serves.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_register::id;

use crate::grouped;

mulberrynotch_macros::message! {
    /// Identifies a flow by caller and service address; the target implies the service.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct Flow {
        /// Address of the caller.
        pub caller: SocketAddr,
        /// Service address that the caller sends to.
        pub address: SocketAddr,
    }

    /// Maps a flow to a target other than the first one of its preference list.
    #[derive(Copy)]
    pub struct Redirect {
        /// Redirected flow.
        pub flow: Flow,
        /// Target that serves the flow.
        pub to: id::Target,
    }

    /// Limits and load of a target that its previous owner hands over to the next.
    #[derive(Copy)]
    pub struct Load {
        /// Concurrency limit for requests, as adapted by the previous owner.
        pub slots: u32,
        /// Requests in progress through the previous owner.
        pub requests: u32,
        /// New flows per second that the ramp of the previous owner allows; 0 when the sender has no
        /// state of the target.
        pub connections: u32,
        /// False when the previous owner was still collecting redirects for the target.
        pub settled: bool,
    }

    /// Number of flows on a target.
    #[derive(Copy)]
    pub struct Count {
        /// Target that serves the flows.
        pub target: id::Target,
        /// Number of flows.
        pub flows: u32,
        /// True while no ramp limits new flows to the target.
        pub warm: bool,
    }

    /// Messages on ownership, redirects and hints.
    pub enum Message {
        /// Requests the state of `target` from its previous owner; the sender has become its owner.
        Claim {
            /// Claimed target.
            target: id::Target,
            /// Number of parts that the sender has already received.
            next_part: u16,
        },
        /// Carries a part of the state of a target.
        Handover {
            /// Target that is handed over.
            target: id::Target,
            /// Number of this part; the sender does not reuse it for a long time.
            part: u16,
            /// True for the last part.
            last: bool,
            /// Limits and load of the target.
            load: Load,
            /// Flows that the target serves.
            #[serde(with = "grouped::flows")]
            flows: Vec<Flow>,
            /// Flows that rank the target first and are served by another one.
            #[serde(with = "grouped::redirects")]
            redirects: Vec<Redirect>,
            /// Flows that were passed on to the next target of their preference list.
            #[serde(with = "grouped::redirects")]
            passed: Vec<Redirect>,
        },
        /// Acknowledges that a part has been stored.
        HandoverAck {
            /// Target that is handed over.
            target: id::Target,
            /// Number of the stored part.
            part: u16,
        },
        /// Carries flows that rank `target` first and are served by another one, for storage at the
        /// owner or backup of `target`.
        Redirects {
            /// First-ranked target.
            target: id::Target,
            /// Flows with the targets that serve them.
            #[serde(with = "grouped::redirects")]
            redirects: Vec<Redirect>,
            /// Echoed in `RedirectsAck`.
            sequence: u32,
            /// Revision of the sender's register; a receiver with a newer one does not acknowledge, and
            /// the sender retries.
            revision: u64,
        },
        /// Acknowledges that redirects have been stored.
        RedirectsAck {
            /// Echoed from `Redirects`.
            sequence: u32,
        },
        /// Reports that all redirects for `joined` due to flows on `from` have been sent.
        Settled {
            /// Target that joined the preference lists.
            joined: id::Target,
            /// Target whose flow records were scanned.
            from: id::Target,
            /// Revision of the register during the scan.
            revision: u64,
        },
        /// Requests that the owner of `from` scan its flow records for redirects to send for `joined`.
        Settle {
            /// Target that joined the preference lists.
            joined: id::Target,
            /// Target whose flow records to scan.
            from: id::Target,
            /// Revision that adds `joined`.
            revision: u64,
        },
        /// Sends an ingress balancer a hint: the target that serves a flow.
        Hint {
            /// Flow that the hint is for.
            flow: Flow,
            /// Target that serves the flow.
            target: id::Target,
            /// Revision of the sender's register; a receiver at another revision drops the hint.
            revision: u64,
        },
        /// Reports the number of flows on targets of the sender, for bounded load and for the backups.
        Counts {
            /// Counts by target.
            counts: Vec<Count>,
        },
        /// Reports flows that rank `target` first and have ended on the target that served them.
        FlowsEnded {
            /// First-ranked target.
            target: id::Target,
            /// Ended flows.
            #[serde(with = "grouped::flows")]
            flows: Vec<Flow>,
        },
        /// Requests the zones that returned to service after a revision; sent by a process that
        /// skipped revisions.
        PullZoneReturns {
            /// Last revision that was in effect at the sender before the skipped ones.
            since: u64,
        },
        /// Answers `PullZoneReturns`.
        ZoneReturns {
            /// Echoed from `PullZoneReturns`.
            since: u64,
            /// Revision of the sender's register.
            revision: u64,
            /// Zones whose return after `since` the sender has recorded.
            zones: Vec<Arc<str>>,
        },
    }
}
