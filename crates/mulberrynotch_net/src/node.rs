//! A running process: state machines, adapters, their tasks and the graceful shutdown.

mod shutdown;
mod status;

use std::{
    io,
    sync::{
        Arc, //
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use mulberrynotch_policy::{
    control,
    rendezvous, //
};
use mulberrynotch_register::settings;
use mulberrynotch_timer::{
    queue,
    service, //
};
use mulberrynotch_wire::{
    envelope,
    frame, //
};
use quick_error::quick_error;
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    task::JoinSet, //
};

pub use self::shutdown::Outcome;
use crate::{
    admin,
    core,
    event,
    peer,
    platform,
    probe,
    snapshot,
    tcp,
    udp, //
};

/// Ticks between attempts to bind addresses that could not be bound before.
const TICKS_PER_REFRESH: u32 = 10;

/// Delay before reading again after an error of the peer socket.
const ERROR_WAIT: Duration = Duration::from_millis(10);

quick_error! {
    /// Reasons for a failed start or an unexpected end of the process.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(purpose: &'static str, address: std::net::SocketAddr, error: io::Error) {
            source(error)
            display("cannot bind {} {}: {}; check that the address is one of this VM and that no other process uses it", purpose, address, error)
        }
        /// The secret with this id is not 32 bytes in hexadecimal.
        Secret(id: u8) {
            display("secret {} is not 32 bytes in hexadecimal; write 64 hexadecimal digits", id)
        }
        /// The name does not fit into the envelope of a frame.
        Name {
            display("`name` is longer than 255 bytes; choose a shorter one")
        }
        /// A task that should run as long as the process ended.
        TaskEnded {
            display("a task of the process failed; restart the process and report the fault")
        }
        /// The settings contain no secret.
        NoSecret {
            display("`secrets` is empty; add a secret that all balancers share")
        }
    }
}

/// A process with its addresses bound.
pub struct Node {
    settings: settings::Settings,
    core: Arc<core::Core>,
    udp: Arc<udp::Adapter>,
    tcp: Arc<tcp::Adapter>,
    platform: Arc<platform::Client>,
    prober: probe::Prober,
    /// True once the view has allowed the process to serve its own zone.
    joined: AtomicBool,
    draining: AtomicBool,
}

/// Runs a process until the first change of `stop`, then drains it and returns.
///
/// `metrics` renders the metrics as Prometheus text. A second change of `stop` ends the drain.
///
/// # Errors
///
/// Fails when an address cannot be bound, the name or a secret is invalid, or a task ends.
pub async fn run(
    settings: settings::Settings,
    metrics: Box<dyn Fn() -> String + Send + Sync>,
    stop: watch::Receiver<u32>,
) -> Result<Outcome, Error> {
    let start = std::time::Instant::now();
    let clock: service::Clock = Arc::new(move || start.elapsed());
    let timers = service::Service::new(clock.clone());
    let (node, tasks) = Node::new(settings, clock)?;
    let content = admin::Content {
        dump: Box::new({
            let node = node.clone();
            move || node.dump()
        }),
        metrics,
        healthy: Box::new({
            let node = node.clone();
            move || node.is_ready()
        }),
        health_path: admin::HEALTH_PATH,
        route: None,
    };
    let admin_address = node.settings.admin_address;
    let admin = admin::Server::bind(admin_address, content)
        .await
        .map_err(|error| Error::Bind("admin_address", admin_address, error))?;
    let mut running = JoinSet::new();
    running.spawn(timers.clone().run());
    running.spawn(admin.run());
    running.spawn(node.clone().run_ticks(timers.clone()));
    running.spawn(node.clone().run_tasks(tasks));
    running.spawn(node.clone().receive());
    running.spawn({
        let peer = node.core.peer.clone();
        async move { peer.send_queued().await }
    });
    event::info(
        "started",
        &[
            ("name", &node.settings.name),
            ("zone", &node.settings.zone),
            ("peer_address", &node.settings.peer_address),
            ("admin_address", &admin_address),
        ],
    );
    tokio::select! {
        outcome = node.shut_down(&timers, stop) => Ok(outcome),
        _ = running.join_next() => Err(Error::TaskEnded),
    }
}

impl Node {
    fn new(
        settings: settings::Settings,
        clock: service::Clock,
    ) -> Result<(Arc<Self>, mpsc::UnboundedReceiver<core::Task>), Error> {
        let (sender, tasks) = mpsc::unbounded_channel();
        if settings.name.len() > usize::from(u8::MAX) {
            return Err(Error::Name);
        }
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        // Increases with each start without stored state.
        let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let seed = rendezvous::weight(rendezvous::hash_name(&settings.name), incarnation);
        let core = core::Core::new(
            &settings,
            keyring(&settings)?,
            clock,
            incarnation,
            seed,
            sender,
        )
        .map_err(|error| Error::Bind("peer_address", settings.peer_address, error))?;
        let ingress = match settings.ingress {
            settings::Ingress::Proxy { address, .. } => address,
            settings::Ingress::Direct => settings.peer_address,
        };
        let udp = udp::Adapter::new(core.clone(), settings.ingress.clone())
            .map_err(|error| Error::Bind("ingress address", ingress, error))?;
        let tcp = tcp::Adapter::new(core.clone(), &settings)
            .map_err(|error| Error::Bind("peer_address or ingress address", ingress, error))?;
        let node = Arc::new(Self {
            platform: Arc::new(platform::Client::new(
                settings.platform_address,
                core.clock.clone(),
            )),
            prober: probe::Prober::new(core.clone()),
            settings,
            core,
            udp,
            tcp,
            joined: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        });
        Ok((node, tasks))
    }

    /// Returns true while the process accepts new work: it has a register, has joined its peers and
    /// is not draining. A process that loses its peers later stays ready and serves by its last
    /// state.
    fn is_ready(&self) -> bool {
        let view = self.core.view();
        if view.register.revision > 0 && view.own_zone_ready {
            self.joined.store(true, Ordering::Relaxed);
        }
        self.joined.load(Ordering::Relaxed) && !self.draining.load(Ordering::Relaxed)
    }

    async fn run_ticks(self: Arc<Self>, timers: service::Service) {
        let mut ticks = timers.subscribe(queue::Schedule::Every(core::TICK));
        let mut until_refresh = TICKS_PER_REFRESH;
        while let Some(late) = ticks.next().await {
            metrics::gauge!("mulberrynotch_timer_late_seconds").set(late.as_secs_f64());
            self.core.tick();
            self.prober.tick();
            until_refresh -= 1;
            if until_refresh == 0 {
                until_refresh = TICKS_PER_REFRESH;
                self.refresh();
            }
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; peer::MAX_DATAGRAM_BYTES];
        loop {
            match self.core.peer.receive(&mut buffer).await {
                Ok(Some((address, received))) => match received.frame {
                    frame::Frame::Data(header) => {
                        self.udp.forwarded(received.from, &header, received.payload);
                    }
                    frame => self.core.receive(received.from, address, frame),
                },
                Ok(None) => {}
                Err(_) => tokio::time::sleep(ERROR_WAIT).await,
            }
        }
    }

    async fn run_tasks(self: Arc<Self>, mut tasks: mpsc::UnboundedReceiver<core::Task>) {
        let mut calls = JoinSet::new();
        while let Some(task) = tasks.recv().await {
            while calls.try_join_next().is_some() {}
            let (core, platform) = (self.core.clone(), self.platform.clone());
            match task {
                core::Task::ReadRegister => {
                    calls.spawn(async move { core.platform_responded(platform.register().await) });
                }
                core::Task::WatchRegister(above) => {
                    calls
                        .spawn(async move { core.platform_responded(platform.watch(above).await) });
                }
                core::Task::ReadMembers => {
                    calls.spawn(async move { core.platform_responded(platform.members().await) });
                }
                core::Task::FetchSnapshot(from) => {
                    calls.spawn(async move {
                        let answer = match snapshot::fetch(&core, from).await {
                            Ok(register) => control::Response::Snapshot(Arc::new(register)),
                            Err(error) => {
                                let fields: [event::Field<'_>; 2] =
                                    [("from", &from), ("error", &error)];
                                event::warn("snapshot_failed", &fields);
                                control::Response::SnapshotFailed
                            }
                        };
                        core.platform_responded(answer);
                    });
                }
                core::Task::FetchMembers { from, preface } => {
                    calls.spawn(async move {
                        let members = snapshot::fetch_members(&core, from, &preface).await;
                        // A peer that has left or is busy is no fault; another peer is tried.
                        let failed = control::Response::EntriesFailed;
                        core.platform_responded(members.map_or(failed, control::Response::Entries));
                    });
                }
                core::Task::Repoint(target, flow) => self.udp.repoint(target, &flow),
                core::Task::Close(target, flow) => {
                    self.udp.close(target, &flow);
                    self.tcp.close(target, &flow);
                }
                core::Task::RefreshListeners => self.refresh(),
            }
        }
    }

    fn refresh(&self) {
        self.udp.refresh();
        if !self.draining.load(Ordering::Relaxed) {
            self.tcp.refresh();
        }
    }
}

fn keyring(settings: &settings::Settings) -> Result<envelope::Keyring, Error> {
    let secrets: Vec<envelope::Secret> = settings
        .secrets
        .iter()
        .map(|secret| {
            let key = decode_key(&secret.key_hex).ok_or(Error::Secret(secret.id))?;
            Ok(envelope::Secret { id: secret.id, key })
        })
        .collect::<Result<_, _>>()?;
    if secrets.is_empty() {
        return Err(Error::NoSecret);
    }
    Ok(envelope::Keyring::new(secrets))
}

fn decode_key(hex: &str) -> Option<[u8; 32]> {
    let digits: Vec<u8> = hex
        .chars()
        .map(|digit| digit.to_digit(16).and_then(|it| u8::try_from(it).ok()))
        .collect::<Option<_>>()?;
    let bytes: Vec<u8> = digits
        .chunks(2)
        .map(|pair| pair.iter().fold(0, |byte, digit| byte << 4 | digit))
        .collect();
    (digits.len() == 64).then(|| bytes.try_into().ok())?
}
