//! Calls to the store and their results.

use std::time::Duration;

use super::{
    Action,
    Event,
    Machine, //
};
use crate::{
    catalog,
    reader,
    record,
    revision, //
};

impl Machine {
    pub(super) fn call_store(&mut self, now: Duration) {
        if self.leaving {
            return;
        }
        let heard_at = *self.reader_at.get_or_insert(now);
        let zone = reader::Zone {
            rank: self.fleet.rank(now),
            reader_age: now.saturating_sub(heard_at),
            relay_delay: self.fleet.relay_delay(),
        };
        if let Some(call) = self.reader.next(now, zone, self.catalog.as_of()) {
            self.actions.push(Action::Call(call));
        }
        if let Some(ping) = self.reader.ping(now) {
            self.actions.push(Action::Call(ping));
        }
        self.check_reader(now, zone);
    }

    /// Notices when this process begins or ceases to answer for its zone. After a takeover it tells its
    /// peers at once, so that no further one takes over.
    fn check_reader(&mut self, now: Duration, zone: reader::Zone) {
        let is_reader = self.reader.is_healthy(now);
        if std::mem::replace(&mut self.is_reader, is_reader) == is_reader {
            return;
        }
        self.log(Event::Reader {
            reads: is_reader,
            rank: zone.rank,
            reader_age: zone.reader_age,
        });
        if is_reader && zone.rank > 0 {
            self.heartbeat_at = now;
        }
    }

    /// Handles the result of a call to the store; `None` for a failed call.
    pub fn call_ended(
        &mut self,
        now: Duration,
        call: reader::Call,
        answer: Option<reader::Answer>,
    ) {
        match (call, answer) {
            (reader::Call::Ping, answer) => self.reader.ping_ended(now, answer.is_some()),
            (_, Some(reader::Answer::Listed { as_of, records })) => {
                self.listed(now, as_of, records);
            }
            (_, Some(reader::Answer::TooMany)) => self.list_too_long(now),
            (reader::Call::Watch { after, .. }, Some(answer)) => {
                self.watch_ended(now, after, answer);
            }
            _ => self.call_failed(now),
        }
    }

    /// Handles a complete read of the store as of revision `as_of`.
    pub fn listed(
        &mut self,
        now: Duration,
        as_of: revision::Revision,
        records: Vec<record::Record>,
    ) {
        let before = self.catalog.as_of();
        if as_of.era < before.era {
            return self.history_lost(now, as_of.era);
        }
        let is_reader = self.reader.is_recovering();
        let ended = self.end_call(now, reader::Outcome::Answered { changed: true });
        self.log(Event::Listed {
            before,
            as_of,
            records: records.len(),
        });
        let base = self.catalog.configuration().clone();
        let changes = self.catalog.replace(now, as_of, records);
        self.removals_known_since.get_or_insert(now);
        self.handle_catalog_changes(now, changes.clone());
        if is_reader {
            self.push_listed(now, before, &base, &changes);
        }
        // A stale read does not confirm that the register is current.
        if let Some((reader::Call::List { stale: false, .. }, started)) = ended {
            self.confirm(started);
        }
    }

    /// Handles the changes that a watch returned.
    pub fn watched(
        &mut self,
        now: Duration,
        after: revision::Revision,
        as_of: revision::Revision,
        records: Vec<record::Record>,
    ) {
        let changed = !records.is_empty();
        self.end_call(now, reader::Outcome::Answered { changed });
        let base = self.catalog.configuration().clone();
        let changes = self
            .catalog
            .apply_changes(now, after, as_of, records.clone());
        self.handle_catalog_changes(now, changes);
        self.confirm(now);
        if changed {
            let patch = self.patch(&base, &records);
            self.push_changes(now, after, as_of, patch, records);
        }
    }

    /// Handles the answer to a watch from `after`. Changes of another era do not follow on it.
    fn watch_ended(&mut self, now: Duration, after: revision::Revision, answer: reader::Answer) {
        match answer {
            reader::Answer::Changed { as_of, records } if as_of.era == after.era => {
                self.watched(now, after, as_of, records);
            }
            reader::Answer::Changed { as_of, .. } => {
                self.watch_interrupted(now, after, as_of.era);
            }
            reader::Answer::HistoryLost { era } => self.watch_interrupted(now, after, era),
            reader::Answer::TooLong => self.changes_too_long(now),
            reader::Answer::Listed { .. } | reader::Answer::TooMany | reader::Answer::Pong => {
                self.call_failed(now);
            }
        }
    }

    /// Handles a watch from `after` that the store, in `era`, cannot continue.
    fn watch_interrupted(&mut self, now: Duration, after: revision::Revision, era: u64) {
        if after.era < era && era == self.catalog.as_of().era {
            // A peer was quicker to supply the changes of the new era.
            self.end_call(now, reader::Outcome::Answered { changed: false });
        } else {
            self.history_lost(now, era);
        }
    }

    /// Handles a watch whose history the store no longer has.
    pub fn history_lost(&mut self, now: Duration, era: u64) {
        self.end_call(now, reader::Outcome::HistoryLost);
        let as_of = self.catalog.as_of();
        self.log(Event::HistoryLost { as_of, era });
    }

    /// Handles a watch whose changes are too long for one answer: they are skipped with a complete
    /// read.
    fn changes_too_long(&mut self, now: Duration) {
        self.end_call(now, reader::Outcome::HistoryLost);
        let as_of = self.catalog.as_of();
        self.log(Event::ChangesTooLong { as_of });
    }

    /// Handles a short read that was aborted because the store holds more than
    /// [`reader::SHORT_LIST`] records.
    pub fn list_too_long(&mut self, now: Duration) {
        let seed = self.next_random();
        self.reader.postpone(now, seed);
    }

    /// Handles a failed call to the store.
    pub fn call_failed(&mut self, now: Duration) {
        let was_failing = self.reader.is_failing();
        self.end_call(now, reader::Outcome::Failed);
        if !was_failing {
            let age = self.age(now);
            self.log(Event::StoreLost { age });
        }
    }

    pub(super) fn end_call(
        &mut self,
        now: Duration,
        outcome: reader::Outcome,
    ) -> Option<(reader::Call, Duration)> {
        let was_failing = self.reader.is_failing();
        let ended = self.reader.call_ended(now, outcome);
        if was_failing && !self.reader.is_failing() {
            self.log(Event::StoreRegained);
        }
        ended
    }

    pub(super) fn confirm(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        if self.resumed_at.is_some_and(|resumed| at >= resumed) {
            self.resumed_at = None;
            self.log(Event::Resumed { confirmed: true });
        }
    }

    /// Logs changes of the register and applies their consequences.
    pub(super) fn handle_catalog_changes(&mut self, now: Duration, changes: Vec<catalog::Change>) {
        let as_of = self.catalog.as_of();
        for change in changes {
            self.log(Event::Changed {
                change: change.clone(),
                as_of,
            });
            match change {
                catalog::Change::Target { id, restarted, .. } if restarted => {
                    self.drop_evidence(now, id);
                }
                catalog::Change::Ended { id } => self.reset_flows(now, id),
                _ => {}
            }
        }
    }

    /// Drops the evidence on a target that restarted. The restart reaches all balancers at about
    /// the same time, so none of them resets flows that another one opened on the restarted target.
    fn drop_evidence(&mut self, now: Duration, target: record::Id) {
        if self.evidence.remove(target).is_some() {
            self.log_verdict(now, target);
        }
    }
}
