//! Identifiers that two names share.

use std::{
    collections::HashMap,
    hash::Hash, //
};

/// Calls `report` with each entry whose identifier an earlier entry has, and that earlier entry.
pub fn for_each_collision<I: Hash + Eq, T: Copy>(
    entries: impl IntoIterator<Item = (I, T)>,
    mut report: impl FnMut(T, T),
) {
    let mut seen = HashMap::new();
    for (id, entry) in entries {
        match seen.get(&id) {
            Some(earlier) => report(entry, *earlier),
            None => {
                seen.insert(id, entry);
            }
        }
    }
}
