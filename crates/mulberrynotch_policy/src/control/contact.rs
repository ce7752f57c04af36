//! Start, pauses and isolation: when the revision in effect counts as confirmed.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::control::{
    Message,
    State,
    Version, //
};

use super::{
    Event,
    Machine, //
};
use crate::{
    budget,
    delta, //
};

/// A process that did not run for longer may have missed any change.
pub(super) const PAUSE: Duration = Duration::from_secs(1);

/// Work in the own zone waits at most this long for a confirmation.
const OWN_ZONE_WAIT: Duration = Duration::from_millis(500);

/// Peers that a joining process asks at a time; with the answers it stays within the control budget.
const JOIN_FAN_OUT: usize = 3;

/// Time between requests for a confirmation.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Without a confirmation by peers for this long, the platform is asked too.
pub(super) const ASK_PLATFORM_AFTER: Duration = Duration::from_millis(600);

/// Spread of reads of the platform by unconfirmed processes, shortest and longest: many processes
/// pause together when their host does.
const READ_WITHIN: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(30));

/// Suspicions that are older do not hint at a zone that is cut off.
const RECENT: Duration = Duration::from_secs(3);

/// Members of a zone that are asked for a sign of life.
const ZONE_FAN_OUT: usize = 3;

/// A zone none of whose members answers for this long is out of contact.
const ZONE_TIMEOUT: Duration = Duration::from_millis(600);

/// Least time between two zones that are asked, so that the loss of many zones at once, or of none,
/// costs less than a quarter of the control budget.
const ZONE_ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Time between attempts to reach a zone that is out of contact.
const ZONE_RETRY: Duration = Duration::from_secs(1);

/// Spread of reads of the platform after a zone was lost, so that a whole fleet does not read at
/// once.
const ZONE_READ_WITHIN: Duration = Duration::from_secs(4);

/// What is known of the contact with peers.
#[derive(Debug, Default)]
pub(super) struct Contact {
    pub(super) confirmed: bool,
    pub(super) own_zone_ready: bool,
    pub(super) unconfirmed_since: Duration,
    pub(super) next_ask: Duration,
    /// Starts at random and grows with each pause and each loss of a zone.
    pub(super) nonce: u64,
    /// Answers to lower nonces are from before the last pause and confirm nothing.
    pub(super) valid_from: u64,
    next_zone_ask: Duration,
    zones: BTreeMap<Arc<str>, Zone>,
    pub(super) heard_peer: bool,
    pub(super) held: Option<Arc<model::Register>>,
}

/// Contact with another zone.
#[derive(Debug, Default)]
struct Zone {
    heard_at: Duration,
    asked_at: Option<Duration>,
    lost: bool,
    /// Answers to lower nonces are from before the loss.
    valid_from: u64,
    next_ask: Duration,
    /// A heartbeat arrived since the loss.
    returns: bool,
}

impl Machine {
    /// Notices that the process did not run for a while.
    pub(super) fn observe(&mut self, now: Duration) {
        let late = now.saturating_sub(self.last_run);
        self.last_run = self.last_run.max(now);
        if late > PAUSE {
            self.paused(now, late);
        }
    }

    /// Doubts the own view after a pause.
    pub(super) fn paused(&mut self, now: Duration, late: Duration) {
        self.counters.pauses += 1;
        self.log(Event::Paused { late });
        self.doubt(now);
        self.heartbeat.forget();
        self.restart_suspicions(now);
        if self.joined && !self.left {
            self.config.me.incarnation += 1;
            self.announce(now);
        }
    }

    fn doubt(&mut self, now: Duration) {
        let contact = &mut self.contact;
        contact.confirmed = false;
        contact.own_zone_ready = false;
        contact.unconfirmed_since = now;
        contact.next_ask = now;
        for zone in contact.zones.values_mut() {
            zone.asked_at = None;
        }
        contact.nonce += 1;
        contact.valid_from = contact.nonce;
        self.flags_stale = true;
    }

    /// Asks for confirmations and for signs of life, and ends waits that are over.
    pub(super) fn check_contact(&mut self, now: Duration) {
        if !self.joined {
            self.join(now);
        }
        if !self.contact.confirmed {
            self.seek_confirmation(now);
        }
        if self.joined {
            self.check_zones(now);
        }
    }

    fn seek_confirmation(&mut self, now: Duration) {
        let waited = now.saturating_sub(self.contact.unconfirmed_since);
        if self.joined && waited >= OWN_ZONE_WAIT && !self.contact.own_zone_ready {
            self.contact.own_zone_ready = true;
            self.flags_stale = true;
        }
        if now < self.contact.next_ask {
            return;
        }
        self.contact.next_ask = now + ASK_INTERVAL;
        if waited >= ASK_PLATFORM_AFTER {
            // Slower the longer it lasts.
            self.contact.next_ask = now + (waited / 4).min(Duration::from_secs(10));
            self.want_read(now, (waited / 4).clamp(READ_WITHIN.0, READ_WITHIN.1));
        }
        let addresses = if self.joined {
            self.confirmers()
        } else {
            self.contacts(JOIN_FAN_OUT)
        };
        self.ask(&addresses, budget::Priority::Membership);
    }

    /// Peers that a process in doubt asks.
    fn confirmers(&mut self) -> Vec<SocketAddr> {
        let zone = self.config.me.zone.clone();
        let own = self.sample(3, |member| member.zone == zone);
        let other = self.sample(2, |member| member.zone != zone);
        let peers = own.iter().chain(&other).map(|member| member.peer);
        let addresses: Vec<SocketAddr> = peers.collect();
        if addresses.is_empty() {
            return self.candidates(3);
        }
        addresses
    }

    fn ask(&mut self, addresses: &[SocketAddr], priority: budget::Priority) {
        let nonce = self.contact.nonce;
        let have = self.configuration.version;
        for address in addresses {
            let message = Message::Confirm { nonce, have };
            self.send_with(*address, priority, message);
        }
    }

    /// Asks again right after a register was accepted.
    pub(super) fn ask_confirmation_soon(&mut self, now: Duration) {
        if !self.contact.confirmed {
            self.contact.next_ask = now;
        }
    }

    /// Answers a peer that asks for a confirmation, unless the own view is in doubt.
    pub(super) fn confirm(&mut self, now: Duration, to: SocketAddr, nonce: u64, have: Version) {
        self.note_version(now, to, have);
        if !self.joined && have.revision == 0 {
            self.introduce(now, to);
        }
        if self.joined && (self.contact.confirmed || self.contact.own_zone_ready) {
            let version = self.configuration.version;
            let message = Message::Confirmed { nonce, version };
            self.send(to, message);
        }
    }

    /// Handles the answer of a peer.
    pub(super) fn confirmed(
        &mut self,
        now: Duration,
        from: &str,
        address: SocketAddr,
        nonce: u64,
        version: Version,
    ) {
        if !(self.contact.valid_from..=self.contact.nonce).contains(&nonce) {
            return;
        }
        self.contact.heard_peer = true;
        self.note_version(now, address, version);
        if version != self.configuration.version || self.configuration.behind() {
            return;
        }
        if self.joined {
            self.set_confirmed();
        }
        let zone = self.table.get(from).map(|member| member.zone.clone());
        let state = zone.and_then(|zone| self.contact.zones.get_mut(&zone));
        if let Some(state) = state.filter(|state| nonce >= state.valid_from) {
            state.heard_at = now;
            state.asked_at = None;
            self.flags_stale |= state.lost;
            state.lost = false;
        }
    }

    /// Takes the platform's answer for a confirmation when it is the register in effect.
    pub(super) fn confirmed_by_platform(&mut self, now: Duration, register: &model::Register) {
        if delta::version(register) != self.configuration.version || !self.joined {
            return;
        }
        self.set_confirmed();
        // A zone without any live member cannot answer itself.
        let alive: BTreeSet<Arc<str>> = self.table.live().map(|m| m.zone.clone()).collect();
        for (name, zone) in &mut self.contact.zones {
            if zone.lost && !alive.contains(name) {
                zone.lost = false;
                zone.heard_at = now;
                zone.asked_at = None;
                self.flags_stale = true;
            }
        }
    }

    pub(super) fn set_confirmed(&mut self) {
        self.flags_stale |= !self.contact.confirmed;
        self.contact.confirmed = true;
        self.contact.own_zone_ready = true;
        if !self.contact.zones.values().any(|zone| zone.lost) {
            self.forget_read();
        }
    }

    /// Takes note of a heartbeat from a zone.
    pub(super) fn note_heard(&mut self, now: Duration, zone: &Arc<str>) {
        if let Some(state) = self.contact.zones.get_mut(zone) {
            state.heard_at = now;
            // The revision is confirmed before the zone counts as reachable again.
            if state.lost && !state.returns {
                state.returns = true;
                state.next_ask = now;
            }
        }
    }

    fn check_zones(&mut self, now: Duration) {
        for zone in &self.other_zones {
            if !self.contact.zones.contains_key(zone) {
                let fresh = Zone {
                    heard_at: now,
                    ..Zone::default()
                };
                self.contact.zones.insert(zone.clone(), fresh);
            }
        }
        let zones: Vec<Arc<str>> = self.contact.zones.keys().cloned().collect();
        for zone in zones {
            self.check_zone(now, &zone);
        }
    }

    fn check_zone(&mut self, now: Duration, name: &Arc<str>) {
        let recent = self.table.missed_at.is_some_and(|at| now < at + RECENT);
        let free = now >= self.contact.next_zone_ask;
        let zones = u32::try_from(self.contact.zones.len() + 1).unwrap_or(u32::MAX);
        let doubtful = recent && self.zone_doubtful(now, name);
        let Some(zone) = self.contact.zones.get_mut(name) else {
            return;
        };
        if zone.lost {
            if free && now >= zone.next_ask {
                zone.next_ask = now + ZONE_RETRY.max(ZONE_ASK_INTERVAL * zones);
                self.ask_zone(now, name);
            }
            return;
        }
        match zone.asked_at {
            Some(asked_at) if zone.heard_at >= asked_at => zone.asked_at = None,
            Some(asked_at) if now >= asked_at + ZONE_TIMEOUT => {
                zone.lost = true;
                zone.returns = false;
                zone.next_ask = now;
                self.flags_stale = true;
                self.counters.zones_lost += 1;
                self.contact.nonce += 1;
                zone.valid_from = self.contact.nonce;
            }
            None if doubtful && free && now >= zone.next_ask => {
                zone.asked_at = Some(now);
                zone.next_ask = now + RECENT / 2;
                self.ask_zone(now, name);
            }
            _ => {}
        }
    }

    /// True when all members of a zone, or two at a time, were recently suspected.
    fn zone_doubtful(&self, now: Duration, zone: &str) -> bool {
        let members = self.table.entries();
        let (mut missing, mut recent, mut present) = (0, 0, 0);
        for entry in members.filter(|entry| &*entry.member.zone == zone) {
            let gone = matches!(entry.member.state, State::Suspect | State::Dead);
            missing += usize::from(gone);
            present += usize::from(!gone);
            recent += usize::from(gone && now < entry.changed_at + RECENT);
        }
        recent >= 2 || (present == 0 && missing > 0 && recent > 0)
    }

    fn ask_zone(&mut self, now: Duration, name: &Arc<str>) {
        let members = self.table.entries().map(|entry| &entry.member);
        let of_zone = members.filter(|member| member.zone == *name);
        let (live, dead): (Vec<_>, Vec<_>) = of_zone
            .map(|member| (member.state, member.peer))
            .partition(|(state, _)| *state != State::Dead);
        let all_dead = live.is_empty();
        let pool = if all_dead { dead } else { live };
        let pool: Vec<SocketAddr> = pool.into_iter().map(|(_, peer)| peer).collect();
        let lost = self.contact.zones.get(name).is_some_and(|zone| zone.lost);
        let count = if lost { 1 } else { ZONE_FAN_OUT };
        let addresses = self.pick(pool, count);
        self.contact.next_zone_ask = now + ZONE_ASK_INTERVAL;
        self.ask(&addresses, budget::Priority::Dissemination);
        if all_dead && lost {
            self.want_read(now, ZONE_READ_WITHIN);
        }
    }

    /// Zones that are out of contact, sorted.
    pub(super) fn lost_zones(&self) -> Vec<Arc<str>> {
        let zones = self.contact.zones.iter();
        zones
            .filter(|(_, zone)| zone.lost)
            .map(|(name, _)| name.clone())
            .collect()
    }
}
