//! Load on the site: flows and requests of callers.

use std::{
    io,
    time::Duration, //
};

use http::Method;
use mulberrynotch_register::model::Protocol;
use mulberrynotch_standin::{
    caller,
    site, //
};

/// Number of UDP flows.
const UDP_FLOWS: usize = 280;
/// Number of TCP flows.
const TCP_FLOWS: usize = 24;
/// Number of workers per kind of request.
const WORKERS: usize = 4;

/// Running flows and request workers.
pub(crate) struct Load {
    pub(crate) udp: caller::udp::Flows,
    pub(crate) tcp: caller::stream::Flows,
    pub(crate) requests: Vec<(&'static str, caller::requests::Workers)>,
}

impl Load {
    pub(crate) async fn start(layout: site::Layout) -> io::Result<Self> {
        let udp = caller::udp::Config {
            local: layout.callers(),
            service: layout.service(0, Protocol::Udp),
            interval: Duration::from_millis(250),
            silence: Duration::from_secs(4),
        };
        let tcp = caller::stream::Config {
            local: layout.callers(),
            service: layout.service(0, Protocol::Tcp),
            interval: Duration::from_millis(250),
            silence: Duration::from_secs(4),
            // Shorter than the drain time, so that a graceful shutdown can wait for the flows.
            lifetime: Some(Duration::from_secs(6)),
        };
        Ok(Self {
            udp: caller::udp::Flows::start(udp, UDP_FLOWS).await?,
            tcp: caller::stream::Flows::start(tcp, TCP_FLOWS),
            requests: vec![
                ("orders", start_workers(layout, 0, "orders", Method::POST)),
                (
                    "orders with a key",
                    start_workers(layout, 0, "orders-key", Method::POST),
                ),
                (
                    "reads",
                    start_workers(layout, 0, "orders-read", Method::GET),
                ),
                ("gallery", start_workers(layout, 1, "gallery", Method::GET)),
            ],
        })
    }
}

fn start_workers(
    layout: site::Layout,
    service: u8,
    prefix: &str,
    method: Method,
) -> caller::requests::Workers {
    let is_order = method == Method::POST;
    let key = prefix.ends_with("-key");
    let config = caller::requests::Config {
        prefix: prefix.into(),
        local: layout.callers(),
        service: layout.service(service, Protocol::Http),
        http2: service == 1,
        path: if is_order { "/orders" } else { "/items" }.into(),
        method,
        key,
        // Without an idempotency key, a resent order would be a new order.
        resends: if is_order && !key { 0 } else { 2 },
        deadline: Duration::from_secs(2),
        pause: Duration::from_millis(40),
    };
    caller::requests::Workers::start(&config, WORKERS)
}
