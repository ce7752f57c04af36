//! Load report and control interface of a target.

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

/// Load report, as served to balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(super) struct Report {
    /// Share of the slots in use, in percent.
    load_percent: u32,
    /// Start number of the target.
    boot: u64,
    /// True when the target is leaving.
    leaving: bool,
}

/// Period of updates of the served report.
const UPDATE_PERIOD: Duration = Duration::from_millis(20);

pub(super) async fn start(tasks: &Group, shared: Arc<Shared>) -> io::Result<()> {
    let listener = TcpListener::bind(shared.config.load).await?;
    let served_report = Arc::new(watch::Sender::new(current_report(&shared)));
    let (source, sink) = (shared.clone(), served_report.clone());
    tasks.spawn(async move {
        loop {
            let current = current_report(&source);
            let lag = Duration::from_millis(source.behaviour().report_lag_ms);
            time::sleep(lag.max(UPDATE_PERIOD)).await;
            sink.send_replace(current);
        }
    });
    tasks.spawn(web::serve(listener, move |request| {
        let answer = handle(&shared, &served_report, &request);
        async move { answer }
    }));
    Ok(())
}

fn current_report(shared: &Shared) -> Report {
    let behaviour = shared.behaviour();
    let running = *lock(&shared.running);
    let load = running * 100 / shared.config.slots.max(1);
    Report {
        load_percent: behaviour.reported_load.unwrap_or(load),
        boot: shared.config.boot,
        leaving: behaviour.leaving,
    }
}

fn handle(
    shared: &Shared,
    served_report: &watch::Sender<Report>,
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
        (&Method::GET, _) => web::json(&*served_report.borrow()),
        _ => web::status(StatusCode::METHOD_NOT_ALLOWED),
    }
}
