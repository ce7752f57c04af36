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
        End,
        Held,
        RETRY_AFTER,
        State,
        Ticket,
        digest_key,
        digest_request, //
    },
    line,
    lock,
    peer,
    reply,
    upload::{
        MAX_KEYED,
        Upload, //
    }, //
};

/// Largest response that is held for resent requests.
const MAX_ANSWER: usize = 64 * 1_024;

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
enum Start {
    /// Wait for the policy's decision on the ticket.
    Wait(u64, oneshot::Receiver<Ticket>),
    /// Wait for the outcome of the same request, which is already running.
    Join(Option<watch::Receiver<Option<End>>>),
    /// Forward the request to the home of the key.
    Forward(Arc<str>),
    /// Return this response.
    Answer(Response<Body>),
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
        order: &header::Keyed,
        parts: request::Parts,
        body: Incoming,
    ) -> Response<Body> {
        let request = policy::Request {
            service: order.service,
            class: order.class,
            idempotent: order.idempotent,
            deadline: self.now() + order.remaining,
        };
        let Some(admitted) = self.begin(request) else {
            return peer::final_answer(reply::retry(RETRY_AFTER));
        };
        let read = time::timeout(order.remaining, Upload::read(body, MAX_KEYED));
        let answer = match read.await {
            Ok(Ok(Upload::Held(data, _))) => {
                self.run_keyed(admitted, parts, data, order.hops).await
            }
            _ => reply::retry(RETRY_AFTER),
        };
        peer::final_answer(answer)
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
            return reply::retry(RETRY_AFTER);
        };
        let key = digest_key(request.service, &parts);
        let home = self.with_keys(|state| state.policy.home(request.service, key));
        let Some((home, _)) = home else {
            return reply::retry(RETRY_AFTER);
        };
        if *home != *self.config.me {
            let began = self.now();
            let mut answer = self.forward(&home, &request, &parts, data, hops).await;
            let mut history = line::History::default();
            history.add(&home, self.now().saturating_sub(began), "home");
            answer.extensions_mut().insert(history);
            return guarded(answer, admitted);
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
        let (first, answer) = oneshot::channel();
        // The run continues when the caller disconnects, because the caller may resend the request.
        tokio::spawn(self.clone().run_at_home(run, first));
        match time::timeout(self.remaining(deadline), answer).await {
            Ok(answer) => answer.unwrap_or_else(|_| reply::unknown()),
            Err(_) => reply::late(true),
        }
    }

    async fn run_at_home(self: Arc<Self>, run: Run, mut caller: oneshot::Sender<Response<Body>>) {
        let _running = self.count();
        let deadline = run.request.deadline;
        let mut answer = reply::late(true);
        while !self.remaining(deadline).is_zero() {
            answer = match self.start(&run) {
                Start::Answer(answer) => answer,
                Start::Forward(home) => {
                    let data = run.data.clone();
                    self.forward(&home, &run.request, &run.parts, data, run.hops)
                        .await
                }
                Start::Join(end) => tokio::select! {
                    () = caller.closed() => return,
                    joined = self.join(end, deadline) => match joined {
                        Some(end) => end.answer(),
                        None => continue,
                    },
                },
                Start::Wait(ticket, ready) => {
                    match self.wait(ticket, run.key, ready, deadline).await {
                        Ticket::Ready => return self.run_to_end(run, caller).await,
                        Ticket::Again => continue,
                        Ticket::Refuse => reply::retry(RETRY_AFTER),
                    }
                }
            };
            break;
        }
        let _ = caller.send(answer);
    }

    fn start(&self, run: &Run) -> Start {
        let (now, service, key) = (self.now(), run.request.service, run.key);
        let made = made_at(&run.parts, now);
        let view = self.view();
        let line = line::Key {
            headers: &run.parts.headers,
            age: made.map(|made| now.saturating_sub(made)),
            revision: view.register.revision,
            confirmed: view.confirmed,
        };
        self.with_keys(|state| {
            let begin = state
                .policy
                .begin_created(now, service, key, run.digest, made);
            line.log(now, &begin);
            match begin {
                Begin::Pending(ticket) => {
                    let (sender, ready) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    Start::Wait(ticket, ready)
                }
                Begin::Running => Start::Join(state.running.get(&key).cloned()),
                Begin::Done { status } => Start::Answer(match state.answers.get(&key) {
                    Some(held) => held.answer(),
                    None => reply::done(status),
                }),
                Begin::Unknown => Start::Answer(reply::unknown()),
                Begin::Forward(home) => Start::Forward(home),
                Begin::NotRun => Start::Answer(reply::refused(RETRY_AFTER)),
                Begin::Retry => Start::Answer(reply::retry(RETRY_AFTER)),
                // A different request with the same key may have run.
                Begin::Mismatch => {
                    Start::Answer(reply::turned_away(StatusCode::UNPROCESSABLE_ENTITY, true))
                }
            }
        })
    }

    /// Waits for the policy's decision on a pending request, at most until the deadline.
    async fn wait(
        &self,
        ticket: u64,
        key: Key,
        mut ready: oneshot::Receiver<Ticket>,
        deadline: Duration,
    ) -> Ticket {
        if let Ok(Ok(ticket)) = time::timeout(self.remaining(deadline), &mut ready).await {
            return ticket;
        }
        self.with_keys(|state| {
            // The decision may have arrived after the time-out.
            ready.try_recv().unwrap_or_else(|_| {
                state.abandon(ticket, key);
                Ticket::Refuse
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
        let upload = Upload::Held(run.data, None);
        let (answer, _) = self.run(run.admitted, &run.parts, upload).await;
        let (answer, outcome) = settle(answer).await;
        let now = self.now();
        self.with_keys(|state| {
            state.running.remove(&run.key);
            if let End::Held(held) = &outcome {
                state.hold(run.key, held);
            }
            state.policy.finish(now, run.key, outcome.state());
        });
        let _ = caller.send(answer);
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
            return reply::retry(RETRY_AFTER);
        }
        let trace = Trace::default();
        let order = header::Order::Keyed(header::Keyed {
            service: request.service,
            class: request.class,
            idempotent: request.idempotent,
            hops: hops + 1,
            remaining: self.remaining(request.deadline),
        });
        let upload = Upload::Held(data, None);
        let send = async {
            for _ in 0..MAX_TRIES {
                let sent = self.send_to_peer(home, &order, parts, &upload, &trace);
                match sent.await {
                    Ok(answer) => return peer::from_home(answer),
                    Err(Failure::NotRun) => {}
                    Err(Failure::Unknown) => return reply::unknown(),
                }
            }
            reply::retry(RETRY_AFTER)
        };
        let answer = time::timeout(self.remaining(request.deadline), send).await;
        answer.unwrap_or_else(|_| reply::late(true))
    }
}

/// Buffers a response up to `MAX_HELD_RESPONSE_BYTES`, so that it can be held for resent requests.
///
/// A larger response is streamed to the caller and only its status is kept.
async fn settle(mut answer: Response<Body>) -> (Response<Body>, End) {
    if let Some(outcome) = answer.headers().get(header::OUTCOME) {
        let not_run = outcome == reply::Outcome::NotRun.as_str();
        let end = if not_run { End::NotRun } else { End::Unknown };
        return (answer, end);
    }
    let status = answer.status();
    let mut frames: VecDeque<Frame<Bytes>> = VecDeque::new();
    let mut data = BytesMut::new();
    while let Some(frame) = answer.body_mut().next().await {
        let Ok(frame) = frame else {
            return (reply::unknown(), End::Unknown);
        };
        let chunk = frame.data_ref();
        data.extend_from_slice(chunk.map_or(&[], |chunk| chunk.as_ref()));
        let holdable = chunk.is_some() && data.len() <= MAX_ANSWER;
        frames.push_back(frame);
        if !holdable {
            answer.body_mut().prepend(frames);
            return (answer, End::Large(status.as_u16()));
        }
    }
    let held = Held {
        status,
        headers: answer.headers().clone(),
        data: data.freeze(),
    };
    (held.answer(), End::Held(Arc::new(held)))
}

/// Returns the creation time of the key of a request, on the clock of the process.
fn made_at(parts: &request::Parts, now: Duration) -> Option<Duration> {
    let key = parts.headers.get(header::KEY)?.to_str().ok()?;
    let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    idempotency::created_at(key, now, unix_now)
}

fn guarded(mut answer: Response<Body>, admitted: Admitted) -> Response<Body> {
    answer.body_mut().guard(admitted);
    answer
}
