//! TCP flows of callers.

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
    io::{
        AsyncBufReadExt,
        AsyncReadExt,
        AsyncWriteExt,
        BufReader, //
    },
    net::{
        TcpSocket,
        TcpStream, //
    },
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

/// Message that the target echoes.
const MESSAGE: &[u8; 5] = b"ping\n";

/// Time between the end of a flow and the attempt to open it again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Configuration of a group of flows.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Address that the sockets are bound to.
    pub local: IpAddr,
    /// Service address.
    pub service: SocketAddr,
    /// Time between two messages of a flow.
    pub interval: Duration,
    /// Time without an echo after which an established flow counts as broken.
    pub silence: Duration,
    /// Time after which the caller closes a flow and opens a new one; `None` for never.
    pub lifetime: Option<Duration>,
}

/// Handle of running flows; a broken flow is opened again.
pub struct Flows {
    report: Arc<Mutex<Report>>,
    _tasks: Group,
}

impl Flows {
    /// Opens `count` flows.
    pub fn start(config: Config, count: usize) -> Self {
        let flows = Self {
            report: Arc::default(),
            _tasks: Group::default(),
        };
        for number in 0..count {
            let report = flows.report.clone();
            flows._tasks.spawn(async move {
                loop {
                    run_flow(config, number, &report).await;
                    time::sleep(RECONNECT_DELAY).await;
                }
            });
        }
        flows
    }

    /// Returns the results of the flows.
    pub fn report(&self) -> Report {
        lock(&self.report).clone()
    }
}

/// Opens a flow and uses it until it breaks or reaches its lifetime.
async fn run_flow(config: Config, number: usize, report: &Mutex<Report>) {
    let Ok(Ok((mut stream, instance))) = time::timeout(config.silence, open(config)).await else {
        return;
    };
    {
        let mut report = lock(report);
        report.instances.insert(number, instance.clone());
        report.established = report.established.max(report.instances.len());
    }
    let opened = Instant::now();
    let cause = loop {
        if config.lifetime.is_some_and(|it| opened.elapsed() >= it) {
            lock(report).instances.remove(&number);
            return;
        }
        lock(report).sent += 1;
        match time::timeout(config.silence, echo_message(&mut stream)).await {
            Ok(Ok(())) => lock(report).answered += 1,
            Ok(Err(_)) => break Cause::Closed,
            Err(_) => break Cause::Silent,
        }
        time::sleep(config.interval).await;
    };
    let mut report = lock(report);
    report.instances.remove(&number);
    report.breaks.push(Break {
        flow: number,
        instance,
        cause,
        at: Instant::now(),
    });
}

async fn open(config: Config) -> io::Result<(BufReader<TcpStream>, String)> {
    let socket = match config.local {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind((config.local, 0).into())?;
    let stream = socket.connect(config.service).await?;
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let mut greeting = String::new();
    stream.read_line(&mut greeting).await?;
    match greeting.split_once(' ') {
        Some((instance, _)) => Ok((stream, instance.into())),
        None => Err(io::ErrorKind::InvalidData.into()),
    }
}

async fn echo_message(stream: &mut BufReader<TcpStream>) -> io::Result<()> {
    stream.get_mut().write_all(MESSAGE).await?;
    let mut echo = [0; MESSAGE.len()];
    stream.read_exact(&mut echo).await?;
    if echo == *MESSAGE {
        Ok(())
    } else {
        Err(io::ErrorKind::InvalidData.into())
    }
}
