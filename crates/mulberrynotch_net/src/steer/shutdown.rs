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
use crate::event;

/// Time within which the routers detect that the process is not ready: two checks, half a second
/// apart.
const READINESS_DETECTION: Duration = Duration::from_millis(1_300);

/// Time without a client packet after which the clients have moved to other balancers.
const CLIENT_QUIET_PERIOD: Duration = Duration::from_millis(400);

/// Interval at which the shutdown checks whether the clients have moved.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Node {
    /// Waits for the first stop request, then forwards packets until the routers send no more, the
    /// drain limit is reached, or a second stop request arrives.
    pub(super) async fn shut_down(
        self: &Arc<Self>,
        timers: &service::Service,
        mut stop: watch::Receiver<u32>,
    ) {
        // An error means that the sender was dropped, which also stops the process.
        let _ = stop.wait_for(|&count| count > 0).await;
        let started = self.now();
        self.drive(|machine, now| machine.leave(now));
        let limit = Duration::from_millis(self.settings.drain_ms.into());
        event::info("draining", &[("limit_ms", &limit.as_millis())]);
        let reason = tokio::select! {
            reason = self.wait_until_drained(timers, started, limit) => reason,
            _ = stop.wait_for(|&count| count > 1) => "second_signal",
        };
        let spent_ms = self.now().saturating_sub(started).as_millis();
        event::info("stopped", &[("reason", &reason), ("spent_ms", &spent_ms)]);
    }

    async fn wait_until_drained(
        &self,
        timers: &service::Service,
        started: Duration,
        limit: Duration,
    ) -> &'static str {
        let mut checks = timers.subscribe(queue::Schedule::Every(CHECK_INTERVAL));
        while checks.next().await.is_some() {
            let now = self.now();
            let spent = now.saturating_sub(started);
            let last_packet = Duration::from_millis(self.last_packet_ms.load(Ordering::Relaxed));
            if spent >= READINESS_DETECTION
                && now.saturating_sub(last_packet) >= CLIENT_QUIET_PERIOD
            {
                return "clients_moved";
            }
            if spent >= limit {
                return "limit";
            }
        }
        "timer_ended"
    }
}
