//! Log output: one line of `key=value` pairs for each event.

use std::{
    fmt,
    io::Write,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use tracing::{
    Event, Level, Metadata, Subscriber,
    field::{Field, Visit},
    level_filters::LevelFilter,
    subscriber::Interest,
};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    Layer,
    filter::{FilterExt, Targets},
    fmt::{
        FmtContext, FormatEvent, FormatFields,
        format::Writer,
        time::{FormatTime, SystemTime},
    },
    layer::{Context, Filter, SubscriberExt},
    registry::LookupSpan,
    util::SubscriberInitExt,
};

/// Lines that may wait for the writer thread; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 8192;

/// Level used when the filter directives cannot be parsed.
const FALLBACK_LEVEL: LevelFilter = LevelFilter::INFO;

/// Largest number of lines of level info and below that one process writes in a second.
///
/// Writing a line takes about 10 µs, so that the lines of a second take about 20 ms. The bound is far above
/// the 72 flows a second that callers open through one balancer of the largest fleet.
const MAX_LINES_PER_SECOND: u64 = 2000;

/// Lines dropped because of [`MAX_LINES_PER_SECOND`].
static RATE_LIMITED_LINES: AtomicU64 = AtomicU64::new(0);

/// Counter of lines dropped because [`MAX_BUFFERED_LINES`] were waiting.
static OVERFLOWED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Keeps the writer thread of the log running; flushes the buffered lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Returns the number of lines dropped since the start, either because the output was too slow or
/// because of the rate limit.
pub fn dropped_lines() -> usize {
    let overflowed = OVERFLOWED_LINES
        .get()
        .map_or(0, ErrorCounter::dropped_lines);
    overflowed + RATE_LIMITED_LINES.load(Ordering::Relaxed) as usize
}

/// Installs the global logger with standard error as output.
///
/// `directives` is a level or a list of filter directives, which `RUST_LOG` overrides; info is used if
/// they cannot be parsed.
///
/// A separate thread writes the lines, so that a slow output never blocks the tasks that log.
///
/// # Panics
///
/// Panics if a global logger is already installed.
pub fn start(directives: &str) -> LogGuard {
    start_with_writer(std::io::stderr(), directives)
}

/// Installs the global logger as [`start`] does, with `output` in place of standard error.
///
/// # Panics
///
/// Panics if a global logger is already installed.
pub fn start_with_writer<W: Write + Send + 'static>(output: W, directives: &str) -> LogGuard {
    let directives = std::env::var("RUST_LOG").unwrap_or_else(|_| directives.to_owned());
    let filter: Targets = directives
        .parse()
        .unwrap_or_else(|_| Targets::new().with_default(FALLBACK_LEVEL));
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(output);
    let _ = OVERFLOWED_LINES.set(writer.error_counter());
    let layer = tracing_subscriber::fmt::layer()
        .event_format(KeyValueFormat)
        .with_writer(writer)
        .with_filter(filter.and(RateLimit::new()));
    tracing_subscriber::registry().with(layer).init();
    LogGuard { _worker: worker }
}

/// Filters out lines above [`MAX_LINES_PER_SECOND`]; warnings and errors always pass.
#[derive(Debug)]
struct RateLimit {
    started: Instant,
    /// Seconds from `started` to the second whose lines are counted.
    second: AtomicU64,
    /// Lines requested in that second.
    lines: AtomicU64,
}

impl RateLimit {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Counts a line and returns whether it may be written.
    fn try_acquire(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let allowed = self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND;
        if !allowed {
            RATE_LIMITED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= Level::WARN || self.try_acquire()
    }

    fn callsite_enabled(&self, _: &'static Metadata<'static>) -> Interest {
        Interest::sometimes()
    }
}

/// Formats an event as `time=… level=… event=… key=value …`.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyValueFormat;

impl<S, N> FormatEvent<S, N> for KeyValueFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_str("time=")?;
        SystemTime.format_time(&mut writer)?;
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        write!(writer, " level={level}")?;
        let mut pairs = PairWriter {
            result: Ok(()),
            writer: &mut writer,
        };
        event.record(&mut pairs);
        pairs.result?;
        writeln!(writer)
    }
}

struct PairWriter<'a, 'b> {
    result: fmt::Result,
    writer: &'a mut Writer<'b>,
}

impl PairWriter<'_, '_> {
    /// Writes a pair, with the value quoted if it is empty or has a space, quote, `=` or line feed.
    fn write_pair(&mut self, name: &str, value: &str) {
        if self.result.is_err() {
            return;
        }
        let is_bare = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        self.result = match is_bare {
            true => write!(self.writer, " {name}={value}"),
            false => write!(self.writer, " {name}={value:?}"),
        };
    }
}

impl Visit for PairWriter<'_, '_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.write_pair(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.write_pair(field.name(), &format!("{value:?}"));
    }
}
