//! Acceptance and spreading of registers.

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

/// Largest control frame; with envelope and headers it fits into a datagram of 1,200 bytes.
const MAX_FRAME_BYTES: usize = 1_100;

/// A push of changes costs at most this; above, peers are told the revision and those who are
/// behind pull. One second of the control budget.
const MAX_PUSH_BYTES: usize = 2_048;

/// Peers of the own zone that a new register is pushed to.
const FAN_OUT_ZONE: usize = 3;

/// Peers of each other zone that a reader pushes a new register to.
const FAN_OUT_OTHER: usize = 2;

/// Least time between two pushes; changes in between are pushed as one, unless they take a zone
/// out or return it.
const PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Registers kept to compute changes from.
const HISTORY: usize = 8;

/// Time after which an unanswered pull is repeated at the next opportunity.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which another snapshot may be fetched.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Refusals kept for the state dump.
const MAX_REFUSED: usize = 8;

/// Register in effect and what is known of others.
#[derive(Debug)]
pub(super) struct Configuration {
    pub(super) register: Arc<model::Register>,
    pub(super) version: Version,
    pub(super) since: Duration,
    /// Highest revision seen from the platform or a peer.
    pub(super) highest: u64,
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
            since: Duration::ZERO,
            highest: 0,
            refused: VecDeque::new(),
            history: VecDeque::new(),
            pull_until: Duration::ZERO,
            fetch_until: Duration::ZERO,
            next_push: Duration::ZERO,
        }
    }

    /// True when a higher revision than the one in effect is known.
    pub(super) fn behind(&self) -> bool {
        self.highest > self.version.revision
    }
}

impl Machine {
    /// Takes `register` into effect when it is newer than everything seen, else refuses it.
    pub(super) fn offer(&mut self, now: Duration, register: Arc<model::Register>) -> bool {
        let version = delta::version(&register);
        let held = self.configuration.version;
        if version == held {
            return false;
        }
        if version.revision == held.revision {
            self.refuse_conflict(now, version);
            return false;
        }
        if version.revision < self.configuration.highest {
            let reason = format!(
                "revision {} was already seen; publish with a higher revision",
                self.configuration.highest
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
        state.highest = version.revision;
        state.since = now;
        state.pull_until = now;
        state.history.push_back((base, old.clone()));
        if state.history.len() > HISTORY {
            state.history.pop_front();
        }
        self.view_stale = true;
        self.counters.accepted += 1;
        self.log(Event::Accepted {
            revision: version.revision,
        });
        if base.revision > 0 {
            self.unpushed.get_or_insert((base, old));
            self.push(now);
        }
        self.ask_confirmation_soon(now);
    }

    /// Pushes the change since the last push to peers of the zone, as a reader also to the other
    /// zones.
    pub(super) fn push(&mut self, now: Duration) {
        let Some((base, old)) = self.unpushed.take() else {
            return;
        };
        let priority = delta::priority(&old, &self.configuration.register);
        let waits = now < self.configuration.next_push;
        if waits && priority != budget::Priority::ZoneOut {
            self.unpushed = Some((base, old));
            return;
        }
        self.configuration.next_push = now + PUSH_INTERVAL;
        let zone = self.config.me.zone.clone();
        let mut peers = self.sample(FAN_OUT_ZONE, |member| member.zone == zone);
        if self.reads(now) {
            for other in self.other_zones.clone() {
                peers.extend(self.sample(FAN_OUT_OTHER, |member| member.zone == other));
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

    /// Takes note of a version that a peer holds; pulls it when it is newer.
    pub(super) fn note_version(&mut self, now: Duration, from: SocketAddr, version: Version) {
        let state = &mut self.configuration;
        state.highest = state.highest.max(version.revision);
        if version.revision == state.version.revision && version != state.version {
            self.refuse_conflict(now, version);
            return;
        }
        let newer = version.revision > state.version.revision;
        if newer && now >= state.pull_until.max(state.fetch_until) {
            state.pull_until = now + PULL_TIMEOUT;
            let have = state.version;
            self.send_with(
                from,
                budget::Priority::Configuration,
                Message::Pull { have },
            );
        }
    }

    /// Answers a `Pull` with the change, or offers the whole register.
    pub(super) fn answer_configuration(&mut self, to: SocketAddr, have: Version) {
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

    /// Applies a change that a peer sent.
    pub(super) fn take_delta(&mut self, now: Duration, from: SocketAddr, change: &control::Delta) {
        let state = &self.configuration;
        if change.base != state.version {
            self.note_version(now, from, change.version);
            return;
        }
        match delta::apply(&state.register, state.version, change) {
            Ok(register) => {
                self.offer(now, Arc::new(register));
            }
            Err(delta::Error::Result) => self.take_offer(now, from, change.version),
            Err(delta::Error::Base) => {}
        }
    }

    /// Fetches the whole register from a peer that offers a newer one.
    pub(super) fn take_offer(&mut self, now: Duration, from: SocketAddr, version: Version) {
        let state = &mut self.configuration;
        state.highest = state.highest.max(version.revision);
        if version.revision > state.version.revision && now >= state.fetch_until {
            state.fetch_until = now + FETCH_TIMEOUT;
            self.actions.push_back(Action::FetchSnapshot { from });
        }
    }

    /// Handles the end of a fetch; `None` when it failed.
    pub(super) fn fetched(&mut self, now: Duration, register: Option<Arc<model::Register>>) {
        self.configuration.fetch_until = now;
        self.configuration.pull_until = now;
        if let Some(register) = register {
            self.offer(now, register);
        }
    }

    fn refuse_conflict(&mut self, now: Duration, version: Version) {
        let reason = format!(
            "revision {} is in effect with other content; publish with a higher revision",
            version.revision
        );
        self.refuse(now, version, reason);
    }

    /// Reports a refused register, once for each version and reason.
    pub(super) fn refuse(&mut self, now: Duration, version: Version, reason: String) {
        let refused = &mut self.configuration.refused;
        let known = |old: &status::Refusal| {
            (old.revision, old.digest) == (version.revision, version.digest) && old.reason == reason
        };
        if refused.iter().any(known) {
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

/// Size of a message in a frame.
pub(super) fn encoded_bytes(message: &Message) -> usize {
    let frame = frame::Frame::Control(message.clone());
    postcard::to_stdvec(&frame).map_or(usize::MAX, |encoded| encoded.len())
}
