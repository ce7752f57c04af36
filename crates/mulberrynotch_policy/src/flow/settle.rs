//! Collection of redirects for a target that joined the chain or changed its owner without a
//! handover.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::flow;

use super::{
    Machine,
    owned::{
        Collection,
        Inquiry,
        Phase, //
    },
    redirect::Lane,
    table::{
        Kind,
        SHARDS, //
    },
};
use crate::budget;

/// An owner that shows no progress for so long is not waited for.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// First and longest interval between two requests to one owner.
const RETRY: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));

/// Shards that a walk visits per tick.
const WALK_SHARDS: usize = 32;

/// Walks in progress at most.
const MAX_WALKS: usize = 1_024;

/// Search for flows of one target that another target now ranks before.
#[derive(Clone, Debug)]
pub(super) struct Walk {
    joined: id::Target,
    from: id::Target,
    revision: u64,
    peer: Arc<str>,
    shard: usize,
    /// Redirects of the lane that have to be acknowledged before the walk is complete.
    mark: u64,
}

impl Machine {
    /// Starts to collect the redirects of a target.
    pub(super) fn collect(&mut self, now: Duration, target: id::Target, passing: bool) {
        let Some(place) = self.view.locate(target) else {
            return;
        };
        let others = self.view.candidates(place.service).iter();
        let waiting: BTreeMap<id::Target, Inquiry> = others
            .filter(|(other, _)| *other != target)
            .map(|(other, _)| {
                let inquiry = Inquiry {
                    next: now,
                    backoff: RETRY.0,
                    deadline: now + SETTLE_TIMEOUT,
                };
                (*other, inquiry)
            })
            .collect();
        let revision = self.view.register.revision;
        if let Some(owned) = self.owned.get_mut(&target) {
            let passing = passing || owned.is_settling();
            owned.collection = Some(Collection {
                passing,
                revision,
                waiting,
            });
        }
    }

    /// Asks the owners again that have not answered.
    pub(super) fn tick_collections(&mut self, now: Duration) {
        let view = self.view.clone();
        let targets: Vec<id::Target> = self.owned.keys().copied().collect();
        for joined in targets {
            let Some(collection) = self.owned.get(&joined).and_then(|o| o.collection.clone())
            else {
                continue;
            };
            let mut waiting = collection.waiting;
            waiting.retain(|from, inquiry| {
                now < inquiry.deadline && view.locate(*from).is_some() && !self.is_complete(*from)
            });
            for (from, inquiry) in &mut waiting {
                let owner = view.assignment.owner(*from);
                let owner = owner.filter(|owner| **owner != view.me);
                if let Some(to) = owner.filter(|_| now >= inquiry.next) {
                    inquiry.next = now + inquiry.backoff;
                    inquiry.backoff = (inquiry.backoff * 2).min(RETRY.1);
                    let message = flow::Message::Settle {
                        joined,
                        from: *from,
                        revision: view.register.revision,
                    };
                    self.send(to, budget::Priority::Handover, message);
                }
            }
            if let Some(owned) = self.owned.get_mut(&joined) {
                owned.collection = (!waiting.is_empty()).then_some(Collection {
                    waiting,
                    ..collection
                });
            }
        }
    }

    /// True when the process itself knows all flows of the target.
    fn is_complete(&self, target: id::Target) -> bool {
        self.view.owns(target)
            && self
                .owned
                .get(&target)
                .is_some_and(|owned| matches!(owned.phase, Phase::Active))
    }

    /// Notes that `peer` still sends redirects for the target.
    pub(super) fn still_sending(&mut self, now: Duration, joined: id::Target, peer: &str) {
        let view = self.view.clone();
        let collection = self.owned.get_mut(&joined).map(|o| &mut o.collection);
        if let Some(Some(collection)) = collection {
            for (from, inquiry) in &mut collection.waiting {
                if view.assignment.owner(*from).is_some_and(|o| **o == *peer) {
                    inquiry.deadline = now + SETTLE_TIMEOUT;
                }
            }
        }
    }

    /// Starts a walk for the owner of a joined target.
    pub(super) fn asked_to_walk(
        &mut self,
        peer: &str,
        joined: id::Target,
        from: id::Target,
        revision: u64,
    ) {
        let is_known = self.view.locate(joined).is_some_and(|place| !place.out);
        let is_complete = self
            .owned
            .get(&from)
            .is_some_and(|owned| owned.decides() && !matches!(owned.phase, Phase::TakingOver(_)));
        let runs = self
            .walks
            .iter()
            .any(|walk| walk.joined == joined && walk.from == from && *walk.peer == *peer);
        if runs {
            return;
        }
        // The asker tries again until this process has the register and the records. An empty
        // message tells it that the process can be reached, so that it does not give up.
        if self.view.register.revision < revision || !is_known || !is_complete {
            let message = flow::Message::Redirects {
                target: joined,
                redirects: Vec::new(),
                sequence: 0,
                revision: self.view.register.revision,
            };
            self.send(&Arc::from(peer), budget::Priority::Handover, message);
            return;
        }
        if self.walks.len() < MAX_WALKS {
            self.walks.push(Walk {
                joined,
                from,
                revision,
                peer: Arc::from(peer),
                shard: 0,
                mark: 0,
            });
        }
    }

    /// Advances all walks.
    pub(super) fn tick_walks(&mut self, now: Duration) {
        let _ = now;
        let walks = std::mem::take(&mut self.walks);
        for mut walk in walks {
            if walk.shard < SHARDS {
                self.advance(&mut walk);
            }
            let lane = Lane::owner(walk.joined);
            if walk.shard >= SHARDS && self.is_acknowledged(lane, walk.mark) {
                let message = flow::Message::Settled {
                    joined: walk.joined,
                    from: walk.from,
                    revision: walk.revision,
                };
                self.send(&walk.peer, budget::Priority::Handover, message);
            } else if self.view.member(&walk.peer).is_some() {
                self.walks.push(walk);
            }
        }
    }

    fn advance(&mut self, walk: &mut Walk) {
        let end = (walk.shard + WALK_SHARDS).min(SHARDS);
        let found: Vec<flow::Flow> = (walk.shard..end)
            .flat_map(|shard| self.table.shard_entries(shard))
            .filter(|(flow, entry)| {
                entry.kind == Kind::Serving
                    && self.table.target(*entry) == walk.from
                    && self.precedes(flow, walk.joined, walk.from)
            })
            .map(|(flow, _)| flow)
            .collect();
        let to = walk.from;
        for flow in found {
            walk.mark = self.queue(Lane::owner(walk.joined), flow::Redirect { flow, to });
        }
        walk.shard = end;
    }

    /// Notes that one owner has sent all its redirects.
    pub(super) fn settled(&mut self, joined: id::Target, from: id::Target, revision: u64) {
        let collection = self.owned.get_mut(&joined).map(|o| &mut o.collection);
        if let Some(Some(collection)) = collection
            && revision >= collection.revision
        {
            collection.waiting.remove(&from);
        }
    }
}
