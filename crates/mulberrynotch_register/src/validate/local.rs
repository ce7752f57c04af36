//! Validation of the settings of a `run` process.

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

/// Largest limit of flow records, and of hints.
const MAX_FLOWS: u32 = 10_000_000;
/// Largest limit of concurrent requests.
const MAX_REQUESTS: u32 = 1_000_000;
/// Lowest rate limit of control traffic; heartbeats alone need about this rate.
const MIN_CONTROL_BYTES_PER_SECOND: u32 = 512;
/// Highest rate limit of control traffic.
const MAX_CONTROL_BYTES_PER_SECOND: u32 = 10_000_000;
/// Largest time limit of a graceful shutdown.
const MAX_DRAIN_SECONDS: u32 = 3_600;

pub(super) fn check(settings: &settings::Settings, faults: &mut Faults) {
    let root = Path::default();
    faults.check_name(root.key("name"), &settings.name);
    faults.check_name(root.key("zone"), &settings.zone);
    check_addresses(settings, faults);
    let admin = settings.admin_address;
    if !admin.ip().to_canonical().is_loopback() && !settings.admin_public {
        let message = format!("admin address {admin} is outside loopback");
        let remedy = "use a loopback address, or set \"admin_public\" to true";
        faults.add(root.key("admin_address"), message, remedy);
    }
    check_secrets(settings, faults);
    check_limits(&settings.limits, faults);
}

fn check_addresses(settings: &settings::Settings, faults: &mut Faults) {
    let root = Path::default();
    let mut own_addresses = vec![
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
        own_addresses.push((ingress.key("address"), address));
        own_addresses.push((ingress.key("return_address"), return_address));
    }
    let mut used: HashMap<SocketAddr, Path> = HashMap::new();
    for (path, address) in own_addresses {
        faults.check_endpoint(path.clone(), address);
        if let Some(other) = used.insert(canonical(address), path.clone()) {
            let message = format!("address {address} is also that of \"{other}\"");
            faults.add(path, message, "use a different address or port for each");
        }
    }
    check_seeds(settings, &used, faults);
}

fn check_seeds(
    settings: &settings::Settings,
    used: &HashMap<SocketAddr, Path>,
    faults: &mut Faults,
) {
    let mut seen = HashSet::new();
    for (index, &seed) in settings.seeds.iter().enumerate() {
        let path = Path::default().key("seeds").index(index);
        faults.check_endpoint(path.clone(), seed);
        // All balancers of a fleet may use the same list of seeds, so the own peer address is allowed.
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

fn check_secrets(settings: &settings::Settings, faults: &mut Faults) {
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

fn check_limits(limits: &settings::Limits, faults: &mut Faults) {
    let path = Path::default().key("limits");
    faults.check_range(path.key("max_flows"), limits.max_flows, 1, MAX_FLOWS);
    faults.check_range(path.key("max_hints"), limits.max_hints, 1, MAX_FLOWS);
    let requests = path.key("max_requests");
    faults.check_range(requests, limits.max_requests, 1, MAX_REQUESTS);
    let control = path.key("control_bytes_per_second");
    let rate = limits.control_bytes_per_second;
    faults.check_range(
        control,
        rate,
        MIN_CONTROL_BYTES_PER_SECOND,
        MAX_CONTROL_BYTES_PER_SECOND,
    );
    let drain = path.key("drain_seconds");
    faults.check_range(drain, limits.drain_seconds, 1, MAX_DRAIN_SECONDS);
}
