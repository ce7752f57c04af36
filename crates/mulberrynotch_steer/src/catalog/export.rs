//! Records in messages to peers.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Catalog,
    Target,
    age_ms, //
};
use crate::{
    record,
    revision, //
};

impl Catalog {
    /// Returns the records that changed after `since`. For a peer that has not seen the store return
    /// from a copy, unconfirmed records are included.
    pub fn records_since(&self, now: Duration, since: revision::Revision) -> Vec<record::Record> {
        let mut keys: BTreeSet<_> = self
            .unconfirmed()
            .filter(|_| since.era < self.as_of.era)
            .collect();
        if self.is_after(self.configuration_revision, since) {
            keys.insert(record::Key::Configuration);
        }
        let zones = self
            .zones
            .iter()
            .filter(|(_, it)| self.is_after(it.revision, since));
        keys.extend(zones.map(|(name, _)| record::Key::ZoneOut(name.clone())));
        let targets = self
            .targets
            .values()
            .filter(|it| self.is_after(it.revision, since));
        keys.extend(targets.map(|it| record::Key::Target(it.id)));
        self.records(now, keys)
    }

    /// Returns the current records of these keys.
    pub fn records(
        &self,
        now: Duration,
        keys: impl IntoIterator<Item = record::Key>,
    ) -> Vec<record::Record> {
        keys.into_iter()
            .filter_map(|key| self.record(now, key))
            .collect()
    }

    /// Returns the targets that were removed up to revision `until`, for a peer that started after
    /// their removal.
    pub fn removed_until(&self, now: Duration, until: revision::Revision) -> Vec<record::Record> {
        let is_removed = |it: &&Target| it.removed_at.is_some() && it.revision <= until;
        let removed = self.targets.values().filter(is_removed);
        self.records(now, removed.map(|it| record::Key::Target(it.id)))
    }

    /// Returns the current record of a key.
    pub(super) fn record(&self, now: Duration, key: record::Key) -> Option<record::Record> {
        let unconfirmed = self.doubts.contains_key(&key);
        match &key {
            record::Key::Configuration => Some(record::Record {
                revision: self.configuration_revision,
                body: Some(record::Body::Configuration(self.configuration.clone())),
                removed_ms: None,
                unconfirmed,
                key,
            }),
            record::Key::ZoneOut(name) => {
                let zone = self.zones.get(name)?;
                Some(record::Record {
                    revision: zone.revision,
                    body: Some(record::Body::ZoneOut),
                    removed_ms: (!zone.out).then(|| age_ms(now, zone.returned_at)),
                    unconfirmed,
                    key,
                })
            }
            record::Key::Target(id) => {
                let target = self.targets.get(id)?;
                Some(target.to_record(now, unconfirmed))
            }
        }
    }

    /// Returns whether a record of `revision` changed after `since`. An undated one may have changed
    /// at any time up to the list that it was read from.
    fn is_after(&self, revision: revision::Revision, since: revision::Revision) -> bool {
        let latest = match revision.is_undated() {
            true => revision::Revision {
                era: self.undated_era,
                number: revision.number,
            },
            false => revision,
        };
        latest > since
    }
}
