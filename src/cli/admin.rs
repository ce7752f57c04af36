//! Client for the admin address of a running process.

use std::{
    net::SocketAddr,
    process::ExitCode,
    time::Duration, //
};

use http_body_util::{
    BodyExt,
    Empty,
    Limited, //
};
use hyper::{
    Request,
    body::Bytes,
    client,
    header, //
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{
    net::TcpStream,
    time, //
};

/// Time limit for a request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer that is accepted.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Prints why a request failed and what to check, and returns the exit status.
pub(super) fn fail(admin: SocketAddr, error: &str) -> ExitCode {
    eprintln!(
        "{admin}: {error}; check that the process runs and that this is its \"admin_address\""
    );
    ExitCode::FAILURE
}

/// Returns the JSON that a running process serves at a path.
///
/// # Errors
///
/// Fails when the process does not answer in time, refuses the request or sends an answer that is
/// not JSON.
pub(super) fn get(admin: SocketAddr, path: &str) -> Result<Value, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let answer = runtime.block_on(async { time::timeout(TIMEOUT, fetch(admin, path)).await });
    let body = answer.map_err(|_| format!("no answer within {TIMEOUT:?}"))??;
    serde_json::from_slice(&body).map_err(|error| format!("answer is not JSON: {error}"))
}

async fn fetch(admin: SocketAddr, path: &str) -> Result<Bytes, String> {
    let stream = TcpStream::connect(admin)
        .await
        .map_err(|error| error.to_string())?;
    let (mut sender, connection) = client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let request = Request::get(path)
        .header(header::HOST, admin.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    let body = body.to_bytes();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        return Err(format!("answered with status {status}: {}", text.trim()));
    }
    Ok(body)
}
