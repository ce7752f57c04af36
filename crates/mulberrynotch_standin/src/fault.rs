//! A proxy between two parties that injects faults.

use std::{
    collections::{
        HashMap,
        hash_map::Entry, //
    },
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::watch,
    time, //
};

use crate::{
    seed::Random,
    task::{
        Group,
        lock, //
    },
};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_535;

/// Faults in effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Shortest time that data is held, in milliseconds.
    pub delay_ms: u64,
    /// Random time on top, below this, in milliseconds.
    pub jitter_ms: u64,
    /// Datagrams that are lost, out of 1,000.
    pub loss_permille: u32,
    /// TCP connections are reset, those that are open and new ones.
    pub reset: bool,
    /// Connections that are open pass nothing more, ever; new ones work.
    pub silence: bool,
    /// Nothing passes, and new connections stay unanswered.
    pub partition: bool,
}

/// A running proxy.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: Arc<Group>,
}

struct Shared {
    upstream: SocketAddr,
    plan: watch::Sender<Plan>,
    random: Mutex<Random>,
}

impl Shared {
    fn plan(&self) -> Plan {
        *self.plan.borrow()
    }

    fn hold(&self, plan: &Plan) -> Duration {
        let jitter = lock(&self.random).below(plan.jitter_ms);
        Duration::from_millis(plan.delay_ms + jitter)
    }

    fn lost(&self, plan: &Plan) -> bool {
        plan.partition || lock(&self.random).chance(plan.loss_permille)
    }
}

impl Proxy {
    /// Passes datagrams between `address` and `upstream`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn udp(address: SocketAddr, upstream: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let address = socket.local_addr()?;
        let proxy = Self::new(address, upstream, seed);
        let (shared, tasks) = (proxy.shared.clone(), Arc::downgrade(&proxy._tasks));
        proxy._tasks.spawn(async move {
            let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
            let mut buffer = vec![0; MAX_DATAGRAM];
            loop {
                let Ok((length, client)) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let Some(tasks) = tasks.upgrade() else {
                    return;
                };
                let outside = match clients.entry(client) {
                    Entry::Occupied(entry) => entry.get().clone(),
                    Entry::Vacant(entry) => {
                        let Ok(outside) = UdpSocket::bind((address.ip(), 0)).await else {
                            continue;
                        };
                        let outside = Arc::new(outside);
                        let back = answers(shared.clone(), outside.clone(), socket.clone(), client);
                        tasks.spawn(back);
                        entry.insert(outside).clone()
                    }
                };
                let data = buffer[..length].to_vec();
                pass(&shared, &tasks, outside, data, shared.upstream);
            }
        });
        Ok(proxy)
    }

    /// Passes TCP connections to `address` on to `upstream`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn tcp(address: SocketAddr, upstream: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self::new(listener.local_addr()?, upstream, seed);
        let shared = proxy.shared.clone();
        proxy._tasks.spawn(async move {
            let connections = Group::default();
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    connections.spawn(connection(shared.clone(), stream));
                }
            }
        });
        Ok(proxy)
    }

    /// Address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in effect.
    pub fn set_plan(&self, plan: Plan) {
        self.shared.plan.send_replace(plan);
    }

    fn new(address: SocketAddr, upstream: SocketAddr, seed: u64) -> Self {
        Self {
            address,
            shared: Arc::new(Shared {
                upstream,
                plan: watch::Sender::new(Plan::default()),
                random: Mutex::new(Random::new(seed)),
            }),
            _tasks: Arc::default(),
        }
    }
}

/// Sends a datagram after its delay, unless it is lost.
fn pass(
    shared: &Arc<Shared>,
    tasks: &Group,
    socket: Arc<UdpSocket>,
    data: Vec<u8>,
    to: SocketAddr,
) {
    let plan = shared.plan();
    if shared.lost(&plan) {
        return;
    }
    let hold = shared.hold(&plan);
    tasks.spawn(async move {
        time::sleep(hold).await;
        let _ = socket.send_to(&data, to).await;
    });
}

async fn answers(
    shared: Arc<Shared>,
    outside: Arc<UdpSocket>,
    inside: Arc<UdpSocket>,
    client: SocketAddr,
) {
    let tasks = Group::default();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        if let Ok((length, _)) = outside.recv_from(&mut buffer).await {
            let data = buffer[..length].to_vec();
            pass(&shared, &tasks, inside.clone(), data, client);
        }
    }
}

async fn connection(shared: Arc<Shared>, stream: TcpStream) {
    let mut plan = shared.plan.subscribe();
    // Whoever set the partition ends it.
    if plan.wait_for(|plan| !plan.partition).await.is_err() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(shared.upstream).await else {
        return;
    };
    // Silence is for connections that are open when it starts.
    let exempt = plan.borrow().silence;
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (inside_read, mut inside_write) = stream.into_split();
    let (outside_read, mut outside_write) = upstream.into_split();
    let both = async {
        tokio::join!(
            copy(
                &shared,
                plan.clone(),
                exempt,
                inside_read,
                &mut outside_write
            ),
            copy(
                &shared,
                plan.clone(),
                exempt,
                outside_read,
                &mut inside_write
            ),
        );
    };
    let was_reset = tokio::select! {
        () = reset(plan.clone()) => true,
        () = both => false,
    };
    if was_reset {
        abort(inside_write);
        abort(outside_write);
    }
}

async fn reset(mut plan: watch::Receiver<Plan>) {
    if plan.wait_for(|plan| plan.reset).await.is_err() {
        std::future::pending().await
    }
}

/// Makes the connection end with a reset instead of an orderly close.
fn abort(half: OwnedWriteHalf) {
    let stream: &TcpStream = half.as_ref();
    let _ = stream.set_zero_linger();
    // Dropping the half would close it in order first.
    half.forget();
}

async fn copy(
    shared: &Shared,
    mut plan: watch::Receiver<Plan>,
    exempt: bool,
    mut from: OwnedReadHalf,
    to: &mut OwnedWriteHalf,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut silent = false;
    loop {
        let read = from.read(&mut buffer).await;
        silent |= plan.borrow().silence && !exempt;
        if silent {
            // Neither data nor the end of the stream gets through.
            std::future::pending::<()>().await;
        }
        let Ok(length @ 1..) = read else {
            break;
        };
        let hold = shared.hold(&shared.plan());
        time::sleep(hold).await;
        // TCP sends again what a partition lost.
        if plan.wait_for(|plan| !plan.partition).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
