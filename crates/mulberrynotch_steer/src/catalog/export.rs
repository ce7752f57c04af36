//! Records in answers to peers.

use std::time::Duration;

use super::{
    Catalog,
    age_ms, //
};
use crate::record;

impl Catalog {
    /// Returns the records that changed after `since`.
    pub fn records_since(&self, now: Duration, since: u64) -> Vec<record::Record> {
        let mut records = Vec::new();
        if self.configuration_revision > since {
            records.push(record::Record {
                key: record::Key::Configuration,
                revision: self.configuration_revision,
                body: Some(record::Body::Configuration(self.configuration.clone())),
                removed_ms: None,
            });
        }
        let zones = self.zones.iter().filter(|(_, it)| it.revision > since);
        records.extend(zones.map(|(name, zone)| record::Record {
            key: record::Key::ZoneOut(name.clone()),
            revision: zone.revision,
            body: Some(record::Body::ZoneOut),
            removed_ms: (!zone.out).then(|| age_ms(now, zone.returned_at)),
        }));
        let targets = self.targets.values().filter(|it| it.revision > since);
        records.extend(targets.map(|target| target.to_record(now)));
        records
    }

    /// Returns the targets that were removed up to revision `until`, for a peer that started after
    /// their removal.
    pub fn removed_until(&self, now: Duration, until: u64) -> Vec<record::Record> {
        let removed = self.targets.values().filter(|it| it.removed_at.is_some());
        let removed = removed.filter(|it| it.revision <= until);
        removed.map(|target| target.to_record(now)).collect()
    }
}
