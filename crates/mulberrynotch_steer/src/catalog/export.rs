//! Records in messages to peers.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Catalog,
    Target,
    age_ms,
    millis, //
};
use crate::{
    record,
    revision, //
};

impl Catalog {
    /// Returns the records that changed after `since`. For a peer that has not seen the store return
    /// from a copy, unconfirmed records are included.
    pub fn records_since(&self, now: Duration, since: revision::Revision) -> Vec<record::Record> {
        self.records(now, self.keys_since(since))
    }

    /// Returns the keys of the records that [`Self::records_since`] returns.
    pub fn keys_since(&self, since: revision::Revision) -> BTreeSet<record::Key> {
        let mut keys: BTreeSet<_> = self
            .unconfirmed()
            .filter(|_| since.era < self.as_of.era)
            .collect();
        if self.configuration_write.at > since {
            keys.insert(record::Key::Configuration);
        }
        let zones = self.zones.iter().filter(|(_, it)| it.write.at > since);
        keys.extend(zones.map(|(name, _)| record::Key::ZoneOut(name.clone())));
        let targets = self.targets.values().filter(|it| it.write.at > since);
        keys.extend(targets.map(|it| record::Key::Target(it.id)));
        keys
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
        let is_removed = |it: &&Target| it.removed_at.is_some() && it.write.at <= until;
        let removed = self.targets.values().filter(is_removed);
        self.records(now, removed.map(|it| record::Key::Target(it.id)))
    }

    /// Returns the current record of a key.
    pub(super) fn record(&self, now: Duration, key: record::Key) -> Option<record::Record> {
        let doubt = self.doubts.get(&key);
        let unconfirmed_ms = doubt.map(|until| millis(until.saturating_sub(now)));
        match &key {
            record::Key::Configuration => Some(record::Record {
                write: self.configuration_write,
                body: Some(record::Body::Configuration(self.configuration.clone())),
                removed_ms: None,
                unconfirmed_ms,
                key,
            }),
            record::Key::ZoneOut(name) => {
                let zone = self.zones.get(name)?;
                Some(record::Record {
                    write: zone.write,
                    body: Some(record::Body::ZoneOut),
                    removed_ms: (!zone.out).then(|| age_ms(now, zone.returned_at)),
                    unconfirmed_ms,
                    key,
                })
            }
            record::Key::Target(id) => {
                let target = self.targets.get(id)?;
                Some(target.to_record(now, unconfirmed_ms))
            }
        }
    }
}
