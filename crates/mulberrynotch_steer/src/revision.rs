//! Points in the history of the store, which order everything that balancers learn from it.

use std::fmt;

mulberrynotch_macros::value! {
    /// Point in the history of the store; a later one is greater.
    ///
    /// The store starts a new era when it returns from an older copy of itself. It then assigns
    /// revision numbers of the previous era again, so a number alone orders nothing.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    pub struct Revision {
        /// Era of the store; 0 for a store that does not count eras.
        pub era: u64,
        /// Revision number, which increases with each change in an era.
        pub number: u64,
    }

    /// Last write of a record.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    pub struct Write {
        /// Point of the write, or the latest possible one.
        pub at: Revision,
        /// False when the record was read from a list. A list shows the number of the last write,
        /// but not whether that write preceded the return of the store from a copy.
        pub dated: bool,
    }
}

impl Revision {
    /// Point before the first change.
    pub const START: Self = Self { era: 0, number: 0 };
}

impl Write {
    /// Returns the write of a change that the store reported at `at`.
    pub const fn dated(at: Revision) -> Self {
        Self { at, dated: true }
    }

    /// Returns the write of a record in a list of `at.era` that shows `at.number`.
    pub const fn undated(at: Revision) -> Self {
        Self { at, dated: false }
    }

    /// Returns whether this write followed another one. Among the writes of its own era and of
    /// earlier ones, the number of an undated write decides.
    pub fn is_after(self, other: Self) -> bool {
        let by_number = !self.dated && other.at.era <= self.at.era
            || !other.dated && self.at.era <= other.at.era;
        if by_number {
            self.at.number > other.at.number
        } else {
            self.at > other.at
        }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

impl fmt::Display for Write {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.dated { "" } else { "~" };
        write!(f, "{mark}{}", self.at)
    }
}
