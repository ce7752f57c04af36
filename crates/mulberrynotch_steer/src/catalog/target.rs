//! A target in the catalog.

use std::time::Duration;

use super::age_ms;
use crate::{
    record,
    revision, //
};

mulberrynotch_macros::data! {
    /// A target in the catalog.
    pub struct Target {
        /// Identifier.
        pub id: record::Id,
        /// Entry that the target published.
        pub entry: record::Target,
        /// Last write of the entry, including a removal.
        pub write: revision::Write,
        /// Last write by the target itself; a removal does not change it.
        pub own_write: revision::Write,
        /// True once a configuration has named its service. Until then the entry may be another
        /// writer's: it names no target to use and has no effect on other targets.
        pub configured: bool,
        /// True when another target has its address: it has ended, and no packet reaches it.
        pub ended: bool,
        /// Time at which the target's warm-up ends.
        pub warm_at: Duration,
        /// Time at which the removal of the entry became known.
        pub removed_at: Option<Duration>,
        /// Time from which a removal takes effect.
        pub removal_effective_at: Duration,
        /// True when another target has the same cookie, so that the cookie identifies neither.
        pub ambiguous: bool,
    }

    /// State of a target.
    #[derive(Copy)]
    pub enum State {
        /// Takes new flows.
        Ready,
        /// Takes new flows at a low rate.
        Cold,
        /// Takes no new flows.
        Draining,
        /// Its entry was removed.
        Removed,
        /// Another target has its address.
        Ended,
        /// No configuration has named its service, so the entry has no effect.
        Unconfigured,
    }
}

impl Target {
    /// Returns the state of the target at `now`.
    pub fn state(&self, now: Duration) -> State {
        if !self.configured {
            State::Unconfigured
        } else if self.ended {
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

    /// Returns whether the entry is present and a configuration has named its service.
    pub(super) fn is_in_use(&self) -> bool {
        self.configured && self.removed_at.is_none()
    }

    /// Returns whether the entry was removed and the removal has taken effect.
    pub(super) fn is_removed(&self, now: Duration) -> bool {
        self.removed_at.is_some() && now >= self.removal_effective_at
    }

    /// Returns whether this target started after another one. Its entry must also be the later one,
    /// since the clock of a VM may be set back.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        self.entry.started_ms > other.entry.started_ms && self.own_write.is_after(other.own_write)
    }

    /// Returns whether the target keeps draining though an entry of a later `write` says otherwise. A
    /// target does not stop draining, so an entry of the store's copy was written again.
    pub(super) fn drains_beyond(&self, entry: &record::Target, write: revision::Write) -> bool {
        let is_restored = self.write.at.era < write.at.era;
        is_restored && self.entry.draining && self.entry.started_ms == entry.started_ms
    }

    pub(super) fn to_record(&self, now: Duration, unconfirmed_ms: Option<u32>) -> record::Record {
        let cold = self.warm_at.saturating_sub(now).as_millis();
        let entry = record::Target {
            cold_ms: u32::try_from(cold).unwrap_or(u32::MAX),
            ..self.entry.clone()
        };
        record::Record {
            key: record::Key::Target(self.id),
            write: self.write,
            body: Some(record::Body::Target(entry)),
            removed_ms: self.removed_at.map(|at| age_ms(now, Some(at))),
            unconfirmed_ms,
        }
    }
}
