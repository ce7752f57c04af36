//! Start of the process: peers are asked for their revision before it serves.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::control::{
    Member,
    Message, //
};

use super::{
    Machine,
    contact, //
};

/// A joining process that no peer answered goes on alone.
const JOIN_ALONE_AFTER: Duration = Duration::from_secs(2);

/// Spread of the first reads of the register when a whole fleet starts at once.
const JOIN_READ_JITTER: Duration = Duration::from_secs(3);

/// A joining process goes on although it cannot get the revision that peers hold.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Least time between two introductions.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(500);

/// Members in one introduction; it fits one datagram.
const MAX_INTRODUCED: usize = 8;

impl Machine {
    /// Keeps an answer of the platform until peers have told their revision.
    pub(super) fn hold_register(&mut self, now: Duration, register: Arc<model::Register>) {
        self.contact.held_register = Some(register);
        self.advance_join(now);
    }

    /// Tells another joining process of this one and of the members it knows. Processes that start
    /// together know each other before the first of them serves, so that they agree on the owners
    /// of targets from the first flow on.
    ///
    /// Each of the first few processes gets an answer; later ones at a rate that spares the control
    /// budget, as heartbeats that wait behind introductions would cause suspicions.
    pub(super) fn send_introduction(&mut self, now: Duration, to: SocketAddr) {
        let known = self.table.live().any(|member| member.peer == to);
        let is_full = self.table.live().count() >= MAX_INTRODUCED;
        if (known || is_full) && now < self.next_introduction {
            return;
        }
        self.next_introduction = now + INTRODUCTION_INTERVAL;
        self.introduced = true;
        let known = self.table.live().take(MAX_INTRODUCED).cloned();
        let members = std::iter::once(self.config.me.clone())
            .chain(known)
            .collect();
        self.send(to, Message::Members { members });
    }

    /// Handles member entries; a joining process introduces itself to one that it did not know.
    pub(super) fn handle_introduction(
        &mut self,
        now: Duration,
        from: &str,
        address: SocketAddr,
        members: &[Member],
    ) {
        let is_new = !self.joined && self.table.get(from).is_none();
        for member in members {
            self.merge_and_queue(now, member);
        }
        if is_new {
            self.send_introduction(now, address);
        }
    }

    /// Ends the joining once the revision of the peers is in effect.
    pub(super) fn advance_join(&mut self, now: Duration) {
        let waited = now.saturating_sub(self.started_at);
        let alone = waited >= JOIN_ALONE_AFTER && !self.contact.peer_answered;
        let ready = self.contact.peer_answered || alone;
        if let Some(register) = self.contact.held_register.take_if(|_| ready) {
            self.accept_if_newer(now, register);
            // Without any peer the platform's answer is the only confirmation there is.
            if alone && self.configuration.version.revision > 0 {
                self.set_confirmed();
            }
        }
        if waited >= contact::PLATFORM_READ_AFTER && self.contact.held_register.is_none() {
            self.schedule_read(now, JOIN_READ_JITTER);
        }
        let current = self.contact.peer_answered
            && !self.configuration.is_behind()
            && self.has_member_table();
        if current || alone || waited >= JOIN_TIMEOUT {
            self.joined = true;
            self.contact.unconfirmed_since = now;
            self.contact.next_request = now;
            if current {
                self.set_confirmed();
            }
            self.announce(now);
            for address in self.candidate_addresses(3) {
                let sender = self.config.me.clone();
                self.send(
                    address,
                    Message::Members {
                        members: vec![sender],
                    },
                );
            }
        }
    }
}
