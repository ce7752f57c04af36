//! Attempts of a request at the owners of targets.

use std::{
    sync::Arc,
    time::Duration, //
};

use http::{
    Response,
    StatusCode,
    request, //
};
use mulberrynotch_policy::request::{
    self as policy,
    Outcome,
    Step, //
};
use mulberrynotch_register::id;
use tokio::time;

use super::{
    Service,
    admitted::Admitted,
    body::Body,
    exchange::Trace,
    header,
    line,
    lock,
    owner::Attempted,
    record,
    reply,
    upload::Upload, //
};

/// When a caller may come back whose request had no attempt left.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Service {
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
            record::attempt(attempts);
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
