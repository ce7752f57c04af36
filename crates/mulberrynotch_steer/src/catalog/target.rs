//! A target as it is known here.

use std::time::Duration;

use super::age_ms;
use crate::record;

mulberrynotch_macros::data! {
    /// A target as it is known here.
    pub struct Target {
        /// Identifier.
        pub id: record::Id,
        /// Its entry.
        pub entry: record::Target,
        /// Revision of the entry.
        pub revision: u64,
        /// Revision of the last entry that the target wrote; its removal does not count.
        pub written_revision: u64,
        /// True when another target has its address: it has ended, and no packet reaches it.
        pub ended: bool,
        /// When the target is warm.
        pub warm_at: Duration,
        /// When the removal of the entry became known.
        pub removed_at: Option<Duration>,
        /// Until when a removal is not acted on.
        pub removal_effective_at: Duration,
        /// True when another target has the same cookie; neither can be named by it.
        pub ambiguous: bool,
    }

    /// State of a target.
    #[derive(Copy)]
    pub enum State {
        /// Takes new flows.
        Ready,
        /// Takes few new flows.
        Cold,
        /// Takes no new flows.
        Draining,
        /// Its entry is gone.
        Removed,
        /// Another target has its address.
        Ended,
    }
}

impl Target {
    /// What the target is at `now`.
    pub fn state(&self, now: Duration) -> State {
        if self.ended {
            State::Ended
        } else if self.removed_at.is_some() {
            State::Removed
        } else if self.entry.draining {
            State::Draining
        } else if now < self.warm_at {
            State::Cold
        } else {
            State::Ready
        }
    }

    /// True once a removal of the entry is acted on.
    pub(super) fn is_removed(&self, now: Duration) -> bool {
        self.removed_at.is_some() && now >= self.removal_effective_at
    }

    /// True when the target started after another one. Its entry must be the later one too, since
    /// the time of day of a VM may be set back.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        self.entry.started_ms > other.entry.started_ms
            && self.written_revision > other.written_revision
    }

    pub(super) fn to_record(&self, now: Duration) -> record::Record {
        let cold = self.warm_at.saturating_sub(now).as_millis();
        let entry = record::Target {
            cold_ms: u32::try_from(cold).unwrap_or(u32::MAX),
            ..self.entry.clone()
        };
        record::Record {
            key: record::Key::Target(self.id),
            revision: self.revision,
            body: Some(record::Body::Target(entry)),
            removed_ms: self.removed_at.map(|at| age_ms(now, Some(at))),
        }
    }
}
