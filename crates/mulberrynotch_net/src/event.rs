//! Structured log lines, one line of key=value pairs per event.

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

/// Default number of lines that a [`Limiter`] admits per window.
const LINES_PER_WINDOW: u64 = 5;

/// Default length of a window of a [`Limiter`], in milliseconds.
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

/// Returns the event name of a line that [`format_line`] formatted.
pub fn name_of(line: &str) -> Option<&str> {
    line.strip_prefix("event=")?.split(' ').next()
}

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time since the first call, for limiters of callers that have no clock.
pub fn uptime() -> Duration {
    START.elapsed()
}

/// Logs a state change.
pub fn info(name: &str, fields: &[Field<'_>]) {
    spdlog::info!("{}", format_line(name, fields));
}

/// Logs a failure that the process handles.
pub fn warn(name: &str, fields: &[Field<'_>]) {
    spdlog::warn!("{}", format_line(name, fields));
}

/// Logs a failure that requires an operator.
pub fn error(name: &str, fields: &[Field<'_>]) {
    spdlog::error!("{}", format_line(name, fields));
}

/// Limits the rate of log lines for events that callers can trigger.
#[derive(Debug)]
pub struct Limiter {
    max_lines: u64,
    window_ms: u64,
    current_window: AtomicU64,
    line_count: AtomicU64,
}

impl Limiter {
    /// Creates a limiter with the default limit and window.
    pub const fn new() -> Self {
        Self::with_limit(LINES_PER_WINDOW, WINDOW_MS)
    }

    /// Creates a limiter that admits `max_lines` in each window of `window_ms` milliseconds.
    pub const fn with_limit(max_lines: u64, window_ms: u64) -> Self {
        Self {
            max_lines,
            window_ms,
            current_window: AtomicU64::new(0),
            line_count: AtomicU64::new(0),
        }
    }

    /// Logs a warning unless the limit of the current window is reached. The first line of a window
    /// reports how many lines the previous window suppressed.
    pub fn warn(&self, now: Duration, name: &str, fields: &[Field<'_>]) {
        if let Some(suppressed) = self.admit(now) {
            let mut fields = fields.to_vec();
            if suppressed > 0 {
                fields.push(("suppressed", &suppressed));
            }
            warn(name, &fields);
        }
    }

    /// Counts a line. Returns the number of lines suppressed in the previous window, which is 0 for
    /// all but the first line of a window, or `None` when the line itself is suppressed.
    pub fn admit(&self, now: Duration) -> Option<u64> {
        let window = u64::try_from(now.as_millis()).unwrap_or(u64::MAX) / self.window_ms;
        let mut suppressed = 0;
        if self.current_window.swap(window, Ordering::Relaxed) != window {
            let line_count = self.line_count.swap(0, Ordering::Relaxed);
            suppressed = line_count.saturating_sub(self.max_lines);
        }
        (self.line_count.fetch_add(1, Ordering::Relaxed) < self.max_lines).then_some(suppressed)
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}
