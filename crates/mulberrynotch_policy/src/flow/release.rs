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

/// Shards that a release visits per tick; the whole table takes 0.8 s when the rate allows it.
const RELEASE_SHARDS_PER_TICK: usize = 32;

const TICKS_PER_SECOND: u32 = 10;

/// Divisor of the rate at which the other targets accept new flows. The result is the rate of
/// released flows; the rest is left to flows that callers open.
const RELEASE_RATE_DIVISOR: u32 = 2;

impl Machine {
    /// Evaluates the liveness of the owned targets, and releases flows of dead ones.
    pub(super) fn tick_liveness(&mut self, now: Duration) {
        let targets: Vec<id::Target> = self.owned.keys().copied().collect();
        for target in targets {
            let Some(owned) = self.owned.get_mut(&target) else {
                continue;
            };
            match owned.liveness.evaluate(now, owned.flows) {
                Change::None => {}
                Change::Died => {
                    owned.ramp.reset_to_cold(now);
                    owned.grace_until = Duration::ZERO;
                    owned.release = Some(Release::default());
                }
                Change::TrialFailed => owned.release = Some(Release::default()),
                Change::Revived => self.revive(now, target),
            }
            self.advance_release(now, target);
        }
    }

    /// Resets a target that proved itself alive to a cold start.
    pub(super) fn revive(&mut self, now: Duration, target: id::Target) {
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.ramp.reset_to_cold(now);
            owned.release = None;
        }
    }

    /// Releases as many flows of a dead target as the rate allows.
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
        let rate = self.release_rate(now, target);
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let Some(mut release) = owned
            .release
            .filter(|_| matches!(owned.phase, Phase::Active))
        else {
            return;
        };
        release.credit = (release.credit + rate).min(rate.max(TICKS_PER_SECOND));
        let end = (release.shard + RELEASE_SHARDS_PER_TICK).min(SHARDS);
        while release.shard < end && release.credit >= TICKS_PER_SECOND {
            let allowed = usize::try_from(release.credit / TICKS_PER_SECOND).unwrap_or(0);
            let flows: Vec<flow::Flow> = self
                .table
                .shard_entries(release.shard)
                .filter(|(flow, entry)| {
                    entry.kind == Kind::Serving
                        && self.table.target(*entry) == target
                        // TCP keepalive of the kernel detects dead TCP connections.
                        && !self.is_tcp(flow)
                })
                .map(|(flow, _)| flow)
                .take(allowed + 1)
                .collect();
            for flow in flows.iter().take(allowed) {
                // Redirects to this target still exist, and from here packets continue along the
                // preference list, unless this target is the last in it.
                let is_last = self.is_last_reachable(flow, place.service, target);
                self.end_flow(flow, false);
                if is_last {
                    self.queue_flow_end(flow, target, budget::Priority::Redirect);
                }
                self.broken_by_target += 1;
                release.credit -= TICKS_PER_SECOND;
            }
            if flows.len() <= allowed {
                release.shard += 1;
            }
        }
        let is_complete = release.shard >= SHARDS;
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.release = Some(release).filter(|_| !is_complete);
        }
    }

    /// Returns the rate in flows per second at which the other targets of the service can accept
    /// released flows besides new ones. It is 0 without another target, because a release would
    /// gain nothing.
    fn release_rate(&self, now: Duration, target: id::Target) -> u32 {
        let Some(place) = self.view.locate(target) else {
            return 0;
        };
        let others = self.view.candidates(place.service).iter();
        let others = others.filter(|(other, _)| *other != target);
        let rates = others.filter_map(|(other, _)| {
            let entry = self.view.target(*other).filter(|entry| !entry.leaving)?;
            if self
                .owned
                .get(other)
                .is_some_and(|owned| owned.liveness.is_dead())
            {
                return None;
            }
            let is_warm = self.warm_flows(now, *other).is_some();
            let warm = ramp::warm_allowance(entry.connections).max(ramp::COLD_FLOWS);
            Some(if is_warm { warm } else { ramp::COLD_FLOWS } / RELEASE_RATE_DIVISOR)
        });
        rates.fold(0, u32::saturating_add)
    }
}
