//! Balancers: driving their state machines and executing the resulting actions.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;
use mulberrynotch_steer::{
    evidence,
    machine,
    message,
    packet,
    path,
    reader,
    record, //
};

use super::{
    Event,
    Method,
    Reply,
    World, //
};
use crate::emulator::{
    report,
    store, //
};

/// Period at which the state machines are ticked.
const TICK_PERIOD: Duration = Duration::from_millis(30);

/// Delay of a list answered by the store.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// Time limit of a connection attempt to a target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time until a configuration is in effect.
const CONFIGURATION_DELAY: Duration = Duration::from_secs(3);

/// Time after the start of a balancer in which its configuration may be outdated.
const START_TIME: Duration = Duration::from_secs(4);

/// Duration of a pull between balancers: connection, request and answer.
const PULL_DELAY: Duration = Duration::from_millis(2);

impl World {
    /// Starts or restarts a balancer.
    pub(in crate::emulator) fn start_balancer(&mut self, index: usize) {
        let seeds: Vec<_> = self.balancers.iter().take(3).map(|it| it.address).collect();
        let balancer = &mut self.balancers[index];
        balancer.incarnation += 1;
        balancer.leaving = false;
        balancer.started_at = self.now;
        let member = message::Member {
            address: balancer.address,
            zone: Arc::from(format!("zone-{}", balancer.zone)),
            incarnation: balancer.incarnation,
            link_mbps: 1_000,
            silent_ms: 0,
        };
        let jitter_seed = rendezvous::hash_address(balancer.address.into(), balancer.incarnation);
        balancer.machine = Some(machine::Machine::new(member, seeds, jitter_seed));
        let incarnation = balancer.incarnation;
        self.tick(index, incarnation);
    }

    pub(super) fn tick(&mut self, index: usize, incarnation: u64) {
        if self.balancers[index].incarnation != incarnation
            || self.balancers[index].machine.is_none()
        {
            return;
        }
        let paused_until = self.balancers[index].paused_until;
        if self.now < paused_until {
            let wait = paused_until - self.now;
            return self.schedule(wait, Event::Tick(index, incarnation));
        }
        self.drive(index, |machine, now| machine.tick(now));
        self.schedule(TICK_PERIOD, Event::Tick(index, incarnation));
    }

    /// Feeds an input to the machine of a balancer, executes its actions, and handles the held
    /// packets once the machine no longer holds packets back.
    pub(in crate::emulator) fn drive(
        &mut self,
        index: usize,
        feed: impl FnOnce(&mut machine::Machine, Duration),
    ) {
        let now = self.now;
        let balancer = &mut self.balancers[index];
        let Some(machine) = balancer
            .machine
            .as_mut()
            .filter(|_| now >= balancer.paused_until)
        else {
            return;
        };
        feed(machine, now);
        let held_packets = match machine.is_holding() {
            true => Vec::new(),
            false => std::mem::take(&mut balancer.held_packets),
        };
        let actions = machine.take_actions();
        self.execute(index, actions);
        for packet in held_packets {
            self.handle_packet(index, packet);
        }
    }

    fn execute(&mut self, index: usize, actions: Vec<machine::Action>) {
        if self.method == Method::Hash {
            return;
        }
        let incarnation = self.balancers[index].incarnation;
        for action in actions {
            match action {
                machine::Action::Send { to, message } => {
                    for to in to {
                        self.send(index, to, message.clone());
                    }
                }
                machine::Action::Call(call) => self.call_store(index, call),
                machine::Action::Pull { from, pull } => self.pull(index, from, &pull),
                machine::Action::Probe { target, .. } => self.probe(index, incarnation, target),
                machine::Action::Reset { flow, .. } => self.reset(flow),
                machine::Action::Log(event) => self.record_event(index, &event),
                machine::Action::Latency(_) => {}
            }
        }
    }

    /// Records changes of path states and rotation in the report.
    fn record_event(&mut self, index: usize, event: &machine::Event) {
        let at = self.load_time(self.now);
        match event {
            machine::Event::Path { zone, state, .. } => {
                let to = (0..self.plan.zones).find(|it| format!("zone-{it}") == **zone);
                self.report.paths.extend(to.map(|to| report::Path {
                    at,
                    from: self.balancers[index].zone,
                    balancer: index,
                    to,
                    cut: *state == path::State::Cut,
                }));
            }
            machine::Event::Rotation { ready, .. } => {
                self.report.rotations.push(report::Rotation {
                    at,
                    balancer: index,
                    ready: *ready,
                });
            }
            _ => {}
        }
    }

    fn peer(&self, address: SocketAddrV4) -> Option<usize> {
        self.balancers.iter().position(|it| it.address == address)
    }

    fn send(&mut self, index: usize, to: SocketAddrV4, message: message::Message) {
        self.report.messages += 1;
        // Encoding fails only for a faulty message type; such a message counts as 0 bytes.
        let bytes = postcard::to_stdvec(&message).map_or(0, |it| it.len());
        let volume = self
            .report
            .control
            .entry(message_kind(&message))
            .or_default();
        volume.messages += 1;
        volume.bytes += u64::try_from(bytes).unwrap_or(0);
        let (from, zone) = (self.balancers[index].address, self.balancers[index].zone);
        let Some(peer) = self.peer(to) else {
            return;
        };
        if let Some(delay) = self.links.zone_delay(zone, self.balancers[peer].zone) {
            self.schedule(delay, Event::Message(peer, from, message));
        }
    }

    fn call_store(&mut self, index: usize, call: reader::Call) {
        self.store.calls += 1;
        let incarnation = self.balancers[index].incarnation;
        if self.store.down {
            return self.schedule(
                reader::TIMEOUT,
                Event::StoreAnswer(index, incarnation, call, None),
            );
        }
        let answer = match call {
            reader::Call::List { short, .. } => self.store.list(short),
            reader::Call::Ping => reader::Answer::Pong,
            reader::Call::Watch { after, wait } => {
                return self.store.watches.push(store::Watch {
                    balancer: index,
                    incarnation,
                    after,
                    deadline: self.now + wait,
                });
            }
        };
        self.schedule(
            STORE_DELAY,
            Event::StoreAnswer(index, incarnation, call, Some(answer)),
        );
    }

    pub(super) fn handle_store_answer(
        &mut self,
        index: usize,
        incarnation: u64,
        call: reader::Call,
        answer: Option<reader::Answer>,
    ) {
        if self.balancers[index].incarnation != incarnation {
            return;
        }
        self.drive(index, |machine, now| machine.call_ended(now, call, answer));
    }

    fn pull(&mut self, index: usize, from: SocketAddrV4, pull: &message::Pull) {
        let (now, incarnation) = (self.now, self.balancers[index].incarnation);
        let Some(peer) = self.peer(from) else {
            return;
        };
        let delay = self
            .links
            .zone_delay(self.balancers[index].zone, self.balancers[peer].zone);
        let machine = self.balancers[peer]
            .machine
            .as_ref()
            .filter(|_| delay.is_some());
        if let Some(machine) = machine {
            let pulled = machine.answer_pull(now, pull);
            self.schedule(
                PULL_DELAY,
                Event::Pulled(index, incarnation, from, now, pulled),
            );
        }
    }

    fn probe(&mut self, index: usize, incarnation: u64, id: record::Id) {
        self.report.probes += 1;
        let zone = self.balancers[index].zone;
        let target = self.targets.get(&id.0).filter(|it| !it.unresponsive);
        let delay = target
            .map(|it| it.zone)
            .and_then(|to| self.links.zone_delay(zone, to));
        let (wait, outcome) = match delay {
            Some(delay) => (delay * 2, evidence::Probe::Accepted),
            None => (PROBE_TIMEOUT, evidence::Probe::Silent),
        };
        self.schedule(wait, Event::Probed(index, incarnation, id, outcome));
    }

    /// Handles a client packet at a balancer; a paused balancer handles it when the pause ends.
    pub(super) fn handle_packet(&mut self, index: usize, packet: packet::Packet) {
        if self.now < self.balancers[index].paused_until {
            let wait = self.balancers[index].paused_until - self.now;
            return self.schedule(wait, Event::Packet(index, packet));
        }
        if self.method == Method::Hash {
            return self.forward_by_hash(index, &packet);
        }
        let now = self.now;
        let Some(machine) = self.balancers[index].machine.as_mut() else {
            return;
        };
        let version = machine.catalog().configuration().version;
        let verdict = machine.packet(now, &packet);
        let actions = machine.take_actions();
        self.execute(index, actions);
        self.check_version(index, &packet, version);
        match verdict {
            machine::Verdict::Forward { target, cookie, .. } => {
                let cookie = cookie.unwrap_or(packet.cookie);
                self.forward(index, target.0, packet::Packet { cookie, ..packet });
            }
            machine::Verdict::Reset => {
                self.report.refused_flows += u64::from(packet.opens());
                self.reset(packet.flow);
            }
            machine::Verdict::Hold => self.balancers[index].held_packets.push(packet),
            machine::Verdict::Drop => {}
        }
    }

    /// Counts an opening packet that was handled by an outdated configuration.
    fn check_version(&mut self, index: usize, packet: &packet::Packet, version: u64) {
        let now = self.now;
        let in_effect = self
            .published
            .iter()
            .rfind(|(at, _)| now >= *at + CONFIGURATION_DELAY);
        let is_outdated = in_effect.is_some_and(|(_, expected)| version < *expected);
        let is_settled = now >= self.balancers[index].started_at + START_TIME;
        let counts = packet.opens() && is_outdated && is_settled;
        self.report.outdated_openings += u64::from(counts);
    }

    /// Forwards statelessly, by rendezvous hashing over the targets listed in the store.
    fn forward_by_hash(&mut self, index: usize, packet: &packet::Packet) {
        if self.balancers[index].machine.is_none() {
            return;
        }
        let reader::Answer::Listed { records, .. } = self.store.list(false) else {
            return;
        };
        let key = rendezvous::hash_address(packet.flow.client.into(), 0);
        let ready = records.iter().filter_map(|it| match (&it.key, &it.body) {
            (record::Key::Target(id), Some(record::Body::Target(target))) => {
                (!target.draining).then_some(id.0)
            }
            _ => None,
        });
        if let Some(target) = ready.max_by_key(|id| rendezvous::weight(key, *id)) {
            self.forward(index, target, *packet);
        }
    }

    fn forward(&mut self, index: usize, target: u64, packet: packet::Packet) {
        let zone = self.balancers[index].zone;
        let to = self.targets.get(&target).map(|it| it.zone);
        let delay = to.and_then(|to| self.links.zone_delay(zone, to));
        if let Some(delay) = delay {
            let cross_zone = packet.opens() && to != Some(zone);
            self.report.cross_zone_flows += u64::from(cross_zone);
            self.schedule(delay, Event::TargetPacket(target, packet));
        }
    }

    fn reset(&mut self, flow: packet::Flow) {
        let is_served = self
            .targets
            .values()
            .any(|it| !it.unresponsive && it.has_flow(&flow));
        self.report.broken_flows += u64::from(is_served);
        if is_served && self.now > self.resets_allowed_until {
            self.report.false_resets += 1;
        }
        self.reply(flow, Reply::Reset);
    }
}

fn message_kind(message: &message::Message) -> &'static str {
    match message {
        message::Message::Heartbeat(_) => "heartbeat",
        message::Message::Members(_) => "members",
        message::Message::Push(_) => "push",
        message::Message::Failure(_) => "doubt",
        message::Message::Alive(_) => "alive",
        message::Message::Path(_) => "path",
        message::Message::Ping(_) | message::Message::Pong(_) => "contact",
    }
}
