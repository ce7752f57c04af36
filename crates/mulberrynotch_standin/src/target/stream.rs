//! TCP flows: a greeting line with the instance and the caller address, then an echo.

use std::{
    io,
    net::SocketAddr,
    sync::Arc, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

use crate::{
    proxy,
    task::Group, //
};

use super::Shared;

/// Size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

pub(super) async fn start(
    tasks: &Group,
    shared: Arc<Shared>,
    address: SocketAddr,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tasks.spawn(async move {
        let flows = Group::default();
        loop {
            if let Ok((stream, caller)) = listener.accept().await {
                let shared = shared.clone();
                flows.spawn(async move {
                    // An error means that either side closed the flow.
                    let _ = serve(&shared, stream, caller).await;
                });
            }
        }
    });
    Ok(())
}

async fn serve(shared: &Shared, mut stream: TcpStream, peer: SocketAddr) -> io::Result<()> {
    let caller = if proxy::starts_with_header(&stream).await? {
        proxy::read_header(&mut stream).await?.source
    } else {
        peer
    };
    stream.set_nodelay(true)?;
    shared.count(|counts| {
        counts.tcp_flows += 1;
        counts.tcp_open += 1;
    });
    let result = echo(shared, &mut stream, caller).await;
    shared.count(|counts| counts.tcp_open -= 1);
    result
}

async fn echo(shared: &Shared, stream: &mut TcpStream, caller: SocketAddr) -> io::Result<()> {
    let greeting = format!("{} {caller}\n", shared.instance());
    stream.write_all(greeting.as_bytes()).await?;
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        shared.count(|counts| counts.tcp_bytes += u64::try_from(length).unwrap_or(0));
        if !shared.behaviour.borrow().silent {
            stream.write_all(&buffer[..length]).await?;
        }
    }
}
