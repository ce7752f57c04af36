//! A running balancer whose flows carry their target in each packet.
//!
//! [`run`] feeds `mulberrynotch_steer`'s machine with packets, messages of peers, answers of the
//! store and time, and carries out its actions.

mod data;
mod dump;
mod line;
mod peer;
mod probe;
mod route;
mod shutdown;
mod store;

use std::{
    future::Future,
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::AtomicU64, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use mulberrynotch_policy::rendezvous;
use mulberrynotch_register::steering;
use mulberrynotch_steer::{
    machine,
    message,
    pace,
    packet,
    pause,
    reader, //
};
use mulberrynotch_timer::{
    queue,
    service, //
};
use quick_error::quick_error;
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    sync::watch,
    task::JoinSet, //
};

use crate::{
    admin,
    event, //
};

/// Period of the machine's clock.
const TICK: Duration = Duration::from_millis(30);

/// Time of the machine at the start of the process. Ages that peers tell reach back before the
/// start, and times are not negative.
const EPOCH: Duration = Duration::from_secs(3_600);

quick_error! {
    /// Why a process did not start, or ended.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(what: &'static str, address: SocketAddr, error: io::Error) {
            source(error)
            display("cannot bind {} {}: {}; check that the address is one of this VM and that no other process uses it", what, address, error)
        }
        /// A task that runs as long as the process ended with a fault.
        TaskEnded {
            display("a task of the process failed; restart the process and report the fault")
        }
    }
}

/// A pending call to the store.
pub type Call = Pin<Box<dyn Future<Output = Result<reader::Answer, String>> + Send>>;

/// How packets and the store look to the outside.
pub struct Ports {
    /// Reads a datagram of a client; the error says why it is none.
    pub decode: fn(&[u8]) -> Result<packet::Packet, String>,
    /// Writes the cookie of a target into a datagram.
    pub write_cookie: fn(&mut [u8], u32),
    /// Datagram that ends a flow towards its client, which holds the target's stream up to a
    /// position.
    pub reset: fn(&packet::Flow, u32) -> Vec<u8>,
    /// Longest datagram of a client, in bytes.
    pub max_datagram: usize,
    /// Calls the store at an address.
    pub call: fn(SocketAddr, reader::Call) -> Call,
    /// Path where readiness is asked for.
    pub ready_path: &'static str,
}

/// Renders the metrics of the process.
pub type Render = Box<dyn Fn() -> String + Send + Sync>;

/// What stops and reloads a process.
pub struct Signals {
    /// Number of requests to stop; the second one ends the shutdown at once.
    pub stop: watch::Receiver<u32>,
    /// Reads the settings again whenever it changes; settings that cannot be read are not sent.
    pub settings: watch::Receiver<Arc<steering::Settings>>,
}

/// A balancer that has bound its addresses.
struct Node {
    settings: Arc<steering::Settings>,
    ports: Ports,
    clock: service::Clock,
    machine: Mutex<machine::Machine>,
    held: Mutex<data::Held>,
    packets: UdpSocket,
    peers: UdpSocket,
    pulls: TcpListener,
    pace: Mutex<pace::Pace>,
    /// Time of the last packet of a client, in milliseconds of the machine's clock.
    last_packet_ms: AtomicU64,
}

/// Runs a balancer until it was told to stop and its clients have moved on.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run(ports: Ports, render: Render, signals: Signals) -> Result<(), Error> {
    let settings = signals.settings.borrow().clone();
    let start = Instant::now();
    let clock: service::Clock = Arc::new(move || EPOCH + start.elapsed());
    let timers = service::Service::new(clock.clone());
    let node = Node::bind(settings, ports, clock).await?;
    // The first call to the store does not wait for the clock.
    node.drive(|machine, now| machine.tick(now));
    let mut running = JoinSet::new();
    running.spawn(timers.clone().run());
    running.spawn(node.clone().ticks(timers.clone()));
    running.spawn(node.clone().forward());
    running.spawn(node.clone().receive());
    running.spawn(node.clone().answer_pulls());
    running.spawn(node.clone().reload(signals.settings));
    running.spawn(node.serve_ready().await?.run());
    running.spawn(node.serve_admin(render).await?.run());
    node.log_start();
    tokio::select! {
        () = node.shut_down(&timers, signals.stop) => Ok(()),
        _ = running.join_next() => Err(Error::TaskEnded),
    }
}

impl Node {
    async fn bind(
        settings: Arc<steering::Settings>,
        ports: Ports,
        clock: service::Clock,
    ) -> Result<Arc<Self>, Error> {
        let packet_address = SocketAddr::V4(settings.packet_address);
        let packets = UdpSocket::bind(packet_address)
            .await
            .map_err(|error| Error::Bind("packet_address", packet_address, error))?;
        let peer_address = SocketAddr::V4(settings.peer_address);
        let peer_error = |error| Error::Bind("peer_address", peer_address, error);
        let peers = UdpSocket::bind(peer_address).await.map_err(peer_error)?;
        let pulls = TcpListener::bind(peer_address).await.map_err(peer_error)?;
        // The runtime takes a new socket for full until it has heard of it from the system.
        for socket in [&packets, &peers] {
            socket.writable().await.map_err(peer_error)?;
        }
        let machine = start_machine(&settings);
        Ok(Arc::new(Self {
            ports,
            clock,
            machine: Mutex::new(machine),
            held: Mutex::default(),
            packets,
            peers,
            pulls,
            pace: Mutex::new(pace::Pace::new(settings.link_mbps)),
            last_packet_ms: AtomicU64::new(0),
            settings,
        }))
    }

    async fn serve_ready(self: &Arc<Self>) -> Result<admin::Server, Error> {
        let address = SocketAddr::V4(self.settings.readiness_address);
        let content = admin::Content::health_only(self.ports.ready_path, self.healthy());
        let server = admin::Server::bind(address, content).await;
        server.map_err(|error| Error::Bind("readiness_address", address, error))
    }

    async fn serve_admin(self: &Arc<Self>, render: Render) -> Result<admin::Server, Error> {
        let address = SocketAddr::V4(self.settings.admin_address);
        let (dumped, measured, asked) = (self.clone(), self.clone(), self.clone());
        let content = admin::Content {
            dump: Box::new(move || dumped.dump()),
            metrics: Box::new(move || {
                measured.publish_counters();
                render()
            }),
            healthy: self.healthy(),
            health_path: admin::HEALTH_PATH,
            route: Some(Box::new(move |packet| asked.explain(packet))),
        };
        let server = admin::Server::bind(address, content).await;
        server.map_err(|error| Error::Bind("admin_address", address, error))
    }

    fn healthy(self: &Arc<Self>) -> Box<dyn Fn() -> bool + Send + Sync> {
        let node = self.clone();
        Box::new(move || node.lock().is_ready())
    }

    fn log_start(&self) {
        event::info(
            "started",
            &[
                ("name", &self.settings.name),
                ("zone", &self.settings.zone),
                ("packet_address", &self.settings.packet_address),
                ("peer_address", &self.settings.peer_address),
                ("admin_address", &self.settings.admin_address),
                ("store_address", &self.settings.store_address),
                ("version", &env!("CARGO_PKG_VERSION")),
            ],
        );
    }

    fn now(&self) -> Duration {
        (self.clock)()
    }

    fn lock_pace(&self) -> MutexGuard<'_, pace::Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, machine::Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Feeds the machine and carries out what follows.
    fn drive(self: &Arc<Self>, feed: impl FnOnce(&mut machine::Machine, Duration)) {
        let now = self.now();
        let actions = {
            let mut machine = self.lock();
            feed(&mut machine, now);
            self.release(&mut machine, now);
            machine.take_actions()
        };
        self.carry_out(now, actions);
    }

    fn carry_out(self: &Arc<Self>, now: Duration, actions: Vec<machine::Action>) {
        for action in actions {
            match action {
                machine::Action::Send { to, message } => self.send(&to, &message),
                machine::Action::Call(call) => drop(tokio::spawn(self.clone().call(call))),
                machine::Action::Pull { from, pull } => {
                    drop(tokio::spawn(self.clone().pull(from, pull)));
                }
                machine::Action::Probe { target, address } => {
                    drop(tokio::spawn(self.clone().probe(target, address)));
                }
                machine::Action::Reset { flow, acknowledged } => {
                    self.send_reset(now, &flow, acknowledged);
                }
                machine::Action::Latency(latency) => {
                    metrics::histogram!("mulberrynotch_open_seconds").record(latency);
                }
                machine::Action::Log(event) => line::write(now, &event),
            }
        }
    }

    async fn ticks(self: Arc<Self>, timers: service::Service) {
        let mut pauses = pause::Detector::default();
        let mut ticks = timers.subscribe(queue::Schedule::Every(TICK));
        while ticks.next().await.is_some() {
            let pause = elapsed().and_then(|elapsed| pauses.observe(self.now(), elapsed));
            self.drive(|machine, now| {
                if let Some(length) = pause {
                    machine.paused(now, length);
                }
                machine.tick(now);
            });
        }
    }

    async fn reload(self: Arc<Self>, mut settings: watch::Receiver<Arc<steering::Settings>>) {
        while settings.changed().await.is_ok() {
            let new = settings.borrow_and_update().clone();
            let restart = new.needs_restart(&self.settings);
            {
                let mut machine = self.lock();
                machine.set_seeds(new.seeds.clone());
                machine.set_step_aside(new.step_aside);
            }
            let seeds = new.seeds.len();
            event::info(
                "reloaded",
                &[
                    ("seeds", &seeds),
                    ("step_aside", &new.step_aside),
                    ("restart_needed", &restart),
                ],
            );
        }
        // The sender lives as long as the process.
        std::future::pending::<()>().await;
    }
}

fn start_machine(settings: &steering::Settings) -> machine::Machine {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // Grows at each start without stored state, unless the time of day is set back.
    let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let me = message::Member {
        address: settings.peer_address,
        zone: settings.zone.clone(),
        incarnation,
        link_mbps: settings.link_mbps,
        silent_ms: 0,
    };
    let random = rendezvous::weight(rendezvous::hash_name(&settings.name), incarnation);
    let mut machine = machine::Machine::new(me, settings.seeds.clone(), random);
    machine.set_step_aside(settings.step_aside);
    machine
}

/// Time since the VM's start, suspensions included.
fn elapsed() -> Option<Duration> {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(time))
}

/// An IPv4 address; peers and targets have no other ones.
fn v4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
