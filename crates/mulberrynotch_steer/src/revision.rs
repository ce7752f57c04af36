//! Points in the history of the store.

use std::fmt;

mulberrynotch_macros::value! {
    /// Point in the history of the store. The store starts a new era when it returns from an older
    /// copy of itself, and then assigns revision numbers of the previous era again.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    pub struct Revision {
        /// Era of the store; 0 for a store that does not count eras.
        pub era: u64,
        /// Revision number, which increases with each change in an era.
        pub number: u64,
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
