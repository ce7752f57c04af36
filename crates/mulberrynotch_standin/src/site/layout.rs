//! Addresses, settings and register entries of a site.

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc, //
};

use mulberrynotch_register::model;

use crate::target;

/// Availability zones of a site.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Secret key shared by the balancers of a site, in hexadecimal.
const KEY_HEX: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Address plan of a site. Every process has a separate IP address in `127.a.b.0/24`, so that sites
/// with different `a` or `b` can run at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Second byte of the addresses.
    pub a: u8,
    /// Third byte of the addresses.
    pub b: u8,
}

impl Layout {
    fn ip(self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.a, self.b, host).into()
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }

    /// Returns the address of the platform.
    pub fn platform(self) -> SocketAddr {
        self.address(1, 8_000)
    }

    /// Returns the address at which the fabric receives datagrams for callers.
    pub fn fabric_return(self) -> SocketAddr {
        self.address(2, 7_000)
    }

    /// Returns the control address of the fabric.
    pub fn fabric_control(self) -> SocketAddr {
        self.address(2, 7_001)
    }

    /// Returns the IP address of callers.
    pub fn callers(self) -> IpAddr {
        self.ip(5)
    }

    /// Returns the address of a service, by its position in the register.
    pub fn service(self, service: u8, protocol: model::Protocol) -> SocketAddr {
        let port = match protocol {
            model::Protocol::Udp => 5_000,
            model::Protocol::Tcp => 5_001,
            model::Protocol::Http => 5_002,
        };
        self.address(10 + service, port)
    }

    /// Returns the address at which balancer `number`, up to 79, receives traffic from the fabric.
    pub fn ingress(self, number: u8) -> SocketAddr {
        self.address(20 + number, 7_000)
    }

    /// Returns the peer address of balancer `number`.
    pub fn peer(self, number: u8) -> SocketAddr {
        self.address(20 + number, 7_100)
    }

    /// Returns the admin address of balancer `number`.
    pub fn admin(self, number: u8) -> SocketAddr {
        self.address(20 + number, 7_200)
    }

    /// Returns the configuration of target `number`, up to 149, for the given protocols.
    pub fn target(self, number: u8, name: &str, protocols: &[model::Protocol]) -> target::Config {
        let endpoint = |protocol, port| {
            protocols
                .contains(&protocol)
                .then(|| self.address(100 + number, port))
        };
        target::Config {
            name: name.into(),
            boot: 1,
            udp: endpoint(model::Protocol::Udp, 6_000),
            tcp: endpoint(model::Protocol::Tcp, 6_001),
            http: endpoint(model::Protocol::Http, 6_002),
            load: self.address(100 + number, 6_003),
            slots: 2,
            cold_requests: 4,
        }
    }

    /// Returns the settings of balancer `number` as JSON.
    pub fn settings(self, number: u8, name: &str, zone: &str) -> String {
        let seeds: Vec<SocketAddr> = (0..3).map(|seed| self.peer(seed)).collect();
        let settings = serde_json::json!({
            "name": name,
            "zone": zone,
            "ingress": {
                "mode": "proxy",
                "address": self.ingress(number),
                "return_address": self.fabric_return(),
            },
            "peer_address": self.peer(number),
            "platform_address": self.platform(),
            "admin_address": self.admin(number),
            "seeds": seeds,
            "secrets": [{ "id": 1, "key_hex": KEY_HEX }],
            "log_level": "info",
            "limits": { "drain_seconds": 10 },
        });
        settings.to_string()
    }
}

/// Returns the register entry of a target.
pub fn entry(config: &target::Config, zone: &str) -> model::Target {
    model::Target {
        name: Arc::from(&*config.name),
        zone: zone.into(),
        udp: config.udp,
        tcp: config.tcp,
        http: config.http,
        load: Some(config.load),
        slots: config.slots,
        connections: 2_000,
        leaving: false,
    }
}

/// Returns a service without targets.
pub fn service(
    layout: Layout,
    index: u8,
    name: &str,
    protocols: &[model::Protocol],
) -> model::Service {
    let addresses = protocols.iter().map(|&protocol| model::Address {
        address: layout.service(index, protocol),
        protocol,
    });
    model::Service {
        name: name.into(),
        class: model::Class::Normal,
        addresses: addresses.collect(),
        proxy_protocol: model::ProxyProtocol::V2,
        flow_idle_seconds: 60,
        request_deadline_ms: 5_000,
        targets: Vec::new(),
    }
}
