//! UDP flows of callers.

use std::{
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    net::UdpSocket,
    time, //
};

use crate::task::{
    Group,
    lock, //
};

use super::{
    Break,
    Cause,
    Report, //
};

/// Size of the receive buffer, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Configuration of a group of flows.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Address that the sockets are bound to.
    pub local: IpAddr,
    /// Service address.
    pub service: SocketAddr,
    /// Time between two datagrams of a flow.
    pub interval: Duration,
    /// Time without an answer after which an established flow counts as broken.
    pub silence: Duration,
}

/// Handle of running flows.
pub struct Flows {
    report: Arc<Mutex<Report>>,
    _tasks: Group,
}

impl Flows {
    /// Opens `count` flows.
    ///
    /// # Errors
    ///
    /// Fails when a socket cannot be bound.
    pub async fn start(config: Config, count: usize) -> io::Result<Self> {
        let flows = Self {
            report: Arc::default(),
            _tasks: Group::default(),
        };
        for number in 0..count {
            let socket = UdpSocket::bind((config.local, 0)).await?;
            socket.connect(config.service).await?;
            let report = flows.report.clone();
            flows._tasks.spawn(async move {
                let mut flow = Flow::new(config, number, report);
                flow.run(&socket).await;
            });
        }
        Ok(flows)
    }

    /// Returns the results of the flows.
    pub fn report(&self) -> Report {
        lock(&self.report).clone()
    }
}

struct Flow {
    config: Config,
    number: usize,
    report: Arc<Mutex<Report>>,
    instance: Option<String>,
    last_answer: Instant,
}

impl Flow {
    fn new(config: Config, number: usize, report: Arc<Mutex<Report>>) -> Self {
        Self {
            config,
            number,
            report,
            instance: None,
            last_answer: Instant::now(),
        }
    }

    async fn run(&mut self, socket: &UdpSocket) {
        // Spreads the sends of the flows over the interval.
        let offset = u32::try_from(self.number % 64).unwrap_or(0);
        time::sleep(self.config.interval * offset / 64).await;
        let mut ticks = time::interval(self.config.interval);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.check_timeout();
                    lock(&self.report).sent += 1;
                    // A send error shows as a missing answer.
                    let _ = socket.send(b"ping").await;
                }
                received = socket.recv(&mut buffer) => {
                    if let Ok(length) = received {
                        self.receive(&buffer[..length]);
                    }
                }
            }
        }
    }

    fn receive(&mut self, answer: &[u8]) {
        let text = String::from_utf8_lossy(answer);
        let instance = text.split(' ').next().unwrap_or("").to_owned();
        self.last_answer = Instant::now();
        let mut report = lock(&self.report);
        report.answered += 1;
        let previous = self.instance.replace(instance.clone());
        match previous {
            None => {}
            Some(previous) if previous != instance => {
                report.breaks.push(self.flow_break(previous, Cause::Moved));
            }
            Some(_) => return,
        }
        report.instances.insert(self.number, instance);
        report.established = report.established.max(report.instances.len());
    }

    /// Records a break when answers have stopped. The flow counts as broken once, and its next
    /// answer establishes it again.
    fn check_timeout(&mut self) {
        if self.last_answer.elapsed() < self.config.silence {
            return;
        }
        if let Some(instance) = self.instance.take() {
            let broken = self.flow_break(instance, Cause::Silent);
            let mut report = lock(&self.report);
            report.instances.remove(&self.number);
            report.breaks.push(broken);
        }
    }

    fn flow_break(&self, instance: String, cause: Cause) -> Break {
        Break {
            flow: self.number,
            instance,
            cause,
            at: Instant::now(),
        }
    }
}
