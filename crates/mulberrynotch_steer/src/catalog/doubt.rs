//! Doubts about what the store lost when it returned from an older copy of itself.
//!
//! What the store lost was acknowledged, so it stays in effect: the writers write it again. Until
//! they have, the copy lacks some known records or shows older ones, which are in doubt here. A
//! doubt ends when the record is written again, or else after a time: then what the store shows
//! takes effect.

use std::time::Duration;

use super::{
    Catalog,
    Change, //
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

/// Additional time in which the reader of a zone reads the store and sends the others the result.
const RESOLUTION_TIME: Duration = Duration::from_secs(4);

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

    /// Returns whether the reader of the zone should have resolved a doubt by now.
    pub fn is_doubt_overdue(&self, now: Duration) -> bool {
        now.checked_sub(RESOLUTION_TIME)
            .is_some_and(|before| self.is_doubt_over(before))
    }

    /// Opens a doubt about a record, unless there is one.
    pub(super) fn doubt(&mut self, now: Duration, key: record::Key) -> Option<Change> {
        let time = time_for(&key);
        self.doubt_for(now, key, time)
    }

    /// Opens a doubt about a record for `time`, unless there is one. A configuration needs none, since
    /// its version orders it.
    pub(super) fn doubt_for(
        &mut self,
        now: Duration,
        key: record::Key,
        time: Duration,
    ) -> Option<Change> {
        let is_versioned = key == record::Key::Configuration;
        if is_versioned || self.doubts.contains_key(&key) {
            return None;
        }
        let write = self.write_of(&key)?;
        self.doubts.insert(key.clone(), now + time);
        Some(Change::Kept { key, write })
    }

    /// Ends the doubt about a record that was written again or that the store still has.
    pub(super) fn confirm(&mut self, key: &record::Key) -> Option<Change> {
        self.doubts.remove(key)?;
        let write = self.write_of(key)?;
        let key = key.clone();
        Some(Change::Confirmed { key, write })
    }

    /// Adopts the doubt of a peer, as of `as_of`, about a record that this process knows as well, or
    /// the end of that doubt.
    pub(super) fn merge_doubt(
        &mut self,
        now: Duration,
        as_of: revision::Revision,
        record: &record::Record,
    ) -> Option<Change> {
        if as_of.era != self.as_of.era {
            None
        } else if let Some(left) = record.unconfirmed_ms {
            let left = Duration::from_millis(left.into());
            self.doubt_for(now, record.key.clone(), left)
        } else {
            self.confirm(&record.key)
        }
    }

    /// Keeps what is known instead of an older record. Returns the record if the time for the doubt
    /// is over and it takes effect.
    pub(super) fn keep_or_resolve(
        &mut self,
        now: Duration,
        as_of: revision::Revision,
        record: record::Record,
        changes: &mut Vec<Change>,
    ) -> Option<record::Record> {
        if as_of < self.as_of {
            return None;
        }
        let until = self.doubts.get(&record.key).copied();
        if until.is_none_or(|until| now < until) {
            changes.extend(self.doubt(now, record.key));
            return None;
        }
        self.doubts.remove(&record.key);
        let is_final = match &record.key {
            record::Key::Target(id) => {
                let target = self.targets.get_mut(id).filter(|it| it.entry.draining);
                target
                    .map(|it| it.write = revision::Write::dated(as_of))
                    .is_some()
            }
            record::Key::Configuration => true,
            record::Key::ZoneOut(_) => false,
        };
        let write = revision::Write::dated(as_of);
        (!is_final).then_some(record::Record { write, ..record })
    }
}

/// Returns the time for the writer of a record to write it again.
pub(super) fn time_for(key: &record::Key) -> Duration {
    match key {
        record::Key::Target(_) => TARGET_DOUBT,
        record::Key::ZoneOut(_) | record::Key::Configuration => ZONE_DOUBT,
    }
}
