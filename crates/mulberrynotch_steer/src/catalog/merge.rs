//! Merging of records. A record takes effect only if its revision is the latest one seen.

use std::{
    sync::Arc,
    time::Duration, //
};

use super::{
    Catalog,
    Change,
    Target,
    Zone, //
};
use crate::{
    cookie,
    record,
    revision, //
};

/// Fraction of the present targets whose simultaneous removal is a mass removal: one in this many.
const MASS_REMOVAL_DIVISOR: usize = 3;

/// Fewest simultaneous removals that count as a mass removal.
const MIN_MASS_REMOVALS: usize = 3;

/// Time for which targets of a mass removal stay in use. Entries that lapsed during an outage of
/// the store are back two seconds after its return.
const MASS_REMOVAL_GRACE: Duration = Duration::from_millis(2_300);

impl Catalog {
    pub(super) fn merge(&mut self, now: Duration, records: Vec<record::Record>) -> Vec<Change> {
        let removals = records.iter().filter(|it| self.removes_undrained(it));
        let mass_removal = self.is_mass_removal(removals.count());
        let mut changes = Vec::new();
        for record in records {
            let updated = match (&record.key, &record.body) {
                (record::Key::Target(id), Some(_)) => Some(*id),
                _ => None,
            };
            changes.extend(self.merge_record(now, record, mass_removal));
            changes.extend(updated.and_then(|id| self.compare_addresses(id)));
        }
        changes
    }

    fn removes_undrained(&self, record: &record::Record) -> bool {
        let record::Key::Target(id) = record.key else {
            return false;
        };
        let known = self.targets.get(&id);
        record.removed_ms.is_some()
            && known.is_some_and(|it| it.removed_at.is_none() && !it.entry.draining)
    }

    /// Returns whether this many targets, which disappeared together without draining, indicate a
    /// fault of the store rather than of the targets.
    fn is_mass_removal(&self, removals: usize) -> bool {
        let present = self.targets.values().filter(|it| it.removed_at.is_none());
        removals >= MIN_MASS_REMOVALS && removals * MASS_REMOVAL_DIVISOR >= present.count()
    }

    fn merge_record(
        &mut self,
        now: Duration,
        record: record::Record,
        mass_removal: bool,
    ) -> Option<Change> {
        if self
            .revision_of(&record.key)
            .is_some_and(|known| known >= record.revision)
            && record.key != record::Key::Configuration
        {
            return self.merge_doubt(now, &record);
        }
        let (key, unconfirmed) = (record.key.clone(), record.unconfirmed);
        let is_current = record.revision.era == self.as_of.era;
        let change = match key.clone() {
            record::Key::Configuration => self.merge_configuration(record),
            record::Key::ZoneOut(zone) => self.merge_zone(now, zone, &record),
            record::Key::Target(id) => self.merge_target(now, id, record, mass_removal),
        };
        if unconfirmed {
            self.doubt(now, key);
        } else if is_current {
            self.doubts.remove(&key);
        }
        change
    }

    /// Adopts a peer's doubt about a record that this process knows as well.
    fn merge_doubt(&mut self, now: Duration, record: &record::Record) -> Option<Change> {
        let is_known = self.revision_of(&record.key) == Some(record.revision);
        let is_adopted = record.unconfirmed && is_known;
        is_adopted.then(|| self.doubt(now, record.key.clone()))?
    }

    fn merge_configuration(&mut self, record: record::Record) -> Option<Change> {
        let Some(record::Body::Configuration(configuration)) = record.body else {
            return None;
        };
        let (known, known_revision) = (&self.configuration, self.configuration_revision);
        if (configuration.version, record.revision) <= (known.version, known_revision) {
            return None;
        }
        let (version, revision) = (configuration.version, record.revision);
        if !configuration.is_valid() {
            return Some(Change::Refused { version, revision });
        }
        self.configuration_revision = revision;
        if version == known.version && configuration.digest() == known.digest() {
            return None;
        }
        let routes = configuration.routes.iter().enumerate();
        self.routes = routes.map(|(index, it)| (it.address, index)).collect();
        self.configuration = configuration;
        Some(Change::Configuration { version })
    }

    fn merge_zone(
        &mut self,
        now: Duration,
        name: Arc<str>,
        record: &record::Record,
    ) -> Option<Change> {
        let zone = self.zones.entry(name.clone()).or_insert(Zone {
            revision: revision::Revision::START,
            out_number: None,
            out: false,
            returned_at: None,
        });
        zone.revision = record.revision;
        let out = record.removed_ms.is_none();
        if out {
            zone.out_number = Some(record.revision.number);
        }
        let changed = out != zone.out || (!out && zone.returned_at.is_none());
        zone.out = out;
        if let Some(age) = record.removed_ms {
            let age = Duration::from_millis(age.into());
            zone.returned_at = Some(now.saturating_sub(age));
        }
        changed.then_some(Change::Zone { zone: name, out })
    }

    fn merge_target(
        &mut self,
        now: Duration,
        id: record::Id,
        record: record::Record,
        mass_removal: bool,
    ) -> Option<Change> {
        let known = self.targets.get(&id);
        let started_before = known.map(|it| it.entry.started_ms);
        let removed_at = record.removed_ms.map(|age| {
            let before = known.and_then(|it| it.removed_at);
            before.unwrap_or_else(|| now.saturating_sub(Duration::from_millis(age.into())))
        });
        match record.body {
            Some(record::Body::Target(mut entry)) => {
                entry.draining |= known.is_some_and(|it| it.drains_beyond(&entry, record.revision));
                self.insert(now, id, record.revision, entry, removed_at);
            }
            _ => self.remove(now, id, record.revision, mass_removal)?,
        }
        let target = self.targets.get(&id)?;
        let started_after = target.entry.started_ms;
        Some(Change::Target {
            id,
            revision: record.revision,
            state: target.state(now),
            restarted: started_before.is_some_and(|before| before < started_after),
        })
    }

    fn insert(
        &mut self,
        now: Duration,
        id: record::Id,
        revision: revision::Revision,
        entry: record::Target,
        removed_at: Option<Duration>,
    ) {
        let cookie = cookie::of(id.0);
        let holder = *self.cookies.entry(cookie).or_insert(id);
        let ambiguous = holder != id;
        if ambiguous && let Some(holder) = self.targets.get_mut(&holder) {
            holder.ambiguous = true;
        }
        let known = self.targets.get(&id);
        let ended = known.is_some_and(|it| it.ended && it.entry.started_ms == entry.started_ms);
        let previous_service = known.map(|it| it.entry.service.clone());
        if previous_service.as_ref() != Some(&entry.service) {
            if let Some(ids) = previous_service.and_then(|service| self.services.get_mut(&service))
            {
                ids.remove(&id);
            }
            let ids = self.services.entry(entry.service.clone()).or_default();
            ids.insert(id);
        }
        let target = Target {
            id,
            warm_at: now + Duration::from_millis(entry.cold_ms.into()),
            entry,
            revision,
            written_revision: revision,
            ended,
            removed_at,
            removal_effective_at: Duration::ZERO,
            ambiguous,
        };
        self.targets.insert(id, target);
    }

    /// Compares a target with the most recently started one at its address, and marks the earlier
    /// one as ended.
    fn compare_addresses(&mut self, id: record::Id) -> Option<Change> {
        let target = self.targets.get(&id)?;
        let address = target.entry.address;
        let other = self
            .addresses
            .get(&address)
            .and_then(|it| self.targets.get(it))
            .filter(|it| it.id != id && it.entry.address == address);
        let (ended, latest) = match other {
            Some(other) if target.supersedes(other) => (Some(other.id), id),
            Some(other) if other.supersedes(target) => (Some(id), other.id),
            _ => (None, id),
        };
        self.addresses.insert(address, latest);
        let ended = self.targets.get_mut(&ended?).filter(|it| !it.ended)?;
        ended.ended = true;
        Some(Change::Ended { id: ended.id })
    }

    fn remove(
        &mut self,
        now: Duration,
        id: record::Id,
        revision: revision::Revision,
        mass_removal: bool,
    ) -> Option<()> {
        let target = self.targets.get_mut(&id)?;
        target.revision = revision;
        if target.removed_at.is_none() {
            target.removed_at = Some(now);
            if mass_removal && !target.entry.draining {
                target.removal_effective_at = now + MASS_REMOVAL_GRACE;
            }
        }
        Some(())
    }
}
