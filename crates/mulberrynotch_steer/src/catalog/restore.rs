//! Return of the store from an older copy of itself.
//!
//! What the store lost was acknowledged, so it stays in effect: the writers write it again. Until
//! they have, the copy lacks some known records or shows older ones, which are in doubt here. A
//! doubt ends when the record is written again, or else after a time: then what the store shows
//! takes effect.

use std::time::Duration;

use super::{
    Catalog,
    Change,
    Target, //
};
use crate::{
    record,
    revision, //
};

/// Time for targets to write their entries again, and for the entries of those that ended to expire:
/// three heartbeats and two seconds.
const TARGET_DOUBT: Duration = Duration::from_millis(6_000);

/// Time for operators to take a zone out of service again, or to return it again.
const ZONE_DOUBT: Duration = Duration::from_secs(60);

/// Additional time after which a balancer resolves a doubt without a complete read of the store; the
/// reader of its zone reads the store in this time.
const RESOLUTION_TIME: Duration = Duration::from_secs(4);

/// Relation of an undated record to what is known.
enum Dating {
    /// It was written at this revision.
    Written(revision::Revision),
    /// It is known already.
    Known,
    /// It is older than what is known.
    Older,
}

impl Catalog {
    /// Returns the keys of the records that the store's copy lacks or shows in an older state, and
    /// that nobody has written again.
    pub fn unconfirmed(&self) -> impl Iterator<Item = record::Key> {
        self.doubts.keys().cloned()
    }

    /// Returns whether the time for a doubt is over, so that a complete read of the store resolves
    /// it.
    pub fn is_doubt_over(&self, now: Duration) -> bool {
        self.doubts.values().any(|until| now >= *until)
    }

    /// Dates undated records of a message or list as of `as_of`, and leaves out the ones that add
    /// nothing to what is known.
    pub(super) fn date_all(
        &mut self,
        now: Duration,
        as_of: revision::Revision,
        records: Vec<record::Record>,
        changes: &mut Vec<Change>,
    ) -> Vec<record::Record> {
        let mut dated = Vec::with_capacity(records.len());
        for record in records {
            if self.is_gone(as_of, &record) {
                continue;
            }
            if !record.revision.is_undated() {
                dated.push(record);
                continue;
            }
            match self.date(as_of.era, &record) {
                Dating::Written(revision) => dated.push(record::Record { revision, ..record }),
                Dating::Known => drop(self.doubts.remove(&record.key)),
                Dating::Older => dated.extend(self.keep_or_resolve(now, as_of, record, changes)),
            }
        }
        dated
    }

    /// Returns whether a peer that lags behind, as of `as_of`, has a record that was removed before
    /// this process read all records: they did not contain it.
    fn is_gone(&self, as_of: revision::Revision, record: &record::Record) -> bool {
        let listed = self.complete_since;
        let is_behind = as_of.era == listed.era && as_of < listed;
        let is_present = record.removed_ms.is_none() && !record.unconfirmed;
        is_behind && is_present && self.revision_of(&record.key).is_none()
    }

    /// Determines when a record was written that was read in `era`. The copy contains only numbers
    /// that the store gave out before, so a number above the known one was written later.
    fn date(&self, era: u64, record: &record::Record) -> Dating {
        let number = record.revision.number;
        let written = Dating::Written(revision::Revision { era, number });
        let Some(known) = self.revision_of(&record.key) else {
            // A process that had every change would know an older record.
            let is_new = self.as_of != revision::Revision::START;
            return if is_new {
                written
            } else {
                Dating::Written(record.revision)
            };
        };
        if known.era == era || number > known.number {
            return written;
        }
        match &record.body {
            Some(record::Body::Configuration(it)) => self.date_configuration(it, written),
            Some(record::Body::ZoneOut) => self.date_zone(record, written),
            Some(record::Body::Target(it)) => self.date_target(record, it, written),
            None => Dating::Older,
        }
    }

    fn date_configuration(&self, listed: &record::Configuration, written: Dating) -> Dating {
        let known = &self.configuration;
        if listed.version < known.version {
            Dating::Older
        } else if listed.digest() == known.digest() {
            Dating::Known
        } else {
            written
        }
    }

    fn date_zone(&self, record: &record::Record, written: Dating) -> Dating {
        let record::Key::ZoneOut(name) = &record.key else {
            return Dating::Older;
        };
        let zone = self.zones.get(name);
        if zone.is_some_and(|it| it.out) {
            Dating::Known
        } else if zone.is_some_and(|it| it.out_number == Some(record.revision.number)) {
            Dating::Older
        } else {
            written
        }
    }

    fn date_target(
        &self,
        record: &record::Record,
        listed: &record::Target,
        written: Dating,
    ) -> Dating {
        let record::Key::Target(id) = record.key else {
            return Dating::Older;
        };
        let Some(known) = self.targets.get(&id) else {
            return written;
        };
        let is_present = known.removed_at.is_none();
        if is_present && known.entry.is_same(listed) {
            Dating::Known
        } else if known.advances_to(listed) {
            // A target never returns to an earlier state, so this write followed the known one.
            written
        } else {
            Dating::Older
        }
    }

    /// Keeps what is known instead of an older record. Returns the record if the time for the doubt
    /// is over and it takes effect.
    fn keep_or_resolve(
        &mut self,
        now: Duration,
        as_of: revision::Revision,
        record: record::Record,
        changes: &mut Vec<Change>,
    ) -> Option<record::Record> {
        let until = self.doubts.get(&record.key).copied();
        if until.is_none_or(|until| now < until) {
            changes.extend(self.doubt(now, record.key));
            return None;
        }
        self.doubts.remove(&record.key);
        let is_final = match &record.key {
            record::Key::Target(id) => {
                let target = self.targets.get_mut(id).filter(|it| it.entry.draining);
                target.map(|it| it.revision = as_of).is_some()
            }
            record::Key::Configuration => true,
            record::Key::ZoneOut(_) => false,
        };
        let revision = as_of;
        (!is_final).then_some(record::Record { revision, ..record })
    }

    /// Opens a doubt about a record, unless there is one.
    pub(super) fn doubt(&mut self, now: Duration, key: record::Key) -> Option<Change> {
        let time = match key {
            record::Key::Configuration => return None,
            record::Key::ZoneOut(_) => ZONE_DOUBT,
            record::Key::Target(_) => TARGET_DOUBT,
        };
        if self.doubts.contains_key(&key) {
            return None;
        }
        let revision = self.revision_of(&key)?;
        self.doubts.insert(key.clone(), now + time);
        Some(Change::Kept { key, revision })
    }

    /// Merges records that a process of an earlier era has. The store has lost what differs from the
    /// records of its present era.
    pub(super) fn merge_lost(
        &mut self,
        now: Duration,
        records: Vec<record::Record>,
    ) -> Vec<Change> {
        let differs = |it: &record::Record| !it.revision.is_undated() && !self.has_content(it);
        let lost: Vec<_> = records.into_iter().filter(differs).collect();
        let lost = lost.into_iter().map(|it| record::Record {
            unconfirmed: true,
            ..it
        });
        self.merge(now, lost.collect())
    }

    fn has_content(&self, record: &record::Record) -> bool {
        match (&record.key, &record.body) {
            (record::Key::Target(id), Some(record::Body::Target(entry))) => {
                self.targets.get(id).is_some_and(|it| {
                    it.entry.is_same(entry)
                        && it.removed_at.is_some() == record.removed_ms.is_some()
                })
            }
            (record::Key::ZoneOut(name), _) => {
                self.is_zone_out(name) == record.removed_ms.is_none()
            }
            _ => false,
        }
    }

    /// Moves on to `as_of` in a later era of the store.
    pub(super) fn enter_era(&mut self, as_of: revision::Revision) -> Change {
        let before = std::mem::replace(&mut self.as_of, as_of);
        Change::Restored { before, as_of }
    }

    /// Resolves the doubts whose time is long over: records that nobody has written again and that no
    /// read of the store confirmed are removed.
    pub fn resolve_doubts(&mut self, now: Duration) -> Vec<Change> {
        let is_over = |until: &Duration| now >= *until + RESOLUTION_TIME;
        let over: Vec<_> = self
            .doubts
            .extract_if(.., |_, until| is_over(until))
            .collect();
        let keys = over.into_iter().map(|(key, _)| key);
        let present = keys.filter(|key| self.is_present(key) && !self.is_draining(key));
        let removals: Vec<_> = present.map(|key| self.removal(key)).collect();
        self.merge(now, removals)
    }

    fn is_draining(&self, key: &record::Key) -> bool {
        let record::Key::Target(id) = key else {
            return false;
        };
        self.targets.get(id).is_some_and(|it| it.entry.draining)
    }

    /// Returns the removal of a record as of the latest known revision.
    pub(super) fn removal(&self, key: record::Key) -> record::Record {
        record::Record {
            key,
            revision: self.as_of,
            body: None,
            removed_ms: Some(0),
            unconfirmed: false,
        }
    }
}

impl Target {
    /// Returns whether an entry shows a later state than the known one: a later start, or the drain
    /// of a target that took flows.
    fn advances_to(&self, entry: &record::Target) -> bool {
        let known = &self.entry;
        let drains = entry.draining && !known.draining && self.removed_at.is_none();
        entry.started_ms > known.started_ms || entry.started_ms == known.started_ms && drains
    }
}
