//! Records of the register, each with the revision of its last change.

use std::{
    collections::BTreeSet,
    hash::{
        Hash,
        Hasher, //
    },
    net::SocketAddrV4,
    sync::Arc, //
};

use xxhash_rust::xxh3;

use crate::revision;

mulberrynotch_macros::value! {
    /// Identifier of a target; a target that restarts may keep it.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Id(pub u64);
}

mulberrynotch_macros::message! {
    /// Key of a record.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Key {
        /// Routes and services.
        Configuration,
        /// An availability zone, which is out of service while the record is present.
        ZoneOut(Arc<str>),
        /// A target.
        Target(Id),
    }

    /// One published entry of the register.
    pub struct Record {
        /// Subject of the record.
        pub key: Key,
        /// Last write of the record; writes order all changes of the register.
        pub write: revision::Write,
        /// Content; `None` for a removal whose content is unknown.
        pub body: Option<Body>,
        /// Time since the removal, in milliseconds; `None` while the record is present.
        pub removed_ms: Option<u32>,
        /// Time left for the writer to write the record again, in milliseconds, when the store has
        /// returned from a copy that lacks it; `None` otherwise.
        pub unconfirmed_ms: Option<u32>,
    }

    /// Content of a record.
    pub enum Body {
        /// Routes and services.
        Configuration(Arc<Configuration>),
        /// The zone takes no new flows.
        ZoneOut,
        /// A target.
        Target(Target),
    }

    /// Entry of a target.
    pub struct Target {
        /// Service that the target runs.
        pub service: Arc<str>,
        /// Address for packets and for connection attempts of probes.
        pub address: SocketAddrV4,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Requests that the target processes concurrently.
        pub slots: u32,
        /// True when the target takes no new flows.
        pub draining: bool,
        /// Remaining warm-up time, during which the target sustains a low rate of flows only, in
        /// milliseconds.
        pub cold_ms: u32,
        /// Start of the target, in milliseconds since the Unix epoch; 0 when unknown.
        pub started_ms: u64,
    }

    /// Routes and services.
    pub struct Configuration {
        /// Version, which increases with each publication.
        pub version: u64,
        /// Routes by address.
        pub routes: Vec<Route>,
        /// Services that the routes refer to.
        pub services: Vec<Service>,
        /// Idle time after which the ends of a flow may drop it, in milliseconds.
        pub idle_ms: u32,
    }

    /// Services that receive the new flows of an address.
    #[derive(Hash)]
    pub struct Route {
        /// Address that clients send to.
        pub address: SocketAddrV4,
        /// Services with their weights.
        pub shares: Vec<Share>,
    }

    /// Share of a service in a route's new flows.
    #[derive(Hash)]
    pub struct Share {
        /// Name of the service.
        pub service: Arc<str>,
        /// Weight relative to the other shares of the route.
        pub weight: u32,
    }

    /// Limits of a service.
    #[derive(Hash)]
    pub struct Service {
        /// Name.
        pub name: Arc<str>,
        /// New flows per second that a cold target sustains, in thousandths.
        pub cold_per_second_milli: u32,
        /// Warm-up time of a target after its start, in milliseconds.
        pub cold_ms: u32,
    }
}

impl Configuration {
    /// Returns the configuration that applies before the first publication.
    pub fn empty() -> Self {
        Self {
            version: 0,
            routes: Vec::new(),
            services: Vec::new(),
            idle_ms: 15_000,
        }
    }

    /// Returns a hash of the content, which does not depend on the order of the routes. A version
    /// alone does not identify the content when the store has lost a configuration.
    pub fn digest(&self) -> u64 {
        let mut routes: Vec<_> = self.routes.iter().collect();
        routes.sort_unstable_by_key(|it| it.address);
        let mut hasher = xxh3::Xxh3::new();
        (self.version, routes, &self.services, self.idle_ms).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns whether the configuration can be applied: it has a version, and at most one route for
    /// each address.
    pub fn is_valid(&self) -> bool {
        let addresses: BTreeSet<_> = self.routes.iter().map(|it| it.address).collect();
        self.version > 0 && addresses.len() == self.routes.len()
    }
}

impl Target {
    /// Returns whether both entries describe the same state of the same start. The remaining warm-up
    /// time does not count, since it decreases by itself.
    pub fn is_same(&self, other: &Self) -> bool {
        let cold_ms = self.cold_ms;
        *self
            == Self {
                cold_ms,
                ..other.clone()
            }
    }
}
