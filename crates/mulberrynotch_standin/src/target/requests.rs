//! HTTP/2 server with request slots, cold start, load shedding, drain and cancellation.

use std::{
    future::poll_fn,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use h2::{
    Reason,
    RecvStream,
    server::SendResponse, //
};
use http::{
    Request,
    Response, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time, //
};

use crate::{
    proxy,
    task::{
        Group,
        lock, //
    },
};

use super::Shared;

/// Concurrent requests of a cold target; it fails further ones instead of shedding them.
const COLD_SLOTS: u32 = 1;

/// Header with the order id of a request.
const ORDER_HEADER: &str = "order-id";

/// Header with the remaining time of a request, in milliseconds.
const DEADLINE_HEADER: &str = "mulberrynotch-deadline-ms";

pub(super) async fn start(
    tasks: &Group,
    shared: Arc<Shared>,
    address: SocketAddr,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tasks.spawn(async move {
        let connections = Group::default();
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve_connection(shared.clone(), stream));
            }
        }
    });
    Ok(())
}

async fn serve_connection(shared: Arc<Shared>, mut stream: TcpStream) {
    if proxy::starts_with_header(&stream).await.unwrap_or(false)
        && proxy::read_header(&mut stream).await.is_err()
    {
        return;
    }
    let _ = stream.set_nodelay(true);
    let Ok(mut connection) = h2::server::handshake(stream).await else {
        return;
    };
    shared.count(|counts| counts.connections += 1);
    let mut behaviour = shared.behaviour.subscribe();
    let mut leaving = false;
    let requests = Group::default();
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    requests.spawn(serve_request(shared.clone(), request, respond));
                }
                Some(Err(_)) | None => return,
            },
            changed = behaviour.wait_for(|it| it.leaving), if !leaving => {
                if changed.is_err() {
                    return;
                }
                leaving = true;
                // Sends GOAWAY; requests in progress are completed.
                connection.graceful_shutdown();
            }
        }
    }
}

/// An occupied request slot. A request whose slot is dropped before it is done counts as cancelled.
struct Slot<'a> {
    shared: &'a Shared,
    done: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *lock(&self.shared.running) -= 1;
        self.shared.count(|counts| {
            if self.done {
                counts.completed += 1;
            } else {
                counts.cancelled += 1;
            }
        });
    }
}

/// Reason why a request is not run.
enum Refusal {
    /// All slots are in use, or the target is leaving.
    Busy,
    /// The target is cold and already at its limit.
    Collapse,
}

/// Occupies a slot for a request. A target that is leaving refuses all requests.
fn admit(shared: &Shared) -> Result<Slot<'_>, Refusal> {
    let cold = shared.is_cold();
    let leaving = shared.behaviour.borrow().leaving;
    let mut running = lock(&shared.running);
    if cold && *running >= COLD_SLOTS {
        return Err(Refusal::Collapse);
    }
    if leaving || *running >= shared.config.slots {
        return Err(Refusal::Busy);
    }
    *running += 1;
    let peak = *running;
    drop(running);
    shared.count(|counts| counts.peak = counts.peak.max(peak));
    Ok(Slot {
        shared,
        done: false,
    })
}

async fn serve_request(
    shared: Arc<Shared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let mut slot = match admit(&shared) {
        Ok(slot) => slot,
        Err(Refusal::Busy) => {
            shared.count(|counts| counts.shed += 1);
            // REFUSED_STREAM guarantees to the client that the request did not run.
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        }
        Err(Refusal::Collapse) => {
            shared.count(|counts| counts.collapsed += 1);
            respond.send_reset(Reason::INTERNAL_ERROR);
            return;
        }
    };
    let order = header(&request, ORDER_HEADER);
    let has_deadline = request.headers().contains_key(DEADLINE_HEADER);
    let run = shared.count(|counts| {
        counts.with_deadline += u64::from(has_deadline);
        let run = counts.orders.entry(order.clone()).or_default();
        *run += 1;
        *run
    });
    let work = run_work(&shared, request.into_body());
    slot.done = tokio::select! {
        () = work => true,
        _ = poll_fn(|context| respond.poll_reset(context)) => false,
    };
    let done = slot.done;
    drop(slot);
    if done && !shared.behaviour.borrow().silent {
        // Sending fails when the caller has gone; that is no error here.
        let _ = respond_done(&shared, &mut respond, &order, run);
    }
}

fn header(request: &Request<RecvStream>, name: &str) -> String {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .into()
}

async fn run_work(shared: &Shared, mut body: RecvStream) {
    while let Some(Ok(data)) = body.data().await {
        if body.flow_control().release_capacity(data.len()).is_err() {
            break;
        }
    }
    time::sleep(Duration::from_millis(shared.behaviour().work_ms)).await;
}

fn respond_done(
    shared: &Shared,
    respond: &mut SendResponse<Bytes>,
    order: &str,
    run: u32,
) -> Result<(), h2::Error> {
    let body = serde_json::json!({ "instance": shared.instance(), "order": order, "run": run });
    let response = Response::builder().header("content-type", "application/json");
    let response = response.body(()).expect("constant headers are valid");
    let mut stream = respond.send_response(response, false)?;
    stream.send_data(Bytes::from(body.to_string()), true)
}
