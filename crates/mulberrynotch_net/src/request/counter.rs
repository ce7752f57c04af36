//! Metrics of requests and attempts.

use std::sync::Arc;

use http::Response;
use mulberrynotch_register::model;

use super::{
    body::Body,
    header, //
};

/// Counts one request of a caller; a drop without a response counts it as cancelled.
pub(super) struct Counter {
    service: Arc<str>,
    class: &'static str,
    finished: bool,
}

impl Counter {
    /// Creates the counter for a request to a service.
    pub(super) fn new(service: Arc<str>, class: model::Class) -> Self {
        let class = match class {
            model::Class::High => "high",
            model::Class::Normal => "normal",
            model::Class::Low => "low",
        };
        Self {
            service,
            class,
            finished: false,
        }
    }

    /// Counts the request by the outcome of its response.
    pub(super) fn finish(mut self, response: &Response<Body>) {
        self.finished = true;
        let outcome = match response.headers().get(header::OUTCOME) {
            Some(outcome) if outcome == "not-run" => "not-run",
            Some(outcome) if outcome == "done" => "done",
            Some(_) => "unknown",
            None => "answered",
        };
        self.count(outcome);
    }

    fn count(&self, outcome: &'static str) {
        metrics::counter!(
            "mulberrynotch_requests_total",
            "service" => self.service.clone(),
            "class" => self.class,
            "outcome" => outcome,
        )
        .increment(1);
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        if !self.finished {
            self.count("cancelled");
        }
    }
}

/// Counts the `number`-th attempt of a request; from the second on also as a retry.
pub(super) fn count_attempt(number: u32) {
    metrics::counter!("mulberrynotch_request_attempts_total").increment(1);
    if number > 1 {
        metrics::counter!("mulberrynotch_request_retries_total").increment(1);
    }
}
