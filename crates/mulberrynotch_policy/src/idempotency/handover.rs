//! Records that go to a backup or to a new home.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::key;

use super::{
    Action,
    Ledger,
    custody,
    outgoing::Then,
    record, //
};

/// Records in one message, so that it fits a datagram.
const RECORDS_PER_MESSAGE: usize = 20;

/// Peers that took records over.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    followers: HashMap<id::Target, HashSet<Arc<str>>>,
    delivered: HashSet<id::Target>,
}

impl Handovers {
    /// Peers that took records of one of `targets`.
    pub(super) fn followers(&self, targets: &[id::Target]) -> HashSet<Arc<str>> {
        (targets.iter())
            .filter_map(|target| self.followers.get(target))
            .flatten()
            .cloned()
            .collect()
    }

    /// Forgets who took records of `target`, which is the process's own again.
    pub(super) fn reset(&mut self, target: id::Target) {
        self.followers.remove(&target);
        self.delivered.remove(&target);
    }

    pub(super) fn is_delivered(&self, target: id::Target) -> bool {
        self.delivered.contains(&target)
    }
}

impl Ledger {
    /// Answers a `Pull`, and stops taking keys of `target` if the sender claims it.
    pub(super) fn hand_over(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        after: Option<key::Key>,
        (revision, claim): (u64, bool),
    ) {
        let from: Arc<str> = from.into();
        if claim {
            self.cede(now, target, &from);
        }
        let mut rest = self.keys_of(target);
        rest.retain(|key| Some(*key) > after);
        // A home that takes no more keys and has none has nothing to deliver either; records that it
        // holds later as a backup are those of the new home.
        let is_over = after.is_some() || self.ceded_to(target).is_some();
        if is_over && rest.is_empty() {
            self.handovers.delivered.insert(target);
        }
        let followers = self.handovers.followers.entry(target).or_default();
        followers.insert(from.clone());
        let part = &rest[..rest.len().min(RECORDS_PER_MESSAGE)];
        let direct = self.ceded_to(target).is_none_or(|name| name == from);
        let current = revision <= self.view.register.revision;
        let message = key::Message::Records {
            home: target,
            after,
            last: part.len() == rest.len(),
            complete: direct && current && self.is_complete(now, target, claim),
            records: self.reports(now, part),
        };
        self.send(&from, message);
    }

    /// Handles records of a home whose backup the process is, or of a predecessor.
    pub(super) fn take(
        &mut self,
        now: Duration,
        from: &str,
        (sequence, fresh): (u32, bool),
        records: Vec<key::Record>,
    ) {
        let mut stored = true;
        for report in records {
            let pair = self.view.assignment.owner(report.home);
            let is_owner = pair.is_some_and(|owner| **owner == *from);
            let backup = self.view.assignment.backup(report.home);
            let agreed = is_owner && backup == Some(&self.view.me);
            // An acknowledgement of a fresh record lets the sender run the request. A process
            // that sees another owner, or itself, withholds it, and so does one that knows of a
            // run of the key through another process.
            if !self.has_room(report.key) {
                stored = false;
            } else if report.state == key::State::Running && !agreed {
                stored = false;
                self.contest(from, report.home);
            } else {
                // Other records that do not prevail over what is known here need no copy.
                let agrees = self.merge_report(now, report, from, sequence);
                stored &= agrees || !fresh;
            }
        }
        if stored {
            self.send(&from.into(), key::Message::PutAck { sequence });
        }
    }

    pub(super) fn acknowledged(&mut self, now: Duration, from: &str, sequence: u32) {
        match self.outgoing.acknowledge(from, sequence) {
            Some(Then::Ready(ticket)) => self.ready(now, ticket),
            Some(Then::Sync(target, rest)) => self.sync_rest(now, &from.into(), target, rest),
            Some(Then::Nothing | Then::Vouch(_)) | None => {}
        }
    }

    /// Notes that the process holds all records of `home`.
    pub(super) fn vouch(&mut self, from: &str, sequence: u32, home: id::Target, revision: u64) {
        let assignment = &self.view.assignment;
        let owner = assignment.owner(home).filter(|owner| ***owner == *from);
        let is_backup = assignment.backup(home) == Some(&self.view.me);
        let current = revision >= self.view.register.revision;
        if let Some(owner) = owner.filter(|_| is_backup && current) {
            self.vouched.insert(home, (owner.clone(), revision));
            self.send(&from.into(), key::Message::PutAck { sequence });
        }
    }

    /// True when a record of `key` can be held.
    pub(super) fn has_room(&self, key: key::Key) -> bool {
        self.records.len() < self.max_records || self.records.contains_key(&key)
    }

    pub(super) fn merge_report(
        &mut self,
        now: Duration,
        mut report: key::Record,
        from: &str,
        sequence: u32,
    ) -> bool {
        let known = self.records.contains_key(&report.key);
        let origin = report.home;
        if let Some(entry) = self.view.locate(report.home) {
            let first =
                crate::preference::first(&self.view, entry.service, super::hash(report.key));
            report.home = first.unwrap_or(report.home);
        }
        let merged = record::merge(&mut self.records, now, report, from, sequence);
        if let Some(record) = self.records.get_mut(&report.key).filter(|_| !known) {
            record.origin = origin;
        }
        merged
    }

    /// Sends all records of an owned target to its backup.
    pub(super) fn sync(&mut self, now: Duration, target: id::Target) {
        let backup = self.view.assignment.backup(target).cloned();
        let whole = self.is_complete(now, target, true);
        if let Some(backup) = backup.filter(|_| whole && self.view.owns(target)) {
            if let Some(custody) = self.custody.get_mut(&target) {
                custody.synced = true;
            }

            self.outgoing
                .remove(|sent| sent.then.synced() == Some(target));
            let keys = self.keys_of(target);
            self.sync_rest(now, &backup, target, keys);
        }
    }

    /// Follows changes of backups: waiting requests turn to the new one.
    pub(super) fn follow_backups(&mut self, now: Duration) {
        let view = self.view.clone();
        self.outgoing.remove(|sent| {
            let target = sent.then.synced();
            let stale = target.is_some_and(|target| {
                !view.owns(target) || view.assignment.backup(target) != Some(&sent.to)
            });
            stale || (view.member(&sent.to).is_none() && !is_ticket(&sent.then))
        });
        let moved = self
            .outgoing
            .remove(|sent| match (&sent.then, &sent.message) {
                (Then::Ready(_), key::Message::Put { records, .. }) => {
                    let home = records.first().map(|record| record.home);
                    home.and_then(|home| view.assignment.backup(home)) != Some(&sent.to)
                }
                _ => false,
            });
        for then in moved {
            if let Then::Ready(ticket) = then {
                self.store_again(now, ticket);
            }
        }
        let changed = self.unsynced();
        for target in changed {
            self.sync(now, target);
        }
    }

    /// Ends the tickets of a target that another process owns.
    pub(super) fn release_stored(&mut self, now: Duration, target: id::Target) {
        let tickets: Vec<u64> = (self.tickets.iter())
            .filter(|(_, ticket)| ticket.home == target)
            .map(|(number, _)| *number)
            .collect();
        for ticket in tickets {
            self.abandon(now, ticket, Action::Restart(ticket));
        }
    }

    fn store_again(&mut self, now: Duration, ticket: u64) {
        let Some(waiting) = self.tickets.get(&ticket).copied() else {
            return;
        };
        match self.view.assignment.backup(waiting.home).cloned() {
            Some(backup) => {
                let reports = self.reports(now, &[waiting.key]);
                self.put(now, &backup, Then::Ready(ticket), reports);
            }
            // The process is alone in its zone; whether it is cut off, `begin` decides.
            None => self.abandon(now, ticket, Action::Restart(ticket)),
        }
    }

    /// Owned targets whose backup does not hold their records yet.
    fn unsynced(&mut self) -> Vec<id::Target> {
        let view = &self.view;
        let mut changed = Vec::new();
        for (target, custody) in &mut self.custody {
            let backup = view
                .assignment
                .backup(*target)
                .filter(|_| view.owns(*target));
            if custody.synced_to.as_ref() != backup {
                custody.synced_to = backup.cloned();
                custody.synced = false;
            }
            if !custody.synced && backup.is_some() {
                changed.push(*target);
            }
        }
        changed
    }

    fn sync_rest(
        &mut self,
        now: Duration,
        backup: &Arc<str>,
        target: id::Target,
        mut keys: Vec<key::Key>,
    ) {
        if self.view.assignment.backup(target) != Some(backup) || !self.view.owns(target) {
            return;
        }
        if keys.is_empty() {
            let revision = self.view.register.revision;
            let build = |sequence| key::Message::Synced {
                sequence,
                home: target,
                revision,
            };
            let message = self.outgoing.add(now, backup, Then::Vouch(target), build);
            return self.send(backup, message);
        }
        let rest = keys.split_off(keys.len().min(RECORDS_PER_MESSAGE));
        let reports = self.reports(now, &keys);
        self.put(now, backup, Then::Sync(target, rest), reports);
    }

    fn cede(&mut self, now: Duration, target: id::Target, to: &Arc<str>) {
        if !self.view.owns(target) {
            return;
        }
        let partial = || custody::Custody::partial(now);
        let custody = self.custody.entry(target).or_insert_with(partial);
        if custody.successor.is_none() {
            custody.successor = Some((to.clone(), now));
            self.release_stored(now, target);
        }
    }

    /// Tells a process that takes keys of a target of ours that we own it.
    fn contest(&mut self, from: &str, target: id::Target) {
        if self.view.owns(target) && self.ceded_to(target).is_none() {
            let message = key::Message::Pull {
                home: target,
                after: None,
                revision: self.view.register.revision,
                claim: true,
            };
            self.send(&from.into(), message);
        }
    }

    fn keys_of(&self, target: id::Target) -> Vec<key::Key> {
        let mut keys: Vec<key::Key> = (self.records.iter())
            .filter(|(_, record)| record.home == target || record.origin == target)
            .map(|(key, _)| *key)
            .collect();
        keys.sort_unstable();
        keys
    }

    fn reports(&self, now: Duration, keys: &[key::Key]) -> Vec<key::Record> {
        let record = |key: &key::Key| Some(self.records.get(key)?.message(now, *key));
        keys.iter().filter_map(record).collect()
    }
}

fn is_ticket(then: &Then) -> bool {
    matches!(then, Then::Ready(_))
}
