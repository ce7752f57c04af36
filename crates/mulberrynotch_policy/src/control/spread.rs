//! Spreading of member changes: pushed once, then carried by heartbeats.

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

/// Changes that a heartbeat carries at most.
const PER_HEARTBEAT: usize = 3;

/// Changes that are spread at a time; the most sent one makes room, and repair covers the rest.
const MAX_CHANGES: usize = 64;

/// Changes that wait for a push.
const MAX_FRESH: usize = 32;

/// Changes that a push carries at most.
const PER_PUSH: usize = 4;

/// Pushes and repairs cost at most this on average, in bytes per second, and `SPREAD_BURST` at
/// once. The rest of the control budget is for heartbeats with changes and for configuration.
const SPREAD_RATE: f64 = 600.0;
const SPREAD_BURST: f64 = 2_400.0;

/// Headers and envelope of a datagram, estimated.
const OVERHEAD_BYTES: usize = 56;

/// Peers that a new change is pushed to.
const FAN_OUT: usize = 3;

/// Least time between two pushes.
const PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of member entries in one datagram.
const MAX_ENTRY_BYTES: usize = 1_000;

/// Least time between two repairs of the table.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two repairs right after the start, when the table is nearly empty.
const JOIN_REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// How long after the start repairs are fast.
pub(super) const JOIN_PERIOD: Duration = Duration::from_secs(8);

/// A difference of digests counts as a fault when the own table has not changed for this long.
const SETTLE: Duration = Duration::from_secs(2);

/// Changes that are still to be sent.
#[derive(Debug, Default)]
pub(super) struct Updates {
    /// Times that each change was sent.
    sent: BTreeMap<Arc<str>, u32>,
    fresh: Vec<Arc<str>>,
    next_push: Duration,
    next_repair: Duration,
    /// Bytes spent and not yet earned back.
    spent: f64,
    earned_at: Duration,
}

impl Updates {
    fn add(&mut self, name: &Arc<str>) {
        self.sent.insert(name.clone(), 0);
        while self.sent.len() > MAX_CHANGES {
            let most = self.sent.iter().max_by_key(|(_, sent)| **sent);
            let Some(name) = most.map(|(name, _)| name.clone()) else {
                break;
            };
            self.sent.remove(&name);
        }
        if self.fresh.len() < MAX_FRESH && !self.fresh.contains(name) {
            self.fresh.push(name.clone());
        }
    }
}

impl Machine {
    /// Applies what a peer knows of a member and spreads what is new.
    pub(super) fn learn(&mut self, now: Duration, member: &Member) {
        if self.take(now, member) {
            self.updates.add(&member.name);
        }
    }

    /// Applies an entry of another table and returns true when it is new. Repairs do not spread
    /// it: its change was spread before, and a joining process would spread the whole table.
    pub(super) fn take(&mut self, now: Duration, member: &Member) -> bool {
        if member.name == self.config.me.name {
            self.refute(now, member);
            return false;
        }
        let outcome = self.table.apply(now, member);
        if outcome == table::Outcome::Nothing {
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

    /// Announces the process itself.
    pub(super) fn announce(&mut self, now: Duration) {
        let me = self.config.me.clone();
        let outcome = self.table.apply(now, &me);
        self.view_stale |= outcome == table::Outcome::Visible;
        // Heartbeats name their sender anyway; others spread what is new about it.
        if !self.updates.fresh.contains(&me.name) {
            self.updates.fresh.push(me.name);
        }
    }

    fn refute(&mut self, now: Duration, claim: &Member) {
        let me = &self.config.me;
        let older = (claim.incarnation, claim.state) <= (me.incarnation, me.state);
        if older || self.left || !self.joined {
            // A process that has not joined yet only has to come back above the claim.
            if !older && !self.left {
                self.config.me.incarnation = claim.incarnation + 1;
            }
            return;
        }
        self.config.me.incarnation = claim.incarnation + 1;
        self.counters.refutations += 1;
        self.announce(now);
    }

    /// Takes the changes that the next heartbeat carries, least sent first.
    pub(super) fn take_updates(&mut self) -> Vec<Member> {
        let live = self.table.ring().len();
        let limit = 3 + live.max(1).ilog2();
        let mut names: Vec<(u32, Arc<str>)> = self
            .updates
            .sent
            .iter()
            .map(|(name, sent)| (*sent, name.clone()))
            .collect();
        names.sort_unstable();
        names.truncate(PER_HEARTBEAT);
        for (sent, name) in &names {
            if sent + 1 >= limit {
                self.updates.sent.remove(name);
            } else {
                self.updates.sent.insert(name.clone(), sent + 1);
            }
        }
        let members = names.iter().filter_map(|(_, name)| self.table.get(name));
        members.cloned().collect()
    }

    /// Pushes new changes to a few random peers.
    pub(super) fn push_updates(&mut self, now: Duration) {
        if self.updates.fresh.is_empty() || now < self.updates.next_push {
            return;
        }
        self.updates.next_push = now + PUSH_INTERVAL;
        let count = self.updates.fresh.len().min(PER_PUSH);
        let names: Vec<Arc<str>> = self.updates.fresh.drain(..count).collect();
        let members = names.iter().filter_map(|name| self.table.get(name));
        let members: Vec<Member> = members.cloned().collect();
        for peer in self.sample(FAN_OUT, |_| true) {
            let members = members.clone();
            self.spread(now, peer.peer, Message::Members { members });
        }
    }

    /// Sends a push or repair; drops it when too many were sent, later repairs make up for it.
    fn spread(&mut self, now: Duration, to: SocketAddr, message: Message) {
        let updates = &mut self.updates;
        let elapsed = now.saturating_sub(updates.earned_at).as_secs_f64();
        updates.earned_at = now;
        updates.spent = (updates.spent - elapsed * SPREAD_RATE).max(0.0);
        if updates.spent >= SPREAD_BURST {
            return;
        }
        let bytes = configuration::encoded_bytes(&message) + OVERHEAD_BYTES;
        updates.spent += f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.send_with(to, budget::Priority::Dissemination, message);
    }

    /// Asks a peer whose digest differs for what differs.
    pub(super) fn repair(&mut self, now: Duration, peer: SocketAddr, digest: u64) {
        let joining = now < self.started + JOIN_PERIOD;
        let settled = joining || now >= self.table.changed_at + SETTLE;
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
        self.spread(now, peer, Message::PullMembers { buckets });
    }

    /// Asks random peers for members right after the start.
    pub(super) fn repair_join(&mut self, now: Duration) {
        if now >= self.started + JOIN_PERIOD || !self.joined || !self.join_differs {
            return;
        }
        if now < self.updates.next_repair {
            return;
        }
        for peer in self.sample(1, |_| true) {
            self.updates.next_repair = now + JOIN_REPAIR_INTERVAL;
            let buckets = self.table.buckets().to_vec();
            self.spread(now, peer.peer, Message::PullMembers { buckets });
        }
    }

    /// Answers with entries of buckets that differ, as many as fit into one datagram.
    pub(super) fn answer_pull(&mut self, now: Duration, to: SocketAddr, theirs: &[u32]) {
        if theirs.len() != table::BUCKETS {
            return;
        }
        let first = self.random(table::BUCKETS);
        let mut members = Vec::new();
        let mut bytes = 0;
        let order = (0..table::BUCKETS).map(|step| (first + step) % table::BUCKETS);
        let differing = order.filter(|bucket| self.table.buckets()[*bucket] != theirs[*bucket]);
        for member in differing.flat_map(|bucket| self.table.bucket(bucket)) {
            bytes += 24 + member.name.len() + member.zone.len();
            if bytes > MAX_ENTRY_BYTES {
                break;
            }
            members.push(member.clone());
        }
        if !members.is_empty() {
            self.spread(now, to, Message::Entries { members });
        }
    }
}
