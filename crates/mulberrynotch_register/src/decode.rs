//! Decodes registers and the settings of `run` from a syntax tree.

use jsonc_parser::ast::Value;

use crate::{
    model,
    read::{
        self,
        Reader, //
    },
    settings, //
};

/// Decodes a register.
pub(crate) fn register(reader: &mut Reader, value: &Value<'_>) -> Option<model::Register> {
    let object = reader.object(value, &["revision", "zones", "services", "rules"])?;
    let revision = reader.required(object, "revision", read::integer_u64);
    let zones = reader.required(object, "zones", |r, v| read::list(r, v, zone));
    let services = reader.required(object, "services", |r, v| read::list(r, v, service));
    let rules = reader.optional_or(object, "rules", |r, v| read::list(r, v, rule), Vec::new());
    Some(model::Register {
        revision: revision?,
        zones: zones?,
        services: services?,
        rules: rules?,
    })
}

fn zone(reader: &mut Reader, value: &Value<'_>) -> Option<model::Zone> {
    let object = reader.object(value, &["name", "region", "out"])?;
    let name = reader.required(object, "name", read::string);
    let region = reader.optional_or(object, "region", read::string, model::empty_region());
    let out = reader.optional_or(object, "out", read::boolean, false);
    Some(model::Zone {
        name: name?,
        region: region?,
        out: out?,
    })
}

fn service(reader: &mut Reader, value: &Value<'_>) -> Option<model::Service> {
    const KEYS: [&str; 7] = [
        "name",
        "class",
        "addresses",
        "proxy_protocol",
        "flow_idle_seconds",
        "request_deadline_ms",
        "targets",
    ];
    let object = reader.object(value, &KEYS)?;
    let name = reader.required(object, "name", read::string);
    let class = reader.optional_or(object, "class", class, model::Class::default());
    let addresses = reader.required(object, "addresses", |r, v| read::list(r, v, address));
    let proxy_protocol = reader.optional_or(
        object,
        "proxy_protocol",
        proxy_protocol,
        model::ProxyProtocol::default(),
    );
    let flow_idle_seconds = reader.optional_or(
        object,
        "flow_idle_seconds",
        read::integer_u32,
        model::default_flow_idle_seconds(),
    );
    let request_deadline_ms = reader.optional_or(
        object,
        "request_deadline_ms",
        read::integer_u32,
        model::default_request_deadline_ms(),
    );
    let targets = reader.required(object, "targets", |r, v| read::list(r, v, target));
    Some(model::Service {
        name: name?,
        class: class?,
        addresses: addresses?,
        proxy_protocol: proxy_protocol?,
        flow_idle_seconds: flow_idle_seconds?,
        request_deadline_ms: request_deadline_ms?,
        targets: targets?,
    })
}

fn address(reader: &mut Reader, value: &Value<'_>) -> Option<model::Address> {
    let object = reader.object(value, &["address", "protocol"])?;
    let address = reader.required(object, "address", read::address);
    let protocol = reader.required(object, "protocol", protocol);
    Some(model::Address {
        address: address?,
        protocol: protocol?,
    })
}

fn target(reader: &mut Reader, value: &Value<'_>) -> Option<model::Target> {
    const KEYS: [&str; 9] = [
        "name",
        "zone",
        "udp",
        "tcp",
        "http",
        "load",
        "slots",
        "connections",
        "leaving",
    ];
    let object = reader.object(value, &KEYS)?;
    let name = reader.required(object, "name", read::string);
    let zone = reader.required(object, "zone", read::string);
    let udp = reader.optional(object, "udp", read::address);
    let tcp = reader.optional(object, "tcp", read::address);
    let http = reader.optional(object, "http", read::address);
    let load = reader.optional(object, "load", read::address);
    let slots = reader.required(object, "slots", read::integer_u32);
    let connections = reader.required(object, "connections", read::integer_u32);
    let leaving = reader.optional_or(object, "leaving", read::boolean, false);
    Some(model::Target {
        name: name?,
        zone: zone?,
        udp: udp?,
        tcp: tcp?,
        http: http?,
        load: load?,
        slots: slots?,
        connections: connections?,
        leaving: leaving?,
    })
}

fn rule(reader: &mut Reader, value: &Value<'_>) -> Option<model::Rule> {
    const KEYS: [&str; 5] = [
        "service",
        "method",
        "path_prefix",
        "non_idempotent",
        "class",
    ];
    let object = reader.object(value, &KEYS)?;
    let service = reader.required(object, "service", read::string);
    let method = reader.optional(object, "method", read::string);
    let path_prefix = reader.optional(object, "path_prefix", read::string);
    let non_idempotent = reader.optional(object, "non_idempotent", read::boolean);
    let class = reader.optional(object, "class", class);
    Some(model::Rule {
        service: service?,
        method: method?,
        path_prefix: path_prefix?,
        non_idempotent: non_idempotent?,
        class: class?,
    })
}

fn class(reader: &mut Reader, value: &Value<'_>) -> Option<model::Class> {
    let keywords = [
        ("high", model::Class::High),
        ("normal", model::Class::Normal),
        ("low", model::Class::Low),
    ];
    read::keyword(reader, value, &keywords)
}

fn protocol(reader: &mut Reader, value: &Value<'_>) -> Option<model::Protocol> {
    let keywords = [
        ("udp", model::Protocol::Udp),
        ("tcp", model::Protocol::Tcp),
        ("http", model::Protocol::Http),
    ];
    read::keyword(reader, value, &keywords)
}

fn proxy_protocol(reader: &mut Reader, value: &Value<'_>) -> Option<model::ProxyProtocol> {
    let keywords = [
        ("v2", model::ProxyProtocol::V2),
        ("off", model::ProxyProtocol::Off),
    ];
    read::keyword(reader, value, &keywords)
}

/// Decodes the settings of a `run` process.
pub(crate) fn settings(reader: &mut Reader, value: &Value<'_>) -> Option<settings::Settings> {
    const KEYS: [&str; 11] = [
        "name",
        "zone",
        "ingress",
        "peer_address",
        "platform_address",
        "admin_address",
        "admin_public",
        "seeds",
        "secrets",
        "log_level",
        "limits",
    ];
    let object = reader.object(value, &KEYS)?;
    let name = reader.required(object, "name", read::string);
    let zone = reader.required(object, "zone", read::string);
    let ingress = reader.required(object, "ingress", ingress);
    let peer_address = reader.required(object, "peer_address", read::address);
    let platform_address = reader.required(object, "platform_address", read::address);
    let admin_address = reader.required(object, "admin_address", read::address);
    let admin_public = reader.optional_or(object, "admin_public", read::boolean, false);
    let seeds = reader.optional_or(
        object,
        "seeds",
        |r, v| read::list(r, v, read::address),
        Vec::new(),
    );
    let secrets = reader.required(object, "secrets", |r, v| read::list(r, v, secret));
    let log_level = reader.optional_or(object, "log_level", level, settings::Level::default());
    let limits = reader.optional_or(object, "limits", limits, settings::Limits::default());
    Some(settings::Settings {
        name: name?,
        zone: zone?,
        ingress: ingress?,
        peer_address: peer_address?,
        platform_address: platform_address?,
        admin_address: admin_address?,
        admin_public: admin_public?,
        seeds: seeds?,
        secrets: secrets?,
        log_level: log_level?,
        limits: limits?,
    })
}

fn ingress(reader: &mut Reader, value: &Value<'_>) -> Option<settings::Ingress> {
    let object = reader.object(value, &["mode", "address", "return_address"])?;
    let is_proxy = reader.required(object, "mode", |r, v| {
        read::keyword(r, v, &[("direct", false), ("proxy", true)])
    })?;
    if !is_proxy {
        reader.object(value, &["mode"])?;
        return Some(settings::Ingress::Direct);
    }
    let address = reader.required(object, "address", read::address);
    let return_address = reader.required(object, "return_address", read::address);
    Some(settings::Ingress::Proxy {
        address: address?,
        return_address: return_address?,
    })
}

fn secret(reader: &mut Reader, value: &Value<'_>) -> Option<settings::Secret> {
    let object = reader.object(value, &["id", "key_hex"])?;
    let id = reader.required(object, "id", read::integer_u8);
    let key_hex = reader.required(object, "key_hex", read::string);
    Some(settings::Secret {
        id: id?,
        key_hex: key_hex?,
    })
}

/// Decodes a log level.
pub(crate) fn level(reader: &mut Reader, value: &Value<'_>) -> Option<settings::Level> {
    let keywords = [
        ("error", settings::Level::Error),
        ("warn", settings::Level::Warn),
        ("info", settings::Level::Info),
        ("debug", settings::Level::Debug),
    ];
    read::keyword(reader, value, &keywords)
}

fn limits(reader: &mut Reader, value: &Value<'_>) -> Option<settings::Limits> {
    const KEYS: [&str; 5] = [
        "max_flows",
        "max_hints",
        "max_requests",
        "control_bytes_per_second",
        "drain_seconds",
    ];
    let object = reader.object(value, &KEYS)?;
    let defaults = settings::Limits::default();
    let mut limit = |key, default| reader.optional_or(object, key, read::integer_u32, default);
    let max_flows = limit("max_flows", defaults.max_flows);
    let max_hints = limit("max_hints", defaults.max_hints);
    let max_requests = limit("max_requests", defaults.max_requests);
    let control_bytes_per_second = limit(
        "control_bytes_per_second",
        defaults.control_bytes_per_second,
    );
    let drain_seconds = limit("drain_seconds", defaults.drain_seconds);
    Some(settings::Limits {
        max_flows: max_flows?,
        max_hints: max_hints?,
        max_requests: max_requests?,
        control_bytes_per_second: control_bytes_per_second?,
        drain_seconds: drain_seconds?,
    })
}
