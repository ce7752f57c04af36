//! Execution of requests with an idempotency key at the home of the key.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    Response,
    StatusCode,
    request, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use mulberrynotch_policy::{
    idempotency::{
        self,
        Begin, //
    },
    request as policy, //
};
use mulberrynotch_wire::key::Key;
use tokio::{
    sync::{
        oneshot,
        watch, //
    },
    time, //
};

use super::{
    Service,
    admitted::Admitted,
    body::Body,
    exchange::{
        Failure,
        Trace, //
    },
    header,
    keys::{
        Decision,
        End,
        Held,
        RETRY_AFTER,
        State,
        digest_key,
        digest_request, //
    },
    lock,
    log,
    peer,
    reply,
    upload::{
        MAX_KEYED_BYTES,
        Upload, //
    }, //
};

/// Largest response that is held for resent requests.
const MAX_HELD_RESPONSE_BYTES: usize = 64 * 1_024;

/// Poll interval for the outcome of a request that another process runs.
const JOIN_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of times a request with a key is forwarded between balancers.
const MAX_HOPS: u8 = 2;

/// Maximum number of sends to the home of the key; a send is repeated only when the previous one
/// provably did not run.
const MAX_TRIES: usize = 2;

/// A request with a key that is handled by the home of its key.
struct Run {
    admitted: Admitted,
    request: policy::Request,
    key: Key,
    digest: u64,
    parts: request::Parts,
    data: Bytes,
    hops: u8,
}

/// Next step for a request with a key.
enum Step {
    /// Wait for the policy's decision on the ticket.
    Wait(u64, oneshot::Receiver<Decision>),
    /// Wait for the outcome of the same request, which is already running.
    Join(Option<watch::Receiver<Option<End>>>),
    /// Forward the request to the home of the key.
    Forward(Arc<str>),
    /// Return this response.
    Response(Response<Body>),
}

impl Service {
    /// Calls `use_policy` on the key policy, then executes its actions and sends its messages.
    pub(super) fn with_keys<T>(&self, use_policy: impl FnOnce(&mut State) -> T) -> T {
        let (result, messages) = {
            let mut state = lock(&self.keys);
            let result = use_policy(&mut state);
            (result, state.dispatch(self.now()))
        };
        for (to, message) in messages {
            (self.config.send)(to, message);
        }
        result
    }

    /// Serves a request with a key that another balancer forwarded.
    pub(super) async fn serve_keyed(
        self: &Arc<Self>,
        command: &header::Keyed,
        parts: request::Parts,
        body: Incoming,
    ) -> Response<Body> {
        let request = policy::Request {
            service: command.service,
            class: command.class,
            idempotent: command.idempotent,
            deadline: self.now() + command.remaining,
        };
        let Some(admitted) = self.begin(request) else {
            return peer::mark_final(reply::retry_same_key(RETRY_AFTER));
        };
        let read = time::timeout(command.remaining, Upload::read(body, MAX_KEYED_BYTES));
        let response = match read.await {
            Ok(Ok(Upload::Buffered(data, _))) => {
                self.run_keyed(admitted, parts, data, command.hops).await
            }
            _ => reply::retry_same_key(RETRY_AFTER),
        };
        peer::mark_final(response)
    }

    /// Runs a request with a key here if this process is its home, otherwise at the home.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        admitted: Admitted,
        parts: request::Parts,
        data: Bytes,
        hops: u8,
    ) -> Response<Body> {
        let Some(request) = admitted.request().cloned() else {
            return reply::retry_same_key(RETRY_AFTER);
        };
        let key = digest_key(request.service, &parts);
        let home = self.with_keys(|state| state.policy.home(request.service, key));
        let Some((home, _)) = home else {
            return reply::retry_same_key(RETRY_AFTER);
        };
        if *home != *self.config.me {
            let started_at = self.now();
            let mut response = self.forward(&home, &request, &parts, data, hops).await;
            let mut history = log::History::default();
            history.add(&home, self.now().saturating_sub(started_at), "home");
            response.extensions_mut().insert(history);
            return with_guard(response, admitted);
        }
        let deadline = request.deadline;
        let run = Run {
            digest: digest_request(&parts, &data),
            admitted,
            request,
            key,
            parts,
            data,
            hops,
        };
        let (sender, response) = oneshot::channel();
        // The run continues when the caller disconnects, because the caller may resend the request.
        tokio::spawn(self.clone().run_at_home(run, sender));
        match time::timeout(self.remaining(deadline), response).await {
            Ok(response) => response.unwrap_or_else(|_| reply::unknown()),
            Err(_) => reply::deadline_exceeded(true),
        }
    }

    async fn run_at_home(self: Arc<Self>, run: Run, mut caller: oneshot::Sender<Response<Body>>) {
        let _running = self.count_running();
        let deadline = run.request.deadline;
        let mut response = reply::deadline_exceeded(true);
        while !self.remaining(deadline).is_zero() {
            response = match self.next_step(&run) {
                Step::Response(response) => response,
                Step::Forward(home) => {
                    let data = run.data.clone();
                    self.forward(&home, &run.request, &run.parts, data, run.hops)
                        .await
                }
                Step::Join(end) => tokio::select! {
                    () = caller.closed() => return,
                    joined = self.join(end, deadline) => match joined {
                        Some(end) => end.response(),
                        None => continue,
                    },
                },
                Step::Wait(ticket, ready) => {
                    match self
                        .wait_for_decision(ticket, run.key, ready, deadline)
                        .await
                    {
                        Decision::Ready => return self.run_to_end(run, caller).await,
                        Decision::Restart => continue,
                        Decision::Refuse => reply::retry_same_key(RETRY_AFTER),
                    }
                }
            };
            break;
        }
        let _ = caller.send(response);
    }

    fn next_step(&self, run: &Run) -> Step {
        let (now, service, key) = (self.now(), run.request.service, run.key);
        let created_at = key_creation_time(&run.parts, now);
        let view = self.view();
        let decision_log = log::Key {
            headers: &run.parts.headers,
            age: created_at.map(|created_at| now.saturating_sub(created_at)),
            revision: view.register.revision,
            confirmed: view.confirmed,
        };
        self.with_keys(|state| {
            let begin = state
                .policy
                .begin_created(now, service, key, run.digest, created_at);
            decision_log.log(now, &begin);
            match begin {
                Begin::Pending(ticket) => {
                    let (sender, ready) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    Step::Wait(ticket, ready)
                }
                Begin::Running => Step::Join(state.running.get(&key).cloned()),
                Begin::Done { status } => Step::Response(match state.responses.get(&key) {
                    Some(held) => held.response(),
                    None => reply::done(status),
                }),
                Begin::Unknown => Step::Response(reply::unknown()),
                Begin::Forward(home) => Step::Forward(home),
                Begin::NotRun => Step::Response(reply::refused(RETRY_AFTER)),
                Begin::Retry => Step::Response(reply::retry_same_key(RETRY_AFTER)),
                // A different request with the same key may have run.
                Begin::Mismatch => {
                    Step::Response(reply::rejected(StatusCode::UNPROCESSABLE_ENTITY, true))
                }
            }
        })
    }

    /// Waits for the policy's decision on a pending request, at most until the deadline.
    async fn wait_for_decision(
        &self,
        ticket: u64,
        key: Key,
        mut ready: oneshot::Receiver<Decision>,
        deadline: Duration,
    ) -> Decision {
        if let Ok(Ok(decision)) = time::timeout(self.remaining(deadline), &mut ready).await {
            return decision;
        }
        self.with_keys(|state| {
            // The decision may have arrived after the time-out.
            ready.try_recv().unwrap_or_else(|_| {
                state.abandon(ticket, key);
                Decision::Refuse
            })
        })
    }

    /// Waits for a run to end; returns `None` when the policy has to be queried again.
    async fn join(
        &self,
        end: Option<watch::Receiver<Option<End>>>,
        deadline: Duration,
    ) -> Option<End> {
        let Some(mut end) = end else {
            time::sleep(JOIN_INTERVAL).await;
            return None;
        };
        let ended = end.wait_for(Option::is_some);
        let ended = time::timeout(self.remaining(deadline), ended).await;
        let Ok(Ok(end)) = ended else {
            return Some(End::Unknown);
        };
        end.clone()
    }

    async fn run_to_end(self: &Arc<Self>, run: Run, caller: oneshot::Sender<Response<Body>>) {
        let (end, ended) = watch::channel(None);
        self.with_keys(|state| state.running.insert(run.key, ended));
        let upload = Upload::Buffered(run.data, None);
        let (response, _) = self.run(run.admitted, &run.parts, upload).await;
        let (response, outcome) = buffer_response(response).await;
        let now = self.now();
        self.with_keys(|state| {
            state.running.remove(&run.key);
            if let End::Held(held) = &outcome {
                state.hold(run.key, held);
            }
            state.policy.finish(now, run.key, outcome.state());
        });
        let _ = caller.send(response);
        let _ = end.send(Some(outcome));
    }

    async fn forward(
        &self,
        home: &str,
        request: &policy::Request,
        parts: &request::Parts,
        data: Bytes,
        hops: u8,
    ) -> Response<Body> {
        if hops >= MAX_HOPS {
            return reply::retry_same_key(RETRY_AFTER);
        }
        let trace = Trace::default();
        let command = header::Command::Keyed(header::Keyed {
            service: request.service,
            class: request.class,
            idempotent: request.idempotent,
            hops: hops + 1,
            remaining: self.remaining(request.deadline),
        });
        let upload = Upload::Buffered(data, None);
        let send = async {
            for _ in 0..MAX_TRIES {
                let sent = self.send_to_peer(home, &command, parts, &upload, &trace);
                match sent.await {
                    Ok(response) => return peer::from_home(response),
                    Err(Failure::NotRun) => {}
                    Err(Failure::Unknown) => return reply::unknown(),
                }
            }
            reply::retry_same_key(RETRY_AFTER)
        };
        let response = time::timeout(self.remaining(request.deadline), send).await;
        response.unwrap_or_else(|_| reply::deadline_exceeded(true))
    }
}

/// Buffers a response up to `MAX_HELD_RESPONSE_BYTES`, so that it can be held for resent requests.
///
/// A larger response, or one with trailers, is streamed to the caller and only its status is kept.
async fn buffer_response(mut response: Response<Body>) -> (Response<Body>, End) {
    if let Some(outcome) = response.headers().get(header::OUTCOME) {
        let not_run = outcome == reply::Outcome::NotRun.as_str();
        let end = if not_run { End::NotRun } else { End::Unknown };
        return (response, end);
    }
    let status = response.status();
    let mut frames: VecDeque<Frame<Bytes>> = VecDeque::new();
    let mut data = BytesMut::new();
    while let Some(frame) = response.body_mut().next().await {
        let Ok(frame) = frame else {
            return (reply::unknown(), End::Unknown);
        };
        let chunk = frame.data_ref();
        data.extend_from_slice(chunk.map_or(&[], |chunk| chunk.as_ref()));
        let holdable = chunk.is_some() && data.len() <= MAX_HELD_RESPONSE_BYTES;
        frames.push_back(frame);
        if !holdable {
            response.body_mut().prepend(frames);
            return (response, End::NotHeld(status.as_u16()));
        }
    }
    let held = Held {
        status,
        headers: response.headers().clone(),
        data: data.freeze(),
    };
    (held.response(), End::Held(Arc::new(held)))
}

/// Returns the creation time of the key of a request, on the clock of the process.
fn key_creation_time(parts: &request::Parts, now: Duration) -> Option<Duration> {
    let key = parts.headers.get(header::KEY)?.to_str().ok()?;
    let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    idempotency::created_at(key, now, unix_now)
}

fn with_guard(mut response: Response<Body>, admitted: Admitted) -> Response<Body> {
    response.body_mut().guard(admitted);
    response
}
