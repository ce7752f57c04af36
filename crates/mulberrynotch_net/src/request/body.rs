//! Response bodies: fully buffered, or relayed with back-pressure.

use std::{
    any::Any,
    collections::VecDeque,
    fmt,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use bytes::Bytes;
use h2::RecvStream;
use http::HeaderMap;
use hyper::body::{
    Frame,
    SizeHint, //
};
use tokio::{
    sync::mpsc,
    time, //
};

use super::error::Error;

/// Time without progress after which a relay ends, so that a caller that stops reading does not
/// occupy a slot of a target.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How a relay ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The response was relayed completely.
    Complete,
    /// The reader disconnected.
    Cancelled,
    /// The sender reset or stalled the response, or the reader stalled.
    Broken,
}

enum Item {
    Frame(Frame<Bytes>),
    End,
}

enum Source {
    Full(Option<Bytes>),
    Relay(mpsc::Receiver<Item>),
    Finished,
}

/// Response body, with guards that live until the response is delivered.
pub(super) struct Body {
    first: VecDeque<Frame<Bytes>>,
    source: Source,
    guards: Vec<Box<dyn Any + Send>>,
}

impl Body {
    /// Creates a fully buffered body.
    pub(super) fn full(data: Bytes) -> Self {
        Self {
            first: VecDeque::new(),
            source: Source::Full(Some(data).filter(|data| !data.is_empty())),
            guards: Vec::new(),
        }
    }

    /// Keeps `guard` alive until the body is dropped.
    pub(super) fn guard(&mut self, guard: impl Any + Send) {
        self.guards.push(Box::new(guard));
    }

    /// Puts frames that were already read back in front of the body.
    pub(super) fn prepend(&mut self, frames: VecDeque<Frame<Bytes>>) {
        self.first = frames;
    }

    /// Returns the next frame; `None` after a complete response.
    pub(super) async fn next(&mut self) -> Option<Result<Frame<Bytes>, Error>> {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(frame) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let item = match &mut self.source {
            Source::Full(data) => {
                return Poll::Ready(data.take().map(|data| Ok(Frame::data(data))));
            }
            Source::Relay(items) => std::task::ready!(items.poll_recv(context)),
            Source::Finished => return Poll::Ready(None),
        };
        if let Some(Item::Frame(frame)) = item {
            return Poll::Ready(Some(Ok(frame)));
        }
        self.source = Source::Finished;
        // A channel closed without `End` means that the response is incomplete.
        Poll::Ready(item.is_none().then_some(Err(Error::Response)))
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Body")
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        self.poll_next(context)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && matches!(self.source, Source::Full(None) | Source::Finished)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Full(Some(data)) => SizeHint::with_exact(data.len() as u64),
            Source::Full(None) => SizeHint::with_exact(0),
            Source::Relay(_) | Source::Finished => SizeHint::default(),
        }
    }
}

/// Relays a received stream until it ends or the returned body is dropped.
///
/// `expected` is the declared length of the response. `on_end` is called with the way in which the
/// relay ended; `guard` is dropped before that call.
pub(super) fn relay(
    stream: RecvStream,
    expected: Option<u64>,
    guard: impl Any + Send,
    on_end: impl FnOnce(End) + Send + 'static,
) -> Body {
    let (items, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let complete = relay_frames(stream, expected, &items).await.is_some();
        drop(guard);
        on_end(match complete {
            true => End::Complete,
            false if items.is_closed() => End::Cancelled,
            false => End::Broken,
        });
        if complete {
            let _ = time::timeout(STALL_TIMEOUT, items.send(Item::End)).await;
        }
    });
    Body {
        first: VecDeque::new(),
        source: Source::Relay(receiver),
        guards: Vec::new(),
    }
}

async fn relay_frames(
    mut stream: RecvStream,
    expected: Option<u64>,
    items: &mpsc::Sender<Item>,
) -> Option<()> {
    let mut received = 0;
    while let Some(data) = next_data(&mut stream, items).await? {
        received += data.len() as u64;
        if expected.is_some_and(|expected| received > expected) {
            return None;
        }
        let bytes = data.len();
        deliver(items, Frame::data(data)).await?;
        let _ = stream.flow_control().release_capacity(bytes);
    }
    if expected.is_some_and(|expected| received != expected) {
        return None;
    }
    if let Some(trailers) = trailers(&mut stream, items).await? {
        deliver(items, Frame::trailers(trailers)).await?;
    }
    Some(())
}

async fn next_data(stream: &mut RecvStream, items: &mpsc::Sender<Item>) -> Option<Option<Bytes>> {
    tokio::select! {
        () = items.closed() => None,
        data = time::timeout(STALL_TIMEOUT, stream.data()) => data.ok()?.transpose().ok(),
    }
}

async fn trailers(
    stream: &mut RecvStream,
    items: &mpsc::Sender<Item>,
) -> Option<Option<HeaderMap>> {
    tokio::select! {
        () = items.closed() => None,
        trailers = time::timeout(STALL_TIMEOUT, stream.trailers()) => trailers.ok()?.ok(),
    }
}

async fn deliver(items: &mpsc::Sender<Item>, frame: Frame<Bytes>) -> Option<()> {
    let sent = time::timeout(STALL_TIMEOUT, items.send(Item::Frame(frame))).await;
    sent.ok()?.ok()
}
