//! Where a flow goes by a register and a list of balancers.

use std::{
    fmt::Write,
    net::SocketAddr,
    str::FromStr,
    sync::Arc, //
};

use mulberrynotch_policy::{
    preference,
    view, //
};
use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::control;

use crate::cli::snapshot;

/// A live balancer, as `NAME@ZONE`.
#[derive(Clone, Debug)]
pub struct Member {
    pub(super) name: Arc<str>,
    pub(super) zone: Arc<str>,
}

impl FromStr for Member {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, zone) = text
            .split_once('@')
            .ok_or("write a balancer's name, \"@\" and its zone, like \"vm-1@zone-a\"")?;
        Ok(Self {
            name: name.into(),
            zone: zone.into(),
        })
    }
}

/// The choice of target and owner for each address of a service, as text.
///
/// # Errors
///
/// Fails when the register has no service of the name.
pub fn explain(
    register: model::Register,
    name: &str,
    caller: SocketAddr,
    members: &[control::Member],
) -> Result<String, String> {
    let view = snapshot::view(register, members);
    let service_id = id::Service::new(name);
    let Some(service) = view.service(service_id) else {
        let names: Vec<&str> = view.register.services.iter().map(|it| &*it.name).collect();
        let known = names.join(", ");
        return Err(format!(
            "service \"{name}\" is unknown; use one of: {known}"
        ));
    };
    let mut out = format!(
        "service {name}, caller {caller}, register revision {}\n",
        view.register.revision
    );
    for address in &service.addresses {
        if address.protocol == model::Protocol::Http {
            request(&mut out, &view, service_id, address.address);
        } else {
            flow(&mut out, &view, service_id, caller, address, members);
        }
    }
    out.push_str(&excluded(&view, service));
    Ok(out)
}

fn request(out: &mut String, view: &view::View, service: id::Service, address: SocketAddr) {
    let count = view.candidates(service).len();
    // Writing to a string does not fail.
    let _ = writeln!(
        out,
        "\n{address} (http): each request takes the less loaded of two random targets out of \
         {count}; one with an idempotency key stays with the key's home"
    );
}

fn flow(
    out: &mut String,
    view: &view::View,
    service: id::Service,
    caller: SocketAddr,
    address: &model::Address,
    members: &[control::Member],
) {
    let protocol = snapshot::protocol(address.protocol);
    let _ = writeln!(out, "\n{} ({protocol}): chain of the flow", address.address);
    let key = snapshot::flow_key(service, caller, address.address);
    let chain = preference::targets(view, service, key);
    if chain.is_empty() {
        let _ = writeln!(out, "  empty: every packet is dropped");
    }
    for (position, target_id) in chain.into_iter().enumerate() {
        let Some(target) = view.target(target_id) else {
            continue;
        };
        let leaving = if target.leaving {
            ", leaving: takes no new flow"
        } else {
            ""
        };
        let owner = owner(view, target_id, &target.zone, members);
        let (rank, name, zone) = (position + 1, &target.name, &target.zone);
        let _ = writeln!(out, "  {rank}. {name} in {zone}{leaving}; {owner}");
    }
    let _ = writeln!(
        out,
        "  The first one gets the flow unless its owner passes it on: leaving, unhealthy, starting, \
         or over its bounded load or connection limit."
    );
}

fn owner(view: &view::View, target: id::Target, zone: &str, members: &[control::Member]) -> String {
    if members.is_empty() {
        return format!(
            "owner: a live balancer of {zone} (of any zone if {zone} has none), by rendezvous hash"
        );
    }
    let Some(owner) = view.assignment.owner(target) else {
        return "owner: none".into();
    };
    let local = view
        .member(owner)
        .is_some_and(|member| &*member.zone == zone);
    let why = if local {
        format!("highest rendezvous weight in {zone} within the bounded share")
    } else {
        format!("{zone} has no live balancer, so all zones compete")
    };
    let backup = view.assignment.backup(target).map_or("none", |it| &**it);
    format!("owner {owner} ({why}), backup {backup}")
}

fn excluded(view: &view::View, service: &model::Service) -> String {
    let names: Vec<String> = service
        .targets
        .iter()
        .filter(|target| view::is_zone_out(&view.register, &target.zone))
        .map(|target| format!("{} in {}", target.name, target.zone))
        .collect();
    if names.is_empty() {
        return String::new();
    }
    let names = names.join(", ");
    format!("\nnot in any chain, because the zone is out of service: {names}\n")
}
