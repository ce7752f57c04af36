//! A request at the balancer that its caller reached.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use http::{
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    Version,
    header as standard,
    request,
    uri, //
};
use hyper::body::Incoming;
use mulberrynotch_policy::request::{
    self as policy,
    Outcome,
    Plan,
    Step, //
};
use mulberrynotch_register::id;
use tokio::time;

use super::{
    Service,
    body::Body,
    exchange::Trace,
    header,
    line,
    lock,
    owner::Attempted,
    record::Record,
    reply,
    rule,
    upload::{
        self,
        Upload, //
    }, //
};

/// When a caller may come back after its class had no capacity left.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that was admitted; dropping it ends its plan.
pub(super) struct Admitted {
    pub(super) service: Arc<Service>,
    plan: Option<Plan>,
}

impl Admitted {
    /// The request that was admitted.
    pub(super) fn request(&self) -> Option<&policy::Request> {
        self.plan.as_ref().map(Plan::request)
    }

    fn next(&mut self, last: Option<Outcome>) -> Option<Step> {
        let now = self.service.now();
        let plan = self.plan.as_mut()?;
        Some(lock(&self.service.entry).next(now, plan, last))
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(plan) = self.plan.take() {
            lock(&self.service.entry).end(self.service.now(), plan);
        }
    }
}

impl Service {
    /// Answers a request of a caller.
    pub(super) async fn serve_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        caller: SocketAddr,
        service: id::Service,
    ) -> Response<Body> {
        let running = self.count();
        let (mut parts, body) = request.into_parts();
        let keyed = parts.headers.contains_key(header::KEY);
        let id = line::ensure_id(&self.config.me, &mut parts.headers);
        let view = self.view();
        let Some(entry) = view.service(service) else {
            return reply::come_back(RETRY_AFTER, keyed);
        };
        let end = line::End {
            id: &id,
            service: &entry.name,
            keyed,
            arrived: self.now(),
            revision: view.register.revision,
            confirmed: view.confirmed,
        };
        let class = rule::classify(&view.register, entry, &parts.method, parts.uri.path());
        let record = Record::new(entry.name.clone(), class.class);
        let remaining = header::deadline(&parts.headers)
            .unwrap_or(Duration::from_millis(entry.request_deadline_ms.into()));
        let mut answer = match prepare(&mut parts, caller) {
            Err(status) => reply::turned_away(status, keyed),
            Ok(()) => {
                let request = policy::Request {
                    service,
                    class: class.class,
                    idempotent: class.idempotent,
                    deadline: self.now() + remaining,
                };
                self.answer(request, parts, body).await
            }
        };
        end.log(self.now(), &answer);
        record.finish(&answer);
        answer.headers_mut().remove(header::RESULT);
        answer.headers_mut().remove(header::FREE);
        line::answer_id(answer.headers_mut(), id);
        answer.body_mut().guard(running);
        answer
    }

    /// Admits a request into the process.
    pub(super) fn begin(self: &Arc<Self>, request: policy::Request) -> Option<Admitted> {
        let plan = lock(&self.entry).begin(self.now(), request)?;
        Some(Admitted {
            service: self.clone(),
            plan: Some(plan),
        })
    }

    /// Time left until `deadline`.
    pub(super) fn remaining(&self, deadline: Duration) -> Duration {
        deadline.saturating_sub(self.now())
    }

    async fn answer(
        self: &Arc<Self>,
        request: policy::Request,
        parts: request::Parts,
        body: Incoming,
    ) -> Response<Body> {
        let keyed = parts.headers.contains_key(header::KEY);
        let Some(admitted) = self.begin(request.clone()) else {
            return reply::come_back(RETRY_AFTER, keyed);
        };
        let limit = if keyed {
            super::home::MAX_BODY
        } else {
            upload::MAX_HELD
        };
        let read = Upload::read(body, limit);
        let upload = match time::timeout(self.remaining(request.deadline), read).await {
            Err(_) => return reply::turned_away(StatusCode::GATEWAY_TIMEOUT, keyed),
            Ok(Err(_)) => return reply::turned_away(StatusCode::BAD_REQUEST, keyed),
            Ok(Ok(upload)) => upload,
        };
        match (keyed, upload) {
            (false, upload) => self.run(admitted, &parts, upload).await.0,
            (true, Upload::Held(data, _)) => self.run_keyed(admitted, parts, data, 0).await,
            (true, _) => reply::turned_away(StatusCode::PAYLOAD_TOO_LARGE, true),
        }
    }

    /// Makes attempts until there is an answer or the deadline has passed; the trace tells
    /// whether a request without an answer may have run.
    pub(super) async fn run(
        self: &Arc<Self>,
        mut admitted: Admitted,
        parts: &request::Parts,
        upload: Upload,
    ) -> (Response<Body>, Trace) {
        let trace = Trace::default();
        let Some(request) = admitted.request().cloned() else {
            return (reply::refused(RETRY_AFTER), trace);
        };
        let attempts = self.attempts(&mut admitted, &request, parts, &upload, &trace);
        let answer = time::timeout(self.remaining(request.deadline), attempts).await;
        let mut answer = answer.unwrap_or_else(|_| reply::late(trace.may_have_run()));
        answer.body_mut().guard(admitted);
        (answer, trace)
    }

    async fn attempts(
        self: &Arc<Self>,
        admitted: &mut Admitted,
        request: &policy::Request,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Response<Body> {
        let mut last = None;
        let mut held = None;
        let mut attempts = 0;
        let mut history = line::History::default();
        let mut refusal = reply::refused(RETRY_AFTER);
        while let Some(step) = admitted.next(last.take()) {
            let (target, owner, queue) = match step {
                Step::Try {
                    target,
                    owner,
                    queue,
                } => (target, owner, queue),
                Step::Wait { until } => {
                    time::sleep(self.remaining(until)).await;
                    continue;
                }
                Step::Unknown => break,
                Step::Refuse { .. } if trace.may_have_run() => break,
                Step::Refuse { retry_after } => {
                    refusal = reply::refused(retry_after);
                    break;
                }
            };
            attempts += 1;
            super::record::attempt(attempts);
            let order = header::Attempt {
                service: request.service,
                target,
                class: request.class,
                queue,
                remaining: self.remaining(request.deadline),
            };
            let began = self.now();
            let attempted = self.attempt(&owner, &order, parts, upload, trace).await;
            let took = self.now().saturating_sub(began);
            last = match attempted {
                Attempted::Answer(answer, free) => {
                    lock(&self.entry).learn(self.now(), target, free);
                    let shed = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
                    if !shed || !request.idempotent || upload.is_spent() {
                        return *answer;
                    }
                    // The target shed a request that another may run.
                    trace.unknown();
                    history.add(&self.name_of(target), took, "shed");
                    held = Some(*answer);
                    Some(Outcome::Unknown)
                }
                Attempted::NotRun(busy) => {
                    trace.not_run();
                    let outcome = if busy { "busy" } else { "not-reached" };
                    history.add(&self.name_of(target), took, outcome);
                    Some(Outcome::NotRun { busy })
                }
                Attempted::Unknown => {
                    trace.unknown();
                    history.add(&self.name_of(target), took, "unknown");
                    Some(Outcome::Unknown)
                }
            };
            let again = !trace.may_have_run() || request.idempotent;
            if upload.is_spent() || !again {
                break;
            }
        }
        let mut answer = match held {
            Some(answer) => answer,
            None if trace.may_have_run() => reply::unknown(),
            None => refusal,
        };
        answer.extensions_mut().insert(history);
        answer
    }

    fn name_of(&self, target: id::Target) -> Arc<str> {
        let view = self.view();
        view.target(target)
            .map_or_else(|| "-".into(), |entry| entry.name.clone())
    }

    async fn attempt(
        self: &Arc<Self>,
        owner: &str,
        order: &header::Attempt,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Attempted {
        if *owner == *self.config.me {
            self.run_owned(order, parts, upload, trace).await
        } else {
            self.run_at_peer(owner, order, parts, upload, trace).await
        }
    }
}

/// Makes a caller's request fit for HTTP/2 to a target.
fn prepare(parts: &mut request::Parts, caller: SocketAddr) -> Result<(), StatusCode> {
    // The end of an HTTP/1.0 answer can look like its abortion.
    if parts.version < Version::HTTP_11 {
        return Err(StatusCode::HTTP_VERSION_NOT_SUPPORTED);
    }
    if parts.method == Method::CONNECT {
        return Err(StatusCode::NOT_IMPLEMENTED);
    }
    header::strip_internal(&mut parts.headers);
    header::strip_hop(&mut parts.headers);
    // `hyper` has told the caller to continue.
    parts.headers.remove(standard::EXPECT);
    let host = parts.headers.remove(standard::HOST);
    let host = host.and_then(|host| host.to_str().ok()?.parse::<uri::Authority>().ok());
    let authority = parts.uri.authority().cloned().or(host);
    let path = match parts.uri.path_and_query() {
        Some(path) => path.clone(),
        None => uri::PathAndQuery::from_static("/"),
    };
    parts.uri = Uri::builder()
        .scheme(uri::Scheme::HTTP)
        .authority(authority.ok_or(StatusCode::BAD_REQUEST)?)
        .path_and_query(path)
        .build()
        .map_err(|_| StatusCode::BAD_REQUEST)?;
    let address = HeaderValue::from_str(&caller.ip().to_string());
    parts.headers.insert(
        header::FORWARDED_FOR,
        address.map_err(|_| StatusCode::BAD_REQUEST)?,
    );
    Ok(())
}
