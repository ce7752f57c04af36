//! HTTP/2 connections to peers and targets, with liveness checks by PING.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU8,
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use bytes::Bytes;
use h2::{
    Ping,
    PingPong,
    client, //
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::{
        Notify,
        watch, //
    },
    time, //
};

/// Time limit for opening a connection, including the answer to its first PING.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// PING interval of a connection in use. A connection that was idle for this long is checked by a
/// PING before its next request.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer to a PING after which new requests use another connection.
const PING_SUSPECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Further time without an answer after which a suspect connection is closed, because the state of
/// the connection on the network path counts as lost.
const PING_LOST_TIMEOUT: Duration = Duration::from_millis(800);

/// Receive window of a stream.
pub(super) const STREAM_WINDOW_BYTES: u32 = 64 * 1_024;

/// Receive window of a connection; large enough that unread streams do not block the others.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 128 * 1_024 * 1_024;

const LIVE: u8 = 0;
const SUSPECT: u8 = 1;
const CLOSED: u8 = 2;

/// State shared by the liveness check of a connection and its requests.
struct Shared {
    health: AtomicU8,
    requests: AtomicUsize,
    used: Notify,
    heard_at: watch::Sender<time::Instant>,
}

/// An open connection; clones share the same connection.
#[derive(Clone)]
pub(super) struct Connection {
    sender: client::SendRequest<Bytes>,
    shared: Arc<Shared>,
}

/// Permission to send one request on a connection.
pub(super) struct Lease {
    /// Sender for the request.
    pub(super) sender: client::SendRequest<Bytes>,
    /// Must be kept until the response has ended.
    pub(super) usage: Usage,
}

/// Counts a request on a connection until it is dropped.
pub(super) struct Usage(Arc<Shared>);

impl Drop for Usage {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection {
    /// Connects, writes `preface` and waits until the remote side has answered a PING.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or takes longer than [`CONNECT_TIMEOUT`].
    pub(super) async fn open(address: SocketAddr, preface: Option<&[u8]>) -> io::Result<Self> {
        time::timeout(CONNECT_TIMEOUT, open(address, preface)).await?
    }

    /// Returns true while new requests may use the connection.
    pub(super) fn is_usable(&self) -> bool {
        self.shared.health.load(Ordering::Relaxed) == LIVE
    }

    /// Returns true for clones of the same connection.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.shared, &other.shared)
    }

    /// Returns a lease for one request. An idle connection has to answer a PING first, so that no
    /// request is lost on a dead connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection has ended, is unresponsive, or the remote side sent GOAWAY.
    pub(super) async fn lease(&self) -> io::Result<Lease> {
        let shared = &self.shared;
        shared.requests.fetch_add(1, Ordering::Relaxed);
        let usage = Usage(shared.clone());
        shared.used.notify_one();
        let mut heard_at = shared.heard_at.subscribe();
        let heard = heard_at.wait_for(|at| at.elapsed() < PING_INTERVAL);
        let heard = time::timeout(PING_SUSPECT_TIMEOUT, heard).await;
        heard?.map_err(io::Error::other)?;
        let sender = self.sender.clone().ready().await;
        Ok(Lease {
            sender: sender.map_err(io::Error::other)?,
            usage,
        })
    }
}

async fn open(address: SocketAddr, preface: Option<&[u8]>) -> io::Result<Connection> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    if let Some(preface) = preface {
        stream.write_all(preface).await?;
    }
    let (sender, mut connection) = client::Builder::new()
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(io::Error::other)?;
    let shared = Arc::new(Shared {
        health: AtomicU8::new(LIVE),
        requests: AtomicUsize::new(0),
        used: Notify::new(),
        heard_at: watch::Sender::new(time::Instant::now()),
    });
    let mut first_pong = shared.heard_at.subscribe();
    let pings = connection.ping_pong();
    let watched = shared.clone();
    tokio::spawn(async move {
        // Dropping the connection fails its streams without proof that their requests did not run.
        tokio::select! {
            _ = connection => {}
            () = monitor(pings, &watched) => {}
        }
        watched.health.store(CLOSED, Ordering::Relaxed);
        // Wakes `open` if it still waits for the answer to the first PING.
        watched.heard_at.send_modify(|_| {});
    });
    let connection = Connection { sender, shared };
    first_pong.changed().await.map_err(io::Error::other)?;
    if !connection.is_usable() {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    Ok(connection)
}

/// Checks the connection by PING; returns when it is unresponsive.
async fn monitor(pings: Option<PingPong>, shared: &Shared) {
    let Some(mut pings) = pings else { return };
    loop {
        if ping(&mut pings, shared).await.is_none() {
            return;
        }
        let heard_at = time::Instant::now();
        shared.heard_at.send_replace(heard_at);
        if shared.requests.load(Ordering::Relaxed) == 0 {
            shared.used.notified().await;
        }
        time::sleep_until(heard_at + PING_INTERVAL).await;
    }
}

/// Sends a PING and waits for its answer; returns `None` when the connection is lost.
async fn ping(pings: &mut PingPong, shared: &Shared) -> Option<()> {
    let pong = pings.ping(Ping::opaque());
    tokio::pin!(pong);
    if let Ok(response) = time::timeout(PING_SUSPECT_TIMEOUT, &mut pong).await {
        return response.ok().map(drop);
    }
    shared.health.store(SUSPECT, Ordering::Relaxed);
    let response = time::timeout(PING_LOST_TIMEOUT, pong).await;
    response.ok()?.ok()?;
    shared.health.store(LIVE, Ordering::Relaxed);
    Some(())
}
