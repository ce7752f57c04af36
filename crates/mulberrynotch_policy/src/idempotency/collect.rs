//! Collection of the records of a target from its predecessors.

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

/// Requests wait for a predecessor's records this long; later ones are answered `Unknown`.
pub(super) const COLLECT_TIME: Duration = Duration::from_secs(2);

/// Time after which an unanswered pull is repeated, at first and after `COLLECT_TIME`.
const PULL_TIME: Duration = Duration::from_millis(200);
const SLOW_PULL_TIME: Duration = Duration::from_secs(1);

/// Unanswered pulls after which the next source is asked.
const MAX_PULLS: u32 = 3;

/// Copies of the last pull, which is not answered by anything that could be waited for.
const CLOSING_PULLS: u32 = 5;

/// A home that another process claimed is claimed back after this long if the view stays.
const RECLAIM_TIME: Duration = Duration::from_secs(2);

impl Ledger {
    /// Handles records that a predecessor sent.
    pub(super) fn collect(
        &mut self,
        now: Duration,
        from: &str,
        target: id::Target,
        after: Option<key::Key>,
        (last, complete): (bool, bool),
        records: Vec<key::Record>,
    ) {
        let Some(custody) = self.custody.get_mut(&target) else {
            return;
        };
        let asked = custody.sources.get(custody.next);
        if custody.whole || custody.after != after || asked.is_none_or(|name| **name != *from) {
            return;
        }
        custody.after = records.last().map(|record| record.key).or(after);
        custody.pulls = 0;
        let mut stored = true;
        for record in records {
            stored &= self.has_room(record.key);
            if stored {
                self.merge_report(now, record, from, 0);
            }
        }
        match (last, complete && stored) {
            // A record may have been made behind a part that was not complete.
            (_, false) => self.ask_next(now, target),
            (false, true) => self.pull(now, target),
            (true, true) => {
                if let Some(custody) = self.custody.get_mut(&target) {
                    custody.closing = CLOSING_PULLS;
                }
                self.complete(now, target);
            }
        }
    }

    /// Asks for records that have not arrived.
    pub(super) fn pull_due(&mut self, now: Duration) {
        self.prune(now);
        let targets: Vec<id::Target> = self.custody.keys().copied().collect();
        for target in targets {
            let Some(custody) = self.custody.get(&target) else {
                continue;
            };
            let reclaim = custody
                .successor
                .clone()
                .filter(|(_, at)| now >= *at + RECLAIM_TIME);
            if let Some((successor, _)) = reclaim.filter(|_| self.view.owns(target)) {
                self.acquire(now, target, vec![successor], false);
            } else if custody.successor.is_none() && !custody.whole {
                self.pull_again(now, target);
            } else if custody.closing > 0 {
                self.close(target);
            }
        }
    }

    /// Drops what no key can depend on any more.
    pub(super) fn prune(&mut self, now: Duration) {
        self.formers.retain(|former| now < former.since + WINDOW);
        let (view, formers) = (&self.view, &self.formers);
        self.custody.retain(|target, custody| {
            let recent = match custody.successor.as_ref() {
                Some((_, at)) => now < *at + WINDOW,
                None => now < custody.since + WINDOW || !formers.is_empty(),
            };
            view.owns(*target) || recent
        });
    }

    /// Tells the source once more that all records have arrived.
    pub(super) fn close(&mut self, target: id::Target) {
        if let Some(custody) = self.custody.get_mut(&target) {
            custody.closing -= 1;
            if let Some(source) = custody.sources.get(custody.next).cloned() {
                self.pull_from(&source, target);
            }
        }
    }

    pub(super) fn pull_again(&mut self, now: Duration, target: id::Target) {
        let view = self.view.clone();
        let Some(custody) = self.custody.get_mut(&target) else {
            return;
        };
        let source_lives = |name: &Arc<str>| view.member(name).is_some();
        let late = now >= custody.since + COLLECT_TIME;
        if now >= custody.since + WINDOW
            || (custody.vouched && !custody.sources.iter().any(source_lives))
        {
            return self.complete(now, target);
        }
        if late {
            self.release_tickets(now, target);
        }
        let Some(custody) = self.custody.get_mut(&target) else {
            return;
        };
        let wait = if late { SLOW_PULL_TIME } else { PULL_TIME };
        if custody.pulls > 0 && now < custody.asked_at + wait {
            return;
        }
        if custody.pulls >= MAX_PULLS {
            self.ask_next(now, target);
        } else {
            self.pull(now, target);
        }
    }

    /// Turns to the next source; it is asked when the pull time has passed.
    pub(super) fn ask_next(&mut self, now: Duration, target: id::Target) {
        if let Some(custody) = self.custody.get_mut(&target) {
            custody.next = (custody.next + 1) % custody.sources.len().max(1);
            custody.after = None;
            custody.pulls = 1;
            custody.asked_at = now;
        }
    }

    pub(super) fn pull(&mut self, now: Duration, target: id::Target) {
        let Some(custody) = self.custody.get_mut(&target) else {
            return;
        };
        custody.pulls += 1;
        custody.asked_at = now;
        if let Some(source) = custody.sources.get(custody.next).cloned() {
            self.pull_from(&source, target);
        }
    }

    pub(super) fn pull_from(&mut self, source: &Arc<str>, target: id::Target) {
        let custody = self.custody.get(&target);
        let message = key::Message::Pull {
            home: target,
            after: custody.and_then(|custody| custody.after),
            revision: self.view.register.revision,
            claim: self.view.owns(target) && custody.is_none_or(|custody| custody.claim),
        };
        self.send(source, message);
    }

    /// Notes that all records of `target` are known.
    pub(super) fn complete(&mut self, now: Duration, target: id::Target) {
        if let Some(custody) = self.custody.get_mut(&target) {
            custody.whole = true;
        }
        self.release_tickets(now, target);
        let known = self.custody.iter();
        let unsynced: Vec<id::Target> = known
            .filter(|(_, custody)| !custody.synced)
            .map(|(id, _)| *id)
            .collect();
        for target in unsynced {
            self.sync(now, target);
        }
    }

    pub(super) fn release_tickets(&mut self, now: Duration, target: id::Target) {
        let waiting = self.tickets.iter();
        let tickets: Vec<u64> = waiting
            .filter(|(_, ticket)| !ticket.stored && ticket.home == target)
            .map(|(number, _)| *number)
            .collect();
        for ticket in tickets {
            self.abandon(now, ticket, Action::Restart(ticket));
        }
    }
}
