//! Differences between two configurations, which usually fit into a datagram.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4, //
};

use crate::{
    record,
    revision, //
};

mulberrynotch_macros::message! {
    /// Changes from one configuration to the next.
    pub struct Patch {
        /// Version of the configuration that the patch applies to.
        pub base: u64,
        /// Version of the resulting configuration.
        pub version: u64,
        /// Digest of the resulting configuration.
        pub digest: u64,
        /// Write of the resulting record.
        pub write: revision::Write,
        /// Routes that were added or changed.
        pub routes: Vec<record::Route>,
        /// Addresses of removed routes.
        pub removed: Vec<SocketAddrV4>,
        /// All services, if any of them changed.
        pub services: Option<Vec<record::Service>>,
        /// Idle time after which a flow may be dropped, in milliseconds.
        pub idle_ms: u32,
    }
}

impl Patch {
    /// Returns the changes from `base` to `next`, which is published in a record of `write`.
    pub fn between(
        base: &record::Configuration,
        next: &record::Configuration,
        write: revision::Write,
    ) -> Self {
        let base_routes: BTreeMap<_, _> = base.routes.iter().map(|it| (it.address, it)).collect();
        let next_routes: BTreeMap<_, _> = next.routes.iter().map(|it| (it.address, it)).collect();
        let is_changed = |it: &&record::Route| base_routes.get(&it.address) != Some(it);
        let removed_routes = base_routes
            .keys()
            .filter(|it| !next_routes.contains_key(it));
        Self {
            base: base.version,
            version: next.version,
            digest: next.digest(),
            write,
            routes: next.routes.iter().filter(is_changed).cloned().collect(),
            removed: removed_routes.copied().collect(),
            services: (base.services != next.services).then(|| next.services.clone()),
            idle_ms: next.idle_ms,
        }
    }

    /// Returns the number of routes and services that the patch carries.
    pub fn size(&self) -> usize {
        let services = self.services.as_ref().map_or(0, Vec::len);
        self.routes.len() + self.removed.len() + services
    }

    /// Applies the patch to `base`; returns `None` when `base` is not the configuration that the
    /// patch was made for.
    pub fn apply(&self, base: &record::Configuration) -> Option<record::Configuration> {
        if base.version != self.base {
            return None;
        }
        let mut routes: BTreeMap<_, _> = base
            .routes
            .iter()
            .map(|it| (it.address, it.clone()))
            .collect();
        for address in &self.removed {
            routes.remove(address);
        }
        routes.extend(self.routes.iter().map(|it| (it.address, it.clone())));
        let services = self.services.as_ref().unwrap_or(&base.services);
        let next = record::Configuration {
            version: self.version,
            routes: routes.into_values().collect(),
            services: services.clone(),
            idle_ms: self.idle_ms,
        };
        (next.digest() == self.digest).then_some(next)
    }
}
