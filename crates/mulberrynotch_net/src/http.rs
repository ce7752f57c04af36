//! Minimal HTTP/1.1 client for the platform and for load reports.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use http_body_util::{
    BodyExt,
    Empty,
    LengthLimitError,
    Limited, //
};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;

quick_error! {
    /// Reasons for a failed request.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be opened or failed.
        Io(error: io::Error) {
            from()
            source(error)
            display("connection failed: {}", error)
        }
        /// The response is not valid HTTP.
        Protocol(error: hyper::Error) {
            from()
            source(error)
            display("response is not valid HTTP: {}", error)
        }
        /// The response body is incomplete.
        Body {
            display("response is incomplete")
        }
        /// The response body is longer than the limit.
        TooLong {
            display("response is too long")
        }
        /// No complete response arrived within the time limit.
        TimedOut {
            display("no response in time")
        }
    }
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: http::StatusCode,
    /// Header fields.
    pub headers: http::HeaderMap,
    /// Complete body.
    pub body: bytes::Bytes,
}

/// Sends a GET request for `path` to `address`. The response body may have at most `limit` bytes.
///
/// # Errors
///
/// Fails when no complete response arrives within `timeout`.
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

fn body_error(error: Box<dyn std::error::Error + Send + Sync>) -> Error {
    match error.is::<LengthLimitError>() {
        true => Error::TooLong,
        false => Error::Body,
    }
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
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), limit);
        let body = body.collect().await.map_err(body_error)?.to_bytes();
        Ok(Response {
            status,
            headers,
            body,
        })
    };
    // The exchange needs the connection to be polled; the connection may finish before the exchange.
    tokio::pin!(exchange);
    tokio::select! {
        response = &mut exchange => return response,
        ended = connection => ended?,
    }
    exchange.await
}
