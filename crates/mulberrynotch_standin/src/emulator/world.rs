//! State of the simulated site and its event loop.

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
    plan::{
        Fault,
        Plan, //
    },
    report::Report,
    store,
    target, //
};
use crate::seed::Random;

/// Simulated time at the start of a run; above zero so that ages can be subtracted from it.
pub(super) const EPOCH: Duration = Duration::from_secs(3_600);

/// Time for the balancers to start before the load begins.
const WARMUP: Duration = Duration::from_secs(2);

/// Period of the routers' health checks.
const HEALTH_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Period at which pending watches are checked.
const WATCH_CHECK_PERIOD: Duration = Duration::from_millis(5);

/// Name of the only service of the site.
pub(super) const SERVICE: &str = "feed";

/// Packet of a target or balancer to a user.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reply {
    /// The flow was opened by the target with this cookie.
    Opened(u32),
    /// The request with this number was answered.
    Answer(u32),
    /// The request with this number was shed.
    Shed(u32),
    /// The flow was reset.
    Reset,
    /// The target closed the flow after an answer.
    Closed,
}

/// Scheduled event.
#[derive(Debug)]
pub(super) enum Event {
    Packet(usize, packet::Packet),
    TargetPacket(u64, packet::Packet),
    UserReply(usize, packet::Flow, Reply),
    UserTimer(usize, u64),
    StartRequest(usize),
    JobDone(u64, target::Job),
    Tick(usize, u64),
    Message(usize, SocketAddrV4, message::Message),
    StoreAnswer(usize, u64, reader::Call, Option<reader::Answer>),
    Pulled(usize, u64, SocketAddrV4, Duration, message::Pulled),
    Probed(usize, u64, record::Id, evidence::Probe),
    HealthCheck,
    CheckWatches,
    InjectFault(usize),
    Followup(fault::Followup),
}

/// A balancer with the state that routers and network see of it.
pub(super) struct Balancer {
    pub(super) zone: usize,
    pub(super) address: SocketAddrV4,
    pub(super) machine: Option<machine::Machine>,
    pub(super) held_packets: Vec<packet::Packet>,
    pub(super) paused_until: Duration,
    pub(super) leaving: bool,
    pub(super) started_at: Duration,
    /// Number of starts; events of earlier incarnations are dropped.
    pub(super) incarnation: u64,
    failed_checks: u32,
}

/// State of a simulated site.
pub(super) struct World {
    pub(super) plan: Plan,
    pub(super) method: Method,
    pub(super) now: Duration,
    pub(super) random: Random,
    pub(super) links: link::Links,
    pub(super) balancers: Vec<Balancer>,
    pub(super) targets: BTreeMap<u64, target::Target>,
    pub(super) store: store::Store,
    /// Versions of the configuration with the times of their publication.
    pub(super) published: Vec<(Duration, u64)>,
    pub(super) users: Vec<client::User>,
    pub(super) users_by_ip: HashMap<Ipv4Addr, usize>,
    pub(super) pause_factor: u64,
    /// Resets of open flows are not counted as false until this time: a partition or a pause is in
    /// progress or has just ended.
    pub(super) resets_allowed_until: Duration,
    pub(super) report: Report,
    pub(super) next_target_id: u64,
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
            store: store::Store::new(),
            published: Vec::new(),
            users: Vec::new(),
            users_by_ip: HashMap::new(),
            pause_factor: 1,
            resets_allowed_until: Duration::ZERO,
            report: Report::default(),
            next_target_id: 1,
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
                held_packets: Vec::new(),
                paused_until: Duration::ZERO,
                leaving: false,
                started_at: Duration::ZERO,
                incarnation: 0,
                failed_checks: 2,
            });
            self.start_balancer(index);
        }
        self.add_users();
        self.schedule(HEALTH_CHECK_PERIOD, Event::HealthCheck);
        self.schedule(WATCH_CHECK_PERIOD, Event::CheckWatches);
        for (index, fault) in self.plan.faults.clone().iter().enumerate() {
            if let Fault::StoreRestored { at, age, .. } = fault {
                let copied_at = WARMUP + Duration::from_secs_f64((at - age).max(0.0));
                self.schedule(copied_at, Event::Followup(fault::Followup::CopyStore));
            }
            self.schedule(
                WARMUP + Duration::from_secs_f64(fault.at()),
                Event::InjectFault(index),
            );
        }
    }

    fn add_users(&mut self) {
        for index in 0..self.plan.zones * self.plan.users {
            let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
            let ip = Ipv4Addr::new(100, 64, high, low);
            let flow = packet::Flow {
                client: SocketAddrV4::new(ip, 1_024),
                route: service_address(),
            };
            let long_lived = self.random.below(100) < self.plan.long_flows;
            self.users_by_ip.insert(ip, index);
            let zone = index % self.plan.zones;
            self.users.push(client::User::new(zone, long_lived, flow));
            let wait = Duration::from_millis(self.random.below(self.plan.pause_ms + 1));
            self.schedule(WARMUP + wait, Event::StartRequest(index));
        }
    }

    /// Writes the next version of the configuration to the store.
    pub(super) fn publish_configuration(&mut self) {
        let version = self.published.last().map_or(1, |(_, version)| version + 1);
        self.published.push((self.now, version));
        let configuration = record::Configuration {
            version,
            routes: vec![record::Route {
                address: service_address(),
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

    /// Starts a target that is cold for the given time, and writes its entry to the store.
    pub(super) fn add_target(&mut self, zone: usize, cold: Duration) {
        let id = self.next_target_id;
        self.next_target_id += 1;
        let mut target = target::Target::new(id, zone, self.plan.slots, self.plan.queue);
        target.cold_until = self.now + cold;
        self.targets.insert(id, target);
        self.publish_target(id, cold);
    }

    /// Writes the entry of a target to the store.
    pub(super) fn publish_target(&mut self, id: u64, cold: Duration) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let port = u16::try_from(id).unwrap_or(u16::MAX);
        let entry = record::Target {
            service: Arc::from(SERVICE),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), port),
            zone: Arc::from(format!("zone-{}", target.zone)),
            slots: u32::try_from(self.plan.slots).unwrap_or(1),
            draining: target.draining_since.is_some(),
            cold_ms: u32::try_from(cold.as_millis()).unwrap_or(0),
            started_ms: id,
        };
        let key = record::Key::Target(record::Id(id));
        self.store.put(key, Some(record::Body::Target(entry)));
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule(&mut self, wait: Duration, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((self.now + wait, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub(super) fn run(mut self) -> Report {
        let end = EPOCH + WARMUP + Duration::from_secs(self.plan.seconds);
        while let Some(Reverse((time, sequence))) = self.heap.pop() {
            if time >= end {
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.report.store_calls = self.store.calls;
        self.report.completed = self
            .targets
            .iter()
            .map(|(id, it)| (*id, it.completed))
            .collect();
        let mut report = std::mem::take(&mut self.report);
        for request in &mut report.requests {
            request.started_at = self.load_time(request.started_at);
        }
        report
    }

    /// Converts simulated time to time since the start of the load.
    fn load_time(&self, at: Duration) -> Duration {
        at.saturating_sub(EPOCH + WARMUP)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Packet(balancer, packet) => self.handle_packet(balancer, packet),
            Event::TargetPacket(target, packet) => self.deliver_to_target(target, &packet),
            Event::UserReply(user, flow, reply) => self.handle_reply(user, flow, reply),
            Event::UserTimer(user, generation) => self.handle_user_timer(user, generation),
            Event::StartRequest(user) => self.start_request(user),
            Event::JobDone(target, job) => self.job_done(target, job),
            Event::Tick(balancer, incarnation) => self.tick(balancer, incarnation),
            Event::Message(to, from, message) => {
                self.drive(to, |machine, now| machine.receive(now, from, message));
            }
            Event::StoreAnswer(balancer, incarnation, call, answer) => {
                self.handle_store_answer(balancer, incarnation, call, answer);
            }
            Event::Pulled(balancer, incarnation, from, started, pulled) => {
                if self.balancers[balancer].incarnation == incarnation {
                    let feed = |machine: &mut machine::Machine, now| {
                        machine.pulled(now, from, started, pulled);
                    };
                    self.drive(balancer, feed);
                }
            }
            Event::Probed(balancer, incarnation, target, outcome) => {
                if self.balancers[balancer].incarnation == incarnation {
                    self.drive(balancer, |machine, now| {
                        machine.probed(now, target, outcome)
                    });
                }
            }
            Event::HealthCheck => self.check_health(),
            Event::CheckWatches => self.check_watches(),
            Event::InjectFault(index) => self.inject_fault(index),
            Event::Followup(followup) => self.apply_followup(followup),
        }
    }

    fn check_health(&mut self) {
        for balancer in &mut self.balancers {
            let ready = match self.method {
                Method::Steer => balancer
                    .machine
                    .as_ref()
                    .is_some_and(machine::Machine::is_ready),
                Method::Hash => balancer.machine.is_some() && !balancer.leaving,
            };
            let ready = ready && self.now >= balancer.paused_until;
            balancer.failed_checks = if ready { 0 } else { balancer.failed_checks + 1 };
        }
        self.schedule(HEALTH_CHECK_PERIOD, Event::HealthCheck);
    }

    fn check_watches(&mut self) {
        for (watch, answer) in self.store.take_finished_watches(self.now) {
            let call = reader::Call::Watch {
                after: watch.after,
                wait: reader::WATCH_WAIT,
            };
            let event = Event::StoreAnswer(watch.balancer, watch.incarnation, call, Some(answer));
            self.schedule(Duration::from_millis(2), event);
        }
        self.schedule(WATCH_CHECK_PERIOD, Event::CheckWatches);
    }

    fn job_done(&mut self, id: u64, job: target::Job) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if target.unresponsive {
            return;
        }
        let next = target.finish(self.now);
        let is_draining = target.draining_since.is_some();
        if is_draining {
            target.close(&job.flow);
        }
        if let Some((next, time)) = next {
            self.schedule(time, Event::JobDone(id, next));
        }
        self.reply(job.flow, Reply::Answer(job.number));
        if is_draining {
            self.reply(job.flow, Reply::Closed);
        }
    }

    /// Sends a reply of a target, or a reset of a balancer, to the client of the flow.
    pub(super) fn reply(&mut self, flow: packet::Flow, reply: Reply) {
        let Some(user) = self.users_by_ip.get(flow.client.ip()).copied() else {
            return;
        };
        // The target retransmits lost replies; the longer delay models that.
        let delay = self
            .links
            .client_delay()
            .unwrap_or(Duration::from_millis(200));
        self.schedule(delay, Event::UserReply(user, flow, reply));
    }

    fn deliver_to_target(&mut self, id: u64, packet: &packet::Packet) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(&id).filter(|it| !it.unresponsive) else {
            return;
        };
        if packet.opens() {
            let since = target.draining_since;
            let late = since.is_some_and(|at| now > at + Duration::from_secs(3));
            self.report.late_openings += u64::from(late);
            self.report.flows += u64::from(!target.has_flow(&packet.flow));
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
        // A packet held by a paused balancer can arrive after its flow was closed here.
        if packet.cookie != mulberrynotch_steer::cookie::of(id) {
            self.report.misrouted_packets += 1;
        }
        if !target.has_flow(&packet.flow) {
            return self.reply(packet.flow, Reply::Reset);
        }
        self.offer_request(id, packet);
    }

    fn offer_request(&mut self, id: u64, packet: &packet::Packet) {
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
        match target.admit(self.now, job) {
            target::Admission::Started(time) => self.schedule(time, Event::JobDone(id, job)),
            target::Admission::Shed => {
                self.report.shed += 1;
                self.reply(packet.flow, Reply::Shed(number));
            }
            target::Admission::Queued | target::Admission::Duplicate => {}
        }
    }

    /// Returns the balancers that receive packets of a zone's clients: the ready ones of the zone,
    /// all of the zone when fewer than half of them are ready, and the ready ones of all zones when
    /// none of them is.
    pub(super) fn rotation(&self, zone: usize) -> Vec<usize> {
        let is_up = |it: &usize| self.balancers[*it].failed_checks < 2;
        let all = 0..self.balancers.len();
        let in_zone: Vec<_> = all
            .clone()
            .filter(|it| self.balancers[*it].zone == zone)
            .collect();
        let ready: Vec<_> = in_zone.iter().copied().filter(is_up).collect();
        match ready.len() {
            0 => all.filter(is_up).collect(),
            count if count * 2 < in_zone.len() => in_zone,
            _ => ready,
        }
    }
}

/// Returns the service address that clients connect to.
pub(super) fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}
