//! Acceptance and dissemination of registers.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::{
    control::{
        self,
        Message,
        Version, //
    },
    frame, //
};

use super::{
    Action,
    Event,
    Machine,
    status, //
};
use crate::{
    budget,
    delta, //
};

/// Maximum size of a control frame; with envelope and headers it fits into a datagram of 1,200
/// bytes.
const MAX_FRAME_BYTES: usize = 1_100;

/// Maximum cost of pushing a change to all chosen peers, one second of the control budget. Above
/// it, peers get only the revision, and those behind pull the change.
const MAX_PUSH_BYTES: usize = 2_048;

/// Peers of the local zone that receive a push.
const FAN_OUT_OWN_ZONE: usize = 3;

/// Peers of each other zone that receive a push from a reader.
const FAN_OUT_OTHER_ZONE: usize = 2;

/// Minimum interval between pushes. Changes in between are combined into one push, except those
/// that take a zone out of service or return it.
const PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Previous registers kept as a base for deltas.
const MAX_HISTORY: usize = 8;

/// Time after which an unanswered pull may be repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which another snapshot may be fetched.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Refusals kept for the state dump.
const MAX_REFUSED: usize = 8;

/// Register in effect, its history and what is known of newer revisions.
#[derive(Debug)]
pub(super) struct Configuration {
    pub(super) register: Arc<model::Register>,
    pub(super) version: Version,
    pub(super) accepted_at: Duration,
    /// Latest version seen from the platform or a peer; the first one seen of its revision.
    pub(super) latest: Version,
    pub(super) refused: VecDeque<status::Refusal>,
    history: VecDeque<(Version, Arc<model::Register>)>,
    pull_until: Duration,
    fetch_until: Duration,
    next_push: Duration,
}

impl Configuration {
    pub(super) fn new() -> Self {
        let register = Arc::new(model::Register::empty());
        Self {
            version: delta::version(&register),
            register,
            accepted_at: Duration::ZERO,
            latest: Version::default(),
            refused: VecDeque::new(),
            history: VecDeque::new(),
            pull_until: Duration::ZERO,
            fetch_until: Duration::ZERO,
            next_push: Duration::ZERO,
        }
    }

    /// Returns true when a revision above the one in effect is known.
    pub(super) fn is_behind(&self) -> bool {
        self.latest.revision > self.version.revision
    }

    fn record(&mut self, version: Version) {
        if version.revision > self.latest.revision {
            self.latest = version;
        }
    }
}

impl Machine {
    /// Puts `register` into effect and returns true when it is newer than the one held and no
    /// higher revision has been seen. Refuses any other, except the one in effect.
    pub(super) fn accept_if_newer(
        &mut self,
        now: Duration,
        register: Arc<model::Register>,
    ) -> bool {
        let version = delta::version(&register);
        let held = self.configuration.version;
        if version == held {
            return false;
        }
        let latest = self.configuration.latest;
        if [held, latest]
            .iter()
            .any(|it| it.revision == version.revision && *it != version)
        {
            self.refuse_conflict(now, version);
            return false;
        }
        if version.revision < latest.revision {
            let reason = format!(
                "revision {} was already seen; publish with a higher revision",
                latest.revision
            );
            self.refuse(now, version, reason);
            return false;
        }
        self.accept(now, register, version);
        true
    }

    fn accept(&mut self, now: Duration, register: Arc<model::Register>, version: Version) {
        let state = &mut self.configuration;
        let old = std::mem::replace(&mut state.register, register);
        let base = std::mem::replace(&mut state.version, version);
        state.latest = version;
        state.accepted_at = now;
        state.pull_until = now;
        state.history.push_back((base, old.clone()));
        if state.history.len() > MAX_HISTORY {
            state.history.pop_front();
        }
        self.view_stale = true;
        self.counters.accepted += 1;
        self.log(Event::Accepted {
            revision: version.revision,
        });
        if base.revision > 0 {
            self.unpushed.get_or_insert((base, old));
            self.push_register(now);
        }
        self.request_confirmation_now(now);
    }

    /// Pushes the changes since the last push to peers of the local zone and, from a reader, to the
    /// other zones.
    pub(super) fn push_register(&mut self, now: Duration) {
        let Some((base, old)) = self.unpushed.take() else {
            return;
        };
        let priority = delta::priority(&old, &self.configuration.register);
        let too_soon = now < self.configuration.next_push;
        if too_soon && priority != budget::Priority::ZoneOut {
            self.unpushed = Some((base, old));
            return;
        }
        self.configuration.next_push = now + PUSH_INTERVAL;
        let zone = self.config.me.zone.clone();
        let mut peers = self.sample(FAN_OUT_OWN_ZONE, |member| member.zone == zone);
        if self.watches_platform(now) {
            for other in self.other_zones.clone() {
                peers.extend(self.sample(FAN_OUT_OTHER_ZONE, |member| member.zone == other));
            }
        }
        let state = &self.configuration;
        let (version, new) = (state.version, state.register.clone());
        let mut message = Message::Delta(delta::diff(&old, base, &new, version));
        let bytes = encoded_bytes(&message);
        if bytes > MAX_FRAME_BYTES || bytes * peers.len() > MAX_PUSH_BYTES {
            message = Message::Revision { version };
        }
        for peer in peers {
            self.send_with(peer.peer, priority, message.clone());
        }
    }

    /// Records the version held by a peer and pulls it when it is newer.
    pub(super) fn handle_version(&mut self, now: Duration, from: SocketAddr, version: Version) {
        let state = &mut self.configuration;
        state.record(version);
        if version.revision == state.version.revision && version != state.version {
            self.refuse_conflict(now, version);
            return;
        }
        let is_newer = version.revision > state.version.revision;
        if is_newer && now >= state.pull_until.max(state.fetch_until) {
            state.pull_until = now + PULL_TIMEOUT;
            let have = state.version;
            self.send_with(
                from,
                budget::Priority::Configuration,
                Message::Pull { have },
            );
        }
    }

    /// Answers a `Pull` with a delta, or offers the whole register when no delta from that version
    /// is available or it is too large.
    pub(super) fn answer_register_pull(&mut self, to: SocketAddr, have: Version) {
        let state = &self.configuration;
        let version = state.version;
        if have.revision >= version.revision {
            return;
        }
        let base = state.history.iter().find(|(base, _)| *base == have);
        let mut priority = budget::Priority::Configuration;
        let mut message = Message::Offer { version };
        if let Some((base, old)) = base.filter(|(base, _)| base.revision > 0) {
            let change = Message::Delta(delta::diff(old, *base, &state.register, version));
            priority = delta::priority(old, &state.register);
            if encoded_bytes(&change) <= MAX_FRAME_BYTES {
                message = change;
            }
        }
        self.send_with(to, priority, message);
    }

    /// Applies a delta of a peer.
    pub(super) fn apply_delta(&mut self, now: Duration, from: SocketAddr, change: &control::Delta) {
        let state = &self.configuration;
        if change.base != state.version {
            self.handle_version(now, from, change.version);
            return;
        }
        match delta::apply(&state.register, state.version, change) {
            Ok(register) => {
                self.accept_if_newer(now, Arc::new(register));
            }
            Err(delta::Error::Result) => self.handle_offer(now, from, change.version),
            Err(delta::Error::Base) => {}
        }
    }

    /// Fetches the whole register from a peer that offers a newer one.
    pub(super) fn handle_offer(&mut self, now: Duration, from: SocketAddr, version: Version) {
        let state = &mut self.configuration;
        state.record(version);
        if version.revision > state.version.revision && now >= state.fetch_until {
            state.fetch_until = now + FETCH_TIMEOUT;
            self.actions.push_back(Action::FetchSnapshot { from });
        }
    }

    /// Completes a fetch; `register` is `None` when it failed.
    pub(super) fn finish_fetch(&mut self, now: Duration, register: Option<Arc<model::Register>>) {
        self.configuration.fetch_until = now;
        self.configuration.pull_until = now;
        if let Some(register) = register {
            self.accept_if_newer(now, register);
        }
    }

    fn refuse_conflict(&mut self, now: Duration, version: Version) {
        let reason = format!(
            "revision {} is in effect with other content; publish with a higher revision",
            version.revision
        );
        self.refuse(now, version, reason);
    }

    /// Records and logs a refused register, once for each version and reason.
    pub(super) fn refuse(&mut self, now: Duration, version: Version, reason: String) {
        let refused = &mut self.configuration.refused;
        let is_reported = |old: &status::Refusal| {
            (old.revision, old.digest) == (version.revision, version.digest) && old.reason == reason
        };
        if refused.iter().any(is_reported) {
            return;
        }
        refused.push_back(status::Refusal {
            revision: version.revision,
            digest: version.digest,
            reason: reason.clone(),
            at: now,
        });
        if refused.len() > MAX_REFUSED {
            refused.pop_front();
        }
        self.counters.refused += 1;
        self.log(Event::Rejected {
            revision: version.revision,
            reason,
        });
    }
}

/// Returns the encoded size of a message in its frame.
pub(super) fn encoded_bytes(message: &Message) -> usize {
    let frame = frame::Frame::Control(message.clone());
    postcard::to_stdvec(&frame).map_or(usize::MAX, |encoded| encoded.len())
}
