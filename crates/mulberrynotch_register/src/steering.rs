//! Settings of a balancer whose flows carry their target in each packet.

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

/// Longest graceful shutdown by default, in milliseconds.
const DRAIN_MS: u32 = 5_000;

/// Bandwidth of the VM's link by default, in Mbit/s.
const LINK_MBPS: u32 = 1_000;

/// Longest graceful shutdown that can be set, in milliseconds.
const MAX_DRAIN_MS: u32 = 600_000;

mulberrynotch_macros::data! {
    /// Settings of one process.
    pub struct Settings {
        /// Unique name of the VM.
        pub name: Arc<str>,
        /// Availability zone that the VM runs in.
        pub zone: Arc<str>,
        /// Where packets of clients arrive; packets for clients go to their address at this port.
        pub packet_address: SocketAddrV4,
        /// Where routers ask whether the process is ready.
        pub readiness_address: SocketAddrV4,
        /// Where other balancers reach this one, over UDP and TCP.
        pub peer_address: SocketAddrV4,
        /// Where state dump and metrics are served.
        pub admin_address: SocketAddrV4,
        /// Where the store is read.
        pub store_address: SocketAddrV4,
        /// Peer addresses of balancers to contact first.
        pub seeds: Vec<SocketAddrV4>,
        /// Longest graceful shutdown, in milliseconds.
        pub drain_ms: u32,
        /// Bandwidth of the VM's link, in Mbit/s. VMs with more read the store for their zone.
        pub link_mbps: u32,
        /// True when the process leaves the routers' rotation while it can serve no new flow.
        pub step_aside: bool,
        /// Lowest level that is logged.
        pub log_level: settings::Level,
    }
}

impl Settings {
    /// True when what differs between the two takes effect only at a start.
    pub fn needs_restart(&self, running: &Self) -> bool {
        let same_otherwise = Self {
            seeds: running.seeds.clone(),
            step_aside: running.step_aside,
            ..self.clone()
        };
        same_otherwise != *running
    }
}

/// Reads settings.
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
    let seeds = reader.or(
        object,
        "seeds",
        |r, v| read::list(r, v, address),
        Vec::new(),
    );
    let drain_ms = reader.or(object, "drain_ms", read::number, DRAIN_MS);
    let link_mbps = reader.or(object, "link_mbps", read::decimal, LINK_MBPS);
    let step_aside = reader.or(object, "step_aside", read::boolean, true);
    let level = settings::Level::default();
    let log_level = reader.or(object, "log_level", decode::level, level);
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

/// Checks rules between values.
pub(crate) fn check(settings: &Settings) -> Vec<problem::Fault> {
    let root = problem::Path::default();
    let mut faults = validate::Faults::default();
    faults.name(root.key("name"), &settings.name);
    faults.name(root.key("zone"), &settings.zone);
    let drain = root.key("drain_ms");
    faults.range(drain, settings.drain_ms, 0, MAX_DRAIN_MS);
    let own = [
        ("packet_address", settings.packet_address),
        ("readiness_address", settings.readiness_address),
        ("peer_address", settings.peer_address),
        ("admin_address", settings.admin_address),
    ];
    for (position, (key, address)) in own.iter().enumerate() {
        faults.endpoint(root.key(key), SocketAddr::V4(*address));
        if let Some((other, _)) = own[..position].iter().find(|(_, it)| it == address) {
            let message = format!("address {address} is also that of \"{other}\"");
            faults.add(root.key(key), message, "use a different port for each");
        }
    }
    faults.into_vec()
}
