//! Tests of retries: only for idempotent requests, or with proof that the first attempt did not run.

mod support;

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    }, //
};

use support::{
    Call,
    alone,
    caller,
    pair,
    register,
    request,
    send,
    target, //
};

/// Number of requests after which the retry budget allows one retry.
const REQUESTS_FOR_ONE_RETRY: usize = 10;

/// Starts two targets with a shared counter. Request `number` is reset with `reason`.
async fn targets_that_reset_once(
    number: usize,
    reason: h2::Reason,
    rule: &str,
) -> (
    Arc<AtomicUsize>,
    Arc<mulberrynotch_register::model::Register>,
) {
    let calls = Arc::new(AtomicUsize::new(0));
    let handler = move |call: Call| async move {
        if call.number == number {
            call.reset(reason);
        } else {
            call.answer(200, "ran");
        }
    };
    let targets = [
        target(calls.clone(), handler).await,
        target(calls.clone(), handler).await,
    ];
    (calls, register(&targets, rule))
}

/// Guards against failing a request without a retry when a target proves that it did not run it.
#[tokio::test]
async fn refused_stream_is_sent_elsewhere_once() {
    let (calls, register) = targets_that_reset_once(0, h2::Reason::REFUSED_STREAM, "").await;
    let (sender, _) = caller(&alone(register)).await;
    let answer = send(&sender, request("POST", "/orders"), "body").await;
    assert_eq!(answer.head.status, 200);
    assert_eq!(answer.body.as_deref(), Some(&b"ran"[..]));
    assert_eq!(calls.load(Ordering::SeqCst), 2);
}

/// Guards against losing the proof between the owner and the ingress balancer.
#[tokio::test]
async fn refused_stream_is_sent_elsewhere_by_the_ingress_balancer() {
    let (calls, register) = targets_that_reset_once(0, h2::Reason::REFUSED_STREAM, "").await;
    let (entry, _owner) = pair(register).await;
    let (sender, _) = caller(&entry).await;
    let answer = send(&sender, request("POST", "/orders"), "body").await;
    assert_eq!(answer.head.status, 200);
    assert_eq!(calls.load(Ordering::SeqCst), 2);
}

/// Guards against running a non-idempotent request twice, and against reporting it as not run.
#[tokio::test]
async fn reset_after_receipt_is_unknown() {
    let (calls, register) =
        targets_that_reset_once(REQUESTS_FOR_ONE_RETRY, h2::Reason::INTERNAL_ERROR, "").await;
    let (entry, _owner) = pair(register).await;
    let (sender, _) = caller(&entry).await;
    for _ in 0..REQUESTS_FOR_ONE_RETRY {
        send(&sender, request("POST", "/orders"), "body").await;
    }
    let answer = send(&sender, request("POST", "/orders"), "body").await;
    assert_eq!(answer.head.status, 502);
    assert_eq!(answer.header("mulberrynotch-outcome"), Some("unknown"));
    assert_eq!(calls.load(Ordering::SeqCst), REQUESTS_FOR_ONE_RETRY + 1);
}

/// Guards against failing a request that may be retried.
#[tokio::test]
async fn idempotent_request_is_sent_again_after_reset() {
    let (calls, register) =
        targets_that_reset_once(REQUESTS_FOR_ONE_RETRY, h2::Reason::INTERNAL_ERROR, "").await;
    let (sender, _) = caller(&alone(register)).await;
    for _ in 0..=REQUESTS_FOR_ONE_RETRY {
        let answer = send(&sender, request("GET", "/pages"), "").await;
        assert_eq!(answer.head.status, 200);
    }
    assert_eq!(calls.load(Ordering::SeqCst), REQUESTS_FOR_ONE_RETRY + 2);
}

/// Guards against a shed request that fails although another target has capacity, and against losing
/// the answer when no retry is left.
#[tokio::test]
async fn shed_request_is_sent_elsewhere_within_the_budget() {
    let calls = Arc::new(AtomicUsize::new(0));
    let shed = |call: Call| async move {
        let status = if call.number < REQUESTS_FOR_ONE_RETRY {
            200
        } else {
            503
        };
        call.answer(status, "answer of the target");
    };
    let targets = [
        target(calls.clone(), shed).await,
        target(calls.clone(), shed).await,
    ];
    let (sender, _) = caller(&alone(register(&targets, ""))).await;
    for _ in 0..REQUESTS_FOR_ONE_RETRY {
        send(&sender, request("GET", "/pages"), "").await;
    }
    let answer = send(&sender, request("GET", "/pages"), "").await;
    assert_eq!(answer.head.status, 503);
    assert_eq!(answer.body.as_deref(), Some(&b"answer of the target"[..]));
    assert_eq!(calls.load(Ordering::SeqCst), REQUESTS_FOR_ONE_RETRY + 2);
}

/// Guards against ignoring a rule that makes an idempotent method non-idempotent, so that the request
/// runs twice.
#[tokio::test]
async fn rule_makes_a_method_non_idempotent() {
    let rule =
        r#"{"service": "s", "method": "PUT", "path_prefix": "/locks", "non_idempotent": true}"#;
    let (calls, register) =
        targets_that_reset_once(REQUESTS_FOR_ONE_RETRY, h2::Reason::INTERNAL_ERROR, rule).await;
    let (sender, _) = caller(&alone(register)).await;
    for _ in 0..REQUESTS_FOR_ONE_RETRY {
        send(&sender, request("PUT", "/pages"), "body").await;
    }
    let answer = send(&sender, request("PUT", "/locks/1"), "body").await;
    assert_eq!(answer.header("mulberrynotch-outcome"), Some("unknown"));
    assert_eq!(calls.load(Ordering::SeqCst), REQUESTS_FOR_ONE_RETRY + 1);
}

/// Guards against a rule that sets only the class and makes a POST run twice.
#[tokio::test]
async fn rule_without_the_key_leaves_the_method_to_decide() {
    let rule = r#"{"service": "s", "method": "POST", "class": "high"}"#;
    let (calls, register) =
        targets_that_reset_once(REQUESTS_FOR_ONE_RETRY, h2::Reason::INTERNAL_ERROR, rule).await;
    let (sender, _) = caller(&alone(register)).await;
    for _ in 0..REQUESTS_FOR_ONE_RETRY {
        send(&sender, request("PUT", "/pages"), "body").await;
    }
    let answer = send(&sender, request("POST", "/orders"), "body").await;
    assert_eq!(answer.header("mulberrynotch-outcome"), Some("unknown"));
    assert_eq!(calls.load(Ordering::SeqCst), REQUESTS_FOR_ONE_RETRY + 1);
}

/// Guards against the outcome "unknown" for a request that was never sent.
#[tokio::test]
async fn no_connection_is_not_run() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let (sender, _) = caller(&alone(register(&[closed], ""))).await;
    let answer = send(&sender, request("POST", "/orders"), "body").await;
    assert_eq!(answer.head.status, 503);
    assert_eq!(answer.header("mulberrynotch-outcome"), Some("not-run"));
    let seconds: u64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(seconds >= 1);
}

/// Guards against an unresponsive target that delays the answer past the deadline, and against
/// reporting the request as not run.
#[tokio::test]
async fn deadline_ends_a_request_as_unknown() {
    let calls = Arc::new(AtomicUsize::new(0));
    let (cancelled, mut reasons) = tokio::sync::mpsc::unbounded_channel();
    let never_answer = move |mut call: Call| {
        let cancelled = cancelled.clone();
        async move {
            let reason = std::future::poll_fn(|context| call.respond.poll_reset(context)).await;
            let _ = cancelled.send(reason.unwrap());
        }
    };
    let targets = [target(calls.clone(), never_answer).await];
    let (sender, _) = caller(&alone(register(&targets, ""))).await;
    let request = request("POST", "/orders").header("mulberrynotch-deadline-ms", "200");
    let answer = send(&sender, request, "body").await;
    assert_eq!(answer.head.status, 504);
    assert_eq!(answer.header("mulberrynotch-outcome"), Some("unknown"));
    let reason = support::within_bound("the cancellation", reasons.recv()).await;
    assert_eq!(reason, Some(h2::Reason::CANCEL));
}
