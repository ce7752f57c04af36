//! Log lines: one line of key=value pairs per event.

use std::{
    fmt::{
        Display,
        Write, //
    },
    sync::{
        LazyLock,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Lines that one [`Limiter`] lets through per window, unless it says otherwise.
const LINES_PER_WINDOW: u64 = 5;

/// Length of a window of a [`Limiter`], in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// A field of a log line.
pub type Field<'a> = (&'a str, &'a dyn Display);

/// Formats an event as `event=NAME key=value ...`; values with spaces or quotes are quoted.
pub fn format_line(name: &str, fields: &[Field<'_>]) -> String {
    let mut line = format!("event={name}");
    for (key, value) in fields {
        let value = value.to_string();
        let plain = !value.is_empty()
            && value
                .chars()
                .all(|c| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\'));
        // Writing to a string does not fail.
        let _ = if plain {
            write!(line, " {key}={value}")
        } else {
            write!(line, " {key}={value:?}")
        };
    }
    line
}

/// Name of the event in a line that [`format_line`] formatted.
pub fn name_of(line: &str) -> Option<&str> {
    line.strip_prefix("event=")?.split(' ').next()
}

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time since the first call, for limiters in places that hold no clock.
pub fn uptime() -> Duration {
    START.elapsed()
}

/// Logs a change of state.
pub fn info(name: &str, fields: &[Field<'_>]) {
    spdlog::info!("{}", format_line(name, fields));
}

/// Logs a failure that the process handles.
pub fn warn(name: &str, fields: &[Field<'_>]) {
    spdlog::warn!("{}", format_line(name, fields));
}

/// Logs a failure that needs an operator.
pub fn error(name: &str, fields: &[Field<'_>]) {
    spdlog::error!("{}", format_line(name, fields));
}

/// Bounds the lines of an event that callers can trigger.
#[derive(Debug)]
pub struct Limiter {
    lines: u64,
    length_ms: u64,
    window: AtomicU64,
    seen: AtomicU64,
}

impl Limiter {
    /// Lets a few lines through per window.
    pub const fn new() -> Self {
        Self::with_limit(LINES_PER_WINDOW, WINDOW_MS)
    }

    /// Lets `lines` through in each window of `length_ms` milliseconds.
    pub const fn with_limit(lines: u64, length_ms: u64) -> Self {
        Self {
            lines,
            length_ms,
            window: AtomicU64::new(0),
            seen: AtomicU64::new(0),
        }
    }

    /// Logs a warning, unless too many were logged in the current window. The first line of a
    /// window tells how many were suppressed in the one before.
    pub fn warn(&self, now: Duration, name: &str, fields: &[Field<'_>]) {
        if let Some(suppressed) = self.admit(now) {
            let mut fields = fields.to_vec();
            if suppressed > 0 {
                fields.push(("suppressed", &suppressed));
            }
            warn(name, &fields);
        }
    }

    /// Counts a line; returns the number of lines that were suppressed before it, or `None` when
    /// the line itself is.
    pub fn admit(&self, now: Duration) -> Option<u64> {
        let window = u64::try_from(now.as_millis()).unwrap_or(u64::MAX) / self.length_ms;
        let mut suppressed = 0;
        if self.window.swap(window, Ordering::Relaxed) != window {
            let seen = self.seen.swap(0, Ordering::Relaxed);
            suppressed = seen.saturating_sub(self.lines);
        }
        (self.seen.fetch_add(1, Ordering::Relaxed) < self.lines).then_some(suppressed)
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}
