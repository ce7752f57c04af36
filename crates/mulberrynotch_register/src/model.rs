//! Data model of the register: zones, services with their addresses and targets, and rules.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use crate::id;

mulberrynotch_macros::document! {
    /// Inventory and rules that the platform publishes for all processes.
    pub struct Register {
        /// Number that increases with each publication; a process never returns to a lower one.
        pub revision: u64,
        /// Availability zones that targets may run in.
        pub zones: Vec<Zone>,
        /// Services and their targets.
        pub services: Vec<Service>,
        /// Rules for requests; the first one that matches a request applies.
        #[serde(default)]
        pub rules: Vec<Rule>,
    }

    /// An availability zone.
    pub struct Zone {
        /// Unique name.
        pub name: Arc<str>,
        /// Region that the zone belongs to; all zones without one belong to the region "".
        #[serde(default = "empty_region")]
        pub region: Arc<str>,
        /// True while operators have taken the zone out of service.
        #[serde(default)]
        pub out: bool,
    }

    /// A service, with the addresses that callers use and the targets that serve them.
    pub struct Service {
        /// Unique name.
        pub name: Arc<str>,
        /// Priority class of flows, and of requests for which no rule sets one.
        #[serde(default)]
        pub class: Class,
        /// Addresses that callers send to; no two services share one.
        pub addresses: Vec<Address>,
        /// Header that precedes each datagram or connection to a target.
        #[serde(default)]
        pub proxy_protocol: ProxyProtocol,
        /// Idle time after which a UDP flow ends, in seconds.
        #[serde(default = "default_flow_idle_seconds")]
        pub flow_idle_seconds: u32,
        /// Deadline of a request that sets none itself, in milliseconds.
        #[serde(default = "default_request_deadline_ms")]
        pub request_deadline_ms: u32,
        /// Targets that serve the addresses.
        pub targets: Vec<Target>,
    }

    /// Service address that callers send to.
    pub struct Address {
        /// IP address and port.
        pub address: SocketAddr,
        /// Protocol of the traffic to the address.
        pub protocol: Protocol,
    }

    /// Server that runs a service.
    pub struct Target {
        /// Unique name within the service.
        pub name: Arc<str>,
        /// Zone that the target runs in.
        pub zone: Arc<str>,
        /// Address that receives UDP datagrams.
        #[serde(default)]
        pub udp: Option<SocketAddr>,
        /// Address that accepts TCP connections.
        #[serde(default)]
        pub tcp: Option<SocketAddr>,
        /// Address that accepts HTTP/2 requests.
        #[serde(default)]
        pub http: Option<SocketAddr>,
        /// Address at which the target reports its load and health over HTTP.
        #[serde(default)]
        pub load: Option<SocketAddr>,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum number of concurrent flows.
        pub connections: u32,
        /// True when the target receives no new flows and requests.
        #[serde(default)]
        pub leaving: bool,
    }

    /// Overrides the treatment of some requests of a service.
    pub struct Rule {
        /// Name of the service that the rule applies to.
        pub service: Arc<str>,
        /// HTTP method that the rule matches; any method if absent.
        #[serde(default)]
        pub method: Option<Arc<str>>,
        /// Prefix of the paths that the rule matches; any path if absent.
        #[serde(default)]
        pub path_prefix: Option<Arc<str>>,
        /// True when a request must run at most once; if absent, the method of the request decides.
        #[serde(default)]
        pub non_idempotent: Option<bool>,
        /// Priority class of the requests; that of the service if absent.
        #[serde(default)]
        pub class: Option<Class>,
    }
}

mulberrynotch_macros::value! {
    /// Priority class; a lower class never uses capacity that a higher one needs.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Served first.
        High,
        /// Served after `High`.
        #[default]
        Normal,
        /// Served from the capacity that the other classes leave.
        Low,
    }

    /// Protocol of a service address.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Protocol {
        /// UDP datagrams, balanced per flow.
        Udp,
        /// TCP connections, balanced per flow.
        Tcp,
        /// HTTP/1.1 or HTTP/2, balanced per request.
        Http,
    }

    /// Header that precedes each datagram or connection to a target.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum ProxyProtocol {
        /// PROXY protocol version 2.
        #[default]
        V2,
        /// No header.
        Off,
    }
}

impl Register {
    /// Returns the register in effect before the first publication.
    pub fn empty() -> Self {
        Self {
            revision: 0,
            zones: Vec::new(),
            services: Vec::new(),
            rules: Vec::new(),
        }
    }

    /// Returns the first 8 bytes of the `blake3` hash of the register's `postcard` encoding.
    ///
    /// Registers with the same digest are treated as equal.
    ///
    /// # Panics
    ///
    /// Never panics, because `postcard` can encode all types of the model.
    pub fn digest(&self) -> u64 {
        let encoded = postcard::to_stdvec(self).expect("postcard encodes the model");
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(&encoded).as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}

impl Service {
    /// Returns the identifier of the service.
    pub fn id(&self) -> id::Service {
        id::Service::new(&self.name)
    }
}

impl Target {
    /// Returns the identifier of the target within `service`.
    pub fn id(&self, service: id::Service) -> id::Target {
        id::Target::new(service, &self.name)
    }
}

pub(crate) fn empty_region() -> Arc<str> {
    Arc::from("")
}

pub(crate) fn default_flow_idle_seconds() -> u32 {
    60
}

pub(crate) fn default_request_deadline_ms() -> u32 {
    5_000
}
