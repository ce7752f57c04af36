//! JSON dump of a process.

use std::sync::atomic::Ordering;

use mulberrynotch_policy::control as policy;
use mulberrynotch_wire::control;

use super::Node;
use crate::core;

impl Node {
    /// Returns the state of the process without secrets.
    pub(super) fn dump(&self) -> serde_json::Value {
        let view = self.core.view();
        let owned = view
            .register
            .services
            .iter()
            .flat_map(|service| {
                let id = service.id();
                service
                    .targets
                    .iter()
                    .map(move |target| (service, target.id(id), target))
            })
            .filter(|&(_, id, _)| view.owns(id))
            .map(|(service, _, target)| format!("{}/{}", service.name, target.name))
            .collect::<Vec<_>>();
        let peer = &self.core.peer;
        let control = self.core.control_status();
        let uptime = self.core.now();
        let sent = peer.counters.control_sent_bytes.load(Ordering::Relaxed);
        serde_json::json!({
            "name": &*self.settings.name,
            "zone": &*self.settings.zone,
            "uptime_ms": core::millis(uptime),
            "draining": self.draining.load(Ordering::Relaxed),
            "control": {
                "revision": view.register.revision,
                "confirmed": view.confirmed,
                "unreachable_zones": view.unreachable_zones,
                "members": view.members.iter().map(member).collect::<Vec<_>>(),
                "bytes_per_second": sent / uptime.as_secs().max(1),
                "waiting": peer.waiting(),
                "dropped": peer.dropped(),
                "platform_calls": self.platform.calls(),
                "highest_revision": control.highest_revision,
                "refused": control.refused.iter().map(refusal).collect::<Vec<_>>(),
                "readers": control.readers,
                "platform_age_seconds": control.platform_age_seconds,
                "counters": control.counters,
            },
            "peer": peer.counters,
            "flow": {
                "owned_targets": owned,
                "drained": self.core.is_drained(),
                "status": self.core.flow_status(),
                "udp_sockets": self.udp.upstreams(),
                "tcp_flows": self.tcp.open(),
            },
            "requests": {
                "in_progress": self.core.requests.in_progress(),
                "status": self.core.requests.status(),
            },
        })
    }
}

/// Encodes a refused register.
fn refusal(refusal: &policy::Refusal) -> serde_json::Value {
    serde_json::json!({
        "revision": refusal.revision,
        "digest": format!("{:016x}", refusal.digest),
        "reason": refusal.reason,
        "at_ms": core::millis(refusal.at),
    })
}

/// Encodes a member with named fields. Its serde encoding is the format of frames between balancers.
fn member(member: &control::Member) -> serde_json::Value {
    serde_json::json!({
        "name": &*member.name,
        "zone": &*member.zone,
        "peer": member.peer,
        "incarnation": member.incarnation,
        "state": format!("{:?}", member.state).to_lowercase(),
    })
}
