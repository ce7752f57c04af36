//! Tests the timer service with an injected clock.

use std::{
    sync::{
        Arc, //
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use mulberrynotch_timer::{
    queue,
    service, //
};

const PERIOD: Duration = Duration::from_millis(100);

fn service() -> (Arc<AtomicU64>, service::Service) {
    let now = Arc::new(AtomicU64::new(0));
    let clock = now.clone();
    let clock = Arc::new(move || Duration::from_millis(clock.load(Ordering::Relaxed)));
    (now, service::Service::new(clock))
}

/// Guards against a pause of the process that is not reported to a subscriber, and against a burst
/// of ticks after it.
#[tokio::test]
async fn a_pause_is_reported_once() {
    let (now, service) = service();
    let mut ticks = service.subscribe(queue::Schedule::Every(PERIOD));
    now.store(100, Ordering::Relaxed);
    service.fire();
    assert_eq!(ticks.next().await, Some(Duration::ZERO));
    now.store(5_200, Ordering::Relaxed);
    let next = service.fire();
    assert_eq!(ticks.next().await, Some(Duration::from_millis(5_000)));
    assert_eq!(next, Some(Duration::from_millis(5_300)));
    now.store(5_300, Ordering::Relaxed);
    service.fire();
    assert_eq!(ticks.next().await, Some(Duration::ZERO));
}

/// Guards against a deadline that stays in the queue after its subscription is dropped.
#[tokio::test]
async fn a_dropped_subscription_is_cancelled() {
    let (now, service) = service();
    let ticks = service.subscribe(queue::Schedule::Every(PERIOD));
    let mut once = service.subscribe(queue::Schedule::Once(PERIOD * 3));
    drop(ticks);
    assert_eq!(service.fire(), Some(PERIOD * 3));
    now.store(300, Ordering::Relaxed);
    assert_eq!(service.fire(), None);
    assert_eq!(once.next().await, Some(Duration::ZERO));
    assert_eq!(once.next().await, None);
}

/// Guards against a running service that misses an earlier deadline added while it sleeps.
#[tokio::test]
async fn an_earlier_deadline_wakes_the_running_service() {
    let start = tokio::time::Instant::now();
    let service = service::Service::new(Arc::new(move || start.elapsed()));
    let running = tokio::spawn(service.clone().run());
    let _late = service.subscribe(queue::Schedule::Once(Duration::from_secs(3_600)));
    tokio::task::yield_now().await;
    let mut early = service.subscribe(queue::Schedule::Once(Duration::from_millis(1)));
    let fired = tokio::time::timeout(Duration::from_secs(10), early.next()).await;
    assert!(fired.is_ok_and(|late| late.is_some()));
    running.abort();
}
