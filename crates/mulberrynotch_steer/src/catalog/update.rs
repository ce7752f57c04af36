//! Updates of the catalog: changes since a revision, and complete reads.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Catalog,
    Change,
    removal, //
};
use crate::{
    record,
    revision, //
};

/// A complete set of records.
struct List {
    as_of: revision::Revision,
    keys: BTreeSet<record::Key>,
    /// Highest known number that shows with the known content. The copy that the store returned from
    /// was made later, so targets of lower numbers that are missing are gone.
    copied_until: u64,
    /// True when the store has returned from a copy since the last update.
    is_restored: bool,
}

impl Catalog {
    /// Merges records that contain every change after `since` and up to `as_of`.
    pub fn apply_changes(
        &mut self,
        now: Duration,
        since: revision::Revision,
        as_of: revision::Revision,
        records: Vec<record::Record>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        if since <= self.as_of && self.as_of != revision::Revision::START {
            if as_of.era > self.as_of.era {
                changes.push(self.enter_era(as_of));
                // The sender does not know these changes, so the store has lost them.
                let lost = self.present_keys().filter(|(_, write)| write.at > since);
                let lost: Vec<_> = lost.map(|(key, _)| key).collect();
                changes.extend(lost.into_iter().filter_map(|key| self.doubt(now, key)));
            }
            self.as_of = self.as_of.max(as_of);
        }
        let records = self.date_all(now, as_of, records, &mut changes);
        changes.extend(self.merge(now, records));
        changes
    }

    /// Merges the complete set of records present at `as_of`. Older ones that are missing from it
    /// are removed, unless the store has returned from a copy since they were written.
    pub fn replace(
        &mut self,
        now: Duration,
        as_of: revision::Revision,
        records: Vec<record::Record>,
    ) -> Vec<Change> {
        if as_of.era < self.as_of.era {
            return self.merge_lost(now, records);
        }
        let is_first = self.as_of == revision::Revision::START;
        let list = List {
            as_of,
            keys: records.iter().map(|it| it.key.clone()).collect(),
            copied_until: self.copied_until(&records),
            is_restored: !is_first && as_of.era > self.as_of.era,
        };
        let mut changes = Vec::new();
        if list.is_restored {
            changes.push(self.enter_era(as_of));
        }
        let mut records = self.date_all(now, as_of, records, &mut changes);
        if is_first {
            self.complete_since = as_of;
        }
        self.as_of = self.as_of.max(as_of);
        records.extend(self.find_removed(now, &list, &mut changes));
        changes.extend(self.merge(now, records));
        // The store agrees that these are gone.
        let is_open = |key: &record::Key| list.keys.contains(key) || self.is_present(key);
        let closed: Vec<_> = self.unconfirmed().filter(|key| !is_open(key)).collect();
        changes.extend(closed.iter().filter_map(|key| self.confirm(key)));
        changes
    }

    /// Returns the removals of the records that a list lacks, and opens doubts about those that the
    /// store may have lost.
    fn find_removed(
        &mut self,
        now: Duration,
        list: &List,
        changes: &mut Vec<Change>,
    ) -> Vec<record::Record> {
        let is_absent = |(key, write): &(record::Key, revision::Write)| {
            write.at <= list.as_of && !list.keys.contains(key)
        };
        let absent: Vec<_> = self.present_keys().filter(is_absent).collect();
        let mut removed = Vec::new();
        for (key, write) in absent {
            let is_copied =
                matches!(key, record::Key::Target(_)) && write.at.number <= list.copied_until;
            if list.is_restored && !is_copied {
                changes.extend(self.doubt(now, key));
            } else if self.doubts.get(&key).is_none_or(|until| now >= *until) {
                self.doubts.remove(&key);
                removed.push(removal(key, list.as_of));
            }
        }
        removed
    }

    /// Moves on to `as_of` in a later era of the store.
    pub(super) fn enter_era(&mut self, as_of: revision::Revision) -> Change {
        let before = std::mem::replace(&mut self.as_of, as_of);
        Change::Restored { before, as_of }
    }
}
