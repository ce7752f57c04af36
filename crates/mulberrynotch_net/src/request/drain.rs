//! Graceful shutdown of the connections of callers and peers.

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

/// Time that an unused connection stays open after the process starts to close its connections: a
/// connection accepted just before may have its first request in flight.
const UNUSED_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Stage of the graceful shutdown of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Normal operation.
    Serving,
    /// HTTP/1.1 responses carry `connection: close`. HTTP/1.1 has no other shutdown signal: closing
    /// an idle connection races with a request in flight, whose caller cannot know whether it ran.
    Leaving,
    /// Idle connections are closed at once, others after their requests.
    Closing,
}

/// Waits for [`Stage::Closing`], or until the service is dropped.
pub(super) async fn until_closing(stage: &mut watch::Receiver<Stage>) {
    // An error means that the service, which owns the sender, was dropped.
    let _ = stage.wait_for(|stage| *stage == Stage::Closing).await;
}

/// Waits until a connection that has not received any bytes should be closed.
pub(super) async fn until_closing_unused(stage: &mut watch::Receiver<Stage>) {
    until_closing(stage).await;
    time::sleep(UNUSED_GRACE_PERIOD).await;
}

/// Adds `connection: close` to an HTTP/1.1 response unless the process is in normal operation.
pub(super) fn set_close<T>(stage: Stage, response: &mut Response<T>) {
    if stage != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
}
