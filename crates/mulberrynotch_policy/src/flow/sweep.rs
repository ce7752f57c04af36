//! Periodic sweep that ends idle flows, removes expired redirects and hints, and renews redirects.

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

/// Shards that the sweep visits per tick; the whole table takes 6.4 s.
const SWEEP_SHARDS_PER_TICK: u64 = 4;

/// Sweeps between two renewals of the redirects of a displaced flow, about 5 minutes.
const RENEWAL_SWEEPS: u64 = 47;

/// Sweeps from the end of a partition to the second renewal of all redirects. The handovers that
/// follow the end of a partition occupy the control budget for most of a minute.
const SECOND_RENEWAL_SWEEP: u64 = 8;

/// Lifetime of a confirmed redirect without renewal: four renewal intervals.
const LEASE_SECONDS: u16 = 1_200;

/// Lifetime of a hint without use.
const HINT_SECONDS: u16 = 300;

/// Longest idle timeout that the 16-bit time stamps of the table can measure, with a margin.
const MAX_IDLE_SECONDS: u32 = 60_000;

impl Machine {
    /// Ends idle flows and removes expired entries in the next shards.
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

    /// Renews all redirects in the next sweep and in a later one, so that flows that both sides of
    /// a partition placed are detected.
    pub(super) fn schedule_renewals(&mut self) {
        self.healed_at = Some(self.swept_shards);
    }

    /// Returns true while the current sweep renews all redirects after a partition.
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

/// Returns true when a flow renews its redirects in this sweep; the hash distributes renewals
/// evenly over the sweeps.
fn is_renewal_due(key: u64, sweep: u64) -> bool {
    key.wrapping_add(sweep).is_multiple_of(RENEWAL_SWEEPS)
}
