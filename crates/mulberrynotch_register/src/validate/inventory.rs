//! Validation of the names, zones, limits and rules of a register.

use std::collections::HashSet;

use crate::{
    model,
    problem::Path, //
};

use super::{
    Faults,
    for_each_collision, //
};

/// Largest limit of concurrent requests of a target.
const MAX_SLOTS: u32 = 65_535;
/// Largest limit of concurrent flows of a target.
const MAX_CONNECTIONS: u32 = 1_000_000;
/// Longest idle time of a flow: one day.
const MAX_FLOW_IDLE_SECONDS: u32 = 86_400;
/// Longest deadline of a request: ten minutes.
const MAX_REQUEST_DEADLINE_MS: u32 = 600_000;

pub(super) fn check(register: &model::Register, faults: &mut Faults) {
    let root = Path::default();
    if register.revision == 0 {
        let remedy = "number revisions from 1 and raise the number with each publication";
        faults.add(root.key("revision"), "revision is zero", remedy);
    }
    check_zones(register, faults);
    let zones: HashSet<&str> = register.zones.iter().map(|zone| &*zone.name).collect();
    let path = root.key("services");
    for (index, service) in register.services.iter().enumerate() {
        check_service(&path.index(index), service, &zones, faults);
    }
    check_unique_services(register, faults);
    check_unique_targets(register, faults);
    check_rules(register, faults);
}

fn check_zones(register: &model::Register, faults: &mut Faults) {
    let path = Path::default().key("zones");
    let mut seen = HashSet::new();
    for (index, zone) in register.zones.iter().enumerate() {
        let path = path.index(index);
        faults.check_name(path.key("name"), &zone.name);
        if !zone.region.is_empty() {
            faults.check_name(path.key("region"), &zone.region);
        }
        if !seen.insert(&*zone.name) {
            let message = format!("zone name \"{}\" is used twice", zone.name);
            faults.add(path.key("name"), message, "give each zone its own name");
        }
    }
}

fn check_service(
    path: &Path,
    service: &model::Service,
    zones: &HashSet<&str>,
    faults: &mut Faults,
) {
    faults.check_name(path.key("name"), &service.name);
    let idle = service.flow_idle_seconds;
    faults.check_range(
        path.key("flow_idle_seconds"),
        idle,
        1,
        MAX_FLOW_IDLE_SECONDS,
    );
    let deadline = service.request_deadline_ms;
    let deadline_path = path.key("request_deadline_ms");
    faults.check_range(deadline_path, deadline, 1, MAX_REQUEST_DEADLINE_MS);
    let offered: HashSet<model::Protocol> = service
        .addresses
        .iter()
        .map(|address| address.protocol)
        .collect();
    let path = path.key("targets");
    for (index, target) in service.targets.iter().enumerate() {
        let path = path.index(index);
        check_target(&path, target, zones, faults);
        check_protocols(&path, target, &offered, faults);
    }
}

fn check_target(path: &Path, target: &model::Target, zones: &HashSet<&str>, faults: &mut Faults) {
    faults.check_name(path.key("name"), &target.name);
    faults.check_range(path.key("slots"), target.slots, 1, MAX_SLOTS);
    let connections = path.key("connections");
    faults.check_range(connections, target.connections, 1, MAX_CONNECTIONS);
    if !zones.contains(&*target.zone) {
        let zone = crate::read::shorten(&target.zone);
        let message = format!("availability zone \"{zone}\" is unknown");
        faults.add(
            path.key("zone"),
            message,
            "add it to \"zones\" or correct it",
        );
    }
}

fn check_protocols(
    path: &Path,
    target: &model::Target,
    offered: &HashSet<model::Protocol>,
    faults: &mut Faults,
) {
    let addresses = [
        (model::Protocol::Udp, target.udp.is_some(), "udp"),
        (model::Protocol::Tcp, target.tcp.is_some(), "tcp"),
        (model::Protocol::Http, target.http.is_some(), "http"),
    ];
    for (protocol, present, key) in addresses {
        if offered.contains(&protocol) && !present {
            let message = format!("target has no {key} address, which its service offers");
            let remedy = format!("add \"{key}\" or remove the service's {key} addresses");
            faults.add(path.clone(), message, remedy);
        }
    }
}

fn check_unique_services(register: &model::Register, faults: &mut Faults) {
    let path = |index| Path::default().key("services").index(index).key("name");
    let services = &register.services;
    let entries = services
        .iter()
        .enumerate()
        .map(|(index, service)| (service.id(), index));
    for_each_collision(entries, |index, earlier: usize| {
        let name = &services[index].name;
        if *name == services[earlier].name {
            let message = format!("service name \"{name}\" is used twice");
            faults.add(path(index), message, "give each service its own name");
        } else {
            let other = &services[earlier].name;
            let message = format!("services \"{name}\" and \"{other}\" have the same identifier");
            faults.add(path(index), message, "rename one of them");
        }
    });
}

fn check_unique_targets(register: &model::Register, faults: &mut Faults) {
    let path = |(service, target): (usize, usize)| {
        let targets = Path::default().key("services").index(service);
        targets.key("targets").index(target).key("name")
    };
    let name = |(service, target): (usize, usize)| &register.services[service].targets[target].name;
    let mut entries = Vec::new();
    for (position, service) in register.services.iter().enumerate() {
        let id = service.id();
        let targets = service.targets.iter().enumerate();
        entries.extend(targets.map(|(index, target)| (target.id(id), (position, index))));
    }
    for_each_collision(entries, |at, earlier| {
        // `check_unique_services` reports two services of the same name, so their targets of equal
        // names are not reported again.
        if name(at) == name(earlier) && at.0 == earlier.0 {
            let message = format!("target name \"{}\" is used twice", name(at));
            faults.add(
                path(at),
                message,
                "give each target of a service its own name",
            );
        } else if name(at) != name(earlier) {
            let message = format!(
                "targets \"{}\" and \"{}\" have the same identifier",
                name(at),
                name(earlier)
            );
            faults.add(path(at), message, "rename one of them");
        }
    });
}

fn check_rules(register: &model::Register, faults: &mut Faults) {
    let services: HashSet<&str> = register.services.iter().map(|s| &*s.name).collect();
    let path = Path::default().key("rules");
    for (index, rule) in register.rules.iter().enumerate() {
        let path = path.index(index);
        if !services.contains(&*rule.service) {
            let service = crate::read::shorten(&rule.service);
            let message = format!("service \"{service}\" of the rule is unknown");
            let remedy = "add it to \"services\" or correct it";
            faults.add(path.key("service"), message, remedy);
        }
        let method = rule.method.as_deref();
        if method.is_some_and(|method| !is_method(method)) {
            let remedy = "write it in capital letters, like \"POST\"";
            faults.add(path.key("method"), "not an HTTP method", remedy);
        }
        let prefix = rule.path_prefix.as_deref();
        if prefix.is_some_and(|prefix| !prefix.starts_with('/')) {
            let message = "path prefix does not start with \"/\"";
            faults.add(path.key("path_prefix"), message, "start it with \"/\"");
        }
    }
}

/// Returns true for a well-formed HTTP method. Methods are case-sensitive, and all registered ones
/// are in capital letters.
fn is_method(method: &str) -> bool {
    !method.is_empty()
        && method
            .bytes()
            .all(|byte| byte.is_ascii_uppercase() || byte == b'-')
}
