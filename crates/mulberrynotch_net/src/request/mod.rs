//! HTTP proxy: accepts HTTP/1.1 and HTTP/2 from callers and sends attempts over HTTP/2 to owners
//! and targets.
//!
//! The ingress balancer sends attempts to the owners of targets until one returns a response.
//! A non-idempotent request is retried only when the previous attempt provably did not run.

mod admitted;
mod attempt;
mod body;
mod connection;
mod counter;
mod drain;
mod entry;
pub mod error;
mod exchange;
mod header;
mod home;
mod keys;
mod log;
mod owner;
mod peer;
mod pool;
mod reply;
mod rewind;
mod rule;
mod serve;
mod upload;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        RwLock,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use mulberrynotch_policy::{
    health,
    idempotency::{
        self,
        Ledger, //
    },
    request::{
        self as policy,
        Ingress,
        Owner, //
    },
    view, //
};
use mulberrynotch_register::id;
use mulberrynotch_wire::{
    self as wire,
    flow,
    stream::Preface, //
};
use tokio::sync::watch;

use crate::preface;

/// Maximum number of idempotency key records per process.
const MAX_KEY_RECORDS: usize = 100_000;

/// Configuration and callbacks of the request adapter.
#[derive(Clone)]
pub struct Config {
    /// Name of the process.
    pub me: Arc<str>,
    /// Time since the start of the process.
    pub clock: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Secrets for connections to peers.
    pub keyring: wire::envelope::Keyring,
    /// Sends an idempotency key message to a peer.
    pub send: Arc<dyn Fn(Arc<str>, wire::key::Message) + Send + Sync>,
    /// Maximum number of concurrent requests from callers.
    pub max_requests: usize,
    /// Seed for the random choice of targets.
    pub seed: u64,
}

mulberrynotch_macros::data! {
    /// Summary for the state dump.
    #[derive(serde::Serialize)]
    pub struct Status {
        /// Requests in progress, including those forwarded by peers.
        pub in_progress: usize,
        /// True once the process has started to drain.
        pub draining: bool,
        /// Requests queued for a slot of an owned target.
        pub queued: usize,
        /// Responses that are held for resent requests.
        pub held_answers: usize,
        /// Peer addresses in the connection pool.
        pub peers: usize,
        /// Target addresses in the connection pool.
        pub targets: usize,
        /// Records of idempotency keys.
        pub keys: idempotency::Status,
        /// Owned targets.
        pub owned: Vec<policy::TargetStatus>,
    }
}

/// The request adapter of a process.
pub struct Service {
    config: Config,
    view: RwLock<Arc<view::View>>,
    ingress: Mutex<Ingress>,
    owner: Mutex<owner::State>,
    keys: Mutex<keys::State>,
    peers: pool::Pool,
    targets: pool::Pool,
    running: Arc<AtomicUsize>,
    stage: watch::Sender<drain::Stage>,
}

impl Service {
    /// Creates a service without connections.
    pub fn new(config: Config, view: Arc<view::View>) -> Arc<Self> {
        let preface = Preface::Requests {
            sender: config.me.clone(),
        };
        // A validated process name fits into a preface. Peers refuse connections without one.
        let preface = preface::frame(&config.keyring, &config.me, &preface).unwrap_or_default();
        Arc::new(Self {
            ingress: Mutex::new(Ingress::new(view.clone(), config.max_requests, config.seed)),
            owner: Mutex::new(owner::State {
                policy: Owner::new(view.clone()),
                queued: HashMap::new(),
            }),
            keys: Mutex::new(keys::State::new(Ledger::new(view.clone(), MAX_KEY_RECORDS))),
            peers: pool::Pool::new(Some(preface)),
            targets: pool::Pool::new(None),
            running: Arc::default(),
            stage: watch::Sender::new(drain::Stage::Serving),
            view: RwLock::new(view),
            config,
        })
    }

    /// Applies a new view to the policies.
    pub fn set_view(&self, view: Arc<view::View>) {
        let now = self.now();
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view.clone();
        lock(&self.ingress).set_view(now, view.clone());
        self.with_owner(|state| state.policy.set_view(now, view.clone()));
        self.with_keys(|state| state.policy.set_view(now, view));
    }

    /// Handles an idempotency key message from the peer `from`.
    pub fn receive(&self, from: &str, message: wire::key::Message) {
        let now = self.now();
        self.with_keys(|state| state.policy.receive(now, from, message));
    }

    /// Applies a health observation of a target.
    pub fn observe(&self, target: id::Target, observation: health::Observation) {
        let now = self.now();
        self.with_owner(|state| state.policy.observe(now, target, observation));
    }

    /// Applies the load state of `target` that its previous owner handed over.
    pub fn adopt(&self, target: id::Target, load: flow::Load) {
        let now = self.now();
        self.with_owner(|state| state.policy.adopt(now, target, load));
    }

    /// Returns the load state of `target` for the handover to its next owner.
    pub fn load(&self, target: id::Target) -> flow::Load {
        let now = self.now();
        self.with_owner(|state| state.policy.load(now, target))
    }

    /// Runs due timers; called every 100 ms.
    pub fn tick(&self) {
        let now = self.now();
        self.with_owner(|state| state.policy.tick(now));
        self.with_keys(|state| state.policy.tick(now));
        self.peers.tick(now);
        self.targets.tick(now);
    }

    /// Adds `connection: close` to each further HTTP/1.1 response.
    pub fn leave(&self) {
        self.stage.send_replace(drain::Stage::Leaving);
    }

    /// Shuts down the connections of callers and peers gracefully; requests in progress complete.
    pub fn drain(&self) {
        self.stage.send_replace(drain::Stage::Closing);
    }

    /// Returns the number of requests in progress, including those forwarded by peers.
    pub fn in_progress(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns true when no request is in progress and all key records have been handed over.
    pub fn is_drained(&self) -> bool {
        self.in_progress() == 0 && lock(&self.keys).policy.is_drained()
    }

    /// Returns a summary for the state dump.
    pub fn status(&self) -> Status {
        let now = self.now();
        let (keys, held_answers) =
            self.with_keys(|state| (state.policy.status(now), state.held_count()));
        let (owned, queued) =
            self.with_owner(|state| (state.policy.status(now), state.queued.len()));
        Status {
            in_progress: self.in_progress(),
            draining: *self.stage.borrow() != drain::Stage::Serving,
            queued,
            held_answers,
            peers: self.peers.len(),
            targets: self.targets.len(),
            keys,
            owned,
        }
    }

    fn now(&self) -> Duration {
        (self.config.clock)()
    }

    fn view(&self) -> Arc<view::View> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    fn count_running(&self) -> Running {
        self.running.fetch_add(1, Ordering::Relaxed);
        Running(self.running.clone())
    }
}

/// Counts a request as in progress until it is dropped.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
