//! Reads the documents that are passed to commands.

use std::{
    fmt::Display,
    fs,
    io::Read,
    path::Path,
    process::ExitCode, //
};

use mulberrynotch_register::{
    model,
    parse, //
};

use super::EXIT_REFUSED;

/// Reads and parses a file, or prints all problems, each with the name of the file.
pub(super) fn read<T>(
    path: &Path,
    parse: fn(&str) -> Result<T, parse::Error>,
) -> Result<T, ExitCode> {
    let text = read_text(path).map_err(|error| refuse(path, &error))?;
    parse(&text).map_err(|error| {
        for problem in &error.problems {
            eprintln!("{}:{problem}", path.display());
        }
        ExitCode::from(EXIT_REFUSED)
    })
}

/// Reads and parses a register, or prints all problems.
pub(super) fn register(path: &Path) -> Result<model::Register, ExitCode> {
    read(path, parse::register)
}

fn read_text(path: &Path) -> Result<String, String> {
    // One byte above the limit is enough for the parser to reject the document.
    let limit = u64::try_from(parse::MAX_BYTES).unwrap_or(u64::MAX);
    let file = fs::File::open(path).map_err(|error| error.to_string())?;
    let mut bytes = Vec::new();
    file.take(limit + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| error.to_string())?;
    String::from_utf8(bytes).map_err(|_| String::from("file is not UTF-8; save it as UTF-8"))
}

/// Prints the reason to reject a file and returns the exit status.
pub(super) fn refuse(path: &Path, reason: &dyn Display) -> ExitCode {
    eprintln!("{}: {reason}", path.display());
    ExitCode::from(EXIT_REFUSED)
}
