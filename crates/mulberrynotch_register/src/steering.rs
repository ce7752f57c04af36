//! Settings of a `steer` balancer, which routes packets by a cookie of the target in each packet.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::Arc, //
};

use jsonc_parser::ast::Value;

use crate::{
    decode,
    problem,
    read::{
        self,
        Reader, //
    },
    settings,
    validate, //
};

/// Default time limit of a graceful shutdown.
const DEFAULT_DRAIN_MS: u32 = 5_000;

/// Default bandwidth of the VM's network link, in Mbit/s.
const DEFAULT_LINK_MBPS: u32 = 1_000;

/// Largest time limit of a graceful shutdown that settings accept.
const MAX_DRAIN_MS: u32 = 600_000;

mulberrynotch_macros::data! {
    /// Settings of one `steer` process.
    pub struct Settings {
        /// Unique name of the VM.
        pub name: Arc<str>,
        /// Availability zone that the VM runs in.
        pub zone: Arc<str>,
        /// Address at which packets of clients arrive; packets to clients go to their IP address at
        /// the same port.
        pub packet_address: SocketAddrV4,
        /// Address of the readiness endpoint that routers poll.
        pub readiness_address: SocketAddrV4,
        /// Address for traffic between balancers, over UDP and TCP.
        pub peer_address: SocketAddrV4,
        /// Address of the endpoint for state dump and metrics.
        pub admin_address: SocketAddrV4,
        /// Address of the store.
        pub store_address: SocketAddrV4,
        /// Peer addresses of balancers to contact first.
        pub seeds: Vec<SocketAddrV4>,
        /// Time limit of a graceful shutdown, in milliseconds.
        pub drain_ms: u32,
        /// Bandwidth of the VM's network link, in Mbit/s. VMs with more bandwidth are preferred as
        /// readers of the store for their zone.
        pub link_mbps: u32,
        /// True when the process withdraws from the rotation of the routers while it cannot serve new
        /// flows.
        pub step_aside: bool,
        /// Lowest severity that is logged.
        pub log_level: settings::Level,
    }
}

impl Settings {
    /// Returns true if the settings differ from `running` in a value that takes effect only at a
    /// start.
    pub fn needs_restart(&self, running: &Self) -> bool {
        let same_otherwise = Self {
            seeds: running.seeds.clone(),
            step_aside: running.step_aside,
            ..self.clone()
        };
        same_otherwise != *running
    }
}

/// Decodes the settings from a syntax tree.
pub(crate) fn read(reader: &mut Reader, value: &Value<'_>) -> Option<Settings> {
    const KEYS: [&str; 12] = [
        "name",
        "zone",
        "packet_address",
        "readiness_address",
        "peer_address",
        "admin_address",
        "store_address",
        "seeds",
        "drain_ms",
        "link_mbps",
        "step_aside",
        "log_level",
    ];
    let object = reader.object(value, &KEYS)?;
    let name = reader.required(object, "name", read::string);
    let zone = reader.required(object, "zone", read::string);
    let packet_address = reader.required(object, "packet_address", address);
    let readiness_address = reader.required(object, "readiness_address", address);
    let peer_address = reader.required(object, "peer_address", address);
    let admin_address = reader.required(object, "admin_address", address);
    let store_address = reader.required(object, "store_address", address);
    let seeds = reader.optional_or(
        object,
        "seeds",
        |r, v| read::list(r, v, address),
        Vec::new(),
    );
    let drain_ms = reader.optional_or(object, "drain_ms", read::integer_u32, DEFAULT_DRAIN_MS);
    let link_mbps = reader.optional_or(object, "link_mbps", read::truncated_u32, DEFAULT_LINK_MBPS);
    let step_aside = reader.optional_or(object, "step_aside", read::boolean, true);
    let level = settings::Level::default();
    let log_level = reader.optional_or(object, "log_level", decode::level, level);
    Some(Settings {
        name: name?,
        zone: zone?,
        packet_address: packet_address?,
        readiness_address: readiness_address?,
        peer_address: peer_address?,
        admin_address: admin_address?,
        store_address: store_address?,
        seeds: seeds?,
        drain_ms: drain_ms?,
        link_mbps: link_mbps?,
        step_aside: step_aside?,
        log_level: log_level?,
    })
}

fn address(reader: &mut Reader, value: &Value<'_>) -> Option<SocketAddrV4> {
    match read::address(reader, value)? {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => reader.mismatch(value, "an IPv4 address with a port"),
    }
}

/// Checks constraints on and between values.
pub(crate) fn check(settings: &Settings) -> Vec<problem::Fault> {
    let root = problem::Path::default();
    let mut faults = validate::Faults::default();
    faults.check_name(root.key("name"), &settings.name);
    faults.check_name(root.key("zone"), &settings.zone);
    let drain = root.key("drain_ms");
    faults.check_range(drain, settings.drain_ms, 0, MAX_DRAIN_MS);
    let own_addresses = [
        ("packet_address", settings.packet_address),
        ("readiness_address", settings.readiness_address),
        ("peer_address", settings.peer_address),
        ("admin_address", settings.admin_address),
    ];
    for (position, (key, address)) in own_addresses.iter().enumerate() {
        faults.check_endpoint(root.key(key), SocketAddr::V4(*address));
        if let Some((earlier_key, _)) = own_addresses[..position]
            .iter()
            .find(|(_, other)| other == address)
        {
            let message = format!("address {address} is also that of \"{earlier_key}\"");
            faults.add(root.key(key), message, "use a different port for each");
        }
    }
    faults.into_vec()
}
