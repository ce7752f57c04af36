//! Attempt loop: sends a request to the owners of targets until one returns a response.

use std::sync::Arc;

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
    counter,
    exchange::Trace,
    header,
    keys::RETRY_AFTER,
    lock,
    log,
    owner::Attempted,
    reply,
    upload::Upload, //
};

/// A target to try.
struct Choice {
    target: id::Target,
    owner: Arc<str>,
    /// True when the owner may queue the request.
    queue: bool,
}

/// An attempt that produced no final response for the caller.
struct Failure {
    outcome: Outcome,
    /// Name of the outcome in the log.
    name: &'static str,
    /// Response of a target that shed the request; returned if no other target runs it.
    response: Option<Box<Response<Body>>>,
}

/// Returns the response for a request without further attempts.
fn no_response(trace: &Trace) -> Response<Body> {
    if trace.may_have_run() {
        reply::unknown()
    } else {
        reply::refused(RETRY_AFTER)
    }
}

impl Service {
    /// Makes attempts until one returns a response or the deadline passes.
    ///
    /// The returned trace tells whether a request without a response may have run.
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
        let response = time::timeout(self.remaining(request.deadline), attempts).await;
        let mut response =
            response.unwrap_or_else(|_| reply::deadline_exceeded(trace.may_have_run()));
        response.body_mut().guard(admitted);
        (response, trace)
    }

    async fn attempts(
        self: &Arc<Self>,
        admitted: &mut Admitted,
        request: &policy::Request,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Response<Body> {
        let (mut last, mut held, mut number) = (None, None, 0);
        let mut history = log::History::default();
        let fallback = loop {
            let choice = match self.next_target(admitted, last.take(), trace).await {
                Ok(choice) => choice,
                Err(response) => break response,
            };
            number += 1;
            counter::count_attempt(number);
            let command = header::Attempt {
                service: request.service,
                target: choice.target,
                class: request.class,
                queue: choice.queue,
                remaining: self.remaining(request.deadline),
            };
            let started_at = self.now();
            let attempt = self.attempt(&choice.owner, &command, parts, upload, trace);
            let failure = match self.evaluate(attempt.await, &command, request, upload, trace) {
                Ok(response) => return response,
                Err(failure) => failure,
            };
            let took = self.now().saturating_sub(started_at);
            history.add(&self.target_name(choice.target), took, failure.name);
            held = failure.response.or(held);
            last = Some(failure.outcome);
            let may_retry = !trace.may_have_run() || request.idempotent;
            if upload.is_consumed() || !may_retry {
                break no_response(trace);
            }
        };
        let mut response = held.map_or(fallback, |response| *response);
        response.extensions_mut().insert(history);
        response
    }

    /// Returns the next target for a request, given the outcome of the last attempt.
    ///
    /// # Errors
    ///
    /// Fails with the response for the caller when no attempt is left.
    async fn next_target(
        &self,
        admitted: &mut Admitted,
        mut last: Option<Outcome>,
        trace: &Trace,
    ) -> Result<Choice, Response<Body>> {
        loop {
            match admitted.next(last.take()) {
                Some(Step::Try {
                    target,
                    owner,
                    queue,
                }) => {
                    return Ok(Choice {
                        target,
                        owner,
                        queue,
                    });
                }
                Some(Step::Wait { until }) => time::sleep(self.remaining(until)).await,
                Some(Step::Refuse { retry_after }) if !trace.may_have_run() => {
                    return Err(reply::refused(retry_after));
                }
                Some(Step::Refuse { .. } | Step::Unknown) | None => return Err(no_response(trace)),
            }
        }
    }

    /// Returns the response of an attempt if it is final.
    ///
    /// # Errors
    ///
    /// Fails when there is no response, or when the target shed a request that may be retried.
    fn evaluate(
        &self,
        attempted: Attempted,
        command: &header::Attempt,
        request: &policy::Request,
        upload: &Upload,
        trace: &Trace,
    ) -> Result<Response<Body>, Failure> {
        let (outcome, name, response) = match attempted {
            Attempted::Response(response, free) => {
                lock(&self.ingress).record_load(self.now(), command.target, free);
                let shed = response.status() == StatusCode::SERVICE_UNAVAILABLE;
                if !shed || !request.idempotent || upload.is_consumed() {
                    return Ok(*response);
                }
                (Outcome::Unknown, "shed", Some(response))
            }
            Attempted::NotRun(true) => (Outcome::NotRun { busy: true }, "busy", None),
            Attempted::NotRun(false) => (Outcome::NotRun { busy: false }, "not-reached", None),
            Attempted::Unknown => (Outcome::Unknown, "unknown", None),
        };
        match outcome {
            Outcome::NotRun { .. } => trace.record_not_run(),
            Outcome::Unknown | Outcome::Answered { .. } => trace.record_unknown(),
        }
        Err(Failure {
            outcome,
            name,
            response,
        })
    }

    fn target_name(&self, target: id::Target) -> Arc<str> {
        let view = self.view();
        view.target(target)
            .map_or_else(|| "-".into(), |entry| entry.name.clone())
    }

    async fn attempt(
        self: &Arc<Self>,
        owner: &str,
        command: &header::Attempt,
        parts: &request::Parts,
        upload: &Upload,
        trace: &Trace,
    ) -> Attempted {
        if *owner == *self.config.me {
            self.run_owned(command, parts, upload, trace).await
        } else {
            self.run_at_peer(owner, command, parts, upload, trace).await
        }
    }
}
