//! Graceful shutdown.

use std::{
    sync::{
        Arc, //
        atomic::Ordering,
    },
    time::Duration, //
};

use mulberrynotch_timer::{
    queue,
    service, //
};
use tokio::sync::watch;

use super::Node;
use crate::{
    core,
    event, //
};

/// Time after the start of the leave during which callers may still connect and late packets are
/// forwarded. The fabric and the peers detect the leave within it.
const LATE_TRAFFIC_PERIOD: Duration = Duration::from_secs(2);

/// Time limit for sending the last control frames and for idle connections to close.
const LINGER_LIMIT: Duration = Duration::from_secs(1);

mulberrynotch_macros::data! {
    /// How a shutdown ended.
    #[derive(Copy)]
    pub struct Outcome {
        /// True when the drain ended by itself and interrupted nothing.
        pub complete: bool,
        /// TCP flows that were interrupted.
        pub flows: usize,
        /// Requests that were interrupted.
        pub requests: usize,
    }
}

impl Node {
    /// Waits for the first change of `stop`, then drains until everything has ended, the drain limit
    /// is reached, or `stop` changes again.
    pub(super) async fn shut_down(
        self: &Arc<Self>,
        timers: &service::Service,
        mut stop: watch::Receiver<u32>,
    ) -> Outcome {
        // An error means that the sender was dropped, which also stops the process.
        let _ = stop.wait_for(|&count| count > 0).await;
        event::info(
            "draining",
            &[("limit_s", &self.settings.limits.drain_seconds)],
        );
        self.draining.store(true, Ordering::Relaxed);
        self.core.leave();
        self.core.requests.leave();
        let limit = Duration::from_secs(self.settings.limits.drain_seconds.into());
        let interrupted_by = tokio::select! {
            () = self.wait_until_drained(timers) => None,
            () = sleep(timers, limit) => Some("drain_limit"),
            _ = stop.wait_for(|&count| count > 1) => Some("second_signal"),
        };
        let outcome = Outcome {
            complete: interrupted_by.is_none(),
            flows: self.tcp.open(),
            requests: self.core.requests.in_progress(),
        };
        let keys = self.core.requests.status().keys;
        let fields: [event::Field<'_>; 9] = [
            ("reason", &interrupted_by.unwrap_or("drained")),
            ("interrupted_flows", &outcome.flows),
            ("interrupted_requests", &outcome.requests),
            ("handed_over", &self.core.is_drained()),
            ("keys_handed_over", &self.core.requests.is_drained()),
            ("keys_running", &keys.running),
            ("keys_pending", &keys.pending),
            ("keys_unacknowledged", &keys.unacknowledged),
            ("control_waiting", &self.core.peer.waiting()),
        ];
        if interrupted_by.is_none() {
            event::info("stopped", &fields);
        } else {
            event::warn("stopped", &fields);
        }
        outcome
    }

    async fn wait_until_drained(&self, timers: &service::Service) {
        sleep(timers, LATE_TRAFFIC_PERIOD).await;
        self.tcp.stop_accepting();
        self.core.requests.drain();
        let mut ticks = timers.subscribe(queue::Schedule::Every(core::TICK));
        while !self.is_drained() {
            ticks.next().await;
        }
        self.core.finish();
        let mut linger = timers.subscribe(queue::Schedule::Once(LINGER_LIMIT));
        while self.core.peer.waiting() > 0 || self.tcp.connections() > 0 {
            tokio::select! {
                _ = ticks.next() => {}
                _ = linger.next() => break,
            }
        }
        // A request that arrived while its connection was being closed is still answered.
        while self.core.requests.in_progress() > 0 {
            ticks.next().await;
        }
    }

    fn is_drained(&self) -> bool {
        self.core.is_drained()
            && self.core.requests.is_drained()
            && self.core.requests.in_progress() == 0
            && self.tcp.open() == 0
    }
}

async fn sleep(timers: &service::Service, delay: Duration) {
    let mut timer = timers.subscribe(queue::Schedule::Once(delay));
    timer.next().await;
}
