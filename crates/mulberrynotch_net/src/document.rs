//! Parsing and validation of the register and the settings.

use mulberrynotch_register::{
    model,
    parse,
    settings,
    validate, //
};

/// Parses and validates a register.
///
/// # Errors
///
/// Fails with a message for operators when the text is not a valid register.
pub fn register(text: &str) -> Result<model::Register, String> {
    parse::register(text).map_err(|error| error.to_string())
}

/// Parses and validates the settings of a process.
///
/// # Errors
///
/// Fails with a message for operators when the text does not contain valid settings.
pub fn settings(text: &str) -> Result<settings::Settings, String> {
    parse::settings(text).map_err(|error| error.to_string())
}

/// Validates a register that was not parsed from text by the same rules.
///
/// # Errors
///
/// Fails like [`register`].
pub fn checked(register: model::Register) -> Result<model::Register, String> {
    match validate::register(&register).first() {
        None => Ok(register),
        Some(fault) => Err(format!("{}; {}", fault.message, fault.remedy)),
    }
}
