//! `mulberrynotch run`: runs a balancer of flows and requests.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use metrics_exporter_prometheus::PrometheusBuilder;
use mulberrynotch_net::{
    document,
    event,
    node, //
};
use mulberrynotch_register::settings;
use tokio::{
    signal::unix,
    sync::watch, //
};

use super::EXIT_REFUSED;
use crate::log;

/// Arguments of `run`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// Settings of the process, JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs a balancer until it has shut down.
pub fn run(arguments: &Arguments) -> ExitCode {
    let settings = match read_settings(arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", arguments.settings.display());
            return ExitCode::from(EXIT_REFUSED);
        }
    };
    match start(settings) {
        Ok(outcome) if outcome.complete => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            event::error("not_started", &[("error", &error)]);
            ExitCode::FAILURE
        }
    }
}

fn read_settings(arguments: &Arguments) -> Result<settings::Settings, String> {
    let text = std::fs::read_to_string(&arguments.settings).map_err(|error| error.to_string())?;
    document::settings(&text)
}

fn start(settings: settings::Settings) -> Result<node::Outcome, String> {
    log::init(settings.log_level).map_err(|error| error.to_string())?;
    let recorder = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let outcome = runtime.block_on(async {
        let stop = shutdown_signals().map_err(|error| error.to_string())?;
        let render = Box::new(move || recorder.render());
        node::run(settings, render, stop)
            .await
            .map_err(|error| error.to_string())
    });
    // Does not wait for the tasks of interrupted connections.
    runtime.shutdown_background();
    outcome
}

/// Returns a channel with the number of received SIGTERM and SIGINT signals.
pub(super) fn shutdown_signals() -> std::io::Result<watch::Receiver<u32>> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let (sender, receiver) = watch::channel(0);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            sender.send_modify(|count| *count += 1);
        }
    });
    Ok(receiver)
}
