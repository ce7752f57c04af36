//! State of one target that the process serves.

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

/// Smaller changes of a count are reported with the next regular one.
const MIN_COUNT_CHANGE: u32 = 8;

/// How an owner stands to its target.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// It decides alone.
    Active,
    /// It waits for the state of the previous owner.
    TakingOver(Takeover),
    /// Another process owns the target and has not acknowledged all state yet.
    HandingOver(Handover),
    /// The next owner has all state; only TCP flows are left here.
    HandedOver {
        /// The next owner.
        to: Arc<str>,
    },
}

/// A takeover in progress.
#[derive(Clone, Debug)]
pub(super) struct Takeover {
    pub(super) from: Arc<str>,
    pub(super) deadline: Duration,
    pub(super) next_claim: Duration,
    pub(super) backoff: Duration,
    pub(super) received_parts: u16,
}

/// A handover in progress.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    pub(super) to: Option<Arc<str>>,
    pub(super) flows: Vec<flow::Flow>,
    pub(super) redirects: Vec<flow::Redirect>,
    /// Flows that the target passed on and whose admission elsewhere was not confirmed yet.
    pub(super) passed: Vec<flow::Redirect>,
    pub(super) unacked_part: Option<Part>,
    pub(super) acked_parts: u16,
    /// The last part waits until then, because the process's own takeover was not complete.
    pub(super) hold_last_until: Duration,
    /// The first part waits until then, or until the next owner claims the target.
    pub(super) first_part_at: Duration,
}

/// Release of the flows of a target, in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Release {
    /// Next shard of the table to look at.
    pub(super) shard: usize,
    /// Flows that may be released now, in tenths.
    pub(super) credit: u32,
}

/// The part of a handover that waits for its acknowledgement.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) number: u16,
    pub(super) last: bool,
    pub(super) message: flow::Message,
    pub(super) sent_at: Duration,
    pub(super) backoff: Duration,
}

/// Collection of the redirects of a target from the owners of the service's other targets.
#[derive(Clone, Debug)]
pub(super) struct Collection {
    /// True while unknown flows are passed on: the target joined the chain.
    pub(super) passes_new_flows: bool,
    /// Revision that the collection started under.
    pub(super) revision: u64,
    pub(super) pending: BTreeMap<id::Target, Request>,
}

/// A `Settle` that waits for its `Settled`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) next: Duration,
    pub(super) backoff: Duration,
    pub(super) deadline: Duration,
}

/// State of one target that the process serves.
#[derive(Clone, Debug)]
pub(super) struct Owned {
    pub(super) ramp: ramp::Ramp,
    pub(super) liveness: liveness::Liveness,
    /// Release of the flows after the target died.
    pub(super) release: Option<Release>,
    pub(super) flows: u32,
    pub(super) phase: Phase,
    pub(super) collection: Option<Collection>,
    /// Until then first-ranked flows are taken up to `grace_flows` without a ramp.
    pub(super) grace_until: Duration,
    pub(super) grace_flows: u32,
    /// Bounded load, renewed by each tick.
    pub(super) bound: u32,
    /// Count that the peers were last told.
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

    /// True while unknown flows are passed on because the target joined the chain.
    pub(super) fn is_settling(&self) -> bool {
        self.collection
            .as_ref()
            .is_some_and(|collection| collection.passes_new_flows)
    }

    /// True when the count differs from the reported one by more than a twentieth.
    pub(super) fn has_count_changed(&self) -> bool {
        let difference = self.flows.abs_diff(self.reported_flows);
        difference > MIN_COUNT_CHANGE && difference > self.reported_flows / 20
    }

    /// True while the process decides on flows of the target, at least for others.
    pub(super) fn can_place(&self) -> bool {
        !matches!(self.phase, Phase::HandedOver { .. })
    }
}
