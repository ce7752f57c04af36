//! One request and its response on an HTTP/2 connection.
//!
//! Failures are classified by whether they prove that the request did not run.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

use h2::RecvStream;
use http::{
    Method,
    Request,
    Response,
    StatusCode,
    header,
    request, //
};

use super::{
    connection,
    log,
    upload::{
        Sending,
        Upload, //
    }, //
};

/// Keeps the upload and the connection in use until the response has ended.
pub(super) struct Guard(
    #[expect(dead_code, reason = "held for its drop")] Option<Sending>,
    #[expect(dead_code, reason = "held for its drop")] connection::Usage,
);

/// Tracks whether any attempt of a request may have run.
#[derive(Debug, Default)]
pub(super) struct Trace {
    in_flight: AtomicBool,
    unknown: AtomicBool,
}

impl Trace {
    /// Records that an attempt is being sent.
    pub(super) fn record_sent(&self) {
        self.in_flight.store(true, Ordering::Relaxed);
    }

    /// Records that the attempt provably did not run.
    pub(super) fn record_not_run(&self) {
        self.in_flight.store(false, Ordering::Relaxed);
    }

    /// Records that the attempt ended without proof that it did not run.
    pub(super) fn record_unknown(&self) {
        self.unknown.store(true, Ordering::Relaxed);
    }

    /// Returns true when at least one attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) || self.unknown.load(Ordering::Relaxed)
    }
}

/// Failure of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request provably did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Sends a request and waits for the response head; dropping the future cancels the stream.
///
/// # Errors
///
/// Fails with `NotRun` when nothing was sent, the stream was refused, or GOAWAY excluded it, and
/// with `Unknown` after any other error.
pub(super) async fn exchange(
    mut lease: connection::Lease,
    parts: &request::Parts,
    upload: &Upload,
    trace: &Trace,
) -> Result<(Response<RecvStream>, Guard), Failure> {
    let mut head = Request::new(());
    *head.method_mut() = parts.method.clone();
    *head.uri_mut() = parts.uri.clone();
    *head.headers_mut() = parts.headers.clone();
    let empty = upload.is_empty();
    trace.record_sent();
    let (response, stream) = match lease.sender.send_request(head, empty) {
        Ok(sent) => sent,
        Err(error) => {
            log::exchange_failed(&parts.headers, &error, true);
            trace.record_not_run();
            return Err(Failure::NotRun);
        }
    };
    let sending = (!empty).then(|| upload.send(stream));
    match response.await {
        Ok(response) => Ok((response, Guard(sending, lease.usage))),
        Err(error) => {
            let proven = proves_not_run(&error);
            log::exchange_failed(&parts.headers, &error, proven);
            if !proven {
                return Err(Failure::Unknown);
            }
            trace.record_not_run();
            Err(Failure::NotRun)
        }
    }
}

/// Returns the declared length of the body of a response, or `None` without a declared body length.
pub(super) fn expected_length<B>(method: &Method, response: &Response<B>) -> Option<u64> {
    if *method == Method::HEAD || response.status() == StatusCode::NOT_MODIFIED {
        return None;
    }
    let length = response.headers().get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

fn proves_not_run(error: &h2::Error) -> bool {
    // `h2` fails a stream with a remote GOAWAY only when its id is above the last stream id.
    error.is_remote() && (error.is_go_away() || error.reason() == Some(h2::Reason::REFUSED_STREAM))
}
