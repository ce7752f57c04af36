//! UDP adapter: forwards datagrams from callers to owners and targets, and replies to callers.

mod upstream;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        PoisonError,
        RwLock, //
    },
    time::Duration, //
};

use mulberrynotch_policy::{
    flow,
    view, //
};
use mulberrynotch_register::{
    id,
    model,
    settings, //
};
use mulberrynotch_wire::{
    data,
    flow as wire_flow, //
};
use tokio::{
    net::UdpSocket,
    task::AbortHandle, //
};

use crate::{
    core,
    datagram,
    event,
    peer,
    proxy, //
};

/// Receive buffer of an ingress socket; absorbs a burst while the task waits for a CPU core.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Delay after a socket error, so that a broken socket does not occupy a CPU core.
const ERROR_DELAY: Duration = Duration::from_millis(10);

static DROPPED: event::Limiter = event::Limiter::new();
static REFUSED: event::Limiter = event::Limiter::new();
static BIND_FAILED: event::Limiter = event::Limiter::new();

/// The UDP adapter.
pub struct Adapter {
    core: Arc<core::Core>,
    ingress: settings::Ingress,
    listeners: RwLock<HashMap<SocketAddr, Listener>>,
    upstreams: upstream::Table,
    counters: Counters,
}

/// Metric handles of the datagram path, looked up once instead of per datagram.
struct Counters {
    delivered: metrics::Counter,
    forwarded: metrics::Counter,
    returned: metrics::Counter,
}

struct Listener {
    socket: Arc<UdpSocket>,
    task: AbortHandle,
}

impl Adapter {
    /// Opens the ingress socket of mode `proxy`; the sockets of mode `direct` follow the view.
    ///
    /// # Errors
    ///
    /// Fails when the ingress address cannot be bound.
    pub fn new(core: Arc<core::Core>, ingress: settings::Ingress) -> io::Result<Arc<Self>> {
        let proxy_address = match ingress {
            settings::Ingress::Proxy { address, .. } => Some(address),
            settings::Ingress::Direct => None,
        };
        let adapter = Arc::new(Self {
            core,
            ingress,
            listeners: RwLock::default(),
            upstreams: upstream::Table::default(),
            counters: Counters {
                delivered: metrics::counter!("mulberrynotch_udp_delivered_total"),
                forwarded: metrics::counter!("mulberrynotch_udp_forwarded_total"),
                returned: metrics::counter!("mulberrynotch_udp_returned_total"),
            },
        });
        if let Some(address) = proxy_address {
            adapter.listen(address)?;
        }
        Ok(adapter)
    }

    /// Opens and closes sockets to match the view; each call retries sockets that failed to bind.
    pub fn refresh(self: &Arc<Self>) {
        let view = self.core.view();
        self.upstreams.retain(self.core.now(), &view);
        if self.ingress != settings::Ingress::Direct {
            return;
        }
        let wanted = service_addresses(&view, |protocol| protocol == model::Protocol::Udp);
        let mut missing = Vec::new();
        {
            let mut listeners = self.listeners_mut();
            listeners.retain(|address, listener| {
                let keep = wanted.contains(address);
                if !keep {
                    listener.task.abort();
                }
                keep
            });
            missing.extend(wanted.iter().filter(|it| !listeners.contains_key(it)));
        }
        for &address in missing {
            if let Err(error) = self.listen(address) {
                let fields: [event::Field<'_>; 2] = [("address", &address), ("error", &error)];
                BIND_FAILED.warn(self.core.now(), "udp_address_not_bound", &fields);
            }
        }
    }

    /// Handles a datagram forwarded by a peer.
    pub fn forwarded(self: &Arc<Self>, from: &str, header: &data::Header, payload: &[u8]) {
        let decision = self.core.forwarded(from, header);
        let flow = wire_flow::Flow {
            caller: header.caller,
            address: header.address,
        };
        self.execute(decision, &flow, payload);
    }

    /// Sends an empty datagram of the flow to the target, so that the target replies to the new
    /// owner.
    pub fn repoint(self: &Arc<Self>, target: id::Target, flow: &wire_flow::Flow) {
        let view = self.core.view();
        // Without a PROXY header, an empty datagram from a new port does not identify its flow.
        let service = view.locate(target).and_then(|it| view.service(it.service));
        if service.is_some_and(|it| it.proxy_protocol == model::ProxyProtocol::V2) {
            self.send_to_target(&view, target, flow, &[]);
        }
    }

    /// Closes the target socket of a flow, if the flow has its own.
    pub fn close(&self, target: id::Target, flow: &wire_flow::Flow) {
        self.upstreams.close(target, flow);
    }

    /// Returns the number of sockets to targets.
    pub fn upstreams(&self) -> usize {
        self.upstreams.len()
    }

    fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let socket = Arc::new(bind(address)?);
        let task = tokio::spawn(self.clone().receive(socket.clone())).abort_handle();
        self.listeners_mut()
            .insert(address, Listener { socket, task });
        Ok(())
    }

    async fn receive(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let local = match self.ingress {
            settings::Ingress::Direct => socket.local_addr().ok(),
            settings::Ingress::Proxy { .. } => None,
        };
        let mut buffer = vec![0; peer::MAX_DATAGRAM_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.handle_datagram(local, from, &buffer[..length]),
                Err(_) => tokio::time::sleep(ERROR_DELAY).await,
            }
        }
    }

    fn handle_datagram(
        self: &Arc<Self>,
        local: Option<SocketAddr>,
        from: SocketAddr,
        datagram: &[u8],
    ) {
        let (caller, address, payload) = match local {
            Some(address) => (from, address, datagram),
            None => match proxy::parse(datagram, proxy::Transport::Datagram) {
                Ok(parsed) => (parsed.caller, parsed.address, &datagram[parsed.length..]),
                Err(error) => {
                    metrics::counter!("mulberrynotch_udp_refused_total").increment(1);
                    let fields: [event::Field<'_>; 2] = [("from", &from), ("error", &error)];
                    return REFUSED.warn(self.core.now(), "udp_refused", &fields);
                }
            },
        };
        let flow = wire_flow::Flow { caller, address };
        let protocol = self.core.view().service_at(address).map(|(_, it)| it);
        let decision = if protocol.is_some_and(|it| it != model::Protocol::Udp) {
            flow::Decision::Drop(flow::Reason::WrongService)
        } else {
            self.core.arrive(caller, address)
        };
        self.execute(decision, &flow, payload);
    }

    fn execute(self: &Arc<Self>, decision: flow::Decision, flow: &wire_flow::Flow, payload: &[u8]) {
        match decision {
            flow::Decision::Deliver { target } => {
                self.counters.delivered.increment(1);
                self.send_to_target(&self.core.view(), target, flow, payload);
            }
            flow::Decision::Forward { to, header } => {
                self.counters.forwarded.increment(1);
                self.core.peer.send_data(&to, header, payload);
            }
            flow::Decision::Drop(reason) => self.record_drop(reason, flow),
        }
    }

    fn record_drop(&self, reason: flow::Reason, flow: &wire_flow::Flow) {
        let reason = reason_name(reason);
        metrics::counter!("mulberrynotch_udp_dropped_total", "reason" => reason).increment(1);
        let fields: [event::Field<'_>; 3] = [
            ("reason", &reason),
            ("caller", &flow.caller),
            ("address", &flow.address),
        ];
        DROPPED.warn(self.core.now(), "udp_dropped", &fields);
    }

    /// Sends a reply of a target to the caller of its flow.
    fn send_to_caller(&self, flow: &wire_flow::Flow, payload: &[u8]) {
        let listeners = self.listeners.read();
        let listeners = listeners.unwrap_or_else(PoisonError::into_inner);
        let sent = match self.ingress {
            settings::Ingress::Direct => listeners
                .get(&flow.address)
                .map(|listener| datagram::send_to(&listener.socket, payload, flow.caller)),
            settings::Ingress::Proxy {
                address,
                return_address,
            } => listeners.get(&address).map(|listener| {
                let mut datagram =
                    proxy::header(proxy::Transport::Datagram, flow.address, flow.caller);
                datagram.extend_from_slice(payload);
                datagram::send_to(&listener.socket, &datagram, return_address)
            }),
        };
        if matches!(sent, Some(Ok(()))) {
            self.counters.returned.increment(1);
        } else {
            metrics::counter!("mulberrynotch_udp_return_failed_total").increment(1);
        }
    }

    fn listeners_mut(&self) -> std::sync::RwLockWriteGuard<'_, HashMap<SocketAddr, Listener>> {
        self.listeners
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the service addresses whose protocol satisfies `wanted`.
pub(crate) fn service_addresses(
    view: &view::View,
    wanted: impl Fn(model::Protocol) -> bool,
) -> std::collections::HashSet<SocketAddr> {
    view.register
        .services
        .iter()
        .flat_map(|service| &service.addresses)
        .filter(|address| wanted(address.protocol))
        .map(|address| address.address)
        .collect()
}

/// Returns the name of a drop reason in logs and metrics.
pub(crate) fn reason_name(reason: flow::Reason) -> &'static str {
    match reason {
        flow::Reason::WrongService => "wrong_service",
        flow::Reason::ZoneOut => "zone_out",
        flow::Reason::NoCapacity => "no_capacity",
        flow::Reason::HopLimit => "hop_limit",
        flow::Reason::NoOwner => "no_owner",
        flow::Reason::Unconfirmed => "unconfirmed",
        flow::Reason::AddressReused => "address_reused",
    }
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    if address.is_ipv6() {
        socket.set_only_v6(true)?;
    }
    // The system may grant less; a smaller buffer only drops more datagrams in a burst.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(&address.into())?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket.into())
}
