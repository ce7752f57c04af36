//! Authenticated datagrams between balancers.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        RwLock, //
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use mulberrynotch_policy::{
    budget,
    view, //
};
use mulberrynotch_timer::service::Clock;
use mulberrynotch_wire::{
    data,
    envelope,
    frame, //
};
use tokio::{
    net::UdpSocket,
    sync::Notify, //
};

use crate::datagram;

/// Largest datagram; no UDP datagram is longer.
pub const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Interval at which a control queue that waits for tokens is polled.
const TOKEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The current view, shared by the adapters.
pub type SharedView = Arc<RwLock<Arc<view::View>>>;

/// Returns the current view.
pub fn current(shared: &SharedView) -> Arc<view::View> {
    shared
        .read()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
}

/// Counters of the peer socket.
#[derive(Debug, Default, serde::Serialize)]
pub struct Counters {
    /// Control datagrams sent.
    pub control_sent: AtomicU64,
    /// Bytes of control datagrams sent.
    pub control_sent_bytes: AtomicU64,
    /// Control datagrams received.
    pub control_received: AtomicU64,
    /// Bytes of control datagrams received.
    pub control_received_bytes: AtomicU64,
    /// Datagrams of callers sent to peers.
    pub data_sent: AtomicU64,
    /// Datagrams of callers received from peers.
    pub data_received: AtomicU64,
    /// Datagrams that failed authentication or did not decode.
    pub refused: AtomicU64,
    /// Datagrams for a balancer that is not in the view.
    pub unknown_peer: AtomicU64,
    /// Datagrams that could not be encoded or sent.
    pub send_failed: AtomicU64,
}

/// An authenticated datagram.
#[derive(Debug, PartialEq, Eq)]
pub struct Received<'a> {
    /// Name of the sender.
    pub from: &'a str,
    /// Decoded frame.
    pub frame: frame::Frame,
    /// Bytes after the encoded frame; empty except for data frames.
    pub payload: &'a [u8],
}

/// Socket for all datagrams between balancers, with the queue of control frames.
pub struct Peer {
    socket: UdpSocket,
    me: Arc<str>,
    keyring: envelope::Keyring,
    view: SharedView,
    clock: Clock,
    queue: Mutex<budget::Queue<(SocketAddr, Vec<u8>)>>,
    queued: Notify,
    /// Counters of the socket.
    pub counters: Counters,
}

impl Peer {
    /// Binds the socket and limits control traffic to `bytes_per_second`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        me: Arc<str>,
        keyring: envelope::Keyring,
        view: SharedView,
        clock: Clock,
        bytes_per_second: u32,
    ) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            me,
            keyring,
            view,
            clock,
            queue: Mutex::new(budget::Queue::new(bytes_per_second)),
            queued: Notify::new(),
            counters: Counters::default(),
        })
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    ///
    /// Fails when the operating system reports no address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Queues a control frame for an address; it is sent when the budget allows.
    pub fn send_control(&self, to: SocketAddr, priority: budget::Priority, frame: &frame::Frame) {
        let Ok(content) = postcard::to_stdvec(frame) else {
            self.count(&self.counters.send_failed);
            return;
        };
        let sealed = self.keyring.seal(&self.me, &content);
        self.lock_queue().push(priority, sealed.len(), (to, sealed));
        self.queued.notify_one();
    }

    /// Queues a control frame for a balancer in the view.
    pub fn send_control_to(&self, to: &str, priority: budget::Priority, frame: &frame::Frame) {
        match current(&self.view).member(to) {
            Some(member) => self.send_control(member.peer, priority, frame),
            None => self.count(&self.counters.unknown_peer),
        }
    }

    /// Sends a datagram of a caller to a balancer in the view. It does not count against the budget.
    pub fn send_data(&self, to: &str, header: data::Header, payload: &[u8]) {
        let view = current(&self.view);
        let Some(member) = view.member(to) else {
            self.count(&self.counters.unknown_peer);
            return;
        };
        let Ok(mut content) = postcard::to_stdvec(&frame::Frame::Data(header)) else {
            self.count(&self.counters.send_failed);
            return;
        };
        content.extend_from_slice(payload);
        let sealed = self.keyring.seal(&self.me, &content);
        match datagram::send_to(&self.socket, &sealed, member.peer) {
            Ok(()) => self.count(&self.counters.data_sent),
            // A datagram is dropped when the send buffer is full, as on any link.
            Err(_) => self.count(&self.counters.send_failed),
        }
    }

    /// Receives one datagram and its source address, or `None` for a refused datagram.
    ///
    /// # Errors
    ///
    /// Fails when reading from the socket fails.
    pub async fn receive<'a>(
        &self,
        buffer: &'a mut [u8],
    ) -> io::Result<Option<(SocketAddr, Received<'a>)>> {
        let (length, address) = self.socket.recv_from(buffer).await?;
        let sealed = &buffer[..length];
        let Some(received) = open(&self.keyring, sealed).filter(|it| it.from != &*self.me) else {
            self.count(&self.counters.refused);
            metrics::counter!("mulberrynotch_peer_refused_total").increment(1);
            return Ok(None);
        };
        if matches!(received.frame, frame::Frame::Data(_)) {
            self.count(&self.counters.data_received);
        } else {
            self.count(&self.counters.control_received);
            self.counters
                .control_received_bytes
                .fetch_add(length as u64, Ordering::Relaxed);
        }
        Ok(Some((address, received)))
    }

    /// Sends queued control frames as the budget allows. Runs until the future is dropped.
    pub async fn send_queued(&self) {
        loop {
            while let Some((to, sealed)) = self.pop_queued() {
                match self.socket.send_to(&sealed, to).await {
                    Ok(length) => self.count_control(length),
                    Err(_) => self.count(&self.counters.send_failed),
                }
            }
            if self.waiting() == 0 {
                self.queued.notified().await;
            } else {
                tokio::time::sleep(TOKEN_POLL_INTERVAL).await;
            }
        }
    }

    /// Returns the number of control frames that wait for the budget.
    pub fn waiting(&self) -> usize {
        self.lock_queue().len()
    }

    /// Returns the number of control frames dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.lock_queue().dropped
    }

    fn pop_queued(&self) -> Option<(SocketAddr, Vec<u8>)> {
        self.lock_queue().pop((self.clock)())
    }

    fn lock_queue(&self) -> MutexGuard<'_, budget::Queue<(SocketAddr, Vec<u8>)>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn count_control(&self, length: usize) {
        self.count(&self.counters.control_sent);
        self.counters
            .control_sent_bytes
            .fetch_add(length as u64, Ordering::Relaxed);
        metrics::counter!("mulberrynotch_control_sent_bytes_total").increment(length as u64);
    }
}

/// Opens a sealed datagram. Returns `None` when it is forged, malformed or has trailing bytes.
pub fn open<'a>(keyring: &envelope::Keyring, sealed: &'a [u8]) -> Option<Received<'a>> {
    let (from, content) = keyring.open(sealed).ok()?;
    let (frame, payload) = postcard::take_from_bytes(content).ok()?;
    if !payload.is_empty() && !matches!(frame, frame::Frame::Data(_)) {
        return None;
    }
    Some(Received {
        from,
        frame,
        payload,
    })
}
