//! The load report, and control of the target.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode, //
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time, //
};

use crate::{
    http as web,
    task::{
        Group,
        lock, //
    },
};

use super::Shared;

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(super) struct Report {
    /// Share of the slots in use, in percent.
    load_percent: u32,
    /// Number of the start.
    boot: u64,
    /// True when the target leaves.
    leaving: bool,
}

/// Time between two updates of a report that lags.
const STEP: Duration = Duration::from_millis(20);

pub(super) async fn start(tasks: &Group, shared: Arc<Shared>) -> io::Result<()> {
    let listener = TcpListener::bind(shared.config.load).await?;
    let lagging = Arc::new(watch::Sender::new(report(&shared)));
    let (source, sink) = (shared.clone(), lagging.clone());
    tasks.spawn(async move {
        loop {
            let current = report(&source);
            let lag = Duration::from_millis(source.behaviour().report_lag_ms);
            time::sleep(lag.max(STEP)).await;
            sink.send_replace(current);
        }
    });
    tasks.spawn(web::serve(listener, move |request| {
        let answer = answer(&shared, &lagging, &request);
        async move { answer }
    }));
    Ok(())
}

fn report(shared: &Shared) -> Report {
    let behaviour = shared.behaviour();
    let running = *lock(&shared.running);
    let load = running * 100 / shared.config.slots.max(1);
    Report {
        load_percent: behaviour.reported_load.unwrap_or(load),
        boot: shared.config.boot,
        leaving: behaviour.leaving,
    }
}

fn answer(
    shared: &Shared,
    lagging: &watch::Sender<Report>,
    request: &Request<Bytes>,
) -> web::Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/control/counts") => web::json(&*lock(&shared.counts)),
        (&Method::PUT, "/control/behaviour") => {
            web::apply(request.body(), |behaviour| shared.set_behaviour(behaviour))
        }
        (&Method::GET, _) if shared.behaviour.borrow().silent => {
            web::status(StatusCode::SERVICE_UNAVAILABLE)
        }
        (&Method::GET, _) => web::json(&*lagging.borrow()),
        _ => web::status(StatusCode::METHOD_NOT_ALLOWED),
    }
}
