//! Heartbeats, indirect checks and suspicion.

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

/// One heartbeat per interval, in turn to the successor on the ring and to a random peer. The ring
/// gives each member a heartbeat per second at every size of the fleet.
const INTERVAL: Duration = Duration::from_millis(500);

/// An unanswered heartbeat starts indirect checks; above the longest round trip between regions.
const INDIRECT_AFTER: Duration = Duration::from_millis(200);

/// Times that a heartbeat is sent again, tick by tick, once indirect checks have started. Without
/// these a tenth of lost messages causes more suspicions in a large fleet than its budget spreads.
const RETRIES: u32 = 2;

/// A heartbeat that neither the member nor a helper answered makes it a suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);

/// Time that a suspect has to refute.
const SUSPICION: Duration = Duration::from_millis(900);

/// The same for those who only heard of the suspicion: they hear of the death from the process
/// that found it, unless that one is gone too.
const SUSPICION_HEARD: Duration = Duration::from_millis(3_000);

/// A suspect is told so again at this interval: with a tenth of the messages lost, one message
/// and its answer fail too often.
const REMIND_INTERVAL: Duration = Duration::from_millis(200);

/// Answers per interval that carry changes; while many members change, further ones stay short, so
/// that heartbeats alone always fit into the control budget.
const FULL_ACKS: u32 = 2;

/// Peers asked for an indirect check. Such checks wait behind heartbeats: when they went first, a
/// process short of budget answered late, was suspected, and so caused more checks.
const HELPERS: usize = 3;

/// Time between heartbeats to an address without a live member: seeds, entries of the platform's
/// list and tombstones, so that parts of a fleet find each other again.
const CANDIDATE_INTERVAL: Duration = Duration::from_secs(2);

/// Times and heartbeats in progress.
#[derive(Debug, Default)]
pub(super) struct Heartbeat {
    probes: Vec<Probe>,
    sequence: u32,
    next: Duration,
    next_candidate: Duration,
    random_turn: bool,
    /// Suspects that the process found itself, and when they are told again.
    found: BTreeMap<Arc<str>, Duration>,
    acks_since: Duration,
    acks: u32,
}

/// A heartbeat without an answer yet.
#[derive(Debug)]
struct Probe {
    sequence: u32,
    subject: Arc<str>,
    sent_at: Duration,
    indirect: bool,
    retries: u32,
    /// Who asked for the check, and its sequence number.
    relay: Option<(SocketAddr, u32)>,
}

impl Heartbeat {
    /// Forgets heartbeats whose answers a pause of the process may have lost.
    pub(super) fn forget(&mut self) {
        self.probes.clear();
    }
}

impl Machine {
    /// Sends the heartbeats that are due.
    pub(super) fn heartbeat(&mut self, now: Duration) {
        if self.heartbeat.next == Duration::ZERO {
            self.heartbeat.next = now + self.jitter(INTERVAL);
            self.heartbeat.next_candidate = now + self.jitter(CANDIDATE_INTERVAL);
        }
        if now >= self.heartbeat.next {
            self.heartbeat.next = now + INTERVAL;
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
            if let Some(address) = self.candidates(1).pop() {
                self.ping(now, address, None);
            }
        }
    }

    fn probe(&mut self, now: Duration, subject: &Arc<str>, relay: Option<(SocketAddr, u32)>) {
        let Some(member) = self.table.get(subject).cloned() else {
            return;
        };
        let sequence = if relay.is_some() {
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
            relay,
        });
    }

    /// Sends a `Ping` and tells a member that is taken for dead or suspect so.
    fn ping(&mut self, now: Duration, to: SocketAddr, member: Option<&Member>) -> u32 {
        let mut updates = self.take_updates();
        let known = member.cloned().or_else(|| {
            let mut entries = self.table.entries();
            let found = entries.find(|entry| entry.member.peer == to);
            found.map(|entry| entry.member.clone())
        });
        let listed = |member: &Member| updates.iter().any(|update| update.name == member.name);
        let known = known.filter(|member| member.state != State::Alive && !listed(member));
        updates.extend(known);
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

    /// Answers a `Ping`.
    pub(super) fn acknowledge(
        &mut self,
        now: Duration,
        sender: &Member,
        to: SocketAddr,
        sequence: u32,
    ) {
        let mut updates = Vec::new();
        if now >= self.heartbeat.acks_since + INTERVAL {
            self.heartbeat.acks_since = now;
            self.heartbeat.acks = 0;
        }
        self.heartbeat.acks += 1;
        if self.heartbeat.acks <= FULL_ACKS {
            updates = self.take_updates();
        }
        let known = self.table.get(&sender.name).cloned();
        updates.extend(
            known.filter(|known| {
                (known.incarnation, known.state) > (sender.incarnation, sender.state)
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

    /// Ends the heartbeat that an `Ack` answers, and passes the answer on to who asked for it.
    pub(super) fn acknowledged(&mut self, sequence: u32, message: &Message) {
        let Message::Ack {
            sender, summary, ..
        } = message
        else {
            return;
        };
        let probes = &mut self.heartbeat.probes;
        let found = probes
            .iter()
            .position(|probe| probe.sequence == sequence && probe.subject == sender.name);
        let Some(found) = found else {
            return;
        };
        let probe = probes.swap_remove(found);
        if sender.state == State::Leaving {
            self.table.clear_deadline(&probe.subject);
        }
        if let Some((to, sequence)) = probe.relay {
            let message = Message::Ack {
                sequence,
                sender: sender.clone(),
                summary: *summary,
                updates: Vec::new(),
            };
            self.send_with(to, budget::Priority::Dissemination, message);
        }
    }

    /// Checks `subject` for another process.
    pub(super) fn check_for(
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

    /// Follows up on heartbeats without an answer and on suspects.
    pub(super) fn expire(&mut self, now: Duration) {
        let mut probes = std::mem::take(&mut self.heartbeat.probes);
        for probe in &mut probes {
            if probe.relay.is_some() || now < probe.sent_at + INDIRECT_AFTER {
                continue;
            }
            self.retry(now, probe);
            if !probe.indirect {
                probe.indirect = true;
                let subject = probe.subject.clone();
                for helper in self.sample(HELPERS, |member| member.name != subject) {
                    let message = Message::PingRequest {
                        sequence: probe.sequence,
                        subject: subject.clone(),
                    };
                    self.send_with(helper.peer, budget::Priority::Dissemination, message);
                }
            }
        }
        let trusts = self.is_catching_up(now);
        probes.retain(|probe| {
            let waiting = now < probe.sent_at + SUSPECT_AFTER;
            if !waiting && probe.relay.is_none() && !trusts {
                self.suspect(now, &probe.subject);
            }
            waiting
        });
        self.heartbeat.probes.append(&mut probes);
        self.remind(now);
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
                self.learn(now, &suspect);
                self.start_suspicion(now, name, true);
                self.heartbeat.found.insert(name.clone(), now);
                self.counters.suspicions += 1;
            }
            State::Suspect | State::Leaving => self.start_suspicion(now, name, true),
            State::Dead => {}
        }
    }

    /// Sends a heartbeat without an answer again.
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

    /// Tells the suspects that the process found, so that they can refute.
    fn remind(&mut self, now: Duration) {
        for (name, next) in std::mem::take(&mut self.heartbeat.found) {
            let member = self.table.get(&name).cloned();
            let Some(suspect) = member.filter(|member| member.state == State::Suspect) else {
                continue;
            };
            if now >= next {
                let updates = vec![suspect.clone()];
                self.ping_with(now, suspect.peer, budget::Priority::Dissemination, updates);
            }
            let next = if now >= next {
                now + REMIND_INTERVAL
            } else {
                next
            };
            self.heartbeat.found.insert(name, next);
        }
    }

    /// Sets when a suspect is declared dead; an earlier time stays.
    pub(super) fn start_suspicion(&mut self, now: Duration, name: &str, found: bool) {
        let time = if found { SUSPICION } else { SUSPICION_HEARD };
        let old = self.table.deadline(name);
        let deadline = old.map_or(now + time, |old| old.min(now + time));
        self.table.set_deadline(name, deadline);
    }

    /// Gives all suspects their whole time again, after a pause of the process itself.
    pub(super) fn restart_suspicions(&mut self, now: Duration) {
        for name in self.table.due(Duration::MAX) {
            self.table.set_deadline(&name, now + SUSPICION_HEARD);
        }
    }

    fn declare_dead(&mut self, now: Duration) {
        let trusts = self.is_catching_up(now);
        for name in self.table.due(now) {
            if trusts {
                self.table.set_deadline(&name, now + SUSPICION_HEARD);
                continue;
            }
            let Some(member) = self.table.get(&name) else {
                continue;
            };
            let dead = Member {
                state: State::Dead,
                ..member.clone()
            };
            self.learn(now, &dead);
        }
    }

    /// Starts the graceful shutdown.
    pub(super) fn announce_leave(&mut self, now: Duration, state: State) {
        self.config.me.state = state;
        self.left = state == State::Dead;
        self.announce(now);
        let me = self.config.me.clone();
        self.log(Event::Member {
            name: me.name.clone(),
            state,
        });
        // All peers of a small site hear it at once; in a large fleet the rest hear it from them.
        for peer in self.sample(8, |_| true) {
            self.send(peer.peer, Message::Leave { sender: me.clone() });
        }
    }
}
