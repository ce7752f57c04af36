//! `mulberrynotch explain`: the story of a flow over the logs of several balancers.

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
    /// Logs of balancers.
    #[arg(required = true, value_name = "FILE")]
    logs: Vec<PathBuf>,
    /// The client's address and port, or `CLIENT>ROUTE` as in the logs.
    #[arg(long, value_name = "FLOW")]
    flow: String,
    /// Prints one JSON object a line.
    #[arg(long)]
    json: bool,
}

/// A line of a log, with its fields.
struct Line {
    text: String,
    fields: BTreeMap<String, String>,
}

impl Line {
    /// Reads the `key=value` pairs of a line; other words are passed over.
    fn read(text: String) -> Self {
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
        let client = |it: &str| it.split('>').next() == Some(flow);
        self.field("flow")
            .is_some_and(|it| it == flow || client(it))
    }

    /// True for what was believed of a target, of the register and the store, or of the paths to
    /// other zones.
    fn is_belief(&self, targets: &[String]) -> bool {
        let target = self.field("target").map(str::to_owned);
        let about = target.is_some_and(|it| targets.contains(&it));
        let verdict = matches!(self.field("event"), Some("target_verdict" | "target"));
        let general = matches!(
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
        about && verdict || general
    }

    fn time(&self) -> f64 {
        let time = self.field("time").and_then(|it| it.parse().ok());
        time.unwrap_or(f64::MAX)
    }
}

/// Prints the lines of a flow, and those on its targets and on the balancers that carried it in
/// the same time, in order.
pub fn execute(args: &Args) -> ExitCode {
    let mut lines = Vec::new();
    for path in &args.logs {
        match read(path) {
            Ok(read) => lines.extend(read.into_iter().map(|line| (path, line))),
            Err(error) => return document::refuse(path, &error),
        }
    }
    let about: Vec<_> = lines
        .iter()
        .filter(|(_, it)| it.is_about(&args.flow))
        .collect();
    let times = || about.iter().map(|(_, line)| line.time());
    let first = times().fold(f64::MAX, f64::min) - BEFORE_S;
    let last = times().filter(|it| *it < f64::MAX).fold(0.0, f64::max) + AFTER_S;
    let targets: Vec<String> = about
        .iter()
        .filter_map(|(_, line)| line.field("target").map(str::to_owned))
        .collect();
    if about.is_empty() {
        let remedy = "check the address, and the counters of suppressed lines";
        eprintln!("no line is about {}; {remedy}", args.flow);
        return ExitCode::FAILURE;
    }
    let paths: Vec<_> = about.iter().map(|(path, _)| *path).collect();
    let mut told: Vec<_> = lines
        .iter()
        .filter(|(path, line)| {
            let time = line.time();
            let belief = paths.contains(path) && line.is_belief(&targets);
            line.is_about(&args.flow) || belief && time >= first && time <= last
        })
        .collect();
    told.sort_by(|(_, a), (_, b)| a.time().total_cmp(&b.time()));
    for (path, line) in told {
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

/// How long before the first line of the flow beliefs are shown, in seconds.
const BEFORE_S: f64 = 5.0;

/// How long after the last line of the flow beliefs are shown, in seconds.
const AFTER_S: f64 = 3.0;

fn read(path: &PathBuf) -> io::Result<Vec<Line>> {
    let lines = BufReader::new(fs::File::open(path)?).lines();
    lines.map(|line| line.map(Line::read)).collect()
}
