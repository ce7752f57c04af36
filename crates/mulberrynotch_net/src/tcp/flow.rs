//! One TCP flow: placement, admission by the owner, and relay of its bytes.

use std::{
    future,
    io,
    net::SocketAddr,
    sync::{
        Arc, //
        atomic::Ordering,
    },
    time::Duration, //
};

use mulberrynotch_policy::{
    flow,
    health, //
};
use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::{
    data,
    flow as wire_flow,
    stream, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::Notify, //
};

use super::{
    Adapter, //
    copy,
    reset,
    set_options,
};
use crate::{
    event,
    preface,
    proxy,
    udp, //
};

/// Maximum number of owners that are requested to admit one flow.
const MAX_ATTEMPTS: usize = 6;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for the answer of an owner, which may try to connect to two targets.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest encoded answer of an owner.
const MAX_ANSWER_BYTES: u16 = 512;

/// Poll interval of a view that is not confirmed after a pause.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between reports that a target has sent data on a flow.
const ANSWERED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

static DROPPED: event::Limiter = event::Limiter::new();

/// Where a flow was admitted.
enum Place {
    /// On a target that this process owns.
    Target(id::Target, TcpStream),
    /// At the owner of this target, reached over this connection.
    Owner(id::Target, TcpStream),
}

impl Adapter {
    /// Serves a flow as ingress balancer.
    pub(super) async fn serve_flow(self: &Arc<Self>, stream: TcpStream, flow: wire_flow::Flow) {
        let _open = Open::new(self);
        match self.place(&flow).await {
            Ok(Place::Target(target, upstream)) => {
                self.serve_target(stream, upstream, target, &flow).await;
            }
            Ok(Place::Owner(target, owner)) => {
                let permitted = || future::ready(Ok(()));
                self.relay(stream, owner, target, &flow, permitted, || {})
                    .await;
            }
            Err(reason) => {
                metrics::counter!("mulberrynotch_tcp_dropped_total", "reason" => reason)
                    .increment(1);
                let fields: [event::Field<'_>; 3] = [
                    ("reason", &reason),
                    ("caller", &flow.caller),
                    ("address", &flow.address),
                ];
                DROPPED.warn(self.core.now(), "tcp_dropped", &fields);
                reset(&stream);
            }
        }
    }

    /// Serves a flow as owner, for the balancer `sender`.
    pub(super) async fn serve_forwarded(
        self: &Arc<Self>,
        mut stream: TcpStream,
        sender: &str,
        header: data::Header,
    ) {
        let _open = Open::new(self);
        let flow = wire_flow::Flow {
            caller: header.caller,
            address: header.address,
        };
        let decision = self.admit(&flow, || self.core.forwarded(sender, &header));
        let (answer, admitted) = match decision.await {
            Ok((target, upstream)) => (stream::Answer::Admitted, Some((target, upstream))),
            Err(flow::Decision::Forward { header, .. }) => (stream::Answer::Forward(header), None),
            Err(_) => (stream::Answer::Refused, None),
        };
        let written = write_answer(&mut stream, &answer).await;
        match (admitted, written) {
            (Some((target, upstream)), Ok(())) => {
                self.serve_target(stream, upstream, target, &flow).await;
            }
            (Some((target, upstream)), Err(_)) => {
                reset(&upstream);
                self.core.closed(target, &flow);
            }
            (None, _) => {}
        }
    }

    async fn place(self: &Arc<Self>, flow: &wire_flow::Flow) -> Result<Place, &'static str> {
        let arrive = || self.core.arrive(flow.caller, flow.address);
        let mut decision = self.admit(flow, arrive).await;
        for _ in 0..MAX_ATTEMPTS {
            let (to, header) = match decision {
                Ok((target, upstream)) => return Ok(Place::Target(target, upstream)),
                Err(flow::Decision::Forward { to, header }) => (to, header),
                Err(flow::Decision::Drop(reason)) => return Err(udp::reason_name(reason)),
                Err(flow::Decision::Deliver { .. }) => return Err("connect_failed"),
            };
            let target = header.target;
            let next = match self.request_admission(&to, header).await {
                Ok((stream::Answer::Admitted, owner)) => return Ok(Place::Owner(target, owner)),
                Ok((stream::Answer::Forward(header), _)) => header,
                Ok((stream::Answer::Refused, _)) => return Err("refused_by_owner"),
                Err(_) => return Err("owner_unreachable"),
            };
            let view = self.core.view();
            let Some(owner) = view.assignment.owner(next.target) else {
                return Err(udp::reason_name(flow::Reason::NoOwner));
            };
            decision = if *owner == self.core.me {
                let forwarded = || self.core.forwarded(&to, &next);
                self.admit(flow, forwarded).await
            } else {
                Err(flow::Decision::Forward {
                    to: owner.clone(),
                    header: next,
                })
            };
        }
        Err(udp::reason_name(flow::Reason::HopLimit))
    }

    /// Connects to the target that `decide` returns; after a failed connect it decides and tries
    /// once more.
    ///
    /// # Errors
    ///
    /// Fails with the last decision when no target was connected.
    async fn admit(
        &self,
        flow: &wire_flow::Flow,
        decide: impl Fn() -> flow::Decision,
    ) -> Result<(id::Target, TcpStream), flow::Decision> {
        let mut decision = decide();
        for _ in 0..2 {
            let flow::Decision::Deliver { target } = decision else {
                return Err(decision);
            };
            match self.connect_target(target, flow).await {
                Ok(stream) => return Ok((target, stream)),
                Err(_) => {
                    self.core.closed(target, flow);
                    self.core.observe(target, health::Observation::Unreachable);
                    decision = decide();
                }
            }
        }
        if let flow::Decision::Deliver { target } = decision {
            self.core.closed(target, flow);
        }
        Err(decision)
    }

    async fn connect_target(
        &self,
        target: id::Target,
        flow: &wire_flow::Flow,
    ) -> io::Result<TcpStream> {
        let view = self.core.view();
        let located = view.locate(target).filter(|it| !it.out);
        let service = located.and_then(|it| view.service(it.service));
        let address = view.target(target).and_then(|it| it.tcp);
        let (Some(service), Some(address)) = (service, address) else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let mut stream = connect(address).await?;
        self.wait_until_permitted(target).await?;
        if service.proxy_protocol == model::ProxyProtocol::V2 {
            let header = proxy::header(proxy::Transport::Stream, flow.caller, flow.address);
            stream.write_all(&header).await?;
        }
        Ok(stream)
    }

    /// Waits until the process may send to a target. After a pause of the process its view may be
    /// out of date, while data that was read before the pause has not been written yet.
    ///
    /// # Errors
    ///
    /// Fails when the target was removed or is out of service.
    async fn wait_until_permitted(&self, target: id::Target) -> io::Result<()> {
        loop {
            let view = self.core.view_after_pause();
            let in_service = view.locate(target).is_some_and(|it| !it.out);
            let entry = view.target(target).filter(|_| in_service);
            let entry = entry.ok_or(io::ErrorKind::ConnectionAborted)?;
            if view.accepts_new_work(&entry.zone) {
                return Ok(());
            }
            tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
        }
    }

    async fn request_admission(
        &self,
        to: &str,
        header: data::Header,
    ) -> io::Result<(stream::Answer, TcpStream)> {
        let address = self.core.view().member(to).map(|member| member.peer);
        let address = address.ok_or(io::ErrorKind::NotFound)?;
        let exchange = async {
            let mut stream = connect(address).await?;
            let preface = stream::Preface::Flow(header);
            preface::write(&mut stream, &self.core.keyring, &self.core.me, &preface)
                .await
                .map_err(io::Error::other)?;
            let answer = read_answer(&mut stream).await?;
            Ok((answer, stream))
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Serves a flow on a target that this process owns.
    async fn serve_target(
        &self,
        caller: TcpStream,
        upstream: TcpStream,
        target: id::Target,
        flow: &wire_flow::Flow,
    ) {
        let mut reported_at = None;
        let answered = || {
            let now = self.core.now();
            if reported_at.is_none_or(|at| now >= at + ANSWERED_REPORT_INTERVAL) {
                reported_at = Some(now);
                self.core.answered(target, flow);
                self.core.observe(target, health::Observation::Answered);
            }
        };
        // If the caller has reopened the same flow in the meantime, the flow record stays open.
        let permitted = || self.wait_until_permitted(target);
        let relayed = self.relay(caller, upstream, target, flow, permitted, answered);
        if relayed.await {
            self.core.closed(target, flow);
        }
    }

    /// Relays the bytes of a flow until it ends or is closed; returns true when the flow was not
    /// reopened in the meantime.
    async fn relay<F: Future<Output = io::Result<()>>>(
        &self,
        mut caller: TcpStream,
        mut upstream: TcpStream,
        target: id::Target,
        flow: &wire_flow::Flow,
        permitted: impl FnMut() -> F,
        answered: impl FnMut(),
    ) -> bool {
        let closed = Arc::new(Notify::new());
        self.flows().insert((target, *flow), closed.clone());
        let ended = tokio::select! {
            ended = copy::bidirectional(&mut caller, &mut upstream, permitted, answered) => ended,
            () = closed.notified() => Err(io::ErrorKind::ConnectionAborted.into()),
        };
        if ended.is_err() {
            reset(&caller);
            reset(&upstream);
        }
        let mut flows = self.flows();
        let current = flows.get(&(target, *flow));
        let is_current = current.is_some_and(|it| Arc::ptr_eq(it, &closed));
        if is_current {
            flows.remove(&(target, *flow));
        }
        is_current
    }
}

/// Counts a flow as open until it is dropped.
struct Open<'a>(&'a Adapter);

impl<'a> Open<'a> {
    fn new(adapter: &'a Adapter) -> Self {
        adapter.open.fetch_add(1, Ordering::Relaxed);
        Self(adapter)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    set_options(&stream);
    Ok(stream)
}

async fn write_answer(stream: &mut TcpStream, answer: &stream::Answer) -> io::Result<()> {
    let content = postcard::to_stdvec(answer).map_err(io::Error::other)?;
    let length = u16::try_from(content.len()).map_err(io::Error::other)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(&content);
    stream.write_all(&bytes).await
}

async fn read_answer(stream: &mut TcpStream) -> io::Result<stream::Answer> {
    let length = stream.read_u16().await?;
    if length > MAX_ANSWER_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut content = vec![0; usize::from(length)];
    stream.read_exact(&mut content).await?;
    postcard::from_bytes(&content).map_err(io::Error::other)
}
