//! One request and its answer on an HTTP/2 connection, with the proof that a failure gives.

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
    line,
    upload::{
        Sending,
        Upload, //
    }, //
};

/// What lives until the answer of a request has ended.
pub(super) struct Progress(
    #[expect(dead_code, reason = "held for its drop")] Option<Sending>,
    #[expect(dead_code, reason = "held for its drop")] connection::Usage,
);

/// What is known of the runs of a request.
#[derive(Debug, Default)]
pub(super) struct Trace {
    in_flight: AtomicBool,
    unknown: AtomicBool,
}

impl Trace {
    /// A request has left the process.
    pub(super) fn sent(&self) {
        self.in_flight.store(true, Ordering::Relaxed);
    }

    /// The attempt was proven not to have run.
    pub(super) fn not_run(&self) {
        self.in_flight.store(false, Ordering::Relaxed);
    }

    /// The attempt ended without proof.
    pub(super) fn unknown(&self) {
        self.unknown.store(true, Ordering::Relaxed);
    }

    /// True when some attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) || self.unknown.load(Ordering::Relaxed)
    }
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Proof that the request was not run.
    NotRun,
    /// No proof.
    Unknown,
}

/// Sends a request and waits for the head of its answer; dropping the future cancels the stream.
///
/// # Errors
///
/// Fails with `NotRun` when nothing was sent, the stream was refused, or GOAWAY excluded it.
pub(super) async fn exchange(
    mut lease: connection::Lease,
    parts: &request::Parts,
    upload: &Upload,
    trace: &Trace,
) -> Result<(Response<RecvStream>, Progress), Failure> {
    let mut head = Request::new(());
    *head.method_mut() = parts.method.clone();
    *head.uri_mut() = parts.uri.clone();
    *head.headers_mut() = parts.headers.clone();
    let empty = upload.is_empty();
    trace.sent();
    let (answer, stream) = match lease.sender.send_request(head, empty) {
        Ok(sent) => sent,
        Err(error) => {
            line::exchange_failed(&parts.headers, &error, true);
            trace.not_run();
            return Err(Failure::NotRun);
        }
    };
    let sending = (!empty).then(|| upload.send(stream));
    match answer.await {
        Ok(answer) => Ok((answer, Progress(sending, lease.usage))),
        Err(error) => {
            let proven = proves_not_run(&error);
            line::exchange_failed(&parts.headers, &error, proven);
            if !proven {
                return Err(Failure::Unknown);
            }
            trace.not_run();
            Err(Failure::NotRun)
        }
    }
}

/// The length that the body of an answer must have, when the answer declares it.
pub(super) fn expected_length<B>(method: &Method, answer: &Response<B>) -> Option<u64> {
    if *method == Method::HEAD || answer.status() == StatusCode::NOT_MODIFIED {
        return None;
    }
    let length = answer.headers().get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

fn proves_not_run(error: &h2::Error) -> bool {
    // `h2` ends a stream with a remote GOAWAY only when its id is above the last stream id.
    error.is_remote() && (error.is_go_away() || error.reason() == Some(h2::Reason::REFUSED_STREAM))
}
