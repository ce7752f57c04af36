//! Collection of the records of a target from its previous homes.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::key;

use super::{
    Action,
    Ledger,
    WINDOW, //
};

/// Time for which requests wait for the records of a previous home; later ones are answered with
/// `Unknown`.
pub(super) const MAX_COLLECT_TIME: Duration = Duration::from_secs(2);

/// Time after which an unanswered pull is repeated, before and after `MAX_COLLECT_TIME`.
const PULL_INTERVAL: Duration = Duration::from_millis(200);
const SLOW_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered pulls after which the next source is tried.
const MAX_PULLS: u32 = 3;

/// Copies of the final pull, which is repeated because its receipt cannot be confirmed.
const FINAL_PULLS: u32 = 5;

/// Time after which a home that another process claimed is claimed back if this process still owns
/// it.
const RECLAIM_WAIT: Duration = Duration::from_secs(2);

impl Ledger {
    /// Handles a page of records from a previous home.
    pub(super) fn handle_records(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        after: Option<key::Key>,
        (last, complete): (bool, bool),
        records: Vec<key::Record>,
    ) {
        let Some(state) = self.homes.get_mut(&target) else {
            return;
        };
        let source = state.sources.get(state.source_index);
        if state.complete || state.cursor != after || source.is_none_or(|name| **name != *from) {
            return;
        }
        state.cursor = records.last().map(|record| record.key).or(after);
        state.pulls = 0;
        let mut all_stored = true;
        for record in records {
            all_stored &= self.has_room(record.key);
            if all_stored {
                self.merge_report(now, record, from, 0);
            }
        }
        match (last, complete && all_stored) {
            // A record may have been created before the cursor while the source was incomplete, so
            // the collection starts over.
            (_, false) => self.try_next_source(now, target),
            (false, true) => self.pull(now, target),
            (true, true) => {
                if let Some(state) = self.homes.get_mut(&target) {
                    state.final_pulls_left = FINAL_PULLS;
                }
                self.finish_collecting(now, target);
            }
        }
    }

    /// Repeats pulls that are due, and claims homes back.
    pub(super) fn pull_due(&mut self, now: Duration) {
        self.prune(now);
        let targets: Vec<id::Target> = self.homes.keys().copied().collect();
        for target in targets {
            let Some(state) = self.homes.get(&target) else {
                continue;
            };
            let reclaim = state
                .successor
                .clone()
                .filter(|(_, at)| now >= *at + RECLAIM_WAIT);
            if let Some((successor, _)) = reclaim.filter(|_| self.view.owns(target)) {
                self.start_collecting(now, target, vec![successor], false);
            } else if state.successor.is_none() && !state.complete {
                self.retry_pull(now, target);
            } else if state.final_pulls_left > 0 {
                self.send_final_pull(target);
            }
        }
    }

    /// Drops state that no key within the resend window depends on.
    pub(super) fn prune(&mut self, now: Duration) {
        self.previous.retain(|list| now < list.since + WINDOW);
        let (view, previous) = (&self.view, &self.previous);
        self.homes.retain(|target, state| {
            let recent = match state.successor.as_ref() {
                Some((_, at)) => now < *at + WINDOW,
                None => now < state.since + WINDOW || !previous.is_empty(),
            };
            view.owns(*target) || recent
        });
    }

    /// Sends another copy of the pull that tells the source that all records have arrived.
    pub(super) fn send_final_pull(&mut self, target: id::Target) {
        if let Some(state) = self.homes.get_mut(&target) {
            state.final_pulls_left -= 1;
            if let Some(source) = state.sources.get(state.source_index).cloned() {
                self.send_pull(&source, target);
            }
        }
    }

    pub(super) fn retry_pull(&mut self, now: Duration, target: id::Target) {
        let view = self.view.clone();
        let Some(state) = self.homes.get_mut(&target) else {
            return;
        };
        let is_live = |name: &Arc<str>| view.member(name).is_some();
        let late = now >= state.since + MAX_COLLECT_TIME;
        if now >= state.since + WINDOW || (state.was_synced && !state.sources.iter().any(is_live)) {
            return self.finish_collecting(now, target);
        }
        if late {
            self.restart_waiting_tickets(now, target);
        }
        let Some(state) = self.homes.get_mut(&target) else {
            return;
        };
        let wait = if late {
            SLOW_PULL_INTERVAL
        } else {
            PULL_INTERVAL
        };
        if state.pulls > 0 && now < state.pulled_at + wait {
            return;
        }
        if state.pulls >= MAX_PULLS {
            self.try_next_source(now, target);
        } else {
            self.pull(now, target);
        }
    }

    /// Selects the next source; it is pulled from after the pull interval.
    pub(super) fn try_next_source(&mut self, now: Duration, target: id::Target) {
        if let Some(state) = self.homes.get_mut(&target) {
            state.source_index = (state.source_index + 1) % state.sources.len().max(1);
            state.cursor = None;
            state.pulls = 1;
            state.pulled_at = now;
        }
    }

    pub(super) fn pull(&mut self, now: Duration, target: id::Target) {
        let Some(state) = self.homes.get_mut(&target) else {
            return;
        };
        state.pulls += 1;
        state.pulled_at = now;
        if let Some(source) = state.sources.get(state.source_index).cloned() {
            self.send_pull(&source, target);
        }
    }

    pub(super) fn send_pull(&mut self, source: &Arc<str>, target: id::Target) {
        let state = self.homes.get(&target);
        let message = key::Message::Pull {
            home: target,
            after: state.and_then(|state| state.cursor),
            revision: self.view.register.revision,
            claim: self.view.owns(target) && state.is_none_or(|state| state.claim),
        };
        self.send(source, message);
    }

    /// Marks the records of `target` as complete, restarts the requests that wait for them, and
    /// syncs the homes that can be synced to their backups.
    pub(super) fn finish_collecting(&mut self, now: Duration, target: id::Target) {
        if let Some(state) = self.homes.get_mut(&target) {
            state.complete = true;
        }
        self.restart_waiting_tickets(now, target);
        let homes = self.homes.iter();
        let unsynced: Vec<id::Target> = homes
            .filter(|(_, state)| !state.synced)
            .map(|(id, _)| *id)
            .collect();
        for target in unsynced {
            self.sync(now, target);
        }
    }

    pub(super) fn restart_waiting_tickets(&mut self, now: Duration, target: id::Target) {
        let waiting = self.tickets.iter();
        let tickets: Vec<u64> = waiting
            .filter(|(_, ticket)| !ticket.stored && ticket.home == target)
            .map(|(number, _)| *number)
            .collect();
        for ticket in tickets {
            self.end_ticket(now, ticket, Action::Restart(ticket));
        }
    }
}
