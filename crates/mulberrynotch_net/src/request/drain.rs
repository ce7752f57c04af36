//! Graceful end of the connections of callers and peers.

use std::time::Duration;

use http::{
    HeaderValue,
    Response,
    header, //
};
use tokio::{
    sync::watch,
    time, //
};

/// Wait for the first bytes of a connection that was accepted just before the process closes its
/// connections: its first request may be on the way.
const LATE_BYTES: Duration = Duration::from_millis(500);

/// How far the graceful shutdown of the process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No shutdown.
    Serving,
    /// Callers over HTTP/1.1 are told with each answer to use another connection. HTTP/1.1 has no
    /// other way to say so: a connection that is closed while it is idle may meet a request on its
    /// way, whose caller cannot know whether it ran.
    Leaving,
    /// Idle connections are closed, and others after their requests.
    Closing,
}

/// Waits until connections are to be closed; also ends when the process is gone.
pub(super) async fn closing(stage: &mut watch::Receiver<Stage>) {
    // An error means that the sender is gone with the service.
    let _ = stage.wait_for(|stage| *stage == Stage::Closing).await;
}

/// Waits until a connection without any bytes is to be closed.
pub(super) async fn closing_unused(stage: &mut watch::Receiver<Stage>) {
    closing(stage).await;
    time::sleep(LATE_BYTES).await;
}

/// Asks the caller of an HTTP/1.1 answer to use another connection, if the process leaves.
pub(super) fn mark<T>(stage: Stage, answer: &mut Response<T>) {
    if stage != Stage::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
}
