//! The log: one line of key=value pairs for each event.

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

/// Lines that wait for the writer; more are lost and counted.
const BUFFERED_LINES: usize = 8192;

/// Level of a log whose wanted level can't be read.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::INFO;

/// Lines a second of the level info and below that one process writes; a balancer of the largest fleet
/// opens 72 flows a second, and a line costs about ten microseconds.
const LINES_PER_SECOND: u64 = 2000;

/// Lines that were left out because the rate was used up.
static OMITTED: AtomicU64 = AtomicU64::new(0);

static LOST: OnceLock<ErrorCounter> = OnceLock::new();

/// Keeps the log's writer running; what is left is written when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Returns the number of lines lost because the reader of the log was too slow, or because there were
/// more than a process writes in a second.
pub fn lost_lines() -> usize {
    let lost = LOST.get().map_or(0, ErrorCounter::dropped_lines);
    lost + OMITTED.load(Ordering::Relaxed) as usize
}

/// Starts the log of a process on standard error; `RUST_LOG` overrides the level.
///
/// Lines are written by a thread of their own, so that a slow reader never holds up the work.
pub fn start(level: &str) -> LogGuard {
    start_on(std::io::stderr(), level)
}

/// Starts the log of a process on `output`, as [`start`] does on standard error.
pub fn start_on<W: Write + Send + 'static>(output: W, level: &str) -> LogGuard {
    let wanted = std::env::var("RUST_LOG").unwrap_or_else(|_| level.to_owned());
    let filter: Targets = wanted
        .parse()
        .unwrap_or_else(|_| Targets::new().with_default(DEFAULT_LEVEL));
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(output);
    let _ = LOST.set(writer.error_counter());
    let lines = tracing_subscriber::fmt::layer()
        .event_format(KeyValues)
        .with_writer(writer)
        .with_filter(filter.and(LineLimit::new()));
    tracing_subscriber::registry().with(lines).init();
    LogGuard { _worker: worker }
}

/// Passes a bounded number of lines a second; warnings and errors always pass.
#[derive(Debug)]
struct LineLimit {
    started: Instant,
    /// The second that is counted, and the lines in it.
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineLimit {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    fn allows(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let allowed = self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND;
        if !allowed {
            OMITTED.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

impl<S> Filter<S> for LineLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= Level::WARN || self.allows()
    }

    fn callsite_enabled(&self, _: &'static Metadata<'static>) -> Interest {
        Interest::sometimes()
    }
}

/// Formats an event as `time=… level=… event=… key=value …`.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyValues;

impl<S, N> FormatEvent<S, N> for KeyValues
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
        let mut pairs = Pairs {
            result: Ok(()),
            writer: &mut writer,
        };
        event.record(&mut pairs);
        pairs.result?;
        writeln!(writer)
    }
}

struct Pairs<'a, 'b> {
    result: fmt::Result,
    writer: &'a mut Writer<'b>,
}

impl Pairs<'_, '_> {
    fn pair(&mut self, name: &str, value: &str) {
        if self.result.is_err() {
            return;
        }
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        self.result = match plain {
            true => write!(self.writer, " {name}={value}"),
            false => write!(self.writer, " {name}={value:?}"),
        };
    }
}

impl Visit for Pairs<'_, '_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.pair(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.pair(field.name(), &format!("{value:?}"));
    }
}
