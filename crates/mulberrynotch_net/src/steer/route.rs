//! Routing explanations for operators: where a given packet would go, and why.

use std::{
    net::SocketAddrV4,
    str::FromStr,
    sync::Arc, //
};

use mulberrynotch_steer::{
    choice,
    cookie,
    machine,
    packet, //
};
use serde_json::json;

use super::{
    Node,
    dump, //
};
use crate::core;

/// Packet of a route query, written `CLIENT/ADDRESS` or `CLIENT/ADDRESS/COOKIE`.
struct Query {
    flow: packet::Flow,
    cookie: u32,
}

impl FromStr for Query {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let usage = "write CLIENT_IP:PORT/ADDRESS_IP:PORT, and /COOKIE for an open flow";
        let address = |text: &str| SocketAddrV4::from_str(text).map_err(|_| usage.to_owned());
        let (client, rest) = text.split_once('/').ok_or(usage)?;
        let (route, cookie) = match rest.split_once('/') {
            Some((route, cookie)) => (route, cookie.parse().map_err(|_| usage.to_owned())?),
            None => (rest, cookie::NONE),
        };
        let flow = packet::Flow {
            client: address(client)?,
            route: address(route)?,
        };
        Ok(Self { flow, cookie })
    }
}

impl Node {
    /// Explains where the packet described by `text` would go.
    pub(super) fn explain(self: &Arc<Self>, text: &str) -> Result<serde_json::Value, String> {
        let query: Query = text.parse()?;
        let now = self.now();
        let machine = self.lock();
        let explanation = machine.explain(now, &query.flow, query.cookie);
        let candidates = explanation.candidates.iter();
        let candidates: Vec<_> = candidates
            .map(|candidate| {
                json!({
                    "target": format!("{:x}", candidate.id.0),
                    "standing": standing(candidate.standing),
                    "near": candidate.near,
                    "slots": candidate.slots,
                    "load": machine.load().recent_requests(now, candidate.id),
                    "latency_ms": dump::latency_ms(&machine, candidate.id),
                    "cost": machine.load().cost(now, candidate),
                })
            })
            .collect();
        let (outcome, target) = outcome(explanation.outcome);
        let entry = target.and_then(|id| machine.catalog().target(id));
        Ok(json!({
            "outcome": outcome,
            "target": target.map(|id| format!("{:x}", id.0)),
            "target_address": entry.map(|it| it.entry.address),
            "service": explanation.service,
            "version": explanation.version,
            "as_of": explanation.as_of.to_string(),
            "register_age_ms": explanation.age.map(core::millis),
            "balancer": self.settings.name,
            "paths": dump::paths(&machine, now),
            "candidates": candidates,
        }))
    }
}

fn outcome(outcome: machine::Outcome) -> (String, Option<mulberrynotch_steer::record::Id>) {
    use machine::Outcome;
    let owned = |text: &str| text.to_owned();
    match outcome {
        Outcome::Opened(id) => (owned("opens on the least loaded target"), Some(id)),
        Outcome::OpenedCold(id) => (
            owned("opens on a cold target, no warm one is left"),
            Some(id),
        ),
        Outcome::Carried(id) => (owned("carried to the target of its cookie"), Some(id)),
        Outcome::Reset(id) => (owned("reset, the target of its cookie has ended"), Some(id)),
        Outcome::Refused(reason) => (format!("refused: {reason:?}"), None),
        Outcome::CookieUnknown => (owned("dropped, no known target has its cookie"), None),
        Outcome::Held => (owned("waits until the register is known"), None),
    }
}

fn standing(standing: choice::Standing) -> String {
    match standing {
        choice::Standing::Excluded(exclusion) => format!("{exclusion:?}"),
        other => format!("{other:?}"),
    }
}
