//! Bidirectional copy of the bytes of a flow.

use std::{
    future,
    io, //
};

use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

/// Maximum buffer size per direction; a slow reader applies back-pressure to the writer.
pub const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Buffer size per direction of an idle flow; a process has tens of thousands of such flows.
const IDLE_BUFFER_BYTES: usize = 1 << 10;

/// Copies in both directions until both sides have ended their direction, or one of them fails.
///
/// The end of one direction is forwarded at once and leaves the other direction open. `permitted`
/// is awaited before each write to `target`; `answered` is called for each read from it.
///
/// # Errors
///
/// Fails when either connection fails, or with the error of `permitted`.
pub async fn bidirectional<F: Future<Output = io::Result<()>>>(
    caller: &mut TcpStream,
    target: &mut TcpStream,
    permitted: impl FnMut() -> F,
    mut answered: impl FnMut(),
) -> io::Result<()> {
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_target, mut to_target) = target.split();
    tokio::try_join!(
        unidirectional(&mut from_caller, &mut to_target, permitted),
        unidirectional(&mut from_target, &mut to_caller, || {
            answered();
            future::ready(Ok(()))
        }),
    )?;
    Ok(())
}

/// Copies from `from` to `to` until `from` ends, then shuts down `to`; `permitted` is awaited
/// between each read and its write.
///
/// # Errors
///
/// Fails when either side fails, or with the error of `permitted`.
pub async fn unidirectional<F: Future<Output = io::Result<()>>>(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut permitted: impl FnMut() -> F,
) -> io::Result<()> {
    let mut buffer = vec![0; IDLE_BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        permitted().await?;
        to.write_all(&buffer[..length]).await?;
        if length == buffer.len() && length < MAX_BUFFER_BYTES {
            buffer = vec![0; 2 * length];
        } else if length < buffer.len() / 4 && buffer.len() > IDLE_BUFFER_BYTES {
            buffer = vec![0; buffer.len() / 2];
        }
    }
}
