//! Registers, members and flows for the tests.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::{
    control,
    flow as wire, //
};

pub fn address(service: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, u8::try_from(service).unwrap()], 80))
}

pub fn wire_flow(service: usize, number: u32) -> wire::Flow {
    let [_, a, b, c] = number.to_be_bytes();
    wire::Flow {
        caller: SocketAddr::from(([127, 16 + a, b, c], 4_000)),
        address: address(service),
    }
}

pub fn target(name: String, zone: usize, connections: u32) -> model::Target {
    model::Target {
        name: Arc::from(name),
        zone: Arc::from(format!("z{zone}")),
        udp: None,
        tcp: None,
        http: None,
        load: None,
        slots: 2,
        connections,
        leaving: false,
    }
}

/// Returns a register of services with `sizes` targets each, distributed over three zones.
pub fn register(sizes: &[usize], connections: u32) -> model::Register {
    let zone = |name| model::Zone {
        name: Arc::from(format!("z{name}")),
        region: Arc::from(""),
        out: false,
    };
    let service = |(number, size): (usize, &usize)| model::Service {
        name: Arc::from(format!("s{number}")),
        class: model::Class::Normal,
        addresses: vec![model::Address {
            address: address(number),
            protocol: model::Protocol::Udp,
        }],
        proxy_protocol: model::ProxyProtocol::V2,
        flow_idle_seconds: 60,
        request_deadline_ms: 5_000,
        targets: (0..*size)
            .map(|item| target(format!("t{item}"), item % 3, connections))
            .collect(),
    };
    model::Register {
        revision: 1,
        zones: (0..3).map(zone).collect(),
        services: sizes.iter().enumerate().map(service).collect(),
        rules: Vec::new(),
    }
}

pub fn member(number: usize) -> control::Member {
    control::Member {
        name: Arc::from(format!("b{number}")),
        zone: Arc::from(format!("z{}", number % 3)),
        peer: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(number).unwrap())),
        incarnation: 1,
        state: control::State::Alive,
    }
}
