//! Failure detection: heartbeats, indirect probes and suspicion.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_wire::control::{
    Member,
    Message,
    State, //
};

use super::{
    Event,
    Machine, //
};
use crate::budget;

/// Interval between heartbeats, which go alternately to the successor on the ring and to a random
/// peer. Because of the ring, each member receives at least one heartbeat per second at any fleet
/// size.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer after which indirect probes start; above the longest round trip between
/// regions.
const INDIRECT_AFTER: Duration = Duration::from_millis(200);

/// Retransmissions of an unanswered heartbeat, one per tick, once indirect probes have started.
/// Without them, 10 % message loss causes more suspicions in a large fleet than the control budget
/// can disseminate.
const RETRIES: u32 = 2;

/// Time without an answer, direct or through a helper, after which a member is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);

/// Time that a suspect found by this process has to refute.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(900);

/// Time that a suspect reported by a peer has to refute. It is longer because the process that
/// found the suspect announces its death, unless that process has failed too.
const RELAYED_SUSPICION_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Interval between pings that notify a suspect. With 10 % message loss, a single message and its
/// answer fail too often.
const SUSPECT_PING_INTERVAL: Duration = Duration::from_millis(200);

/// Acks per heartbeat interval that carry member changes. Further acks stay short, so that
/// heartbeats fit into the control budget even while many members change.
const MAX_FULL_ACKS: u32 = 2;

/// Peers that receive a request for an indirect probe. These probes have a lower priority than
/// heartbeats: with a higher one, a process short of budget answered late, was suspected and so
/// caused more probes.
const INDIRECT_PROBES: usize = 3;

/// Interval between heartbeats to an address without a live member (a seed, an entry of the
/// platform's list or a tombstone), which let partitioned parts of a fleet rejoin.
const CANDIDATE_INTERVAL: Duration = Duration::from_secs(2);

/// Timers and outstanding probes of the failure detector.
#[derive(Debug, Default)]
pub(super) struct Heartbeat {
    probes: Vec<Probe>,
    sequence: u32,
    next_heartbeat: Duration,
    next_candidate: Duration,
    random_turn: bool,
    /// Suspects found by this process, with the time of the next ping that notifies them.
    own_suspects: BTreeMap<Arc<str>, Duration>,
    ack_window_start: Duration,
    acks_in_window: u32,
}

/// Heartbeat that has not been answered yet.
#[derive(Debug)]
struct Probe {
    sequence: u32,
    subject: Arc<str>,
    sent_at: Duration,
    indirect: bool,
    retries: u32,
    /// Address of the peer that requested an indirect probe, and its sequence number.
    requester: Option<(SocketAddr, u32)>,
}

impl Heartbeat {
    /// Drops outstanding probes, whose answers may have been lost during a pause of this process.
    pub(super) fn clear_probes(&mut self) {
        self.probes.clear();
    }
}

impl Machine {
    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        if self.heartbeat.next_heartbeat == Duration::ZERO {
            self.heartbeat.next_heartbeat = now + self.jitter(INTERVAL);
            self.heartbeat.next_candidate = now + self.jitter(CANDIDATE_INTERVAL);
        }
        if now >= self.heartbeat.next_heartbeat {
            self.heartbeat.next_heartbeat = now + INTERVAL;
            self.heartbeat.random_turn = !self.heartbeat.random_turn;
            let me = self.config.me.name.clone();
            let successor = self.table.successor(&me);
            let subject = if self.heartbeat.random_turn {
                let random = self.sample(1, |member| Some(&member.name) != successor.as_ref());
                random.into_iter().next().map(|member| member.name)
            } else {
                successor.clone()
            };
            if let Some(subject) = subject.or(successor) {
                self.probe(now, &subject, None);
            }
        }
        if now >= self.heartbeat.next_candidate {
            self.heartbeat.next_candidate = now + CANDIDATE_INTERVAL;
            if let Some(address) = self.candidate_addresses(1).pop() {
                self.ping(now, address, None);
            }
        }
    }

    fn probe(&mut self, now: Duration, subject: &Arc<str>, requester: Option<(SocketAddr, u32)>) {
        let Some(member) = self.table.get(subject).cloned() else {
            return;
        };
        let sequence = if requester.is_some() {
            self.ping_with(
                now,
                member.peer,
                budget::Priority::Dissemination,
                Vec::new(),
            )
        } else {
            self.ping(now, member.peer, Some(&member))
        };
        self.heartbeat.probes.push(Probe {
            sequence,
            subject: subject.clone(),
            sent_at: now,
            indirect: false,
            retries: 0,
            requester,
        });
    }

    /// Sends a `Ping`. A recipient held as suspect, leaving or dead gets that entry, so that it can
    /// refute.
    fn ping(&mut self, now: Duration, to: SocketAddr, member: Option<&Member>) -> u32 {
        let mut updates = self.take_updates();
        let entry = member.cloned().or_else(|| {
            let mut entries = self.table.entries();
            let found = entries.find(|entry| entry.member.peer == to);
            found.map(|entry| entry.member.clone())
        });
        let is_included = |member: &Member| updates.iter().any(|update| update.name == member.name);
        let entry = entry.filter(|member| member.state != State::Alive && !is_included(member));
        updates.extend(entry);
        self.ping_with(now, to, budget::Priority::Membership, updates)
    }

    fn ping_with(
        &mut self,
        now: Duration,
        to: SocketAddr,
        priority: budget::Priority,
        updates: Vec<Member>,
    ) -> u32 {
        self.heartbeat.sequence = self.heartbeat.sequence.wrapping_add(1);
        let sequence = self.heartbeat.sequence;
        let message = Message::Ping {
            sequence,
            sender: self.config.me.clone(),
            summary: self.summary(now),
            updates,
        };
        self.send_with(to, priority, message);
        sequence
    }

    /// Answers a `Ping`, and reports the sender's own entry when a newer one than it sent is known.
    pub(super) fn send_ack(
        &mut self,
        now: Duration,
        sender: &Member,
        to: SocketAddr,
        sequence: u32,
    ) {
        let mut updates = Vec::new();
        if now >= self.heartbeat.ack_window_start + INTERVAL {
            self.heartbeat.ack_window_start = now;
            self.heartbeat.acks_in_window = 0;
        }
        self.heartbeat.acks_in_window += 1;
        if self.heartbeat.acks_in_window <= MAX_FULL_ACKS {
            updates = self.take_updates();
        }
        let entry = self.table.get(&sender.name).cloned();
        updates.extend(
            entry.filter(|entry| {
                (entry.incarnation, entry.state) > (sender.incarnation, sender.state)
            }),
        );
        let message = Message::Ack {
            sequence,
            sender: self.config.me.clone(),
            summary: self.summary(now),
            updates,
        };
        self.send(to, message);
    }

    /// Completes the probe that an `Ack` answers, and relays the `Ack` of an indirect probe.
    pub(super) fn handle_ack(&mut self, sequence: u32, message: &Message) {
        let Message::Ack {
            sender, summary, ..
        } = message
        else {
            return;
        };
        let probes = &mut self.heartbeat.probes;
        let index = probes
            .iter()
            .position(|probe| probe.sequence == sequence && probe.subject == sender.name);
        let Some(index) = index else {
            return;
        };
        let probe = probes.swap_remove(index);
        if sender.state == State::Leaving {
            self.table.clear_deadline(&probe.subject);
        }
        if let Some((to, sequence)) = probe.requester {
            let message = Message::Ack {
                sequence,
                sender: sender.clone(),
                summary: *summary,
                updates: Vec::new(),
            };
            self.send_with(to, budget::Priority::Dissemination, message);
        }
    }

    /// Probes `subject` on behalf of the peer at `from`.
    pub(super) fn probe_for(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sequence: u32,
        subject: &Arc<str>,
    ) {
        if *subject != self.config.me.name {
            self.probe(now, subject, Some((from, sequence)));
        }
    }

    /// Starts indirect probes and suspicions for unanswered heartbeats, and declares suspects dead
    /// whose time has run out.
    pub(super) fn check_probes(&mut self, now: Duration) {
        let mut probes = std::mem::take(&mut self.heartbeat.probes);
        for probe in &mut probes {
            if probe.requester.is_some() || now < probe.sent_at + INDIRECT_AFTER {
                continue;
            }
            self.retry(now, probe);
            if !probe.indirect {
                probe.indirect = true;
                let subject = probe.subject.clone();
                for helper in self.sample(INDIRECT_PROBES, |member| member.name != subject) {
                    let message = Message::PingRequest {
                        sequence: probe.sequence,
                        subject: subject.clone(),
                    };
                    self.send_with(helper.peer, budget::Priority::Dissemination, message);
                }
            }
        }
        let catching_up = self.is_catching_up(now);
        probes.retain(|probe| {
            let waiting = now < probe.sent_at + SUSPECT_AFTER;
            if !waiting && probe.requester.is_none() && !catching_up {
                self.suspect(now, &probe.subject);
            }
            waiting
        });
        self.heartbeat.probes.append(&mut probes);
        self.ping_suspects(now);
        self.declare_dead(now);
    }

    fn suspect(&mut self, now: Duration, name: &Arc<str>) {
        let Some(member) = self.table.get(name).cloned() else {
            return;
        };
        match member.state {
            State::Alive => {
                let suspect = Member {
                    state: State::Suspect,
                    ..member.clone()
                };
                self.merge_and_queue(now, &suspect);
                self.start_suspicion(now, name, true);
                self.heartbeat.own_suspects.insert(name.clone(), now);
                self.counters.suspicions += 1;
            }
            State::Suspect | State::Leaving => self.start_suspicion(now, name, true),
            State::Dead => {}
        }
    }

    /// Retransmits an unanswered heartbeat.
    fn retry(&mut self, now: Duration, probe: &mut Probe) {
        let member = self.table.get(&probe.subject);
        let Some(to) = member.map(|member| member.peer) else {
            return;
        };
        if probe.retries < RETRIES {
            probe.retries += 1;
            let message = Message::Ping {
                sequence: probe.sequence,
                sender: self.config.me.clone(),
                summary: self.summary(now),
                updates: Vec::new(),
            };
            self.send_with(to, budget::Priority::Dissemination, message);
        }
    }

    /// Notifies the suspects found by this process, so that they can refute.
    fn ping_suspects(&mut self, now: Duration) {
        for (name, next) in std::mem::take(&mut self.heartbeat.own_suspects) {
            let member = self.table.get(&name).cloned();
            let Some(suspect) = member.filter(|member| member.state == State::Suspect) else {
                continue;
            };
            if now >= next {
                let updates = vec![suspect.clone()];
                self.ping_with(now, suspect.peer, budget::Priority::Dissemination, updates);
            }
            let next = if now >= next {
                now + SUSPECT_PING_INTERVAL
            } else {
                next
            };
            self.heartbeat.own_suspects.insert(name, next);
        }
    }

    /// Sets the time at which a suspect is declared dead; an earlier time stays.
    pub(super) fn start_suspicion(&mut self, now: Duration, name: &str, found_here: bool) {
        let timeout = if found_here {
            SUSPICION_TIMEOUT
        } else {
            RELAYED_SUSPICION_TIMEOUT
        };
        let old = self.table.deadline(name);
        let deadline = old.map_or(now + timeout, |old| old.min(now + timeout));
        self.table.set_deadline(name, deadline);
    }

    /// Restarts the timeout of all suspects after a pause of this process.
    pub(super) fn restart_suspicions(&mut self, now: Duration) {
        for name in self.table.expired_suspects(Duration::MAX) {
            self.table
                .set_deadline(&name, now + RELAYED_SUSPICION_TIMEOUT);
        }
    }

    fn declare_dead(&mut self, now: Duration) {
        let catching_up = self.is_catching_up(now);
        for name in self.table.expired_suspects(now) {
            if catching_up {
                self.table
                    .set_deadline(&name, now + RELAYED_SUSPICION_TIMEOUT);
                continue;
            }
            let Some(member) = self.table.get(&name) else {
                continue;
            };
            let dead = Member {
                state: State::Dead,
                ..member.clone()
            };
            self.merge_and_queue(now, &dead);
        }
    }

    /// Announces that this process is leaving or has ended.
    pub(super) fn announce_leave(&mut self, now: Duration, state: State) {
        self.config.me.state = state;
        self.has_left = state == State::Dead;
        self.announce(now);
        let me = self.config.me.clone();
        self.log(Event::Member {
            name: me.name.clone(),
            state,
        });
        // In a small site this reaches all peers at once; in a large fleet, dissemination reaches
        // the rest.
        for peer in self.sample(8, |_| true) {
            self.send(peer.peer, Message::Leave { sender: me.clone() });
        }
    }
}
