//! `mulberrynotch explain`: prints the history of a flow from the logs of several balancers.

use std::{
    collections::BTreeMap,
    fs,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    path::PathBuf,
    process::ExitCode, //
};

use serde_json::json;

use super::document;

/// Arguments of `explain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Log files of balancers.
    #[arg(required = true, value_name = "FILE")]
    logs: Vec<PathBuf>,
    /// Address and port of the client, or `CLIENT>ROUTE` as in the logs.
    #[arg(long, value_name = "FLOW")]
    flow: String,
    /// Prints one JSON object per line.
    #[arg(long)]
    json: bool,
}

/// Line of a log, with its parsed fields.
struct Line {
    text: String,
    fields: BTreeMap<String, String>,
}

impl Line {
    /// Parses the `key=value` pairs of a line and ignores other words.
    fn parse(text: String) -> Self {
        let pairs = text
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        let fields = pairs.map(|(key, value)| (key.to_owned(), value.to_owned()));
        Self {
            fields: fields.collect(),
            text,
        }
    }

    fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }

    fn is_about(&self, flow: &str) -> bool {
        let is_client = |value: &str| value.split('>').next() == Some(flow);
        self.field("flow")
            .is_some_and(|value| value == flow || is_client(value))
    }

    /// Returns true for events that report the state of one of `targets`, of the process, of the store
    /// or of the paths to other zones.
    fn is_state_change(&self, targets: &[String]) -> bool {
        let target = self.field("target").map(str::to_owned);
        let is_listed = target.is_some_and(|target| targets.contains(&target));
        let is_verdict = matches!(self.field("event"), Some("target_verdict" | "target"));
        let is_general = matches!(
            self.field("event"),
            Some(
                "store_lost"
                    | "store_regained"
                    | "paused"
                    | "resumed"
                    | "started"
                    | "draining"
                    | "rotation"
                    | "zone_path"
            )
        );
        is_listed && is_verdict || is_general
    }

    /// Returns the time of the event in seconds; lines without one sort last.
    fn time(&self) -> f64 {
        let time = self.field("time").and_then(|value| value.parse().ok());
        time.unwrap_or(f64::MAX)
    }
}

/// Prints, ordered by time, the lines of a flow and the state changes that the same logs report
/// around that time: those of the flow's targets, of the process, the store and the paths.
pub fn execute(args: &Args) -> ExitCode {
    let mut lines = Vec::new();
    for path in &args.logs {
        match read_log(path) {
            Ok(parsed) => lines.extend(parsed.into_iter().map(|line| (path, line))),
            Err(error) => return document::refuse(path, &error),
        }
    }
    let flow_lines: Vec<_> = lines
        .iter()
        .filter(|(_, line)| line.is_about(&args.flow))
        .collect();
    let times = || flow_lines.iter().map(|(_, line)| line.time());
    let first = times().fold(f64::MAX, f64::min) - STATE_BEFORE_S;
    let last = times().filter(|time| *time < f64::MAX).fold(0.0, f64::max) + STATE_AFTER_S;
    let targets: Vec<String> = flow_lines
        .iter()
        .filter_map(|(_, line)| line.field("target").map(str::to_owned))
        .collect();
    if flow_lines.is_empty() {
        let remedy = "check the address, and the counters of suppressed log lines";
        eprintln!("no line mentions flow {}; {remedy}", args.flow);
        return ExitCode::FAILURE;
    }
    let paths: Vec<_> = flow_lines.iter().map(|(path, _)| *path).collect();
    let mut shown: Vec<_> = lines
        .iter()
        .filter(|(path, line)| {
            let time = line.time();
            let is_state_change = paths.contains(path) && line.is_state_change(&targets);
            line.is_about(&args.flow) || is_state_change && time >= first && time <= last
        })
        .collect();
    shown.sort_by(|(_, a), (_, b)| a.time().total_cmp(&b.time()));
    for (path, line) in shown {
        let name = path.display();
        if args.json {
            println!(
                "{}",
                json!({ "log": name.to_string(), "fields": line.fields })
            );
        } else {
            println!("{name}: {}", line.text);
        }
    }
    ExitCode::SUCCESS
}

/// Time before the first line of the flow from which state changes are shown, in seconds.
const STATE_BEFORE_S: f64 = 5.0;

/// Time after the last line of the flow up to which state changes are shown, in seconds.
const STATE_AFTER_S: f64 = 3.0;

fn read_log(path: &PathBuf) -> io::Result<Vec<Line>> {
    let lines = BufReader::new(fs::File::open(path)?).lines();
    lines.map(|line| line.map(Line::parse)).collect()
}
