//! Small HTTP client for the platform and for load reports.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use http_body_util::{
    BodyExt,
    Empty,
    Limited, //
};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection, or it broke.
        Io(error: io::Error) {
            from()
            source(error)
            display("connection failed: {}", error)
        }
        /// Not HTTP.
        Protocol(error: hyper::Error) {
            from()
            source(error)
            display("response is not valid HTTP: {}", error)
        }
        /// The answer is too long or broke off.
        Body {
            display("response is incomplete or too long")
        }
        /// No answer in time.
        TimedOut {
            display("no response in time")
        }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Body.
    pub body: bytes::Bytes,
}

/// Gets `path` from `address`, with a body of at most `limit` bytes, within `timeout`.
///
/// # Errors
///
/// Fails when there is no complete answer in time.
pub async fn get(
    address: SocketAddr,
    path: &str,
    limit: usize,
    timeout: Duration,
) -> Result<Response, Error> {
    tokio::time::timeout(timeout, call(address, path, limit))
        .await
        .map_err(|_| Error::TimedOut)?
}

async fn call(address: SocketAddr, path: &str, limit: usize) -> Result<Response, Error> {
    let stream = TokioIo::new(TcpStream::connect(address).await?);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
    let request = http::Request::get(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONNECTION, "close")
        .body(Empty::<bytes::Bytes>::new())
        .map_err(|error| Error::Io(io::Error::other(error)))?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), limit);
        let body = body.collect().await.map_err(|_| Error::Body)?.to_bytes();
        Ok(Response { status, body })
    };
    // The connection makes progress only while it is polled, and may end before the exchange.
    tokio::pin!(exchange);
    tokio::select! {
        answer = &mut exchange => return answer,
        ended = connection => ended?,
    }
    exchange.await
}
