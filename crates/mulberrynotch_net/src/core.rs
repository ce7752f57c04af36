//! Shared state machines of a process, and the tasks that they emit for the adapters.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        RwLock, //
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use mulberrynotch_policy::{
    budget,
    control,
    flow,
    health,
    view, //
};
use mulberrynotch_register::{
    id,
    settings, //
};
use mulberrynotch_timer::service::Clock;
use mulberrynotch_wire::{
    control as membership,
    data,
    envelope,
    flow as wire_flow,
    frame,
    stream, //
};
use tokio::sync::mpsc;

use crate::{
    event,
    peer,
    request, //
};

/// Interval between ticks of the state machines.
pub const TICK: Duration = Duration::from_millis(100);

/// Lateness of a tick from which the process counts as paused. A pause is handled before the next
/// packet.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Work that the state machines leave to the node.
#[derive(Debug)]
pub enum Task {
    /// Reads the register from the platform.
    ReadRegister,
    /// Watches the platform for a register with a revision above this one.
    WatchRegister(u64),
    /// Reads the platform's list of VMs.
    ReadMembers,
    /// Fetches the register from a peer.
    FetchSnapshot(SocketAddr),
    /// Fetches member entries from a peer.
    FetchMembers {
        /// Peer address.
        from: SocketAddr,
        /// Preface that requests the entries.
        preface: Box<stream::Preface>,
    },
    /// Sends the target an empty datagram of the flow.
    Repoint(id::Target, wire_flow::Flow),
    /// Closes the flow's sockets.
    Close(id::Target, wire_flow::Flow),
    /// Opens and closes listeners after a change of the view.
    RefreshListeners,
}

/// The state machines of a process.
pub struct Core {
    /// Time since the start of the process.
    pub clock: Clock,
    /// Name of the process.
    pub me: Arc<str>,
    /// Shared secrets of the fleet.
    pub keyring: envelope::Keyring,
    /// Socket for datagrams between balancers.
    pub peer: Arc<peer::Peer>,
    /// The request adapter.
    pub requests: Arc<request::Service>,
    view: peer::SharedView,
    control: Mutex<control::Machine>,
    flow: Mutex<flow::Machine>,
    last_tick_ms: AtomicU64,
    tasks: mpsc::UnboundedSender<Task>,
}

impl Core {
    /// Creates the state machines of a process and binds its peer socket.
    ///
    /// # Errors
    ///
    /// Fails when the peer address cannot be bound.
    pub fn new(
        settings: &settings::Settings,
        keyring: envelope::Keyring,
        clock: Clock,
        incarnation: u64,
        seed: u64,
        tasks: mpsc::UnboundedSender<Task>,
    ) -> std::io::Result<Arc<Self>> {
        let me = membership::Member {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            peer: settings.peer_address,
            incarnation,
            state: membership::State::Alive,
        };
        let seeds = settings.seeds.clone();
        let control = control::Machine::new(control::Config { me, seeds }, seed);
        let view = control.view().clone();
        let limits = flow::Config {
            max_flows: settings.limits.max_flows as usize,
            max_hints: settings.limits.max_hints as usize,
        };
        let shared = Arc::new(RwLock::new(view.clone()));
        let peer = Arc::new(peer::Peer::bind(
            settings.peer_address,
            settings.name.clone(),
            keyring.clone(),
            shared.clone(),
            clock.clone(),
            settings.limits.control_bytes_per_second,
        )?);
        let requests = request::Config {
            me: settings.name.clone(),
            clock: clock.clone(),
            keyring: keyring.clone(),
            send: key_sender(peer.clone()),
            max_requests: settings.limits.max_requests as usize,
            seed,
        };
        Ok(Arc::new(Self {
            me: settings.name.clone(),
            keyring,
            peer,
            requests: request::Service::new(requests, view.clone()),
            view: shared,
            control: Mutex::new(control),
            flow: Mutex::new(flow::Machine::new(limits, view, seed)),
            last_tick_ms: AtomicU64::new(millis(clock())),
            clock,
            tasks,
        }))
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<view::View> {
        peer::current(&self.view)
    }

    /// Returns the current view after handling a possible pause since the last tick.
    pub fn view_after_pause(&self) -> Arc<view::View> {
        self.now_after_pause();
        self.view()
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    /// Decides on a datagram or new TCP flow that arrived from the fabric.
    pub fn arrive(&self, caller: SocketAddr, address: SocketAddr) -> flow::Decision {
        let now = self.now_after_pause();
        self.with_flow(|flow| flow.arrive(now, caller, address))
    }

    /// Decides on a datagram or new TCP flow that a peer forwarded.
    pub fn forwarded(&self, from: &str, header: &data::Header) -> flow::Decision {
        let now = self.now_after_pause();
        self.with_flow(|flow| flow.forwarded(now, from, header))
    }

    /// Records that a target answered on a flow.
    pub fn answered(&self, target: id::Target, flow: &wire_flow::Flow) {
        let now = self.now_after_pause();
        self.with_flow(|machine| machine.answered(now, target, flow));
    }

    /// Records that a TCP flow ended.
    pub fn closed(&self, target: id::Target, flow: &wire_flow::Flow) {
        let now = self.now_after_pause();
        self.with_flow(|machine| machine.closed(now, target, flow));
    }

    /// Passes a health observation of a target to the flow and request policies.
    pub fn observe(&self, target: id::Target, observation: health::Observation) {
        let now = self.now_after_pause();
        self.with_flow(|machine| machine.observe(now, target, observation));
        self.requests.observe(target, observation);
    }

    /// Handles a frame from an authenticated peer. Ignores data frames, which go to the UDP adapter.
    pub fn receive(&self, from: &str, address: SocketAddr, frame: frame::Frame) {
        let now = self.now_after_pause();
        match frame {
            frame::Frame::Control(message) => {
                self.with_control(|machine| machine.receive(now, from, address, message));
            }
            frame::Frame::Flow(message) => {
                if let wire_flow::Message::Handover { target, load, .. } = &message {
                    self.requests.adopt(*target, *load);
                }
                self.with_flow(|machine| machine.receive(now, from, message));
            }
            frame::Frame::Key(message) => self.requests.receive(from, message),
            frame::Frame::Data(_) => {}
        }
    }

    /// Handles a response of the platform or a snapshot from a peer.
    pub fn platform_responded(&self, response: control::Response) {
        let now = self.now_after_pause();
        self.with_control(|machine| machine.handle_response(now, response));
    }

    /// Returns the member entries that a peer lacks, or `None` when too many peers request them.
    pub fn transfer_members(
        &self,
        sender: &membership::Member,
        held: &[[u8; 4]],
    ) -> Option<Vec<membership::Member>> {
        let now = self.now_after_pause();
        self.with_control(|machine| machine.transfer_members(now, sender, held))
    }

    /// Starts the graceful shutdown.
    pub fn leave(&self) {
        let now = self.now_after_pause();
        self.with_control(|machine| machine.leave(now));
    }

    /// Ends the graceful shutdown and announces to the peers that the process has left.
    pub fn finish(&self) {
        let now = self.now_after_pause();
        self.with_control(|machine| machine.finish(now));
    }

    /// Returns the state of membership and configuration.
    pub fn control_status(&self) -> control::Status {
        let now = self.now_after_pause();
        self.with_control(|machine| machine.status(now))
    }

    /// Returns the state of the flow machine.
    pub fn flow_status(&self) -> flow::Status {
        self.with_flow(|machine| machine.status())
    }

    /// Runs the due timers of all state machines.
    pub fn tick(&self) {
        let now = self.now_after_pause();
        self.last_tick_ms.store(millis(now), Ordering::Relaxed);
        self.with_control(|machine| machine.tick(now));
        self.with_flow(|machine| machine.tick(now));
        self.requests.tick();
    }

    /// Returns true when all flows have been handed over after [`Core::leave`].
    pub fn is_drained(&self) -> bool {
        self.with_flow(|machine| machine.is_drained())
    }

    /// Returns the current time after handling a possible pause since the last tick. A packet that
    /// is read before the tick that reports the pause would otherwise be routed by the stale view.
    fn now_after_pause(&self) -> Duration {
        let now = self.now();
        let last_tick = self.last_tick_ms.load(Ordering::Relaxed);
        let late =
            Duration::from_millis(millis(now).saturating_sub(last_tick)).saturating_sub(TICK);
        if late >= PAUSE_THRESHOLD {
            let current = millis(now);
            let exchanged = self.last_tick_ms.compare_exchange(
                last_tick,
                current,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            if exchanged.is_ok() {
                self.with_control(|machine| machine.handle_late_timer(now, late));
            }
        }
        now
    }

    fn with_control<R>(&self, run: impl FnOnce(&mut control::Machine) -> R) -> R {
        let mut machine = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        let result = run(&mut machine);
        // The view is published under the lock, so that an older one never replaces a newer one.
        self.publish_view(machine.view());
        let actions: Vec<_> = std::iter::from_fn(|| machine.poll()).collect();
        drop(machine);
        for action in actions {
            self.carry_out_control(action);
        }
        result
    }

    fn with_flow<R>(&self, run: impl FnOnce(&mut flow::Machine) -> R) -> R {
        let mut machine = self.flow.lock().unwrap_or_else(PoisonError::into_inner);
        let result = run(&mut machine);
        let actions: Vec<_> = std::iter::from_fn(|| machine.poll()).collect();
        drop(machine);
        for action in actions {
            self.carry_out_flow(action);
        }
        result
    }

    fn publish_view(&self, view: &Arc<view::View>) {
        if Arc::ptr_eq(&self.view(), view) {
            return;
        }
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view.clone();
        let now = self.now();
        self.with_flow(|flow| flow.set_view(now, view.clone()));
        self.requests.set_view(view.clone());
        self.emit(Task::RefreshListeners);
    }

    fn carry_out_control(&self, action: control::Action) {
        match action {
            control::Action::Send {
                to,
                priority,
                message,
            } => {
                let frame = frame::Frame::Control(message);
                self.peer.send_control(to, priority, &frame);
            }
            control::Action::ReadRegister => self.emit(Task::ReadRegister),
            control::Action::WatchRegister { above } => self.emit(Task::WatchRegister(above)),
            control::Action::ReadMembers => self.emit(Task::ReadMembers),
            control::Action::FetchSnapshot { from } => self.emit(Task::FetchSnapshot(from)),
            control::Action::FetchMembers { from, sender, held } => {
                let preface = Box::new(stream::Preface::Members { sender, held });
                self.emit(Task::FetchMembers { from, preface });
            }
            control::Action::Log(event) => log_event(&event),
        }
    }

    fn carry_out_flow(&self, action: flow::Action) {
        match action {
            flow::Action::Send {
                to,
                priority,
                mut message,
            } => {
                if let wire_flow::Message::Handover { target, load, .. } = &mut message {
                    // The flow machine has no access to the load from requests.
                    let requests = self.requests.load(*target);
                    load.slots = requests.slots;
                    load.requests = requests.requests;
                }
                let frame = frame::Frame::Flow(message);
                self.peer.send_control_to(&to, priority, &frame);
            }
            flow::Action::Repoint { target, flow } => self.emit(Task::Repoint(target, flow)),
            flow::Action::Close { target, flow } => self.emit(Task::Close(target, flow)),
        }
    }

    fn emit(&self, task: Task) {
        // The receiver is dropped only while the process ends.
        let _ = self.tasks.send(task);
    }
}

fn key_sender(
    peer: Arc<peer::Peer>,
) -> Arc<dyn Fn(Arc<str>, mulberrynotch_wire::key::Message) + Send + Sync> {
    Arc::new(move |to, message| {
        let frame = frame::Frame::Key(message);
        peer.send_control_to(&to, budget::Priority::Handover, &frame);
    })
}

fn log_event(event: &control::Event) {
    match event {
        control::Event::Accepted { revision } => {
            event::info("register_accepted", &[("revision", revision)]);
        }
        control::Event::Rejected { revision, reason } => {
            let fields: [event::Field<'_>; 2] = [("revision", revision), ("reason", reason)];
            event::error("register_refused", &fields);
        }
        control::Event::Member { name, state } => {
            let state = format!("{state:?}").to_lowercase();
            event::info("member", &[("name", name), ("state", &state)]);
        }
        control::Event::Zone { name, reachable } => {
            let fields: [event::Field<'_>; 1] = [("zone", name)];
            if *reachable {
                event::info("zone_returned", &fields);
            } else {
                event::warn("zone_lost", &fields);
            }
        }
        control::Event::Paused { length } => {
            event::warn("paused", &[("late_ms", &length.as_millis())]);
        }
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
