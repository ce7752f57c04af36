//! Tests of answers: each is complete or visibly aborted, and belongs to its request.

mod support;

use std::sync::{
    Arc,
    atomic::AtomicUsize, //
};

use bytes::Bytes;
use http::Response;
use support::{
    Call,
    alone,
    caller,
    connect,
    pair,
    register,
    request,
    send,
    target, //
    within_bound,
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    sync::{
        Barrier,
        Notify, //
    }, //
};

/// Answers with five bytes and resets the stream once the caller has received them.
async fn truncate(mut call: Call, length: Option<&str>, received: Arc<Notify>) {
    let mut answer = Response::builder();
    if let Some(length) = length {
        answer = answer.header("content-length", length);
    }
    let answer = answer.body(()).unwrap();
    let mut stream = call.respond.send_response(answer, false).unwrap();
    stream.send_data(Bytes::from("12345"), false).unwrap();
    received.notified().await;
    stream.send_reset(h2::Reason::INTERNAL_ERROR);
}

/// Guards against a truncated answer that looks complete to an HTTP/2 caller.
#[tokio::test]
async fn truncated_answer_is_reset() {
    let received = Arc::new(Notify::new());
    let notify = received.clone();
    let handler = move |call: Call| truncate(call, Some("10"), notify.clone());
    let targets = [target(Arc::default(), handler).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    let mut sender = sender.ready().await.unwrap();
    let request = request("POST", "/orders").body(()).unwrap();
    let (answer, _) = sender.send_request(request, true).unwrap();
    let mut answer = within_bound("the head", answer).await.unwrap().into_body();
    let data = within_bound("the first bytes", answer.data()).await;
    assert_eq!(data.unwrap().unwrap(), "12345");
    received.notify_one();
    let end = within_bound("the end", answer.data()).await;
    assert!(matches!(end, Some(Err(error)) if error.is_reset()));
}

/// Guards against the reset of a chunked answer that looks like a regular end to an HTTP/1.1 caller.
#[tokio::test]
async fn reset_answer_never_ends_its_chunks() {
    let received = Arc::new(Notify::new());
    let notify = received.clone();
    let handler = move |call: Call| truncate(call, None, notify.clone());
    let targets = [target(Arc::default(), handler).await];
    let service = alone(register(&targets, ""));
    let (mut stream, _) = connect(&service);
    let text = b"POST /orders HTTP/1.1\r\nhost: s\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(text).await.unwrap();
    let mut answer = Vec::new();
    while !answer.windows(5).any(|window| window == b"12345") {
        let read = within_bound("the first bytes", stream.read_buf(&mut answer)).await;
        assert!(read.unwrap() > 0);
    }
    received.notify_one();
    let _ = within_bound("the end of the connection", stream.read_to_end(&mut answer)).await;
    let answer = String::from_utf8(answer).unwrap();
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against answers that are swapped between requests of one connection.
#[tokio::test]
async fn concurrent_requests_get_their_own_answers() {
    let both = Arc::new(Barrier::new(2));
    let echo = move |call: Call| {
        let both = both.clone();
        async move {
            both.wait().await;
            let path = call.request.uri().path().to_owned();
            call.answer(200, path);
        }
    };
    let calls = Arc::new(AtomicUsize::new(0));
    let targets = [
        target(calls.clone(), echo.clone()).await,
        target(calls, echo).await,
    ];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    for round in 0..10 {
        let paths = [format!("/first/{round}"), format!("/second/{round}")];
        let (first, second) = tokio::join!(
            send(&sender, request("POST", &paths[0]), "1"),
            send(&sender, request("POST", &paths[1]), "2"),
        );
        assert_eq!(first.body.as_deref(), Some(paths[0].as_bytes()));
        assert_eq!(second.body.as_deref(), Some(paths[1].as_bytes()));
    }
}

/// Guards against pipelined requests that get no answer or the answer to another request.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let echo = |call: Call| async move {
        let path = call.request.uri().path().to_owned();
        call.answer(200, path);
    };
    let targets = [target(Arc::default(), echo).await];
    let (mut stream, _) = connect(&alone(register(&targets, "")));
    let text = b"GET /first HTTP/1.1\r\nhost: s\r\n\r\n\
        GET /second HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n";
    stream.write_all(text).await.unwrap();
    let mut answers = String::new();
    within_bound("both answers", stream.read_to_string(&mut answers))
        .await
        .unwrap();
    assert_eq!(answers.matches("HTTP/1.1 200 OK").count(), 2, "{answers}");
    let (first, second) = (answers.find("/first"), answers.find("/second"));
    assert!(first.is_some() && first < second, "{answers}");
}

/// Guards against internal headers that a caller or a target forges, and against headers for one
/// connection that are forwarded to the next.
#[tokio::test]
async fn forged_headers_are_removed() {
    let names = |call: Call| async move {
        let headers = call.request.headers();
        let names: Vec<&str> = headers.keys().map(http::HeaderName::as_str).collect();
        let seen = format!("{} {:?}", names.join(" "), headers.get("x-forwarded-for"));
        let answer = Response::builder()
            .header("mulberrynotch-outcome", "not-run")
            .header("mulberrynotch-free", "99");
        let mut call = call;
        let mut stream = call
            .respond
            .send_response(answer.body(()).unwrap(), false)
            .unwrap();
        stream.send_data(seen.into(), true).unwrap();
    };
    let targets = [target(Arc::default(), names).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    let request = request("GET", "/")
        .header("mulberrynotch-target", "1")
        .header("mulberrynotch-forged", "1")
        .header("x-forwarded-for", "10.0.0.1");
    let answer = send(&sender, request, "").await;
    let seen = String::from_utf8(answer.body.clone().unwrap().to_vec()).unwrap();
    assert!(
        !seen.contains("forged") && !seen.contains("target"),
        "{seen}"
    );
    assert!(seen.contains("mulberrynotch-deadline-ms"), "{seen}");
    assert!(
        seen.contains("127.9.9.9") && !seen.contains("10.0.0.1"),
        "{seen}"
    );
    let own = |name: &&http::HeaderName| name.as_str().starts_with("mulberrynotch-");
    assert_eq!(answer.head.headers.keys().find(own), None);
}

/// Guards against large answers that are truncated or buffered without back-pressure.
#[tokio::test]
async fn large_answer_is_streamed_completely() {
    const BYTES: usize = 4 * 1_024 * 1_024;
    let send_large = |call: Call| async move { call.answer(200, vec![b'x'; BYTES]) };
    let targets = [target(Arc::default(), send_large).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    let answer = send(&sender, request("GET", "/clip"), "").await;
    assert_eq!(answer.body.map(|body| body.len()), Some(BYTES));
}

/// Guards against large request bodies that are truncated.
#[tokio::test]
async fn large_request_is_streamed_completely() {
    const BYTES: usize = 256 * 1_024;
    let count_bytes = |mut call: Call| async move {
        let mut bytes = 0;
        while let Some(Ok(data)) = call.request.body_mut().data().await {
            bytes += data.len();
            let body = call.request.body_mut();
            let _ = body.flow_control().release_capacity(data.len());
        }
        call.answer(200, bytes.to_string());
    };
    let targets = [target(Arc::default(), count_bytes).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    let answer = send(&sender, request("POST", "/photos"), vec![b'x'; BYTES]).await;
    assert_eq!(answer.head.status, 200, "{:?}", answer.head);
    assert_eq!(answer.body.as_deref(), Some(BYTES.to_string().as_bytes()));
}

/// Guards against requests that cannot be traced: the request id must reach the target through any
/// balancer and be part of the answer. An id that would break a log line is replaced.
#[tokio::test]
async fn a_request_carries_one_id_to_its_target_and_back() {
    let handler = |call: Call| async move {
        let id = call.request.headers()["x-request-id"].clone();
        call.answer(200, Bytes::copy_from_slice(id.as_bytes()));
    };
    let targets = [target(Arc::default(), handler).await];
    let (entry, _owner) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    for (given, kept) in [(Some("order-7"), true), (Some("a b"), false), (None, false)] {
        let mut request = request("GET", "/");
        if let Some(id) = given {
            request = request.header("x-request-id", id);
        }
        let answer = send(&sender, request, "").await;
        let id = answer.header("x-request-id").unwrap();
        assert_eq!(answer.body.as_deref(), Some(id.as_bytes()));
        assert_eq!(given == Some(id), kept, "{id}");
    }
}
