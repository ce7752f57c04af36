//! Request bodies: buffered for retries, or streamed once.

use std::{
    future::poll_fn,
    sync::{
        Arc,
        Mutex, //
    }, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use h2::SendStream;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Incoming, //
};
use tokio::task;

use super::{
    error::Error,
    lock, //
};

/// Largest body of a request with a key, which is buffered because its digest is needed before it
/// is sent.
pub(super) const MAX_KEYED_BYTES: usize = 256 * 1_024;

/// Largest body that is buffered for retries.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1_024;

/// Request body.
pub(super) enum Upload {
    /// Buffered; can be sent repeatedly.
    Buffered(Bytes, Option<HeaderMap>),
    /// Can be sent again only while nothing beyond the first bytes has been read from the caller.
    Streamed(Arc<Stream>),
}

/// The buffered first bytes of a body, and the rest until a transfer takes it.
pub(super) struct Stream {
    first: Bytes,
    rest: Mutex<Option<Incoming>>,
}

impl Upload {
    /// Reads up to `limit` bytes; buffers the body if it ends within them, otherwise streams it.
    ///
    /// # Errors
    ///
    /// Fails when the body ends before it is complete.
    pub(super) async fn read(mut body: Incoming, limit: usize) -> Result<Self, Error> {
        let mut data = BytesMut::new();
        let mut trailers = None;
        while let Some(frame) = body.frame().await {
            match frame.map_err(|_| Error::Request)?.into_data() {
                Ok(chunk) => data.extend_from_slice(&chunk),
                Err(frame) => trailers = frame.into_trailers().ok(),
            }
            // The first bytes exceed an owner's window; the rest is read only when the owner reads.
            if data.len() > limit {
                return Ok(Self::streamed(data.freeze(), body));
            }
        }
        Ok(Self::Buffered(data.freeze(), trailers))
    }

    /// Streams a body that the sending balancer buffers for retries.
    pub(super) fn stream(body: Incoming) -> Self {
        if body.is_end_stream() {
            Self::Buffered(Bytes::new(), None)
        } else {
            Self::streamed(Bytes::new(), body)
        }
    }

    fn streamed(first: Bytes, rest: Incoming) -> Self {
        let rest = Mutex::new(Some(rest));
        Self::Streamed(Arc::new(Stream { first, rest }))
    }

    /// Returns true when the body cannot be sent again.
    pub(super) fn is_consumed(&self) -> bool {
        match self {
            Self::Buffered(..) => false,
            Self::Streamed(stream) => lock(&stream.rest).is_none(),
        }
    }

    /// Returns true when the body is known to be empty.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Buffered(data, None) if data.is_empty())
    }

    /// Sends the body; dropping the returned value stops the streaming.
    pub(super) fn send(&self, stream: SendStream<Bytes>) -> Sending {
        match self {
            Self::Buffered(data, trailers) => {
                send_buffered(stream, data.clone(), trailers.clone());
                Sending(None)
            }
            Self::Streamed(body) => {
                let task = task::spawn(send_streamed(stream, body.clone()));
                Sending(Some(task))
            }
        }
    }
}

/// A body transfer in progress; dropping it stops the transfer.
pub(super) struct Sending(Option<task::JoinHandle<()>>);

impl Drop for Sending {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

fn send_buffered(mut stream: SendStream<Bytes>, data: Bytes, trailers: Option<HeaderMap>) {
    // The error of a closed stream is reported by the response future.
    let Some(trailers) = trailers else {
        let _ = stream.send_data(data, true);
        return;
    };
    if stream.send_data(data, false).is_ok() {
        let _ = stream.send_trailers(trailers);
    }
}

async fn send_streamed(mut stream: SendStream<Bytes>, body: Arc<Stream>) {
    if transfer(&mut stream, &body).await.is_none() {
        stream.send_reset(h2::Reason::CANCEL);
    }
}

async fn transfer(stream: &mut SendStream<Bytes>, body: &Stream) -> Option<()> {
    send_chunk(stream, body.first.clone()).await?;
    let mut rest = lock(&body.rest).take()?;
    while let Some(frame) = rest.frame().await {
        match frame.ok()?.into_data() {
            Ok(chunk) => send_chunk(stream, chunk).await?,
            Err(frame) => return stream.send_trailers(frame.into_trailers().ok()?).ok(),
        }
    }
    stream.send_data(Bytes::new(), true).ok()
}

async fn send_chunk(stream: &mut SendStream<Bytes>, mut chunk: Bytes) -> Option<()> {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len());
        let capacity = poll_fn(|context| stream.poll_capacity(context))
            .await?
            .ok()?;
        let part = chunk.split_to(capacity.min(chunk.len()));
        stream.send_data(part, false).ok()?;
    }
    Some(())
}
