//! Records of the register: what is published, with the revision of each entry.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

mulberrynotch_macros::value! {
    /// Identifier of a target; a target that starts again may keep it.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Id(pub u64);
}

mulberrynotch_macros::message! {
    /// Name of a record.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Key {
        /// The configuration.
        Configuration,
        /// An availability zone that is out of service while the record is present.
        ZoneOut(Arc<str>),
        /// A target.
        Target(Id),
    }

    /// One published entry.
    pub struct Record {
        /// What the record is about.
        pub key: Key,
        /// Position of the last change of the record among all changes.
        pub revision: u64,
        /// Content, `None` for a removal whose content is not known.
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

    /// A target.
    pub struct Target {
        /// Service that the target runs.
        pub service: Arc<str>,
        /// Where the target takes packets, and connections of probes.
        pub address: SocketAddrV4,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Requests that the target runs at a time.
        pub slots: u32,
        /// True when the target is to get no new flows.
        pub draining: bool,
        /// How much longer the target bears only a trickle, in milliseconds.
        pub cold_ms: u32,
        /// Start of the target, in milliseconds since the Unix epoch; 0 when unknown.
        pub started_ms: u64,
    }

    /// Routes and services.
    pub struct Configuration {
        /// Grows with each publication.
        pub version: u64,
        /// Where flows of each address go.
        pub routes: Vec<Route>,
        /// Services that routes name.
        pub services: Vec<Service>,
        /// A flow without a packet for this long may be forgotten, in milliseconds.
        pub idle_ms: u32,
    }

    /// Where new flows of an address go.
    pub struct Route {
        /// Address that clients send to.
        pub address: SocketAddrV4,
        /// Services with their shares.
        pub shares: Vec<Share>,
    }

    /// Part of a route's new flows.
    pub struct Share {
        /// Name of the service.
        pub service: Arc<str>,
        /// Share relative to the other ones of the route.
        pub weight: u32,
    }

    /// Limits of a service.
    pub struct Service {
        /// Name.
        pub name: Arc<str>,
        /// New flows a second that a cold target bears, in thousandths.
        pub cold_per_second_milli: u32,
        /// How long a target stays cold after its start, in milliseconds.
        pub cold_ms: u32,
    }
}

impl Configuration {
    /// The configuration before the first publication.
    pub fn empty() -> Self {
        Self {
            version: 0,
            routes: Vec::new(),
            services: Vec::new(),
            idle_ms: 15_000,
        }
    }
}
