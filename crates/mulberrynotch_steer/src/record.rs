//! Records of the register, each with the revision of its last change.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

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
        /// Revision of the last change of the record; revisions order all changes of the register.
        pub revision: u64,
        /// Content; `None` for a removal whose content is unknown.
        pub body: Option<Body>,
        /// Time since the removal, in milliseconds; `None` while the record is present.
        pub removed_ms: Option<u32>,
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
    pub struct Route {
        /// Address that clients send to.
        pub address: SocketAddrV4,
        /// Services with their weights.
        pub shares: Vec<Share>,
    }

    /// Share of a service in a route's new flows.
    pub struct Share {
        /// Name of the service.
        pub service: Arc<str>,
        /// Weight relative to the other shares of the route.
        pub weight: u32,
    }

    /// Limits of a service.
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
}
