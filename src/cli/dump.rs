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
    /// Format of the output.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// JSON as the process serves it.
    Json,
    /// Indented lines of text.
    Text,
}

/// Prints the state dump; if it cannot be read, prints the reason and returns exit status 1.
pub fn execute(args: &Args) -> ExitCode {
    match admin::get(args.admin, "/dump") {
        Ok(dump) => {
            print!("{}", render(&dump, args.format));
            ExitCode::SUCCESS
        }
        Err(error) => admin::fail(args.admin, &error),
    }
}

/// Renders the dump in the given format, with a line break at the end.
pub fn render(dump: &Value, format: Format) -> String {
    match format {
        Format::Json => format!("{dump:#}\n"),
        Format::Text => {
            let mut out = String::new();
            write_lines(&mut out, 0, dump);
            out
        }
    }
}

/// Appends the parts of a value as lines, indented by `depth` levels.
fn write_lines(out: &mut String, depth: usize, value: &Value) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                write_line(out, depth, &format!("{}:", printable(key)), value);
            }
        }
        Value::Array(array) => {
            for value in array {
                write_line(out, depth, "-", value);
            }
        }
        value => write_line(out, depth, "", value),
    }
}

fn write_line(out: &mut String, depth: usize, label: &str, value: &Value) {
    let indent = "  ".repeat(depth);
    let inline = match value {
        Value::Object(object) if object.is_empty() => "none".into(),
        Value::Array(array) if array.is_empty() => "none".into(),
        Value::Object(_) | Value::Array(_) => String::new(),
        Value::String(text) => printable(text),
        value => value.to_string(),
    };
    let separator = if label.is_empty() || inline.is_empty() {
        ""
    } else {
        " "
    };
    // Writing to a string does not fail.
    let _ = writeln!(out, "{indent}{label}{separator}{inline}");
    if inline.is_empty() && !value.is_string() {
        write_lines(out, depth + 1, value);
    }
}

/// Replaces control characters, with which a name could send escape sequences to the terminal.
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
