//! Heartbeats, and dispatch of messages from peers.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use super::{
    HEARTBEAT_PERIOD,
    JOINING_HEARTBEAT_PERIOD,
    Machine,
    millis, //
};
use crate::{
    message,
    revision, //
};

impl Machine {
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        let joining = self.fleet.is_joining(now);
        let period = if joining {
            JOINING_HEARTBEAT_PERIOD
        } else {
            HEARTBEAT_PERIOD
        };
        self.heartbeat_at = now + period;
        let heartbeat = self.heartbeat(now);
        let to = self.fleet.recipients(now);
        self.send(to, message::Message::Heartbeat(heartbeat));
    }

    pub(super) fn heartbeat(&mut self, now: Duration) -> message::Heartbeat {
        message::Heartbeat {
            sender: self.fleet.me().clone(),
            joining: self.fleet.is_joining(now),
            leaving: self.leaving,
            as_of: self.catalog.as_of(),
            version: self.catalog.configuration().version,
            removal_history_ms: self.removal_history_ms(now),
            confirmed_ms: millis(self.age(now)),
            reader_ms: self.reader_ms(now),
            members: self.fleet.gossip(now),
            paths: self.paths.reports(now, &self.fleet.me().zone.clone()),
        }
    }

    /// Sends a joining process the members, and a heartbeat that shows which part of the register
    /// it can fetch here.
    pub(super) fn send_introduction(&mut self, now: Duration, to: SocketAddrV4) {
        let members = message::Message::Members(self.fleet.introduction(now));
        let heartbeat = message::Message::Heartbeat(self.heartbeat(now));
        for message in [members, heartbeat] {
            self.send(vec![to], message);
        }
    }

    /// Returns the time since the store last answered a reader of this zone. In a zone whose members
    /// all hear each other, only a reader says so: what the others repeat would look to the reader
    /// like a second one.
    fn reader_ms(&self, now: Duration) -> u32 {
        let own = self.reader.silence(now).filter(|_| !self.leaving);
        let is_relayed = self.fleet.relay_delay() > Duration::ZERO;
        let heard = self.reader_at.map(|at| now.saturating_sub(at));
        millis(own.or(heard.filter(|_| is_relayed)))
    }

    /// Handles a message from a peer.
    pub fn receive(&mut self, now: Duration, from: SocketAddrV4, message: message::Message) {
        match message {
            message::Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, &heartbeat),
            message::Message::Members(members) => {
                for member in members {
                    self.fleet.merge_member(now, &member);
                }
            }
            message::Message::Push(push) => self.handle_push(now, from, push),
            message::Message::Failure(failure) => self.handle_failure(now, from, &failure),
            message::Message::Alive(alive) => self.handle_alive(now, &alive),
            message::Message::Path(path) => self.handle_path(now, from, &path),
            message::Message::Ping(pinged_ms) => {
                self.send(vec![from], message::Message::Pong(pinged_ms));
            }
            message::Message::Pong(pinged_ms) => {
                self.handle_pong(now, from, Duration::from_millis(pinged_ms));
            }
        }
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        heartbeat: &message::Heartbeat,
    ) {
        self.fleet.merge_heartbeat(now, heartbeat);
        for path in &heartbeat.paths {
            self.handle_path(now, from, path);
        }
        self.ping_if_cut(now, from, &heartbeat.sender.zone);
        if heartbeat.joining && !self.leaving {
            self.send_introduction(now, from);
        }
        if heartbeat.sender.zone == self.fleet.me().zone && !heartbeat.leaving {
            let at = now.checked_sub(Duration::from_millis(heartbeat.reader_ms.into()));
            self.reader_at = self.reader_at.max(at);
        }
        if heartbeat.as_of == revision::Revision::START {
            return;
        }
        if heartbeat.as_of > self.catalog.as_of()
            || heartbeat.version > self.catalog.configuration().version
            || self.has_shorter_history(now, heartbeat.removal_history_ms)
        {
            self.record_newer_peer(now, from, heartbeat);
        }
        if heartbeat.as_of <= self.catalog.as_of() {
            self.merge_confirmation(now, heartbeat.confirmed_ms);
        }
    }

    /// Adopts a peer's confirmation that the register is current. This does not end the wait after
    /// a pause, since the message may have waited in a buffer.
    pub(super) fn merge_confirmation(&mut self, now: Duration, confirmed_ms: u32) {
        let at = now.checked_sub(Duration::from_millis(confirmed_ms.into()));
        self.confirmed_at = self.confirmed_at.max(at);
    }
}
