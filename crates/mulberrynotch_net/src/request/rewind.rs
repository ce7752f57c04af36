//! HTTP/2 detection by the connection preface.

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use tokio::io::{
    AsyncRead,
    AsyncReadExt,
    AsyncWrite,
    ReadBuf, //
};

/// Connection preface of an HTTP/2 client.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A stream that returns its already read first bytes again.
pub(super) struct Rewind<S> {
    stream: S,
    first: Vec<u8>,
    position: usize,
}

/// Reads until the protocol is known; the returned flag is true for HTTP/2.
///
/// # Errors
///
/// Fails when the stream fails or ends before its first byte.
pub(super) async fn detect<S>(mut stream: S) -> io::Result<(Rewind<S>, bool)>
where
    S: AsyncRead + Unpin,
{
    let mut first = Vec::with_capacity(PREFACE.len());
    let mut buffer = [0; PREFACE.len()];
    while first.len() < PREFACE.len() && PREFACE.starts_with(&first) {
        let room = PREFACE.len() - first.len();
        let count = stream.read(&mut buffer[..room]).await?;
        if count == 0 && first.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if count == 0 {
            break;
        }
        first.extend_from_slice(&buffer[..count]);
    }
    let http2 = first == PREFACE;
    let rewind = Rewind {
        stream,
        first,
        position: 0,
    };
    Ok((rewind, http2))
}

impl<S: AsyncRead + Unpin> AsyncRead for Rewind<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let rest = &self.first[self.position..];
        if rest.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let count = rest.len().min(buffer.remaining());
        buffer.put_slice(&rest[..count]);
        self.position += count;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Rewind<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
