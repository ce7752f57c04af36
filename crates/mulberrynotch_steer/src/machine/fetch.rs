//! Fetches of records from peers, and answers to fetches of peers.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use super::{
    Action,
    Event,
    MIN_PULL_INTERVAL,
    Machine,
    PUSH_GRACE,
    millis, //
};
use crate::{
    catalog,
    message,
    record,
    revision, //
};

/// Time for peers of this zone to supply changes before a peer of another zone is used.
const ZONE_GRACE: Duration = Duration::from_millis(600);

/// Extent by which a peer's removal history must exceed this process's own to be worth a fetch.
/// Processes that started together have nearly the same history.
const HISTORY_MARGIN: Duration = Duration::from_millis(1_000);

/// What a peer has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    pub(super) from: SocketAddrV4,
    /// Revision up to which the peer has every change.
    pub(super) as_of: revision::Revision,
    /// Version of the peer's configuration; 0 when it is unknown.
    pub(super) version: u64,
    /// Time for which the peer has recorded removed targets, in milliseconds.
    pub(super) removal_history_ms: u32,
}

/// Peer that has changes or removed targets which this process lacks.
#[derive(Clone, Copy, Debug)]
pub(super) struct PullSource {
    offer: Offer,
    since: Duration,
}

impl Machine {
    pub(super) fn catch_up(&mut self, now: Duration) {
        self.use_remote_source(now);
        let Some(pull_source) = self.pull_source else {
            return;
        };
        let (offer, since) = (pull_source.offer, pull_source.since);
        if !self.lacks(now, &offer) {
            self.pull_source = None;
            return;
        }
        let paused = self
            .pulled_at
            .is_some_and(|at| now < at + MIN_PULL_INTERVAL);
        let grace = if self.catalog.is_usable() {
            PUSH_GRACE
        } else {
            Duration::ZERO
        };
        if !paused && now >= since + grace {
            self.pull(now, offer.from);
        }
    }

    /// Returns whether a peer has something that this process lacks. The store may have lost a
    /// configuration that a peer of the same revision has.
    fn lacks(&self, now: Duration, offer: &Offer) -> bool {
        offer.as_of > self.catalog.as_of()
            || offer.version > self.catalog.configuration().version
            || self.has_shorter_history(now, offer.removal_history_ms)
    }

    pub(super) fn pull(&mut self, now: Duration, from: SocketAddrV4) {
        self.pull_since(now, from, self.catalog.as_of());
    }

    /// Fetches all records from a peer.
    pub(super) fn pull_all(&mut self, now: Duration, from: SocketAddrV4) {
        self.pull_since(now, from, revision::Revision::START);
    }

    fn pull_since(&mut self, now: Duration, from: SocketAddrV4, since: revision::Revision) {
        self.pulled_at = Some(now);
        let pull = message::Pull {
            since,
            version: self.catalog.configuration().version,
            removed: self.lacks_removed(now),
        };
        self.actions.push(Action::Pull { from, pull });
    }

    /// Records a peer that has more than this process as the source of the next pull. Peers of this
    /// zone are preferred, since a fetch can be large; one of another zone is used when this process
    /// has been behind for [`ZONE_GRACE`].
    pub(super) fn record_newer_peer(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        heartbeat: &message::Heartbeat,
    ) {
        let offer = Offer {
            from,
            as_of: heartbeat.as_of,
            version: heartbeat.version,
            removal_history_ms: heartbeat.removal_history_ms,
        };
        let zone = &self.fleet.me().zone;
        let may_use_remote = self.fleet.live(now, zone).next().is_none() || self.is_lagging(now);
        let lacks_removed = self.has_shorter_history(now, heartbeat.removal_history_ms);
        if heartbeat.sender.zone == *zone || lacks_removed || may_use_remote {
            self.update_pull_source(now, offer);
        } else if self
            .remote_source
            .is_none_or(|it| !self.lacks(now, &it.offer))
        {
            self.remote_source = Some(PullSource { offer, since: now });
        }
    }

    /// Uses a peer of another zone when the peers of this zone have not supplied in time what it has.
    fn use_remote_source(&mut self, now: Duration) {
        let Some(source) = self.remote_source else {
            return;
        };
        if !self.lacks(now, &source.offer) {
            self.remote_source = None;
        } else if now >= source.since + ZONE_GRACE && self.pull_source.is_none() {
            self.log(Event::ZoneBehind {
                from: source.offer.from,
                as_of: source.offer.as_of,
            });
            self.remote_source = None;
            self.pull_source = Some(source);
        }
    }

    /// Returns the time for which removed targets have been recorded, in milliseconds.
    pub(super) fn removal_history_ms(&self, now: Duration) -> u32 {
        let since = self.removals_known_since;
        since.map_or(0, |since| millis(Some(now.saturating_sub(since))))
    }

    /// Returns whether a peer's removal history of `reported_ms` reaches back further than that of
    /// this process.
    pub(super) fn has_shorter_history(&self, now: Duration, reported_ms: u32) -> bool {
        let reported = Duration::from_millis(reported_ms.into()).min(catalog::REMOVED_RETENTION);
        let own = Duration::from_millis(self.removal_history_ms(now).into());
        self.catalog.is_usable() && reported > own + HISTORY_MARGIN
    }

    fn lacks_removed(&self, now: Duration) -> bool {
        let pull_source = self.pull_source;
        !self.catalog.is_usable()
            || pull_source
                .is_some_and(|it| self.has_shorter_history(now, it.offer.removal_history_ms))
    }

    /// Returns whether the process has been behind a chosen source for longer than peers of its zone
    /// need to supply changes.
    pub(super) fn is_lagging(&self, now: Duration) -> bool {
        self.pull_source
            .is_some_and(|it| now >= it.since + ZONE_GRACE)
    }

    pub(super) fn update_pull_source(&mut self, now: Duration, offer: Offer) {
        let known = self.pull_source;
        let since = known.map_or(now, |it| it.since);
        let lacks_removed = self.has_shorter_history(now, offer.removal_history_ms);
        let is_newer = |it: &Offer| (offer.as_of, offer.version) >= (it.as_of, it.version);
        if known.is_none_or(|it| is_newer(&it.offer) || lacks_removed) {
            self.pull_source = Some(PullSource { offer, since });
        }
    }

    /// Answers a peer's request for records.
    pub fn answer_pull(&self, now: Duration, pull: &message::Pull) -> message::Pulled {
        let as_of = self.catalog.as_of();
        let complete = pull.since == revision::Revision::START
            || pull.since < self.catalog.complete_since()
            || pull.since.era > as_of.era;
        let since = match complete {
            true => revision::Revision::START,
            false => pull.since,
        };
        let mut records = self.catalog.records_since(now, since);
        let has_configuration = records
            .iter()
            .any(|it| it.key == record::Key::Configuration);
        if self.catalog.configuration().version > pull.version && !has_configuration {
            records.extend(self.catalog.records(now, [record::Key::Configuration]));
        }
        if pull.removed && !complete {
            // A process that has just read the store does not know what the store has lost.
            let unconfirmed: Vec<_> = self.catalog.unconfirmed().collect();
            records.extend(self.catalog.records(now, unconfirmed));
            records.extend(self.catalog.removed_until(now, since));
        }
        message::Pulled {
            complete,
            changes: message::Changes {
                since,
                as_of,
                records,
                patch: None,
            },
            removal_history: pull.removed.then(|| message::RemovalHistory {
                complete_since: self.catalog.complete_since(),
                length_ms: self.removal_history_ms(now),
            }),
            confirmed_ms: millis(self.age(now)),
        }
    }

    /// Merges the records that a peer returned to a request made at `started`.
    pub fn pulled(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        started: Duration,
        pulled: message::Pulled,
    ) {
        let (since, as_of) = (pulled.changes.since, pulled.changes.as_of);
        if as_of == revision::Revision::START {
            return;
        }
        let records = pulled.changes.records;
        let changes = if pulled.complete {
            self.catalog.replace(now, as_of, records)
        } else {
            self.catalog.apply_changes(now, since, as_of, records)
        };
        if let Some(history) = pulled.removal_history {
            self.merge_removal_history(now, as_of, &history);
        }
        if !changes.is_empty() {
            self.log(Event::Pulled { from, as_of });
        }
        self.handle_catalog_changes(now, changes);
        if as_of <= self.catalog.as_of() {
            let age = Duration::from_millis(pulled.confirmed_ms.into());
            if let Some(at) = started.checked_sub(age) {
                self.confirm(at);
            }
        }
        self.relay_pending();
    }

    /// Merges the knowledge of removed targets of a peer that has every change up to `as_of`.
    fn merge_removal_history(
        &mut self,
        now: Duration,
        as_of: revision::Revision,
        history: &message::RemovalHistory,
    ) {
        let length = Duration::from_millis(history.length_ms.into());
        let since = now.checked_sub(length);
        self.removals_known_since = match (self.removals_known_since, since) {
            (Some(own), Some(reported)) => Some(own.min(reported)),
            (own, reported) => own.or(reported),
        };
        // Between the peer's last change and the first one here, nobody has recorded removals.
        if as_of >= self.catalog.complete_since() {
            self.catalog.merge_complete_since(history.complete_since);
        }
    }
}
