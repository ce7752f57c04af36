//! Parses registers and settings from JSON with comments and trailing commas.
//!
//! ```
//! use mulberrynotch_register::parse;
//!
//! let error = parse::register(r#"{ "revision": 0, "zones": [], "services": [] }"#).unwrap_err();
//! assert_eq!(error.problems[0].column, 15);
//! ```

use std::fmt;

use jsonc_parser::{
    CollectOptions,
    ParseOptions,
    ast,
    common::Ranged, //
};

use crate::{
    decode,
    model,
    problem,
    read,
    settings,
    steering,
    validate, //
};

/// Largest document; the platform stores values of up to 1 MB.
pub const MAX_BYTES: usize = 1 << 20;

mulberrynotch_macros::data! {
    /// All problems of a rejected document, ordered by position.
    pub struct Error {
        /// The problems, at least one.
        pub problems: Vec<problem::Problem>,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.problems.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// Parses and validates a register.
///
/// # Errors
///
/// Returns all problems. Constraints between values are checked only if each value can be read.
pub fn register(text: &str) -> Result<model::Register, Error> {
    parse_document(text, decode::register, validate::register)
}

/// Parses and validates the settings of a `run` process.
///
/// # Errors
///
/// Returns all problems. Constraints between values are checked only if each value can be read. No
/// problem quotes a secret.
pub fn settings(text: &str) -> Result<settings::Settings, Error> {
    parse_document(text, decode::settings, validate::settings)
}

/// Parses and validates the settings of a `steer` process.
///
/// # Errors
///
/// Returns all problems. Constraints between values are checked only if each value can be read.
pub fn steering(text: &str) -> Result<steering::Settings, Error> {
    parse_document(text, steering::read, steering::check)
}

fn parse_document<T>(
    text: &str,
    decode: fn(&mut read::Reader, &ast::Value<'_>) -> Option<T>,
    validate: fn(&T) -> Vec<problem::Fault>,
) -> Result<T, Error> {
    let mut reader = read::Reader::default();
    let value = parse_syntax(&mut reader, text);
    let decoded = value.as_ref().and_then(|value| decode(&mut reader, value));
    if let (Some(root), Some(decoded)) = (&value, &decoded) {
        for fault in validate(decoded) {
            let offset = offset_of(root, &fault.path);
            reader.report(offset, fault.message, fault.remedy);
        }
    }
    let problems = reader.finish(text);
    match decoded {
        Some(decoded) if problems.is_empty() => Ok(decoded),
        _ => Err(Error { problems }),
    }
}

fn parse_syntax<'a>(reader: &mut read::Reader, text: &'a str) -> Option<ast::Value<'a>> {
    if text.len() > MAX_BYTES {
        let message = format!("document has {} bytes", text.len());
        reader.report(0, message, format!("keep it at {MAX_BYTES} bytes or less"));
        return None;
    }
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    match jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(result) if result.value.is_some() => result.value,
        Ok(_) => {
            reader.report(0, "document is empty", "write one JSON object");
            None
        }
        Err(error) => {
            // The text of the error quotes the source, which may contain a secret; its kind does not.
            let message = error.kind().to_string().to_lowercase();
            let remedy = "write JSON; comments and trailing commas are allowed";
            reader.report(error.range().start, message, remedy);
            None
        }
    }
}

/// Returns the byte offset of the part at `path`, or of the innermost enclosing part that exists.
fn offset_of(root: &ast::Value<'_>, path: &problem::Path) -> usize {
    let mut value = root;
    for step in &path.0 {
        let next = match (step, value) {
            (problem::Step::Key(key), ast::Value::Object(object)) => {
                object.get(key).map(|property| &property.value)
            }
            (problem::Step::Index(index), ast::Value::Array(array)) => array.elements.get(*index),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    value.start()
}
