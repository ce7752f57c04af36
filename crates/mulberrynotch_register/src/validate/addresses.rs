//! Validation of the addresses of services and targets.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use crate::{
    model,
    problem::Path, //
};

use super::{
    Faults,
    canonical, //
};

/// Use of an address.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Use {
    /// Address of a service, given by the position of the service.
    Service(usize),
    /// Address of a target, given by the positions of service and target and by the key.
    Target(usize, usize, &'static str),
}

pub(super) fn check(register: &model::Register, faults: &mut Faults) {
    let mut used = HashMap::new();
    let path = Path::default().key("services");
    for (position, service) in register.services.iter().enumerate() {
        let path = path.index(position).key("addresses");
        for (index, address) in service.addresses.iter().enumerate() {
            let path = path.index(index).key("address");
            let new = Use::Service(position);
            check_address(register, &mut used, path, address.address, new, faults);
        }
    }
    for (position, service) in register.services.iter().enumerate() {
        let path = path.index(position).key("targets");
        for (index, target) in service.targets.iter().enumerate() {
            for (key, address) in endpoints(target) {
                let path = path.index(index).key(key);
                let new = Use::Target(position, index, key);
                check_address(register, &mut used, path, address, new, faults);
            }
        }
    }
}

/// Returns the addresses of a target with their keys.
fn endpoints(target: &model::Target) -> impl Iterator<Item = (&'static str, SocketAddr)> {
    let all = [
        ("udp", target.udp),
        ("tcp", target.tcp),
        ("http", target.http),
        ("load", target.load),
    ];
    all.into_iter()
        .filter_map(|(key, address)| address.map(|address| (key, address)))
}

fn check_address(
    register: &model::Register,
    used: &mut HashMap<SocketAddr, Vec<Use>>,
    path: Path,
    address: SocketAddr,
    new: Use,
    faults: &mut Faults,
) {
    faults.check_endpoint(path.clone(), address);
    let uses = used.entry(canonical(address)).or_default();
    if let Some(old) = uses.iter().find(|old| is_conflict(**old, new)) {
        let (message, remedy) = describe_conflict(register, address, *old, new);
        faults.add(path, message, remedy);
    }
    // Only uses by the same target do not conflict, and a target has at most four.
    if uses.len() < 4 {
        uses.push(new);
    }
}

/// Returns true if an address cannot have both uses.
///
/// A target may use one address for UDP and one TCP-based protocol, or for requests and its load
/// report. All other uses exclude each other.
fn is_conflict(old: Use, new: Use) -> bool {
    match (old, new) {
        (
            Use::Target(old_service, old_target, old_key),
            Use::Target(new_service, new_target, new_key),
        ) => {
            (old_service, old_target) != (new_service, new_target)
                || !matches!((old_key, new_key), ("udp", _) | ("http", "load"))
        }
        _ => true,
    }
}

fn describe_conflict(
    register: &model::Register,
    address: SocketAddr,
    old: Use,
    new: Use,
) -> (String, &'static str) {
    let service = |index: usize| &register.services[index].name;
    match (old, new) {
        (Use::Service(a), Use::Service(b)) if a == b => (
            format!(
                "address {address} is used twice by service \"{}\"",
                service(a)
            ),
            "keep one of the entries",
        ),
        (Use::Service(a), Use::Service(b)) => (
            format!(
                "address {address} is used by services \"{}\" and \"{}\"",
                service(a),
                service(b)
            ),
            "give each service its own address",
        ),
        (Use::Target(a, old, _), Use::Target(b, new, _)) => (
            format!(
                "address {address} is shared by targets \"{}\" and \"{}\"",
                register.services[a].targets[old].name, register.services[b].targets[new].name
            ),
            "give each target its own addresses, and TCP and requests different ones",
        ),
        (Use::Service(a), Use::Target(b, index, _))
        | (Use::Target(b, index, _), Use::Service(a)) => (
            format!(
                "address {address} of target \"{}\" is also an address of service \"{}\"",
                register.services[b].targets[index].name,
                service(a)
            ),
            "use an address that callers do not use for the target",
        ),
    }
}
