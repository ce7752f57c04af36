//! Handling of requests at the ingress balancer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use http::{
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    Version,
    header as standard,
    request,
    uri, //
};
use hyper::body::Incoming;
use mulberrynotch_policy::request as policy;
use mulberrynotch_register::id;
use tokio::time;

use super::{
    Service,
    body::Body,
    counter::Counter,
    header,
    keys::RETRY_AFTER,
    log,
    reply,
    rule,
    upload::{
        self,
        Upload, //
    }, //
};

impl Service {
    /// Serves a request of a caller.
    pub(super) async fn serve_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        caller: SocketAddr,
        service: id::Service,
    ) -> Response<Body> {
        let running = self.count_running();
        let (mut parts, body) = request.into_parts();
        let keyed = parts.headers.contains_key(header::KEY);
        let id = log::ensure_id(&self.config.me, &mut parts.headers);
        let view = self.view();
        let Some(entry) = view.service(service) else {
            return reply::unavailable(RETRY_AFTER, keyed);
        };
        let end = log::End {
            id: &id,
            service: &entry.name,
            keyed,
            arrived: self.now(),
            revision: view.register.revision,
            confirmed: view.confirmed,
        };
        let class = rule::classify(&view.register, entry, &parts.method, parts.uri.path());
        let counter = Counter::new(entry.name.clone(), class.class);
        let remaining = header::deadline(&parts.headers)
            .unwrap_or(Duration::from_millis(entry.request_deadline_ms.into()));
        let mut response = match prepare(&mut parts, caller) {
            Err(status) => reply::rejected(status, keyed),
            Ok(()) => {
                let request = policy::Request {
                    service,
                    class: class.class,
                    idempotent: class.idempotent,
                    deadline: self.now() + remaining,
                };
                self.handle(request, parts, body).await
            }
        };
        end.log(self.now(), &response);
        counter.finish(&response);
        response.headers_mut().remove(header::RESULT);
        response.headers_mut().remove(header::FREE);
        log::set_id(response.headers_mut(), id);
        response.body_mut().guard(running);
        response
    }

    /// Returns the time left until `deadline`.
    pub(super) fn remaining(&self, deadline: Duration) -> Duration {
        deadline.saturating_sub(self.now())
    }

    async fn handle(
        self: &Arc<Self>,
        request: policy::Request,
        parts: request::Parts,
        body: Incoming,
    ) -> Response<Body> {
        let keyed = parts.headers.contains_key(header::KEY);
        let Some(admitted) = self.begin(request.clone()) else {
            return reply::unavailable(RETRY_AFTER, keyed);
        };
        let limit = if keyed {
            upload::MAX_KEYED_BYTES
        } else {
            upload::MAX_BUFFERED_BYTES
        };
        let read = Upload::read(body, limit);
        let upload = match time::timeout(self.remaining(request.deadline), read).await {
            Err(_) => return reply::rejected(StatusCode::GATEWAY_TIMEOUT, keyed),
            Ok(Err(_)) => return reply::rejected(StatusCode::BAD_REQUEST, keyed),
            Ok(Ok(upload)) => upload,
        };
        match (keyed, upload) {
            (false, upload) => self.run(admitted, &parts, upload).await.0,
            (true, Upload::Buffered(data, _)) => self.run_keyed(admitted, parts, data, 0).await,
            (true, _) => reply::rejected(StatusCode::PAYLOAD_TOO_LARGE, true),
        }
    }
}

/// Validates a caller's request and rewrites its head for HTTP/2 to a target.
///
/// # Errors
///
/// Fails with the status for the caller when the request cannot be forwarded.
fn prepare(parts: &mut request::Parts, caller: SocketAddr) -> Result<(), StatusCode> {
    // Without a length, the end of an HTTP/1.0 response cannot be told from an aborted one.
    if parts.version < Version::HTTP_11 {
        return Err(StatusCode::HTTP_VERSION_NOT_SUPPORTED);
    }
    if parts.method == Method::CONNECT {
        return Err(StatusCode::NOT_IMPLEMENTED);
    }
    header::strip_internal(&mut parts.headers);
    header::strip_hop(&mut parts.headers);
    // `hyper` sends `100 Continue` to the caller itself.
    parts.headers.remove(standard::EXPECT);
    let host = parts.headers.remove(standard::HOST);
    let host = host.and_then(|host| host.to_str().ok()?.parse::<uri::Authority>().ok());
    let authority = parts.uri.authority().cloned().or(host);
    let path = match parts.uri.path_and_query() {
        Some(path) => path.clone(),
        None => uri::PathAndQuery::from_static("/"),
    };
    parts.uri = Uri::builder()
        .scheme(uri::Scheme::HTTP)
        .authority(authority.ok_or(StatusCode::BAD_REQUEST)?)
        .path_and_query(path)
        .build()
        .map_err(|_| StatusCode::BAD_REQUEST)?;
    let address = HeaderValue::from_str(&caller.ip().to_string());
    parts.headers.insert(
        header::FORWARDED_FOR,
        address.map_err(|_| StatusCode::BAD_REQUEST)?,
    );
    Ok(())
}
