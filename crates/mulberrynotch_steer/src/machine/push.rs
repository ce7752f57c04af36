//! Changes that a reader sends to its zone.

use std::{
    collections::VecDeque,
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use super::{
    Machine, //
};
use crate::{
    broadcast,
    message,
    patch,
    record, //
};

impl Machine {
    /// What the configuration among the records changed, if there is one.
    pub(super) fn patch(
        &self,
        base: &record::Configuration,
        records: &[record::Record],
    ) -> Option<patch::Patch> {
        let mut published = records
            .iter()
            .filter(|it| it.key == record::Key::Configuration);
        let revision = published.next_back()?.revision;
        let next = self.catalog.configuration();
        Some(patch::Patch::between(base, next, revision))
    }

    /// Sends changes to the zone. Changes that are too many leave a gap, and the peers fetch what
    /// lies in it.
    pub(super) fn push_changes(
        &mut self,
        now: Duration,
        since: u64,
        as_of: u64,
        patch: Option<patch::Patch>,
        records: Vec<record::Record>,
    ) {
        let branches = broadcast::branches(&self.fleet.freshest(now), broadcast::MAX_DIRECT_PEERS);
        for part in parts(since, as_of, patch, records) {
            self.push(part, &branches);
        }
    }

    fn push(&mut self, changes: message::Changes, branches: &[broadcast::Branch]) {
        // Peers that pass nothing on get the same message.
        for group in branches.chunk_by(|one, other| one.rest == other.rest) {
            let push = message::Push {
                changes: changes.clone(),
                relay: group[0].rest.clone(),
            };
            let to = group.iter().map(|it| it.head).collect();
            self.send(to, message::Message::Push(push));
        }
    }

    /// Takes in changes and passes them on.
    pub(super) fn handle_push(&mut self, now: Duration, from: SocketAddrV4, push: message::Push) {
        let relayed = (!push.relay.is_empty()).then(|| push.clone());
        self.take_changes(now, from, push.changes);
        if let Some(relayed) = relayed {
            if self.pending_relays.len() == MAX_PENDING_RELAYS {
                // Its peers hear from others that they are behind.
                self.pending_relays.pop_front();
            }
            self.pending_relays.push_back(relayed);
            self.relay_pending();
        }
    }

    /// Passes on the changes that this process has itself: peers that find a gap in them fetch what
    /// lies in it from here.
    pub(super) fn relay_pending(&mut self) {
        let known = self.catalog.as_of();
        let (ready, waiting) = std::mem::take(&mut self.pending_relays)
            .into_iter()
            .partition(|it| it.changes.as_of <= known);
        self.pending_relays = waiting;
        let ready: VecDeque<message::Push> = ready;
        for push in ready {
            let branches = broadcast::branches(&push.relay, broadcast::FANOUT);
            self.push(push.changes, &branches);
        }
    }

    fn take_changes(&mut self, now: Duration, from: SocketAddrV4, changes: message::Changes) {
        let (since, as_of) = (changes.since, changes.as_of);
        let mut records = changes.records;
        let patched = match &changes.patch {
            Some(patch) => self
                .patched_configuration(patch)
                .map(|it| records.push(it))
                .is_some(),
            None => true,
        };
        // Without the configuration the changes are not complete.
        let since = if patched { since } else { as_of };
        let applied = self.catalog.apply_changes(now, since, as_of, records);
        self.note_changes(now, applied);
        if self.catalog.as_of() < as_of {
            self.note_source(now, from, as_of, 0);
            self.pull(now, from);
        }
    }

    /// The record of the configuration that a patch leads to from the present one.
    pub(super) fn patched_configuration(&self, patch: &patch::Patch) -> Option<record::Record> {
        let present = self.catalog.configuration();
        if present.version >= patch.version {
            return Some(record::Record {
                key: record::Key::Configuration,
                revision: patch.revision,
                body: None,
                removed_ms: None,
            });
        }
        let next = patch.apply(present)?;
        Some(record::Record {
            key: record::Key::Configuration,
            revision: patch.revision,
            body: Some(record::Body::Configuration(Arc::new(next))),
            removed_ms: None,
        })
    }
}

/// Changes that wait at most until this process has what they follow on.
const MAX_PENDING_RELAYS: usize = 32;

/// Records that one datagram carries at most.
const MAX_RECORDS: usize = 12;

/// Datagrams of changes that are sent at once at most.
const MAX_PARTS: usize = 12;

/// Changes in datagrams, each of which follows on the one before by its revisions. One that is left
/// out or lost is noticed by the next.
fn parts(
    since: u64,
    as_of: u64,
    mut patch: Option<patch::Patch>,
    mut records: Vec<record::Record>,
) -> Vec<message::Changes> {
    records.sort_by_key(|it| it.revision);
    let count = records.len().div_ceil(MAX_RECORDS);
    let mut parts = Vec::new();
    let mut since = since;
    for (index, chunk) in records.chunks(MAX_RECORDS).enumerate() {
        let last = index + 1 == count;
        let end = chunk
            .last()
            .filter(|_| !last)
            .map_or(as_of, |it| it.revision);
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
        since = end;
    }
    parts
}
