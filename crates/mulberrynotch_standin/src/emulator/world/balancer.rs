//! Balancers: their machines, and what the machines ask for.

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

/// Period of the machines' clocks.
const TICK: Duration = Duration::from_millis(30);

/// Delay of an answer of the store.
const STORE: Duration = Duration::from_millis(4);

/// Wait for a target that does not answer a connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay of a connection with one question and one answer.
const EXCHANGE: Duration = Duration::from_millis(2);

impl World {
    /// Starts a balancer, or starts it again.
    pub(in crate::emulator) fn start_balancer(&mut self, index: usize) {
        let seeds: Vec<_> = self.balancers.iter().take(3).map(|it| it.address).collect();
        let balancer = &mut self.balancers[index];
        balancer.start += 1;
        balancer.leaving = false;
        let me = message::Member {
            address: balancer.address,
            zone: Arc::from(format!("zone-{}", balancer.zone)),
            incarnation: balancer.start,
            link_mbps: 1_000,
            silent_ms: 0,
        };
        let random = rendezvous::hash_address(balancer.address.into(), balancer.start);
        balancer.machine = Some(machine::Machine::new(me, seeds, random));
        let start = balancer.start;
        self.tick(index, start);
    }

    pub(super) fn tick(&mut self, index: usize, start: u64) {
        if self.balancers[index].start != start || self.balancers[index].machine.is_none() {
            return;
        }
        let paused_until = self.balancers[index].paused_until;
        if self.now < paused_until {
            let wait = paused_until - self.now;
            return self.at(wait, Event::Tick(index, start));
        }
        self.drive(index, |machine, now| machine.tick(now));
        self.at(TICK, Event::Tick(index, start));
    }

    /// Feeds a machine, and carries out what it asks for.
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
        let held = match machine.is_holding() {
            true => Vec::new(),
            false => std::mem::take(&mut balancer.held),
        };
        let actions = machine.take_actions();
        self.carry_out(index, actions);
        for packet in held {
            self.packet(index, packet);
        }
    }

    fn carry_out(&mut self, index: usize, actions: Vec<machine::Action>) {
        if self.method == Method::Hash {
            return;
        }
        let start = self.balancers[index].start;
        for action in actions {
            match action {
                machine::Action::Send { to, message } => {
                    for to in to {
                        self.send(index, to, message.clone());
                    }
                }
                machine::Action::Call(call) => self.call(index, call),
                machine::Action::Pull { from, pull } => self.pull(index, from, &pull),
                machine::Action::Probe { target, .. } => self.probe(index, start, target),
                machine::Action::Reset { flow, .. } => self.reset(flow),
                machine::Action::Log(event) => self.note(index, &event),
                machine::Action::Latency(_) => {}
            }
        }
    }

    /// Records changed beliefs.
    fn note(&mut self, index: usize, event: &machine::Event) {
        let at = self.since_load(self.now);
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
        // A message that cannot be encoded would be a fault of its type; it counts no bytes.
        let bytes = postcard::to_stdvec(&message).map_or(0, |it| it.len());
        let volume = self.report.control.entry(kind(&message)).or_default();
        volume.messages += 1;
        volume.bytes += u64::try_from(bytes).unwrap_or(0);
        let (from, zone) = (self.balancers[index].address, self.balancers[index].zone);
        let Some(peer) = self.peer(to) else {
            return;
        };
        if let Some(delay) = self.links.between(zone, self.balancers[peer].zone) {
            self.at(delay, Event::Message(peer, from, message));
        }
    }

    fn call(&mut self, index: usize, call: reader::Call) {
        self.store.calls += 1;
        let start = self.balancers[index].start;
        if self.store.down {
            return self.at(reader::TIMEOUT, Event::Answered(index, start, call, None));
        }
        match call {
            reader::Call::List { short, .. } => {
                let answer = Some(self.store.list(short));
                self.at(STORE, Event::Answered(index, start, call, answer));
            }
            reader::Call::Watch { after } => self.store.waiting.push(store::Waiting {
                balancer: index,
                start,
                after,
                until: self.now + reader::WATCH_WAIT,
            }),
        }
    }

    pub(super) fn answered(
        &mut self,
        index: usize,
        start: u64,
        call: reader::Call,
        answer: Option<reader::Answer>,
    ) {
        if self.balancers[index].start != start {
            return;
        }
        self.drive(index, |machine, now| machine.call_ended(now, call, answer));
    }

    fn pull(&mut self, index: usize, from: SocketAddrV4, pull: &message::Pull) {
        let (now, start) = (self.now, self.balancers[index].start);
        let Some(peer) = self.peer(from) else {
            return;
        };
        let reached = self
            .links
            .between(self.balancers[index].zone, self.balancers[peer].zone);
        let machine = self.balancers[peer]
            .machine
            .as_ref()
            .filter(|_| reached.is_some());
        if let Some(machine) = machine {
            let pulled = machine.answer_pull(now, pull);
            self.at(EXCHANGE, Event::Pulled(index, start, from, now, pulled));
        }
    }

    fn probe(&mut self, index: usize, start: u64, id: record::Id) {
        self.report.probes += 1;
        let zone = self.balancers[index].zone;
        let target = self.targets.get(&id.0).filter(|it| !it.dark);
        let reached = target
            .map(|it| it.zone)
            .and_then(|to| self.links.between(zone, to));
        let (wait, outcome) = match reached {
            Some(delay) => (delay * 2, evidence::Probe::Accepted),
            None => (PROBE_TIMEOUT, evidence::Probe::Silent),
        };
        self.at(wait, Event::Probed(index, start, id, outcome));
    }

    /// A balancer gets a packet of a client.
    pub(super) fn packet(&mut self, index: usize, packet: packet::Packet) {
        if self.now < self.balancers[index].paused_until {
            let wait = self.balancers[index].paused_until - self.now;
            return self.at(wait, Event::Packet(index, packet));
        }
        if self.method == Method::Hash {
            return self.hash(index, &packet);
        }
        let now = self.now;
        let Some(machine) = self.balancers[index].machine.as_mut() else {
            return;
        };
        let verdict = machine.packet(now, &packet);
        let actions = machine.take_actions();
        self.carry_out(index, actions);
        match verdict {
            machine::Verdict::Forward { target, cookie, .. } => {
                let cookie = cookie.unwrap_or(packet.cookie);
                self.forward(index, target.0, packet::Packet { cookie, ..packet });
            }
            machine::Verdict::Reset => {
                self.report.refused_flows += u64::from(packet.opens());
                self.reset(packet.flow);
            }
            machine::Verdict::Hold => self.balancers[index].held.push(packet),
            machine::Verdict::Drop => {}
        }
    }

    /// Forwards by rendezvous hashing over the targets that the store lists, without memory.
    fn hash(&mut self, index: usize, packet: &packet::Packet) {
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
        let delay = to.and_then(|to| self.links.between(zone, to));
        if let Some(delay) = delay {
            let far = packet.opens() && to != Some(zone);
            self.report.far_flows += u64::from(far);
            self.at(delay, Event::AtTarget(target, packet));
        }
    }

    fn reset(&mut self, flow: packet::Flow) {
        let lives = self.targets.values().any(|it| !it.dark && it.holds(&flow));
        self.report.broken_flows += u64::from(lives);
        if lives && self.now > self.excused_until {
            self.report.false_resets += 1;
        }
        self.reply(flow, Reply::Reset);
    }
}

fn kind(message: &message::Message) -> &'static str {
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
