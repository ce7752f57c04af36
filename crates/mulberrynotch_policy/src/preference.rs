//! The preference list of a flow or a key over the targets of its service.
//!
//! It depends on the register alone, so that two processes with the same revision agree on it.

use mulberrynotch_register::id;

use crate::{
    rendezvous,
    view, //
};

/// Targets of `service` in order of preference for the hash `key`.
pub fn targets(view: &view::View, service: id::Service, key: u64) -> Vec<id::Target> {
    let mut weighted: Vec<(u64, id::Target)> = view
        .candidates(service)
        .iter()
        .map(|&(target, seed)| (rendezvous::weight(key, seed), target))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, target)| target).collect()
}

/// The most preferred target alone, without a sort.
pub fn first(view: &view::View, service: id::Service, key: u64) -> Option<id::Target> {
    view.candidates(service)
        .iter()
        .map(|&(target, seed)| (rendezvous::weight(key, seed), target))
        .max()
        .map(|(_, target)| target)
}
