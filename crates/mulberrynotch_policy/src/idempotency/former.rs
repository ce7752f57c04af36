//! Keys that a revision of the register moves from one target to another.

use std::time::Duration;

use mulberrynotch_register::id;

use super::{
    Ledger,
    WINDOW,
    custody,
    hash,
    outgoing::Then, //
};
use crate::{
    preference,
    rendezvous,
    view, //
};

/// Changes of a service's chain that are remembered; with more at a time, keys are unknown.
const MAX_FORMERS: usize = 16;

/// Targets of a service before a revision changed them.
#[derive(Clone, Debug)]
pub(super) struct Former {
    /// When the process learnt of the change.
    pub(super) since: Duration,
    pub(super) service: id::Service,
    ranked: Vec<(id::Target, u64)>,
}

impl Former {
    /// First target of a key's chain before the change.
    pub(super) fn first(&self, key: u64) -> Option<id::Target> {
        let weigh = |&(id, seed): &(id::Target, u64)| (rendezvous::weight(key, seed), id);
        self.ranked.iter().map(weigh).max().map(|(_, id)| id)
    }
}

impl Ledger {
    /// Notes the chains that a revision changes, and the new homes of records.
    pub(super) fn follow_register(&mut self, now: Duration, before: &view::View) {
        if before.register == self.view.register {
            return;
        }
        for service in before.register.services.iter().map(|service| service.id()) {
            let ranked = before.candidates(service);
            if ranked != self.view.candidates(service) && !ranked.is_empty() {
                let (since, ranked) = (now, ranked.to_vec());
                self.formers.push(Former {
                    since,
                    service,
                    ranked,
                });
                self.forget_vouchers(service);
            }
        }
        let unheard = self
            .outgoing
            .remove(|sent| matches!(sent.then, Then::Vouch(_)));
        for target in unheard.iter().filter_map(Then::synced) {
            if let Some(custody) = self.custody.get_mut(&target) {
                custody.synced = false;
            }
        }
        if self.formers.len() > MAX_FORMERS {
            self.formers.drain(..self.formers.len() - MAX_FORMERS);
            // What the dropped changes moved cannot be told any more.
            for custody in self.custody.values_mut() {
                *custody = custody::Custody::partial(now);
            }
        }
        let view = self.view.clone();
        for (key, record) in &mut self.records {
            let known = view
                .locate(record.home)
                .or_else(|| before.locate(record.home));
            let home = known.and_then(|entry| preference::first(&view, entry.service, hash(*key)));
            record.home = home.unwrap_or(record.home);
        }
    }

    /// Asks for the records of targets whose keys a revision moved to targets of the process.
    pub(super) fn inherit(&mut self, now: Duration, before: &view::View) {
        let view = self.view.clone();
        let formers = self.formers.clone();
        for former in formers.iter().filter(|former| former.since == now) {
            let owned = view
                .candidates(former.service)
                .iter()
                .filter(|(id, _)| view.owns(*id));
            let sources = owned.flat_map(|(target, _)| self.sources_of(former, *target));
            let sources: std::collections::BTreeSet<id::Target> = sources.collect();
            for source in sources {
                self.inherit_from(now, source, before);
            }
        }
    }

    /// Targets that may have been first for keys whose first target is now `target`.
    pub(super) fn sources_of(&self, former: &Former, target: id::Target) -> Vec<id::Target> {
        let current = self.view.candidates(former.service);
        if !current.iter().any(|(id, _)| *id == target) {
            return Vec::new();
        }
        let joined = !former.ranked.iter().any(|(id, _)| *id == target);
        let gone = |id| !current.iter().any(|(other, _)| *other == id);
        let ids = former.ranked.iter().map(|(id, _)| *id);
        ids.filter(|id| joined || gone(*id)).collect()
    }

    /// True unless the former owner of `target` followed the change before it handed over.
    pub(super) fn matters(&self, now: Duration, former: &Former, target: id::Target) -> bool {
        let custody = self.custody.get(&target);
        let covered = custody.is_some_and(|known| known.whole && known.since > former.since);
        now < former.since + WINDOW && !covered
    }

    fn inherit_from(&mut self, now: Duration, source: id::Target, before: &view::View) {
        let known = self.custody.get(&source);
        let was_mine = before.owns(source) && known.is_some_and(|one| one.successor.is_none());
        if was_mine || self.view.owns(source) {
            return;
        }
        let pair = [
            before.assignment.owner(source),
            before.assignment.backup(source),
        ];
        let sources = pair.into_iter().flatten().cloned().collect();
        self.acquire(now, source, sources, false);
        if let Some(custody) = self.custody.get_mut(&source) {
            custody.claim = false;
        }
    }

    /// The owner has to say again, under the new revision, that its backup holds all records.
    fn forget_vouchers(&mut self, service: id::Service) {
        let view = &self.view;
        let of_service = |id| {
            view.locate(id)
                .is_some_and(|entry| entry.service == service)
        };
        let revision = view.register.revision;
        self.vouched
            .retain(|target, (_, known)| *known >= revision || !of_service(*target));
        for (target, custody) in &mut self.custody {
            custody.synced &= !of_service(*target);
        }
    }
}
