//! First frame of a TCP connection between balancers: a length and a sealed preface.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_wire::{
    envelope,
    stream::Preface, //
};
use quick_error::quick_error;
use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt, //
    },
    time, //
};

/// Largest sealed preface.
pub const MAX_BYTES: usize = 4_096;

/// Time limit for reading or writing a preface.
pub const TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Reasons for a preface that was not read or written.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Io(error: io::Error) {
            from()
            display("connection failed before its preface: {}", error)
        }
        /// The preface took longer than [`TIMEOUT`].
        Timeout {
            from(time::error::Elapsed)
            display("preface timed out; check that only balancers connect to the peer address")
        }
        /// The preface is longer than [`MAX_BYTES`].
        TooLong(bytes: usize) {
            display("preface has {} bytes, which is above the limit; check that all balancers run compatible versions", bytes)
        }
        /// The envelope is not authentic.
        Envelope(error: envelope::Error) {
            from()
            display("{}", error)
        }
        /// The content does not encode or decode.
        Malformed(error: postcard::Error) {
            from()
            display("preface does not decode: {}; check that all balancers run compatible versions", error)
        }
    }
}

/// Encodes and seals `preface`, with its length as prefix.
///
/// # Errors
///
/// Fails when the preface does not encode or is longer than [`MAX_BYTES`].
pub fn frame(keyring: &envelope::Keyring, me: &str, preface: &Preface) -> Result<Vec<u8>, Error> {
    let sealed = keyring.seal(me, &postcard::to_stdvec(preface)?);
    let length = u16::try_from(sealed.len()).ok();
    let length = length
        .filter(|length| usize::from(*length) <= MAX_BYTES)
        .ok_or(Error::TooLong(sealed.len()))?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&sealed);
    Ok(frame)
}

/// Writes the preface on a connection that `me` opened.
///
/// # Errors
///
/// Fails when the connection fails or takes longer than [`TIMEOUT`].
pub async fn write<S>(
    stream: &mut S,
    keyring: &envelope::Keyring,
    me: &str,
    preface: &Preface,
) -> Result<(), Error>
where
    S: AsyncWrite + Unpin,
{
    let frame = frame(keyring, me, preface)?;
    time::timeout(TIMEOUT, stream.write_all(&frame)).await??;
    Ok(())
}

/// Reads the preface of an accepted connection and returns it with the authenticated sender.
///
/// # Errors
///
/// Fails when the preface is late, too long, not authentic or does not decode.
pub async fn read<S>(
    stream: &mut S,
    keyring: &envelope::Keyring,
) -> Result<(Arc<str>, Preface), Error>
where
    S: AsyncRead + Unpin,
{
    let sealed = time::timeout(TIMEOUT, read_frame(stream)).await??;
    let (sender, content) = keyring.open(&sealed)?;
    Ok((Arc::from(sender), postcard::from_bytes(content)?))
}

async fn read_frame<S>(stream: &mut S) -> Result<Vec<u8>, Error>
where
    S: AsyncRead + Unpin,
{
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_BYTES {
        return Err(Error::TooLong(length));
    }
    let mut sealed = vec![0; length];
    stream.read_exact(&mut sealed).await?;
    Ok(sealed)
}
