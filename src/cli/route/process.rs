//! Explains the routing of a packet by the current state of a running process.

use std::{
    fmt::Write,
    net::SocketAddr, //
};

use mulberrynotch_net::admin;
use serde_json::Value;

/// Returns the path at which the admin interface of a process explains the routing of a packet.
pub(super) fn path(caller: SocketAddr, address: SocketAddr, cookie: Option<u32>) -> String {
    let cookie = cookie.map_or_else(String::new, |cookie| format!("/{cookie}"));
    format!("{}{caller}/{address}{cookie}", admin::ROUTE_PATH)
}

/// Renders the answer of a process as text: the outcome for the packet, the configuration that it is
/// based on, and the candidate targets.
pub fn render(answer: &Value) -> String {
    let mut out = String::new();
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let field = |key: &str| text(&answer[key]);
    let (target, address) = (field("target"), field("target_address"));
    // Writing to a string does not fail.
    let _ = writeln!(out, "{}; target {target} at {address}", field("outcome"));
    let _ = writeln!(
        out,
        "decided by {}, configuration {}, register as of {}, {} ms old; service {}",
        field("balancer"),
        field("version"),
        field("as_of"),
        field("register_age_ms"),
        field("service"),
    );
    for candidate in answer["candidates"].as_array().into_iter().flatten() {
        let zone = if candidate["near"] == Value::Bool(true) {
            "near"
        } else {
            "far"
        };
        let number = |key: &str| candidate[key].as_f64().unwrap_or_default();
        let _ = writeln!(
            out,
            "  {} {} {zone}, load {:.2}, latency {:.1} ms, cost {:.2e}",
            text(&candidate["target"]),
            text(&candidate["standing"]),
            number("load"),
            number("latency_ms"),
            number("cost"),
        );
    }
    out
}
