//! HTTP/2 requests with slots, a cold start, load shedding, drain and cancellation.

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

/// Requests at a time above which a cold target fails, instead of shedding load.
const COLD_SLOTS: u32 = 1;

/// Header with the order id of a request.
const ORDER: &str = "order-id";

/// Header with the remaining time of a request, in milliseconds.
const DEADLINE: &str = "mulberrynotch-deadline-ms";

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
                connections.spawn(connection(shared.clone(), stream));
            }
        }
    });
    Ok(())
}

async fn connection(shared: Arc<Shared>, mut stream: TcpStream) {
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
                    requests.spawn(request_task(shared.clone(), request, respond));
                }
                Some(Err(_)) | None => return,
            },
            changed = behaviour.wait_for(|it| it.leaving), if !leaving => {
                if changed.is_err() {
                    return;
                }
                leaving = true;
                // Announces the end of the connection; requests in progress are finished.
                connection.graceful_shutdown();
            }
        }
    }
}

/// A slot in use. A request whose connection ends before it is done counts as cancelled.
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

/// Why a request does not run.
enum Refusal {
    /// All slots are in use.
    Busy,
    /// The target is cold and cannot handle this many.
    Collapse,
}

/// Takes a slot. A target that leaves refuses everything.
fn admit(shared: &Shared) -> Result<Slot<'_>, Refusal> {
    let cold = shared.cold();
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

async fn request_task(
    shared: Arc<Shared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let mut slot = match admit(&shared) {
        Ok(slot) => slot,
        Err(Refusal::Busy) => {
            shared.count(|counts| counts.shed += 1);
            // This reason proves that the request did not run.
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        }
        Err(Refusal::Collapse) => {
            shared.count(|counts| counts.collapsed += 1);
            respond.send_reset(Reason::INTERNAL_ERROR);
            return;
        }
    };
    let order = header(&request, ORDER);
    let has_deadline = request.headers().contains_key(DEADLINE);
    let run = shared.count(|counts| {
        counts.with_deadline += u64::from(has_deadline);
        let run = counts.orders.entry(order.clone()).or_default();
        *run += 1;
        *run
    });
    let work = work(&shared, request.into_body());
    slot.done = tokio::select! {
        () = work => true,
        _ = poll_fn(|context| respond.poll_reset(context)) => false,
    };
    let done = slot.done;
    drop(slot);
    if done && !shared.behaviour.borrow().silent {
        // A caller that went away needs no answer.
        let _ = finish(&shared, &mut respond, &order, run);
    }
}

fn header(request: &Request<RecvStream>, name: &str) -> String {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .into()
}

async fn work(shared: &Shared, mut body: RecvStream) {
    while let Some(Ok(data)) = body.data().await {
        if body.flow_control().release_capacity(data.len()).is_err() {
            break;
        }
    }
    time::sleep(Duration::from_millis(shared.behaviour().work_ms)).await;
}

fn finish(
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
