//! A target that serves UDP flows, TCP flows and HTTP/2 requests, and reports its load.

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

/// Addresses and capacity of a target.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// Name of the target, included in every answer.
    pub name: String,
    /// Start number; name and start number identify an instance.
    pub boot: u64,
    /// Address for UDP flows.
    pub udp: Option<SocketAddr>,
    /// Address for TCP flows.
    pub tcp: Option<SocketAddr>,
    /// Address for HTTP/2 requests.
    pub http: Option<SocketAddr>,
    /// Address of the load report and the control interface.
    pub load: SocketAddr,
    /// Number of requests that a warm target runs concurrently.
    pub slots: u32,
    /// Number of completed requests after which the target is warm; a cold one runs one at a time.
    pub cold_requests: u32,
}

/// Behaviour of a target, which can be changed while it runs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Service time of a request, in milliseconds.
    pub work_ms: u64,
    /// Period of unsolicited datagrams on each UDP flow, in milliseconds; 0 for none.
    pub push_ms: u64,
    /// Reported load in percent, in place of the actual load.
    pub reported_load: Option<u32>,
    /// Age of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Refuses new requests and reports that the target is leaving.
    pub leaving: bool,
    /// Answers nothing.
    pub silent: bool,
    /// Makes the target cold, until it has completed `cold_requests` further requests.
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

/// Counters of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Number of UDP flows.
    pub udp_flows: u64,
    /// Number of received datagrams with a payload.
    pub datagrams: u64,
    /// Number of accepted TCP flows.
    pub tcp_flows: u64,
    /// Number of open TCP flows.
    pub tcp_open: u64,
    /// Number of bytes received on TCP flows.
    pub tcp_bytes: u64,
    /// Number of accepted HTTP/2 connections.
    pub connections: u64,
    /// Number of requests that ran to completion.
    pub completed: u64,
    /// Number of requests refused before they ran.
    pub shed: u64,
    /// Number of requests cancelled while they ran.
    pub cancelled: u64,
    /// Number of requests that failed because the target was cold.
    pub collapsed: u64,
    /// Number of requests that carried a deadline.
    pub with_deadline: u64,
    /// Largest number of requests that ran at the same time.
    pub peak: u32,
    /// Number of runs by order id.
    pub orders: BTreeMap<String, u32>,
}

/// State shared by the servers of a target.
struct Shared {
    config: Config,
    behaviour: watch::Sender<Behaviour>,
    counts: Mutex<Counts>,
    running: Mutex<u32>,
    /// Number of requests that had completed when the target became cold.
    completed_when_cold: Mutex<u64>,
}

impl Shared {
    /// Returns name and start number, as included in every answer.
    fn instance(&self) -> String {
        format!("{}#{}", self.config.name, self.config.boot)
    }

    fn count<T>(&self, count: impl FnOnce(&mut Counts) -> T) -> T {
        count(&mut lock(&self.counts))
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour.borrow().clone()
    }

    fn is_cold(&self) -> bool {
        let baseline = *lock(&self.completed_when_cold);
        self.count(|counts| counts.completed < baseline + u64::from(self.config.cold_requests))
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        if behaviour.cold && !self.behaviour.borrow().cold {
            *lock(&self.completed_when_cold) = self.count(|counts| counts.completed);
        }
        self.behaviour.send_replace(behaviour);
    }
}

/// Handle of a running target.
pub struct Target {
    shared: Arc<Shared>,
    _tasks: Group,
}

impl Target {
    /// Binds all addresses and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            behaviour: watch::Sender::new(Behaviour::default()),
            counts: Mutex::default(),
            running: Mutex::default(),
            completed_when_cold: Mutex::default(),
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

    /// Replaces the behaviour of the target.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// Returns the counters of the target.
    pub fn counts(&self) -> Counts {
        lock(&self.shared.counts).clone()
    }
}
