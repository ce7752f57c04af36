//! State of the targets that the process is the home of: whether their records are complete, and
//! from which peers they are collected.

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

/// State of the records of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    pub(super) since: Duration,
    pub(super) complete: bool,
    /// True if this process owns the target, false if it only inherits some of the target's keys.
    pub(super) claim: bool,
    pub(super) sources: Vec<Arc<str>>,
    pub(super) source_index: usize,
    pub(super) cursor: Option<key::Key>,
    pub(super) pulled_at: Duration,
    pub(super) pulls: u32,
    /// Remaining copies of the pull that tells the source that all records have arrived.
    pub(super) final_pulls_left: u32,
    /// True if this process was the backup of the previous owner and has all of its records.
    pub(super) was_synced: bool,
    /// Backup that the records are synced to.
    pub(super) synced_to: Option<Arc<str>>,
    pub(super) synced: bool,
    /// Process that took the target over, and when.
    pub(super) successor: Option<(Arc<str>, Duration)>,
}

/// Whether a key without a record is known to be new.
pub(super) enum Coverage {
    /// The records of all previous homes of the key are complete.
    Complete,
    /// The records of this target are still being collected.
    Collecting(id::Target),
    /// Previous homes that were replaced at this time may have seen the key.
    Since(Duration),
}

impl State {
    /// State of a target whose records are unknown.
    pub(super) fn incomplete(now: Duration) -> Self {
        Self {
            since: now,
            claim: true,
            ..Self::default()
        }
    }

    /// State of a target whose records are all known, or that had no home before.
    fn complete(now: Duration) -> Self {
        Self {
            since: now,
            complete: true,
            claim: true,
            ..Self::default()
        }
    }

    /// Returns true if a key without a record was not seen within the resend window.
    pub(super) fn is_complete(&self, now: Duration) -> bool {
        self.complete || now >= self.since + WINDOW
    }
}

impl Ledger {
    /// Replaces the view, and follows the changes of homes, backups and preference lists.
    pub fn set_view(&mut self, now: Duration, view: Arc<view::View>) {
        let old_view = std::mem::replace(&mut self.view, view.clone());
        if old_view.confirmed && !view.confirmed {
            self.unconfirmed_since = now;
        }
        self.has_seen_peers |= view.members.len() > 1;
        self.apply_register(now, &old_view);
        let mut targets: Vec<id::Target> = view.assignment.iter().map(|(id, _)| id).collect();
        targets.sort_unstable();
        for target in targets {
            self.apply_owner(now, target, &old_view);
        }
        self.apply_vacancies(now, &old_view);
        self.inherit(now, &old_view);
        self.apply_backups(now);
        self.pull_due(now);
    }

    /// Starts to collect the records of all owned targets, because nothing is known about the time
    /// before the first view.
    pub(super) fn init(&mut self, view: &view::View) {
        self.has_seen_peers = view.members.len() > 1;
        let owned: Vec<id::Target> = view.assignment.iter().map(|(id, _)| id).collect();
        for target in owned.into_iter().filter(|target| view.owns(*target)) {
            self.start_collecting(Duration::ZERO, target, self.likely_owners(target), false);
        }
    }

    /// Returns the process that has taken `target` over from this one, if any.
    pub(super) fn successor_of(&self, target: id::Target) -> Option<Arc<str>> {
        let successor = self.homes.get(&target)?.successor.as_ref();
        successor.map(|(name, _)| name.clone())
    }

    /// Returns whether the records of all homes that may have seen `key` within the resend window
    /// are complete.
    pub(super) fn coverage(
        &self,
        now: Duration,
        service: id::Service,
        key: key::Key,
        home: id::Target,
    ) -> Coverage {
        let previous = (self.previous.iter())
            .filter(|list| list.service == service && self.is_relevant(now, list, home))
            .filter_map(|list| list.first(hash(key)));
        let mut coverage = Coverage::Complete;
        for target in std::iter::once(home).chain(previous) {
            let Some(state) = self.homes.get(&target) else {
                return Coverage::Since(now);
            };
            if state.is_complete(now) {
                continue;
            }
            coverage = match coverage {
                Coverage::Since(at) => Coverage::Since(at.max(state.since)),
                _ if now >= state.since + collect::MAX_COLLECT_TIME => Coverage::Since(state.since),
                _ => Coverage::Collecting(target),
            };
        }
        coverage
    }

    /// Returns true if this process has every record of `target` that a successor needs.
    pub(super) fn is_complete(&self, now: Duration, target: id::Target, claim: bool) -> bool {
        let complete = |target| {
            let state = self.homes.get(&target);
            state.is_some_and(|state| state.is_complete(now))
        };
        let previous = self.previous.iter();
        let mut inherited = previous
            .filter(|list| self.is_relevant(now, list, target))
            .flat_map(|list| self.previous_targets(list, target))
            .filter(|id| *id != target);
        let may_serve = !self.view.owns(target) || self.may_serve(target);
        may_serve && complete(target) && (!claim || inherited.all(complete))
    }

    fn apply_owner(&mut self, now: Duration, target: id::Target, old_view: &view::View) {
        let owner = self.view.assignment.owner(target).cloned();
        let previous_owner = old_view.assignment.owner(target).cloned();
        let (is_mine, was_mine) = (self.view.owns(target), old_view.owns(target));
        let is_live = |name: &Arc<str>| self.view.member(name).is_some();
        match (is_mine, was_mine) {
            (true, true) => {
                let complete = self.homes.get(&target).is_some_and(|state| state.complete);
                if let Some(successor) = self.successor_of(target) {
                    self.start_collecting(now, target, vec![successor], false);
                } else if !complete {
                    self.add_sources(target);
                }
            }
            (true, false) => {
                let was_synced = self.synced_owners.remove(&target).map(|(owner, _)| owner);
                let was_synced = was_synced.is_some() && was_synced == previous_owner;
                if previous_owner.is_none() && old_view.register.revision > 0 {
                    self.homes.insert(target, State::complete(now));
                    return;
                }
                let mut sources: Vec<Arc<str>> = previous_owner.into_iter().collect();
                if !was_synced {
                    sources.extend(old_view.assignment.backup(target).cloned());
                    sources.extend(self.likely_owners(target));
                }
                self.start_collecting(now, target, sources, was_synced);
            }
            (false, _) => {
                let is_dead = previous_owner.as_ref().is_some_and(|name| !is_live(name));
                let synced_owner = self.synced_owners.get(&target).map(|(owner, _)| owner);
                if is_dead && synced_owner == previous_owner.as_ref() {
                    self.homes.insert(target, State::complete(now));
                }
                if owner != previous_owner {
                    self.synced_owners.remove(&target);
                }
                let state = self.homes.get_mut(&target).filter(|state| state.claim);
                if let (Some(state), Some(owner)) = (state, owner) {
                    state.successor.get_or_insert((owner, now));
                }
                self.restart_tickets(now, target);
            }
        }
    }

    /// Collects the records of targets anew when their zone becomes known as vacant: until then,
    /// its balancers may have run keys on the other side of a partition.
    fn apply_vacancies(&mut self, now: Duration, old_view: &view::View) {
        let view = self.view.clone();
        let mut now_vacant: Vec<id::Target> = (view.assignment.iter())
            .filter(|(id, _)| view.owns(*id))
            .filter(|(id, _)| {
                let zone = view.target(*id).map(|target| &target.zone);
                zone.is_some_and(|zone| {
                    view.vacant_zones.contains(zone) && !old_view.vacant_zones.contains(zone)
                })
            })
            .map(|(id, _)| id)
            .collect();
        now_vacant.sort_unstable();
        for target in now_vacant {
            self.start_collecting(now, target, self.likely_owners(target), false);
        }
    }

    /// Starts to collect the records of `target`.
    pub(super) fn start_collecting(
        &mut self,
        now: Duration,
        target: id::Target,
        mut sources: Vec<Arc<str>>,
        was_synced: bool,
    ) {
        let mut seen = std::collections::HashSet::new();
        let (view, owns) = (self.view.clone(), self.view.owns(target));
        sources.retain(|name| {
            *name != view.me && view.member(name).is_some() && seen.insert(name.clone())
        });
        let state = State {
            since: now,
            claim: owns,
            sources,
            was_synced,
            ..State::default()
        };
        self.homes.insert(target, state);
        self.handovers.reset(target);
        if was_synced {
            self.mark_remote_unknown(now, target);
        }
    }

    /// Marks the running requests of a dead previous owner as unknown.
    fn mark_remote_unknown(&mut self, now: Duration, target: id::Target) {
        let owner_is_live = self.homes.get(&target).is_some_and(|state| {
            state
                .sources
                .iter()
                .any(|name| self.view.member(name).is_some())
        });
        let records = self
            .records
            .values_mut()
            .filter(|record| record.home == target);
        for record in records.filter(|record| !record.local && !owner_is_live) {
            if record.state == key::State::Running {
                record.set(now, key::State::Unknown);
            }
        }
    }

    fn add_sources(&mut self, target: id::Target) {
        let likely = self.likely_owners(target);
        if let Some(state) = self.homes.get_mut(&target) {
            for name in likely {
                if !state.sources.contains(&name) {
                    state.sources.push(name);
                }
            }
        }
    }

    /// Returns the owner and backup that `target` would have without this process.
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
