//! Attempts on targets that the process owns.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        MutexGuard, //
    },
    time::Duration, //
};

use http::{
    Response,
    StatusCode,
    request, //
};
use mulberrynotch_policy::request::{
    Action,
    Admission,
    Outcome,
    Owner, //
};
use tokio::sync::oneshot;

use super::{
    Service,
    body::{
        self,
        Body, //
    },
    exchange::{
        self,
        Failure,
        Trace, //
    },
    header,
    lock,
    log,
    upload::Upload, //
};

/// A request that is cancelled this close to its deadline counts as timed out.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// Result of an attempt.
pub(super) enum Attempted {
    /// The response, and the number of free slots of the target.
    Response(Box<Response<Body>>, u32),
    /// The request provably did not run; true when the owner or the target was busy.
    NotRun(bool),
    /// The request may have run.
    Unknown,
}

/// The owner policy, and the requests that wait for its actions.
pub(super) struct State {
    /// The policy.
    pub(super) policy: Owner,
    /// Senders that start or refuse the queued requests, by ticket.
    pub(super) queued: HashMap<u64, oneshot::Sender<bool>>,
}

impl State {
    fn dispatch(&mut self) {
        while let Some(action) = self.policy.poll() {
            let (ticket, start) = match action {
                Action::Start(ticket) => (ticket, true),
                Action::Refuse(ticket) => (ticket, false),
            };
            if let Some(waiting) = self.queued.remove(&ticket) {
                // When the receiver is gone, the drop of its `Ticket` finishes the request.
                let _ = waiting.send(start);
            }
        }
    }
}

impl Service {
    /// Calls `use_policy` on the owner policy, then executes the resulting actions.
    pub(super) fn with_owner<T>(&self, use_policy: impl FnOnce(&mut State) -> T) -> T {
        let mut state: MutexGuard<'_, State> = lock(&self.owner);
        let result = use_policy(&mut state);
        state.dispatch();
        result
    }

    /// Runs a request on a target that the process owns.
    pub(super) async fn run_owned(
        self: &Arc<Self>,
        command: &header::Attempt,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Attempted {
        let Some(address) = self.target_address(command) else {
            return Attempted::NotRun(false);
        };
        let deadline = self.now() + command.remaining;
        let mut ticket = match self.admit(command).await {
            Ok(ticket) => ticket,
            Err(busy) => return Attempted::NotRun(busy),
        };
        let lease = match self.targets.get(self.now(), address).await {
            Ok(lease) => lease,
            Err(error) => {
                log::not_connected(&parts.headers, &address, &error);
                ticket.outcome = Some(Outcome::NotRun { busy: false });
                return Attempted::NotRun(false);
            }
        };
        let mut parts = parts.clone();
        header::set_deadline(&mut parts.headers, self.remaining(deadline));
        match exchange::exchange(lease, &parts, upload, trace).await {
            Ok((response, guard)) => {
                let expected = exchange::expected_length(&parts.method, &response);
                let free = self.with_owner(|state| state.policy.free_slots(command.target));
                let status = response.status().as_u16();
                let (mut head, stream) = response.into_parts();
                header::strip_internal(&mut head.headers);
                header::strip_hop(&mut head.headers);
                let done = move |end| ticket.complete(end, status);
                let body = body::relay(stream, expected, guard, done);
                Attempted::Response(Box::new(Response::from_parts(head, body)), free)
            }
            Err(Failure::NotRun) => {
                ticket.outcome = Some(Outcome::NotRun { busy: true });
                Attempted::NotRun(true)
            }
            Err(Failure::Unknown) => {
                ticket.outcome = Some(Outcome::Unknown);
                Attempted::Unknown
            }
        }
    }

    /// Returns the HTTP address of the target if it belongs to the service and its zone is not out.
    fn target_address(&self, command: &header::Attempt) -> Option<SocketAddr> {
        let view = self.view();
        let location = view.locate(command.target)?;
        if location.service != command.service || location.out {
            return None;
        }
        view.target(command.target)?.http
    }

    /// Waits until the request may be sent to the target.
    ///
    /// # Errors
    ///
    /// Fails with true when the owner is busy, with false when the process is not the owner.
    async fn admit(self: &Arc<Self>, command: &header::Attempt) -> Result<Ticket, bool> {
        let now = self.now();
        let deadline = now + command.remaining;
        let (id, started) = self.with_owner(|state| {
            let admission =
                state
                    .policy
                    .admit(now, command.target, command.class, deadline, command.queue);
            match admission {
                Admission::Run(ticket) => Ok((ticket, None)),
                Admission::Queued(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.queued.insert(ticket, sender);
                    Ok((ticket, Some(receiver)))
                }
                Admission::Busy { .. } => Err(true),
                Admission::NotOwner => Err(false),
            }
        })?;
        let mut ticket = Ticket {
            service: self.clone(),
            id,
            deadline,
            outcome: None,
            ended: false,
        };
        if let Some(started) = started
            && !started.await.unwrap_or(false)
        {
            ticket.ended = true;
            return Err(true);
        }
        Ok(ticket)
    }
}

/// A request that was admitted or queued by the policy; dropping it reports the outcome.
struct Ticket {
    service: Arc<Service>,
    id: u64,
    deadline: Duration,
    /// `None` until the outcome is known; a drop then counts as cancelled or timed out.
    outcome: Option<Outcome>,
    ended: bool,
}

impl Ticket {
    fn complete(mut self, end: body::End, status: u16) {
        // A target returns 503 when it sheds load.
        let shed = status == StatusCode::SERVICE_UNAVAILABLE.as_u16();
        self.outcome = match end {
            body::End::Complete if shed => Some(Outcome::NotRun { busy: true }),
            body::End::Complete => Some(Outcome::Answered { status }),
            body::End::Broken => Some(Outcome::Unknown),
            body::End::Cancelled => None,
        };
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.service.now();
        self.service.with_owner(|state| {
            if state.queued.remove(&self.id).is_some() {
                state.policy.cancel(now, self.id);
            } else if let Some(outcome) = self.outcome {
                state.policy.finish(now, self.id, outcome);
            } else if now + DEADLINE_MARGIN < self.deadline {
                state.policy.abandon(now, self.id);
            } else {
                state.policy.finish(now, self.id, Outcome::Unknown);
            }
        });
    }
}

/// Encodes the result of an attempt as a response to another balancer.
pub(super) fn to_peer(attempted: Attempted) -> Response<Body> {
    let (mut response, result, free) = match attempted {
        Attempted::Response(response, free) => (*response, "answered", free),
        Attempted::NotRun(true) => (empty_response(), "busy", 0),
        Attempted::NotRun(false) => (empty_response(), "not-run", 0),
        Attempted::Unknown => (empty_response(), "unknown", 0),
    };
    let headers = response.headers_mut();
    headers.insert(header::RESULT, http::HeaderValue::from_static(result));
    headers.insert(header::FREE, http::HeaderValue::from(free));
    response
}

fn empty_response() -> Response<Body> {
    let mut response = Response::new(Body::full(bytes::Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
