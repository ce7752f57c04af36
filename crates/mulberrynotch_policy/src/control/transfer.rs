//! Transfers of member entries over TCP, for a joining process and after a partition, where
//! datagrams within the control budget would take too long.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use mulberrynotch_wire::control::{
    Member,
    State, //
};

use super::{
    Action,
    Machine,
    dissemination, //
};

/// Burst and rate limits of transfers, which have a budget of their own that the requesting process
/// accounts for. The rate is a tenth of the control budget.
const BURST_BYTES: f64 = 512.0 * 1_024.0;
const RATE_BYTES_PER_SECOND: f64 = 200.0;

/// Minimum interval between transfers, and its jitter, so that the processes of a fleet that starts
/// at once do not all send requests at the same moment.
const MIN_INTERVAL: Duration = Duration::from_millis(600);
const JITTER: Duration = Duration::from_millis(600);

/// Time after which an unanswered transfer is abandoned.
const TIMEOUT: Duration = Duration::from_secs(6);

/// Time that the digest has to differ from those of all peers before a transfer starts. Such a
/// difference means more changes than heartbeats carry; a single change reaches all peers sooner.
const TRANSFER_AFTER: Duration = Duration::from_secs(3);

/// Maximum time that a process with an incomplete table raises no suspicions.
const MAX_CATCH_UP: Duration = Duration::from_secs(30);

/// Age above which a digest difference is ignored.
const DIFFERENCE_MAX_AGE: Duration = Duration::from_secs(2);

/// New entries in a transfer from which on another one follows.
const FOLLOW_UP_ENTRIES: usize = 8;

/// Transfers that a process answers per second. A process that many others contact first would
/// otherwise send its table to all of them at once.
const MAX_SERVED_PER_SECOND: u32 = 6;

/// Maximum number of entries named in a request, so that it fits into a preface of 4 KiB.
const MAX_HELD: usize = 960;

/// Approximate size of the headers, envelopes and handshake of a transfer.
const OVERHEAD_BYTES: usize = 400;

/// State and limits of transfers.
#[derive(Debug, Default)]
pub(super) struct Transfer {
    due_at: Option<Duration>,
    pending_since: Option<Duration>,
    /// A member table has been received since the start.
    received: bool,
    differs_since: Option<Duration>,
    /// Time at which a peer last reported a different digest.
    differed_at: Duration,
    /// Fill level of the leaky bucket that limits transfers.
    level_bytes: f64,
    leaked_at: Duration,
    served_at: Duration,
    served: u32,
}

impl Machine {
    /// Records whether the digest of a peer's table differs from the local one.
    pub(super) fn record_difference(&mut self, now: Duration, differs: bool) {
        self.digest_differs = differs;
        if !differs {
            self.transfer.differs_since = None;
            return;
        }
        self.transfer.differed_at = now;
        let since = *self.transfer.differs_since.get_or_insert(now);
        if now >= since + TRANSFER_AFTER {
            self.schedule_transfer(now, Duration::ZERO);
        }
    }

    /// Returns true while the table is known to lack many changes: shortly after the start and
    /// after a partition. The few known members then receive the heartbeats of many and answer
    /// late; suspecting them would prevent a large fleet from converging.
    pub(super) fn is_catching_up(&self, now: Duration) -> bool {
        // A process that hears from no peer cannot catch up and must not wait for it.
        if now >= self.transfer.differed_at + DIFFERENCE_MAX_AGE {
            return false;
        }
        let joining = now < self.started_at + MAX_CATCH_UP && self.digest_differs;
        let since = self.transfer.differs_since;
        joining || since.is_some_and(|at| (at + TRANSFER_AFTER..at + MAX_CATCH_UP).contains(&now))
    }

    /// Schedules a transfer at a random time from `after` on, unless one is scheduled.
    fn schedule_transfer(&mut self, now: Duration, after: Duration) {
        if self.transfer.due_at.is_none() {
            self.transfer.due_at = Some(now + after + self.jitter(JITTER));
        }
    }

    /// Starts the transfer that is due.
    pub(super) fn start_due_transfer(&mut self, now: Duration) {
        let joining = now < self.started_at + dissemination::JOIN_PERIOD;
        if (joining && self.digest_differs) || self.needs_members() {
            self.schedule_transfer(now, Duration::ZERO);
        }
        let transfer = &mut self.transfer;
        let elapsed = now.saturating_sub(transfer.leaked_at).as_secs_f64();
        transfer.leaked_at = now;
        transfer.level_bytes = (transfer.level_bytes - elapsed * RATE_BYTES_PER_SECOND).max(0.0);
        let is_pending = |since: Duration| now < since + TIMEOUT;
        if transfer.due_at.is_none_or(|at| now < at)
            || transfer.pending_since.is_some_and(is_pending)
            || transfer.level_bytes >= BURST_BYTES
        {
            return;
        }
        let Some(from) = self.transfer_peer() else {
            return;
        };
        let held = self.table.entry_hashes().take(MAX_HELD).collect();
        self.transfer.due_at = None;
        self.transfer.pending_since = Some(now);
        let mut sender = self.config.me.clone();
        if !self.joined {
            // A process that does not serve yet must not become an owner of targets.
            sender.state = State::Leaving;
        }
        self.actions
            .push_back(Action::FetchMembers { from, sender, held });
    }

    /// Returns true when a joining process has peers but no member table.
    fn needs_members(&self) -> bool {
        !self.joined && self.contact.peer_answered && !self.transfer.received
    }

    /// Returns true once a member table has been received.
    pub(super) fn has_member_table(&self) -> bool {
        self.transfer.received
    }

    /// Returns a random live peer or VM of the platform's list; before the join, any known address.
    /// Many processes that start at once know only the seeds.
    fn transfer_peer(&mut self) -> Option<SocketAddr> {
        if !self.joined {
            return self.peer_addresses(1).pop();
        }
        let mut pool: Vec<SocketAddr> = self.table.live().map(|member| member.peer).collect();
        pool.extend(self.calls.listed.iter().map(|member| member.peer));
        pool.retain(|address| *address != self.config.me.peer);
        self.pick(pool, 1).pop()
    }

    /// Answers a transfer request of `sender` with the entries that it lacks, or returns `None`
    /// when too many are requested or this process does not serve.
    pub fn transfer_members(
        &mut self,
        now: Duration,
        sender: &Member,
        held: &[[u8; 4]],
    ) -> Option<Vec<Member>> {
        self.advance_clock(now);
        if now >= self.transfer.served_at + Duration::from_secs(1) {
            self.transfer.served_at = now;
            self.transfer.served = 0;
        }
        self.transfer.served += 1;
        if self.transfer.served > MAX_SERVED_PER_SECOND || self.has_left || !self.joined {
            return None;
        }
        if sender.state == State::Alive {
            self.merge(now, sender);
        }
        let members = self.table.missing(held);
        self.counters.transfer_bytes += cost_bytes(held.len(), &members);
        self.refresh_view();
        Some(members)
    }

    /// Completes a transfer; `members` is `None` when it failed.
    pub(super) fn finish_transfer(&mut self, now: Duration, members: Option<&[Member]>) {
        self.transfer.pending_since = None;
        let Some(members) = members else {
            self.schedule_transfer(now, MIN_INTERVAL / 2);
            return;
        };
        self.transfer.received = true;
        let cost = cost_bytes(self.table.entry_hashes().count().min(MAX_HELD), members);
        self.counters.transfers += 1;
        self.counters.transfer_bytes += cost;
        self.transfer.level_bytes += f64::from(u32::try_from(cost).unwrap_or(u32::MAX));
        let mut new_entries = 0;
        for member in members {
            new_entries += usize::from(self.merge(now, member));
        }
        if new_entries >= FOLLOW_UP_ENTRIES {
            self.schedule_transfer(now, MIN_INTERVAL);
        }
    }
}

/// Returns the bytes of a transfer in both directions.
fn cost_bytes(held: usize, members: &[Member]) -> u64 {
    let answer = postcard::to_stdvec(members).map_or(0, |encoded| encoded.len());
    u64::try_from(4 * held + answer + OVERHEAD_BYTES).unwrap_or(u64::MAX)
}
