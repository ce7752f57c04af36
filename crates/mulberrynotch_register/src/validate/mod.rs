//! Validation rules for the register and for settings.
//!
//! The rules depend on the document alone, so that all processes accept the same documents.

use std::net::SocketAddr;

use crate::{
    model,
    problem,
    settings, //
};

mod addresses;
mod collision;
mod inventory;
mod local;

pub use collision::for_each_collision;

/// Longest name; equal to the limit of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Returns all faults of a register.
pub fn register(register: &model::Register) -> Vec<problem::Fault> {
    let mut faults = Faults::default();
    inventory::check(register, &mut faults);
    addresses::check(register, &mut faults);
    faults.0
}

/// Returns all faults of the settings of a `run` process.
pub fn settings(settings: &settings::Settings) -> Vec<problem::Fault> {
    let mut faults = Faults::default();
    local::check(settings, &mut faults);
    faults.0
}

/// Collects faults.
#[derive(Default)]
pub(crate) struct Faults(Vec<problem::Fault>);

impl Faults {
    /// Returns the collected faults.
    pub(crate) fn into_vec(self) -> Vec<problem::Fault> {
        self.0
    }

    pub(crate) fn add(
        &mut self,
        path: problem::Path,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.0.push(problem::Fault {
            path,
            message: message.into(),
            remedy: remedy.into(),
        });
    }

    pub(crate) fn check_name(&mut self, path: problem::Path, name: &str) {
        if name.is_empty() {
            self.add(path, "name is empty", "give it a name");
        } else if name.len() > MAX_NAME_BYTES {
            let message = format!("name has {} bytes", name.len());
            self.add(path, message, format!("use {MAX_NAME_BYTES} bytes or less"));
        } else if let Some(character) = name
            .chars()
            .find(|character| !is_allowed_in_name(*character))
        {
            let message = format!("name contains {character:?}");
            self.add(
                path,
                message,
                "use the characters a to z, 0 to 9, \".\", \"-\"",
            );
        }
    }

    pub(crate) fn check_range(&mut self, path: problem::Path, value: u32, min: u32, max: u32) {
        let remedy = || format!("use a value from {min} to {max}");
        if value == 0 && min > 0 {
            self.add(path, "value is zero", remedy());
        } else if value < min {
            self.add(path, format!("{value} is below the range"), remedy());
        } else if value > max {
            self.add(path, format!("{value} is over the range"), remedy());
        }
    }

    /// Checks that an address can be bound to or sent to without overlapping others.
    pub(crate) fn check_endpoint(&mut self, path: problem::Path, address: SocketAddr) {
        if address.port() == 0 {
            self.add(path, "port is zero", "use a port from 1 to 65535");
        } else if address.ip().is_unspecified() {
            self.add(
                path,
                format!("{address} stands for every address and overlaps others"),
                "use one address of the VM",
            );
        } else if address.ip().is_multicast() {
            let message = format!("{address} is a multicast address");
            self.add(path, message, "use a unicast address");
        }
    }
}

fn is_allowed_in_name(character: char) -> bool {
    matches!(character, 'a'..='z' | '0'..='9' | '.' | '-')
}

/// Maps addresses that denote the same endpoint to one value: converts IPv4-mapped IPv6 addresses
/// and drops scopes and flow labels.
fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}
