//! Connections: silence, cancellation and graceful shutdown.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use support::{
    Call,
    Path,
    bounded,
    caller,
    connect,
    pair,
    register,
    request,
    send,
    target,
    until, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt,
        DuplexStream, //
    },
    sync::{
        Notify,
        mpsc, //
    }, //
};

async fn ran(call: Call) {
    call.answer(200, "ran");
}

/// Guards against a connection whose state was lost on the path and that is used until its
/// requests time out.
#[tokio::test]
async fn silent_connection_is_replaced() {
    let path = Path::new(target(Arc::default(), ran).await).await;
    let (entry, _owner) = pair(register(&[path.address], "")).await;
    let (sender, _) = caller(&entry).await;
    let answer = send(&sender, request("POST", "/orders"), "body").await;
    assert_eq!(answer.head.status, 200);
    path.silence();
    let started = std::time::Instant::now();
    bounded("a request on a new connection", async {
        loop {
            let answer = send(&sender, request("POST", "/orders"), "body").await;
            if answer.head.status == 200 {
                break;
            }
            assert!(answer.header("mulberrynotch-outcome").is_some());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    println!("replaced after {:?}", started.elapsed());
    assert_eq!(path.connections.load(Ordering::SeqCst), 2);
}

/// Guards against a request that waits for its deadline on a connection that lost its state.
#[tokio::test]
async fn request_on_a_silent_connection_ends_before_its_deadline() {
    let arrived = Arc::new(AtomicUsize::new(0));
    let hung = |call: Call| async move {
        std::future::pending::<()>().await;
        drop(call);
    };
    let path = Path::new(target(arrived.clone(), hung).await).await;
    let (entry, _owner) = pair(register(&[path.address], "")).await;
    let (sender, _) = caller(&entry).await;
    let running =
        tokio::spawn(async move { send(&sender, request("POST", "/orders"), "body").await });
    until("the request", || arrived.load(Ordering::SeqCst) == 1).await;
    path.silence();
    // The deadline would give 504.
    let answer = bounded("the answer", running).await.unwrap();
    assert_eq!(answer.head.status, 502);
    assert_eq!(answer.header("mulberrynotch-outcome"), Some("unknown"));
}

/// Guards against work that a target goes on with after its caller has gone.
#[tokio::test]
async fn cancellation_reaches_the_target() {
    let (seen, mut events) = mpsc::unbounded_channel();
    let wait = move |mut call: Call| {
        let seen = seen.clone();
        async move {
            let _ = seen.send(None);
            let reason = std::future::poll_fn(|context| call.respond.poll_reset(context)).await;
            let _ = seen.send(reason.ok());
        }
    };
    let targets = [target(Arc::default(), wait).await];
    let (entry, owner) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    let mut sender = sender.ready().await.unwrap();
    let request = request("GET", "/").body(()).unwrap();
    let (answer, stream) = sender.send_request(request, true).unwrap();
    assert_eq!(bounded("the request", events.recv()).await, Some(None));
    drop((answer, stream));
    let reason = bounded("the cancellation", events.recv()).await;
    assert_eq!(reason, Some(Some(h2::Reason::CANCEL)));
    until("the end of the request", || {
        entry.in_progress() + owner.in_progress() == 0
    })
    .await;
    // A cancelled request says nothing about the target.
    let targets = owner.status().owned;
    assert!(targets.iter().all(|target| target.limit.timeouts == 0));
    assert!(targets.iter().all(|target| target.limit.in_flight == 0));
}

/// Guards against an HTTP/1.1 caller that closes its connection and leaves the request running.
#[tokio::test]
async fn closed_connection_cancels_its_request() {
    let (seen, mut events) = mpsc::unbounded_channel();
    let wait = move |mut call: Call| {
        let seen = seen.clone();
        async move {
            let _ = seen.send(None);
            let reason = std::future::poll_fn(|context| call.respond.poll_reset(context)).await;
            let _ = seen.send(reason.ok());
        }
    };
    let targets = [target(Arc::default(), wait).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (mut stream, _) = connect(&entry);
    let text = b"GET / HTTP/1.1\r\nhost: s\r\n\r\n";
    stream.write_all(text).await.unwrap();
    assert_eq!(bounded("the request", events.recv()).await, Some(None));
    drop(stream);
    let reason = bounded("the cancellation", events.recv()).await;
    assert_eq!(reason, Some(Some(h2::Reason::CANCEL)));
}

/// Sends a request over HTTP/1.1 and returns the head of the answer, in lower case, once it has come
/// with its body.
async fn ask(stream: &mut DuplexStream) -> String {
    let text = b"GET / HTTP/1.1\r\nhost: s\r\n\r\n";
    stream.write_all(text).await.unwrap();
    let mut answer = Vec::new();
    let read = async {
        while !answer.ends_with(b"ran") && !answer.ends_with(b"0\r\n\r\n") {
            let mut buffer = [0; 1_024];
            let length = stream.read(&mut buffer).await.unwrap();
            assert!(length > 0, "closed before the answer");
            answer.extend_from_slice(&buffer[..length]);
        }
    };
    bounded("the answer", read).await;
    String::from_utf8(answer).unwrap().to_lowercase()
}

/// Guards against a shutdown that closes a connection over HTTP/1.1 while the next request is on its
/// way: the caller sees it cut, and cannot know whether it ran.
#[tokio::test]
async fn callers_are_told_to_leave_before_their_connection_closes() {
    let targets = [target(Arc::default(), ran).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (mut stream, mut ended) = connect(&entry);
    assert!(!ask(&mut stream).await.contains("connection: close"));
    entry.leave();
    assert!(ask(&mut stream).await.contains("connection: close"));
    assert_eq!(bounded("the end", stream.read(&mut [0])).await.unwrap(), 0);
    bounded("the connection", ended.wait_for(|ended| *ended))
        .await
        .unwrap();
}

/// Guards against a shutdown that closes a connection whose first request is on its way.
#[tokio::test]
async fn a_first_request_that_meets_the_drain_is_answered() {
    let targets = [target(Arc::default(), ran).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (mut stream, _ended) = connect(&entry);
    entry.drain();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(ask(&mut stream).await.contains("connection: close"));
}

/// Guards against a shutdown that cuts a running request or waits for idle connections.
#[tokio::test]
async fn drain_finishes_running_requests() {
    let (arrived, release) = (Arc::new(AtomicUsize::new(0)), Arc::new(Notify::new()));
    let released = release.clone();
    let wait = move |call: Call| {
        let released = released.clone();
        async move {
            released.notified().await;
            call.answer(200, "ran");
        }
    };
    let targets = [target(arrived.clone(), wait).await];
    let (entry, owner) = pair(register(&targets, "")).await;
    let (sender, mut ended) = caller(&entry).await;
    let (mut idle, mut idle_ended) = connect(&entry);
    let running = tokio::spawn({
        let sender = sender.clone();
        async move { send(&sender, request("POST", "/orders"), "body").await }
    });
    until("the request", || arrived.load(Ordering::SeqCst) == 1).await;
    entry.drain();
    owner.drain();
    bounded("the idle connection", idle_ended.wait_for(|ended| *ended))
        .await
        .unwrap();
    assert_eq!(idle.read(&mut [0]).await.unwrap(), 0);
    assert!(entry.in_progress() > 0 && owner.in_progress() > 0);
    release.notify_one();
    let answer = bounded("the answer", running).await.unwrap();
    assert_eq!(answer.body.as_deref(), Some(&b"ran"[..]));
    drop(sender);
    bounded("the connection", ended.wait_for(|ended| *ended))
        .await
        .unwrap();
    until("the end of the requests", || {
        entry.in_progress() + owner.in_progress() == 0
    })
    .await;
    let _ = idle.shutdown().await;
}
