//! Points in the history of the store, which order everything that balancers learn from it.

use std::fmt;

mulberrynotch_macros::value! {
    /// Point in the history of the store; a later one is greater.
    ///
    /// The store starts a new era when it returns from an older copy of itself. It then assigns
    /// revision numbers of the previous era again, so a number alone orders nothing.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    pub struct Revision {
        /// Era in which the change was written; 0 when it is unknown, or when the store does not
        /// count eras.
        pub era: u64,
        /// Revision number, which increases with each change in an era.
        pub number: u64,
    }
}

impl Revision {
    /// Point before the first change.
    pub const START: Self = Self { era: 0, number: 0 };

    /// Returns the revision of a record that was read from a list. The list shows the number of the
    /// last write, but not whether that write preceded the return of the store from a copy.
    pub const fn undated(number: u64) -> Self {
        Self { era: 0, number }
    }

    /// Returns whether the era of the write is unknown.
    pub const fn is_undated(self) -> bool {
        self.era == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
