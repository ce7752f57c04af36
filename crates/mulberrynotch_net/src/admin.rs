//! HTTP endpoint for the state dump, metrics, health and route queries.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc, //
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration, //
};

use http::{
    Method,
    Request,
    Response,
    StatusCode, //
    header,
};
use http_body_util::Full;
use hyper::{
    body,
    server,
    service, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::TcpListener,
    sync::Semaphore, //
};

/// Connections served at a time; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 16;

/// Default path of the health check.
pub const HEALTH_PATH: &str = "/healthz";

/// Path prefix of route queries; the rest of the path describes a packet.
pub const ROUTE_PATH: &str = "/route/";

/// Time limit for a connection.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Largest request head.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Sources of the responses of the endpoint.
pub struct Content {
    /// Returns the state of the process as JSON without secrets.
    pub dump: Box<dyn Fn() -> serde_json::Value + Send + Sync>,
    /// Renders the metrics as Prometheus text.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Returns true while the process accepts new work.
    pub healthy: Box<dyn Fn() -> bool + Send + Sync>,
    /// Path of the health check that reports `healthy`.
    pub health_path: &'static str,
    /// Explains where the packet described below [`ROUTE_PATH`] goes; `None` when the process does
    /// not serve route queries.
    pub route: Option<Route>,
}

/// Explains where the described packet goes; the error says why the description is invalid.
pub type Route = Box<dyn Fn(&str) -> Result<serde_json::Value, String> + Send + Sync>;

impl Content {
    /// Creates the content of an endpoint that reports only whether the process is healthy.
    pub fn health_only(
        health_path: &'static str,
        healthy: Box<dyn Fn() -> bool + Send + Sync>,
    ) -> Self {
        Self {
            dump: Box::new(|| serde_json::Value::Null),
            metrics: Box::new(String::new),
            healthy,
            health_path,
            route: None,
        }
    }
}

/// Connection counts of the endpoint.
#[derive(Debug, Default)]
pub struct Connections {
    /// Open connections.
    pub open: AtomicUsize,
    /// Largest number of connections open at the same time since the start.
    pub peak: AtomicUsize,
}

/// The admin endpoint.
pub struct Server {
    listener: TcpListener,
    content: Arc<Content>,
    connections: Arc<Connections>,
}

impl Server {
    /// Binds the endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, content: Content) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            content: Arc::new(content),
            connections: Arc::default(),
        })
    }

    /// Returns the local address of the endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the operating system reports no address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the connection counts of the endpoint.
    pub fn connections(&self) -> Arc<Connections> {
        self.connections.clone()
    }

    /// Serves connections until the future is dropped.
    pub async fn run(self) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let content = self.content.clone();
            let connections = self.connections.clone();
            connections.record_open();
            tokio::spawn(async move {
                let service = service::service_fn(move |request| {
                    let response = respond(&request, &content);
                    async move { Ok::<_, Infallible>(response) }
                });
                let connection = server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(TIMEOUT)
                    .max_buf_size(MAX_HEAD_BYTES)
                    .keep_alive(false)
                    .serve_connection(TokioIo::new(stream), service);
                // hyper itself responds to malformed input with 400; other errors concern only the
                // client.
                let _ = tokio::time::timeout(TIMEOUT, connection).await;
                connections.open.fetch_sub(1, Ordering::Relaxed);
                drop(permit);
            });
        }
    }
}

impl Connections {
    fn record_open(&self) {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(open, Ordering::Relaxed);
    }
}

fn respond(request: &Request<body::Incoming>, content: &Content) -> Response<Full<bytes::Bytes>> {
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
    }
    match request.uri().path() {
        "/dump" => json(&(content.dump)()),
        "/metrics" => respond_with(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            (content.metrics)(), //
        ),
        path if path == content.health_path => health((content.healthy)()),
        path => match (path.strip_prefix(ROUTE_PATH), &content.route) {
            (Some(packet), Some(explain)) => route(explain(packet)),
            _ => text(
                StatusCode::NOT_FOUND,
                "unknown path; use /dump, /metrics, the health path or, with steer, /route/CLIENT/ADDRESS\n", //
            ),
        },
    }
}

fn route(result: Result<serde_json::Value, String>) -> Response<Full<bytes::Bytes>> {
    match result {
        Ok(explanation) => json(&explanation),
        Err(error) => respond_with(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n")),
    }
}

fn json(value: &serde_json::Value) -> Response<Full<bytes::Bytes>> {
    respond_with(StatusCode::OK, "application/json", format!("{value}\n"))
}

fn health(healthy: bool) -> Response<Full<bytes::Bytes>> {
    if healthy {
        text(StatusCode::OK, "ok\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "starting or draining\n")
    }
}

fn text(status: StatusCode, body: &'static str) -> Response<Full<bytes::Bytes>> {
    respond_with(status, "text/plain", body)
}

fn respond_with(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<Full<bytes::Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type), //
    );
    response
}
