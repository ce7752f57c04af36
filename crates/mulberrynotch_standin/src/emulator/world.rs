//! The site and its events, in the order of simulated time.

mod balancer;
mod users;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap, //
    },
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_steer::{
    evidence,
    machine,
    message,
    packet,
    reader,
    record, //
};

use super::{
    Method,
    client,
    fault,
    link,
    plan::Plan,
    report::Report,
    store,
    target, //
};
use crate::seed::Random;

/// Time before the run begins; ages reach back into it.
pub(super) const EPOCH: Duration = Duration::from_secs(3_600);

/// Time in which the balancers start before the load does.
const LEAD: Duration = Duration::from_secs(2);

/// Period of the routers' checks.
const CHECK: Duration = Duration::from_millis(500);

/// Period in which waiting watches are looked at.
const WATCH_CHECK: Duration = Duration::from_millis(5);

/// Name of the only service.
pub(super) const SERVICE: &str = "feed";

/// What a user gets.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reply {
    /// The flow opened at the target with this cookie.
    Opened(u32),
    /// The answer to a request.
    Answer(u32),
    /// The request was refused.
    Shed(u32),
    /// The flow was reset.
    Reset,
    /// The target closed the flow after an answer.
    Closed,
}

/// Something that happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    Packet(usize, packet::Packet),
    AtTarget(u64, packet::Packet),
    ToUser(usize, packet::Flow, Reply),
    UserTimer(usize, u64),
    UserBegins(usize),
    JobDone(u64, target::Job),
    Tick(usize, u64),
    Message(usize, SocketAddrV4, message::Message),
    Answered(usize, u64, reader::Call, Option<reader::Answer>),
    Pulled(usize, u64, SocketAddrV4, Duration, message::Pulled),
    Probed(usize, u64, record::Id, evidence::Probe),
    Check,
    Watches,
    Fault(usize),
    End(fault::End),
}

/// A balancer.
pub(super) struct Balancer {
    pub(super) zone: usize,
    pub(super) address: SocketAddrV4,
    pub(super) machine: Option<machine::Machine>,
    pub(super) held: Vec<packet::Packet>,
    pub(super) paused_until: Duration,
    pub(super) leaving: bool,
    /// Number of its starts; events of former ones are dropped.
    pub(super) start: u64,
    missed: u32,
}

/// The site.
pub(super) struct World {
    pub(super) plan: Plan,
    pub(super) method: Method,
    pub(super) now: Duration,
    pub(super) random: Random,
    pub(super) links: link::Links,
    pub(super) balancers: Vec<Balancer>,
    pub(super) targets: BTreeMap<u64, target::Target>,
    pub(super) store: store::Store,
    pub(super) users: Vec<client::User>,
    pub(super) by_client: HashMap<Ipv4Addr, usize>,
    pub(super) pause_factor: u64,
    /// Until when resets are excused: a cut, or what just ended one.
    pub(super) excused_until: Duration,
    pub(super) report: Report,
    pub(super) next_id: u64,
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
}

impl World {
    pub(super) fn new(plan: &Plan, method: Method) -> Self {
        let mut world = Self {
            random: Random::new(plan.seed),
            links: link::Links::new(plan.zones, plan.seed ^ 7, plan.loss_permille),
            plan: plan.clone(),
            method,
            now: EPOCH,
            balancers: Vec::new(),
            targets: BTreeMap::new(),
            store: store::Store::default(),
            users: Vec::new(),
            by_client: HashMap::new(),
            pause_factor: 1,
            excused_until: Duration::ZERO,
            report: Report::default(),
            next_id: 1,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
        };
        world.build();
        world
    }

    fn build(&mut self) {
        self.publish_configuration();
        for zone in 0..self.plan.zones {
            for _ in 0..self.plan.targets {
                self.add_target(zone, Duration::ZERO);
            }
        }
        for index in 0..self.plan.zones * self.plan.balancers {
            let zone = index % self.plan.zones;
            let [high, low] = u16::try_from(index + 1).unwrap_or(u16::MAX).to_be_bytes();
            self.balancers.push(Balancer {
                zone,
                address: SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_000),
                machine: None,
                held: Vec::new(),
                paused_until: Duration::ZERO,
                leaving: false,
                start: 0,
                missed: 2,
            });
            self.start_balancer(index);
        }
        self.add_users();
        self.at(CHECK, Event::Check);
        self.at(WATCH_CHECK, Event::Watches);
        for (index, fault) in self.plan.faults.clone().iter().enumerate() {
            self.at(
                LEAD + Duration::from_secs_f64(fault.at()),
                Event::Fault(index),
            );
        }
    }

    fn add_users(&mut self) {
        for index in 0..self.plan.zones * self.plan.users {
            let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
            let ip = Ipv4Addr::new(100, 64, high, low);
            let flow = packet::Flow {
                client: SocketAddrV4::new(ip, 1_024),
                route: route(),
            };
            let long = self.random.below(100) < self.plan.long_flows;
            self.by_client.insert(ip, index);
            let zone = index % self.plan.zones;
            self.users.push(client::User::new(zone, long, flow));
            let wait = Duration::from_millis(self.random.below(self.plan.pause_ms + 1));
            self.at(LEAD + wait, Event::UserBegins(index));
        }
    }

    fn publish_configuration(&mut self) {
        let configuration = record::Configuration {
            version: 1,
            routes: vec![record::Route {
                address: route(),
                shares: vec![record::Share {
                    service: Arc::from(SERVICE),
                    weight: 1,
                }],
            }],
            services: vec![record::Service {
                name: Arc::from(SERVICE),
                cold_per_second_milli: 4_000,
                cold_ms: 2_000,
            }],
            idle_ms: 15_000,
        };
        let body = record::Body::Configuration(Arc::new(configuration));
        self.store.put(record::Key::Configuration, Some(body));
    }

    /// Starts a target that is cold for a while, and writes its entry.
    pub(super) fn add_target(&mut self, zone: usize, cold: Duration) {
        let id = self.next_id;
        self.next_id += 1;
        let mut target = target::Target::new(id, zone, self.plan.slots, self.plan.queue);
        target.cold_until = self.now + cold;
        self.targets.insert(id, target);
        self.publish_target(id, cold);
    }

    /// Writes the entry of a target.
    pub(super) fn publish_target(&mut self, id: u64, cold: Duration) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let last = u16::try_from(id).unwrap_or(u16::MAX);
        let entry = record::Target {
            service: Arc::from(SERVICE),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), last),
            zone: Arc::from(format!("zone-{}", target.zone)),
            slots: u32::try_from(self.plan.slots).unwrap_or(1),
            draining: target.draining_since.is_some(),
            cold_ms: u32::try_from(cold.as_millis()).unwrap_or(0),
            started_ms: id,
        };
        let key = record::Key::Target(record::Id(id));
        self.store.put(key, Some(record::Body::Target(entry)));
    }

    /// Lets an event happen after a while.
    pub(super) fn at(&mut self, wait: Duration, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((self.now + wait, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub(super) fn run(mut self) -> Report {
        let end = EPOCH + LEAD + Duration::from_secs(self.plan.seconds);
        while let Some(Reverse((time, sequence))) = self.heap.pop() {
            if time >= end {
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.report.calls = self.store.calls;
        self.report.ran = self.targets.iter().map(|(id, it)| (*id, it.ran)).collect();
        let mut report = std::mem::take(&mut self.report);
        for request in &mut report.requests {
            request.began = self.since_load(request.began);
        }
        report
    }

    /// Time since the load began.
    fn since_load(&self, at: Duration) -> Duration {
        at.saturating_sub(EPOCH + LEAD)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Packet(balancer, packet) => self.packet(balancer, packet),
            Event::AtTarget(target, packet) => self.at_target(target, &packet),
            Event::ToUser(user, flow, reply) => self.take_reply(user, flow, reply),
            Event::UserTimer(user, turn) => self.user_timer(user, turn),
            Event::UserBegins(user) => self.user_begins(user),
            Event::JobDone(target, job) => self.job_done(target, job),
            Event::Tick(balancer, start) => self.tick(balancer, start),
            Event::Message(to, from, message) => {
                self.drive(to, |machine, now| machine.receive(now, from, message));
            }
            Event::Answered(balancer, start, call, answer) => {
                self.answered(balancer, start, call, answer);
            }
            Event::Pulled(balancer, start, from, started, pulled) => {
                if self.balancers[balancer].start == start {
                    let pulled = |machine: &mut machine::Machine, now| {
                        machine.pulled(now, from, started, pulled);
                    };
                    self.drive(balancer, pulled);
                }
            }
            Event::Probed(balancer, start, target, outcome) => {
                if self.balancers[balancer].start == start {
                    self.drive(balancer, |machine, now| {
                        machine.probed(now, target, outcome)
                    });
                }
            }
            Event::Check => self.check(),
            Event::Watches => self.watches(),
            Event::Fault(index) => self.begin_fault(index),
            Event::End(end) => self.end_fault(end),
        }
    }

    fn check(&mut self) {
        for balancer in &mut self.balancers {
            let ready = match self.method {
                Method::Steer => balancer
                    .machine
                    .as_ref()
                    .is_some_and(machine::Machine::is_ready),
                Method::Hash => balancer.machine.is_some() && !balancer.leaving,
            };
            let ready = ready && self.now >= balancer.paused_until;
            balancer.missed = if ready { 0 } else { balancer.missed + 1 };
        }
        self.at(CHECK, Event::Check);
    }

    fn watches(&mut self) {
        for (waiting, answer) in self.store.ended(self.now) {
            let call = reader::Call::Watch {
                after: waiting.after,
            };
            let event = Event::Answered(waiting.balancer, waiting.start, call, Some(answer));
            self.at(Duration::from_millis(2), event);
        }
        self.at(WATCH_CHECK, Event::Watches);
    }

    fn job_done(&mut self, id: u64, job: target::Job) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if target.dark {
            return;
        }
        let next = target.finish(self.now);
        let closes = target.draining_since.is_some();
        if closes {
            target.close(&job.flow);
        }
        if let Some((next, time)) = next {
            self.at(time, Event::JobDone(id, next));
        }
        self.reply(job.flow, Reply::Answer(job.number));
        if closes {
            self.reply(job.flow, Reply::Closed);
        }
    }

    /// Sends a packet of a target, or a reset, to its client.
    pub(super) fn reply(&mut self, flow: packet::Flow, reply: Reply) {
        let Some(user) = self.by_client.get(flow.client.ip()).copied() else {
            return;
        };
        // Lost answers are sent again by the target; the delay stands for that.
        let delay = self.links.client().unwrap_or(Duration::from_millis(200));
        self.at(delay, Event::ToUser(user, flow, reply));
    }

    fn at_target(&mut self, id: u64, packet: &packet::Packet) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(&id).filter(|it| !it.dark) else {
            return;
        };
        if packet.opens() {
            let since = target.draining_since;
            let late = since.is_some_and(|at| now > at + Duration::from_secs(3));
            self.report.late_openings += u64::from(late);
            self.report.flows += u64::from(!target.holds(&packet.flow));
            target.open(packet.flow);
            let cookie = mulberrynotch_steer::cookie::of(id);
            return self.reply(packet.flow, Reply::Opened(cookie));
        }
        if packet.flags.finish || packet.flags.reset {
            return target.close(&packet.flow);
        }
        if packet.length == 0 {
            return;
        }
        // A packet that waited at a paused balancer may come after its flow has closed here.
        if packet.cookie != mulberrynotch_steer::cookie::of(id) {
            self.report.moved += 1;
        }
        if !target.holds(&packet.flow) {
            return self.reply(packet.flow, Reply::Reset);
        }
        self.request_at(id, packet);
    }

    fn request_at(&mut self, id: u64, packet: &packet::Packet) {
        let number = packet.sequence / u32::from(packet.length) + 1;
        let mean = self.plan.work_ms * 1_000;
        let work = Duration::from_micros(mean * 4 / 10 + self.random.below(mean * 12 / 10));
        let job = target::Job {
            flow: packet.flow,
            number,
            work,
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        match target.take(self.now, job) {
            target::Taken::Runs(time) => self.at(time, Event::JobDone(id, job)),
            target::Taken::Shed => {
                self.report.shed += 1;
                self.reply(packet.flow, Reply::Shed(number));
            }
            target::Taken::Waits | target::Taken::Known => {}
        }
    }

    /// Balancers that get packets of a zone's clients.
    pub(super) fn rotation(&self, zone: usize) -> Vec<usize> {
        let up = |it: &usize| self.balancers[*it].missed < 2;
        let all = 0..self.balancers.len();
        let own: Vec<_> = all
            .clone()
            .filter(|it| self.balancers[*it].zone == zone)
            .collect();
        let ready: Vec<_> = own.iter().copied().filter(up).collect();
        match ready.len() {
            0 => all.filter(up).collect(),
            count if count * 2 < own.len() => own,
            _ => ready,
        }
    }
}

/// Address that clients send to.
pub(super) fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}
