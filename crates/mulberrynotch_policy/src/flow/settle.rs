//! Collection of redirects for a target that joined the preference lists or changed its owner
//! without a handover.

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
        Phase, //
        Request,
    },
    redirect::Destination,
    table::{
        Kind,
        SHARDS, //
    },
};
use crate::budget;

/// Time without progress after which a request to an owner is abandoned.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// First and longest interval between two requests to one owner.
const RETRY: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));

/// Shards that a scan visits per tick.
const SCAN_SHARDS_PER_TICK: usize = 32;

/// Maximum number of scans in progress.
const MAX_SCANS: usize = 1_024;

/// Scan of the table for flows on the target `from` that rank the target `joined` before it.
#[derive(Clone, Debug)]
pub(super) struct Scan {
    joined: id::Target,
    from: id::Target,
    revision: u64,
    peer: Arc<str>,
    shard: usize,
    /// Number of the last redirect that the scan queued. The scan is complete once it is
    /// acknowledged.
    last_queued: u64,
}

impl Machine {
    /// Starts to collect the redirects of a target from the owners of the other targets of its
    /// service.
    pub(super) fn collect(&mut self, now: Duration, target: id::Target, passes_new_flows: bool) {
        let Some(place) = self.view.locate(target) else {
            return;
        };
        let others = self.view.candidates(place.service).iter();
        let pending: BTreeMap<id::Target, Request> = others
            .filter(|(other, _)| *other != target)
            .map(|(other, _)| {
                let request = Request {
                    next: now,
                    backoff: RETRY.0,
                    deadline: now + REQUEST_TIMEOUT,
                };
                (*other, request)
            })
            .collect();
        let revision = self.view.register.revision;
        if let Some(owned) = self.owned.get_mut(&target) {
            let passes_new_flows = passes_new_flows || owned.is_settling();
            owned.collection = Some(Collection {
                passes_new_flows,
                revision,
                pending,
            });
        }
    }

    /// Repeats requests to owners that have not answered, and ends collections that are complete.
    pub(super) fn tick_collections(&mut self, now: Duration) {
        let view = self.view.clone();
        let targets: Vec<id::Target> = self.owned.keys().copied().collect();
        for joined in targets {
            let Some(collection) = self
                .owned
                .get(&joined)
                .and_then(|owned| owned.collection.clone())
            else {
                continue;
            };
            let mut pending = collection.pending;
            pending.retain(|from, request| {
                now < request.deadline
                    && view.locate(*from).is_some()
                    && !self.is_record_complete(*from)
            });
            for (from, request) in &mut pending {
                let owner = view.assignment.owner(*from);
                let owner = owner.filter(|owner| **owner != view.me);
                if let Some(to) = owner.filter(|_| now >= request.next) {
                    request.next = now + request.backoff;
                    request.backoff = (request.backoff * 2).min(RETRY.1);
                    let message = flow::Message::Settle {
                        joined,
                        from: *from,
                        revision: view.register.revision,
                    };
                    self.send(to, budget::Priority::Handover, message);
                }
            }
            if let Some(owned) = self.owned.get_mut(&joined) {
                owned.collection = (!pending.is_empty()).then_some(Collection {
                    pending,
                    ..collection
                });
            }
        }
    }

    /// Returns true when the process itself has the records of all flows of the target.
    fn is_record_complete(&self, target: id::Target) -> bool {
        self.view.owns(target)
            && self
                .owned
                .get(&target)
                .is_some_and(|owned| matches!(owned.phase, Phase::Active))
    }

    /// Extends the deadline of the requests to `peer`, which still sends redirects for the target.
    pub(super) fn extend_request_deadline(
        &mut self,
        now: Duration,
        joined: id::Target,
        peer: &str,
    ) {
        let view = self.view.clone();
        let collection = self
            .owned
            .get_mut(&joined)
            .map(|owned| &mut owned.collection);
        if let Some(Some(collection)) = collection {
            for (from, request) in &mut collection.pending {
                if view
                    .assignment
                    .owner(*from)
                    .is_some_and(|owner| **owner == *peer)
                {
                    request.deadline = now + REQUEST_TIMEOUT;
                }
            }
        }
    }

    /// Starts a scan for the owner of a joined target.
    pub(super) fn start_scan(
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
            .is_some_and(|owned| owned.can_place() && !matches!(owned.phase, Phase::TakingOver(_)));
        let is_running = self
            .scans
            .iter()
            .any(|scan| scan.joined == joined && scan.from == from && *scan.peer == *peer);
        if is_running {
            return;
        }
        // The requester retries until this process has the register and the records. An empty
        // message shows that this process can be reached, so that the requester does not give up.
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
        if self.scans.len() < MAX_SCANS {
            self.scans.push(Scan {
                joined,
                from,
                revision,
                peer: Arc::from(peer),
                shard: 0,
                last_queued: 0,
            });
        }
    }

    /// Advances all scans, and reports those that are complete.
    pub(super) fn tick_scans(&mut self, now: Duration) {
        let _ = now;
        let scans = std::mem::take(&mut self.scans);
        for mut scan in scans {
            if scan.shard < SHARDS {
                self.advance_scan(&mut scan);
            }
            let destination = Destination::owner(scan.joined);
            if scan.shard >= SHARDS && self.is_acknowledged(destination, scan.last_queued) {
                let message = flow::Message::Settled {
                    joined: scan.joined,
                    from: scan.from,
                    revision: scan.revision,
                };
                self.send(&scan.peer, budget::Priority::Handover, message);
            } else if self.view.member(&scan.peer).is_some() {
                self.scans.push(scan);
            }
        }
    }

    /// Queues redirects for the matching flows of the next shards.
    fn advance_scan(&mut self, scan: &mut Scan) {
        let end = (scan.shard + SCAN_SHARDS_PER_TICK).min(SHARDS);
        let flows: Vec<flow::Flow> = (scan.shard..end)
            .flat_map(|shard| self.table.shard_entries(shard))
            .filter(|(flow, entry)| {
                entry.kind == Kind::Serving
                    && self.table.target(*entry) == scan.from
                    && self.ranks_before(flow, scan.joined, scan.from)
            })
            .map(|(flow, _)| flow)
            .collect();
        let to = scan.from;
        for flow in flows {
            scan.last_queued =
                self.queue_redirect(Destination::owner(scan.joined), flow::Redirect { flow, to });
        }
        scan.shard = end;
    }

    /// Records that the owner of `from` has sent all its redirects.
    pub(super) fn receive_settled(&mut self, joined: id::Target, from: id::Target, revision: u64) {
        let collection = self
            .owned
            .get_mut(&joined)
            .map(|owned| &mut owned.collection);
        if let Some(Some(collection)) = collection
            && revision >= collection.revision
        {
            collection.pending.remove(&from);
        }
    }
}
