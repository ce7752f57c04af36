//! Release of the flows of a dead target.

use std::time::Duration;

use mulberrynotch_register::id;
use mulberrynotch_wire::flow;

use super::{
    Machine,
    liveness::Change,
    owned::{
        Phase,
        Release, //
    },
    ramp,
    table::{
        Kind,
        SHARDS, //
    }, //
};
use crate::budget;

/// Shards that a release visits per tick: the whole table in 0.8 s at most.
const RELEASE_SHARDS: usize = 32;

/// Ticks per second.
const TICKS: u32 = 10;

/// Share of the pace of the other targets that released flows may take; the rest is left to
/// flows that callers open.
const PACE_DIVISOR: u32 = 2;

impl Machine {
    /// Judges the owned targets, and releases flows of those that are dead.
    pub(super) fn tick_liveness(&mut self, now: Duration) {
        let targets: Vec<id::Target> = self.owned.keys().copied().collect();
        for target in targets {
            let Some(owned) = self.owned.get_mut(&target) else {
                continue;
            };
            match owned.liveness.judge(now, owned.flows) {
                Change::None => {}
                Change::Died => {
                    owned.ramp.chill(now);
                    owned.grace_until = Duration::ZERO;
                    owned.release = Some(Release::default());
                }
                Change::TrialFailed => owned.release = Some(Release::default()),
                Change::Revived => self.revive(now, target),
            }
            self.advance_release(now, target);
        }
    }

    /// Lets a target start cold again that has proved itself.
    pub(super) fn revive(&mut self, now: Duration, target: id::Target) {
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.ramp.chill(now);
            owned.release = None;
        }
    }

    fn advance_release(&mut self, now: Duration, target: id::Target) {
        let Some(place) = self.view.locate(target).cloned() else {
            return;
        };
        if self
            .owned
            .get(&target)
            .is_none_or(|owned| owned.release.is_none())
        {
            return;
        }
        let pace = self.release_pace(now, target);
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let Some(mut release) = owned
            .release
            .filter(|_| matches!(owned.phase, Phase::Active))
        else {
            return;
        };
        release.credit = (release.credit + pace).min(pace.max(TICKS));
        let end = (release.shard + RELEASE_SHARDS).min(SHARDS);
        while release.shard < end && release.credit >= TICKS {
            let left = usize::try_from(release.credit / TICKS).unwrap_or(0);
            let found: Vec<flow::Flow> = self
                .table
                .shard_entries(release.shard)
                .filter(|(flow, entry)| {
                    entry.kind == Kind::Serving
                        && self.table.target(*entry) == target
                        // The kernel's keepalive finds TCP connections that are dead.
                        && !self.is_tcp(flow)
                })
                .map(|(flow, _)| flow)
                .take(left + 1)
                .collect();
            for flow in found.iter().take(left) {
                // The redirects lead here still and from here along the chain, unless it ends here.
                let is_last = self.is_last(flow, place.service, target);
                self.end(flow, false);
                if is_last {
                    self.forget(flow, target, budget::Priority::Redirect);
                }
                self.broken_by_target += 1;
                release.credit -= TICKS;
            }
            if found.len() <= left {
                release.shard += 1;
            }
        }
        let is_complete = release.shard >= SHARDS;
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.release = Some(release).filter(|_| !is_complete);
        }
    }

    /// Flows per second that the service's other targets can take besides new ones; none without
    /// another target, because nothing would be gained.
    fn release_pace(&self, now: Duration, target: id::Target) -> u32 {
        let Some(place) = self.view.locate(target) else {
            return 0;
        };
        let others = self.view.candidates(place.service).iter();
        let others = others.filter(|(other, _)| *other != target);
        let paces = others.filter_map(|(other, _)| {
            let entry = self.view.target(*other).filter(|entry| !entry.leaving)?;
            if self.owned.get(other).is_some_and(|o| o.liveness.is_dead()) {
                return None;
            }
            let is_warm = self.warm_flows(now, *other).is_some();
            let warm = ramp::warm_allowance(entry.connections).max(ramp::COLD_FLOWS);
            Some(if is_warm { warm } else { ramp::COLD_FLOWS } / PACE_DIVISOR)
        });
        paces.fold(0, u32::saturating_add)
    }
}
