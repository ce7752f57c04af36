//! Propagation of changes from the reader of a zone to its peers.

use std::{
    collections::{
        BTreeSet,
        VecDeque, //
    },
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use super::{
    Machine,
    fetch, //
};
use crate::{
    broadcast,
    catalog,
    message,
    patch,
    record,
    revision, //
};

impl Machine {
    /// Returns the change of the configuration, if the records contain one.
    pub(super) fn patch(
        &self,
        base: &record::Configuration,
        records: &[record::Record],
    ) -> Option<patch::Patch> {
        let mut published = records
            .iter()
            .filter(|it| it.key == record::Key::Configuration);
        let write = published.next_back()?.write;
        let next = self.catalog.configuration();
        Some(patch::Patch::between(base, next, write))
    }

    /// Sends the zone what a complete read changed, and the doubts about what the store has lost.
    pub(super) fn push_listed(
        &mut self,
        now: Duration,
        before: revision::Revision,
        base: &record::Configuration,
        changes: &[catalog::Change],
    ) {
        let as_of = self.catalog.as_of();
        if before == revision::Revision::START || changes.is_empty() {
            return;
        }
        let changed = changes.iter().filter_map(catalog::Change::key);
        let later = self.catalog.keys_since(before);
        let keys: BTreeSet<_> = changed.chain(later).collect();
        let records = self.catalog.records(now, keys);
        let patch = self.patch(base, &records);
        self.push_changes(now, before, as_of, patch, records);
    }

    /// Sends changes to the zone. Changes beyond the limits are left out, and the peers fetch the
    /// gap.
    pub(super) fn push_changes(
        &mut self,
        now: Duration,
        since: revision::Revision,
        as_of: revision::Revision,
        patch: Option<patch::Patch>,
        records: Vec<record::Record>,
    ) {
        let branches = broadcast::branches(&self.fleet.freshest(now), broadcast::MAX_DIRECT_PEERS);
        for part in parts(since, as_of, patch, records) {
            self.push(part, &branches);
        }
    }

    fn push(&mut self, changes: message::Changes, branches: &[broadcast::Branch]) {
        // Peers with the same relay list get the same message.
        for group in branches.chunk_by(|one, other| one.rest == other.rest) {
            let push = message::Push {
                changes: changes.clone(),
                relay: group[0].rest.clone(),
            };
            let to = group.iter().map(|it| it.head).collect();
            self.send(to, message::Message::Push(push));
        }
    }

    /// Handles pushed changes and relays them.
    pub(super) fn handle_push(&mut self, now: Duration, from: SocketAddrV4, push: message::Push) {
        let relayed = (!push.relay.is_empty()).then(|| push.clone());
        self.handle_changes(now, from, push.changes);
        if let Some(relayed) = relayed {
            if self.pending_relays.len() == MAX_PENDING_RELAYS {
                // Its recipients detect from heartbeats of other members that they lack changes.
                self.pending_relays.pop_front();
            }
            self.pending_relays.push_back(relayed);
            self.relay_pending();
        }
    }

    /// Relays the changes that this process has itself, so that peers which detect a gap can fetch
    /// it from here.
    pub(super) fn relay_pending(&mut self) {
        let as_of = self.catalog.as_of();
        let (ready, waiting) = std::mem::take(&mut self.pending_relays)
            .into_iter()
            .partition(|it| it.changes.as_of <= as_of);
        self.pending_relays = waiting;
        let ready: VecDeque<message::Push> = ready;
        for push in ready {
            let branches = broadcast::branches(&push.relay, broadcast::FANOUT);
            self.push(push.changes, &branches);
        }
    }

    fn handle_changes(&mut self, now: Duration, from: SocketAddrV4, changes: message::Changes) {
        let (since, as_of) = (changes.since, changes.as_of);
        let mut records = changes.records;
        let patched = match &changes.patch {
            Some(patch) => self
                .patched_configuration(patch)
                .map(|it| records.push(it))
                .is_some(),
            None => true,
        };
        // Without the configuration the changes are incomplete.
        let since = if patched { since } else { as_of };
        let applied = self.catalog.apply_changes(now, since, as_of, records);
        self.handle_catalog_changes(now, applied);
        if self.catalog.as_of() < as_of {
            self.update_pull_source(
                now,
                fetch::Offer {
                    from,
                    as_of,
                    version: 0,
                    removal_history_ms: 0,
                },
            );
            self.pull(now, from);
        }
    }

    /// Returns the record of the configuration after a patch; `None` if the patch does not apply to
    /// the present one.
    pub(super) fn patched_configuration(&self, patch: &patch::Patch) -> Option<record::Record> {
        let present = self.catalog.configuration();
        if present.version > patch.version || present.digest() == patch.digest {
            return Some(record::Record {
                key: record::Key::Configuration,
                write: patch.write,
                body: None,
                removed_ms: None,
                unconfirmed_ms: None,
            });
        }
        let next = patch.apply(present)?;
        Some(record::Record {
            key: record::Key::Configuration,
            write: patch.write,
            body: Some(record::Body::Configuration(Arc::new(next))),
            removed_ms: None,
            unconfirmed_ms: None,
        })
    }
}

/// Pushes that wait until this process has the changes before them.
const MAX_PENDING_RELAYS: usize = 32;

/// Records per datagram.
const MAX_RECORDS: usize = 12;

/// Datagrams per batch of changes.
const MAX_PARTS: usize = 12;

/// Splits changes into datagrams with consecutive ranges of revisions, so that a receiver detects a
/// datagram that was left out or lost by the next one.
fn parts(
    since: revision::Revision,
    as_of: revision::Revision,
    mut patch: Option<patch::Patch>,
    mut records: Vec<record::Record>,
) -> Vec<message::Changes> {
    records.sort_by_key(|it| it.write.at);
    let count = records.len().div_ceil(MAX_RECORDS);
    let mut parts = Vec::new();
    let mut since = since;
    if records.is_empty() {
        parts.push(message::Changes {
            since,
            as_of,
            records: Vec::new(),
            patch: None,
        });
    }
    for (index, chunk) in records.chunks(MAX_RECORDS).enumerate() {
        let last = index + 1 == count;
        let end = chunk
            .last()
            .filter(|_| !last)
            .map_or(as_of, |it| it.write.at);
        let (published, others): (Vec<_>, Vec<_>) = chunk
            .iter()
            .cloned()
            .partition(|it| it.key == record::Key::Configuration);
        let patch = patch.take_if(|_| !published.is_empty());
        let fits = patch.as_ref().is_none_or(|it| it.size() <= MAX_RECORDS);
        if fits && index < MAX_PARTS || last {
            parts.push(message::Changes {
                since: if fits { since } else { end },
                as_of: end,
                records: others,
                patch: patch.filter(|_| fits),
            });
        }
        since = since.max(end);
    }
    parts
}
