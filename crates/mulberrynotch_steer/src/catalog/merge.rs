//! Merging of records. A record takes effect only if its revision is the latest one seen.

use std::{
    cmp::Ordering,
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
            let change = self.merge_record(now, record, mass_removal);
            let is_configuration = matches!(change, Some(Change::Configuration { .. }));
            changes.extend(change);
            changes.extend(updated.and_then(|id| self.compare_addresses(id)));
            if is_configuration {
                changes.extend(self.admit_targets(now));
            }
        }
        changes
    }

    /// Takes the targets into use whose service the configuration names now. Targets of a service
    /// that it no longer names keep their flows.
    fn admit_targets(&mut self, now: Duration) -> Vec<Change> {
        let waiting = self.targets.values().filter(|it| !it.configured);
        let named = waiting.filter(|it| self.names(&it.entry.service));
        let named: Vec<_> = named.map(|it| it.id).collect();
        let mut changes = Vec::new();
        for id in named {
            let ambiguous = self.index_cookie(id);
            if let Some(target) = self.targets.get_mut(&id) {
                (target.configured, target.ambiguous) = (true, ambiguous);
                changes.push(Change::Target {
                    id,
                    write: target.write,
                    state: target.state(now),
                    restarted: false,
                });
            }
            changes.extend(self.compare_addresses(id));
        }
        changes
    }

    /// Makes a target known by its cookie; returns whether another target has the same one.
    fn index_cookie(&mut self, id: record::Id) -> bool {
        let holder = *self.cookies.entry(cookie::of(id.0)).or_insert(id);
        let ambiguous = holder != id;
        if ambiguous && let Some(holder) = self.targets.get_mut(&holder) {
            holder.ambiguous = true;
        }
        ambiguous
    }

    fn removes_undrained(&self, record: &record::Record) -> bool {
        let record::Key::Target(id) = record.key else {
            return false;
        };
        let known = self.targets.get(&id);
        record.removed_ms.is_some() && known.is_some_and(|it| it.is_in_use() && !it.entry.draining)
    }

    /// Returns whether this many targets, which disappeared together without draining, indicate a
    /// fault of the store rather than of the targets.
    fn is_mass_removal(&self, removals: usize) -> bool {
        let in_use = self.targets.values().filter(|it| it.is_in_use());
        removals >= MIN_MASS_REMOVALS && removals * MASS_REMOVAL_DIVISOR >= in_use.count()
    }

    fn merge_record(
        &mut self,
        now: Duration,
        record: record::Record,
        mass_removal: bool,
    ) -> Option<Change> {
        let known = self.write_of(&record.key);
        let is_known = known.is_some_and(|known| !record.write.is_after(known));
        if is_known && record.key != record::Key::Configuration {
            return None;
        }
        let (key, unconfirmed_ms) = (record.key.clone(), record.unconfirmed_ms);
        let is_current = record.write.at.era == self.as_of.era;
        let change = match key.clone() {
            record::Key::Configuration => self.merge_configuration(record),
            record::Key::ZoneOut(zone) => self.merge_zone(now, zone, &record),
            record::Key::Target(id) => self.merge_target(now, id, record, mass_removal),
        };
        let doubt = if let Some(left) = unconfirmed_ms {
            self.doubt_for(now, key, Duration::from_millis(left.into()))
        } else if is_current {
            self.confirm(&key)
        } else {
            None
        };
        change.or(doubt)
    }

    fn merge_configuration(&mut self, record: record::Record) -> Option<Change> {
        let Some(record::Body::Configuration(configuration)) = record.body else {
            return None;
        };
        let (known, known_write) = (&self.configuration, self.configuration_write);
        let is_newer = match configuration.version.cmp(&known.version) {
            Ordering::Equal => record.write.is_after(known_write),
            order => order == Ordering::Greater,
        };
        if !is_newer {
            return None;
        }
        let (version, write) = (configuration.version, record.write);
        if !configuration.is_valid() {
            return Some(Change::Refused { version, write });
        }
        self.configuration_write = write;
        if version == known.version && configuration.digest() == known.digest() {
            return None;
        }
        let routes = configuration.routes.iter().enumerate();
        self.routes = routes.map(|(index, it)| (it.address, index)).collect();
        let listed = configuration.services.iter().map(|it| it.name.clone());
        let shares = configuration.routes.iter().flat_map(|it| &it.shares);
        let routed = shares.map(|it| it.service.clone());
        self.named_services = listed.chain(routed).collect();
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
            write: revision::Write::default(),
            out_number: None,
            out: false,
            returned_at: None,
        });
        zone.write = record.write;
        let out = record.removed_ms.is_none();
        if out {
            zone.out_number = Some(record.write.at.number);
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
                entry.draining |= known.is_some_and(|it| it.drains_beyond(&entry, record.write));
                self.insert(now, id, record.write, entry, removed_at);
            }
            _ => self.remove(now, id, record.write, mass_removal)?,
        }
        let target = self.targets.get(&id)?;
        let started_after = target.entry.started_ms;
        Some(Change::Target {
            id,
            write: record.write,
            state: target.state(now),
            restarted: started_before.is_some_and(|before| before < started_after),
        })
    }

    fn insert(
        &mut self,
        now: Duration,
        id: record::Id,
        write: revision::Write,
        entry: record::Target,
        removed_at: Option<Duration>,
    ) {
        let was_in_use = |it: &Target| it.configured && it.entry.service == entry.service;
        let configured =
            self.names(&entry.service) || self.targets.get(&id).is_some_and(was_in_use);
        let ambiguous = configured && self.index_cookie(id);
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
            write,
            own_write: write,
            configured,
            ended,
            removed_at,
            removal_effective_at: Duration::ZERO,
            ambiguous,
        };
        self.targets.insert(id, target);
    }

    /// Compares a target in use with the most recently started one at its address, and marks the
    /// earlier one as ended.
    fn compare_addresses(&mut self, id: record::Id) -> Option<Change> {
        let target = self.targets.get(&id).filter(|it| it.configured)?;
        let address = target.entry.address;
        let other = self
            .addresses
            .get(&address)
            .and_then(|it| self.targets.get(it))
            .filter(|it| it.configured && it.id != id && it.entry.address == address);
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
        write: revision::Write,
        mass_removal: bool,
    ) -> Option<()> {
        let target = self.targets.get_mut(&id)?;
        target.write = write;
        if target.removed_at.is_none() {
            target.removed_at = Some(now);
            if mass_removal && !target.entry.draining {
                target.removal_effective_at = now + MASS_REMOVAL_GRACE;
            }
        }
        Some(())
    }
}
