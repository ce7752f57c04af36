//! Confirmation of the view after a start or a pause, and reachability of other zones.
//!
//! A view is confirmed once a peer or the platform reports the register revision in effect. Until
//! then the process may have missed a change, such as a zone that was taken out of service.

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

/// Time without running after which a process may have missed a change.
pub(super) const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Maximum time that work in the local zone waits for a confirmation.
const OWN_ZONE_WAIT: Duration = Duration::from_millis(500);

/// Peers that a joining process queries at a time; with the answers it stays within the control
/// budget.
const JOIN_FAN_OUT: usize = 3;

/// Interval between requests for a confirmation.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a confirmation by peers after which the platform is read too.
pub(super) const PLATFORM_READ_AFTER: Duration = Duration::from_millis(600);

/// Minimum and maximum jitter of platform reads by unconfirmed processes. Many processes pause
/// together when their host does.
const PLATFORM_READ_JITTER: (Duration, Duration) =
    (Duration::from_secs(2), Duration::from_secs(30));

/// Age above which a suspicion no longer indicates that its zone is cut off.
const SUSPICION_MAX_AGE: Duration = Duration::from_secs(3);

/// Members of a zone that are probed.
const ZONE_PROBES: usize = 3;

/// Time without an answer of any probed member after which a zone counts as lost.
const ZONE_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum interval between probes of zones. Keeps the cost of losing many zones at once, and of
/// false alarms, below a quarter of the control budget.
const ZONE_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between probes of a lost zone.
const ZONE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Jitter of platform reads after the loss of a zone, so that a whole fleet does not read at once.
const ZONE_READ_JITTER: Duration = Duration::from_secs(4);

/// State of the confirmation and of the contact with other zones.
#[derive(Debug, Default)]
pub(super) struct Contact {
    pub(super) confirmed: bool,
    pub(super) own_zone_ready: bool,
    pub(super) unconfirmed_since: Duration,
    pub(super) next_request: Duration,
    /// Nonce of the current requests; starts at random and grows with each pause and each loss of a
    /// zone.
    pub(super) nonce: u64,
    /// Lowest valid nonce: answers to lower ones predate the last pause and confirm nothing.
    pub(super) valid_from: u64,
    next_zone_probe: Duration,
    zones: BTreeMap<Arc<str>, Zone>,
    pub(super) peer_answered: bool,
    pub(super) held_register: Option<Arc<model::Register>>,
}

/// State of the contact with another zone.
#[derive(Debug, Default)]
struct Zone {
    heard_at: Duration,
    probed_at: Option<Duration>,
    lost: bool,
    /// Lowest valid nonce: answers to lower ones predate the loss of the zone.
    valid_from: u64,
    next_probe: Duration,
    /// A heartbeat of the zone has arrived since its loss.
    heard_since_loss: bool,
}

impl Machine {
    /// Detects a pause from the time since the last input.
    pub(super) fn detect_pause(&mut self, now: Duration) {
        let late = now.saturating_sub(self.last_run);
        self.last_run = self.last_run.max(now);
        if late > PAUSE_THRESHOLD {
            self.handle_pause(now, late);
        }
    }

    /// Revokes the confirmation of the view after a pause.
    pub(super) fn handle_pause(&mut self, now: Duration, length: Duration) {
        self.counters.pauses += 1;
        self.log(Event::Paused { length });
        self.revoke_confirmation(now);
        self.heartbeat.clear_probes();
        self.restart_suspicions(now);
        if self.joined && !self.has_left {
            self.config.me.incarnation += 1;
            self.announce(now);
        }
    }

    fn revoke_confirmation(&mut self, now: Duration) {
        let contact = &mut self.contact;
        contact.confirmed = false;
        contact.own_zone_ready = false;
        contact.unconfirmed_since = now;
        contact.next_request = now;
        for zone in contact.zones.values_mut() {
            zone.probed_at = None;
        }
        contact.nonce += 1;
        contact.valid_from = contact.nonce;
        self.flags_stale = true;
    }

    /// Requests confirmations, probes zones, and ends waits that have timed out.
    pub(super) fn check_contact(&mut self, now: Duration) {
        if !self.joined {
            self.advance_join(now);
        }
        if !self.contact.confirmed {
            self.request_confirmation(now);
        }
        if self.joined {
            self.check_zones(now);
        }
    }

    fn request_confirmation(&mut self, now: Duration) {
        let waited = now.saturating_sub(self.contact.unconfirmed_since);
        if self.joined && waited >= OWN_ZONE_WAIT && !self.contact.own_zone_ready {
            self.contact.own_zone_ready = true;
            self.flags_stale = true;
        }
        if now < self.contact.next_request {
            return;
        }
        self.contact.next_request = now + CONFIRM_INTERVAL;
        if waited >= PLATFORM_READ_AFTER {
            // The interval grows with the time waited.
            self.contact.next_request = now + (waited / 4).min(Duration::from_secs(10));
            self.schedule_read(
                now,
                (waited / 4).clamp(PLATFORM_READ_JITTER.0, PLATFORM_READ_JITTER.1),
            );
        }
        let addresses = if self.joined {
            self.confirmation_peers()
        } else {
            self.peer_addresses(JOIN_FAN_OUT)
        };
        self.send_confirm_requests(&addresses, budget::Priority::Membership);
    }

    /// Returns the peers that receive requests for a confirmation.
    fn confirmation_peers(&mut self) -> Vec<SocketAddr> {
        let zone = self.config.me.zone.clone();
        let own = self.sample(3, |member| member.zone == zone);
        let other = self.sample(2, |member| member.zone != zone);
        let peers = own.iter().chain(&other).map(|member| member.peer);
        let addresses: Vec<SocketAddr> = peers.collect();
        if addresses.is_empty() {
            return self.candidate_addresses(3);
        }
        addresses
    }

    fn send_confirm_requests(&mut self, addresses: &[SocketAddr], priority: budget::Priority) {
        let nonce = self.contact.nonce;
        let have = self.configuration.version;
        for address in addresses {
            let message = Message::Confirm { nonce, have };
            self.send_with(*address, priority, message);
        }
    }

    /// Makes the next request due when the view is unconfirmed; called after a register was
    /// accepted.
    pub(super) fn request_confirmation_now(&mut self, now: Duration) {
        if !self.contact.confirmed {
            self.contact.next_request = now;
        }
    }

    /// Answers a request for a confirmation, except while joining and during the first
    /// [`OWN_ZONE_WAIT`] without a confirmation of its own.
    pub(super) fn answer_confirm(
        &mut self,
        now: Duration,
        to: SocketAddr,
        nonce: u64,
        have: Version,
    ) {
        self.handle_version(now, to, have);
        if !self.joined && have.revision == 0 {
            self.send_introduction(now, to);
        }
        if self.joined && (self.contact.confirmed || self.contact.own_zone_ready) {
            let version = self.configuration.version;
            let message = Message::Confirmed { nonce, version };
            self.send(to, message);
        }
    }

    /// Handles the answer to a request for a confirmation.
    pub(super) fn handle_confirmed(
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
        self.contact.peer_answered = true;
        self.handle_version(now, address, version);
        if version != self.configuration.version || self.configuration.is_behind() {
            return;
        }
        if self.joined {
            self.set_confirmed();
        }
        let zone = self.table.get(from).map(|member| member.zone.clone());
        let state = zone.and_then(|zone| self.contact.zones.get_mut(&zone));
        if let Some(state) = state.filter(|state| nonce >= state.valid_from) {
            state.heard_at = now;
            state.probed_at = None;
            self.flags_stale |= state.lost;
            state.lost = false;
        }
    }

    /// Confirms the view when the platform returned the register in effect.
    pub(super) fn confirm_from_platform(&mut self, now: Duration, register: &model::Register) {
        if delta::version(register) != self.configuration.version || !self.joined {
            return;
        }
        self.set_confirmed();
        // A zone without any live member cannot confirm by itself.
        let alive: BTreeSet<Arc<str>> = self.table.live().map(|m| m.zone.clone()).collect();
        for (name, zone) in &mut self.contact.zones {
            if zone.lost && !alive.contains(name) {
                zone.lost = false;
                zone.heard_at = now;
                zone.probed_at = None;
                self.flags_stale = true;
            }
        }
    }

    pub(super) fn set_confirmed(&mut self) {
        self.flags_stale |= !self.contact.confirmed;
        self.contact.confirmed = true;
        self.contact.own_zone_ready = true;
        if !self.contact.zones.values().any(|zone| zone.lost) {
            self.cancel_read();
        }
    }

    /// Records a heartbeat from a zone.
    pub(super) fn record_heartbeat(&mut self, now: Duration, zone: &Arc<str>) {
        if let Some(state) = self.contact.zones.get_mut(zone) {
            state.heard_at = now;
            // The revision has to be confirmed before the zone counts as reachable again.
            if state.lost && !state.heard_since_loss {
                state.heard_since_loss = true;
                state.next_probe = now;
            }
        }
    }

    fn check_zones(&mut self, now: Duration) {
        for zone in &self.other_zones {
            if !self.contact.zones.contains_key(zone) {
                let new_zone = Zone {
                    heard_at: now,
                    ..Zone::default()
                };
                self.contact.zones.insert(zone.clone(), new_zone);
            }
        }
        let zones: Vec<Arc<str>> = self.contact.zones.keys().cloned().collect();
        for zone in zones {
            self.check_zone(now, &zone);
        }
    }

    fn check_zone(&mut self, now: Duration, name: &Arc<str>) {
        let recent = self
            .table
            .suspected_at
            .is_some_and(|at| now < at + SUSPICION_MAX_AGE);
        let may_probe = now >= self.contact.next_zone_probe;
        let zones = u32::try_from(self.contact.zones.len() + 1).unwrap_or(u32::MAX);
        let suspected = recent && self.is_zone_suspected(now, name);
        let Some(zone) = self.contact.zones.get_mut(name) else {
            return;
        };
        if zone.lost {
            if may_probe && now >= zone.next_probe {
                zone.next_probe = now + ZONE_RETRY_INTERVAL.max(ZONE_PROBE_INTERVAL * zones);
                self.probe_zone(now, name);
            }
            return;
        }
        match zone.probed_at {
            Some(probed_at) if zone.heard_at >= probed_at => zone.probed_at = None,
            Some(probed_at) if now >= probed_at + ZONE_TIMEOUT => {
                zone.lost = true;
                zone.heard_since_loss = false;
                zone.next_probe = now;
                self.flags_stale = true;
                self.counters.zones_lost += 1;
                self.contact.nonce += 1;
                zone.valid_from = self.contact.nonce;
            }
            None if suspected && may_probe && now >= zone.next_probe => {
                zone.probed_at = Some(now);
                zone.next_probe = now + SUSPICION_MAX_AGE / 2;
                self.probe_zone(now, name);
            }
            _ => {}
        }
    }

    /// Returns true when at least two members of a zone became suspect or dead within
    /// [`SUSPICION_MAX_AGE`], or when all are and at least one of them recently.
    fn is_zone_suspected(&self, now: Duration, zone: &str) -> bool {
        let members = self.table.entries();
        let (mut missing, mut recent, mut present) = (0, 0, 0);
        for entry in members.filter(|entry| &*entry.member.zone == zone) {
            let is_missing = matches!(entry.member.state, State::Suspect | State::Dead);
            missing += usize::from(is_missing);
            present += usize::from(!is_missing);
            recent += usize::from(is_missing && now < entry.changed_at + SUSPICION_MAX_AGE);
        }
        recent >= 2 || (present == 0 && missing > 0 && recent > 0)
    }

    fn probe_zone(&mut self, now: Duration, name: &Arc<str>) {
        let members = self.table.entries().map(|entry| &entry.member);
        let of_zone = members.filter(|member| member.zone == *name);
        let (live, dead): (Vec<_>, Vec<_>) = of_zone
            .map(|member| (member.state, member.peer))
            .partition(|(state, _)| *state != State::Dead);
        let all_dead = live.is_empty();
        let pool = if all_dead { dead } else { live };
        let pool: Vec<SocketAddr> = pool.into_iter().map(|(_, peer)| peer).collect();
        let lost = self.contact.zones.get(name).is_some_and(|zone| zone.lost);
        let count = if lost { 1 } else { ZONE_PROBES };
        let addresses = self.pick(pool, count);
        self.contact.next_zone_probe = now + ZONE_PROBE_INTERVAL;
        self.send_confirm_requests(&addresses, budget::Priority::Dissemination);
        if all_dead && lost {
            self.schedule_read(now, ZONE_READ_JITTER);
        }
    }

    /// Returns the zones that are lost, sorted by name.
    pub(super) fn lost_zones(&self) -> Vec<Arc<str>> {
        let zones = self.contact.zones.iter();
        zones
            .filter(|(_, zone)| zone.lost)
            .map(|(name, _)| name.clone())
            .collect()
    }
}
