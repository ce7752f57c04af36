//! Whether the process knows all records of a target's keys, and from whom it collects them.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::{
    control,
    key, //
};

use super::{
    Ledger,
    WINDOW,
    collect,
    hash, //
};
use crate::{
    ownership,
    view, //
};

/// What the process knows of the records of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Custody {
    pub(super) since: Duration,
    pub(super) whole: bool,
    /// True when the process owns the target, false when it inherits some of its keys.
    pub(super) claim: bool,
    pub(super) sources: Vec<Arc<str>>,
    pub(super) next: usize,
    pub(super) after: Option<key::Key>,
    pub(super) asked_at: Duration,
    pub(super) pulls: u32,
    /// Pulls left that tell the source that all records have arrived.
    pub(super) closing: u32,
    /// True when the process was backup and holds all records of the former owner.
    pub(super) vouched: bool,
    /// Backup that the records were last sent to.
    pub(super) synced_to: Option<Arc<str>>,
    pub(super) synced: bool,
    /// Who took the target over.
    pub(super) successor: Option<(Arc<str>, Duration)>,
}

/// Whether an absent key is known not to have been seen.
pub(super) enum Coverage {
    /// All earlier homes of the key are known.
    Whole,
    /// Records of this target are on their way.
    Collecting(id::Target),
    /// Earlier homes that were replaced at this time may have seen the key.
    Since(Duration),
}

impl Custody {
    /// Of a target whose keys the process does not know.
    pub(super) fn partial(now: Duration) -> Self {
        Self {
            since: now,
            claim: true,
            ..Self::default()
        }
    }

    /// Of a target that no process was home of before.
    fn whole(now: Duration) -> Self {
        Self {
            since: now,
            whole: true,
            claim: true,
            ..Self::default()
        }
    }

    /// True when a key without a record was not seen within the resend window.
    pub(super) fn is_whole(&self, now: Duration) -> bool {
        self.whole || now >= self.since + WINDOW
    }
}

impl Ledger {
    /// Takes over a new view.
    pub fn set_view(&mut self, now: Duration, view: Arc<view::View>) {
        let before = std::mem::replace(&mut self.view, view.clone());
        if before.confirmed && !view.confirmed {
            self.unconfirmed_since = now;
        }
        self.knew_others |= view.members.len() > 1;
        self.follow_register(now, &before);
        let mut targets: Vec<id::Target> = view.assignment.iter().map(|(id, _)| id).collect();
        targets.sort_unstable();
        for target in targets {
            self.follow_owner(now, target, &before);
        }
        self.follow_vacancies(now, &before);
        self.inherit(now, &before);
        self.follow_backups(now);
        self.pull_due(now);
    }

    /// Sets up the custody of the first view: nothing is known of what was before.
    pub(super) fn start(&mut self, view: &view::View) {
        self.knew_others = view.members.len() > 1;
        let owned: Vec<id::Target> = view.assignment.iter().map(|(id, _)| id).collect();
        for target in owned.into_iter().filter(|target| view.owns(*target)) {
            self.acquire(Duration::ZERO, target, self.likely_owners(target), false);
        }
    }

    /// Who owns the target while another process has taken it over.
    pub(super) fn ceded_to(&self, target: id::Target) -> Option<Arc<str>> {
        let successor = self.custody.get(&target)?.successor.as_ref();
        successor.map(|(name, _)| name.clone())
    }

    /// Whether all homes that may have seen `key` within the resend window are known.
    pub(super) fn coverage(
        &self,
        now: Duration,
        service: id::Service,
        key: key::Key,
        home: id::Target,
    ) -> Coverage {
        let formers = (self.formers.iter())
            .filter(|former| former.service == service && self.matters(now, former, home))
            .filter_map(|former| former.first(hash(key)));
        let mut coverage = Coverage::Whole;
        for target in std::iter::once(home).chain(formers) {
            let Some(custody) = self.custody.get(&target) else {
                return Coverage::Since(now);
            };
            if custody.is_whole(now) {
                continue;
            }
            coverage = match coverage {
                Coverage::Since(at) => Coverage::Since(at.max(custody.since)),
                _ if now >= custody.since + collect::COLLECT_TIME => Coverage::Since(custody.since),
                _ => Coverage::Collecting(target),
            };
        }
        coverage
    }

    /// True when the process can name every record of `target` that a successor needs.
    pub(super) fn is_complete(&self, now: Duration, target: id::Target, claim: bool) -> bool {
        let whole = |target| {
            let custody = self.custody.get(&target);
            custody.is_some_and(|custody| custody.is_whole(now))
        };
        let formers = self.formers.iter();
        let mut inherited = formers
            .filter(|former| self.matters(now, former, target))
            .flat_map(|former| self.sources_of(former, target))
            .filter(|id| *id != target);
        let serves = !self.view.owns(target) || self.serves(target);
        serves && whole(target) && (!claim || inherited.all(whole))
    }

    fn follow_owner(&mut self, now: Duration, target: id::Target, before: &view::View) {
        let owner = self.view.assignment.owner(target).cloned();
        let previous = before.assignment.owner(target).cloned();
        let (is_mine, was_mine) = (self.view.owns(target), before.owns(target));
        let lives = |name: &Arc<str>| self.view.member(name).is_some();
        match (is_mine, was_mine) {
            (true, true) => {
                let whole = self
                    .custody
                    .get(&target)
                    .is_some_and(|custody| custody.whole);
                if let Some(successor) = self.ceded_to(target) {
                    self.acquire(now, target, vec![successor], false);
                } else if !whole {
                    self.add_sources(target);
                }
            }
            (true, false) => {
                let vouched = self.vouched.remove(&target).map(|(owner, _)| owner);
                let vouched = vouched.is_some() && vouched == previous;
                if previous.is_none() && before.register.revision > 0 {
                    self.custody.insert(target, Custody::whole(now));
                    return;
                }
                let mut sources: Vec<Arc<str>> = previous.into_iter().collect();
                if !vouched {
                    sources.extend(before.assignment.backup(target).cloned());
                    sources.extend(self.likely_owners(target));
                }
                self.acquire(now, target, sources, vouched);
            }
            (false, _) => {
                let dead = previous.as_ref().is_some_and(|name| !lives(name));
                let voucher = self.vouched.get(&target).map(|(owner, _)| owner);
                if dead && voucher == previous.as_ref() {
                    self.custody.insert(target, Custody::whole(now));
                }
                if owner != previous {
                    self.vouched.remove(&target);
                }
                let custody = self.custody.get_mut(&target).filter(|known| known.claim);
                if let (Some(custody), Some(owner)) = (custody, owner) {
                    custody.successor.get_or_insert((owner, now));
                }
                self.release_stored(now, target);
            }
        }
    }

    /// Starts over with targets of zones that are known to be vacant from now on: until then their
    /// balancers may have run keys on the other side of a partition.
    fn follow_vacancies(&mut self, now: Duration, before: &view::View) {
        let view = self.view.clone();
        let mut fresh: Vec<id::Target> = (view.assignment.iter())
            .filter(|(id, _)| view.owns(*id))
            .filter(|(id, _)| {
                let zone = view.target(*id).map(|target| &target.zone);
                zone.is_some_and(|zone| {
                    view.vacant_zones.contains(zone) && !before.vacant_zones.contains(zone)
                })
            })
            .map(|(id, _)| id)
            .collect();
        fresh.sort_unstable();
        for target in fresh {
            self.acquire(now, target, self.likely_owners(target), false);
        }
    }

    /// Starts to collect the records of `target`.
    pub(super) fn acquire(
        &mut self,
        now: Duration,
        target: id::Target,
        mut sources: Vec<Arc<str>>,
        vouched: bool,
    ) {
        let mut seen = std::collections::HashSet::new();
        let (view, owns) = (self.view.clone(), self.view.owns(target));
        sources.retain(|name| {
            *name != view.me && view.member(name).is_some() && seen.insert(name.clone())
        });
        let custody = Custody {
            since: now,
            claim: owns,
            sources,
            vouched,
            ..Custody::default()
        };
        self.custody.insert(target, custody);
        self.handovers.reset(target);
        if vouched {
            self.give_up_remote(now, target);
        }
    }

    /// The former owner is dead: whether its requests ran will not be known.
    fn give_up_remote(&mut self, now: Duration, target: id::Target) {
        let owner_lives = self.custody.get(&target).is_some_and(|custody| {
            custody
                .sources
                .iter()
                .any(|name| self.view.member(name).is_some())
        });
        let records = self
            .records
            .values_mut()
            .filter(|record| record.home == target);
        for record in records.filter(|record| !record.local && !owner_lives) {
            if record.state == key::State::Running {
                record.set(now, key::State::Unknown);
            }
        }
    }

    fn add_sources(&mut self, target: id::Target) {
        let likely = self.likely_owners(target);
        if let Some(custody) = self.custody.get_mut(&target) {
            for name in likely {
                if !custody.sources.contains(&name) {
                    custody.sources.push(name);
                }
            }
        }
    }

    /// Owner and backup of `target` if the process did not exist.
    fn likely_owners(&self, target: id::Target) -> Vec<Arc<str>> {
        let view = &self.view;
        let others: Vec<control::Member> = (view.members.iter())
            .filter(|member| member.name != view.me)
            .cloned()
            .collect();
        let others = ownership::Assignment::new(&view.register, &others);
        let names = [others.owner(target), others.backup(target)];
        names.into_iter().flatten().cloned().collect()
    }
}
