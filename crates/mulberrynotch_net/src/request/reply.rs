//! Answers that the balancer makes itself.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};

use super::{
    body::Body,
    header as own, //
};

/// Body of the answer to a request with a key whose outcome its home will tell.
const SAFE_RESEND: &[u8] =
    b"Whether this request ran is not known here. Sending it again with the \
same idempotency key is safe; a new key may run it twice.\n";

/// What the caller may rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran; its answer is no longer held.
    Done,
}

impl Outcome {
    /// Value of the outcome header and of the metrics label.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        }
    }
}

/// An answer without a body.
pub(super) fn make(status: StatusCode, outcome: Outcome) -> Response<Body> {
    let mut answer = Response::new(Body::whole(Bytes::new()));
    *answer.status_mut() = status;
    let outcome = HeaderValue::from_static(outcome.as_str());
    answer.headers_mut().insert(own::OUTCOME, outcome);
    answer
}

/// The request was not run; the caller may come back after `retry_after`.
pub(super) fn refused(retry_after: Duration) -> Response<Body> {
    let mut answer = make(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun);
    answer
        .headers_mut()
        .insert(header::RETRY_AFTER, seconds(retry_after));
    answer
}

/// The request with a key does not run here, and whether another copy ran is not known here.
pub(super) fn retry(retry_after: Duration) -> Response<Body> {
    let mut answer = make(StatusCode::SERVICE_UNAVAILABLE, Outcome::Unknown);
    *answer.body_mut() = Body::whole(Bytes::from_static(SAFE_RESEND));
    let headers = answer.headers_mut();
    headers.insert(header::RETRY_AFTER, seconds(retry_after));
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, text);
    answer
}

/// The answer to a request that was not sent to a target here. For a request with a key it says
/// nothing of other copies, which may have run.
pub(super) fn turned_away(status: StatusCode, keyed: bool) -> Response<Body> {
    let outcome = if keyed {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    make(status, outcome)
}

/// The caller may come back; for a request with a key, with the same key.
pub(super) fn come_back(retry_after: Duration, keyed: bool) -> Response<Body> {
    if keyed {
        retry(retry_after)
    } else {
        refused(retry_after)
    }
}

/// Whether the request ran is not known.
pub(super) fn unknown() -> Response<Body> {
    make(StatusCode::BAD_GATEWAY, Outcome::Unknown)
}

/// The deadline has passed.
pub(super) fn late(may_have_run: bool) -> Response<Body> {
    let outcome = if may_have_run {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    make(StatusCode::GATEWAY_TIMEOUT, outcome)
}

/// The request ran and was answered with `status`, but the answer is no longer held.
pub(super) fn done(status: u16) -> Response<Body> {
    let mut answer = make(StatusCode::CONFLICT, Outcome::Done);
    answer
        .headers_mut()
        .insert(own::STATUS, HeaderValue::from(status));
    answer
}

/// Value of `retry-after`, in whole seconds.
fn seconds(time: Duration) -> HeaderValue {
    let whole = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    HeaderValue::from(whole.max(1))
}
