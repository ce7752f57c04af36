//! Deltas between two revisions of the register.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::control;
use quick_error::quick_error;

use crate::budget;

quick_error! {
    /// Reason why a delta was not applied.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The delta was computed from another version.
        Base {
            display("delta applies to another revision; pull from the revision in effect")
        }
        /// The digest of the result differs from the one in the delta.
        Result {
            display("delta does not lead to its digest; fetch the whole register")
        }
    }
}

/// Returns the revision and digest of a register.
pub fn version(register: &model::Register) -> control::Version {
    control::Version {
        revision: register.revision,
        digest: register.digest(),
    }
}

/// Computes the delta from `old` to `new`, whose versions are `base` and `version`.
pub fn diff(
    old: &model::Register,
    base: control::Version,
    new: &model::Register,
    version: control::Version,
) -> control::Delta {
    let old_services: HashMap<&str, &model::Service> = old
        .services
        .iter()
        .map(|service| (&*service.name, service))
        .collect();
    let new_names: HashSet<&str> = new.services.iter().map(|service| &*service.name).collect();
    let services: Vec<model::Service> = new
        .services
        .iter()
        .filter(|service| old_services.get(&*service.name) != Some(service))
        .cloned()
        .collect();
    let removed = old
        .services
        .iter()
        .map(|service| service.name.clone())
        .filter(|name| !new_names.contains(&**name))
        .collect();
    let mut delta = control::Delta {
        base,
        version,
        zones: (old.zones != new.zones).then(|| new.zones.clone()),
        rules: (old.rules != new.rules).then(|| new.rules.clone()),
        services,
        removed,
        order: None,
    };
    let in_order = merge(old, &delta)
        .iter()
        .map(|service| &service.name)
        .eq(new.services.iter().map(|service| &service.name));
    if !in_order {
        delta.order = Some(new.services.iter().map(|s| s.name.clone()).collect());
    }
    delta
}

/// Applies `delta` to `old`, whose version is `old_version`.
///
/// # Errors
///
/// Fails if the delta was computed from another version, or if the digest of the result is wrong.
pub fn apply(
    old: &model::Register,
    old_version: control::Version,
    delta: &control::Delta,
) -> Result<model::Register, Error> {
    if delta.base != old_version {
        return Err(Error::Base);
    }
    let mut services = merge(old, delta);
    if let Some(order) = &delta.order {
        let rank: HashMap<&str, usize> = order.iter().map(|name| &**name).zip(0..).collect();
        services.sort_by_key(|service| rank.get(&*service.name).copied());
    }
    let register = model::Register {
        revision: delta.version.revision,
        zones: delta.zones.clone().unwrap_or_else(|| old.zones.clone()),
        rules: delta.rules.clone().unwrap_or_else(|| old.rules.clone()),
        services,
    };
    if register.digest() != delta.version.digest {
        return Err(Error::Result);
    }
    Ok(register)
}

/// Returns the priority at which the change from `old` to `new` is sent.
pub fn priority(old: &model::Register, new: &model::Register) -> budget::Priority {
    let zones_out = |register: &model::Register| -> HashSet<Arc<str>> {
        let out = register.zones.iter().filter(|zone| zone.out);
        out.map(|zone| zone.name.clone()).collect()
    };
    if zones_out(old) == zones_out(new) {
        budget::Priority::Configuration
    } else {
        budget::Priority::ZoneOut
    }
}

/// Returns the services of `old` with changed ones replaced in place, new ones appended and removed
/// ones left out.
fn merge(old: &model::Register, delta: &control::Delta) -> Vec<model::Service> {
    let removed: HashSet<&str> = delta.removed.iter().map(|name| &**name).collect();
    let mut changed: HashMap<&str, &model::Service> = delta
        .services
        .iter()
        .map(|service| (&*service.name, service))
        .collect();
    let mut services: Vec<model::Service> = old
        .services
        .iter()
        .filter(|service| !removed.contains(&*service.name))
        .map(|service| changed.remove(&*service.name).unwrap_or(service).clone())
        .collect();
    let appended = delta.services.iter();
    services.extend(
        appended
            .filter(|service| changed.remove(&*service.name).is_some())
            .cloned(),
    );
    services
}
