//! Transfers of the register and of member entries between balancers over TCP.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::{
    control,
    envelope,
    stream, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

use crate::{
    core,
    document,
    preface, //
};

/// Largest snapshot; the platform stores values of up to 1 MB.
const MAX_BYTES: u64 = 4 << 20;

/// Time limit for a transfer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the register as one sealed postcard message and closes the stream.
///
/// # Errors
///
/// Fails when the stream fails or the transfer takes too long.
pub async fn serve(
    stream: &mut TcpStream,
    core: &core::Core,
    register: &model::Register,
) -> io::Result<()> {
    send(stream, core, register).await
}

/// Sends `value` as one sealed postcard message and closes the stream.
///
/// # Errors
///
/// Fails like [`serve`].
pub async fn send<T: serde::Serialize>(
    stream: &mut TcpStream,
    core: &core::Core,
    value: &T,
) -> io::Result<()> {
    let content = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let sealed = core.keyring.seal(&core.me, &content);
    let send = async {
        stream.write_all(&sealed).await?;
        stream.shutdown().await
    };
    tokio::time::timeout(TIMEOUT, send).await?
}

/// Fetches the register of a peer and validates it.
///
/// # Errors
///
/// Fails when the peer cannot be reached or its register is not valid.
pub async fn fetch(core: &core::Core, from: SocketAddr) -> io::Result<model::Register> {
    let fetch = async {
        let mut stream = connect(core, from, &stream::Preface::Snapshot).await?;
        read(&mut stream, &core.keyring).await
    };
    tokio::time::timeout(TIMEOUT, fetch).await?
}

/// Fetches the member entries that `preface` requests from a peer.
///
/// # Errors
///
/// Fails when the peer cannot be reached or does not answer.
pub async fn fetch_members(
    core: &core::Core,
    from: SocketAddr,
    preface: &stream::Preface,
) -> io::Result<Vec<control::Member>> {
    let fetch = async {
        let mut stream = connect(core, from, preface).await?;
        read_sealed(&mut stream, &core.keyring).await
    };
    tokio::time::timeout(TIMEOUT, fetch).await?
}

async fn connect(
    core: &core::Core,
    from: SocketAddr,
    preface: &stream::Preface,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(from).await?;
    preface::write(&mut stream, &core.keyring, &core.me, preface)
        .await
        .map_err(io::Error::other)?;
    Ok(stream)
}

/// Reads a sealed register up to the end of the stream and validates it.
///
/// # Errors
///
/// Fails when the stream fails, or the register is not authentic or not valid.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    keyring: &envelope::Keyring,
) -> io::Result<model::Register> {
    let register = read_sealed(stream, keyring).await?;
    document::checked(register).map_err(io::Error::other)
}

/// Reads a sealed postcard message up to the end of the stream.
async fn read_sealed<T: serde::de::DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    keyring: &envelope::Keyring,
) -> io::Result<T> {
    let mut sealed = Vec::new();
    stream.take(MAX_BYTES).read_to_end(&mut sealed).await?;
    let (_, content) = keyring.open(&sealed).map_err(io::Error::other)?;
    postcard::from_bytes(content).map_err(io::Error::other)
}
