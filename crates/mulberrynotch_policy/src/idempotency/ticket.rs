//! Requests that wait until their record is stored.

use std::{
    collections::HashSet,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::key;

use super::{
    Action,
    Begin,
    Ledger,
    outgoing,
    record, //
};

/// A request whose record the backup has not acknowledged for this long does not run.
const ACK_TIME: Duration = Duration::from_secs(1);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    pub(super) key: key::Key,
    pub(super) home: id::Target,
    /// True when its record waits for the backup, false when it waits for a predecessor's records.
    pub(super) stored: bool,
}

impl Ledger {
    /// Refuses requests whose record the backup did not acknowledge in time.
    pub(super) fn refuse_late(&mut self, now: Duration) {
        for ticket in self.outgoing.late_tickets(now, ACK_TIME) {
            self.abandon(now, ticket, Action::Refuse(ticket));
        }
    }

    /// Makes the record and has the backup acknowledge it.
    pub(super) fn store(
        &mut self,
        now: Duration,
        home: id::Target,
        key: key::Key,
        request: u64,
    ) -> Begin {
        let record = record::Record::new(now, home, request);
        let report = record.message(now, key);
        self.records.insert(key, record);
        let ticket = self.ticket(key, home, true);
        match self.view.assignment.backup(home).cloned() {
            Some(backup) => {
                let then = outgoing::Then::Ready(ticket);
                self.put(now, &backup, then, vec![report]);
            }
            None => self.ready(now, ticket),
        }
        Begin::Pending(ticket)
    }

    pub(super) fn ticket(&mut self, key: key::Key, home: id::Target, stored: bool) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, Ticket { key, home, stored });
        ticket
    }

    pub(super) fn ready(&mut self, now: Duration, ticket: u64) {
        let Some(waiting) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let record = self.records.get(&waiting.key);
        let valid = record.is_some_and(|record| record.local);
        if valid && self.view.owns(waiting.home) && self.ceded_to(waiting.home).is_none() {
            self.tickets.remove(&ticket);
            self.actions.push_back(Action::Ready(ticket));
        } else {
            self.abandon(now, ticket, Action::Restart(ticket));
        }
    }

    /// Ends a ticket whose request was not sent.
    pub(super) fn abandon(&mut self, now: Duration, ticket: u64, action: Action) {
        let Some(waiting) = self.tickets.remove(&ticket) else {
            return;
        };
        if waiting.stored {
            self.outgoing
                .remove(|sent| matches!(sent.then, outgoing::Then::Ready(of) if of == ticket));
            self.finish(now, waiting.key, key::State::NotRun);
        }
        self.actions.push_back(action);
    }

    /// Sends the state of a record to the backup and to a new home.
    pub(super) fn report(&mut self, now: Duration, key: key::Key) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let report = record.message(now, key);
        let targets = [record.home, record.origin];
        let backup = self.view.assignment.backup(record.home).cloned();
        let mut peers: HashSet<Arc<str>> = self.handovers.followers(&targets);
        peers.extend(backup.filter(|_| self.view.owns(record.home)));
        peers.extend(self.view.assignment.owner(record.home).cloned());
        peers.remove(&self.view.me);
        for peer in peers {
            self.put(now, &peer, outgoing::Then::Nothing, vec![report]);
        }
    }

    pub(super) fn put(
        &mut self,
        now: Duration,
        to: &Arc<str>,
        then: outgoing::Then,
        records: Vec<key::Record>,
    ) {
        let fresh = matches!(then, outgoing::Then::Ready(_));
        let build = |sequence| key::Message::Put {
            sequence,
            fresh,
            records,
        };
        let message = self.outgoing.add(now, to, then, build);
        self.send(to, message);
    }

    pub(super) fn send(&mut self, to: &Arc<str>, message: key::Message) {
        let to = to.clone();
        self.actions.push_back(Action::Send { to, message });
    }
}
