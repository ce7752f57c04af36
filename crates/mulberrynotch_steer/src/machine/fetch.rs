//! Records that are fetched from peers, and that peers fetch.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use super::{
    Action,
    Event,
    Machine,
    PATIENCE,
    PULL_PAUSE,
    millis, //
};
use crate::message;

/// Time for which a peer of the own zone is waited for before one of another zone is asked.
const NEAR_PATIENCE: Duration = Duration::from_millis(600);

impl Machine {
    pub(super) fn catch_up(&mut self, now: Duration) {
        let Some((as_of, from, since)) = self.behind else {
            return;
        };
        if self.remembers && self.catalog.as_of() >= as_of {
            self.behind = None;
            return;
        }
        let paused = self.pulled_at.is_some_and(|at| now < at + PULL_PAUSE);
        let patience = if self.catalog.is_usable() {
            PATIENCE
        } else {
            Duration::ZERO
        };
        if !paused && now >= since + patience {
            self.pull(now, from);
        }
    }

    pub(super) fn pull(&mut self, now: Duration, from: SocketAddrV4) {
        self.pulled_at = Some(now);
        let pull = message::Pull {
            since: self.catalog.as_of(),
            former: !self.remembers,
        };
        self.actions.push(Action::Pull { from, pull });
    }

    /// Notes a peer that has more than this process; one of the own zone if there is one, since
    /// records are many.
    pub(super) fn note_behind(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        heartbeat: &message::Heartbeat,
    ) {
        let near = heartbeat.sender.zone == self.fleet.me().zone;
        let zone = self.fleet.me().zone.clone();
        if near || self.fleet.live(now, &zone).next().is_none() || self.lags(now) {
            self.note_source(now, from, heartbeat.as_of);
        }
    }

    /// True while the process has been behind for longer than its zone takes to help.
    pub(super) fn lags(&self, now: Duration) -> bool {
        let since = self.behind.map(|(_, _, since)| since);
        since.is_some_and(|since| now >= since + NEAR_PATIENCE)
    }

    pub(super) fn note_source(&mut self, now: Duration, from: SocketAddrV4, as_of: u64) {
        let known = self.behind;
        let since = known.map_or(now, |(_, _, since)| since);
        if known.is_none_or(|(known, ..)| as_of >= known) {
            self.behind = Some((as_of, from, since));
        }
    }

    /// Answers a peer that asks for records.
    pub fn pulled_by(&self, now: Duration, pull: &message::Pull) -> message::Pulled {
        let complete = pull.since == 0 || pull.since < self.catalog.complete_since();
        let since = if complete { 0 } else { pull.since };
        let mut records = self.catalog.since(now, since);
        if pull.former && !complete {
            records.extend(self.catalog.former(now, since));
        }
        message::Pulled {
            complete,
            changes: message::Changes {
                since,
                as_of: self.catalog.as_of(),
                records,
                patch: None,
            },
            confirmed_ms: millis(self.age(now)),
        }
    }

    /// Takes in the records that a peer returned to a fetch that began at `started`.
    pub fn pulled(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        started: Duration,
        pulled: message::Pulled,
    ) {
        let (since, as_of) = (pulled.changes.since, pulled.changes.as_of);
        if as_of == 0 {
            return;
        }
        let records = pulled.changes.records;
        self.remembers = true;
        let changes = if pulled.complete {
            self.catalog.replace(now, as_of, records)
        } else {
            self.catalog.change(now, since, as_of, records)
        };
        if !changes.is_empty() {
            self.log(Event::Pulled { from, as_of });
        }
        self.note_changes(now, changes);
        if as_of <= self.catalog.as_of() {
            let age = Duration::from_millis(pulled.confirmed_ms.into());
            if let Some(at) = started.checked_sub(age) {
                self.confirm(at);
            }
        }
        self.pass_on();
    }
}
