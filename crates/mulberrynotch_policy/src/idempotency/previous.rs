//! Keys that a revision of the register moves from one target to another.

use std::time::Duration;

use mulberrynotch_register::id;

use super::{
    Ledger,
    WINDOW,
    hash,
    home,
    outgoing::OnAck, //
};
use crate::{
    preference,
    rendezvous,
    view, //
};

/// Maximum number of previous preference lists. With more changes at a time, all homes count as
/// incomplete.
const MAX_PREVIOUS: usize = 16;

/// Targets of a service before a revision changed them.
#[derive(Clone, Debug)]
pub(super) struct Preference {
    /// When this process received the revision.
    pub(super) since: Duration,
    pub(super) service: id::Service,
    candidates: Vec<(id::Target, u64)>,
}

impl Preference {
    /// Returns the most preferred target of a key before the change.
    pub(super) fn first(&self, key: u64) -> Option<id::Target> {
        let weigh = |&(id, seed): &(id::Target, u64)| (rendezvous::weight(key, seed), id);
        self.candidates.iter().map(weigh).max().map(|(_, id)| id)
    }
}

impl Ledger {
    /// Keeps the preference lists that a revision changes, and updates the homes of records.
    pub(super) fn apply_register(&mut self, now: Duration, old_view: &view::View) {
        if old_view.register == self.view.register {
            return;
        }
        for service in old_view
            .register
            .services
            .iter()
            .map(|service| service.id())
        {
            let candidates = old_view.candidates(service);
            if candidates != self.view.candidates(service) && !candidates.is_empty() {
                let (since, candidates) = (now, candidates.to_vec());
                self.previous.push(Preference {
                    since,
                    service,
                    candidates,
                });
                self.clear_synced(service);
            }
        }
        let unacknowledged = self
            .outgoing
            .remove(|sent| matches!(sent.on_ack, OnAck::SyncDone(_)));
        for target in unacknowledged.iter().filter_map(OnAck::sync_target) {
            if let Some(state) = self.homes.get_mut(&target) {
                state.synced = false;
            }
        }
        if self.previous.len() > MAX_PREVIOUS {
            self.previous.drain(..self.previous.len() - MAX_PREVIOUS);
            // It is no longer known which keys the dropped changes moved.
            for state in self.homes.values_mut() {
                *state = home::State::incomplete(now);
            }
        }
        let view = self.view.clone();
        for (key, record) in &mut self.records {
            let known = view
                .locate(record.home)
                .or_else(|| old_view.locate(record.home));
            let home = known.and_then(|entry| preference::first(&view, entry.service, hash(*key)));
            record.home = home.unwrap_or(record.home);
        }
    }

    /// Asks for the records of targets whose keys a revision moved to targets of the process.
    pub(super) fn inherit(&mut self, now: Duration, old_view: &view::View) {
        let view = self.view.clone();
        let previous = self.previous.clone();
        for list in previous.iter().filter(|list| list.since == now) {
            let owned = view
                .candidates(list.service)
                .iter()
                .filter(|(id, _)| view.owns(*id));
            let sources = owned.flat_map(|(target, _)| self.previous_targets(list, *target));
            let sources: std::collections::BTreeSet<id::Target> = sources.collect();
            for source in sources {
                self.inherit_from(now, source, old_view);
            }
        }
    }

    /// Returns the targets that may have been the most preferred of keys that now prefer `target`.
    pub(super) fn previous_targets(
        &self,
        list: &Preference,
        target: id::Target,
    ) -> Vec<id::Target> {
        let current = self.view.candidates(list.service);
        if !current.iter().any(|(id, _)| *id == target) {
            return Vec::new();
        }
        let joined = !list.candidates.iter().any(|(id, _)| *id == target);
        let is_removed = |id| !current.iter().any(|(other, _)| *other == id);
        let ids = list.candidates.iter().map(|(id, _)| *id);
        ids.filter(|id| joined || is_removed(*id)).collect()
    }

    /// Returns true unless the change is older than the resend window, or the previous owner of
    /// `target` had applied it before it handed the records over.
    pub(super) fn is_relevant(&self, now: Duration, list: &Preference, target: id::Target) -> bool {
        let state = self.homes.get(&target);
        let covered = state.is_some_and(|state| state.complete && state.since > list.since);
        now < list.since + WINDOW && !covered
    }

    fn inherit_from(&mut self, now: Duration, source: id::Target, old_view: &view::View) {
        let state = self.homes.get(&source);
        let was_mine =
            old_view.owns(source) && state.is_some_and(|state| state.successor.is_none());
        if was_mine || self.view.owns(source) {
            return;
        }
        let pair = [
            old_view.assignment.owner(source),
            old_view.assignment.backup(source),
        ];
        let sources = pair.into_iter().flatten().cloned().collect();
        self.start_collecting(now, source, sources, false);
        if let Some(state) = self.homes.get_mut(&source) {
            state.claim = false;
        }
    }

    /// Discards the sync state of a service: each owner has to report again, under the new
    /// revision, that its backup has all records.
    fn clear_synced(&mut self, service: id::Service) {
        let view = &self.view;
        let of_service = |id| {
            view.locate(id)
                .is_some_and(|entry| entry.service == service)
        };
        let revision = view.register.revision;
        self.synced_owners
            .retain(|target, (_, known)| *known >= revision || !of_service(*target));
        for (target, state) in &mut self.homes {
            state.synced &= !of_service(*target);
        }
    }
}
