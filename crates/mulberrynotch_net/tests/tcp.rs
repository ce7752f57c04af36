//! Bytes of TCP flows.

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

/// Bytes that an in-memory connection holds.
const PIPE: usize = 1_024;

/// Chunks that the writer offers.
const CHUNKS: usize = 1_000;

/// A caller and a target with a balancer in between.
async fn flow() -> (TcpStream, TcpStream, JoinHandle<io::Result<()>>) {
    let (caller, mut from_caller) = pair().await;
    let (target, mut to_target) = pair().await;
    let copy = tokio::spawn(async move {
        copy::both(
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

/// Guards against a half-close that ends the other direction, or that is not passed on.
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

/// Guards against bytes that a process has read before it was paused and writes after, while its view
/// is out of date.
#[tokio::test]
async fn bytes_wait_until_they_are_permitted() {
    let (mut caller, mut from_caller) = tokio::io::duplex(PIPE);
    let (mut to_target, mut target) = tokio::io::duplex(PIPE);
    let (permit, permitted) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let wait = || {
            let mut permitted = permitted.clone();
            async move {
                let permitted = permitted.wait_for(|it| *it).await;
                permitted.map(drop).map_err(io::Error::other)
            }
        };
        copy::one(&mut from_caller, &mut to_target, wait).await
    });
    caller.write_all(b"late").await.unwrap();
    let mut read = [0; 4];
    let early = tokio::time::timeout(Duration::from_millis(50), target.read(&mut read)).await;
    assert!(early.is_err(), "bytes passed: {early:?}");
    permit.send(true).unwrap();
    let passed = tokio::time::timeout(WAIT, target.read_exact(&mut read)).await;
    passed.unwrap().unwrap();
    assert_eq!(&read, b"late");
}

/// Guards against a buffer that grows without bound behind a reader that stopped.
#[tokio::test]
async fn a_slow_reader_stops_the_writer() {
    let (mut caller, mut from_caller) = tokio::io::duplex(PIPE);
    let (mut to_target, mut target) = tokio::io::duplex(PIPE);
    let copy = tokio::spawn(async move {
        let ended = copy::one(&mut from_caller, &mut to_target, || future::ready(Ok(()))).await;
        (ended, to_target)
    });
    let written = Arc::new(AtomicUsize::new(0));
    let count = written.clone();
    let writer = tokio::spawn(async move {
        for _ in 0..CHUNKS {
            caller.write_all(&[7; PIPE]).await.unwrap();
            count.fetch_add(PIPE, Ordering::Relaxed);
        }
    });
    // More turns than an unbounded copy needs to take everything.
    for _ in 0..16 * CHUNKS {
        tokio::task::yield_now().await;
    }
    assert!(written.load(Ordering::Relaxed) <= 2 * PIPE + copy::BUFFER);
    let mut read = Vec::new();
    let drain = async {
        while read.len() < CHUNKS * PIPE {
            target.read_buf(&mut read).await.unwrap();
        }
        writer.await.unwrap();
        copy.await.unwrap().0.unwrap();
    };
    tokio::time::timeout(WAIT, drain).await.unwrap();
}
