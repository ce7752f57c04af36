//! `mulberrynotch dump`: prints the state of a running process.

use std::{
    fmt::Write,
    net::SocketAddr,
    process::ExitCode, //
};

use serde_json::Value;

use super::admin;

/// Arguments of `dump`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Admin address of the process.
    #[arg(long, value_name = "ADDR")]
    admin: SocketAddr,
    /// Form of the output.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// JSON as the process serves it.
    Json,
    /// Indented lines.
    Text,
}

/// Prints the state dump, or why it cannot be read and exit status 1.
pub fn execute(args: &Args) -> ExitCode {
    match admin::get(args.admin, "/dump") {
        Ok(dump) => {
            print!("{}", render(&dump, args.format));
            ExitCode::SUCCESS
        }
        Err(error) => admin::fail(args.admin, &error),
    }
}

/// The dump in the given form, with a line break at the end.
pub fn render(dump: &Value, format: Format) -> String {
    match format {
        Format::Json => format!("{dump:#}\n"),
        Format::Text => {
            let mut out = String::new();
            lines(&mut out, 0, dump);
            out
        }
    }
}

/// Appends a value as lines below the current one, indented by `depth` levels.
fn lines(out: &mut String, depth: usize, value: &Value) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                line(out, depth, &format!("{}:", printable(key)), value);
            }
        }
        Value::Array(array) => {
            for value in array {
                line(out, depth, "-", value);
            }
        }
        value => line(out, depth, "", value),
    }
}

fn line(out: &mut String, depth: usize, label: &str, value: &Value) {
    let indent = "  ".repeat(depth);
    let rest = match value {
        Value::Object(object) if object.is_empty() => "none".into(),
        Value::Array(array) if array.is_empty() => "none".into(),
        Value::Object(_) | Value::Array(_) => String::new(),
        Value::String(text) => printable(text),
        value => value.to_string(),
    };
    let separator = if label.is_empty() || rest.is_empty() {
        ""
    } else {
        " "
    };
    // Writing to a string does not fail.
    let _ = writeln!(out, "{indent}{label}{separator}{rest}");
    if rest.is_empty() && !value.is_string() {
        lines(out, depth + 1, value);
    }
}

/// Control characters would let a name rewrite the terminal.
fn printable(text: &str) -> String {
    text.chars()
        .map(|character| {
            if character.is_control() {
                '?'
            } else {
                character
            }
        })
        .collect()
}
