//! A target: serves datagrams, byte streams and requests, and reports its load.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use tokio::sync::watch;

use crate::task::{
    Group,
    lock, //
};

mod load;
mod requests;
mod stream;
mod udp;

/// Where a target serves, and how much it can handle.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// Name of the target, part of every answer.
    pub name: String,
    /// Number of this start; an instance is the name and this number.
    pub boot: u64,
    /// Address for UDP flows.
    pub udp: Option<SocketAddr>,
    /// Address for TCP flows.
    pub tcp: Option<SocketAddr>,
    /// Address for HTTP/2 requests.
    pub http: Option<SocketAddr>,
    /// Address of the load report and of control.
    pub load: SocketAddr,
    /// Requests that it runs at a time once it is warm.
    pub slots: u32,
    /// Completed requests after which it is warm; before, it runs one at a time.
    pub cold_requests: u32,
}

/// How a target behaves, changed while it runs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
    /// Time between datagrams that it sends unasked on each flow, in milliseconds; 0 for none.
    pub push_ms: u64,
    /// Load that it reports instead of its own.
    pub reported_load: Option<u32>,
    /// Age of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// It refuses new requests and says that it leaves.
    pub leaving: bool,
    /// It answers nothing.
    pub silent: bool,
    /// It turns cold, until it has completed as many requests as after a start.
    pub cold: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            work_ms: 5,
            push_ms: 0,
            reported_load: None,
            report_lag_ms: 0,
            leaving: false,
            silent: false,
            cold: false,
        }
    }
}

/// What a target has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// UDP flows seen.
    pub udp_flows: u64,
    /// Datagrams with a payload received.
    pub datagrams: u64,
    /// TCP flows accepted.
    pub tcp_flows: u64,
    /// TCP flows that are open.
    pub tcp_open: u64,
    /// Bytes received on TCP flows.
    pub tcp_bytes: u64,
    /// HTTP/2 connections accepted.
    pub connections: u64,
    /// Requests that ran to their end.
    pub completed: u64,
    /// Requests refused before they ran.
    pub shed: u64,
    /// Requests that were cancelled while they ran.
    pub cancelled: u64,
    /// Requests that failed because the target was cold.
    pub collapsed: u64,
    /// Requests that carried a deadline.
    pub with_deadline: u64,
    /// Most requests that ran at the same time.
    pub peak: u32,
    /// Runs of each order id that was started.
    pub orders: BTreeMap<String, u32>,
}

/// State that the parts of a target share.
struct Shared {
    config: Config,
    behaviour: watch::Sender<Behaviour>,
    counts: Mutex<Counts>,
    running: Mutex<u32>,
    /// Requests that had completed when the target turned cold.
    cold_since: Mutex<u64>,
}

impl Shared {
    /// Name and number of the start, as part of every answer.
    fn instance(&self) -> String {
        format!("{}#{}", self.config.name, self.config.boot)
    }

    fn count<T>(&self, count: impl FnOnce(&mut Counts) -> T) -> T {
        count(&mut lock(&self.counts))
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour.borrow().clone()
    }

    fn cold(&self) -> bool {
        let since = *lock(&self.cold_since);
        self.count(|counts| counts.completed < since + u64::from(self.config.cold_requests))
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        if behaviour.cold && !self.behaviour.borrow().cold {
            *lock(&self.cold_since) = self.count(|counts| counts.completed);
        }
        self.behaviour.send_replace(behaviour);
    }
}

/// A running target.
pub struct Target {
    shared: Arc<Shared>,
    _tasks: Group,
}

impl Target {
    /// Binds all addresses and serves.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            behaviour: watch::Sender::new(Behaviour::default()),
            counts: Mutex::default(),
            running: Mutex::default(),
            cold_since: Mutex::default(),
            config,
        });
        let tasks = Group::default();
        if let Some(address) = shared.config.udp {
            udp::start(&tasks, shared.clone(), address).await?;
        }
        if let Some(address) = shared.config.tcp {
            stream::start(&tasks, shared.clone(), address).await?;
        }
        if let Some(address) = shared.config.http {
            requests::start(&tasks, shared.clone(), address).await?;
        }
        load::start(&tasks, shared.clone()).await?;
        Ok(Self {
            shared,
            _tasks: tasks,
        })
    }

    /// Changes how the target behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// What the target has seen.
    pub fn counts(&self) -> Counts {
        lock(&self.shared.counts).clone()
    }
}
