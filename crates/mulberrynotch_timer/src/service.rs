//! Drives the queue of deadlines on a `tokio` runtime.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use tokio::sync::{
    Notify, //
    mpsc,
};

use crate::queue;

/// Returns the time since the start of the process; injected so that tests control the time.
pub type Clock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Maximum number of pending wake-ups of a subscriber; further ones are merged into these.
const MAX_PENDING_WAKE_UPS: usize = 1;

/// Handle to a timer service; clones share one queue.
#[derive(Clone)]
pub struct Service {
    shared: Arc<Shared>,
}

/// Receives the wake-ups of a subscription; dropping it cancels the subscription.
pub struct Subscription {
    id: queue::Id,
    shared: Arc<Shared>,
    wake_ups: mpsc::Receiver<Duration>,
}

struct Shared {
    clock: Clock,
    changed: Notify,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    queue: queue::Queue,
    subscribers: HashMap<queue::Id, mpsc::Sender<Duration>>,
}

impl Service {
    /// Creates a service on `clock`; it fires while [`Service::run`] is polled, or whenever
    /// [`Service::fire`] is called.
    pub fn new(clock: Clock) -> Self {
        let shared = Shared {
            clock,
            changed: Notify::new(),
            state: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Subscribes to a schedule that starts now.
    pub fn subscribe(&self, schedule: queue::Schedule) -> Subscription {
        let (sender, wake_ups) = mpsc::channel(MAX_PENDING_WAKE_UPS);
        let now = (self.shared.clock)();
        let mut state = self.shared.lock();
        let id = state.queue.add(now, schedule);
        state.subscribers.insert(id, sender);
        drop(state);
        self.shared.changed.notify_one();
        Subscription {
            id,
            shared: self.shared.clone(),
            wake_ups,
        }
    }

    /// Wakes the subscribers whose deadlines have expired and returns the next deadline.
    pub fn fire(&self) -> Option<Duration> {
        let now = (self.shared.clock)();
        let mut state = self.shared.lock();
        for fired in state.queue.expire(now) {
            if let Some(subscriber) = state.subscribers.get(&fired.id) {
                // A full channel means that a wake-up of the subscriber is already pending.
                let _ = subscriber.try_send(fired.late);
            }
            if fired.last {
                state.subscribers.remove(&fired.id);
            }
        }
        state.queue.next()
    }

    /// Fires at each deadline until the future is dropped.
    pub async fn run(self) {
        loop {
            let next = self.fire();
            let changed = self.shared.changed.notified();
            let Some(next) = next else {
                changed.await;
                continue;
            };
            let wait = next.saturating_sub((self.shared.clock)());
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = changed => {}
            }
        }
    }
}

impl Subscription {
    /// Waits for the next wake-up and returns its delay after the deadline; `None` after the last
    /// one.
    pub async fn next(&mut self) -> Option<Duration> {
        self.wake_ups.recv().await
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.queue.cancel(self.id);
        state.subscribers.remove(&self.id);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
