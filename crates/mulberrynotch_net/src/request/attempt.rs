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
    exchange::Trace,
    header,
    keys::RETRY_AFTER,
    line,
    lock,
    owner::Attempted,
    record,
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
    answer: Option<Box<Response<Body>>>,
}

/// Returns the response for a request without further attempts.
fn no_answer(trace: &Trace) -> Response<Body> {
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
        let (mut last, mut held, mut number) = (None, None, 0);
        let mut history = line::History::default();
        let unanswered = loop {
            let choice = match self.next_target(admitted, last.take(), trace).await {
                Ok(choice) => choice,
                Err(answer) => break answer,
            };
            number += 1;
            record::attempt(number);
            let order = header::Attempt {
                service: request.service,
                target: choice.target,
                class: request.class,
                queue: choice.queue,
                remaining: self.remaining(request.deadline),
            };
            let began = self.now();
            let attempt = self.attempt(&choice.owner, &order, parts, upload, trace);
            let failure = match self.judge(attempt.await, &order, request, upload, trace) {
                Ok(answer) => return answer,
                Err(failure) => failure,
            };
            let took = self.now().saturating_sub(began);
            history.add(&self.name_of(choice.target), took, failure.name);
            held = failure.answer.or(held);
            last = Some(failure.outcome);
            let again = !trace.may_have_run() || request.idempotent;
            if upload.is_spent() || !again {
                break no_answer(trace);
            }
        };
        let mut answer = held.map_or(unanswered, |answer| *answer);
        answer.extensions_mut().insert(history);
        answer
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
                Some(Step::Refuse { .. } | Step::Unknown) | None => return Err(no_answer(trace)),
            }
        }
    }

    /// Returns the response of an attempt if it is final.
    ///
    /// # Errors
    ///
    /// Fails when there is no response, or when the target shed a request that may be retried.
    fn judge(
        &self,
        attempted: Attempted,
        order: &header::Attempt,
        request: &policy::Request,
        upload: &Upload,
        trace: &Trace,
    ) -> Result<Response<Body>, Failure> {
        let (outcome, name, answer) = match attempted {
            Attempted::Answer(answer, free) => {
                lock(&self.entry).record_load(self.now(), order.target, free);
                let shed = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
                if !shed || !request.idempotent || upload.is_spent() {
                    return Ok(*answer);
                }
                (Outcome::Unknown, "shed", Some(answer))
            }
            Attempted::NotRun(true) => (Outcome::NotRun { busy: true }, "busy", None),
            Attempted::NotRun(false) => (Outcome::NotRun { busy: false }, "not-reached", None),
            Attempted::Unknown => (Outcome::Unknown, "unknown", None),
        };
        match outcome {
            Outcome::NotRun { .. } => trace.not_run(),
            Outcome::Unknown | Outcome::Answered { .. } => trace.unknown(),
        }
        Err(Failure {
            outcome,
            name,
            answer,
        })
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
