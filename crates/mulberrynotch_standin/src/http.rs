//! Minimal HTTP/1.1 server and client for stand-ins and their control interfaces.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    client,
    server,
    service, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time, //
};

use crate::task;

/// Time limit of a client call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Response of a server.
pub type Answer = Response<Full<Bytes>>;

/// Serves requests with complete bodies until the task is dropped.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let handler = Arc::new(handler);
    let connections = task::Group::default();
    while let Ok((stream, _)) = listener.accept().await {
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service::service_fn(move |request: Request<hyper::body::Incoming>| {
                let handler = handler.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let answer = match body.collect().await {
                        Ok(body) => handler(Request::from_parts(head, body.to_bytes())).await,
                        Err(_) => status(StatusCode::BAD_REQUEST),
                    };
                    Ok::<_, Infallible>(answer)
                }
            });
            // A connection that the client closes is no error.
            let _ = server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Returns the value of a query parameter.
pub fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().map(|(_, value)| value)
}

/// Returns an empty response with the given status.
pub fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Returns a response with a JSON body.
pub fn json<T: serde::Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::from(body)),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Parses a JSON body and passes it to `change`; a malformed body gives a 400 response.
pub fn apply<T: serde::de::DeserializeOwned>(body: &[u8], change: impl FnOnce(T)) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => {
            change(value);
            status(StatusCode::NO_CONTENT)
        }
        Err(error) => {
            let mut answer = Response::new(Full::from(error.to_string()));
            *answer.status_mut() = StatusCode::BAD_REQUEST;
            answer
        }
    }
}

/// Sends one request and returns the body of a successful response.
///
/// # Errors
///
/// Fails when no complete response arrives within five seconds, or when its status is no success.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> io::Result<Bytes> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body.into()))
        .map_err(io::Error::other)?;
    match time::timeout(TIMEOUT, send(address, request)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Sends a GET request and parses the JSON response.
///
/// # Errors
///
/// As [`call`], and fails when the body does not parse as `T`.
pub async fn get<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> io::Result<T> {
    let body = call(address, Method::GET, path, Bytes::new()).await?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}

/// Sends a PUT request with a JSON body.
///
/// # Errors
///
/// As [`call`].
pub async fn put<T: serde::Serialize>(
    address: SocketAddr,
    path: &str,
    value: &T,
) -> io::Result<()> {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    call(address, Method::PUT, path, body).await.map(drop)
}

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<Bytes> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let connection = tokio::spawn(connection);
    let answer = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    let status = answer.status();
    let body = answer.into_body().collect().await.map_err(io::Error::other);
    connection.abort();
    if !status.is_success() {
        return Err(io::Error::other(format!("status {status}")));
    }
    Ok(body?.to_bytes())
}
