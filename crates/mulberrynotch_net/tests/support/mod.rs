//! Test fixture: request services, targets and callers on loopback.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        Weak,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use h2::{
    RecvStream,
    client,
    server::{
        self,
        SendResponse, //
    }, //
};
use http::{
    Request,
    Response, //
};
use mulberrynotch_net::{
    preface,
    request::{
        Config,
        Service, //
    }, //
};
use mulberrynotch_policy::view;
use mulberrynotch_register::model;
use mulberrynotch_wire::{
    control,
    envelope,
    stream::Preface, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt,
        DuplexStream, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    time, //
};

/// Time limit for a condition, far above the time that any condition takes.
pub(crate) const BOUND: Duration = Duration::from_secs(20);

const SEED: u64 = 7;

/// Age of each process. It exceeds all times for which a new owner waits for the previous one.
const AGE: Duration = Duration::from_secs(600);

/// Services by name, for the delivery of key messages between them.
type Fleet = Arc<Mutex<HashMap<Arc<str>, Weak<Service>>>>;

pub(crate) fn service_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8080))
}

pub(crate) fn caller_address() -> SocketAddr {
    SocketAddr::from(([127, 9, 9, 9], 4000))
}

pub(crate) async fn within_bound<T>(description: &str, future: impl Future<Output = T>) -> T {
    let result = time::timeout(BOUND, future).await;
    result.unwrap_or_else(|_| panic!("{description} took longer than {BOUND:?}"))
}

pub(crate) async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    within_bound(description, async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

pub(crate) fn keyring() -> envelope::Keyring {
    envelope::Keyring::new([envelope::Secret {
        id: 1,
        key: [7; 32],
    }])
}

/// A request at a target, with its number in the order of arrival.
pub(crate) struct Call {
    pub(crate) number: usize,
    pub(crate) request: Request<RecvStream>,
    pub(crate) respond: SendResponse<Bytes>,
}

impl Call {
    pub(crate) fn answer(mut self, status: u16, body: impl Into<Bytes>) {
        let response = Response::builder().status(status).body(()).unwrap();
        let mut stream = self.respond.send_response(response, false).unwrap();
        stream.send_data(body.into(), true).unwrap();
    }

    pub(crate) fn reset(mut self, reason: h2::Reason) {
        self.respond.send_reset(reason);
    }
}

/// Starts a target that passes each request to `handler` and counts all requests in `calls`.
pub(crate) async fn target<F, R>(calls: Arc<AtomicUsize>, handler: F) -> SocketAddr
where
    F: Fn(Call) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(connection(stream, calls.clone(), handler.clone()));
        }
    });
    address
}

async fn connection<F, R>(stream: TcpStream, calls: Arc<AtomicUsize>, handler: F)
where
    F: Fn(Call) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let Ok(mut connection) = server::handshake(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let number = calls.fetch_add(1, Ordering::SeqCst);
        let call = Call {
            number,
            request,
            respond,
        };
        tokio::spawn(handler(call));
    }
}

/// Returns a register with one service whose targets are in zone `z`, and an empty zone `y`.
pub(crate) fn register(targets: &[SocketAddr], rules: &str) -> Arc<model::Register> {
    let targets: Vec<String> = targets
        .iter()
        .enumerate()
        .map(|(index, address)| {
            format!(
                r#"{{"name": "t{index}", "zone": "z", "http": "{address}", "slots": 2, "connections": 100}}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{"revision": 1, "zones": [{{"name": "y"}}, {{"name": "z"}}],
            "services": [{{"name": "s", "request_deadline_ms": 10000,
                "addresses": [{{"address": "{}", "protocol": "http"}}],
                "targets": [{}]}}],
            "rules": [{rules}]}}"#,
        service_address(),
        targets.join(",")
    );
    Arc::new(serde_json::from_str(&text).unwrap())
}

pub(crate) fn member(name: &str, zone: &str, peer: SocketAddr) -> control::Member {
    control::Member {
        name: Arc::from(name),
        zone: Arc::from(zone),
        peer,
        incarnation: 1,
        state: control::State::Alive,
    }
}

fn start(
    fleet: &Fleet,
    me: &control::Member,
    register: Arc<model::Register>,
    members: Vec<control::Member>,
) -> Arc<Service> {
    println!("seed {SEED}");
    let started = Instant::now();
    let services = fleet.clone();
    let name = me.name.clone();
    let config = Config {
        me: me.name.clone(),
        clock: Arc::new(move || AGE + started.elapsed()),
        keyring: keyring(),
        send: Arc::new(move |to, message| {
            let service = services.lock().unwrap().get(&to).and_then(Weak::upgrade);
            if let Some(service) = service {
                service.receive(&name, message);
            }
        }),
        max_requests: 64,
        seed: SEED,
    };
    let view = Arc::new(view::View::new(me, register, members, true));
    let service = Service::new(config, view);
    let route = Arc::downgrade(&service);
    fleet.lock().unwrap().insert(me.name.clone(), route);
    let weak_service = Arc::downgrade(&service);
    tokio::spawn(async move {
        while let Some(service) = weak_service.upgrade() {
            service.tick();
            drop(service);
            time::sleep(Duration::from_millis(100)).await;
        }
    });
    service
}

/// Starts one service that owns all targets.
pub(crate) fn alone(register: Arc<model::Register>) -> Arc<Service> {
    let me = member("a", "z", SocketAddr::from(([127, 0, 0, 1], 9)));
    start(&Fleet::default(), &me, register, Vec::new())
}

/// Starts a service in the empty zone that cannot reach the owner of the targets: the owner refuses
/// connections or, without `peers`, is not in its view.
pub(crate) fn cut_off(register: Arc<model::Register>, peers: bool) -> Arc<Service> {
    let refusing = SocketAddr::from(([127, 0, 0, 1], 9));
    let members = peers.then(|| member("b", "z", refusing));
    let me = member("a", "y", refusing);
    start(&Fleet::default(), &me, register, Vec::from_iter(members))
}

/// Starts a service in the empty zone, and the service that owns all targets.
pub(crate) async fn pair(register: Arc<model::Register>) -> (Arc<Service>, Arc<Service>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = member("a", "y", SocketAddr::from(([127, 0, 0, 1], 9)));
    let owner = member("b", "z", listener.local_addr().unwrap());
    let fleet = Fleet::default();
    let members = vec![entry.clone(), owner.clone()];
    let owning = start(&fleet, &owner, register.clone(), members.clone());
    let serving = owning.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let serving = serving.clone();
            tokio::spawn(async move {
                let (sender, preface) = preface::read(&mut stream, &keyring()).await.unwrap();
                assert_eq!(
                    preface,
                    Preface::Requests {
                        sender: sender.clone()
                    }
                );
                serving.serve_peer(stream, sender).await;
            });
        }
    });
    (start(&fleet, &entry, register, members), owning)
}

/// Opens a connection; returns the caller's end and a flag that is set when the service closes it.
pub(crate) fn connect(service: &Arc<Service>) -> (DuplexStream, watch::Receiver<bool>) {
    let (near, far) = tokio::io::duplex(16 * 1_024);
    let (closed, ended) = watch::channel(false);
    let serving = service.clone();
    tokio::spawn(async move {
        serving
            .serve_caller(far, caller_address(), service_address())
            .await;
        closed.send_replace(true);
    });
    (near, ended)
}

/// Opens an HTTP/2 connection; returns its sender and a flag that is set when the service closes it.
pub(crate) async fn caller(
    service: &Arc<Service>,
) -> (client::SendRequest<Bytes>, watch::Receiver<bool>) {
    let (stream, ended) = connect(service);
    let (sender, connection) = client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    (sender, ended)
}

pub(crate) fn request(method: &str, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://service.example{path}"))
}

/// A response; `body` is `None` when it was not delivered completely.
pub(crate) struct Answer {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Option<Bytes>,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }
}

pub(crate) async fn send(
    sender: &client::SendRequest<Bytes>,
    request: http::request::Builder,
    body: impl Into<Bytes>,
) -> Answer {
    within_bound("a response", async {
        let mut sender = sender.clone().ready().await.unwrap();
        let (response, mut stream) = sender
            .send_request(request.body(()).unwrap(), false)
            .unwrap();
        stream.send_data(body.into(), true).unwrap();
        let (head, mut stream) = response.await.unwrap().into_parts();
        let mut body = Vec::new();
        while let Some(data) = stream.data().await {
            let Ok(data) = data else {
                return Answer { head, body: None };
            };
            let _ = stream.flow_control().release_capacity(data.len());
            body.extend_from_slice(&data);
        }
        Answer {
            head,
            body: Some(body.into()),
        }
    })
    .await
}

/// Forwards connections to a target. `stop_forwarding` makes the open connections unresponsive
/// without closing them.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) connections: Arc<AtomicUsize>,
    open_connections: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Link {
    pub(crate) async fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Self {
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
            open_connections: Arc::default(),
        };
        let (connections, open_connections) =
            (link.connections.clone(), link.open_connections.clone());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                let stopped = Arc::new(AtomicBool::new(false));
                open_connections.lock().unwrap().push(stopped.clone());
                let far = TcpStream::connect(target).await.unwrap();
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(copy(near_read, far_write, stopped.clone()));
                tokio::spawn(copy(far_read, near_write, stopped));
            }
        });
        link
    }

    pub(crate) fn stop_forwarding(&self) {
        for stopped in self.open_connections.lock().unwrap().drain(..) {
            stopped.store(true, Ordering::SeqCst);
        }
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    stopped: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 4_096];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 && !stopped.load(Ordering::SeqCst) {
            break;
        }
        if count == 0 {
            // The other side of an unresponsive connection is not notified of the close.
            std::future::pending::<()>().await;
        }
        if !stopped.load(Ordering::SeqCst) && to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}
