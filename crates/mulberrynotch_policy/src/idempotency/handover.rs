//! Transfer of records to a backup or to a new home.

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
    home,
    outgoing::OnAck,
    record, //
};

/// Maximum number of records in one message; with them it fits a datagram.
const MAX_RECORDS_PER_MESSAGE: usize = 20;

/// Peers that pulled records, and targets whose handover is complete.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    receivers: HashMap<id::Target, HashSet<Arc<str>>>,
    delivered: HashSet<id::Target>,
}

impl Handovers {
    /// Returns the peers that pulled records of one of `targets`.
    pub(super) fn receivers(&self, targets: &[id::Target]) -> HashSet<Arc<str>> {
        (targets.iter())
            .filter_map(|target| self.receivers.get(target))
            .flatten()
            .cloned()
            .collect()
    }

    /// Discards the state of `target` when this process becomes its home again.
    pub(super) fn reset(&mut self, target: id::Target) {
        self.receivers.remove(&target);
        self.delivered.remove(&target);
    }

    pub(super) fn is_delivered(&self, target: id::Target) -> bool {
        self.delivered.contains(&target)
    }
}

impl Ledger {
    /// Answers a `Pull`, and stops accepting keys of `target` if the sender claims it.
    pub(super) fn handle_pull(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        after: Option<key::Key>,
        (revision, claim): (u64, bool),
    ) {
        let from: Arc<str> = from.into();
        if claim {
            self.accept_claim(now, target, &from);
        }
        let mut rest = self.keys_of(target);
        rest.retain(|key| Some(*key) > after);
        // A home that was handed over without records has nothing to deliver. Records that this
        // process holds for it later, as a backup, belong to the new home.
        let is_over = after.is_some() || self.successor_of(target).is_some();
        if is_over && rest.is_empty() {
            self.handovers.delivered.insert(target);
        }
        let receivers = self.handovers.receivers.entry(target).or_default();
        receivers.insert(from.clone());
        let part = &rest[..rest.len().min(MAX_RECORDS_PER_MESSAGE)];
        let direct = self.successor_of(target).is_none_or(|name| name == from);
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

    /// Handles records from a home that this process is the backup of, or from a previous home.
    pub(super) fn handle_put(
        &mut self,
        now: Duration,
        from: &str,
        (sequence, fresh): (u32, bool),
        records: Vec<key::Record>,
    ) {
        let mut stored = true;
        for report in records {
            let owner = self.view.assignment.owner(report.home);
            let is_owner = owner.is_some_and(|owner| **owner == *from);
            let backup = self.view.assignment.backup(report.home);
            let roles_agree = is_owner && backup == Some(&self.view.me);
            // The acknowledgement of a new record allows the sender to run the request. It is
            // withheld by a process that considers another process or itself the owner, and by one
            // that knows of a run of the key through another process.
            if !self.has_room(report.key) {
                stored = false;
            } else if report.state == key::State::Running && !roles_agree {
                stored = false;
                self.claim_back(from, report.home);
            } else {
                // Other records may be acknowledged without being stored if the existing record
                // prevails.
                let merged = self.merge_report(now, report, from, sequence);
                stored &= merged || !fresh;
            }
        }
        if stored {
            self.send(&from.into(), key::Message::PutAck { sequence });
        }
    }

    pub(super) fn handle_ack(&mut self, now: Duration, from: &str, sequence: u32) {
        match self.outgoing.acknowledge(from, sequence) {
            Some(OnAck::Ready(ticket)) => self.ready(now, ticket),
            Some(OnAck::Sync(target, rest)) => self.sync_rest(now, &from.into(), target, rest),
            Some(OnAck::Nothing | OnAck::SyncDone(_)) | None => {}
        }
    }

    /// Handles the report of an owner that this process as its backup has all records of `home`.
    pub(super) fn handle_synced(
        &mut self,
        from: &str,
        sequence: u32,
        home: id::Target,
        revision: u64,
    ) {
        let assignment = &self.view.assignment;
        let owner = assignment.owner(home).filter(|owner| ***owner == *from);
        let is_backup = assignment.backup(home) == Some(&self.view.me);
        let current = revision >= self.view.register.revision;
        if let Some(owner) = owner.filter(|_| is_backup && current) {
            self.synced_owners.insert(home, (owner.clone(), revision));
            self.send(&from.into(), key::Message::PutAck { sequence });
        }
    }

    /// Returns true if there is room for a record of `key`.
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
        let complete = self.is_complete(now, target, true);
        if let Some(backup) = backup.filter(|_| complete && self.view.owns(target)) {
            if let Some(state) = self.homes.get_mut(&target) {
                state.synced = true;
            }
            self.outgoing
                .remove(|sent| sent.on_ack.sync_target() == Some(target));
            let keys = self.keys_of(target);
            self.sync_rest(now, &backup, target, keys);
        }
    }

    /// Follows changes of backups: resends the records of waiting requests to the new backup, and
    /// syncs targets to it.
    pub(super) fn apply_backups(&mut self, now: Duration) {
        let view = self.view.clone();
        self.outgoing.remove(|sent| {
            let target = sent.on_ack.sync_target();
            let stale = target.is_some_and(|target| {
                !view.owns(target) || view.assignment.backup(target) != Some(&sent.to)
            });
            stale || (view.member(&sent.to).is_none() && !is_ticket(&sent.on_ack))
        });
        let moved = self
            .outgoing
            .remove(|sent| match (&sent.on_ack, &sent.message) {
                (OnAck::Ready(_), key::Message::Put { records, .. }) => {
                    let home = records.first().map(|record| record.home);
                    home.and_then(|home| view.assignment.backup(home)) != Some(&sent.to)
                }
                _ => false,
            });
        for on_ack in moved {
            if let OnAck::Ready(ticket) = on_ack {
                self.store_at_new_backup(now, ticket);
            }
        }
        let changed = self.unsynced();
        for target in changed {
            self.sync(now, target);
        }
    }

    /// Restarts the waiting requests of a target that another process owns now.
    pub(super) fn restart_tickets(&mut self, now: Duration, target: id::Target) {
        let tickets: Vec<u64> = (self.tickets.iter())
            .filter(|(_, ticket)| ticket.home == target)
            .map(|(number, _)| *number)
            .collect();
        for ticket in tickets {
            self.end_ticket(now, ticket, Action::Restart(ticket));
        }
    }

    fn store_at_new_backup(&mut self, now: Duration, ticket: u64) {
        let Some(waiting) = self.tickets.get(&ticket).copied() else {
            return;
        };
        match self.view.assignment.backup(waiting.home).cloned() {
            Some(backup) => {
                let reports = self.reports(now, &[waiting.key]);
                self.send_put(now, &backup, OnAck::Ready(ticket), reports);
            }
            // This process is alone in its zone; `begin` checks whether it may be cut off.
            None => self.end_ticket(now, ticket, Action::Restart(ticket)),
        }
    }

    /// Returns the owned targets whose backup does not have all records yet.
    fn unsynced(&mut self) -> Vec<id::Target> {
        let view = &self.view;
        let mut changed = Vec::new();
        for (target, state) in &mut self.homes {
            let backup = view
                .assignment
                .backup(*target)
                .filter(|_| view.owns(*target));
            if state.synced_to.as_ref() != backup {
                state.synced_to = backup.cloned();
                state.synced = false;
            }
            if !state.synced && backup.is_some() {
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
            let message = self
                .outgoing
                .add(now, backup, OnAck::SyncDone(target), build);
            return self.send(backup, message);
        }
        let rest = keys.split_off(keys.len().min(MAX_RECORDS_PER_MESSAGE));
        let reports = self.reports(now, &keys);
        self.send_put(now, backup, OnAck::Sync(target, rest), reports);
    }

    fn accept_claim(&mut self, now: Duration, target: id::Target, to: &Arc<str>) {
        if !self.view.owns(target) {
            return;
        }
        let incomplete = || home::State::incomplete(now);
        let state = self.homes.entry(target).or_insert_with(incomplete);
        if state.successor.is_none() {
            state.successor = Some((to.clone(), now));
            self.restart_tickets(now, target);
        }
    }

    /// Sends a claim to a process that accepts keys of a target that this process owns.
    fn claim_back(&mut self, from: &str, target: id::Target) {
        if self.view.owns(target) && self.successor_of(target).is_none() {
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
        let record = |key: &key::Key| Some(self.records.get(key)?.to_message(now, *key));
        keys.iter().filter_map(record).collect()
    }
}

fn is_ticket(on_ack: &OnAck) -> bool {
    matches!(on_ack, OnAck::Ready(_))
}
