//! State of one target that the process owns, or still serves flows of.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::flow;

use super::{
    liveness,
    ramp, //
};

/// Changes of a flow count up to this size wait for the next periodic report.
const MIN_COUNT_CHANGE: u32 = 8;

/// Ownership state of a target.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The process alone decides on flows of the target.
    Active,
    /// The previous owner has not sent all of its state yet.
    TakingOver(Takeover),
    /// Another process owns the target and has not acknowledged all state yet.
    HandingOver(Handover),
    /// The next owner has acknowledged all state; only TCP flows are left here.
    HandedOver {
        /// Name of the next owner.
        to: Arc<str>,
    },
}

/// Progress of a takeover from the previous owner.
#[derive(Clone, Debug)]
pub(super) struct Takeover {
    pub(super) from: Arc<str>,
    pub(super) deadline: Duration,
    pub(super) next_claim: Duration,
    pub(super) backoff: Duration,
    pub(super) received_parts: u16,
}

/// Progress of a handover to the next owner. The lists hold the records that have not been sent yet.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    pub(super) to: Option<Arc<str>>,
    pub(super) flows: Vec<flow::Flow>,
    pub(super) redirects: Vec<flow::Redirect>,
    /// Flows that the target passed on and that no redirect has confirmed yet.
    pub(super) passed: Vec<flow::Redirect>,
    /// Part that was sent last and has not been acknowledged.
    pub(super) unacked_part: Option<Part>,
    pub(super) acked_parts: u16,
    /// Earliest time of the last part; in the future when the handover started before the takeover
    /// of the same target was complete.
    pub(super) hold_last_until: Duration,
    /// Earliest time of the first part, unless the next owner claims the target before.
    pub(super) first_part_at: Duration,
}

/// Progress of releasing the flows of a dead target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Release {
    /// Next shard of the table to visit.
    pub(super) shard: usize,
    /// Tokens of the rate limit, in tenths of a flow.
    pub(super) credit: u32,
}

/// Part of a handover that has not been acknowledged.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) number: u16,
    pub(super) last: bool,
    pub(super) message: flow::Message,
    pub(super) sent_at: Duration,
    pub(super) backoff: Duration,
}

/// Collection of redirects for a target from the owners of the other targets of its service.
#[derive(Clone, Debug)]
pub(super) struct Collection {
    /// True when the target joined the preference lists, so that it passes unknown flows on until
    /// the collection is complete.
    pub(super) passes_new_flows: bool,
    /// Register revision at the start of the collection.
    pub(super) revision: u64,
    pub(super) pending: BTreeMap<id::Target, Request>,
}

/// A `Settle` request that has not been answered with `Settled`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) next: Duration,
    pub(super) backoff: Duration,
    pub(super) deadline: Duration,
}

/// State of one target that the process owns, or still serves flows of.
#[derive(Clone, Debug)]
pub(super) struct Owned {
    pub(super) ramp: ramp::Ramp,
    pub(super) liveness: liveness::Liveness,
    /// Set while the flows of a dead target are being released.
    pub(super) release: Option<Release>,
    pub(super) flows: u32,
    pub(super) phase: Phase,
    pub(super) collection: Option<Collection>,
    /// End of the grace period, in which unknown flows that rank the target first are admitted
    /// without a ramp while the target has fewer than `grace_flows`.
    pub(super) grace_until: Duration,
    pub(super) grace_flows: u32,
    /// Bounded-load limit of the flow count, updated by each tick.
    pub(super) bound: u32,
    /// Flow count in the last report to peers.
    pub(super) reported_flows: u32,
}

impl Owned {
    pub(super) fn new(now: Duration, phase: Phase) -> Self {
        Self {
            ramp: ramp::Ramp::cold(now),
            liveness: liveness::Liveness::default(),
            release: None,
            flows: 0,
            phase,
            collection: None,
            grace_until: Duration::ZERO,
            grace_flows: 0,
            bound: u32::MAX,
            reported_flows: 0,
        }
    }

    /// Returns true while the target passes unknown flows on, because it joined the preference
    /// lists and redirects are still being collected.
    pub(super) fn is_settling(&self) -> bool {
        self.collection
            .as_ref()
            .is_some_and(|collection| collection.passes_new_flows)
    }

    /// Returns true when the flow count differs from the last report by more than 5% and more than
    /// [`MIN_COUNT_CHANGE`].
    pub(super) fn has_count_changed(&self) -> bool {
        let difference = self.flows.abs_diff(self.reported_flows);
        difference > MIN_COUNT_CHANGE && difference > self.reported_flows / 20
    }

    /// Returns true until the next owner has acknowledged all state: until then the process still
    /// decides on flows of the target.
    pub(super) fn can_place(&self) -> bool {
        !matches!(self.phase, Phase::HandedOver { .. })
    }
}
