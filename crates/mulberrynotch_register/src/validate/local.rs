//! Settings of a process.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr, //
};

use crate::{
    problem::Path,
    settings, //
};

use super::{
    Faults,
    canonical, //
};

/// Most flow records, and most learnt targets, of a process.
const MAX_FLOWS: u32 = 10_000_000;
/// Most requests in progress of a process.
const MAX_REQUESTS: u32 = 1_000_000;
/// Least control traffic, in bytes per second: heartbeats alone need about this much.
const MIN_CONTROL: u32 = 512;
/// Most control traffic, in bytes per second.
const MAX_CONTROL: u32 = 10_000_000;
/// Longest graceful shutdown, in seconds.
const MAX_DRAIN_SECONDS: u32 = 3_600;

pub(super) fn check(settings: &settings::Settings, faults: &mut Faults) {
    let root = Path::default();
    faults.name(root.key("name"), &settings.name);
    faults.name(root.key("zone"), &settings.zone);
    addresses(settings, faults);
    let admin = settings.admin_address;
    if !admin.ip().to_canonical().is_loopback() && !settings.admin_public {
        let message = format!("admin address {admin} is outside loopback");
        let remedy = "use a loopback address, or set \"admin_public\" to true";
        faults.add(root.key("admin_address"), message, remedy);
    }
    secrets(settings, faults);
    limits(&settings.limits, faults);
}

fn addresses(settings: &settings::Settings, faults: &mut Faults) {
    let root = Path::default();
    let mut own = vec![
        (root.key("peer_address"), settings.peer_address),
        (root.key("platform_address"), settings.platform_address),
        (root.key("admin_address"), settings.admin_address),
    ];
    if let settings::Ingress::Proxy {
        address,
        return_address,
    } = settings.ingress
    {
        let ingress = root.key("ingress");
        own.push((ingress.key("address"), address));
        own.push((ingress.key("return_address"), return_address));
    }
    let mut used: HashMap<SocketAddr, Path> = HashMap::new();
    for (path, address) in own {
        faults.endpoint(path.clone(), address);
        if let Some(other) = used.insert(canonical(address), path.clone()) {
            let message = format!("address {address} is also that of \"{other}\"");
            faults.add(path, message, "use a different address or port for each");
        }
    }
    seeds(settings, &used, faults);
}

fn seeds(settings: &settings::Settings, used: &HashMap<SocketAddr, Path>, faults: &mut Faults) {
    let mut seen = HashSet::new();
    for (index, &seed) in settings.seeds.iter().enumerate() {
        let path = Path::default().key("seeds").index(index);
        faults.endpoint(path.clone(), seed);
        // A fleet may share one list of seeds, so the process's own peer address is allowed.
        let other = used.get(&canonical(seed));
        let other = other.filter(|_| canonical(seed) != canonical(settings.peer_address));
        if !seen.insert(canonical(seed)) {
            let message = format!("seed {seed} is listed twice");
            faults.add(path, message, "keep one of the entries");
        } else if let Some(other) = other {
            let message = format!("seed {seed} is also the address of \"{other}\"");
            faults.add(path, message, "list peer addresses of balancers");
        }
    }
}

fn secrets(settings: &settings::Settings, faults: &mut Faults) {
    let path = Path::default().key("secrets");
    if settings.secrets.is_empty() {
        let remedy = "add a secret with an \"id\" and 64 hexadecimal digits as \"key_hex\"";
        faults.add(path.clone(), "no secret is given", remedy);
    }
    let mut seen = HashSet::new();
    for (index, secret) in settings.secrets.iter().enumerate() {
        let path = path.index(index);
        if secret.key().is_none() {
            let message = "secret is not 64 hexadecimal digits";
            let remedy = "generate 32 random bytes and write them in hexadecimal";
            faults.add(path.key("key_hex"), message, remedy);
        }
        if !seen.insert(secret.id) {
            let message = format!("secret id {} is used twice", secret.id);
            faults.add(path.key("id"), message, "give each secret its own id");
        }
    }
}

fn limits(limits: &settings::Limits, faults: &mut Faults) {
    let path = Path::default().key("limits");
    faults.range(path.key("max_flows"), limits.max_flows, 1, MAX_FLOWS);
    faults.range(path.key("max_hints"), limits.max_hints, 1, MAX_FLOWS);
    let requests = path.key("max_requests");
    faults.range(requests, limits.max_requests, 1, MAX_REQUESTS);
    let control = path.key("control_bytes_per_second");
    let rate = limits.control_bytes_per_second;
    faults.range(control, rate, MIN_CONTROL, MAX_CONTROL);
    let drain = path.key("drain_seconds");
    faults.range(drain, limits.drain_seconds, 1, MAX_DRAIN_SECONDS);
}
