//! Log set-up: one line per event on standard output, written by a thread of its own.

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

/// Writes `time=SECONDS level=LEVEL` in front of the fields of an event.
#[derive(Clone)]
struct Line;

impl Formatter for Line {
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

/// Lines that wait for the thread that writes them; further ones are dropped, so that a reader of
/// the log that stalls does not hold the process up.
const MAX_WAITING: usize = 1_024;

/// Makes the default logger write events of `level` and above to standard output.
///
/// The library writes the lines that still wait when the process exits.
///
/// # Errors
///
/// Fails when the logger cannot be built.
pub fn init(level: settings::Level) -> spdlog::Result<()> {
    let sink = StdStreamSink::builder()
        .stdout()
        .style_mode(StyleMode::Never)
        .formatter(Line)
        .build()?;
    let capacity = NonZeroUsize::new(MAX_WAITING).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(sink))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(count_lost)
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(filter(level)))
        .error_handler(count_lost)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Counts a line that was not written, by its event. The library would report it on standard error,
/// where the process could block.
fn count_lost(error: Error) {
    let event = match &error {
        Error::SendToChannel(_, SendToChannelErrorDropped::Record(record)) => {
            event::name_of(record.payload()).unwrap_or("other")
        }
        _ => "write_failed",
    };
    metrics::counter!("mulberrynotch_lost_lines_total", "event" => event.to_owned()).increment(1);
}

fn filter(level: settings::Level) -> Level {
    match level {
        settings::Level::Error => Level::Error,
        settings::Level::Warn => Level::Warn,
        settings::Level::Info => Level::Info,
        settings::Level::Debug => Level::Debug,
    }
}
