//! Builds views for commands from a register and a list of members, without a running process.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_policy::{
    flow,
    view, //
};
use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::{
    control,
    flow as wire, //
};

/// Returns the view of an observer, which is listed as leaving and therefore owns no targets.
pub(super) fn view(register: model::Register, members: &[control::Member]) -> view::View {
    let observer = control::Member {
        state: control::State::Leaving,
        ..member("", "")
    };
    view::View::new(&observer, Arc::new(register), members.to_vec(), true)
}

/// Returns the membership entry of a live balancer.
pub(super) fn member(name: &str, zone: &str) -> control::Member {
    control::Member {
        name: name.into(),
        zone: zone.into(),
        peer: SocketAddr::from(([0, 0, 0, 0], 0)),
        incarnation: 0,
        state: control::State::Alive,
    }
}

/// Returns the key that determines the preference list of a flow.
pub(super) fn flow_key(service: id::Service, caller: SocketAddr, address: SocketAddr) -> u64 {
    flow::key(service, &wire::Flow { caller, address })
}

/// Returns the name of a protocol in the register.
pub(super) fn protocol(protocol: model::Protocol) -> &'static str {
    match protocol {
        model::Protocol::Udp => "udp",
        model::Protocol::Tcp => "tcp",
        model::Protocol::Http => "http",
    }
}
