//! Dissemination of member changes: pushed once, then carried by heartbeats.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_wire::control::{
    Member,
    Message,
    State, //
};

use super::{
    Event,
    Machine,
    configuration,
    table, //
};
use crate::budget;

/// Maximum number of changes in a heartbeat.
const MAX_CHANGES_PER_HEARTBEAT: usize = 3;

/// Changes in dissemination at a time. A new one evicts the one sent most often; repair covers the
/// rest.
const MAX_CHANGES: usize = 64;

/// Changes that wait for a push.
const MAX_PUSH_QUEUE: usize = 32;

/// Maximum number of changes in a push.
const MAX_CHANGES_PER_PUSH: usize = 4;

/// Rate and burst limits of pushes and repairs together. The rest of the control budget is for
/// heartbeats with changes and for configuration.
const RATE_BYTES_PER_SECOND: f64 = 600.0;
const BURST_BYTES: f64 = 2_400.0;

/// Approximate size of the headers and the envelope of a datagram.
const OVERHEAD_BYTES: usize = 56;

/// Peers that a new change is pushed to.
const FAN_OUT: usize = 3;

/// Minimum interval between pushes.
const PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum bytes of member entries in a datagram.
const MAX_ENTRY_BYTES: usize = 1_000;

/// Minimum interval between repairs of the member table.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between repairs shortly after the start, when the table is nearly empty.
const JOIN_REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the start in which repairs are more frequent.
pub(super) const JOIN_PERIOD: Duration = Duration::from_secs(8);

/// Time without a change of the local table after which a digest difference causes a repair.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Member changes in dissemination.
#[derive(Debug, Default)]
pub(super) struct Updates {
    /// Times that each change was sent.
    send_counts: BTreeMap<Arc<str>, u32>,
    push_queue: Vec<Arc<str>>,
    next_push: Duration,
    next_repair: Duration,
    /// Fill level of the leaky bucket that limits pushes and repairs.
    level_bytes: f64,
    leaked_at: Duration,
}

impl Updates {
    fn queue(&mut self, name: &Arc<str>) {
        self.send_counts.insert(name.clone(), 0);
        while self.send_counts.len() > MAX_CHANGES {
            let most = self.send_counts.iter().max_by_key(|(_, sent)| **sent);
            let Some(name) = most.map(|(name, _)| name.clone()) else {
                break;
            };
            self.send_counts.remove(&name);
        }
        if self.push_queue.len() < MAX_PUSH_QUEUE && !self.push_queue.contains(name) {
            self.push_queue.push(name.clone());
        }
    }
}

impl Machine {
    /// Merges a member entry and queues it for dissemination when it is new.
    pub(super) fn merge_and_queue(&mut self, now: Duration, member: &Member) {
        if self.merge(now, member) {
            self.updates.queue(&member.name);
        }
    }

    /// Merges a member entry and returns true when it is new. Entries of repairs and transfers are
    /// not disseminated: their changes were disseminated before, and a joining process would
    /// disseminate the whole table.
    pub(super) fn merge(&mut self, now: Duration, member: &Member) -> bool {
        if member.name == self.config.me.name {
            self.refute(now, member);
            return false;
        }
        let outcome = self.table.apply(now, member);
        if outcome == table::Outcome::Unchanged {
            return false;
        }
        if member.state == State::Suspect {
            self.start_suspicion(now, &member.name, false);
        }
        self.view_stale |= outcome == table::Outcome::Visible;
        self.log(Event::Member {
            name: member.name.clone(),
            state: member.state,
        });
        true
    }

    /// Announces the current state of this process.
    pub(super) fn announce(&mut self, now: Duration) {
        let me = self.config.me.clone();
        let outcome = self.table.apply(now, &me);
        self.view_stale |= outcome == table::Outcome::Visible;
        // Only pushed: heartbeats carry their sender's entry anyway, and its receivers disseminate
        // it.
        if !self.updates.push_queue.contains(&me.name) {
            self.updates.push_queue.push(me.name);
        }
    }

    fn refute(&mut self, now: Duration, claim: &Member) {
        let me = &self.config.me;
        let is_outdated = (claim.incarnation, claim.state) <= (me.incarnation, me.state);
        if is_outdated || self.has_left || !self.joined {
            // Before the join it is enough to appear with a higher incarnation than the claim.
            if !is_outdated && !self.has_left {
                self.config.me.incarnation = claim.incarnation + 1;
            }
            return;
        }
        self.config.me.incarnation = claim.incarnation + 1;
        self.counters.refutations += 1;
        self.announce(now);
    }

    /// Returns the changes for the next heartbeat, those sent least often first. Each change is
    /// sent a number of times that grows with the logarithm of the fleet size.
    pub(super) fn take_updates(&mut self) -> Vec<Member> {
        let live = self.table.ring().len();
        let max_sends = 3 + live.max(1).ilog2();
        let mut names: Vec<(u32, Arc<str>)> = self
            .updates
            .send_counts
            .iter()
            .map(|(name, sent)| (*sent, name.clone()))
            .collect();
        names.sort_unstable();
        names.truncate(MAX_CHANGES_PER_HEARTBEAT);
        for (sent, name) in &names {
            if sent + 1 >= max_sends {
                self.updates.send_counts.remove(name);
            } else {
                self.updates.send_counts.insert(name.clone(), sent + 1);
            }
        }
        let members = names.iter().filter_map(|(_, name)| self.table.get(name));
        members.cloned().collect()
    }

    /// Pushes new changes to a few random peers.
    pub(super) fn push_updates(&mut self, now: Duration) {
        if self.updates.push_queue.is_empty() || now < self.updates.next_push {
            return;
        }
        self.updates.next_push = now + PUSH_INTERVAL;
        let count = self.updates.push_queue.len().min(MAX_CHANGES_PER_PUSH);
        let names: Vec<Arc<str>> = self.updates.push_queue.drain(..count).collect();
        let members = names.iter().filter_map(|name| self.table.get(name));
        let members: Vec<Member> = members.cloned().collect();
        for peer in self.sample(FAN_OUT, |_| true) {
            let members = members.clone();
            self.send_limited(now, peer.peer, Message::Members { members });
        }
    }

    /// Sends a push or repair, or drops it above the rate limit; later repairs make up for it.
    fn send_limited(&mut self, now: Duration, to: SocketAddr, message: Message) {
        let updates = &mut self.updates;
        let elapsed = now.saturating_sub(updates.leaked_at).as_secs_f64();
        updates.leaked_at = now;
        updates.level_bytes = (updates.level_bytes - elapsed * RATE_BYTES_PER_SECOND).max(0.0);
        if updates.level_bytes >= BURST_BYTES {
            return;
        }
        let bytes = configuration::encoded_bytes(&message) + OVERHEAD_BYTES;
        updates.level_bytes += f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.send_with(to, budget::Priority::Dissemination, message);
    }

    /// Requests the differing entries from a peer with a different digest.
    pub(super) fn request_repair(&mut self, now: Duration, peer: SocketAddr, digest: u64) {
        let joining = now < self.started_at + JOIN_PERIOD;
        let settled = joining || now >= self.table.changed_at + SETTLE_TIME;
        if digest == self.table.digest() || !settled || now < self.updates.next_repair {
            return;
        }
        let interval = if joining {
            JOIN_REPAIR_INTERVAL
        } else {
            REPAIR_INTERVAL
        };
        self.updates.next_repair = now + interval;
        self.counters.repairs += 1;
        let buckets = self.table.buckets().to_vec();
        self.send_limited(now, peer, Message::PullMembers { buckets });
    }

    /// Requests differing entries from a random peer shortly after the start.
    pub(super) fn repair_after_join(&mut self, now: Duration) {
        if now >= self.started_at + JOIN_PERIOD || !self.joined || !self.digest_differs {
            return;
        }
        if now < self.updates.next_repair {
            return;
        }
        for peer in self.sample(1, |_| true) {
            self.updates.next_repair = now + JOIN_REPAIR_INTERVAL;
            let buckets = self.table.buckets().to_vec();
            self.send_limited(now, peer.peer, Message::PullMembers { buckets });
        }
    }

    /// Answers with entries of the buckets that differ, as many as fit into one datagram.
    pub(super) fn answer_member_pull(
        &mut self,
        now: Duration,
        to: SocketAddr,
        peer_buckets: &[u32],
    ) {
        if peer_buckets.len() != table::BUCKETS {
            return;
        }
        let first = self.random_below(table::BUCKETS);
        let mut members = Vec::new();
        let mut bytes = 0;
        let order = (0..table::BUCKETS).map(|step| (first + step) % table::BUCKETS);
        let differing =
            order.filter(|bucket| self.table.buckets()[*bucket] != peer_buckets[*bucket]);
        for member in differing.flat_map(|bucket| self.table.bucket_entries(bucket)) {
            bytes += 24 + member.name.len() + member.zone.len();
            if bytes > MAX_ENTRY_BYTES {
                break;
            }
            members.push(member.clone());
        }
        if !members.is_empty() {
            self.send_limited(now, to, Message::Entries { members });
        }
    }
}
