//! Calls to the store.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_steer::reader;

use super::Node;
use crate::event;

static STORE_CALL_FAILED: event::Limiter = event::Limiter::new();

impl Node {
    /// Calls the store and passes the response to the state machine.
    pub(super) async fn call_store(self: Arc<Self>, call: reader::Call) {
        let address = SocketAddr::V4(self.settings.store_address);
        metrics::counter!("mulberrynotch_store_calls_total").increment(1);
        if call == reader::Call::Ping {
            metrics::counter!("mulberrynotch_store_pings_total").increment(1);
        }
        let started = self.now();
        let answer = (self.platform.call_store)(address, call).await;
        if matches!(call, reader::Call::List { .. }) {
            let latency = self.now().saturating_sub(started);
            metrics::histogram!("mulberrynotch_store_list_seconds").record(latency);
        }
        if let Err(error) = &answer {
            metrics::counter!("mulberrynotch_store_failures_total").increment(1);
            let fields: [event::Field<'_>; 2] = [("call", &call.name()), ("error", error)];
            STORE_CALL_FAILED.warn(self.now(), "store_call_failed", &fields);
        }
        self.drive(|machine, now| machine.call_ended(now, call, answer.ok()));
    }
}
