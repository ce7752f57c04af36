//! Tests of the copy of bytes between the two connections of a TCP flow.

use std::{
    future,
    io,
    sync::{
        Arc, //
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration, //
};

use mulberrynotch_net::tcp::copy;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::JoinHandle, //
};

const WAIT: Duration = Duration::from_secs(10);

/// Capacity of an in-memory connection.
const PIPE_BYTES: usize = 1_024;

/// Number of chunks of `PIPE_BYTES` that the writer writes.
const CHUNKS: usize = 1_000;

/// Connects a caller and a target through a running copy.
async fn flow() -> (TcpStream, TcpStream, JoinHandle<io::Result<()>>) {
    let (caller, mut from_caller) = pair().await;
    let (target, mut to_target) = pair().await;
    let copy = tokio::spawn(async move {
        copy::bidirectional(
            &mut from_caller,
            &mut to_target,
            || future::ready(Ok(())),
            || {},
        )
        .await
    });
    (caller, target, copy)
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (connected.unwrap(), accepted.unwrap().0)
}

/// Guards against a half-close that ends the other direction or is not forwarded.
#[tokio::test]
async fn a_half_closed_flow_still_carries_the_answer() {
    let (mut caller, mut target, copy) = flow().await;
    let exchange = async {
        caller.write_all(b"question").await.unwrap();
        caller.shutdown().await.unwrap();
        let mut question = Vec::new();
        target.read_to_end(&mut question).await.unwrap();
        assert_eq!(question, b"question");
        target.write_all(b"answer").await.unwrap();
        target.shutdown().await.unwrap();
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).await.unwrap();
        assert_eq!(answer, b"answer");
        copy.await.unwrap().unwrap();
    };
    tokio::time::timeout(WAIT, exchange).await.unwrap();
}

/// Guards against bytes that a process read before a pause and writes after it by an outdated view.
#[tokio::test]
async fn bytes_wait_until_they_are_permitted() {
    let (mut caller, mut from_caller) = tokio::io::duplex(PIPE_BYTES);
    let (mut to_target, mut target) = tokio::io::duplex(PIPE_BYTES);
    let (permit, permitted) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let wait = || {
            let mut permitted = permitted.clone();
            async move {
                let permitted = permitted.wait_for(|it| *it).await;
                permitted.map(drop).map_err(io::Error::other)
            }
        };
        copy::unidirectional(&mut from_caller, &mut to_target, wait).await
    });
    caller.write_all(b"late").await.unwrap();
    let mut read = [0; 4];
    let early = tokio::time::timeout(Duration::from_millis(50), target.read(&mut read)).await;
    assert!(early.is_err(), "bytes were written early: {early:?}");
    permit.send(true).unwrap();
    let passed = tokio::time::timeout(WAIT, target.read_exact(&mut read)).await;
    passed.unwrap().unwrap();
    assert_eq!(&read, b"late");
}

/// Guards against a buffer that grows without bound when the reader stops.
#[tokio::test]
async fn a_slow_reader_stops_the_writer() {
    let (mut caller, mut from_caller) = tokio::io::duplex(PIPE_BYTES);
    let (mut to_target, mut target) = tokio::io::duplex(PIPE_BYTES);
    let copy = tokio::spawn(async move {
        let ended =
            copy::unidirectional(&mut from_caller, &mut to_target, || future::ready(Ok(()))).await;
        (ended, to_target)
    });
    let written = Arc::new(AtomicUsize::new(0));
    let count = written.clone();
    let writer = tokio::spawn(async move {
        for _ in 0..CHUNKS {
            caller.write_all(&[7; PIPE_BYTES]).await.unwrap();
            count.fetch_add(PIPE_BYTES, Ordering::Relaxed);
        }
    });
    // More iterations than an unbounded copy would need to read everything.
    for _ in 0..16 * CHUNKS {
        tokio::task::yield_now().await;
    }
    assert!(written.load(Ordering::Relaxed) <= 2 * PIPE_BYTES + copy::MAX_BUFFER_BYTES);
    let mut read = Vec::new();
    let drain = async {
        while read.len() < CHUNKS * PIPE_BYTES {
            target.read_buf(&mut read).await.unwrap();
        }
        writer.await.unwrap();
        copy.await.unwrap().0.unwrap();
    };
    tokio::time::timeout(WAIT, drain).await.unwrap();
}
