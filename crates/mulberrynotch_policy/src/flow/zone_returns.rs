//! Outages of zones in register revisions that the process missed.
//!
//! Other processes have placed the flows of such a zone on other targets. A process that skips
//! revisions queries peers which zones returned to service since, and removes its records of their
//! targets.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::flow;

use super::Machine;
use crate::{
    budget,
    view, //
};

/// Maximum number of peers that are queried.
const MAX_PEERS: usize = 3;

/// Interval between two queries to a peer, and their maximum number.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: u32 = 8;

/// Longest time that established flows are held for the answers after a pause.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Zones that returned to service, and the query about revisions that the process missed.
#[derive(Debug, Default)]
pub(super) struct Returns {
    /// Register revision with which each zone last returned to service.
    revisions: BTreeMap<Arc<str>, u64>,
    query: Option<Query>,
}

/// Query about the revisions after `since`, up to `revision`, that the process missed.
#[derive(Debug)]
struct Query {
    since: u64,
    revision: u64,
    peers: Vec<Arc<str>>,
    next: Duration,
    attempts: u32,
    hold_until: Duration,
}

impl Machine {
    /// Records zones that return to service, and queries peers about skipped revisions.
    pub(super) fn update_zone_returns(&mut self, now: Duration, old: &view::View) {
        let view = self.view.clone();
        let (since, revision) = (old.register.revision, view.register.revision);
        if since == 0 || since == revision {
            return;
        }
        for zone in view.register.zones.iter().filter(|zone| !zone.out) {
            let mut before = old.register.zones.iter();
            if before.any(|earlier| earlier.name == zone.name && earlier.out) {
                self.zone_returns
                    .revisions
                    .insert(zone.name.clone(), revision);
            }
        }
        if revision <= since + 1 {
            return;
        }
        let is_unconfirmed = !old.confirmed || !view.confirmed;
        let mut peers: Vec<Arc<str>> = view
            .members
            .iter()
            .filter(|member| member.name != view.me)
            .map(|member| member.name.clone())
            .collect();
        // The sequence starts at a random value, so that processes query different peers.
        let start = usize::try_from(self.sequence).unwrap_or(0) % peers.len().max(1);
        peers.rotate_left(start);
        peers.truncate(MAX_PEERS);
        let previous = self.zone_returns.query.take();
        let since = previous.map_or(since, |query| query.since);
        self.zone_returns.query = (!peers.is_empty()).then_some(Query {
            since,
            revision,
            peers,
            next: now,
            attempts: 0,
            hold_until: now
                + if is_unconfirmed {
                    MAX_HOLD
                } else {
                    Duration::ZERO
                },
        });
        self.tick_zone_returns(now);
    }

    /// Returns true while records may be older than an outage of their zone, so that established
    /// flows have to wait for the answers of peers.
    pub(super) fn holds_established_flows(&self, now: Duration) -> bool {
        let query = self.zone_returns.query.as_ref();
        query.is_some_and(|query| now < query.hold_until)
    }

    pub(super) fn tick_zone_returns(&mut self, now: Duration) {
        let Some(query) = &mut self.zone_returns.query else {
            return;
        };
        if now < query.next {
            return;
        }
        query.next = now + QUERY_INTERVAL;
        query.attempts += 1;
        let is_finished = query.attempts > MAX_ATTEMPTS || query.peers.is_empty();
        let (since, peers) = (query.since, query.peers.clone());
        if is_finished {
            self.zone_returns.query = None;
            return;
        }
        for to in peers {
            let message = flow::Message::PullZoneReturns { since };
            self.send(&to, budget::Priority::ZoneOut, message);
        }
    }

    /// Answers the query of a process that skipped revisions.
    pub(super) fn send_zone_returns(&mut self, from: &str, since: u64) {
        let returned = self.zone_returns.revisions.iter();
        let returned = returned.filter(|(_, revision)| **revision > since);
        let zones = returned.map(|(zone, _)| zone.clone()).collect();
        let message = flow::Message::ZoneReturns {
            since,
            revision: self.view.register.revision,
            zones,
        };
        self.send(&Arc::from(from), budget::Priority::ZoneOut, message);
    }

    /// Applies an outage of the returned zones and their return after the fact: this removes the
    /// records of their targets and makes the targets join again.
    pub(super) fn receive_zone_returns(
        &mut self,
        now: Duration,
        from: &str,
        (since, revision): (u64, u64),
        zones: &[Arc<str>],
    ) {
        let current = self.view.register.revision;
        let Some(query) = &mut self.zone_returns.query else {
            return;
        };
        // A peer with an older register may not know about the latest returns.
        if query.since != since || revision < query.revision {
            return;
        }
        query.peers.retain(|peer| **peer != *from);
        if query.peers.is_empty() || !zones.is_empty() {
            self.zone_returns.query = None;
        }
        let has_returned = |zone: &model::Zone| {
            let is_known = self
                .zone_returns
                .revisions
                .get(&zone.name)
                .is_some_and(|seen| *seen > since);
            !zone.out && zones.contains(&zone.name) && !is_known
        };
        let mut register_without = (*self.view.register).clone();
        let mut returned_zones = Vec::new();
        for zone in register_without.zones.iter_mut() {
            if has_returned(zone) {
                zone.out = true;
                returned_zones.push(zone.name.clone());
            }
        }
        let me = self.view.member(&self.view.me).cloned();
        let Some(me) = me.filter(|_| !returned_zones.is_empty()) else {
            return;
        };
        let view = self.view.clone();
        let members = view.members.clone();
        let view_without =
            view::View::new(&me, Arc::new(register_without), members, view.confirmed);
        self.set_view(now, Arc::new(view_without));
        self.set_view(now, view);
        for zone in returned_zones {
            self.zone_returns.revisions.insert(zone, current);
        }
    }
}
