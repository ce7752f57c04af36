//! Tests of connections: unresponsiveness, cancellation and graceful shutdown.

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
    Link,
    caller,
    connect,
    pair,
    register,
    request,
    send,
    target,
    wait_until, //
    within_bound,
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

async fn answer_ran(call: Call) {
    call.answer(200, "ran");
}

/// Guards against using a connection whose state was lost on the network path until its requests time
/// out.
#[tokio::test]
async fn unresponsive_connection_is_replaced() {
    let link = Link::new(target(Arc::default(), answer_ran).await).await;
    let (entry, _owner) = pair(register(&[link.address], "")).await;
    let (sender, _) = caller(&entry).await;
    let answer = send(&sender, request("POST", "/orders"), "body").await;
    assert_eq!(answer.head.status, 200);
    link.stop_forwarding();
    let started = std::time::Instant::now();
    within_bound("a request on a new connection", async {
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
    assert_eq!(link.connections.load(Ordering::SeqCst), 2);
}

/// Guards against a request that waits for its deadline on a connection whose state was lost.
#[tokio::test]
async fn request_on_an_unresponsive_connection_ends_before_its_deadline() {
    let arrived = Arc::new(AtomicUsize::new(0));
    let never_answer = |call: Call| async move {
        std::future::pending::<()>().await;
        drop(call);
    };
    let link = Link::new(target(arrived.clone(), never_answer).await).await;
    let (entry, _owner) = pair(register(&[link.address], "")).await;
    let (sender, _) = caller(&entry).await;
    let running =
        tokio::spawn(async move { send(&sender, request("POST", "/orders"), "body").await });
    wait_until("the request", || arrived.load(Ordering::SeqCst) == 1).await;
    link.stop_forwarding();
    // Status 504 would mean that the deadline ended the request.
    let answer = within_bound("the answer", running).await.unwrap();
    assert_eq!(answer.head.status, 502);
    assert_eq!(answer.header("mulberrynotch-outcome"), Some("unknown"));
}

/// Guards against a target that continues to work after its caller has cancelled the request.
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
    assert_eq!(within_bound("the request", events.recv()).await, Some(None));
    drop((answer, stream));
    let reason = within_bound("the cancellation", events.recv()).await;
    assert_eq!(reason, Some(Some(h2::Reason::CANCEL)));
    wait_until("the end of the request", || {
        entry.in_progress() + owner.in_progress() == 0
    })
    .await;
    // A cancelled request must not count as a failure of the target.
    let targets = owner.status().owned;
    assert!(targets.iter().all(|target| target.limit.timeouts == 0));
    assert!(targets.iter().all(|target| target.limit.in_flight == 0));
}

/// Guards against a request that continues after its HTTP/1.1 caller has closed the connection.
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
    assert_eq!(within_bound("the request", events.recv()).await, Some(None));
    drop(stream);
    let reason = within_bound("the cancellation", events.recv()).await;
    assert_eq!(reason, Some(Some(h2::Reason::CANCEL)));
}

/// Sends a request over HTTP/1.1, waits for the complete answer and returns it in lower case.
async fn request_http1(stream: &mut DuplexStream) -> String {
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
    within_bound("the answer", read).await;
    String::from_utf8(answer).unwrap().to_lowercase()
}

/// Guards against a shutdown that closes an HTTP/1.1 connection while the next request is in flight:
/// the request fails, and the caller cannot know whether it ran.
#[tokio::test]
async fn callers_are_told_to_leave_before_their_connection_closes() {
    let targets = [target(Arc::default(), answer_ran).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (mut stream, mut ended) = connect(&entry);
    assert!(
        !request_http1(&mut stream)
            .await
            .contains("connection: close")
    );
    entry.leave();
    assert!(
        request_http1(&mut stream)
            .await
            .contains("connection: close")
    );
    assert_eq!(
        within_bound("the end", stream.read(&mut [0]))
            .await
            .unwrap(),
        0
    );
    within_bound("the connection", ended.wait_for(|ended| *ended))
        .await
        .unwrap();
}

/// Guards against a shutdown that closes a connection while its first request is in flight.
#[tokio::test]
async fn a_first_request_during_the_drain_is_answered() {
    let targets = [target(Arc::default(), answer_ran).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (mut stream, _ended) = connect(&entry);
    entry.drain();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(
        request_http1(&mut stream)
            .await
            .contains("connection: close")
    );
}

/// Guards against a shutdown that interrupts a running request or waits for idle connections.
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
    wait_until("the request", || arrived.load(Ordering::SeqCst) == 1).await;
    entry.drain();
    owner.drain();
    within_bound("the idle connection", idle_ended.wait_for(|ended| *ended))
        .await
        .unwrap();
    assert_eq!(idle.read(&mut [0]).await.unwrap(), 0);
    assert!(entry.in_progress() > 0 && owner.in_progress() > 0);
    release.notify_one();
    let answer = within_bound("the answer", running).await.unwrap();
    assert_eq!(answer.body.as_deref(), Some(&b"ran"[..]));
    drop(sender);
    within_bound("the connection", ended.wait_for(|ended| *ended))
        .await
        .unwrap();
    wait_until("the end of the requests", || {
        entry.in_progress() + owner.in_progress() == 0
    })
    .await;
    let _ = idle.shutdown().await;
}
