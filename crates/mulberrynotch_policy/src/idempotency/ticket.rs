//! Requests that wait until records are collected or stored.

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

/// Time after which a request is refused if the backup has not acknowledged its record.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    pub(super) key: key::Key,
    pub(super) home: id::Target,
    /// True if the request waits for the backup to acknowledge its record, false if it waits for
    /// records of a previous home.
    pub(super) stored: bool,
}

impl Ledger {
    /// Refuses requests whose record was not acknowledged within `ACK_TIMEOUT`.
    pub(super) fn refuse_overdue(&mut self, now: Duration) {
        for ticket in self.outgoing.expire_tickets(now, ACK_TIMEOUT) {
            self.end_ticket(now, ticket, Action::Refuse(ticket));
        }
    }

    /// Creates the record of a request, and sends it to the backup if there is one.
    pub(super) fn store(
        &mut self,
        now: Duration,
        home: id::Target,
        key: key::Key,
        request: u64,
    ) -> Begin {
        let record = record::Record::new(now, home, request);
        let report = record.to_message(now, key);
        self.records.insert(key, record);
        let ticket = self.new_ticket(key, home, true);
        match self.view.assignment.backup(home).cloned() {
            Some(backup) => {
                let on_ack = outgoing::OnAck::Ready(ticket);
                self.send_put(now, &backup, on_ack, vec![report]);
            }
            None => self.ready(now, ticket),
        }
        Begin::Pending(ticket)
    }

    pub(super) fn new_ticket(&mut self, key: key::Key, home: id::Target, stored: bool) -> u64 {
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
        if valid && self.view.owns(waiting.home) && self.successor_of(waiting.home).is_none() {
            self.tickets.remove(&ticket);
            self.actions.push_back(Action::Ready(ticket));
        } else {
            self.end_ticket(now, ticket, Action::Restart(ticket));
        }
    }

    /// Ends a ticket whose request was not sent; its record, if stored, becomes "not run".
    pub(super) fn end_ticket(&mut self, now: Duration, ticket: u64, action: Action) {
        let Some(waiting) = self.tickets.remove(&ticket) else {
            return;
        };
        if waiting.stored {
            self.outgoing.remove(
                |sent| matches!(sent.on_ack, outgoing::OnAck::Ready(other) if other == ticket),
            );
            self.finish(now, waiting.key, key::State::NotRun);
        }
        self.actions.push_back(action);
    }

    /// Sends the state of a record to its backup, its home and the peers that pulled it.
    pub(super) fn replicate(&mut self, now: Duration, key: key::Key) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let report = record.to_message(now, key);
        let targets = [record.home, record.origin];
        let backup = self.view.assignment.backup(record.home).cloned();
        let mut peers: HashSet<Arc<str>> = self.handovers.receivers(&targets);
        peers.extend(backup.filter(|_| self.view.owns(record.home)));
        peers.extend(self.view.assignment.owner(record.home).cloned());
        peers.remove(&self.view.me);
        for peer in peers {
            self.send_put(now, &peer, outgoing::OnAck::Nothing, vec![report]);
        }
    }

    pub(super) fn send_put(
        &mut self,
        now: Duration,
        to: &Arc<str>,
        on_ack: outgoing::OnAck,
        records: Vec<key::Record>,
    ) {
        let fresh = matches!(on_ack, outgoing::OnAck::Ready(_));
        let build = |sequence| key::Message::Put {
            sequence,
            fresh,
            records,
        };
        let message = self.outgoing.add(now, to, on_ack, build);
        self.send(to, message);
    }

    pub(super) fn send(&mut self, to: &Arc<str>, message: key::Message) {
        let to = to.clone();
        self.actions.push_back(Action::Send { to, message });
    }
}
