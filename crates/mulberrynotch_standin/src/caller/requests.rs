//! HTTP requests with idempotency keys and resends, and a record of their outcomes.

use std::{
    collections::BTreeMap,
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    client::conn, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use tokio::{
    net::TcpSocket,
    time, //
};

use crate::task::{
    Group,
    lock, //
};

/// Number of failed attempts whose reasons are kept.
const MAX_FAILURES: usize = 20;

/// Time that a caller waits beyond the deadline of a request, for an answer that is in transit.
const GRACE: Duration = Duration::from_secs(1);

/// Configuration of a group of workers.
#[derive(Clone, Debug)]
pub struct Config {
    /// Prefix of the order ids, unique per group of workers.
    pub prefix: String,
    /// Address that the sockets are bound to.
    pub local: IpAddr,
    /// Service address.
    pub service: SocketAddr,
    /// True for HTTP/2, false for HTTP/1.1.
    pub http2: bool,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// True to send an idempotency key, a UUID of version 7.
    pub key: bool,
    /// Number of times that a request that was not answered is sent again, with the same key.
    pub resends: u32,
    /// Deadline of a request.
    pub deadline: Duration,
    /// Pause of a worker between two attempts and between two requests.
    pub pause: Duration,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Complete response that belongs to the request.
    Answered,
    /// Refused with the outcome `not-run`.
    NotRun,
    /// Answered with the outcome `unknown`: the request may have run.
    Unknown,
    /// No complete response.
    Failed,
    /// Another status than 200, such as the refusal of a malformed request.
    Refused,
    /// Response of another request or of another service.
    Wrong,
}

/// Results of the workers.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of attempts by outcome.
    pub attempts: BTreeMap<Outcome, u64>,
    /// Outcomes of the attempts of each finished order, in their order.
    pub orders: BTreeMap<String, Vec<Outcome>>,
    /// Duration of the slowest attempt.
    pub slowest: Duration,
    /// Order id and reason of the first attempts without a complete response.
    pub failures: Vec<String>,
}

impl Report {
    fn record(&mut self, outcome: Outcome, duration: Duration) {
        *self.attempts.entry(outcome).or_default() += 1;
        self.slowest = self.slowest.max(duration);
    }

    fn record_failure(&mut self, order: &str, reason: &str) {
        if self.failures.len() < MAX_FAILURES {
            self.failures.push(format!("{order}: {reason}"));
        }
    }
}

/// Handle of running workers, which stop when it is dropped.
pub struct Workers {
    report: Arc<Mutex<Report>>,
    _tasks: Group,
}

impl Workers {
    /// Starts `count` workers; each sends one request at a time.
    pub fn start(config: &Config, count: usize) -> Self {
        let workers = Self {
            report: Arc::default(),
            _tasks: Group::default(),
        };
        for number in 0..count {
            let report = workers.report.clone();
            let mut worker = Worker {
                config: config.clone(),
                idempotency_key: String::new(),
                sender: None,
            };
            workers._tasks.spawn(async move {
                for sequence in 0u64.. {
                    let order = format!("{}-{number}-{sequence}", worker.config.prefix);
                    let outcomes = worker.send_order(&order, &report).await;
                    lock(&report).orders.insert(order, outcomes);
                    time::sleep(worker.config.pause).await;
                }
            });
        }
        workers
    }

    /// Returns the results of the workers.
    pub fn report(&self) -> Report {
        lock(&self.report).clone()
    }
}

enum Sender {
    Http1(conn::http1::SendRequest<Full<Bytes>>),
    Http2(conn::http2::SendRequest<Full<Bytes>>),
}

impl Sender {
    /// Sends a request. The error contains the request when the connection had ended before.
    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Unsent> {
        let ready = match self {
            Self::Http1(sender) => sender.ready().await,
            Self::Http2(sender) => sender.ready().await,
        };
        if let Err(error) = ready {
            return Err(Unsent(error, Some(request)));
        }
        let sent = match self {
            Self::Http1(sender) => sender.try_send_request(request).await,
            Self::Http2(sender) => sender.try_send_request(request).await,
        };
        sent.map_err(|mut error| {
            let request = error.take_message();
            Unsent(error.into_error(), request)
        })
    }
}

/// Error of a send, with the request if no part of it was sent.
struct Unsent(hyper::Error, Option<Request<Full<Bytes>>>);

struct Worker {
    config: Config,
    /// Idempotency key of the current order.
    idempotency_key: String,
    sender: Option<(Sender, Group)>,
}

impl Worker {
    /// Sends one order until it is answered, refused or out of resends; returns the outcomes.
    async fn send_order(&mut self, order: &str, report: &Mutex<Report>) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        self.idempotency_key = idempotency_key(order);
        loop {
            let start = Instant::now();
            let limit = self.config.deadline + GRACE;
            let outcome = match time::timeout(limit, self.attempt(order)).await {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(error)) => self.record_failure(order, report, &format!("{error:?}")),
                Err(_) => self.record_failure(order, report, "no answer after its deadline"),
            };
            outcomes.push(outcome);
            lock(report).record(outcome, start.elapsed());
            let is_retryable = matches!(
                outcome,
                Outcome::NotRun | Outcome::Unknown | Outcome::Failed
            );
            let attempts = u32::try_from(outcomes.len()).unwrap_or(u32::MAX);
            if !is_retryable || attempts > self.config.resends {
                return outcomes;
            }
            time::sleep(self.config.pause).await;
        }
    }

    fn record_failure(&mut self, order: &str, report: &Mutex<Report>, reason: &str) -> Outcome {
        self.sender = None;
        lock(report).record_failure(order, reason);
        Outcome::Failed
    }

    async fn attempt(&mut self, order: &str) -> io::Result<Outcome> {
        let request = self.build_request(order)?;
        let response = self.send(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let outcome = head.headers.get("mulberrynotch-outcome");
        Ok(match outcome.map(http::HeaderValue::as_bytes) {
            Some(b"not-run") => Outcome::NotRun,
            Some(b"unknown") => Outcome::Unknown,
            _ if head.status != StatusCode::OK => Outcome::Refused,
            _ => check_answer(&body, order),
        })
    }

    /// Sends a request on the open connection, or on a new one when that one has ended.
    async fn send(&mut self, mut request: Request<Full<Bytes>>) -> io::Result<Response<Incoming>> {
        if let Some((sender, _)) = &mut self.sender {
            match sender.send(request).await {
                Ok(response) => return Ok(response),
                Err(Unsent(_, Some(unsent))) => request = unsent,
                Err(Unsent(error, None)) => return Err(io::Error::other(error)),
            }
        }
        let (sender, _) = self.sender.insert(connect(&self.config).await?);
        let sent = sender.send(request).await;
        sent.map_err(|Unsent(error, _)| io::Error::other(error))
    }

    fn build_request(&self, order: &str) -> io::Result<Request<Full<Bytes>>> {
        let config = &self.config;
        let mut request = Request::builder()
            .method(config.method.clone())
            .uri(if config.http2 {
                format!("http://{}{}", config.service, config.path)
            } else {
                config.path.clone()
            })
            .header("order-id", order)
            .header(
                "mulberrynotch-deadline-ms",
                config.deadline.as_millis().to_string(),
            );
        if !config.http2 {
            request = request.header(http::header::HOST, config.service.to_string());
        }
        if config.key {
            request = request.header("idempotency-key", &self.idempotency_key);
        }
        let body = if config.method == Method::POST {
            Full::from(order.to_owned())
        } else {
            Full::default()
        };
        request.body(body).map_err(io::Error::other)
    }
}

/// Returns a version 7 UUID of the current time and a hash of the order id.
fn idempotency_key(order: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis() & 0xffff_ffff_ffff;
    let mut hasher = DefaultHasher::new();
    order.hash(&mut hasher);
    let hash = hasher.finish();
    format!(
        "{:08x}-{:04x}-7{:03x}-8{:03x}-{:012x}",
        now >> 16,
        now & 0xffff,
        hash >> 52,
        (hash >> 40) & 0xfff,
        hash & 0xff_ffff_ffff
    )
}

/// Checks that an answer belongs to the order. Order ids and names of instances start with the name
/// of their service.
fn check_answer(body: &[u8], order: &str) -> Outcome {
    let answer: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let is_same_order = answer["order"] == *order;
    let service = order.split('-').next().unwrap_or("");
    let instance = answer["instance"].as_str().unwrap_or("");
    if is_same_order && instance.split('-').next() == Some(service) {
        Outcome::Answered
    } else {
        Outcome::Wrong
    }
}

async fn connect(config: &Config) -> io::Result<(Sender, Group)> {
    let socket = match config.local {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind((config.local, 0).into())?;
    let stream = socket.connect(config.service).await?;
    stream.set_nodelay(true)?;
    let (io, tasks) = (TokioIo::new(stream), Group::default());
    let sender = if config.http2 {
        let (sender, connection) = conn::http2::handshake(TokioExecutor::new(), io)
            .await
            .map_err(io::Error::other)?;
        tasks.spawn(async move { drop(connection.await) });
        Sender::Http2(sender)
    } else {
        let (sender, connection) = conn::http1::handshake(io).await.map_err(io::Error::other)?;
        tasks.spawn(async move { drop(connection.await) });
        Sender::Http1(sender)
    };
    Ok((sender, tasks))
}
