//! Where a packet would go, for operators.

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

/// The packet that is asked about: `CLIENT/ADDRESS`, or `CLIENT/ADDRESS/COOKIE`.
struct Query {
    flow: packet::Flow,
    cookie: u32,
}

impl FromStr for Query {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = "write CLIENT_IP:PORT/ADDRESS_IP:PORT, and /COOKIE for an open flow";
        let address = |text: &str| SocketAddrV4::from_str(text).map_err(|_| wrong.to_owned());
        let (client, rest) = text.split_once('/').ok_or(wrong)?;
        let (route, cookie) = match rest.split_once('/') {
            Some((route, cookie)) => (route, cookie.parse().map_err(|_| wrong.to_owned())?),
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
    /// Explains where a packet would go that `text` describes.
    pub(super) fn explain(self: &Arc<Self>, text: &str) -> Result<serde_json::Value, String> {
        let query: Query = text.parse()?;
        let now = self.now();
        let machine = self.lock();
        let explanation = machine.explain(now, &query.flow, query.cookie);
        let candidates = explanation.candidates.iter();
        let candidates: Vec<_> = candidates
            .map(|it| {
                json!({
                    "target": format!("{:x}", it.id.0),
                    "standing": standing(it.standing),
                    "near": it.near,
                    "slots": it.slots,
                    "load": machine.load().recent_requests(now, it.id),
                    "latency_ms": dump::latency_ms(&machine, it.id),
                    "cost": machine.load().cost(now, it),
                })
            })
            .collect();
        let (outcome, target) = outcome(explanation.outcome);
        let address = target.and_then(|id| machine.catalog().target(id));
        Ok(json!({
            "outcome": outcome,
            "target": target.map(|id| format!("{:x}", id.0)),
            "target_address": address.map(|it| it.entry.address),
            "service": explanation.service,
            "version": explanation.version,
            "as_of": explanation.as_of,
            "register_age_ms": explanation.age.map(core::millis),
            "balancer": self.settings.name,
            "paths": dump::paths(&machine, now),
            "candidates": candidates,
        }))
    }
}

fn outcome(outcome: machine::Outcome) -> (String, Option<mulberrynotch_steer::record::Id>) {
    use machine::Outcome;
    let told = |text: &str| text.to_owned();
    match outcome {
        Outcome::Opened(id) => (told("opens on the least loaded target"), Some(id)),
        Outcome::OpenedCold(id) => (
            told("opens on a cold target, no warm one is left"),
            Some(id),
        ),
        Outcome::Carried(id) => (told("carried to the target of its cookie"), Some(id)),
        Outcome::Reset(id) => (told("reset, the target of its cookie has ended"), Some(id)),
        Outcome::Refused(reason) => (format!("refused: {reason:?}"), None),
        Outcome::CookieUnknown => (told("dropped, no known target has its cookie"), None),
        Outcome::Held => (told("waits until the register is known"), None),
    }
}

fn standing(standing: choice::Standing) -> String {
    match standing {
        choice::Standing::Excluded(exclusion) => format!("{exclusion:?}"),
        other => format!("{other:?}"),
    }
}
