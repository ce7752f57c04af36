//! Join: a starting process obtains the revision and the members of its peers before it serves.

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

/// Time without an answer of a peer after which a joining process continues alone.
const JOIN_ALONE_AFTER: Duration = Duration::from_secs(2);

/// Jitter of the first read of the register, for a whole fleet that starts at once.
const JOIN_READ_JITTER: Duration = Duration::from_secs(3);

/// Time after which the join ends even if the revision of the peers could not be fetched.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum interval between introductions to known peers or in a large fleet.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(500);

/// Members in an introduction; it fits into one datagram.
const MAX_INTRODUCED: usize = 8;

impl Machine {
    /// Holds back a register of the platform until peers have reported their revision.
    pub(super) fn hold_register(&mut self, now: Duration, register: Arc<model::Register>) {
        self.contact.held_register = Some(register);
        self.advance_join(now);
    }

    /// Sends the local entry and known members to another joining process. Processes that start
    /// together know each other before the first of them serves, so that they agree on the owners
    /// of targets from the first flow on.
    ///
    /// Each of the first few processes gets an answer. Later ones are rate-limited to protect the
    /// control budget, as heartbeats delayed by introductions would cause suspicions.
    pub(super) fn send_introduction(&mut self, now: Duration, to: SocketAddr) {
        let is_known = self.table.live().any(|member| member.peer == to);
        let is_full = self.table.live().count() >= MAX_INTRODUCED;
        if (is_known || is_full) && now < self.next_introduction {
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

    /// Merges pushed member entries. A joining process introduces itself to a sender that it did
    /// not know.
    pub(super) fn handle_members(
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

    /// Completes the join once the revision and the members of the peers are known, or a timeout
    /// has passed.
    pub(super) fn advance_join(&mut self, now: Duration) {
        let waited = now.saturating_sub(self.started_at);
        let alone = waited >= JOIN_ALONE_AFTER && !self.contact.peer_answered;
        let ready = self.contact.peer_answered || alone;
        if let Some(register) = self.contact.held_register.take_if(|_| ready) {
            self.accept_if_newer(now, register);
            // Without peers, only the platform can confirm the register.
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
