//! Registers, members, views and flows of a given size.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_policy::view;
use mulberrynotch_register::model;
use mulberrynotch_wire::{
    control,
    flow, //
};

/// Connection limit of each target; high enough to have no effect.
const CONNECTIONS: u32 = 100_000;

/// Returns the address of a service by its index.
pub fn address(service: usize) -> SocketAddr {
    let [_, _, high, low] = to_u32(service).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 80))
}

/// Returns the flow with this index to a service.
pub fn flow(service: usize, index: usize) -> flow::Flow {
    let [a, b, c, d] = to_u32(index).to_be_bytes();
    flow::Flow {
        caller: SocketAddr::from(([127, 16 + b, c, d], 4_000 + u16::from(a))),
        address: address(service),
    }
}

/// Returns a register with one service per entry of `sizes`, which gives its number of targets. The
/// targets are distributed over `zones` zones.
pub fn register(sizes: &[usize], zones: usize) -> model::Register {
    let mut placed = 0;
    let mut services = Vec::with_capacity(sizes.len());
    for (index, size) in sizes.iter().enumerate() {
        services.push(service(index, *size, placed, zones));
        placed += size;
    }
    let zone = |index| model::Zone {
        name: format!("zone-{index}").into(),
        region: "".into(),
        out: false,
    };
    model::Register {
        revision: 1,
        zones: (0..zones).map(zone).collect(),
        services,
        rules: Vec::new(),
    }
}

fn service(index: usize, size: usize, placed: usize, zones: usize) -> model::Service {
    let target = |item| model::Target {
        name: format!("target-{index}-{item}").into(),
        zone: format!("zone-{}", (placed + item) % zones).into(),
        udp: Some(endpoint(placed + item, 6_000)),
        tcp: None,
        http: Some(endpoint(placed + item, 6_001)),
        load: None,
        slots: 2,
        connections: CONNECTIONS,
        leaving: false,
    };
    model::Service {
        name: format!("service-{index}").into(),
        class: model::Class::Normal,
        addresses: vec![model::Address {
            address: address(index),
            protocol: model::Protocol::Udp,
        }],
        proxy_protocol: model::ProxyProtocol::V2,
        flow_idle_seconds: 60,
        request_deadline_ms: 5_000,
        targets: (0..size).map(target).collect(),
    }
}

fn endpoint(index: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = to_u32(index).to_be_bytes();
    SocketAddr::from(([127, 2, high, low], port))
}

/// Returns the sizes of `services` services that share `targets` targets evenly.
pub fn even_sizes(targets: usize, services: usize) -> Vec<usize> {
    let size = |index| targets / services + usize::from(index < targets % services);
    (0..services).map(size).collect()
}

/// Returns live members distributed over `zones` zones.
pub fn members(count: usize, zones: usize) -> Vec<control::Member> {
    (0..count).map(|index| member(index, zones)).collect()
}

/// Returns the live member with this index.
pub fn member(index: usize, zones: usize) -> control::Member {
    let [_, _, high, low] = to_u32(index).to_be_bytes();
    control::Member {
        name: format!("vm-{index}").into(),
        zone: format!("zone-{}", index % zones).into(),
        peer: SocketAddr::from(([127, 3, high, low], 7_000)),
        incarnation: 1_700_000_000_000,
        state: control::State::Alive,
    }
}

/// Returns the view of the first member.
pub fn view(register: &Arc<model::Register>, members: &[control::Member]) -> view::View {
    view::View::new(&members[0], register.clone(), members.to_vec(), true)
}

fn to_u32(index: usize) -> u32 {
    u32::try_from(index).expect("inputs are small")
}
