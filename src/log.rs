//! Configures the logger, which writes one line per event to standard output on a separate thread.

use std::{
    fmt::Write,
    num::NonZeroUsize,
    sync::Arc,
    time::UNIX_EPOCH, //
};

use mulberrynotch_net::event;
use mulberrynotch_register::settings;
use spdlog::{
    Error,
    Level,
    LevelFilter,
    Logger,
    Record,
    StringBuf, //
    ThreadPool,
    error::SendToChannelErrorDropped,
    formatter::{
        Formatter,
        FormatterContext, //
    },
    sink::{
        AsyncPoolSink,
        OverflowPolicy,
        StdStreamSink, //
    },
    terminal_style::StyleMode,
};

/// Formats an event as `time=SECONDS level=LEVEL`, followed by its fields.
#[derive(Clone)]
struct LineFormatter;

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let time = record
            .time()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let (seconds, millis) = (time / 1_000, time % 1_000);
        let level = record.level().as_str();
        writeln!(
            dest,
            "time={seconds}.{millis:03} level={level} {}",
            record.payload()
        )
        .map_err(spdlog::Error::FormatRecord)
    }
}

/// Capacity of the queue to the writer thread, in lines. Further lines are dropped, so that a stalled
/// reader of the log does not block the process.
const MAX_QUEUED_LINES: usize = 1_024;

/// Installs a default logger that writes events of `level` and above to standard output.
///
/// Lines that are still queued when the process exits are written by `spdlog`.
///
/// # Errors
///
/// Fails when the logger cannot be built.
pub fn init(level: settings::Level) -> spdlog::Result<()> {
    let sink = StdStreamSink::builder()
        .stdout()
        .style_mode(StyleMode::Never)
        .formatter(LineFormatter)
        .build()?;
    let capacity = NonZeroUsize::new(MAX_QUEUED_LINES).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(sink))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(count_lost_line)
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(logger_level(level)))
        .error_handler(count_lost_line)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Counts a line that was not written, by its event. By default `spdlog` reports the error on standard
/// error, where the process could block.
fn count_lost_line(error: Error) {
    let event = match &error {
        Error::SendToChannel(_, SendToChannelErrorDropped::Record(record)) => {
            event::name_of(record.payload()).unwrap_or("other")
        }
        _ => "write_failed",
    };
    metrics::counter!("mulberrynotch_lost_lines_total", "event" => event.to_owned()).increment(1);
}

fn logger_level(level: settings::Level) -> Level {
    match level {
        settings::Level::Error => Level::Error,
        settings::Level::Warn => Level::Warn,
        settings::Level::Info => Level::Info,
        settings::Level::Debug => Level::Debug,
    }
}
