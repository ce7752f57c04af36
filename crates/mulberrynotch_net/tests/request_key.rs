//! Tests of requests with an idempotency key.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::{
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use support::{
    Answer,
    Call,
    caller,
    cut_off,
    pair,
    register,
    request,
    send,
    target,
    wait_until, //
    within_bound,
};
use tokio::sync::Notify;

/// Starts a target that answers with the number of the request in the order of arrival.
async fn numbering_target(calls: &Arc<AtomicUsize>) -> SocketAddr {
    let handler = |call: Call| async move {
        let body = format!("run {}", call.number);
        call.answer(201, body);
    };
    target(calls.clone(), handler).await
}

/// Returns a new key in the form of a version 7 UUID: a home without earlier records runs only such
/// keys.
fn new_key() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let digits = format!("{:012x}", now.as_millis());
    format!("{}-{}-7000-8000-000000000001", &digits[..8], &digits[8..])
}

async fn order(sender: &h2::client::SendRequest<bytes::Bytes>, key: &str, body: &str) -> Answer {
    let request = request("POST", "/orders").header("idempotency-key", key);
    send(sender, request, body.to_owned()).await
}

/// Guards against a resend that runs again, and against running another request under the same key.
#[tokio::test]
async fn resend_gets_the_first_answer() {
    let calls = Arc::new(AtomicUsize::new(0));
    let targets = [numbering_target(&calls).await];
    let (entry, _home) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    let key = new_key();
    for _ in 0..2 {
        let answer = order(&sender, &key, "a truck").await;
        assert_eq!(answer.head.status, 201);
        assert_eq!(answer.body.as_deref(), Some(&b"run 0"[..]));
    }
    let other = order(&sender, &key, "two trucks").await;
    assert_eq!(other.head.status, 422);
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}

/// Guards against a second run for a duplicate that arrives while the request runs, and against
/// losing the answer when the first caller disconnects.
#[tokio::test]
async fn duplicates_share_one_run() {
    let (calls, release) = (Arc::new(AtomicUsize::new(0)), Arc::new(Notify::new()));
    let released = release.clone();
    let handler = move |call: Call| {
        let released = released.clone();
        async move {
            released.notified().await;
            call.answer(201, "ran");
        }
    };
    let targets = [target(calls.clone(), handler).await];
    let (entry, home) = pair(register(&targets, "")).await;
    let key = new_key();
    let resend_key = key.clone();
    let (first, _) = caller(&entry).await;
    let first = tokio::spawn(async move { order(&first, &key, "a truck").await });
    wait_until("the run", || calls.load(Ordering::SeqCst) == 1).await;
    let (second, _) = caller(&entry).await;
    let second = tokio::spawn(async move { order(&second, &resend_key, "a truck").await });
    // Each of the two callers counts once for its request and once for the work on its key.
    wait_until("the duplicate", || home.in_progress() == 4).await;
    first.abort();
    wait_until("the end of the first", || home.in_progress() == 3).await;
    release.notify_one();
    let answer = within_bound("the answer", second).await.unwrap();
    assert_eq!(answer.body.as_deref(), Some(&b"ran"[..]));
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}

/// Guards against a resend that runs again after the outcome of the first run was lost.
#[tokio::test]
async fn unknown_outcome_stays_unknown() {
    let calls = Arc::new(AtomicUsize::new(0));
    let reset = |call: Call| async move { call.reset(h2::Reason::INTERNAL_ERROR) };
    let targets = [target(calls.clone(), reset).await];
    let (entry, _home) = pair(register(&targets, "")).await;
    let (sender, _) = caller(&entry).await;
    let key = new_key();
    for _ in 0..2 {
        let answer = order(&sender, &key, "a truck").await;
        assert_eq!(answer.head.status, 502);
        assert_eq!(answer.header("mulberrynotch-outcome"), Some("unknown"));
    }
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}

/// Guards against the outcome "not run" from a process that cannot reach the home of a key. Another
/// copy may have run there, and a caller that relies on the answer would order again under a new key.
#[tokio::test]
async fn unreachable_home_gives_an_unknown_outcome() {
    let calls = Arc::new(AtomicUsize::new(0));
    let targets = [numbering_target(&calls).await];
    for peers in [false, true] {
        let entry = cut_off(register(&targets, ""), peers);
        let (sender, _) = caller(&entry).await;
        let answer = order(&sender, &new_key(), "a truck").await;
        assert_eq!(answer.head.status, 503);
        assert_eq!(answer.header("mulberrynotch-outcome"), Some("unknown"));
        assert_eq!(answer.header("retry-after"), Some("1"));
        let body = String::from_utf8(answer.body.unwrap().to_vec()).unwrap();
        assert!(body.contains("same idempotency key is safe"), "{body}");
        if peers {
            let other = send(&sender, request("POST", "/orders"), "a truck").await;
            assert_eq!(other.header("mulberrynotch-outcome"), Some("not-run"));
        }
    }
    assert_eq!(calls.load(Ordering::SeqCst), 0);
}
