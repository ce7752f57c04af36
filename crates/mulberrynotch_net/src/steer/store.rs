//! Calls to the store.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_steer::reader;

use super::Node;
use crate::event;

static FAILED: event::Limiter = event::Limiter::new();

impl Node {
    /// Makes a call to the store and tells the machine what it returned.
    pub(super) async fn call(self: Arc<Self>, call: reader::Call) {
        let address = SocketAddr::V4(self.settings.store_address);
        metrics::counter!("mulberrynotch_store_calls_total").increment(1);
        let started = self.now();
        let answer = (self.platform.call_store)(address, call).await;
        if matches!(call, reader::Call::List { .. }) {
            let latency = self.now().saturating_sub(started);
            metrics::histogram!("mulberrynotch_store_list_seconds").record(latency);
        }
        if let Err(error) = &answer {
            metrics::counter!("mulberrynotch_store_failures_total").increment(1);
            FAILED.warn(self.now(), "store_call_failed", &[("error", error)]);
        }
        self.drive(|machine, now| machine.answered(now, call, answer.ok()));
    }
}
