//! The platform's configuration service: serves the register and the list of VMs.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use tokio::{
    net::TcpListener,
    sync::watch,
    time, //
};

use crate::{
    http as web,
    task::{
        Group,
        lock, //
    },
};

/// Upper bound of the wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Peer address.
    pub peer: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Answers every call with 503.
    pub down: bool,
    /// Number of publications by which the served register lags behind the latest one.
    pub behind: usize,
    /// Delay of every answer, in milliseconds.
    pub delay_ms: u64,
}

/// Numbers of calls that the platform received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Number of reads of the register.
    pub reads: u64,
    /// Number of watches of the register.
    pub watches: u64,
    /// Number of reads of the list of VMs.
    pub lists: u64,
}

#[derive(Default)]
struct State {
    published: Vec<String>,
    vms: Vec<Vm>,
    behaviour: Behaviour,
    counts: Counts,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// Handle of a running platform.
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: Group,
}

impl Platform {
    /// Starts a platform at `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let tasks = Group::default();
        let for_server = shared.clone();
        tasks.spawn(web::serve(listener, move |request| {
            let shared = for_server.clone();
            async move { handle(&shared, request).await }
        }));
        Ok(Self {
            address,
            shared,
            _tasks: tasks,
        })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a register as text, without validation.
    pub fn publish(&self, register: impl Into<String>) {
        self.shared
            .change(|state| state.published.push(register.into()));
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.change(|state| state.vms = vms);
    }

    /// Replaces the faults of the platform.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.change(|state| state.behaviour = behaviour);
    }

    /// Returns the numbers of calls received.
    pub fn counts(&self) -> Counts {
        lock(&self.shared.state).counts
    }
}

impl Shared {
    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.state));
        self.changed.send_modify(|version| *version += 1);
    }

    fn count(&self, count: impl FnOnce(&mut Counts)) -> Behaviour {
        let mut state = lock(&self.state);
        count(&mut state.counts);
        state.behaviour.clone()
    }

    /// Returns the register that is currently served.
    fn served_register(&self) -> Option<String> {
        let state = lock(&self.state);
        let newest = state.published.len().checked_sub(1)?;
        let served = newest.saturating_sub(state.behaviour.behind);
        state.published.get(served).cloned()
    }
}

async fn handle(shared: &Shared, request: Request<Bytes>) -> web::Answer {
    let query = request.uri().query().unwrap_or("").to_owned();
    let above = parameter(&query, "above");
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/register") => {
            let behaviour = shared.count(|counts| match above {
                Some(_) => counts.watches += 1,
                None => counts.reads += 1,
            });
            if let Some(refusal) = delay_or_refuse(&behaviour).await {
                return refusal;
            }
            let wait = parameter(&query, "wait_ms").unwrap_or(0);
            watch_register(shared, above, Duration::from_millis(wait).min(MAX_WAIT)).await
        }
        (&Method::GET, "/v1/vms") => {
            let behaviour = shared.count(|counts| counts.lists += 1);
            match delay_or_refuse(&behaviour).await {
                Some(refusal) => refusal,
                None => web::json(&lock(&shared.state).vms),
            }
        }
        (&Method::PUT, "/control/register") => {
            let text = String::from_utf8_lossy(request.body()).into_owned();
            shared.change(|state| state.published.push(text));
            web::status(StatusCode::NO_CONTENT)
        }
        (&Method::PUT, "/control/vms") => web::apply(request.body(), |vms| {
            shared.change(|state| state.vms = vms);
        }),
        (&Method::PUT, "/control/behaviour") => web::apply(request.body(), |behaviour| {
            shared.change(|state| state.behaviour = behaviour);
        }),
        (&Method::GET, "/control/counts") => web::json(&lock(&shared.state).counts),
        _ => web::status(StatusCode::NOT_FOUND),
    }
}

async fn delay_or_refuse(behaviour: &Behaviour) -> Option<web::Answer> {
    time::sleep(Duration::from_millis(behaviour.delay_ms)).await;
    behaviour
        .down
        .then(|| web::status(StatusCode::SERVICE_UNAVAILABLE))
}

/// Returns the register once its revision is above `above`, or 304 after `wait`.
async fn watch_register(shared: &Shared, above: Option<u64>, wait: Duration) -> web::Answer {
    let mut changed = shared.changed.subscribe();
    let deadline = time::Instant::now() + wait;
    loop {
        changed.mark_unchanged();
        if lock(&shared.state).behaviour.down {
            return web::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match shared.served_register() {
            Some(text) if above.is_none_or(|above| revision(&text) > above) => {
                return Response::new(Full::from(text));
            }
            None if above.is_none() => return web::status(StatusCode::NOT_FOUND),
            _ => {}
        }
        if time::timeout_at(deadline, changed.changed()).await.is_err() {
            return unchanged(shared.served_register().as_deref());
        }
    }
}

/// Returns a 304 response that shows which revision the platform has.
fn unchanged(served: Option<&str>) -> web::Answer {
    let mut answer = web::status(StatusCode::NOT_MODIFIED);
    if let Some(text) = served {
        let headers = answer.headers_mut();
        headers.insert("register-revision", revision(text).into());
    }
    answer
}

/// Returns the revision of a register. Content without one counts as newest, so that watches return
/// malformed registers too.
fn revision(text: &str) -> u64 {
    let value: Result<serde_json::Value, _> = serde_json::from_str(text);
    value
        .ok()
        .and_then(|value| value.get("revision")?.as_u64())
        .unwrap_or(u64::MAX)
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    web::parameter(query, name)?.parse().ok()
}
