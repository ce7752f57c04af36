//! Encodes flows grouped by service address, and redirects grouped by service address and target.
//!
//! In a group a flow takes about 8 bytes per IPv4 caller, instead of 16 as a separate flow or 26 as
//! a separate redirect.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer, //
};

use crate::flow::{
    Flow,
    Redirect, //
};

/// Encodes `Vec<Flow>`, for `#[serde(with)]`.
pub(crate) mod flows {
    use super::{
        BTreeMap,
        Deserialize,
        Deserializer,
        Flow,
        Serialize,
        Serializer,
        SocketAddr, //
    };

    pub(crate) fn serialize<S: Serializer>(
        flows: &[Flow],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut groups: BTreeMap<SocketAddr, Vec<SocketAddr>> = BTreeMap::new();
        for flow in flows {
            groups.entry(flow.address).or_default().push(flow.caller);
        }
        groups.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Flow>, D::Error> {
        let groups = BTreeMap::<SocketAddr, Vec<SocketAddr>>::deserialize(deserializer)?;
        let flows = groups.into_iter().flat_map(|(address, callers)| {
            let to_flow = move |caller| Flow { caller, address };
            callers.into_iter().map(to_flow)
        });
        Ok(flows.collect())
    }
}

/// Encodes `Vec<Redirect>`, for `#[serde(with)]`.
pub(crate) mod redirects {
    use mulberrynotch_register::id;

    use super::{
        BTreeMap,
        Deserialize,
        Deserializer,
        Flow,
        Redirect,
        Serialize,
        Serializer,
        SocketAddr, //
    };

    type Groups = BTreeMap<(SocketAddr, id::Target), Vec<SocketAddr>>;

    pub(crate) fn serialize<S: Serializer>(
        redirects: &[Redirect],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut groups = Groups::new();
        for redirect in redirects {
            let callers = groups
                .entry((redirect.flow.address, redirect.to))
                .or_default();
            callers.push(redirect.flow.caller);
        }
        groups.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Redirect>, D::Error> {
        let groups = Groups::deserialize(deserializer)?;
        let redirects = groups.into_iter().flat_map(|((address, to), callers)| {
            let to_redirect = move |caller| Redirect {
                flow: Flow { caller, address },
                to,
            };
            callers.into_iter().map(to_redirect)
        });
        Ok(redirects.collect())
    }
}
