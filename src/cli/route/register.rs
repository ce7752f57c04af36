//! Explains the routing of a flow by a register and a list of balancers.

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

/// Live balancer, given as `NAME@ZONE`.
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
            .ok_or("use the form NAME@ZONE, such as \"vm-1@zone-a\"")?;
        Ok(Self {
            name: name.into(),
            zone: zone.into(),
        })
    }
}

/// Describes the choice of target and owner for each address of a service.
///
/// # Errors
///
/// Fails when the register has no service called `name`.
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
        let known_names = names.join(", ");
        return Err(format!(
            "service \"{name}\" is unknown; use one of: {known_names}"
        ));
    };
    let mut out = format!(
        "service {name}, caller {caller}, register revision {}\n",
        view.register.revision
    );
    for address in &service.addresses {
        if address.protocol == model::Protocol::Http {
            describe_request(&mut out, &view, service_id, address.address);
        } else {
            describe_flow(&mut out, &view, service_id, caller, address, members);
        }
    }
    out.push_str(&describe_excluded(&view, service));
    Ok(out)
}

fn describe_request(
    out: &mut String,
    view: &view::View,
    service: id::Service,
    address: SocketAddr,
) {
    let count = view.candidates(service).len();
    // Writing to a string does not fail.
    let _ = writeln!(
        out,
        "\n{address} (http): each request goes to the less loaded of two random targets out of \
         {count}; a request with an idempotency key goes to the home of the key"
    );
}

fn describe_flow(
    out: &mut String,
    view: &view::View,
    service: id::Service,
    caller: SocketAddr,
    address: &model::Address,
    members: &[control::Member],
) {
    let protocol = snapshot::protocol(address.protocol);
    let _ = writeln!(
        out,
        "\n{} ({protocol}): preference list of the flow",
        address.address
    );
    let key = snapshot::flow_key(service, caller, address.address);
    let preference_list = preference::targets(view, service, key);
    if preference_list.is_empty() {
        let _ = writeln!(out, "  empty: every packet is dropped");
    }
    for (position, target_id) in preference_list.into_iter().enumerate() {
        let Some(target) = view.target(target_id) else {
            continue;
        };
        let leaving = if target.leaving {
            ", leaving: takes no new flow"
        } else {
            ""
        };
        let owner = describe_owner(view, target_id, &target.zone, members);
        let (rank, name, zone) = (position + 1, &target.name, &target.zone);
        let _ = writeln!(out, "  {rank}. {name} in {zone}{leaving}; {owner}");
    }
    let _ = writeln!(
        out,
        "  The first target serves the flow unless it is leaving, unhealthy, starting or over its \
         bounded load or connection limit; its owner then passes the flow on to the next."
    );
}

fn describe_owner(
    view: &view::View,
    target: id::Target,
    zone: &str,
    members: &[control::Member],
) -> String {
    if members.is_empty() {
        return format!(
            "owner: a live balancer of {zone} (of any zone if {zone} has none), by rendezvous hash"
        );
    }
    let Some(owner) = view.assignment.owner(target) else {
        return "owner: none".into();
    };
    let is_local = view
        .member(owner)
        .is_some_and(|member| &*member.zone == zone);
    let reason = if is_local {
        format!("highest rendezvous weight in {zone} within the bounded share")
    } else {
        format!("{zone} has no live balancer, so all zones compete")
    };
    let backup = view.assignment.backup(target).map_or("none", |it| &**it);
    format!("owner {owner} ({reason}), backup {backup}")
}

fn describe_excluded(view: &view::View, service: &model::Service) -> String {
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
    format!("\nnot in any preference list, because the zone is out of service: {names}\n")
}
