//! `mulberrynotch steer`: runs a balancer that routes packets by a cookie of the target.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    sync::Arc,
    time::Duration, //
};

use metrics_exporter_prometheus::PrometheusBuilder;
use mulberrynotch_net::{
    event,
    steer, //
};
use mulberrynotch_platform::{
    packet,
    ready,
    settings as location,
    store, //
};
use mulberrynotch_register::{
    parse,
    steering, //
};
use mulberrynotch_steer::reader;
use tokio::{
    signal::unix,
    sync::watch, //
};

use super::{
    EXIT_REFUSED,
    document,
    run, //
};
use crate::log;

/// Interval at which the settings file is read again, because it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [
    0.001, 0.003, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, //
];

/// Arguments of `steer`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Settings of the process, JSON with comments; by default the file that the platform provides.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
}

/// Runs a balancer until it has shut down.
pub fn execute(args: &Args) -> ExitCode {
    let Some(path) = args.settings.clone().or_else(location::path) else {
        eprintln!("no settings file is given; pass one with --settings");
        return ExitCode::from(EXIT_REFUSED);
    };
    let settings = match document::read(&path, parse::steering) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match start(path, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            event::error("not_started", &[("error", &error)]);
            ExitCode::FAILURE
        }
    }
}

fn start(path: PathBuf, settings: steering::Settings) -> Result<(), String> {
    log::init(settings.log_level).map_err(|error| error.to_string())?;
    let recorder = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_S)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|error| error.to_string())?;
    // The load of a VM needs only part of one core, and a single thread avoids passing work between
    // threads.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let outcome = runtime.block_on(async {
        let stop = run::shutdown_signals().map_err(|error| error.to_string())?;
        let settings = watch_settings(path, settings).map_err(|error| error.to_string())?;
        let render = Box::new(move || recorder.render());
        steer::run(platform(), render, steer::Signals { stop, settings })
            .await
            .map_err(|error| error.to_string())
    });
    runtime.shutdown_background();
    outcome
}

fn platform() -> steer::Platform {
    steer::Platform {
        decode: |datagram| packet::decode(datagram).map_err(|error| error.to_string()),
        write_cookie: packet::write_cookie,
        encode_reset: |flow, acknowledged| packet::encode_reset(flow, acknowledged).to_vec(),
        max_datagram_bytes: packet::HEADER_BYTES + packet::MAX_DATA_BYTES,
        call_store: |address: SocketAddr, call: reader::Call| {
            Box::pin(async move {
                let answer = store::call(address, call).await;
                answer.map_err(|error| error.to_string())
            })
        },
        readiness_path: ready::PATH,
    }
}

/// Reloads the settings at each SIGHUP and at each [`RELOAD_INTERVAL`]. Settings that cannot be read
/// are logged, and the previous ones stay in effect.
fn watch_settings(
    path: PathBuf,
    settings: steering::Settings,
) -> std::io::Result<watch::Receiver<Arc<steering::Settings>>> {
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    let (sender, receiver) = watch::channel(Arc::new(settings));
    tokio::spawn(async move {
        let mut last_error = None;
        loop {
            tokio::select! {
                _ = hangup.recv() => {
                    event::info("reload", &[("cause", &"signal")]);
                    last_error = None;
                }
                () = tokio::time::sleep(RELOAD_INTERVAL) => {}
            }
            match read_settings(&path) {
                Ok(settings) => {
                    sender.send_if_modified(|current| {
                        let changed = **current != settings;
                        *current = Arc::new(settings);
                        changed
                    });
                }
                // A repeated error is logged once, unless a signal asks for a reload.
                Err(error) if last_error.as_ref() != Some(&error) => {
                    event::error("reload_refused", &[("error", &error)]);
                    last_error = Some(error);
                }
                Err(_) => {}
            }
        }
    });
    Ok(receiver)
}

fn read_settings(path: &Path) -> Result<steering::Settings, String> {
    let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| with_path(&error))?;
    parse::steering(&text).map_err(|error| with_path(&error))
}
