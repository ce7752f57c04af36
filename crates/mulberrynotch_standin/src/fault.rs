//! A UDP or TCP proxy that injects network faults.

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
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Faults that a proxy injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Minimum delay of data, in milliseconds.
    pub delay_ms: u64,
    /// Upper bound (exclusive) of the random delay added to `delay_ms`, in milliseconds.
    pub jitter_ms: u64,
    /// Datagram loss, out of 1,000.
    pub loss_permille: u32,
    /// Resets all TCP connections, open and new ones.
    pub reset: bool,
    /// Connections that are open when this is set never forward data again; new ones work.
    pub silence: bool,
    /// Forwards nothing, and leaves new connections unanswered.
    pub partition: bool,
}

/// Handle of a running proxy.
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

    fn random_delay(&self, plan: &Plan) -> Duration {
        let jitter = lock(&self.random).below(plan.jitter_ms);
        Duration::from_millis(plan.delay_ms + jitter)
    }

    fn is_lost(&self, plan: &Plan) -> bool {
        plan.partition || lock(&self.random).chance(plan.loss_permille)
    }
}

impl Proxy {
    /// Forwards datagrams between clients of `address` and `upstream`.
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
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((length, client)) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let Some(tasks) = tasks.upgrade() else {
                    return;
                };
                let upstream_socket = match clients.entry(client) {
                    Entry::Occupied(entry) => entry.get().clone(),
                    Entry::Vacant(entry) => {
                        let Ok(upstream_socket) = UdpSocket::bind((address.ip(), 0)).await else {
                            continue;
                        };
                        let upstream_socket = Arc::new(upstream_socket);
                        let replies = forward_replies(
                            shared.clone(),
                            upstream_socket.clone(),
                            socket.clone(),
                            client,
                        );
                        tasks.spawn(replies);
                        entry.insert(upstream_socket).clone()
                    }
                };
                let data = buffer[..length].to_vec();
                forward_datagram(&shared, &tasks, upstream_socket, data, shared.upstream);
            }
        });
        Ok(proxy)
    }

    /// Forwards TCP connections from `address` to `upstream`.
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
                    connections.spawn(forward_connection(shared.clone(), stream));
                }
            }
        });
        Ok(proxy)
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
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

/// Sends a datagram after the planned delay, or drops it.
fn forward_datagram(
    shared: &Arc<Shared>,
    tasks: &Group,
    socket: Arc<UdpSocket>,
    data: Vec<u8>,
    to: SocketAddr,
) {
    let plan = shared.plan();
    if shared.is_lost(&plan) {
        return;
    }
    let delay = shared.random_delay(&plan);
    tasks.spawn(async move {
        time::sleep(delay).await;
        let _ = socket.send_to(&data, to).await;
    });
}

async fn forward_replies(
    shared: Arc<Shared>,
    upstream_socket: Arc<UdpSocket>,
    client_socket: Arc<UdpSocket>,
    client: SocketAddr,
) {
    let tasks = Group::default();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((length, _)) = upstream_socket.recv_from(&mut buffer).await {
            let data = buffer[..length].to_vec();
            forward_datagram(&shared, &tasks, client_socket.clone(), data, client);
        }
    }
}

async fn forward_connection(shared: Arc<Shared>, stream: TcpStream) {
    let mut plan = shared.plan.subscribe();
    // The connection waits until the partition is lifted.
    if plan.wait_for(|plan| !plan.partition).await.is_err() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(shared.upstream).await else {
        return;
    };
    // Silence affects only connections that are open when it starts.
    let ignores_silence = plan.borrow().silence;
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, mut client_write) = stream.into_split();
    let (upstream_read, mut upstream_write) = upstream.into_split();
    let copy_both = async {
        tokio::join!(
            copy_direction(
                &shared,
                plan.clone(),
                ignores_silence,
                client_read,
                &mut upstream_write
            ),
            copy_direction(
                &shared,
                plan.clone(),
                ignores_silence,
                upstream_read,
                &mut client_write
            ),
        );
    };
    let was_reset = tokio::select! {
        () = wait_for_reset(plan.clone()) => true,
        () = copy_both => false,
    };
    if was_reset {
        abort(client_write);
        abort(upstream_write);
    }
}

async fn wait_for_reset(mut plan: watch::Receiver<Plan>) {
    if plan.wait_for(|plan| plan.reset).await.is_err() {
        std::future::pending().await
    }
}

/// Closes the connection with a reset instead of a FIN.
fn abort(half: OwnedWriteHalf) {
    let stream: &TcpStream = half.as_ref();
    let _ = stream.set_zero_linger();
    // Dropping the half would shut the stream down with a FIN first.
    half.forget();
}

async fn copy_direction(
    shared: &Shared,
    mut plan: watch::Receiver<Plan>,
    ignores_silence: bool,
    mut from: OwnedReadHalf,
    to: &mut OwnedWriteHalf,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut is_silenced = false;
    loop {
        let read = from.read(&mut buffer).await;
        is_silenced |= plan.borrow().silence && !ignores_silence;
        if is_silenced {
            // Forwards neither data nor the end of the stream.
            std::future::pending::<()>().await;
        }
        let Ok(length @ 1..) = read else {
            break;
        };
        let delay = shared.random_delay(&shared.plan());
        time::sleep(delay).await;
        // TCP retransmits data lost in a partition, so the data waits for its end.
        if plan.wait_for(|plan| !plan.partition).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
