//! State dump and metrics over HTTP.

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

/// Connections at a time; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 16;

/// Where the process's health is asked for by default.
pub const HEALTH_PATH: &str = "/healthz";

/// Path below which packets are described whose way is asked for.
pub const ROUTE_PATH: &str = "/route/";

/// Longest connection.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Largest request head, in bytes.
const MAX_HEAD: usize = 8 << 10;

/// What the endpoint serves.
pub struct Content {
    /// State of the process as JSON; holds no secret.
    pub dump: Box<dyn Fn() -> serde_json::Value + Send + Sync>,
    /// Metrics as Prometheus text.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// True while the process takes new work.
    pub healthy: Box<dyn Fn() -> bool + Send + Sync>,
    /// Path where `healthy` is asked for.
    pub health_path: &'static str,
    /// Explains where a packet goes that the rest of a path below [`ROUTE_PATH`] describes; the
    /// error says what is wrong with the path. A process without one does not serve it.
    pub route: Option<Route>,
}

/// Explains where a packet goes.
pub type Route = Box<dyn Fn(&str) -> Result<serde_json::Value, String> + Send + Sync>;

impl Content {
    /// Content of an endpoint that tells only whether the process is healthy.
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

/// Connections of the endpoint.
#[derive(Debug, Default)]
pub struct Connections {
    /// Connections now.
    pub open: AtomicUsize,
    /// Most connections at a time since the start.
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

    /// Address of the endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Connections of the endpoint.
    pub fn connections(&self) -> Arc<Connections> {
        self.connections.clone()
    }

    /// Serves until the task is dropped.
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
            connections.add();
            tokio::spawn(async move {
                let service = service::service_fn(move |request| {
                    let response = respond(&request, &content);
                    async move { Ok::<_, Infallible>(response) }
                });
                let connection = server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(TIMEOUT)
                    .max_buf_size(MAX_HEAD)
                    .keep_alive(false)
                    .serve_connection(TokioIo::new(stream), service);
                // hyper answers malformed input with 400 itself, and the outcome is the client's.
                let _ = tokio::time::timeout(TIMEOUT, connection).await;
                connections.open.fetch_sub(1, Ordering::Relaxed);
                drop(permit);
            });
        }
    }
}

impl Connections {
    fn add(&self) {
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
                "use /dump, /metrics, the health path, or /route/CLIENT/ADDRESS of steer\n", //
            ),
        },
    }
}

fn route(explained: Result<serde_json::Value, String>) -> Response<Full<bytes::Bytes>> {
    match explained {
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
