//! The process of a balancer that forwards packets by the target cookie that each packet carries.
//!
//! [`run`] feeds the state machine of `mulberrynotch_steer` with client packets, peer messages,
//! store responses and clock ticks, and carries out the actions that it returns.

mod data;
mod dump;
mod log;
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
    pacing,
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

/// Interval between ticks of the state machine.
const TICK: Duration = Duration::from_millis(30);

/// Clock value of the state machine at the start of the process. It is well above zero because
/// ages reported by peers reach back before the start and a [`Duration`] cannot be negative.
const EPOCH: Duration = Duration::from_secs(3_600);

quick_error! {
    /// Reasons for a failed start or an unexpected end of the process.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(setting: &'static str, address: SocketAddr, error: io::Error) {
            source(error)
            display("cannot bind {} {}: {}; check that the address is one of this VM and that no other process uses it", setting, address, error)
        }
        /// A task that should run as long as the process ended.
        TaskEnded {
            display("a task of the process failed; restart the process and report the fault")
        }
    }
}

/// A pending call to the store.
pub type Call = Pin<Box<dyn Future<Output = Result<reader::Answer, String>> + Send>>;

/// Functions and constants that adapt packets and the store to the users' platform.
pub struct Platform {
    /// Decodes a client's datagram; the error states why it is not a valid packet.
    pub decode: fn(&[u8]) -> Result<packet::Packet, String>,
    /// Writes the cookie of a target into a datagram.
    pub write_cookie: fn(&mut [u8], u32),
    /// Encodes the reset of a flow for its client. The second argument is the position up to which
    /// the client has acknowledged the target's stream.
    pub encode_reset: fn(&packet::Flow, u32) -> Vec<u8>,
    /// Largest datagram of a client, in bytes.
    pub max_datagram_bytes: usize,
    /// Calls the store at an address.
    pub call_store: fn(SocketAddr, reader::Call) -> Call,
    /// HTTP path of the readiness check.
    pub readiness_path: &'static str,
}

/// Renders the metrics of the process as Prometheus text.
pub type Render = Box<dyn Fn() -> String + Send + Sync>;

/// Channels that stop and reload a process.
pub struct Signals {
    /// Number of stop requests received; the second one ends the shutdown immediately.
    pub stop: watch::Receiver<u32>,
    /// Latest valid settings; the process reloads them on each change.
    pub settings: watch::Receiver<Arc<steering::Settings>>,
}

/// A balancer with its sockets bound.
struct Node {
    settings: Arc<steering::Settings>,
    platform: Platform,
    clock: service::Clock,
    machine: Mutex<machine::Machine>,
    hold_queue: Mutex<data::HoldQueue>,
    packet_socket: UdpSocket,
    peer_socket: UdpSocket,
    pull_listener: TcpListener,
    pull_limiter: Mutex<pacing::Pacer>,
    /// Time of the last client packet, in milliseconds on the state machine's clock.
    last_packet_ms: AtomicU64,
}

/// Runs a balancer until a stop is requested and its clients have moved to other balancers.
///
/// # Errors
///
/// Fails when an address cannot be bound or a task of the process ends.
pub async fn run(platform: Platform, render: Render, signals: Signals) -> Result<(), Error> {
    let settings = signals.settings.borrow().clone();
    let start = Instant::now();
    let clock: service::Clock = Arc::new(move || EPOCH + start.elapsed());
    let timers = service::Service::new(clock.clone());
    let node = Node::bind(settings, platform, clock).await?;
    // Starts the first store call without waiting for the first tick.
    node.drive(|machine, now| machine.tick(now));
    let mut running = JoinSet::new();
    running.spawn(timers.clone().run());
    running.spawn(node.clone().run_ticks(timers.clone()));
    running.spawn(node.clone().forward());
    running.spawn(node.clone().receive());
    running.spawn(node.clone().serve_pulls());
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
        platform: Platform,
        clock: service::Clock,
    ) -> Result<Arc<Self>, Error> {
        let packet_address = SocketAddr::V4(settings.packet_address);
        let packet_socket = UdpSocket::bind(packet_address)
            .await
            .map_err(|error| Error::Bind("packet_address", packet_address, error))?;
        let peer_address = SocketAddr::V4(settings.peer_address);
        let peer_error = |error| Error::Bind("peer_address", peer_address, error);
        let peer_socket = UdpSocket::bind(peer_address).await.map_err(peer_error)?;
        let pull_listener = TcpListener::bind(peer_address).await.map_err(peer_error)?;
        // Tokio reports a new socket as not writable until its first readiness event arrives.
        for socket in [&packet_socket, &peer_socket] {
            socket.writable().await.map_err(peer_error)?;
        }
        let machine = new_machine(&settings);
        Ok(Arc::new(Self {
            platform,
            clock,
            machine: Mutex::new(machine),
            hold_queue: Mutex::default(),
            packet_socket,
            peer_socket,
            pull_listener,
            pull_limiter: Mutex::new(pacing::Pacer::new(settings.link_mbps)),
            last_packet_ms: AtomicU64::new(0),
            settings,
        }))
    }

    async fn serve_ready(self: &Arc<Self>) -> Result<admin::Server, Error> {
        let address = SocketAddr::V4(self.settings.readiness_address);
        let content =
            admin::Content::health_only(self.platform.readiness_path, self.health_check());
        let server = admin::Server::bind(address, content).await;
        server.map_err(|error| Error::Bind("readiness_address", address, error))
    }

    async fn serve_admin(self: &Arc<Self>, render: Render) -> Result<admin::Server, Error> {
        let address = SocketAddr::V4(self.settings.admin_address);
        let (dump_node, metrics_node, route_node) = (self.clone(), self.clone(), self.clone());
        let content = admin::Content {
            dump: Box::new(move || dump_node.dump()),
            metrics: Box::new(move || {
                metrics_node.publish_counters();
                render()
            }),
            healthy: self.health_check(),
            health_path: admin::HEALTH_PATH,
            route: Some(Box::new(move |packet| route_node.explain(packet))),
        };
        let server = admin::Server::bind(address, content).await;
        server.map_err(|error| Error::Bind("admin_address", address, error))
    }

    fn health_check(self: &Arc<Self>) -> Box<dyn Fn() -> bool + Send + Sync> {
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

    fn lock_pull_limiter(&self) -> MutexGuard<'_, pacing::Pacer> {
        self.pull_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, machine::Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `feed` to the state machine and carries out the resulting actions.
    fn drive(self: &Arc<Self>, feed: impl FnOnce(&mut machine::Machine, Duration)) {
        let now = self.now();
        let actions = {
            let mut machine = self.lock();
            feed(&mut machine, now);
            self.release_held(&mut machine, now);
            machine.take_actions()
        };
        self.carry_out(now, actions);
    }

    fn carry_out(self: &Arc<Self>, now: Duration, actions: Vec<machine::Action>) {
        for action in actions {
            match action {
                machine::Action::Send { to, message } => self.send(&to, &message),
                machine::Action::Call(call) => drop(tokio::spawn(self.clone().call_store(call))),
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
                machine::Action::Log(event) => log::write(now, &event),
            }
        }
    }

    async fn run_ticks(self: Arc<Self>, timers: service::Service) {
        let mut pauses = pause::Detector::default();
        let mut ticks = timers.subscribe(queue::Schedule::Every(TICK));
        while ticks.next().await.is_some() {
            let pause = time_since_boot().and_then(|boot| pauses.observe(self.now(), boot));
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
                machine.set_withdrawal_allowed(new.step_aside);
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
        // The sender is dropped only when the process ends.
        std::future::pending::<()>().await;
    }
}

fn new_machine(settings: &steering::Settings) -> machine::Machine {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // Increases with each start without stored state, unless the wall clock is set back.
    let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let me = message::Member {
        address: settings.peer_address,
        zone: settings.zone.clone(),
        incarnation,
        link_mbps: settings.link_mbps,
        silent_ms: 0,
    };
    let seed = rendezvous::weight(rendezvous::hash_name(&settings.name), incarnation);
    let mut machine = machine::Machine::new(me, settings.seeds.clone(), seed);
    machine.set_withdrawal_allowed(settings.step_aside);
    machine
}

/// Returns the time since the VM booted, including time spent suspended.
fn time_since_boot() -> Option<Duration> {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(time))
}

/// Returns the IPv4 address; peers and targets have only IPv4 addresses.
fn v4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
