//! Sockets to targets.
//!
//! Each socket is connected, so that the system reports ICMP errors of the target and discards
//! datagrams from any other address.

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
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use mulberrynotch_policy::{
    health,
    view, //
};
use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::flow as wire_flow;
use tokio::{
    net::UdpSocket,
    task::AbortHandle, //
};

use super::Adapter;
use crate::{
    core,
    datagram,
    peer,
    proxy, //
};

/// Maximum number of sockets; a flow without PROXY headers needs its own socket.
const MAX_SOCKETS: usize = 16_384;

/// A target, and the flow if each flow of the service has its own socket.
type Key = (id::Target, Option<wire_flow::Flow>);

/// Sockets to targets.
#[derive(Default)]
pub(super) struct Table(Mutex<HashMap<Key, Upstream>>);

struct Upstream {
    address: SocketAddr,
    socket: Arc<UdpSocket>,
    task: AbortHandle,
    /// Time of the last datagram in either direction, in ms since the start of the process.
    used_ms: Arc<AtomicU64>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Table {
    /// Closes the sockets of targets that were removed, are out of service or have another address,
    /// and those of idle flows, whose records may have moved to another owner.
    pub(super) fn retain(&self, now: Duration, view: &view::View) {
        self.lock().retain(|&(target, flow), upstream| {
            let located = view.locate(target).filter(|it| !it.out);
            let Some(service) = located.and_then(|it| view.service(it.service)) else {
                return false;
            };
            let idle = Duration::from_secs(service.flow_idle_seconds.into());
            let used = Duration::from_millis(upstream.used_ms.load(Ordering::Relaxed));
            let ended = flow.is_some() && now > used + idle;
            !ended && view.target(target).and_then(|it| it.udp) == Some(upstream.address)
        });
    }

    /// Closes the socket of a flow, if the flow has its own.
    pub(super) fn close(&self, target: id::Target, flow: &wire_flow::Flow) {
        self.lock().remove(&(target, Some(*flow)));
    }

    /// Returns the number of sockets.
    pub(super) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Upstream>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Adapter {
    /// Sends a datagram of a caller to a target.
    pub(super) fn send_to_target(
        self: &Arc<Self>,
        view: &view::View,
        target: id::Target,
        flow: &wire_flow::Flow,
        payload: &[u8],
    ) {
        let located = view.locate(target).filter(|it| !it.out);
        let service = located.and_then(|it| view.service(it.service));
        let address = view.target(target).and_then(|it| it.udp);
        let (Some(service), Some(address)) = (service, address) else {
            metrics::counter!("mulberrynotch_udp_no_target_total").increment(1);
            return;
        };
        let sent = match service.proxy_protocol {
            model::ProxyProtocol::V2 => {
                let mut datagram =
                    proxy::header(proxy::Transport::Datagram, flow.caller, flow.address);
                datagram.extend_from_slice(payload);
                self.upstream((target, None), address)
                    .and_then(|socket| send(&socket, &datagram))
            }
            model::ProxyProtocol::Off => self
                .upstream((target, Some(*flow)), address)
                .and_then(|socket| send(&socket, payload)),
        };
        match sent {
            Ok(true) => {}
            Ok(false) => self.core.observe(target, health::Observation::IcmpError),
            Err(_) => metrics::counter!("mulberrynotch_udp_send_failed_total").increment(1),
        }
    }

    fn upstream(self: &Arc<Self>, key: Key, address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let used = core::millis(self.core.now());
        let mut sockets = self.upstreams.lock();
        if let Some(upstream) = sockets.get(&key).filter(|it| it.address == address) {
            upstream.used_ms.store(used, Ordering::Relaxed);
            return Ok(upstream.socket.clone());
        }
        if sockets.len() >= MAX_SOCKETS {
            return Err(io::Error::other("limit of sockets to targets reached"));
        }
        let socket = Arc::new(connect(address)?);
        let used_ms = Arc::new(AtomicU64::new(used));
        let replies = self
            .clone()
            .receive_replies(key, socket.clone(), used_ms.clone());
        let task = tokio::spawn(replies).abort_handle();
        let upstream = Upstream {
            address,
            socket: socket.clone(),
            task,
            used_ms,
        };
        sockets.insert(key, upstream);
        Ok(socket)
    }

    async fn receive_replies(
        self: Arc<Self>,
        (target, flow): Key,
        socket: Arc<UdpSocket>,
        used_ms: Arc<AtomicU64>,
    ) {
        let mut buffer = vec![0; peer::MAX_DATAGRAM_BYTES];
        loop {
            match socket.recv(&mut buffer).await {
                Ok(length) => {
                    used_ms.store(core::millis(self.core.now()), Ordering::Relaxed);
                    self.handle_reply(target, flow, &buffer[..length]);
                }
                Err(error) if is_unreachable(&error) => {
                    self.core.observe(target, health::Observation::IcmpError);
                }
                Err(_) => tokio::time::sleep(super::ERROR_DELAY).await,
            }
        }
    }

    fn handle_reply(&self, target: id::Target, flow: Option<wire_flow::Flow>, datagram: &[u8]) {
        let view = self.core.view();
        let identified = match flow {
            Some(flow) => Some((flow, datagram)),
            None => proxy::parse(datagram, proxy::Transport::Datagram)
                .ok()
                .map(|parsed| {
                    let flow = wire_flow::Flow {
                        caller: parsed.caller,
                        address: parsed.address,
                    };
                    (flow, &datagram[parsed.length..])
                }),
        };
        // A target may reply only on flows to addresses of its own service.
        let is_own_address = |flow: &wire_flow::Flow| {
            let service = view.locate(target).filter(|it| !it.out);
            let expected = service.map(|it| (it.service, model::Protocol::Udp));
            expected.is_some() && view.service_at(flow.address) == expected
        };
        let Some((flow, payload)) = identified.filter(|(flow, _)| is_own_address(flow)) else {
            metrics::counter!("mulberrynotch_udp_bad_reply_total").increment(1);
            return;
        };
        self.core.answered(target, &flow);
        self.send_to_caller(&flow, payload);
    }
}

/// Sends a datagram; returns false when an ICMP error of an earlier one is pending. A full socket
/// drops the datagram.
fn send(socket: &UdpSocket, bytes: &[u8]) -> io::Result<bool> {
    match datagram::send(socket, bytes) {
        Ok(()) => Ok(true),
        // The error belongs to an earlier datagram and is cleared by the failed send.
        Err(error) if is_unreachable(&error) => {
            let _ = datagram::send(socket, bytes);
            Ok(false)
        }
        Err(error) => Err(error),
    }
}

fn is_unreachable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}

fn connect(address: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = if address.is_ipv4() {
        (std::net::Ipv4Addr::UNSPECIFIED, 0).into()
    } else {
        (std::net::Ipv6Addr::UNSPECIFIED, 0).into()
    };
    let socket = std::net::UdpSocket::bind(any)?;
    socket.connect(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
