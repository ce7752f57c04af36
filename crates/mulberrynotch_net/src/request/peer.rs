//! Requests between balancers.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use http::{
    Request,
    Response,
    request, //
};
use hyper::body::Incoming;
use tokio::time;

use super::{
    Service,
    body::{
        self,
        Body, //
    },
    connection,
    exchange::{
        self,
        Failure,
        Trace, //
    },
    header,
    keys,
    line,
    owner::{
        self,
        Attempted, //
    },
    reply,
    upload::Upload, //
};

/// Time past the deadline before an attempt for a peer is cancelled, for its response to be sent.
const GRACE: Duration = Duration::from_millis(100);

impl Service {
    /// Serves a request that another balancer sent.
    pub(super) async fn serve_peer_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let running = self.count();
        let (mut parts, body) = request.into_parts();
        let Some(order) = header::Order::decode(&parts.headers) else {
            return owner::to_peer(Attempted::NotRun(false));
        };
        header::strip_internal(&mut parts.headers);
        let mut answer = match order {
            header::Order::Attempt(order) => self.serve_attempt(&order, &parts, body).await,
            header::Order::Keyed(order) => self.serve_keyed(&order, parts, body).await,
        };
        answer.body_mut().guard(running);
        answer
    }

    async fn serve_attempt(
        self: &Arc<Self>,
        order: &header::Attempt,
        parts: &request::Parts,
        body: Incoming,
    ) -> Response<Body> {
        let trace = Trace::default();
        let upload = Upload::stream(body);
        let run = self.run_owned(order, parts, &upload, &trace);
        let attempted = match time::timeout(order.remaining + GRACE, run).await {
            Ok(attempted) => attempted,
            Err(_) if trace.may_have_run() => Attempted::Unknown,
            Err(_) => Attempted::NotRun(true),
        };
        owner::to_peer(attempted)
    }

    /// Runs an attempt at the peer that owns the target.
    pub(super) async fn run_at_peer(
        self: &Arc<Self>,
        owner: &str,
        order: &header::Attempt,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Attempted {
        let order = header::Order::Attempt(*order);
        match self.send_to_peer(owner, &order, parts, upload, trace).await {
            Ok(answer) => from_peer(answer),
            Err(Failure::NotRun) => Attempted::NotRun(false),
            Err(Failure::Unknown) => Attempted::Unknown,
        }
    }

    /// Sends a request to a peer; the response still holds the internal headers.
    pub(super) async fn send_to_peer(
        &self,
        peer: &str,
        order: &header::Order,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Result<Response<Body>, Failure> {
        let lease = self.peer(peer).await.map_err(|error| {
            line::not_connected(&parts.headers, &peer, &error);
            Failure::NotRun
        })?;
        let mut parts = parts.clone();
        order.encode(&mut parts.headers);
        let (answer, progress) = exchange::exchange(lease, &parts, upload, trace).await?;
        let expected = exchange::expected_length(&parts.method, &answer);
        let (mut head, stream) = answer.into_parts();
        header::strip_hop(&mut head.headers);
        let body = body::relay(stream, expected, progress, |_| {});
        Ok(Response::from_parts(head, body))
    }

    async fn peer(&self, name: &str) -> io::Result<connection::Lease> {
        let address = self.view().member(name).map(|member| member.peer);
        let address = address.ok_or(io::ErrorKind::NotFound)?;
        self.peers.get(self.now(), address).await
    }
}

fn from_peer(mut answer: Response<Body>) -> Attempted {
    let headers = answer.headers();
    let result = headers
        .get(header::RESULT)
        .and_then(|value| value.to_str().ok());
    let free = header::number(headers, &header::FREE);
    match result {
        Some("answered") => {
            header::strip_internal(answer.headers_mut());
            let free = free.and_then(|free| u32::try_from(free).ok());
            Attempted::Answer(Box::new(answer), free.unwrap_or(0))
        }
        Some("busy") => Attempted::NotRun(true),
        Some("not-run") => Attempted::NotRun(false),
        _ => Attempted::Unknown,
    }
}

/// Marks the response of the home of a key as final.
pub(super) fn final_answer(mut answer: Response<Body>) -> Response<Body> {
    let value = http::HeaderValue::from_static("final");
    answer.headers_mut().insert(header::RESULT, value);
    answer
}

/// Converts the response of the home of a key to the response for the caller.
pub(super) fn from_home(mut answer: Response<Body>) -> Response<Body> {
    match answer.headers().get(header::RESULT) {
        Some(result) if result == "final" => {
            answer.headers_mut().remove(header::RESULT);
            answer
        }
        Some(result) if result == "not-run" => {
            // The peer could not parse the command, so the state of the key is not known.
            reply::retry(keys::RETRY_AFTER)
        }
        _ => reply::unknown(),
    }
}
