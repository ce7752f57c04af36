//! TCP adapter: listeners for callers and peers, and TCP flows.

pub mod copy;
mod flow;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration, //
};

use mulberrynotch_policy::view;
use mulberrynotch_register::{
    id,
    model,
    settings, //
};
use mulberrynotch_wire::{
    flow as wire_flow,
    stream, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Notify,
        OwnedSemaphorePermit,
        Semaphore, //
    },
    task::AbortHandle, //
};

use crate::{
    core,
    event,
    preface,
    proxy,
    snapshot,
    udp, //
};

/// Time limit for reading a PROXY header.
const PROXY_HEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of concurrent peer connections that have not been authenticated yet.
const MAX_PENDING: usize = 512;

/// Maximum number of concurrent connections of callers.
const MAX_CALLERS: usize = 65_536;

/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);

/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// Time that sent data may stay unacknowledged before the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay after a failed `accept`, which would fail again immediately when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

static REFUSED: event::Limiter = event::Limiter::new();
static BIND_FAILED: event::Limiter = event::Limiter::new();

/// The TCP adapter.
pub struct Adapter {
    core: Arc<core::Core>,
    ingress: settings::Ingress,
    listeners: Mutex<HashMap<SocketAddr, AbortHandle>>,
    /// Flows as ingress balancer or owner, with the signals that close them.
    flows: Mutex<HashMap<(id::Target, wire_flow::Flow), Arc<Notify>>>,
    open: AtomicUsize,
    connections: AtomicUsize,
    callers: Arc<Semaphore>,
}

impl Adapter {
    /// Opens the peer listener, and the ingress listener of mode `proxy`; the listeners of mode
    /// `direct` follow the view.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn new(core: Arc<core::Core>, settings: &settings::Settings) -> io::Result<Arc<Self>> {
        let peers = bind(settings.peer_address)?;
        let ingress = match settings.ingress {
            settings::Ingress::Proxy { address, .. } => Some((address, bind(address)?)),
            settings::Ingress::Direct => None,
        };
        let adapter = Arc::new(Self {
            core,
            ingress: settings.ingress.clone(),
            listeners: Mutex::default(),
            flows: Mutex::default(),
            open: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            callers: Arc::new(Semaphore::new(MAX_CALLERS)),
        });
        tokio::spawn(adapter.clone().accept_peers(peers));
        if let Some((address, listener)) = ingress {
            adapter.listen(address, listener);
        }
        Ok(adapter)
    }

    /// Opens and closes listeners to match the view; each call retries those that failed to bind.
    pub fn refresh(self: &Arc<Self>) {
        let view = self.core.view();
        self.close_stale_flows(&view);
        if self.ingress != settings::Ingress::Direct {
            return;
        }
        let wanted = udp::service_addresses(&view, |protocol| protocol != model::Protocol::Udp);
        let mut missing = Vec::new();
        {
            let mut listeners = self.listeners();
            listeners.retain(|address, listener| {
                let keep = wanted.contains(address);
                if !keep {
                    listener.abort();
                }
                keep
            });
            missing.extend(wanted.iter().filter(|it| !listeners.contains_key(it)));
        }
        for &address in missing {
            match bind(address) {
                Ok(listener) => self.listen(address, listener),
                Err(error) => {
                    let fields: [event::Field<'_>; 2] = [("address", &address), ("error", &error)];
                    BIND_FAILED.warn(self.core.now(), "tcp_address_not_bound", &fields);
                }
            }
        }
    }

    /// Closes the listeners for callers; open flows continue.
    pub fn stop_accepting(&self) {
        for (_, listener) in self.listeners().drain() {
            listener.abort();
        }
    }

    /// Closes a flow on a target.
    pub fn close(&self, target: id::Target, flow: &wire_flow::Flow) {
        if let Some(closed) = self.flows().get(&(target, *flow)) {
            closed.notify_one();
        }
    }

    /// Closes the flows on targets that were removed or are out of service. The ingress balancer
    /// does this as well as the owner, because the owner may not have received the change.
    fn close_stale_flows(&self, view: &view::View) {
        for ((target, _), closed) in &*self.flows() {
            if view.locate(*target).is_none_or(|it| it.out) {
                closed.notify_one();
            }
        }
    }

    /// Returns the number of open TCP flows, as ingress balancer or owner.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of HTTP connections of callers and peers.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    fn listen(self: &Arc<Self>, address: SocketAddr, listener: TcpListener) {
        let task = tokio::spawn(self.clone().accept_callers(listener)).abort_handle();
        self.listeners().insert(address, task);
    }

    async fn accept_callers(self: Arc<Self>, listener: TcpListener) {
        let local = match self.ingress {
            settings::Ingress::Direct => listener.local_addr().ok(),
            settings::Ingress::Proxy { .. } => None,
        };
        loop {
            let Ok(permit) = self.callers.clone().acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, caller)) => {
                    let adapter = self.clone();
                    tokio::spawn(async move {
                        adapter.serve_caller(stream, caller, local).await;
                        drop(permit);
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn serve_caller(
        self: Arc<Self>,
        mut stream: TcpStream,
        from: SocketAddr,
        local: Option<SocketAddr>,
    ) {
        set_options(&stream);
        let (caller, address) = match local {
            Some(address) => (from, address),
            None => match read_proxy_header(&mut stream).await {
                Ok(parsed) => (parsed.caller, parsed.address),
                Err(error) => {
                    metrics::counter!("mulberrynotch_tcp_refused_total").increment(1);
                    let fields: [event::Field<'_>; 2] = [("from", &from), ("error", &error)];
                    return REFUSED.warn(self.core.now(), "tcp_refused", &fields);
                }
            },
        };
        match self.core.view().service_at(address) {
            Some((_, model::Protocol::Http)) => {
                let requests = self.core.requests.clone();
                self.connections.fetch_add(1, Ordering::Relaxed);
                requests.serve_caller(stream, caller, address).await;
                self.connections.fetch_sub(1, Ordering::Relaxed);
            }
            Some((_, model::Protocol::Tcp)) => {
                let flow = wire_flow::Flow { caller, address };
                self.serve_flow(stream, flow).await;
            }
            Some((_, model::Protocol::Udp)) | None => {
                metrics::counter!("mulberrynotch_tcp_refused_total").increment(1);
                reset(&stream);
            }
        }
    }

    async fn accept_peers(self: Arc<Self>, listener: TcpListener) {
        let pending = Arc::new(Semaphore::new(MAX_PENDING));
        loop {
            let Ok(permit) = pending.clone().acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve_peer(stream, permit));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn serve_peer(self: Arc<Self>, mut stream: TcpStream, permit: OwnedSemaphorePermit) {
        set_options(&stream);
        let read = preface::read(&mut stream, &self.core.keyring).await;
        drop(permit);
        match read {
            Ok((sender, stream::Preface::Flow(header))) => {
                self.serve_forwarded(stream, &sender, header).await;
            }
            Ok((sender, stream::Preface::Requests { .. })) => {
                let requests = self.core.requests.clone();
                self.connections.fetch_add(1, Ordering::Relaxed);
                requests.serve_peer(stream, sender).await;
                self.connections.fetch_sub(1, Ordering::Relaxed);
            }
            Ok((_, stream::Preface::Snapshot)) => {
                let register = self.core.view().register.clone();
                // The peer requests the snapshot again when the transfer fails.
                let _ = snapshot::serve(&mut stream, &self.core, &register).await;
            }
            Ok((name, stream::Preface::Members { sender, held })) if *sender.name == *name => {
                // Without a response the peer tries another balancer.
                if let Some(members) = self.core.transfer_members(&sender, &held) {
                    let _ = snapshot::send(&mut stream, &self.core, &members).await;
                }
            }
            Ok((_, stream::Preface::Members { .. })) => {
                metrics::counter!("mulberrynotch_peer_refused_total").increment(1);
            }
            Err(error) => {
                metrics::counter!("mulberrynotch_peer_refused_total").increment(1);
                REFUSED.warn(self.core.now(), "peer_refused", &[("error", &error)]);
            }
        }
    }

    fn listeners(&self) -> MutexGuard<'_, HashMap<SocketAddr, AbortHandle>> {
        self.listeners
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn flows(&self) -> MutexGuard<'_, HashMap<(id::Target, wire_flow::Flow), Arc<Notify>>> {
        self.flows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read_proxy_header(stream: &mut TcpStream) -> Result<proxy::Parsed, proxy::Error> {
    tokio::time::timeout(PROXY_HEADER_TIMEOUT, proxy::read(stream))
        .await
        .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    if address.is_ipv6() {
        socket.set_only_v6(true)?;
    }
    // A restarted process has to bind while connections of its predecessor still linger.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1_024)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// Sets TCP_NODELAY, keepalive and the user time-out, which detect unresponsive peers.
pub(crate) fn set_options(stream: &TcpStream) {
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = socket2::SockRef::from(stream);
    // Failures are ignored: the connection works, only an unresponsive peer is detected later.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Makes the close of a connection send a reset, so that the peer does not see a regular end.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
