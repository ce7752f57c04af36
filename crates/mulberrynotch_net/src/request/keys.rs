//! State that the home of an idempotency key holds for its requests.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Response,
    StatusCode,
    request, //
};
use mulberrynotch_policy::idempotency::{
    Action,
    Ledger, //
};
use mulberrynotch_register::id;
use mulberrynotch_wire::key::{
    self,
    Key, //
};
use tokio::sync::{
    oneshot,
    watch, //
};

use super::{
    body::Body,
    header,
    reply, //
};

/// Maximum total size of the bodies of held responses.
const MAX_HELD_RESPONSES_BYTES: usize = 64 * 1_024 * 1_024;

/// `retry-after` of a request that was not run because its class had no capacity, no attempt was
/// left, or the home of its key could not run it.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response that is held for resent requests.
pub(super) struct Held {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) data: Bytes,
}

impl Held {
    pub(super) fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::full(self.data.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        response
    }
}

/// How a request with a key ended.
#[derive(Clone)]
pub(super) enum End {
    /// It ran, and its response is held.
    Held(Arc<Held>),
    /// It ran, but its response is not held, because it is too large or has trailers; only the
    /// status is kept.
    NotHeld(u16),
    /// It provably did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl End {
    pub(super) fn response(&self) -> Response<Body> {
        match self {
            Self::Held(held) => held.response(),
            Self::NotHeld(status) => reply::done(*status),
            Self::NotRun => reply::refused(RETRY_AFTER),
            Self::Unknown => reply::unknown(),
        }
    }

    pub(super) fn state(&self) -> key::State {
        match self {
            Self::Held(held) => key::State::Done {
                status: held.status.as_u16(),
            },
            Self::NotHeld(status) => key::State::Done { status: *status },
            Self::NotRun => key::State::NotRun,
            Self::Unknown => key::State::Unknown,
        }
    }
}

/// Decision of the policy on a pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The record is stored and the request may run.
    Ready,
    /// The request must not run.
    Refuse,
    /// The request has to be submitted to the policy again.
    Restart,
}

/// The key policy, pending and running requests, and held responses.
pub(super) struct State {
    /// The policy.
    pub(super) policy: Ledger,
    /// Senders for the requests whose records are not stored yet, by ticket.
    pub(super) waiting: HashMap<u64, oneshot::Sender<Decision>>,
    abandoned: HashMap<u64, Key>,
    /// Running requests, with receivers of their outcomes.
    pub(super) running: HashMap<Key, watch::Receiver<Option<End>>>,
    /// Held responses.
    pub(super) responses: HashMap<Key, Arc<Held>>,
    held_bytes: usize,
}

impl State {
    /// Creates a state without requests and responses.
    pub(super) fn new(policy: Ledger) -> Self {
        Self {
            policy,
            waiting: HashMap::new(),
            abandoned: HashMap::new(),
            running: HashMap::new(),
            responses: HashMap::new(),
            held_bytes: 0,
        }
    }

    /// Returns the number of held responses.
    pub(super) fn held_count(&self) -> usize {
        self.responses.len()
    }

    /// Abandons a pending request whose deadline has passed.
    ///
    /// If the policy decides later that it may run, it is recorded as not run.
    pub(super) fn abandon(&mut self, ticket: u64, key: Key) {
        self.waiting.remove(&ticket);
        self.abandoned.insert(ticket, key);
    }

    /// Executes the actions of the policy and returns the messages to send.
    pub(super) fn dispatch(&mut self, now: Duration) -> Vec<(Arc<str>, key::Message)> {
        let mut messages = Vec::new();
        while let Some(action) = self.policy.poll() {
            match action {
                Action::Send { to, message } => messages.push((to, message)),
                Action::Ready(ticket) => self.wake(now, ticket, Decision::Ready),
                Action::Refuse(ticket) => self.wake(now, ticket, Decision::Refuse),
                Action::Restart(ticket) => self.wake(now, ticket, Decision::Restart),
                Action::Expired(key) => self.release(key),
            }
        }
        messages
    }

    fn wake(&mut self, now: Duration, ticket: u64, decision: Decision) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            let _ = waiting.send(decision);
        } else if let Some(key) = self.abandoned.remove(&ticket)
            && decision == Decision::Ready
        {
            self.policy.finish(now, key, key::State::NotRun);
        }
    }

    fn release(&mut self, key: Key) {
        if let Some(held) = self.responses.remove(&key) {
            self.held_bytes -= held.data.len();
        }
    }

    pub(super) fn hold(&mut self, key: Key, held: &Arc<Held>) {
        self.release(key);
        if self.held_bytes + held.data.len() <= MAX_HELD_RESPONSES_BYTES {
            self.held_bytes += held.data.len();
            self.responses.insert(key, held.clone());
        }
    }
}

/// Returns the digest of a service and the idempotency key of a request.
pub(super) fn digest_key(service: id::Service, parts: &request::Parts) -> Key {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&service.0.to_be_bytes());
    if let Some(key) = parts.headers.get(header::KEY) {
        hasher.update(key.as_bytes());
    }
    let mut key = [0; 16];
    key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Key(key)
}

/// Returns the digest of method, path and body, which tells a resend from a different request.
pub(super) fn digest_request(parts: &request::Parts, data: &[u8]) -> u64 {
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let mut hasher = blake3::Hasher::new();
    for part in [parts.method.as_str(), path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(data);
    let mut digest = [0; 8];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(digest)
}
