//! The network fabric: delivers each datagram and each connection of a caller to a random balancer.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use tokio::{
    io::{
        AsyncWriteExt,
        copy_bidirectional, //
    },
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
};

use crate::{
    proxy,
    seed::Random,
    task::{
        Group,
        lock, //
    },
};

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Configuration of a fabric.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// Address that balancers send datagrams for callers to.
    pub return_address: SocketAddr,
    /// Service addresses for UDP.
    pub udp: Vec<SocketAddr>,
    /// Service addresses for TCP and requests.
    pub tcp: Vec<SocketAddr>,
    /// Ingress addresses of the balancers.
    pub balancers: Vec<SocketAddr>,
    /// Seed of the random choice of balancers.
    pub seed: u64,
}

struct Shared {
    balancers: Mutex<Vec<SocketAddr>>,
    random: Mutex<Random>,
}

impl Shared {
    fn pick(&self) -> Option<SocketAddr> {
        let balancers = lock(&self.balancers);
        lock(&self.random).pick(&balancers).copied()
    }
}

/// Handle of a running fabric.
pub struct Fabric {
    shared: Arc<Shared>,
    return_address: SocketAddr,
    _tasks: Group,
}

impl Fabric {
    /// Binds all addresses and starts to forward.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            balancers: Mutex::new(config.balancers),
            random: Mutex::new(Random::new(config.seed)),
        });
        let tasks = Group::default();
        let return_socket = Arc::new(UdpSocket::bind(config.return_address).await?);
        let return_address = return_socket.local_addr()?;
        let mut sockets = HashMap::new();
        for address in config.udp {
            let socket = Arc::new(UdpSocket::bind(address).await?);
            sockets.insert(address, socket.clone());
            tasks.spawn(forward_datagrams(
                shared.clone(),
                address,
                socket,
                return_socket.clone(),
            ));
        }
        tasks.spawn(return_datagrams(return_socket, sockets));
        for address in config.tcp {
            let listener = TcpListener::bind(address).await?;
            tasks.spawn(forward_connections(shared.clone(), address, listener));
        }
        Ok(Self {
            shared,
            return_address,
            _tasks: tasks,
        })
    }

    /// Returns the address that balancers send datagrams for callers to.
    pub fn return_address(&self) -> SocketAddr {
        self.return_address
    }

    /// Replaces the balancers that traffic is delivered to.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        *lock(&self.shared.balancers) = balancers;
    }
}

/// Forwards datagrams of callers to balancers. One that cannot be sent is dropped, as on a network.
async fn forward_datagrams(
    shared: Arc<Shared>,
    address: SocketAddr,
    socket: Arc<UdpSocket>,
    return_socket: Arc<UdpSocket>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(balancer) = shared.pick() {
            let mut datagram = proxy::udp_header(caller, address);
            datagram.extend_from_slice(&buffer[..length]);
            let _ = return_socket.send_to(&datagram, balancer).await;
        }
    }
}

/// Sends datagrams of balancers to callers, from the service address named in the PROXY header.
async fn return_datagrams(
    return_socket: Arc<UdpSocket>,
    sockets: HashMap<SocketAddr, Arc<UdpSocket>>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = return_socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(header) = proxy::parse(&buffer[..length]) else {
            continue;
        };
        if let Some(socket) = sockets.get(&header.source) {
            let payload = &buffer[header.length..length];
            let _ = socket.send_to(payload, header.destination).await;
        }
    }
}

async fn forward_connections(shared: Arc<Shared>, address: SocketAddr, listener: TcpListener) {
    let connections = Group::default();
    loop {
        let Ok((mut stream, caller)) = listener.accept().await else {
            continue;
        };
        let Some(balancer) = shared.pick() else {
            continue;
        };
        connections.spawn(async move {
            let Ok(mut upstream) = TcpStream::connect(balancer).await else {
                return;
            };
            let _ = upstream.set_nodelay(true);
            let _ = stream.set_nodelay(true);
            let header = proxy::tcp_header(caller, address);
            if upstream.write_all(&header).await.is_ok() {
                let _ = copy_bidirectional(&mut stream, &mut upstream).await;
            }
        });
    }
}
