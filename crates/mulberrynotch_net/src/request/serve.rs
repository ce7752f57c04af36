//! Server side of the connections of callers and peers, with graceful shutdown.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    server::conn::{
        http1,
        http2, //
    },
    service::service_fn, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo,
    TokioTimer, //
};
use mulberrynotch_register::model;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    time, //
};

use super::{
    Service,
    connection,
    drain,
    header,
    reply,
    rewind, //
};

/// Time limit for the first bytes of a caller's connection.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval of HTTP/2 PINGs that detect disconnected callers and peers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of concurrent streams per connection.
const MAX_STREAMS: u32 = 4_096;

/// Receive window of a caller's connection.
const CALLER_WINDOW_BYTES: u32 = 1_024 * 1_024;

/// Runs a connection until it ends, and starts its graceful shutdown when the process drains.
macro_rules! run_connection {
    ($service:expr, $connection:expr) => {{
        let mut connection = std::pin::pin!($connection);
        let mut stage = $service.stage.subscribe();
        let ended = tokio::select! {
            // Requests that have already arrived start before the graceful shutdown.
            biased;
            _ = connection.as_mut() => true,
            () = drain::until_closing(&mut stage) => false,
        };
        if !ended {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }};
}

impl Service {
    /// Serves a caller's connection to `address` until it ends.
    pub async fn serve_caller<S>(
        self: Arc<Self>,
        stream: S,
        caller: SocketAddr,
        address: SocketAddr,
    ) where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let mut stage = self.stage.subscribe();
        let detected = tokio::select! {
            () = drain::until_closing_unused(&mut stage) => return,
            detected = time::timeout(FIRST_BYTES_TIMEOUT, rewind::detect(stream)) => detected,
        };
        let Ok(Ok((stream, http2))) = detected else {
            return;
        };
        let service = self.clone();
        let handler = service_fn(move |request| {
            let service = service.clone();
            async move {
                // The register may have reassigned the address to another service since the accept.
                let mut response = match service.view().service_at(address) {
                    Some((id, model::Protocol::Http)) => {
                        service.clone().serve_request(request, caller, id).await
                    }
                    _ => {
                        let keyed = request.headers().contains_key(header::KEY);
                        reply::unavailable(Duration::from_secs(1), keyed)
                    }
                };
                if !http2 {
                    drain::set_close(*service.stage.borrow(), &mut response);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let stream = TokioIo::new(stream);
        if http2 {
            let builder = builder(CALLER_WINDOW_BYTES);
            run_connection!(self, builder.serve_connection(stream, handler));
        } else {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            run_connection!(self, builder.serve_connection(stream, handler));
        }
    }

    /// Serves the connection of the balancer `sender`, whose preface has been read, until it ends.
    pub async fn serve_peer<S>(self: Arc<Self>, stream: S, sender: Arc<str>)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let service = self.clone();
        let handler = service_fn(move |request| {
            let service = service.clone();
            async move { Ok::<_, Infallible>(service.serve_peer_request(request).await) }
        });
        let builder = builder(connection::CONNECTION_WINDOW_BYTES);
        run_connection!(
            self,
            builder.serve_connection(TokioIo::new(stream), handler)
        );
        drop(sender);
    }
}

fn builder(window: u32) -> http2::Builder<TokioExecutor> {
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(connection::STREAM_WINDOW_BYTES)
        .initial_connection_window_size(window);
    builder
}
