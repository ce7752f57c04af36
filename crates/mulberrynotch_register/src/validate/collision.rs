//! Detection of names with the same identifier.

use std::{
    collections::HashMap,
    hash::Hash, //
};

/// Calls `report` with each entry that has the identifier of an earlier entry, and with the first
/// entry that has it.
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
