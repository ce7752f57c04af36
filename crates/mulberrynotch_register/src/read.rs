//! Typed access to a syntax tree that collects all problems instead of stopping at the first.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc, //
};

use jsonc_parser::{
    ast,
    common::Ranged, //
};

use crate::problem;

/// Collects problems with their byte offsets.
#[derive(Default)]
pub(crate) struct Reader {
    problems: Vec<(usize, String, String)>,
}

/// Reads one value; `None` means that a problem has been reported.
pub(crate) type Read<T> = fn(&mut Reader, &ast::Value<'_>) -> Option<T>;

impl Reader {
    /// Records a problem at a byte offset.
    pub(crate) fn report(
        &mut self,
        offset: usize,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.problems.push((offset, message.into(), remedy.into()));
    }

    /// Returns the problems in order, with lines and columns determined in one pass over the text.
    pub(crate) fn finish(mut self, text: &str) -> Vec<problem::Problem> {
        self.problems.sort_by_key(|(offset, ..)| *offset);
        let mut characters = text.char_indices().peekable();
        let (mut line, mut column) = (1, 1);
        let mut problems = Vec::with_capacity(self.problems.len());
        for (offset, message, remedy) in self.problems {
            while let Some((_, character)) = characters.next_if(|(position, _)| *position < offset)
            {
                if character == '\n' {
                    (line, column) = (line + 1, 1);
                } else {
                    column += 1;
                }
            }
            problems.push(problem::Problem {
                line,
                column,
                message,
                remedy,
            });
        }
        problems
    }

    /// Checks that `value` is an object whose keys are all among `keys`, each once.
    pub(crate) fn object<'a, 't>(
        &mut self,
        value: &'a ast::Value<'t>,
        keys: &[&str],
    ) -> Option<&'a ast::Object<'t>> {
        let Some(object) = value.as_object() else {
            return self.mismatch(value, "an object");
        };
        let mut seen = HashSet::new();
        for property in &object.properties {
            let key = property.name.as_str();
            let offset = property.range.start;
            if !keys.contains(&key) {
                let message = format!("unknown key \"{}\"", shorten(key));
                let remedy = format!("remove it or use one of: {}", keys.join(", "));
                self.report(offset, message, remedy);
            } else if !seen.insert(key) {
                let message = format!("key \"{key}\" is given twice");
                self.report(offset, message, "keep one of them");
            }
        }
        Some(object)
    }

    /// Reads the value of a required key.
    pub(crate) fn required<T>(
        &mut self,
        object: &ast::Object<'_>,
        key: &str,
        read: Read<T>,
    ) -> Option<T> {
        let Some(property) = object.get(key) else {
            let message = format!("key \"{key}\" is missing");
            self.report(object.range.start, message, format!("add \"{key}\""));
            return None;
        };
        read(self, &property.value)
    }

    /// Reads the value of an optional key, or returns `default` if the key is absent.
    pub(crate) fn optional_or<T>(
        &mut self,
        object: &ast::Object<'_>,
        key: &str,
        read: Read<T>,
        default: T,
    ) -> Option<T> {
        match object.get(key) {
            Some(property) => read(self, &property.value),
            None => Some(default),
        }
    }

    /// Reads the value of an optional key, which may also be `null`.
    pub(crate) fn optional<T>(
        &mut self,
        object: &ast::Object<'_>,
        key: &str,
        read: Read<T>,
    ) -> Option<Option<T>> {
        match object.get(key).map(|property| &property.value) {
            None | Some(ast::Value::NullKeyword(_)) => Some(None),
            Some(value) => read(self, value).map(Some),
        }
    }

    /// Records that a value has the wrong type and returns `None`.
    pub(crate) fn mismatch<T>(&mut self, value: &ast::Value<'_>, expected: &str) -> Option<T> {
        let found = match value {
            ast::Value::StringLit(_) => "a string",
            ast::Value::NumberLit(_) => "a number",
            ast::Value::BooleanLit(_) => "a boolean",
            ast::Value::Object(_) => "an object",
            ast::Value::Array(_) => "a list",
            ast::Value::NullKeyword(_) => "null",
        };
        let message = format!("expected {expected}, found {found}");
        self.report(value.start(), message, format!("write {expected}"));
        None
    }
}

/// Reads a list.
pub(crate) fn list<T>(
    reader: &mut Reader,
    value: &ast::Value<'_>,
    read: Read<T>,
) -> Option<Vec<T>> {
    let Some(array) = value.as_array() else {
        return reader.mismatch(value, "a list");
    };
    let mut complete = true;
    let mut items = Vec::with_capacity(array.elements.len());
    for element in &array.elements {
        match read(reader, element) {
            Some(item) => items.push(item),
            None => complete = false,
        }
    }
    complete.then_some(items)
}

/// Reads a string.
pub(crate) fn string(reader: &mut Reader, value: &ast::Value<'_>) -> Option<Arc<str>> {
    match value.as_string_lit() {
        Some(literal) => Some(Arc::from(&*literal.value)),
        None => reader.mismatch(value, "a string"),
    }
}

/// Reads a boolean.
pub(crate) fn boolean(reader: &mut Reader, value: &ast::Value<'_>) -> Option<bool> {
    match value.as_boolean_lit() {
        Some(literal) => Some(literal.value),
        None => reader.mismatch(value, "true or false"),
    }
}

/// Reads an integer from 0 to `max`.
fn integer(reader: &mut Reader, value: &ast::Value<'_>, max: u64) -> Option<u64> {
    let Some(literal) = value.as_number_lit() else {
        return reader.mismatch(value, "a whole number");
    };
    match literal.value.parse::<u64>() {
        Ok(number) if number <= max => Some(number),
        _ => {
            let message = format!(
                "{} is not a whole number in range",
                shorten(literal.value) //
            );
            let remedy = format!("use a whole number from 0 to {max}");
            reader.report(value.start(), message, remedy);
            None
        }
    }
}

/// Reads a `u64`.
pub(crate) fn integer_u64(reader: &mut Reader, value: &ast::Value<'_>) -> Option<u64> {
    integer(reader, value, u64::MAX)
}

/// Reads a `u32`.
pub(crate) fn integer_u32(reader: &mut Reader, value: &ast::Value<'_>) -> Option<u32> {
    let number = integer(reader, value, u64::from(u32::MAX))?;
    u32::try_from(number).ok()
}

/// Reads a number that may have a fractional part, and discards that part.
pub(crate) fn truncated_u32(reader: &mut Reader, value: &ast::Value<'_>) -> Option<u32> {
    let literal = value.as_number_lit().map(|literal| literal.value);
    let parts = literal.map(|literal| literal.split_once('.').unwrap_or((literal, "0")));
    let number = parts.and_then(|(integer, fraction)| {
        let is_decimal = fraction.bytes().all(|byte| byte.is_ascii_digit());
        integer.parse().ok().filter(|_| is_decimal)
    });
    if number.is_none() {
        return reader.mismatch(value, "a number from 0 to 4294967295");
    }
    number
}

/// Reads a `u8`.
pub(crate) fn integer_u8(reader: &mut Reader, value: &ast::Value<'_>) -> Option<u8> {
    let number = integer(reader, value, u64::from(u8::MAX))?;
    u8::try_from(number).ok()
}

/// Reads an IP address with a port.
pub(crate) fn address(reader: &mut Reader, value: &ast::Value<'_>) -> Option<SocketAddr> {
    let Some(literal) = value.as_string_lit() else {
        return reader.mismatch(value, "an IP address with a port");
    };
    match literal.value.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            let message = format!(
                "\"{}\" is not an IP address with a port",
                shorten(&literal.value) //
            );
            let remedy = "write it like \"192.0.2.1:80\" or \"[2001:db8::1]:80\"";
            reader.report(value.start(), message, remedy);
            None
        }
    }
}

/// Reads a string that has to be one of `keywords`, and returns the value assigned to it.
pub(crate) fn keyword<T: Copy>(
    reader: &mut Reader,
    value: &ast::Value<'_>,
    keywords: &[(&str, T)],
) -> Option<T> {
    let names: Vec<&str> = keywords.iter().map(|(name, _)| *name).collect();
    let Some(literal) = value.as_string_lit() else {
        return reader.mismatch(value, &format!("one of: {}", names.join(", ")));
    };
    let found = keywords.iter().find(|(name, _)| *name == literal.value);
    if found.is_none() {
        let message = format!("\"{}\" is not known here", shorten(&literal.value));
        reader.report(
            value.start(),
            message,
            format!("use one of: {}", names.join(", ")),
        );
    }
    found.map(|(_, assigned)| *assigned)
}

/// Returns the first characters of a text, so that a long value does not fill an error message.
pub(crate) fn shorten(text: &str) -> String {
    const MAX_CHARS: usize = 80;
    let mut shortened: String = text.chars().take(MAX_CHARS).collect();
    if shortened.len() < text.len() {
        shortened.push('…');
    }
    shortened
}
