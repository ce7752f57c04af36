//! Copy of the register at a balancer: configuration, targets, and zones out of service.

mod dating;
mod doubt;
mod export;
mod merge;
mod target;
mod update;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

pub use target::{
    State,
    Target, //
};

use crate::{
    record,
    revision, //
};

/// Shortest time for which a removed target is kept, so that packets of its open flows still reach
/// it; flows last no longer than a minute.
pub const REMOVED_RETENTION: Duration = Duration::from_secs(75);

mulberrynotch_macros::data! {
    /// A change of the catalog.
    pub enum Change {
        /// A new configuration took effect.
        Configuration {
            /// Version of the configuration.
            version: u64,
        },
        /// A zone went out of service or returned.
        Zone {
            /// The zone.
            zone: Arc<str>,
            /// True when it went out of service.
            out: bool,
        },
        /// A target appeared, changed or was removed.
        Target {
            /// Identifier.
            id: record::Id,
            /// Write of the entry.
            write: revision::Write,
            /// New state of the target.
            state: State,
            /// True when the target restarted under the same identifier.
            restarted: bool,
        },
        /// A target has ended: another one has its address now.
        Ended {
            /// Identifier.
            id: record::Id,
        },
        /// The store returned from an older copy of itself.
        Restored {
            /// Revision up to which every change was known before.
            before: revision::Revision,
            /// Revision up to which every change is known.
            as_of: revision::Revision,
        },
        /// The store's copy lacks a record or shows it in an older state; what is known stays in
        /// effect.
        Kept {
            /// Key of the record.
            key: record::Key,
            /// Its last known write.
            write: revision::Write,
        },
        /// A record that was in doubt was written again, or the store still has it.
        Confirmed {
            /// Key of the record.
            key: record::Key,
            /// Its last known write.
            write: revision::Write,
        },
        /// A configuration was refused because it is invalid.
        Refused {
            /// Version of the configuration.
            version: u64,
            /// Write of the record.
            write: revision::Write,
        },
    }
}

mulberrynotch_macros::value! {
    /// Reason why a target takes no new flows according to the register.
    pub enum Exclusion {
        /// No configuration has named its service.
        Unconfigured,
        /// Another target has its address.
        Ended,
        /// Its entry was removed.
        Removed,
        /// It is draining.
        Draining,
        /// Another target has the same cookie.
        CookieShared,
        /// Its zone is out of service.
        ZoneOut,
    }
}

impl Change {
    /// Returns the key of the record that changed; `None` for other changes.
    pub fn key(&self) -> Option<record::Key> {
        match self {
            Self::Configuration { .. } => Some(record::Key::Configuration),
            Self::Zone { zone, .. } => Some(record::Key::ZoneOut(zone.clone())),
            Self::Target { id, .. } => Some(record::Key::Target(*id)),
            Self::Kept { key, .. } | Self::Confirmed { key, .. } => Some(key.clone()),
            Self::Ended { .. } | Self::Restored { .. } | Self::Refused { .. } => None,
        }
    }
}

/// Copy of the register at a balancer.
#[derive(Debug)]
pub struct Catalog {
    configuration: Arc<record::Configuration>,
    configuration_write: revision::Write,
    routes: HashMap<SocketAddrV4, usize>,
    /// Services that the configuration lists or that its routes refer to.
    named_services: BTreeSet<Arc<str>>,
    zones: BTreeMap<Arc<str>, Zone>,
    targets: BTreeMap<record::Id, Target>,
    /// Targets by cookie; only those in use.
    cookies: HashMap<u32, record::Id>,
    /// Most recently started target in use at each address.
    addresses: HashMap<SocketAddrV4, record::Id>,
    services: HashMap<Arc<str>, BTreeSet<record::Id>>,
    as_of: revision::Revision,
    complete_since: revision::Revision,
    /// Records that the store's copy lacks or shows in an older state, and the end of the time for
    /// their writers to write them again.
    doubts: BTreeMap<record::Key, Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Zone {
    write: revision::Write,
    /// Revision number of the record that took the zone out of service.
    out_number: Option<u64>,
    out: bool,
    /// Time of the latest known return of the zone to service.
    returned_at: Option<Duration>,
}

impl Default for Catalog {
    fn default() -> Self {
        Self {
            configuration: Arc::new(record::Configuration::empty()),
            configuration_write: revision::Write::default(),
            routes: HashMap::new(),
            named_services: BTreeSet::new(),
            zones: BTreeMap::new(),
            targets: BTreeMap::new(),
            cookies: HashMap::new(),
            addresses: HashMap::new(),
            services: HashMap::new(),
            as_of: revision::Revision::START,
            complete_since: revision::Revision::START,
            doubts: BTreeMap::new(),
        }
    }
}

impl Catalog {
    /// Returns the revision up to which every change is known.
    pub fn as_of(&self) -> revision::Revision {
        self.as_of
    }

    /// Returns the revision from which every removal is known.
    pub fn complete_since(&self) -> revision::Revision {
        self.complete_since
    }

    /// Lowers the revision from which every removal is known to `complete_since`.
    pub fn merge_complete_since(&mut self, complete_since: revision::Revision) {
        self.complete_since = self.complete_since.min(complete_since);
    }

    /// Returns the configuration in effect.
    pub fn configuration(&self) -> &Arc<record::Configuration> {
        &self.configuration
    }

    /// Returns whether there are a configuration and a complete list of targets.
    pub fn is_usable(&self) -> bool {
        self.as_of != revision::Revision::START && self.configuration.version > 0
    }

    /// Returns the route of an address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&record::Route> {
        let index = *self.routes.get(&address)?;
        self.configuration.routes.get(index)
    }

    /// Returns the target with a cookie, also for a while after its removal; `None` if several
    /// targets share the cookie.
    pub fn target_by_cookie(&self, cookie: u32) -> Option<&Target> {
        let target = self.targets.get(self.cookies.get(&cookie)?)?;
        (target.configured && !target.ambiguous).then_some(target)
    }

    /// Returns a target, also for a while after its removal.
    pub fn target(&self, id: record::Id) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Returns all targets, including removed ones.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns all targets of a service, including removed ones.
    pub fn targets_of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Target> + use<'a> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.targets.get(id))
    }

    /// Returns why a target takes no new flows; `None` if it takes them, including while it is
    /// cold.
    pub fn exclusion(&self, now: Duration, target: &Target) -> Option<Exclusion> {
        if !target.configured {
            Some(Exclusion::Unconfigured)
        } else if target.ended {
            Some(Exclusion::Ended)
        } else if target.is_removed(now) {
            Some(Exclusion::Removed)
        } else if target.entry.draining {
            Some(Exclusion::Draining)
        } else if target.ambiguous {
            Some(Exclusion::CookieShared)
        } else {
            self.is_zone_out(&target.entry.zone)
                .then_some(Exclusion::ZoneOut)
        }
    }

    /// Returns whether a target runs according to the register, whether or not it takes new flows.
    pub fn is_running(&self, now: Duration, target: &Target) -> bool {
        target.configured && !target.ended && !target.is_removed(now)
    }

    /// Returns whether a zone is out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// Returns when a zone last returned to service.
    pub fn returned_at(&self, zone: &str) -> Option<Duration> {
        self.zones.get(zone)?.returned_at
    }

    /// Returns whether the configuration names a service.
    fn names(&self, service: &str) -> bool {
        self.named_services.contains(service)
    }

    /// Returns the limits of a service.
    pub fn service(&self, name: &str) -> Option<&record::Service> {
        let services = &self.configuration.services;
        services.iter().find(|service| &*service.name == name)
    }

    fn is_present(&self, key: &record::Key) -> bool {
        match key {
            record::Key::Configuration => true,
            record::Key::ZoneOut(name) => self.is_zone_out(name),
            record::Key::Target(id) => self
                .targets
                .get(id)
                .is_some_and(|it| it.removed_at.is_none()),
        }
    }

    /// Returns the last known write of a record.
    fn write_of(&self, key: &record::Key) -> Option<revision::Write> {
        match key {
            record::Key::Configuration => {
                (self.configuration.version > 0).then_some(self.configuration_write)
            }
            record::Key::ZoneOut(name) => self.zones.get(name).map(|it| it.write),
            record::Key::Target(id) => self.targets.get(id).map(|it| it.write),
        }
    }

    fn present_keys(&self) -> impl Iterator<Item = (record::Key, revision::Write)> {
        let targets = self
            .targets
            .values()
            .filter(|target| target.removed_at.is_none())
            .map(|target| (record::Key::Target(target.id), target.write));
        let zones = self
            .zones
            .iter()
            .filter(|(_, zone)| zone.out)
            .map(|(name, zone)| (record::Key::ZoneOut(name.clone()), zone.write));
        targets.chain(zones)
    }

    /// Drops targets that were removed more than [`REMOVED_RETENTION`] ago.
    pub fn expire(&mut self, now: Duration) {
        let is_old = |target: &Target| {
            let removed = target.removed_at;
            removed.is_some_and(|at| now.saturating_sub(at) >= REMOVED_RETENTION)
        };
        if !self.targets.values().any(is_old) {
            return;
        }
        self.targets.retain(|_, target| !is_old(target));
        let targets = &self.targets;
        self.doubts.retain(|key, _| match key {
            record::Key::Target(id) => targets.contains_key(id),
            _ => true,
        });
        self.cookies.retain(|_, id| targets.contains_key(id));
        self.addresses.retain(|_, id| targets.contains_key(id));
        self.services.retain(|_, ids| {
            ids.retain(|id| targets.contains_key(id));
            !ids.is_empty()
        });
    }
}

/// Returns the removal of a record as of a revision.
fn removal(key: record::Key, as_of: revision::Revision) -> record::Record {
    record::Record {
        key,
        write: revision::Write::dated(as_of),
        body: None,
        removed_ms: Some(0),
        unconfirmed_ms: None,
    }
}

fn age_ms(now: Duration, at: Option<Duration>) -> u32 {
    millis(now.saturating_sub(at.unwrap_or_default()))
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
