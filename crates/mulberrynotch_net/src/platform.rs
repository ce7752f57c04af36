//! Read-only client of the configuration service.

use std::{
    net::SocketAddr,
    sync::{
        Arc, //
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use mulberrynotch_policy::control;
use mulberrynotch_timer::service::Clock;
use mulberrynotch_wire::control as membership;

use crate::{
    document,
    event,
    http, //
};

/// Header of a response without a register, with the revision of the register that the platform has.
const REVISION_HEADER: &str = "register-revision";

/// Time limit for a response, in addition to the wait of a watch.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Largest response; the platform stores values of up to 1 MB.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

static PLATFORM_FAILED: event::Limiter = event::Limiter::new();

/// Entry of the platform's list of VMs.
#[derive(Clone, Debug, serde::Deserialize)]
struct Vm {
    name: Arc<str>,
    zone: Arc<str>,
    peer: SocketAddr,
    state: VmState,
}

#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
enum VmState {
    Live,
    Leaving,
}

/// Read-only client of the configuration service.
pub struct Client {
    address: SocketAddr,
    clock: Clock,
    calls: AtomicU64,
}

impl Client {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr, clock: Clock) -> Self {
        Self {
            address,
            clock,
            calls: AtomicU64::new(0),
        }
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads the register.
    pub async fn register(&self) -> control::Response {
        self.read_register("/v1/register", TIMEOUT).await
    }

    /// Waits for a register with a revision higher than `above`.
    pub async fn watch(&self, above: u64) -> control::Response {
        let wait_ms = control::WATCH_WAIT.as_millis();
        let path = format!("/v1/register?above={above}&wait_ms={wait_ms}");
        self.read_register(&path, control::WATCH_WAIT + TIMEOUT)
            .await
    }

    /// Reads the list of VMs.
    pub async fn members(&self) -> control::Response {
        let Some(response) = self.call("/v1/vms", TIMEOUT).await else {
            return control::Response::MembersFailed;
        };
        match serde_json::from_slice::<Vec<Vm>>(&response.body) {
            Ok(vms) => control::Response::Members(vms.into_iter().map(member).collect()),
            Err(error) => {
                self.log_failure("/v1/vms", &error);
                control::Response::MembersFailed
            }
        }
    }

    async fn read_register(&self, path: &str, timeout: Duration) -> control::Response {
        match self.call(path, timeout).await {
            None => control::Response::RegisterFailed,
            Some(response) if response.status == ::http::StatusCode::NOT_MODIFIED => {
                control::Response::Unchanged {
                    published: published(&response.headers),
                }
            }
            Some(response) => parse(&response.body),
        }
    }

    async fn call(&self, path: &str, timeout: Duration) -> Option<http::Response> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("mulberrynotch_platform_calls_total").increment(1);
        let response = match http::get(self.address, path, MAX_RESPONSE_BYTES, timeout).await {
            Ok(response) => response,
            Err(error) => {
                self.log_failure(path, &error);
                return None;
            }
        };
        let status = response.status;
        if status.is_success() || status == ::http::StatusCode::NOT_MODIFIED {
            return Some(response);
        }
        self.log_failure(path, &status);
        None
    }

    fn log_failure(&self, path: &str, error: &dyn std::fmt::Display) {
        metrics::counter!("mulberrynotch_platform_failures_total").increment(1);
        let fields: [event::Field<'_>; 2] = [("path", &path), ("error", error)];
        PLATFORM_FAILED.warn((self.clock)(), "platform_failed", &fields);
    }
}

/// Returns the revision of the register that the platform has, if it says so.
fn published(headers: &::http::HeaderMap) -> Option<u64> {
    let revision = headers.get(REVISION_HEADER)?.to_str().ok()?;
    revision.parse().ok()
}

/// Parses and validates a register that the platform published.
pub fn parse(body: &[u8]) -> control::Response {
    let text = String::from_utf8_lossy(body);
    match document::register(&text) {
        Ok(register) => control::Response::Register(Arc::new(register)),
        Err(reason) => control::Response::Invalid {
            revision: revision(&text),
            reason,
        },
    }
}

/// Returns the revision of an invalid register, or 0 when it has none.
fn revision(text: &str) -> u64 {
    serde_json::from_str::<serde_json::Value>(text)
        .ok()
        .and_then(|value| value.get("revision")?.as_u64())
        .unwrap_or(0)
}

fn member(vm: Vm) -> membership::Member {
    membership::Member {
        name: vm.name,
        zone: vm.zone,
        peer: vm.peer,
        incarnation: 0,
        state: match vm.state {
            VmState::Live => membership::State::Alive,
            VmState::Leaving => membership::State::Leaving,
        },
    }
}
