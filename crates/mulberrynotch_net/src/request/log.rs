//! Request ids, and log events on failed attempts and requests without a target's response.

use std::{
    fmt::Write,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Response, //
};

use mulberrynotch_policy::idempotency;

use super::header::OUTCOME;
use crate::event;

/// Request id, set by the caller or generated here; sent to the target and returned to the caller.
const ID: HeaderName = HeaderName::from_static("x-request-id");

/// Longest request id that is accepted from a caller.
const MAX_ID_BYTES: usize = 128;

/// Maximum number of log lines per limiter and second.
const LINES_PER_SECOND: u64 = 100;

const SECOND_MS: u64 = 1_000;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);
static EXCHANGE_LIMITER: event::Limiter = event::Limiter::with_limit(LINES_PER_SECOND, SECOND_MS);
static KEY_LIMITER: event::Limiter = event::Limiter::with_limit(LINES_PER_SECOND, SECOND_MS);
static UNANSWERED_LIMITER: event::Limiter = event::Limiter::with_limit(LINES_PER_SECOND, SECOND_MS);

/// Returns the id of a request; replaces an unusable one by an id that contains the process name.
pub(super) fn ensure_id(me: &str, headers: &mut HeaderMap) -> HeaderValue {
    if let Some(id) = headers.get(ID).filter(|id| is_usable(id)) {
        return id.clone();
    }
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    // Process names are validated with the settings and are legal header values.
    let id = HeaderValue::from_str(&format!("{me}-{number:x}"))
        .unwrap_or_else(|_| HeaderValue::from(number));
    headers.insert(ID, id.clone());
    id
}

/// Sets the request id in the headers of a response.
pub(super) fn set_id(headers: &mut HeaderMap, id: HeaderValue) {
    headers.insert(ID, id);
}

fn is_usable(id: &HeaderValue) -> bool {
    let bytes = id.as_bytes();
    (1..=MAX_ID_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic)
}

fn request_id(headers: &HeaderMap) -> &str {
    headers
        .get(ID)
        .and_then(|id| id.to_str().ok())
        .unwrap_or("-")
}

/// Log summary of the attempts of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct History(String);

impl History {
    /// Adds an attempt at a target or balancer.
    pub(super) fn add(&mut self, target: &str, took: Duration, outcome: &str) {
        let comma = if self.0.is_empty() { "" } else { "," };
        // Writing to a `String` is infallible.
        let _ = write!(self.0, "{comma}{target}:{outcome}:{}ms", took.as_millis());
    }
}

/// Logs the error that ended the exchange of a request with a target or a peer.
pub(super) fn exchange_failed(headers: &HeaderMap, error: &h2::Error, proven_not_run: bool) {
    let fields: [event::Field<'_>; 3] = [
        ("request", &request_id(headers)),
        ("error", error),
        ("proven_not_run", &proven_not_run),
    ];
    EXCHANGE_LIMITER.warn(event::uptime(), "request_exchange_failed", &fields);
}

/// Logs that no connection to a target or peer could be used for a request.
pub(super) fn not_connected(
    headers: &HeaderMap,
    address: &dyn std::fmt::Display,
    error: &std::io::Error,
) {
    let fields: [event::Field<'_>; 3] = [
        ("request", &request_id(headers)),
        ("address", address),
        ("error", error),
    ];
    EXCHANGE_LIMITER.warn(event::uptime(), "request_not_connected", &fields);
}

/// Log context for a decision of the home of a key.
pub(super) struct Key<'a> {
    /// Headers of the request.
    pub(super) headers: &'a HeaderMap,
    /// Time since the key was created, if the key contains its creation time.
    pub(super) age: Option<Duration>,
    /// Revision of the register in effect.
    pub(super) revision: u64,
    /// False while the view is not confirmed.
    pub(super) confirmed: bool,
}

impl Key<'_> {
    /// Logs a decision that prevents a request with a key from running here.
    pub(super) fn log(&self, now: Duration, decision: &idempotency::Begin) {
        let decision = match decision {
            // A new home without the previous home's records cannot tell a new key from a resend.
            idempotency::Begin::Unknown => "unknown",
            idempotency::Begin::NotRun => "no_room",
            idempotency::Begin::Retry => "not_certain",
            idempotency::Begin::Mismatch => "other_request_under_the_key",
            idempotency::Begin::Done { .. } => "ran_before",
            idempotency::Begin::Pending(_)
            | idempotency::Begin::Running
            | idempotency::Begin::Forward(_) => return,
        };
        let age = self
            .age
            .map_or_else(|| "-".to_owned(), |it| it.as_millis().to_string());
        let fields: [event::Field<'_>; 5] = [
            ("request", &request_id(self.headers)),
            ("decision", &decision),
            ("key_age_ms", &age),
            ("revision", &self.revision),
            ("confirmed", &self.confirmed),
        ];
        KEY_LIMITER.warn(now, "request_key_decided", &fields);
    }
}

/// Log context for a request that ends without a target's response.
pub(super) struct End<'a> {
    /// Id of the request.
    pub(super) id: &'a HeaderValue,
    /// Name of the service.
    pub(super) service: &'a str,
    /// True when the request has an idempotency key.
    pub(super) keyed: bool,
    /// Arrival time, since the start of the process.
    pub(super) arrived: Duration,
    /// Revision of the register that the request was routed by.
    pub(super) revision: u64,
    /// False while the view is not confirmed.
    pub(super) confirmed: bool,
}

impl End<'_> {
    /// Logs a response that was generated by the balancer; does nothing for other responses.
    pub(super) fn log<B>(&self, now: Duration, response: &Response<B>) {
        let Some(outcome) = response.headers().get(OUTCOME) else {
            return;
        };
        let outcome = outcome.to_str().unwrap_or("-");
        let attempts = response.extensions().get::<History>();
        let attempts = attempts.map_or("", |history| &history.0);
        let fields: [event::Field<'_>; 9] = [
            ("request", &self.id.to_str().unwrap_or("-")),
            ("service", &self.service),
            ("keyed", &self.keyed),
            ("status", &response.status().as_u16()),
            ("outcome", &outcome),
            ("took_ms", &now.saturating_sub(self.arrived).as_millis()),
            ("attempts", &attempts),
            ("revision", &self.revision),
            ("confirmed", &self.confirmed),
        ];
        UNANSWERED_LIMITER.warn(now, "request_unanswered", &fields);
    }
}
