//! The sweep that ends idle flows, drops expired redirects and renews live ones.

use std::time::Duration;

use mulberrynotch_register::model;
use mulberrynotch_wire::flow;

use super::{
    Machine, key, seconds,
    table::{
        Entry,
        Kind,
        SHARDS, //
    },
};

/// Shards that the sweep visits per tick: the whole table every 6.4 s.
const SWEEP_SHARDS_PER_TICK: u64 = 4;

/// A displaced flow renews its redirects once in so many sweeps, about every 5 minutes.
const RENEWAL_SWEEPS: u64 = 47;

/// Sweeps from the end of a partition to the second renewal; handovers that the end starts take
/// most of a minute in the control budget.
const SECOND_RENEWAL_SWEEP: u64 = 8;

/// A confirmed redirect without renewal ends after this, in seconds: four renewals.
const LEASE_SECONDS: u16 = 1_200;

/// A hint without use ends after this, in seconds.
const HINT_SECONDS: u16 = 300;

/// Longest idle time of a flow that the table can measure, in seconds.
const MAX_IDLE_SECONDS: u32 = 60_000;

impl Machine {
    /// Ends idle flows and expired redirects in a few shards.
    pub(super) fn tick_sweep(&mut self, now: Duration) {
        for _ in 0..SWEEP_SHARDS_PER_TICK {
            let shard = usize::try_from(self.swept_shards % SHARDS as u64).unwrap_or(0);
            let sweep = self.swept_shards / SHARDS as u64;
            self.swept_shards += 1;
            let entries: Vec<(flow::Flow, Entry)> = self.table.shard_entries(shard).collect();
            for (flow, entry) in entries {
                self.sweep_entry(now, &flow, entry, sweep);
            }
        }
    }

    /// Renews all redirects with the next sweep and a later one, so that flows that two sides of a
    /// partition placed are found.
    pub(super) fn schedule_renewals(&mut self) {
        self.healed_at = Some(self.swept_shards);
    }

    fn is_renewal_sweep(&self) -> bool {
        let since = self
            .healed_at
            .map(|at| (self.swept_shards - at) / SHARDS as u64);
        since == Some(0) || since == Some(SECOND_RENEWAL_SWEEP)
    }

    fn sweep_entry(&mut self, now: Duration, flow: &flow::Flow, entry: Entry, sweep: u64) {
        let Some((service, protocol)) = self.view.service_at(flow.address) else {
            self.end_flow(flow, false);
            return;
        };
        if self.valid_entry(flow, service).is_none() {
            return;
        }
        let idle = self
            .view
            .service(service)
            .map(|entry| entry.flow_idle_seconds);
        let idle = idle.map_or(MAX_IDLE_SECONDS, |idle| idle.min(MAX_IDLE_SECONDS));
        let idle = u16::try_from(idle).unwrap_or(u16::MAX);
        let limit = match entry.kind {
            Kind::Serving if protocol == model::Protocol::Tcp => u16::MAX,
            Kind::Serving | Kind::Passed => idle,
            Kind::Redirect => LEASE_SECONDS.max(idle),
            Kind::Hint => HINT_SECONDS,
        };
        let target = self.table.target(entry);
        if seconds(now).wrapping_sub(entry.last_used_s) > limit {
            self.end_flow(flow, true);
        } else if entry.kind == Kind::Serving
            && (self.is_renewal_sweep() || is_renewal_due(key(service, flow), sweep))
        {
            self.queue_redirects(flow, service, target);
        }
    }
}

/// Spreads the renewals over the sweeps.
fn is_renewal_due(key: u64, sweep: u64) -> bool {
    key.wrapping_add(sweep).is_multiple_of(RENEWAL_SWEEPS)
}
