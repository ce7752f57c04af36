//! Dating of records that were read from a list.
//!
//! A list shows the number of the last write of each record, but not the era: the store may have
//! returned from an older copy of itself, and the record may be from the copy. What is known decides.

use std::time::Duration;

use super::{
    Catalog,
    Change,
    Target,
    doubt,
    millis, //
};
use crate::{
    record,
    revision, //
};

/// Relation of an undated record to what is known.
enum Dating {
    /// This is its write.
    Written(revision::Write),
    /// It is known already.
    Known,
    /// It is older than what is known.
    Older,
}

impl Catalog {
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
            let known = self.write_of(&record.key);
            let is_same = known.is_some_and(|known| known.at == record.write.at);
            let is_unconfirmed = record.unconfirmed_ms.is_some();
            if is_same || is_unconfirmed && self.has_content(&record) {
                changes.extend(self.merge_doubt(now, as_of, &record));
                if is_unconfirmed {
                    continue;
                }
            }
            if record.write.dated {
                dated.push(record);
                continue;
            }
            match self.date(&record) {
                Dating::Written(write) => dated.push(record::Record { write, ..record }),
                Dating::Known => changes.extend(self.confirm(&record.key)),
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
        let is_present = record.removed_ms.is_none() && record.unconfirmed_ms.is_none();
        is_behind && is_present && self.write_of(&record.key).is_none()
    }

    /// Determines when an undated record was written. The copy contains only numbers that the store
    /// gave out before, so a number above the known one was written later.
    fn date(&self, record: &record::Record) -> Dating {
        let at = record.write.at;
        let written = Dating::Written(revision::Write::dated(at));
        let Some(known) = self.write_of(&record.key) else {
            // A process that had every change would know an older record.
            let is_new = self.as_of != revision::Revision::START;
            return if is_new {
                written
            } else {
                Dating::Written(record.write)
            };
        };
        if known.at.era == at.era || at.number > known.at.number {
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
        } else if zone.is_some_and(|it| it.out_number == Some(record.write.at.number)) {
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

    /// Merges records that a process of an earlier era has. The store has lost what differs from the
    /// records of its present era.
    pub(super) fn merge_lost(
        &mut self,
        now: Duration,
        records: Vec<record::Record>,
    ) -> Vec<Change> {
        let differs = |it: &record::Record| it.write.dated && !self.has_content(it);
        let lost: Vec<_> = records.into_iter().filter(differs).collect();
        let lost = lost.into_iter().map(|it| record::Record {
            unconfirmed_ms: it.unconfirmed_ms.or(Some(millis(doubt::time_for(&it.key)))),
            ..it
        });
        self.merge(now, lost.collect())
    }

    /// Returns the highest known number that a list shows with the known content. The copy that the
    /// store returned from was made later, so targets of lower numbers that the list lacks are gone.
    pub(super) fn copied_until(&self, records: &[record::Record]) -> u64 {
        let is_copied = |it: &&record::Record| {
            let known = self.write_of(&it.key).map(|known| known.at.number);
            known == Some(it.write.at.number) && self.has_content(it)
        };
        let copied = records.iter().filter(is_copied);
        copied.map(|it| it.write.at.number).max().unwrap_or(0)
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
