//! Preference lists: the order in which a flow or an idempotency key prefers the targets of its
//! service.
//!
//! A list depends only on the register, so processes with the same revision compute the same list.

use mulberrynotch_register::id;

use crate::{
    rendezvous,
    view, //
};

/// Returns the targets of `service` in order of preference for the hash `key`.
pub fn targets(view: &view::View, service: id::Service, key: u64) -> Vec<id::Target> {
    let mut weighted: Vec<(u64, id::Target)> = view
        .candidates(service)
        .iter()
        .map(|&(target, seed)| (rendezvous::weight(key, seed), target))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, target)| target).collect()
}

/// Returns the most preferred target without sorting the list.
pub fn first(view: &view::View, service: id::Service, key: u64) -> Option<id::Target> {
    view.candidates(service)
        .iter()
        .map(|&(target, seed)| (rendezvous::weight(key, seed), target))
        .max()
        .map(|(_, target)| target)
}
