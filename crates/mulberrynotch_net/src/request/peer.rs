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
    log,
    owner::{
        self,
        Attempted, //
    },
    reply,
    upload::Upload, //
};

/// Time after its deadline until an attempt for a peer is cancelled, so that its response can still
/// be sent.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(100);

impl Service {
    /// Serves a request that another balancer sent.
    pub(super) async fn serve_peer_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let running = self.count_running();
        let (mut parts, body) = request.into_parts();
        let Some(command) = header::Command::decode(&parts.headers) else {
            return owner::to_peer(Attempted::NotRun(false));
        };
        header::strip_internal(&mut parts.headers);
        let mut response = match command {
            header::Command::Attempt(command) => self.serve_attempt(&command, &parts, body).await,
            header::Command::Keyed(command) => self.serve_keyed(&command, parts, body).await,
        };
        response.body_mut().guard(running);
        response
    }

    async fn serve_attempt(
        self: &Arc<Self>,
        command: &header::Attempt,
        parts: &request::Parts,
        body: Incoming,
    ) -> Response<Body> {
        let trace = Trace::default();
        let upload = Upload::stream(body);
        let run = self.run_owned(command, parts, &upload, &trace);
        let attempted = match time::timeout(command.remaining + RESPONSE_GRACE_PERIOD, run).await {
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
        command: &header::Attempt,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Attempted {
        let command = header::Command::Attempt(*command);
        match self
            .send_to_peer(owner, &command, parts, upload, trace)
            .await
        {
            Ok(response) => from_peer(response),
            Err(Failure::NotRun) => Attempted::NotRun(false),
            Err(Failure::Unknown) => Attempted::Unknown,
        }
    }

    /// Sends a request to a peer; the response still holds the internal headers.
    pub(super) async fn send_to_peer(
        &self,
        peer: &str,
        command: &header::Command,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Result<Response<Body>, Failure> {
        let lease = self.peer_lease(peer).await.map_err(|error| {
            log::not_connected(&parts.headers, &peer, &error);
            Failure::NotRun
        })?;
        let mut parts = parts.clone();
        command.encode(&mut parts.headers);
        let (response, guard) = exchange::exchange(lease, &parts, upload, trace).await?;
        let expected = exchange::expected_length(&parts.method, &response);
        let (mut head, stream) = response.into_parts();
        header::strip_hop(&mut head.headers);
        let body = body::relay(stream, expected, guard, |_| {});
        Ok(Response::from_parts(head, body))
    }

    async fn peer_lease(&self, name: &str) -> io::Result<connection::Lease> {
        let address = self.view().member(name).map(|member| member.peer);
        let address = address.ok_or(io::ErrorKind::NotFound)?;
        self.peers.get(self.now(), address).await
    }
}

fn from_peer(mut response: Response<Body>) -> Attempted {
    let headers = response.headers();
    let result = headers
        .get(header::RESULT)
        .and_then(|value| value.to_str().ok());
    let free = header::number(headers, &header::FREE);
    match result {
        Some("answered") => {
            header::strip_internal(response.headers_mut());
            let free = free.and_then(|free| u32::try_from(free).ok());
            Attempted::Response(Box::new(response), free.unwrap_or(0))
        }
        Some("busy") => Attempted::NotRun(true),
        Some("not-run") => Attempted::NotRun(false),
        _ => Attempted::Unknown,
    }
}

/// Marks the response of the home of a key as final.
pub(super) fn mark_final(mut response: Response<Body>) -> Response<Body> {
    let value = http::HeaderValue::from_static("final");
    response.headers_mut().insert(header::RESULT, value);
    response
}

/// Converts the response of the home of a key to the response for the caller.
pub(super) fn from_home(mut response: Response<Body>) -> Response<Body> {
    match response.headers().get(header::RESULT) {
        Some(result) if result == "final" => {
            response.headers_mut().remove(header::RESULT);
            response
        }
        Some(result) if result == "not-run" => {
            // The peer could not parse the command, so the state of the key is not known.
            reply::retry_same_key(keys::RETRY_AFTER)
        }
        _ => reply::unknown(),
    }
}
